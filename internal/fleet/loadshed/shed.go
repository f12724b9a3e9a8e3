// Package loadshed is the thin I/O around the lanes: it stands between the exchange, where queries come and end, the gate that
// decides on them, and the rest of the fleet. It decides nothing itself.
//
//	exchange ──Enter──> lanes.Gate     (in the exchange's turn, under a lock that is held for no I/O)
//	         ──Over───> pressure.Meter
//	run, each Every: meter -> own word -> a few members, with some words of others and what shares ask and answer
//	                 letters -> pressure.News -> Fleet -> lanes.Control -> Gate.Level; shares.Shares -> Gate.Share
//	                 what is agreed -> Gate.Set
package loadshed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/exchange"
	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/fleet/lanes"
	"birchcart/internal/fleet/pressure"
	"birchcart/internal/fleet/shares"
	"birchcart/policy"
)

const (
	// Every is between steps, for which the controller's constants are.
	Every = lanes.Every
	// WantSpan is over what an account's demand is smoothed.
	WantSpan = 4 * time.Second
	// CheckEvery is between looks at whether the rules hold.
	CheckEvery = 10 * time.Second
	// TellEvery is between summaries while queries come.
	TellEvery = 10 * time.Second
	// LevelMost is the highest level: the rest goes through whatever is seen.
	LevelMost = 0.95
)

// Crew is who there is.
type Crew struct {
	Agreed int      // co-ordinators that are agreed to be there; 0: not known
	Names  []string // of all that count as there, agreed or heard of
	Live   []string // of who is heard of now
}

// Options of one co-ordinator's part. Functions must not wait for disk or network.
type Options struct {
	Name, Zone  string
	Incarnation uint64    // of the process, greater than that of any process before of the same name
	Start       time.Time // of the own monotonic time
	Fleet       int       // co-ordinators of the settings, until the agreed number is known
	Seed        uint64
	Policy      *policy.Config
	Log         *logrus.Entry
	// Set is what to go by, whether that is another one than at the last call, and the revision that is applied here; heard is
	// the highest one that others say they have applied.
	Set func(now time.Duration, heard int) (set *laneconfig.Set, changed bool, applied int)
	// Crew is as of now.
	Crew func() Crew
	// Agreed is agreed time as it is known here, of whatever age.
	Agreed func() time.Duration
	// Wall is the wall's time since 1970.
	Wall func() time.Duration
	Send func(to string, raw []byte)
}

// Shed is one co-ordinator's part. It is an exchange.Lanes.
type Shed struct {
	o        Options
	promises []time.Duration      // by class
	now      func() time.Duration // own monotonic time

	mu    sync.Mutex // of what the exchange's turns use
	gate  *lanes.Gate
	set   *laneconfig.Set
	meter pressure.Meter
	cost  lanes.Cost
	asked []float64 // cost by account since the last step
	used  []int32   // accounts of which that is over 0
	crowd crowd

	mail inbox

	// What follows belongs to the steps.
	rng     *rand.Rand
	news    pressure.News
	control *lanes.Control
	shares  *shares.Shares
	slots   slots
	seq     uint64
	wants   wants
	even    int64
	in      []shares.Input
	room    room
	fleet   pressure.Fleet
	own     pressure.Own
	checked time.Duration
	told    summary
}

// New makes one that goes by what is agreed, or the own file.
func New(o Options) *Shed { return from(o, func() time.Duration { return time.Since(o.Start) }) }

func from(o Options, now func() time.Duration) *Shed {
	if o.Wall == nil {
		o.Wall = func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	}
	s := &Shed{o: o, now: now, control: lanes.NewControl(LevelMost), rng: rand.New(rand.NewPCG(o.Seed^laneconfig.Key(o.Name), o.Incarnation))}
	s.shares = shares.New(shares.Options{Name: o.Name, Incarnation: o.Incarnation, Fleet: o.Fleet, Seed: o.Seed})
	for i := range o.Policy.Classes {
		s.promises = append(s.promises, time.Duration(o.Policy.Classes[i].Promise*float64(time.Second)))
	}
	s.use(s.now())
	return s
}

