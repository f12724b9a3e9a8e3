// Package loadshed connects load shedding by priority lanes with the rest of the process: with the exchange, where queries arrive
// and end, and with the gossip between co-ordinators. It only does the I/O and the locking; the decisions are made in packages
// pressure, lanes and shares.
//
//	exchange ──Admit──────> lanes.Gate      (called by the exchange, under a lock that is never held during I/O)
//	         ──QueryEnded─> pressure.Meter
//	Run, every StepInterval:
//	    Meter -> own report -> a few members, with some reports of others and the messages of shares
//	    received messages -> pressure.Reports -> FleetLoad -> lanes.Control (shed level), shares.Shares -> lanes.Gate
//	    configuration in force -> lanes.Gate
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
	// StepInterval is the interval between steps, which the constants of the level controller presuppose.
	StepInterval = lanes.StepInterval
	// DemandTimeConstant is the time constant with which an account's demand is smoothed.
	DemandTimeConstant = 4 * time.Second
	// CheckInterval is the interval between checks of the invariants.
	CheckInterval = 10 * time.Second
	// SummaryInterval is the interval between summaries in the log while queries arrive.
	SummaryInterval = 10 * time.Second
	// MaxLevel is the highest shed level: the rest of the load is admitted at any pressure.
	MaxLevel = 0.95
)

// Membership lists the co-ordinators of the fleet.
type Membership struct {
	AgreedCount int      // number of co-ordinators in the agreed state; 0 if it is not known
	Names       []string // all members, known from the agreed state or from gossip
	Live        []string // other members that gossip reports as alive
}

// Options configures a Shedder. Its functions must not wait for disk or network.
type Options struct {
	Name, Zone  string
	Incarnation uint64    // of the process, greater than that of any earlier process of the same name
	StartTime   time.Time // zero of the local monotonic time
	FleetSize   int       // number of co-ordinators in the settings, used until the agreed number is known
	Seed        uint64
	Policy      *policy.Config
	Log         *logrus.Entry
	// CurrentSet returns the lane set to apply, whether it differs from that of the last call, and the revision that is in force here.
	// peerRevision is the highest revision that other members report.
	CurrentSet func(now time.Duration, peerRevision int) (set *laneconfig.Set, changed bool, applied int)
	// Membership returns the current members.
	Membership func() Membership
	// AgreedTime returns the newest agreed time that is known here, which may be old.
	AgreedTime func() time.Duration
	// WallTime returns the wall clock's time since 1970.
	WallTime func() time.Duration
	// Send sends a message to another co-ordinator.
	Send func(to string, raw []byte)
}

// Shedder is the load shedding of one co-ordinator. It implements exchange.LaneGate.
type Shedder struct {
	options  Options
	promises []time.Duration      // by class
	now      func() time.Duration // local monotonic time

	mu              sync.Mutex // protects the fields up to shedKeys, which the exchange's goroutine uses too
	gate            *lanes.Gate
	set             *laneconfig.Set
	meter           pressure.Meter
	costModel       lanes.CostEstimator
	offered         []float64 // cost by account since the last step
	offeredAccounts []int32   // accounts with offered cost above 0
	shedKeys        shedKeys

	inbox inbox

	// The fields below belong to the goroutine of Run.
	rng           *rand.Rand
	reports       pressure.Reports
	control       *lanes.Control
	shares        *shares.Shares
	slotClock     slotClock
	seq           uint64
	accountDemand accountDemand
	evenShare     int64 // share of each guarantee that accounts without loans have, as last set at the gate; -1: not set
	shareInputs   []shares.Input
	budget        sendBudget
	fleet         pressure.FleetLoad
	local         pressure.LocalLoad
	lastCheck     time.Duration
	logState      logState
}

// New returns a Shedder that applies the set given by o.CurrentSet.
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

// Admit implements exchange.LaneGate.
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
		ask.Partition = s.shedKeys.accountPartition(&s.set.Accounts[ask.Account], q, cost)
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

