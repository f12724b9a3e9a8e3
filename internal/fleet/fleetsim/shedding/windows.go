package shedding

import (
	"time"

	"birchcart/internal/fleet/lanes"
	"birchcart/internal/fleet/pressure"
)

const (
	// windowFor is over what time L1 and L2 are judged: a slot, and what buckets hold. The rules allow for the slack that is said
	// here and no more.
	windowFor = 10 * time.Second
	// floorSlack: a lane that asks for its floor and more has this part of it at least.
	floorSlack = 0.6
	// sureSlack: of what is asked within guarantees this part at most is refused by lanes in a window.
	sureSlack = 0.10
	// aloneAfter is how long after the last word a level has faded: news are fresh for so long, then it fades.
	aloneAfter = pressure.FreshWindow + lanes.FadeTime + time.Second
	// calmAfter is how long after the last ends that were no good a calm co-ordinator that is alone refuses nothing.
	calmAfter = 4 * time.Second
)

// windows counts by windows for the rules.
type windows struct {
	w       *World
	begun   time.Duration
	ask     [lanesHere]float64
	admit   [lanesHere]float64
	sheds   [lanesHere]float64
	account []account
	beyond  float64 // admitted that is beyond any guarantee
	inTime  float64
	// the worst seen
	WorstFloor float64 // admitted over the least that the floor says
	WorstSure  float64
	CalmShed   float64 // shed while nothing was to be shed
	trouble    time.Duration
}

func (x *windows) begin(w *World) {
	*x = windows{w: w, WorstFloor: 9, trouble: -time.Hour, account: make([]account, len(w.streams))}
}

func (x *windows) asked(a *ask) {
	x.account[a.tenant].asked += a.cost
	x.ask[a.stream.lane] += a.cost
}

func (x *windows) shed(c *coordinator, a *ask, v *lanes.Decision) {
	w, now := x.w, x.w.q.Now
	x.sheds[a.stream.lane] += a.cost
	x.account[a.tenant].shed += a.cost
	if w.plan.Way != Lanes {
		return
	}
	if v.RetryAfter < 0 || v.RetryAfter > lanes.MaxRetryAfter {
		w.broken("L3: told to come back in %v", v.RetryAfter)
	}
	if now-c.sheds.heard > aloneAfter && now-max(c.refusedAt, c.stalled) > calmAfter {
		w.broken("L4: %s sheds at level %.3f, without news for %v, while all its queries end in time", c.name, c.sheds.ctl.Level(), now-c.sheds.heard)
	}
	if now-x.trouble > lanes.MaxCauseAge || w.plan.Load <= 0.75 && len(x.troubles()) == 0 {
		x.CalmShed += a.cost
		w.broken("L6: %s sheds at level %.3f in a calm fleet", c.name, c.sheds.ctl.Level())
	}
}

// troubles are those steps that leave less capacity, or more load, than calm is.
func (x *windows) troubles() (out []string) {
	for _, s := range x.w.plan.Steps {
		if s.Kind == Replica || s.Kind == Crash || s.Kind == Stall {
			out = append(out, s.Kind)
		}
	}
	return out
}

func (x *windows) admitted(_ *coordinator, a *ask, v *lanes.Decision) {
	x.account[a.tenant].admitted += a.cost
	x.admit[a.stream.lane] += a.cost
	if v.Reason != lanes.Guaranteed && !a.conform {
		x.beyond += a.cost
	}
}

func (x *windows) ended(c *coordinator, q *query, e end) {
	if e == inTime {
		x.inTime += q.ask.cost
	} else {
		c.refusedAt, x.trouble = x.w.q.Now, x.w.q.Now
	}
}

// look judges a window when it is over.
func (x *windows) look() {
	now := x.w.q.Now
	if now-x.begun < windowFor {
		return
	}
	span := (now - x.begun).Seconds()
	if x.w.plan.Way == Lanes && x.inTime > 0 {
		for j, floor := range floors {
			if x.sheds[j] == 0 {
				continue
			}
			least := min(x.ask[j], floor*x.inTime)
			if least < 5*partsMean { // too little to tell
				continue
			}
			x.WorstFloor = min(x.WorstFloor, x.admit[j]/least)
			if x.admit[j] < floorSlack*least {
				x.w.broken("L1: lane %d asked %.0f in %.0f s, its floor is %.0f, %.0f were admitted", j, x.ask[j], span, floor*x.inTime, x.admit[j])
			}
		}
		x.accounts(span)
	}
	keep := *x
	*x = windows{w: x.w, begun: now, account: make([]account, len(x.w.streams)), WorstFloor: keep.WorstFloor, WorstSure: keep.WorstSure, CalmShed: keep.CalmShed, trouble: keep.trouble}
}

// account is what one asked in a window, and got.
type account struct{ asked, admitted, shed float64 }

// accounts judges L2: who was refused by lanes had what it asked, or its guarantee of what the fleet served, but for the slack.
func (x *windows) accounts(span float64) {
	ensured, short := 0.0, 0.0
	for i := range x.account {
		a := &x.account[i]
		least := min(a.asked, x.w.streams[i].ensured*x.inTime)
		ensured += least
		if a.shed > 0 {
			short += max(0, least-a.admitted)
		}
	}
	if ensured < 20*partsMean || x.beyond == 0 {
		return
	}
	x.WorstSure = max(x.WorstSure, short/ensured)
	if short > sureSlack*ensured {
		x.w.broken("L2: of %.0f within guarantees %.0f were refused by lanes in %.0f s, %.0f beyond them admitted", ensured, short, span, x.beyond)
	}
}
