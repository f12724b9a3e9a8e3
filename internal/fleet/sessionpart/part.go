// Package sessionpart is one co-ordinator's part in pinned sessions: it connects the session gate, the session controller of the
// leader and the raft group. It is used by the node's loop; what other goroutines may call says so.
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
	// ControllerInterval is between the leader's looks at sessions. Twice as long: a release, or a shift of slots, comes so much
	// later; half: twice the walks over slots by co-ordinator and replica.
	ControllerInterval = 200 * time.Millisecond
	// MaxInFlight proposals are under way from this leader to the raft group; more are left out, and come again from who wants them.
	MaxInFlight = 128
	// ForecastInterval is between lines about what is to move. Twice as long: a change is logged later; half: twice the lines.
	ForecastInterval = 10 * time.Second
	// departureMargin the end of the time in which its work has to begin a co-ordinator leaves, whatever sessions it has: they are
	// free after its lease. Twice as long: less time for hand-overs; half: the drain may not end in time.
	departureMargin = 10 * time.Second
	// maxQueries of sessions are open at one co-ordinator, waiting or running; the owner's own bound is behind it.
	maxQueries = 32_768
)

// Controller is what this part needs of the leader's drain controller.
type Controller interface {
	// Time is the agreed time for a command; false while nothing may be proposed.
	Time() (time.Duration, bool)
	// SilentFor is how long nothing was heard of a co-ordinator.
	SilentFor(name string) time.Duration
}

// Host is what this part needs of the node. Functions must not block.
type Host struct {
	Name       string
	StartTime  time.Time // of the own monotonic time
	State      *agreedstate.Copy
	Exchange   *exchange.Exchange
	Controller Controller
	Names      *settings.Names
	Policy     *policy.Config
	Log        *logrus.Entry
	// Section is the fleet section of the operators' file in force.
	Section func() *operator.Fleet
	// Send sends a message to another co-ordinator.
	Send func(to string, m peerproto.Message)
	// Wake has the node's loop make a step soon.
	Wake func()
	// Warn logs a line, a limited number of times.
	Warn func(text string)
}

// Turn is what a step of the node's loop goes by.
type Turn struct {
	Now        time.Duration // own monotonic
	Index      uint64        // of what was agreed
	Epoch      uint64
	AgreedTime time.Duration
	Leader     string           // as far as it is known here
	Term       uint64           // in which this one leads; 0: it does not
	Group      *raftgroup.Group // nil: without a vote
	LeaseUntil time.Duration    // own time; 0: no lease
	CaughtUp   bool             // a complete reply came to this process
}

// Part is one co-ordinator's part.
type Part struct {
	host       Host
	gate       *sessiongate.Gate
	controller *sessionctl.Controller
	section    *operator.Sessions // in force here

	index                  uint64 // of the newest turn
	sequence               uint64 // of the newest message of acts
	controllerAt           time.Duration
	controllerTerm         uint64
	capacity               map[string]migrate.Capacity
	idle                   map[string][]session.ID
	unsafe                 map[string][]migrate.Unsafe
	coordinators           []migrate.Coordinator // as of planIndex, made anew at planUntil
	planIndex              uint64
	planUntil              time.Duration
	loggedForecast         string
	forecastLoggedAt       time.Duration
	requests               []peerproto.SessionActions // to be proposed by this leader
	inFlight               atomic.Int64               // proposals
	departureFence         uint64                     // the grant by which this one may leave, once it has no session; 0: none
	checkedPreviousProcess bool                       // what a process before this one had
	previousProcessUntil   time.Duration              // own time until which parts of that one may run at replicas

	mu      sync.Mutex
	acts    []session.Act       // of the own owner, to be handed on
	results []sessionctl.Result // of the controller's proposals
}

// New makes the part and has the exchange ask its gate. It comes before the exchange runs; Run runs the gate.
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

// queueActs takes what the owner wants agreed. Any goroutine may call it.
func (p *Part) queueActs(acts []session.Act) {
	p.mu.Lock()
	p.acts = append(p.acts, acts...)
	p.mu.Unlock()
	p.host.Wake()
}

