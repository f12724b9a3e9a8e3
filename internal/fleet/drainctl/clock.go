package drainctl

import (
	"fmt"
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// The wall's clock of a leader is agreed time, which never goes back: one that is far ahead would carry it away for
// good, and by it grants would end, machines count as warm and pauses as over long before they are. The ledger can not
// tell: after hours at rest the first command leaps by hours and is right. The clocks of the others can. Each poll says
// what its sender's shows. A leader that is ahead of the most of them proposes nothing, and hands over.
//
// Before it has heard enough of them it proposes only what does not leap: agreed time goes on as its own monotonic clock
// does, which covers a new leader in the middle of a plan.
//
// One that is behind must not begin agreed time there: once it is mended or another leads, agreed time would leap, and by
// the leap pauses end early and grants lapse. It goes by the clock of the most known instead. That holds up for ClockWait
// at the longest, whoever is silent or wrong, and no election is needed.
const (
	// ClockMost is how far the own wall's clock may be ahead of the most of those known, or leap by itself while they are
	// not. Twice as much: machines count as warm so much sooner than they are; half: the polls' way and what a time
	// service lets two clocks differ by silence a good leader.
	ClockMost = 5 * time.Second
	// ClocksLeast others make a majority beside the own clock, of which one may be wrong. One more: fleets of three could
	// never be sure; one less: of two clocks none can say which is wrong.
	ClocksLeast = 2
	// ClockAge is how long a clock that was told of is taken to run on as the own monotonic one does: it drifts by 0.6 s.
	// Twice as long: twice that; half as long: a few lost polls, and a leader is less sure of its own.
	ClockAge = time.Minute
	// ClockWait is how long a leap waits for others' clocks, which come with polls once a second, after the election or
	// once they are too old; and for how long a leader is silent before it hands over, since polls of before a stall make
	// it seem ahead. Twice as long: a fleet whose others are down begins later; half: one slow poll, and a wrong clock is
	// believed. So long a leader that is behind waits too, before it takes others' clocks for right: the first that are
	// heard need not be like the most.
	ClockWait = 3 * time.Second
	// HandOverEvery is between attempts at handing over. Half as long: twice as many elections while no clock is right.
	HandOverEvery = 30 * time.Second
)

// HandOver says that another voter should lead, and why. This one proposes nothing until it may again.
type HandOver struct{ Why string }

func (HandOver) output() {}

// clock is what another's wall showed, against the own monotonic time: only the difference is kept.
type clock struct {
	off time.Duration
	at  time.Duration // own time of the poll
	set bool
}

// clocks are by how much the own wall's clock is ahead of each that is known, the own among them, in rising order.
func (l *Lead) clocks(wall time.Duration) []time.Duration {
	all := []time.Duration{0}
	for name, h := range l.heard { // in any order: sorted below
		if c := h.clock; c.set && name != l.own && l.now-c.at <= ClockAge {
			all = append(all, wall-(c.off+l.now))
		}
	}
	slices.Sort(all)
	return all
}

// ahead is by how much the own wall's clock is ahead of the most known: of all clocks, the own among them, more than
// half are behind it by so much or more; of two, the other is. Negative: behind them. others are the clocks of others that
// are known.
func (l *Lead) ahead(wall time.Duration) (by time.Duration, others int) {
	all := l.clocks(wall)
	if len(all) == 2 { // nobody can say which of two is right: the one behind goes on, the one ahead counts the cold as warm
		return all[0] + all[1], 1
	}
	return all[(len(all)-1)/2], len(all) - 1
}

// goBy is the wall's clock to go by: the own, or that of the most known, once the own was behind it for ClockWait: of all
// clocks, the own among them, more than half are then ahead by over ClockMost. Until then it says wait if agreed time,
// led on from pace, would be behind too. Of two clocks the own counts.
func (l *Lead) goBy(wall, pace time.Duration) (by time.Duration, wait bool) {
	all := l.clocks(wall)
	behind := -all[len(all)/2]
	if !l.leading || behind <= ClockMost {
		l.behind = false
		return wall, false
	}
	if !l.behind {
		l.behind, l.behindAt, l.behindSaid = true, l.now, false
	}
	if l.now < l.behindAt+ClockWait {
		return wall, max(wall, pace)+ClockMost < wall+behind
	}
	if !l.behindSaid {
		l.behindSaid = true
		l.say("the own clock is %v behind most of the %d others known: goes by theirs", behind.Round(time.Millisecond), len(all)-1)
	}
	return wall + behind, false
}

// enough is how many others' clocks are waited for: of those that may be there, ClocksLeast at most.
func (l *Lead) enough() int {
	if !l.known {
		return ClocksLeast
	}
	n := 0
	for _, m := range l.members {
		if m.Name != l.own && m.Status != maintenance.Gone {
			n++
		}
	}
	return min(n, ClocksLeast)
}

// clockRight says whether the own wall's clock may be proposed, which would lead agreed time on from pace, and says why
// it has been wrong for long.
func (l *Lead) clockRight(wall, pace time.Duration) bool {
	by, others := l.ahead(wall)
	if by <= ClockMost {
		l.wrong = false
		if others >= l.enough() {
			l.unsure = false
			return true
		}
		if !l.unsure {
			l.unsure, l.unsureAt = true, l.now
		}
		return wall <= pace+ClockMost || l.now >= l.unsureAt+ClockWait
	}
	if !l.wrong {
		l.wrong, l.wrongAt, l.handAt = true, l.now, l.now+ClockWait
	}
	if l.now >= l.handAt {
		l.handAt = l.now + HandOverEvery
		why := fmt.Sprintf("the own clock is %v ahead of most of the %d others known, %v is allowed: "+
			"proposes nothing since %v, and hands over", by.Round(time.Millisecond), others, ClockMost, l.now-l.wrongAt)
		l.say("%s", why)
		l.out = append(l.out, HandOver{why})
	}
	return false
}