// Admit implements exchange.Lanes.
func (s *Shed) Admit(at time.Time, q *exchange.Query, route int) exchange.LaneVerdict {
	now := at.Sub(s.o.Start)
	s.mu.Lock()
	defer s.mu.Unlock()
	cost := 0.0
	for i := range q.Parts {
		cost += s.cost.Part(q.Parts[i].Work)
	}
	if s.gate == nil {
		s.meter.Asked(now, 0, false, cost)
		return exchange.LaneVerdict{Account: -1, Class: q.Class, Cost: cost}
	}
	ask := lanes.Ask{Account: s.set.Account(q.Tenant, route, q.Mark), Class: q.Class, Cost: cost, Retry: q.Retry}
	if ask.Account < 0 {
		ask.Key = s.crowd.key(s.set, q, cost)
	} else {
		ask.Piece = s.crowd.piece(&s.set.Accounts[ask.Account], q, cost)
	}
	v := s.gate.Admit(now, ask)
	s.meter.Asked(now, v.Lane, v.Sure(), cost)
	if ask.Account >= 0 {
		if s.asked[ask.Account] == 0 && cost > 0 {
			s.used = append(s.used, int32(ask.Account))
		}
		s.asked[ask.Account] += cost
	}
	return exchange.LaneVerdict{Rejected: !v.Admitted, RetryAfter: v.After, Account: ask.Account, Lane: v.Lane, Class: q.Class, Cost: cost, YieldBy: v.YieldBy}
}

// QueryEnded implements exchange.Lanes.
func (s *Shed) QueryEnded(at time.Time, e exchange.LaneVerdict, o exchange.LaneOutcome) {
	promise := time.Second
	if uint(e.Class) < uint(len(s.promises)) {
		promise = s.promises[e.Class]
	}
	end := pressure.Failed
	switch {
	case o.ClientGone:
		end = pressure.Left
	case o.Status == exchange.Rejected: // by the gate of its route as well
		end = pressure.Refused
	case o.Status == exchange.Served && o.Took <= promise:
		end = pressure.InTime
	case o.Status == exchange.Served:
		end = pressure.Late
	}
	s.mu.Lock()
	s.meter.Ended(at.Sub(s.o.Start), e.Cost, end, o.Took, promise)
	s.mu.Unlock()
}

// Run steps until ctx ends.
func (s *Shed) Run(ctx context.Context) {
	first := time.NewTimer(time.Duration(s.rng.Int64N(int64(Every)))) // not all of a fleet that starts at once together
	defer first.Stop()
	select {
	case <-ctx.Done():
		return
	case <-first.C:
	}
	tick := time.NewTicker(Every)
	defer tick.Stop()
	for {
		s.step(s.now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// step brings all up to now.
func (s *Shed) step(now time.Duration) {
	crew := s.o.Crew()
	s.news.Members(append([]string{s.o.Name}, crew.Names...))
	s.read(now)
	applied := s.use(now)
	s.mu.Lock()
	s.own = s.meter.Step(now, s.control.Level())
	s.demand()
	s.crowd.fade()
	s.mu.Unlock()
	s.seq++
	word := pressure.Word{From: s.o.Name, Incarnation: s.o.Incarnation, Seq: s.seq, Zone: s.o.Zone, Own: s.own, Level: s.control.Level(), Revision: applied}
	s.news.Hear(now, word)
	s.fleet = s.news.Fleet(now)
	level := s.control.Step(now, s.fleet, s.own)
	word.Level = level
	out := s.share(now, crew)
	if s.set != nil {
		slot, left := s.slots.at(now, s.o.Agreed(), s.o.Wall(), s.set.Slot)
		s.mu.Lock()
		s.gate.Level(now, lanes.State{Level: level, Bears: s.control.Bears(), Members: s.fleet.Members, Fleet: s.fleet, Own: s.own, Slot: slot, SlotLeft: left})
		s.mu.Unlock()
		s.parts(now, out)
	}
	s.tell(now, crew, word, out)
	s.say(now, level)
	s.sayStep(level)
	if now >= s.checked+CheckEvery {
		s.checked = now
		s.check()
	}
}

// use goes by what is in force, and gives the revision that is applied here.
func (s *Shed) use(now time.Duration) int {
	next, changed, applied := s.o.Set(now, s.news.Ahead(now))
	if !changed || next == nil {
		return applied
	}
	s.mu.Lock()
	if s.gate == nil {
		s.gate = lanes.New(now, next, max(1, s.o.Fleet))
	} else {
		s.gate.Set(now, next)
	}
	s.set = next
	s.asked, s.used = make([]float64, len(next.Accounts)), make([]int32, 0, len(next.Accounts))
	s.mu.Unlock()
	s.wants.reset(len(next.Accounts))
	s.even = -1 // all parts are told anew
	f := logrus.Fields{"revision": next.Revision, "lanes": len(next.Lanes), "accounts": len(next.Accounts)}
	if len(next.Unknown) > 0 {
		f["unknown"] = next.Unknown
	}
	s.o.Log.WithFields(f).Info("sheds by lanes")
	return applied
}

func (s *Shed) check() {
	errs := []error{s.control.Check(), s.shares.Check()}
	if s.set != nil {
		s.mu.Lock()
		errs = append(errs, s.gate.Check())
		s.mu.Unlock()
	}
	for _, err := range errs {
		if err != nil {
			s.o.Log.WithError(err).Error("a rule of the lanes does not hold")
		}
	}
}