// Reload takes a section that was read again.
func (p *Part) Reload(s *operator.Sessions) {
	p.section = s
	p.gate.SetRules(s)
}

// SetReplicas tells the gate which replicas hold each shard.
func (p *Part) SetReplicas(list []exchange.Endpoint) {
	c := p.host.Policy
	all := make([]placement.Replica, len(list))
	for i, e := range list {
		all[i] = placement.Replica{Name: e.Name, DataCentre: e.Zone, Cell: e.Cell, Up: e.State == policy.Up}
	}
	ring, err := placement.New(placement.Shape{Cells: c.Cells, Reach: c.Reach, Shards: c.Shards}, all)
	if err != nil {
		p.host.Warn("the holders of shards are not known to the sessions: " + err.Error())
		return
	}
	holders := make([][]string, c.Shards)
	for s := range holders {
		for _, r := range ring.AllHolders(s) { // a draining one too: parts may go there within its grace
			holders[s] = append(holders[s], r.Name)
		}
	}
	p.gate.SetHolders(holders)
}

// Urgency tells the view whether something agreed is waited for here: acts without an end, or a session that moves from or to
// this co-ordinator. The state is locked.
func (p *Part) Urgency(now time.Duration) view.PollUrgently {
	limits, _ := p.host.State.Maintenance.Limits()
	p.controller.ObserveLease(now, limits.Lease) // it may have to lead with the next step
	return view.PollUrgently{On: p.gate.AwaitsAgreement() || p.host.State.Sessions.HasMoves(p.host.Name)}
}

// Releasing says whether the controller releases a silent co-ordinator's sessions: it gets no lease meanwhile. The state is
// locked.
func (p *Part) Releasing(name string) bool { return p.controller.Releasing(name) }

// HandleActions takes what another co-ordinator wants agreed, while this one leads.
func (p *Part) HandleActions(m peerproto.SessionActions) { p.requests = append(p.requests, m) }

// Step hands on what the owner wants agreed, and proposes as the leader.
func (p *Part) Step(t Turn) {
	p.index = t.Index
	p.gate.Update(t.Index, t.Epoch, t.AgreedTime, p.leaseUntil(t))
	p.forwardActs(t)
	at, may := p.host.Controller.Time()
	if t.Term == 0 || !may {
		p.requests = nil // their owners want them still, and send them again
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

// forwardActs sends the owner's acts to the leader, or queues them if this one leads.
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

// beginTerm forgets what holds for an earlier term of this leader.
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

// stepController proposes what the session controller wants; at is the agreed time of the proposals.
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
			p.host.Log.WithField("what", o.Description).Info("a silent co-ordinator's sessions and slots are to be free")
		}
		p.propose(t.Group, command{at: at, id: fmt.Sprintf("s-%d-%d", t.Term, o.Number), kind: o.Kind, body: o.Body, proposalNumber: o.Number})
	}
}

// refreshPlan makes the planner's co-ordinators anew if the agreed state has moved, or a wait in it may be over.
func (p *Part) refreshPlan(now, at time.Duration) {
	if p.coordinators == nil || p.index != p.planIndex || now >= p.planUntil {
		p.coordinators, p.planIndex, p.planUntil = migrate.FromState(p.host.State.Maintenance, at), p.index, now+time.Second
	}
	for i := range p.coordinators {
		c := &p.coordinators[i]
		c.Capacity, c.Idle, c.Unsafe = p.capacity[c.Name], p.idle[c.Name], p.unsafe[c.Name]
	}
}

// sessionsPerSlot is how many sessions share a slot at a replica when all that may be are there.
func (p *Part) sessionsPerSlot() int { return (p.section.Most + p.section.Pool - 1) / p.section.Pool }

