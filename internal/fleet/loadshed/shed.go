// Package loadshed is the thin I/O around the lanes: it stands between the exchange, where queries come and end, the gate that
// decides on them, and the rest of the fleet. It decides nothing itself.
//
//	exchange ──Enter──> lanes.Gate     (in the exchange's turn, under a lock that is held for no I/O)
//	         ──Over───> pressure.Meter
//	run, each Every: meter -> own word -> a few members, with some words of others and what shares ask and answer
//	                 letters -> pressure.Reports -> Fleet -> lanes.Control -> Gate.Level; shares.Shares -> Gate.Share
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
	// StepInterval is between steps, for which the controller's constants are.
	StepInterval = lanes.StepInterval
	// DemandTimeConstant is over what an account's demand is smoothed.
	DemandTimeConstant = 4 * time.Second
	// CheckInterval is between looks at whether the rules hold.
	CheckInterval = 10 * time.Second
	// SummaryInterval is between summaries while queries come.
	SummaryInterval = 10 * time.Second
	// MaxLevel is the highest level: the rest goes through whatever is seen.
	MaxLevel = 0.95
)

// Membership is who there is.
type Membership struct {
	AgreedCount int      // co-ordinators that are agreed to be there; 0: not known
	Names       []string // of all that count as there, agreed or heard of
	Live        []string // of who is heard of now
}

// Options of one co-ordinator's part. Functions must not wait for disk or network.
type Options struct {
	Name, Zone  string
	Incarnation uint64    // of the process, greater than that of any process before of the same name
	StartTime   time.Time // of the own monotonic time
	FleetSize   int       // co-ordinators of the settings, until the agreed number is known
	Seed        uint64
	Policy      *policy.Config
	Log         *logrus.Entry
	// CurrentSet is what to go by, whether that is another one than at the last call, and the revision that is applied here; heard is
	// the highest one that others say they have applied.
	CurrentSet func(now time.Duration, heard int) (set *laneconfig.Set, changed bool, applied int)
	// Membership is as of now.
	Membership func() Membership
	// AgreedTime is agreed time as it is known here, of whatever age.
	AgreedTime func() time.Duration
	// WallTime is the wall's time since 1970.
	WallTime func() time.Duration
	Send     func(to string, raw []byte)
}

// Shedder is one co-ordinator's part. It is an exchange.Lanes.
type Shedder struct {
	options  Options
	promises []time.Duration      // by class
	now      func() time.Duration // local monotonic time

	mu              sync.Mutex // of what the exchange's turns use
	gate            *lanes.Gate
	set             *laneconfig.Set
	meter           pressure.Meter
	costModel       lanes.CostEstimator
	offered         []float64 // costModel by account since the last step
	offeredAccounts []int32   // accounts of which that is over 0
	shedKeys        shedKeys

	inbox inbox

	// What follows belongs to the steps.
	rng           *rand.Rand
	reports       pressure.Reports
	control       *lanes.Control
	shares        *shares.Shares
	slotClock     slotClock
	seq           uint64
	accountDemand accountDemand
	evenShare     int64
	shareInputs   []shares.Input
	budget        sendBudget
	fleet         pressure.FleetLoad
	local         pressure.LocalLoad
	lastCheck     time.Duration
	logState      logState
}

// New makes one that goes by what is agreed, or the own file.
func New(o Options) *Shedder {
	return newShedder(o, func() time.Duration { return time.Since(o.StartTime) })
}

func newShedder(o Options, now func() time.Duration) *Shedder {
	if o.WallTime == nil {
		o.WallTime = func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	}
	s := &Shedder{options: o, now: now, control: lanes.NewControl(MaxLevel), rng: rand.New(rand.NewPCG(o.Seed^laneconfig.HashName(o.Name), o.Incarnation))}
	s.shares = shares.New(shares.Options{Name: o.Name, Incarnation: o.Incarnation, FleetSize: o.FleetSize, Seed: o.Seed})
	for i := range o.Policy.Classes {
		s.promises = append(s.promises, time.Duration(o.Policy.Classes[i].Promise*float64(time.Second)))
	}
	s.applySet(s.now())
	return s
}

