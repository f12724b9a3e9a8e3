// Package sessionpart connects the session gate, the leader's session controller and the raft group within one co-ordinator. It is
// used by the goroutine of the node's loop; functions that other goroutines may call say so.
package sessionpart

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/exchange"
	"birchcart/internal/fleet/agreedstate"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/migrate"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/raftgroup"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/sessionctl"
	"birchcart/internal/fleet/sessiongate"
	"birchcart/internal/fleet/view"
	"birchcart/internal/operator"
	"birchcart/internal/placement"
	"birchcart/internal/settings"
	"birchcart/policy"
)

const (
	// ControllerInterval is the time between steps of the leader's session controller. A longer interval delays releases and shifts
	// of slots; each step walks over the slots of every co-ordinator at every replica.
	ControllerInterval = 200 * time.Millisecond
	// MaxInFlight is the maximum of proposals from this leader to the raft group that are in flight. More are dropped, and
	// requested again by the component that needs them.
	MaxInFlight = 128
	// ForecastInterval is the minimum time between two log lines of the migration forecast. A longer interval logs changes later;
	// a shorter one logs more lines.
	ForecastInterval = 10 * time.Second
	// departureMargin is how long before the latest start of its maintenance a co-ordinator leaves even if it still owns sessions,
	// which are released after its lease. A longer margin leaves less time for hand-overs; with half of it the drain may not end
	// in time.
	departureMargin = 10 * time.Second
	// maxQueries is the reported maximum of session queries that wait or run at one co-ordinator; the owner enforces its own limit.
	maxQueries = 32_768
)

// Controller is the part of the leader's drain controller that sessions use.
type Controller interface {
	// Time returns the agreed time for a new command; false while nothing may be proposed.
	Time() (time.Duration, bool)
	// SilentFor returns the time since the last message from a co-ordinator.
	SilentFor(name string) time.Duration
}

// Host is the part of the node that sessions use. Functions must not block.
type Host struct {
	Name       string
	StartTime  time.Time // zero of the local monotonic time
	State      *agreedstate.Copy
	Exchange   *exchange.Exchange
	Controller Controller
	Names      *settings.Names
	Policy     *policy.Config
	Log        *logrus.Entry
	// Section returns the fleet section of the operators' file that is in force.
	Section func() *operator.Fleet
	// Send sends a message to another co-ordinator.
	Send func(to string, m peerproto.Message)
	// Wake makes the node's loop step soon.
	Wake func()
	// Warn logs a warning, a limited number of times.
	Warn func(text string)
}

// Turn is the input to one step of the node's loop.
type Turn struct {
	Now        time.Duration // local monotonic time
	Index      uint64        // of the last applied log entry
	Epoch      uint64        // of the log
	AgreedTime time.Duration
	Leader     string           // "" if unknown
	Term       uint64           // the term in which this co-ordinator leads; 0 if it doesn't
	Group      *raftgroup.Group // nil if this co-ordinator is no voter
	LeaseUntil time.Duration    // local time; 0 without a lease
	CaughtUp   bool             // this process has received a complete reply to a poll
}

// Part runs the sessions of one co-ordinator.
type Part struct {
	host       Host
	gate       *sessiongate.Gate
	controller *sessionctl.Controller
	section    *operator.Sessions // in force here

	index                  uint64        // Turn.Index of the newest step
	sequence               uint64        // of the newest SessionActions message
	controllerAt           time.Duration // next step of the controller
	controllerTerm         uint64
	capacity               map[string]migrate.Capacity // this and the next two: as last reported, by co-ordinator
	idle                   map[string][]session.ID
	unsafe                 map[string][]migrate.Unsafe
	coordinators           []migrate.Coordinator // as of planIndex, rebuilt at planUntil
	planIndex              uint64
	planUntil              time.Duration
	loggedForecast         string
	forecastLoggedAt       time.Duration
	requests               []peerproto.SessionActions // received acts that this leader has still to propose
	inFlight               atomic.Int64               // proposals in flight
	departureFence         uint64                     // fence of the grant by which this co-ordinator may leave once it owns no session; 0: none
	checkedPreviousProcess bool                       // whether previousProcessUntil was determined
	previousProcessUntil   time.Duration              // local time until which parts of the previous process may run at replicas

	mu      sync.Mutex
	acts    []session.Act       // of the local owner, not yet sent to the leader
	results []sessionctl.Result // results of the controller's proposals
}