// logForecast logs the planner's forecast when it changes, and what keeps sessions where they are, once in a while.
func (p *Part) logForecast(now time.Duration) {
	plan := p.controller.Plan()
	text := plan.Forecast.String()
	if len(plan.Deferred) == 0 && plan.Forecast.Moves == 0 || text == p.loggedForecast || now < p.forecastLoggedAt+ForecastInterval {
		return
	}
	p.loggedForecast, p.forecastLoggedAt = text, now
	p.host.Log.WithField("forecast", text).Info("pinned sessions are to move")
	for _, k := range plan.Deferred {
		p.host.Log.WithFields(logrus.Fields{"from": k.From, "sessions": k.Sessions, "why": k.Reason, "one_is": k.Example}).Info("sessions stay for now")
	}
}

// Load is what this co-ordinator reports of its sessions; nil without the part.
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

// HandlePoll takes what another co-ordinator reported of its sessions, with a poll.
func (p *Part) HandlePoll(poll peerproto.Poll) {
	load := poll.Sessions
	if load == nil {
		return
	}
	p.capacity[poll.From] = migrate.Capacity{MaxSessions: p.section.Most, OwnedAtReport: load.Owned, OpenQueries: load.Open, MaxQueries: load.Queries, FreeMemory: 2 * load.Memory}
	p.idle[poll.From] = load.Idle
	at, _ := p.host.Controller.Time()
	var open []migrate.Unsafe
	for _, q := range load.Unsafe { // its way, and what the leader's time is behind by, are far below a deadline
		open = append(open, migrate.Unsafe{ID: q.ID, Due: at + q.TimeLeft})
	}
	p.unsafe[poll.From] = open
}

// AddSummary adds this part's fields to the node's summary.
func (p *Part) AddSummary(f logrus.Fields) {
	s := p.gate.Stats()
	f["sessions"], f["waiting"], f["open"] = s.Sessions, s.Waiting, s.Open
	f["pinned_ran"], f["pinned_refused"], f["pinned_recalled"], f["pinned_failed"] = s.Ran, s.Rejected, s.Cancelled, s.Failed
	f["claimed"], f["adopted"], f["handed"], f["rolled_back"], f["ended"], f["lost"] = s.Claimed, s.Adopted, s.Handed, s.RolledBack, s.Ended, s.Lost
	sessions := p.host.State.Sessions
	p.host.State.WithLock(func() { f["sessions_agreed"], f["sessions_moving"] = sessions.Len(), sessions.Moving() })
}

// owned says how many sessions are agreed to be here.
func (p *Part) owned() (owned int) {
	p.host.State.WithLock(func() { owned = p.host.State.Sessions.Owned(p.host.Name) })
	return owned
}

// Leave notes that this co-ordinator may leave by the grant of that fence. It does once its sessions are handed on.
func (p *Part) Leave(fence uint64) {
	p.departureFence = fence
	p.gate.Drain()
	p.host.Log.WithFields(logrus.Fields{"fence": fence, "sessions": p.owned()}).Info("this co-ordinator may go for work, and waits for its sessions to be handed on")
}

// MayLeaveNow says that one that may leave can do so now: no session is its any more, or the time before which its work has to
// begin comes, or the grant has ended otherwise.
func (p *Part) MayLeaveNow(agreedTime time.Duration) (fence uint64, leaves bool) {
	if p.departureFence == 0 {
		return 0, false
	}
	state := p.host.State
	state.WithLock(func() {
		it, ok := state.Maintenance.ActiveItem(p.host.Name)
		limits, _ := state.Maintenance.Limits()
		switch {
		case !ok || it.Fence != p.departureFence || it.Phase != maintenance.Acknowledged: // it stays, or is gone for others already
			p.departureFence = 0
			p.gate.CancelDrain()
			p.host.Log.Info("this co-ordinator goes for work no more, and takes new sessions again")
		case state.Sessions.Owned(p.host.Name) == 0 || agreedTime >= it.Until-limits.SettleTime-departureMargin:
			fence, leaves, p.departureFence = p.departureFence, true, 0
		}
	})
	return fence, leaves
}