// Admit implements exchange.Lanes.
func (s *Shedder) Admit(at time.Time, q *exchange.Query, route int) exchange.LaneVerdict {
	now := at.Sub(s.options.StartTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	cost := 0.0
	for i := range q.Parts {
		cost += s.costModel.Part(q.Parts[i].Work)
	}
	if s.gate == nil {
		s.meter.RecordQuery(now, 0, false, cost)
		return exchange.LaneVerdict{Account: -1, Class: q.Class, Cost: cost}
	}
	ask := lanes.Query{Account: s.set.AccountOf(q.Tenant, route, q.LaneMark), Class: q.Class, Cost: cost, Retry: q.Retry}
	if ask.Account < 0 {
		ask.Key = s.shedKeys.key(s.set, q, cost)
	} else {
		ask.Partition = s.shedKeys.accountPiece(&s.set.Accounts[ask.Account], q, cost)
	}
	v := s.gate.Admit(now, ask)
	s.meter.RecordQuery(now, v.Lane, v.WithinGuarantee(), cost)
	if ask.Account >= 0 {
		if s.offered[ask.Account] == 0 && cost > 0 {
			s.offeredAccounts = append(s.offeredAccounts, int32(ask.Account))
		}
		s.offered[ask.Account] += cost
	}
	return exchange.LaneVerdict{Rejected: !v.Admitted, RetryAfter: v.RetryAfter, Account: ask.Account, Lane: v.Lane, Class: q.Class, Cost: cost, YieldBy: v.PromiseDivisor}
}

// QueryEnded implements exchange.Lanes.
func (s *Shedder) QueryEnded(at time.Time, e exchange.LaneVerdict, o exchange.LaneOutcome) {
	promise := time.Second
	if uint(e.Class) < uint(len(s.promises)) {
		promise = s.promises[e.Class]
	}
	end := pressure.Failed
	switch {
	case o.ClientGone:
		end = pressure.Abandoned
	case o.Status == exchange.Rejected: // by the gate of its route as well
		end = pressure.Refused
	case o.Status == exchange.Served && o.Took <= promise:
		end = pressure.InTime
	case o.Status == exchange.Served:
		end = pressure.Late
	}
	s.mu.Lock()
	s.meter.RecordOutcome(at.Sub(s.options.StartTime), e.Cost, end, o.Took, promise)
	s.mu.Unlock()
}

// Run steps until ctx ends.
func (s *Shedder) Run(ctx context.Context) {
	first := time.NewTimer(time.Duration(s.rng.Int64N(int64(StepInterval)))) // not all of a fleet that starts at once together
	defer first.Stop()
	select {
	case <-ctx.Done():
		return
	case <-first.C:
	}
	tick := time.NewTicker(StepInterval)
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
func (s *Shedder) step(now time.Duration) {
	crew := s.options.Membership()
	s.reports.SetMembers(append([]string{s.options.Name}, crew.Names...))
	s.readInbox(now)
	applied := s.applySet(now)
	s.mu.Lock()
	s.local = s.meter.Step(now, s.control.Level())
	s.collectDemand()
	s.shedKeys.decay()
	s.mu.Unlock()
	s.seq++
	word := pressure.Report{From: s.options.Name, Incarnation: s.options.Incarnation, Seq: s.seq, Zone: s.options.Zone, LocalLoad: s.local, Level: s.control.Level(), Revision: applied}
	s.reports.Add(now, word)
	s.fleet = s.reports.Estimate(now)
	level := s.control.Step(now, s.fleet, s.local)
	word.Level = level
	out := s.stepShares(now, crew)
	if s.set != nil {
		slot, left := s.slotClock.slotAt(now, s.options.AgreedTime(), s.options.WallTime(), s.set.Slot)
		s.mu.Lock()
		s.gate.SetLevel(now, lanes.LevelUpdate{Level: level, Capacity: s.control.Capacity(), Members: s.fleet.Members, Fleet: s.fleet, Own: s.local, Slot: slot, SlotLeft: left})
		s.mu.Unlock()
		s.applyShares(now, out)
	}
	s.sendMessages(now, crew, word, out)
	s.logSummary(now, level)
	s.logStep(level)
	if now >= s.lastCheck+CheckInterval {
		s.lastCheck = now
		s.checkInvariants()
	}
}

// applySet goes by what is in force, and gives the revision that is applied here.
func (s *Shedder) applySet(now time.Duration) int {
	next, changed, applied := s.options.CurrentSet(now, s.reports.NewestRevision(now))
	if !changed || next == nil {
		return applied
	}
	s.mu.Lock()
	if s.gate == nil {
		s.gate = lanes.New(now, next, max(1, s.options.FleetSize))
	} else {
		s.gate.SetConfig(now, next)
	}
	s.set = next
	s.offered, s.offeredAccounts = make([]float64, len(next.Accounts)), make([]int32, 0, len(next.Accounts))
	s.mu.Unlock()
	s.accountDemand.reset(len(next.Accounts))
	s.evenShare = -1 // total parts are told anew
	f := logrus.Fields{"revision": next.Revision, "lanes": len(next.Lanes), "accounts": len(next.Accounts)}
	if len(next.Unknown) > 0 {
		f["unknown"] = next.Unknown
	}
	s.options.Log.WithFields(f).Info("sheds by lanes")
	return applied
}

func (s *Shedder) checkInvariants() {
	errs := []error{s.control.Check(), s.shares.Check()}
	if s.set != nil {
		s.mu.Lock()
		errs = append(errs, s.gate.Check())
		s.mu.Unlock()
	}
	for _, err := range errs {
		if err != nil {
			s.options.Log.WithError(err).Error("a rule of the lanes does not hold")
		}
	}
}