// QueryEnded implements exchange.LaneGate.
func (s *Shedder) QueryEnded(at time.Time, verdict exchange.LaneVerdict, outcome exchange.LaneOutcome) {
	promise := time.Second
	if uint(verdict.Class) < uint(len(s.promises)) {
		promise = s.promises[verdict.Class]
	}
	loadOutcome := pressure.Failed
	switch {
	case outcome.ClientGone:
		loadOutcome = pressure.Abandoned
	case outcome.Status == exchange.Rejected: // also if the gate of its route rejected it
		loadOutcome = pressure.Refused
	case outcome.Status == exchange.Served && outcome.Took <= promise:
		loadOutcome = pressure.InTime
	case outcome.Status == exchange.Served:
		loadOutcome = pressure.Late
	}
	s.mu.Lock()
	s.meter.RecordOutcome(at.Sub(s.options.StartTime), verdict.Cost, loadOutcome, outcome.Took, promise)
	s.mu.Unlock()
}

// Run makes a step every StepInterval until ctx ends.
func (s *Shedder) Run(ctx context.Context) {
	// The random delay spreads the steps of co-ordinators that start at the same time.
	initialDelay := time.NewTimer(time.Duration(s.rng.Int64N(int64(StepInterval))))
	defer initialDelay.Stop()
	select {
	case <-ctx.Done():
		return
	case <-initialDelay.C:
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

// step processes the messages received, updates the shed level and the shares, and sends the local report.
func (s *Shedder) step(now time.Duration) {
	membership := s.options.Membership()
	s.reports.SetMembers(append([]string{s.options.Name}, membership.Names...))
	s.readInbox(now)
	applied := s.applySet(now)
	s.mu.Lock()
	s.local = s.meter.Step(now, s.control.Level())
	s.collectDemand()
	s.shedKeys.decay()
	s.mu.Unlock()
	s.seq++
	report := pressure.Report{From: s.options.Name, Incarnation: s.options.Incarnation, Seq: s.seq, Zone: s.options.Zone, LocalLoad: s.local, Level: s.control.Level(), Revision: applied}
	s.reports.Add(now, report)
	s.fleet = s.reports.Estimate(now)
	level := s.control.Step(now, s.fleet, s.local)
	report.Level = level
	outputs := s.stepShares(now, membership)
	if s.set != nil {
		slot, slotLeft := s.slotClock.slotAt(now, s.options.AgreedTime(), s.options.WallTime(), s.set.Slot)
		s.mu.Lock()
		s.gate.SetLevel(now, lanes.LevelUpdate{Level: level, Capacity: s.control.Capacity(), Members: s.fleet.Members, Fleet: s.fleet, Own: s.local, Slot: slot, SlotLeft: slotLeft})
		s.mu.Unlock()
		s.applyShares(now, outputs)
	}
	s.sendMessages(now, membership, report, outputs)
	s.logSummary(now, level)
	s.logStep(level)
	if now >= s.lastCheck+CheckInterval {
		s.lastCheck = now
		s.checkInvariants()
	}
}

// applySet applies the configuration in force if it has changed, and returns the revision that is in force here.
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
	s.evenShare = -1 // so that applyShares sets the shares of all accounts again
	fields := logrus.Fields{"revision": next.Revision, "lanes": len(next.Lanes), "accounts": len(next.Accounts)}
	if len(next.Unknown) > 0 {
		fields["unknown"] = next.Unknown
	}
	s.options.Log.WithFields(fields).Info("lane configuration applied")
	return applied
}

// checkInvariants logs the invariants that do not hold.
func (s *Shedder) checkInvariants() {
	errs := []error{s.control.Check(), s.shares.Check()}
	if s.set != nil {
		s.mu.Lock()
		errs = append(errs, s.gate.Check())
		s.mu.Unlock()
	}
	for _, err := range errs {
		if err != nil {
			s.options.Log.WithError(err).Error("an invariant of the lanes does not hold")
		}
	}
}