// New returns a part and sets its gate in the exchange. It must be called before the exchange runs. Run runs the gate.
func New(h Host, section *operator.Sessions) *Part {
	p := &Part{host: h, controller: sessionctl.New(), section: section, capacity: map[string]migrate.Capacity{},
		idle: map[string][]session.ID{}, unsafe: map[string][]migrate.Unsafe{}, sequence: uint64(h.StartTime.UnixNano())}
	p.gate = sessiongate.New(sessiongate.Options{
		Name: h.Name, StartTime: h.StartTime, Exchange: h.Exchange, Log: h.Log, Names: h.Names, Policy: h.Policy,
		Sessions: h.State.Sessions, WithLock: h.State.WithLock, Propose: p.queueActs,
	})
	p.gate.SetRules(section)
	h.Exchange.SetSessionGate(p.gate)
	return p
}

// Run runs the gate until ctx ends.
func (p *Part) Run(ctx context.Context) { p.gate.Run(ctx) }

// queueActs queues acts of the owner for the leader. It may be called from any goroutine.
func (p *Part) queueActs(acts []session.Act) {
	p.mu.Lock()
	p.acts = append(p.acts, acts...)
	p.mu.Unlock()
	p.host.Wake()
}

// Reload applies a reloaded section of the operators' file.
func (p *Part) Reload(s *operator.Sessions) {
	p.section = s
	p.gate.SetRules(s)
}

// SetReplicas computes which replicas hold each shard and passes them to the gate.
func (p *Part) SetReplicas(list []exchange.Endpoint) {
	c := p.host.Policy
	all := make([]placement.Replica, len(list))
	for i, e := range list {
		all[i] = placement.Replica{Name: e.Name, DataCentre: e.Zone, Cell: e.Cell, Up: e.State == policy.Up}
	}
	ring, err := placement.New(placement.Shape{Cells: c.Cells, Reach: c.Reach, Shards: c.Shards}, all)
	if err != nil {
		p.host.Warn("sessions: cannot compute the holders of shards: " + err.Error())
		return
	}
	holders := make([][]string, c.Shards)
	for s := range holders {
		for _, r := range ring.AllHolders(s) { // draining ones too: parts may be sent there within their grace period
			holders[s] = append(holders[s], r.Name)
		}
	}
	p.gate.SetHolders(holders)
}

// Urgency reports whether this co-ordinator should poll urgently because it waits for the agreed state: for the result of acts, or
// for a session that moves from or to it. The caller holds the state's lock.
func (p *Part) Urgency(now time.Duration) view.PollUrgently {
	limits, _ := p.host.State.Maintenance.Limits()
	p.controller.ObserveLease(now, limits.Lease) // also while another co-ordinator leads, since this one may lead from the next step on
	return view.PollUrgently{On: p.gate.AwaitsAgreement() || p.host.State.Sessions.HasMoves(p.host.Name)}
}

// Releasing reports whether the release of a silent co-ordinator's sessions may be in flight. It must not get a lease meanwhile.
// The caller holds the state's lock.
func (p *Part) Releasing(name string) bool { return p.controller.Releasing(name) }

// HandleActions queues acts of another co-ordinator for proposal, while this one leads.
func (p *Part) HandleActions(m peerproto.SessionActions) { p.requests = append(p.requests, m) }

// Step forwards the owner's acts to the leader. On the leader it also proposes queued acts and steps the session controller.
func (p *Part) Step(t Turn) {
	p.index = t.Index
	p.gate.Update(t.Index, t.Epoch, t.AgreedTime, p.leaseUntil(t))
	p.forwardActs(t)
	at, allowed := p.host.Controller.Time()
	if t.Term == 0 || !allowed {
		p.requests = nil // the owners send them again
		return
	}
	for _, m := range p.requests {
		sum := sha256.Sum256([]byte(m.From))
		p.propose(t.Group, command{at: at, id: fmt.Sprintf("a-%s-%d", hex.EncodeToString(sum[:8]), m.Sequence), kind: session.KindActs,
			body: session.ActsBody{From: m.From, Acts: m.Actions}})
	}
	p.requests = nil
	p.beginTerm(t.Term)
	if t.Now >= p.controllerAt {
		p.controllerAt = t.Now + ControllerInterval
		p.stepController(t, at)
		p.logForecast(t.Now)
	}
}

// forwardActs sends the owner's acts to the leader, or queues them if this co-ordinator leads.
func (p *Part) forwardActs(t Turn) {
	p.mu.Lock()
	acts := p.acts
	p.acts = nil
	p.mu.Unlock()
	if len(acts) == 0 || t.Leader == "" {
		return
	}
	p.sequence++
	m := peerproto.SessionActions{From: p.host.Name, Sequence: p.sequence, Actions: acts[:countFitting(acts)]}
	if t.Term != 0 {
		p.requests = append(p.requests, m)
	} else if t.Leader != p.host.Name {
		p.host.Send(t.Leader, m)
	}
}

// beginTerm resets the controller and the reports of co-ordinators at the start of a new term.
func (p *Part) beginTerm(term uint64) {
	if p.controllerTerm == term {
		return
	}
	p.controllerTerm, p.controllerAt = term, 0
	p.controller.Reset()
	clear(p.capacity)
	clear(p.idle)
	clear(p.unsafe)
}

// stepController steps the session controller and proposes its commands, with the agreed time at.
func (p *Part) stepController(t Turn, at time.Duration) {
	p.mu.Lock()
	results := p.results
	p.results = nil
	p.mu.Unlock()
	state := p.host.State
	var out []sessionctl.Proposal
	state.WithLock(func() {
		p.refreshPlan(t.Now, at)
		out = p.controller.Step(sessionctl.Input{
			Now: t.Now, AgreedTime: at, Sessions: state.Sessions, Maintenance: state.Maintenance, WantedLimits: p.limits(), SlotsPerReplica: p.section.Pool,
			SilentFor: p.host.Controller.SilentFor, Results: results, Coordinators: p.coordinators, SessionsPerSlot: p.sessionsPerSlot(),
			Paused: state.Maintenance.Requests().Paused,
		})
	})
	for _, o := range out {
		if o.Kind == session.KindRelease {
			p.host.Log.WithField("what", o.Description).Info("releasing the sessions and slots of a silent co-ordinator")
		}
		p.propose(t.Group, command{at: at, id: fmt.Sprintf("s-%d-%d", t.Term, o.Number), kind: o.Kind, body: o.Body, proposalNumber: o.Number})
	}
}

// refreshPlan rebuilds the planner's list of co-ordinators if the agreed state has changed, or once a second because its timeouts
// may have expired, and adds what they last reported.
func (p *Part) refreshPlan(now, at time.Duration) {
	if p.coordinators == nil || p.index != p.planIndex || now >= p.planUntil {
		p.coordinators, p.planIndex, p.planUntil = migrate.FromState(p.host.State.Maintenance, at), p.index, now+time.Second
	}
	for i := range p.coordinators {
		c := &p.coordinators[i]
		c.Capacity, c.Idle, c.Unsafe = p.capacity[c.Name], p.idle[c.Name], p.unsafe[c.Name]
	}
}

// sessionsPerSlot returns how many sessions share a slot at a replica when the maximum of sessions is reached.
func (p *Part) sessionsPerSlot() int { return (p.section.Most + p.section.Pool - 1) / p.section.Pool }

// logForecast logs the planner's forecast when it changes, and why sessions don't move, at most once per ForecastInterval.
func (p *Part) logForecast(now time.Duration) {
	plan := p.controller.Plan()
	text := plan.Forecast.String()
	if len(plan.Deferred) == 0 && plan.Forecast.Moves == 0 || text == p.loggedForecast || now < p.forecastLoggedAt+ForecastInterval {
		return
	}
	p.loggedForecast, p.forecastLoggedAt = text, now
	p.host.Log.WithField("forecast", text).Info("forecast of session moves changed")
	for _, k := range plan.Deferred {
		p.host.Log.WithFields(logrus.Fields{"from": k.From, "sessions": k.Sessions, "why": k.Reason, "one_is": k.Example}).Info("sessions are not moved for now")
	}
}

// Load returns the load of sessions that this co-ordinator reports; nil if p is nil.
func (p *Part) Load() *peerproto.SessionLoad {
	if p == nil {
		return nil
	}
	s := p.gate.Stats()
	owned := p.owned()
	return &peerproto.SessionLoad{
		Owned: owned, Open: s.Open + s.Waiting, Queries: maxQueries,
		Memory: max(0, int64(p.section.Most)*operator.SessionMemory-int64(owned)*operator.SessionMemory),
		Idle:   p.gate.IdleSessions(), Unsafe: p.gate.UnsafeQueries(),
	}
}

// HandlePoll records the session load that another co-ordinator reported with a poll.
func (p *Part) HandlePoll(poll peerproto.Poll) {
	load := poll.Sessions
	if load == nil {
		return
	}
	p.capacity[poll.From] = migrate.Capacity{MaxSessions: p.section.Most, OwnedAtReport: load.Owned, OpenQueries: load.Open, MaxQueries: load.Queries, FreeMemory: 2 * load.Memory}
	p.idle[poll.From] = load.Idle
	at, _ := p.host.Controller.Time()
	var open []migrate.Unsafe
	for _, q := range load.Unsafe { // the poll's delay and the lag of the leader's agreed time are far shorter than deadlines
		open = append(open, migrate.Unsafe{ID: q.ID, Due: at + q.TimeLeft})
	}
	p.unsafe[poll.From] = open
}

// AddSummary adds the fields of sessions to the node's summary.
func (p *Part) AddSummary(f logrus.Fields) {
	s := p.gate.Stats()
	f["sessions"], f["waiting"], f["open"] = s.Sessions, s.Waiting, s.Open
	f["pinned_ran"], f["pinned_refused"], f["pinned_recalled"], f["pinned_failed"] = s.Ran, s.Rejected, s.Cancelled, s.Failed
	f["claimed"], f["adopted"], f["handed"], f["rolled_back"], f["ended"], f["lost"] = s.Claimed, s.Adopted, s.Handed, s.RolledBack, s.Ended, s.Lost
	sessions := p.host.State.Sessions
	p.host.State.WithLock(func() { f["sessions_agreed"], f["sessions_moving"] = sessions.Len(), sessions.Moving() })
}

// owned returns the number of sessions that this co-ordinator owns by the agreed state.
func (p *Part) owned() (owned int) {
	p.host.State.WithLock(func() { owned = p.host.State.Sessions.Owned(p.host.Name) })
	return owned
}

// Leave records that the grant with that fence allows this co-ordinator to leave, and starts to drain its sessions.
func (p *Part) Leave(fence uint64) {
	p.departureFence = fence
	p.gate.Drain()
	p.host.Log.WithFields(logrus.Fields{"fence": fence, "sessions": p.owned()}).Info("granted to leave for maintenance, waiting for the hand-over of sessions")
}

// MayLeaveNow reports whether a co-ordinator with a grant leaves now: it owns no session any more, or the latest start of its
// maintenance is near. If the grant has ended otherwise, it cancels the drain and returns false.
func (p *Part) MayLeaveNow(agreedTime time.Duration) (fence uint64, leaves bool) {
	if p.departureFence == 0 {
		return 0, false
	}
	state := p.host.State
	state.WithLock(func() {
		it, ok := state.Maintenance.ActiveItem(p.host.Name)
		limits, _ := state.Maintenance.Limits()
		switch {
		case !ok || it.Fence != p.departureFence || it.Phase != maintenance.Acknowledged: // it stays, or others already regard it as gone
			p.departureFence = 0
			p.gate.CancelDrain()
			p.host.Log.Info("grant to leave has ended, accepting new sessions again")
		case state.Sessions.Owned(p.host.Name) == 0 || agreedTime >= it.Until-limits.SettleTime-departureMargin:
			fence, leaves, p.departureFence = p.departureFence, true, 0
		}
	})
	return fence, leaves
}
