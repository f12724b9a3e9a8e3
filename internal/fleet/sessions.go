package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"birchcart/internal/fleet/fleetfile"

	"github.com/sirupsen/logrus"

	"birchcart/internal/exchange"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/migrate"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/sessionctl"
	"birchcart/internal/fleet/sessiongate"
	"birchcart/internal/fleet/view"
	"birchcart/internal/operator"
	"birchcart/internal/placement"
	"birchcart/internal/serve"
	"birchcart/internal/settings"
	"birchcart/policy"
)

const (
	// StewardEvery is between the leader's looks at sessions. Twice as long: a release, or a share of slots, comes so much
	// later; half: twice the walks over slots by co-ordinator and replica.
	StewardEvery = 200 * time.Millisecond
	// ActsMost are under way from this leader to the raft group; more are left out, and come again from who wants them.
	ActsMost = 128
	// leaveBefore the end of the time in which its work has to begin a co-ordinator goes, whatever sessions it has: they are
	// free after its lease. Twice as long: less time for hand-overs; half: the drain may not end in time.
	leaveBefore = 10 * time.Second
	// queriesMost of sessions are open at one co-ordinator, waiting or running; the keeper's own bound is behind it.
	queriesMost = 32_768
	// actBytes of an entry are one act, in JSON, and as many again one with numbers or a reason. Twice as many: more messages; half: an entry may be
	// larger than the raft group takes, and comes to nothing each time.
	actBytes = 104
	// stateMost bytes go with a hand-over.
	stateMost = session.StateMost
)

// sessions is one co-ordinator's part in pinned sessions. What is not said to be shared belongs to the node's run.
type sessions struct {
	n        *Node
	pins     *sessiongate.Gate
	steward  *sessionctl.Steward
	section  *operator.Sessions // in force here
	no       uint64             // of the newest message of acts
	lookAt   time.Duration      // of the next look of the steward
	term     uint64             // that the steward looked in
	rooms    map[string]migrate.Room
	idle     map[string][]session.ID
	unsafe   map[string][]migrate.Unsafe
	sites    []migrate.Coordinator // as of sitesAt
	sitesAt  uint64                // index
	sitesBy  time.Duration         // own time by which they are made anew
	foretold string                // the newest forecast in the log
	toldAt   time.Duration
	wanted   []peerproto.SessionActions // to be proposed by this leader
	way      atomic.Int64               // proposals under way
	leaves   uint64                     // the grant by which this one may go, once it has no session; 0: none
	looked   bool                       // at what a process before this one had
	after    time.Duration              // own time until which parts of that one may run at replicas

	mu   sync.Mutex
	acts []session.Act     // of the own keeper, to be handed on
	done []sessionctl.Done // of the steward's proposals
}

// openSessions begins the part, if the section is there. It comes before the exchange runs.
func (n *Node) openSessions(ctx context.Context, s serve.Host) {
	section := s.Operator.Fleet.Sessions
	if section == nil {
		return
	}
	p := &sessions{n: n, steward: sessionctl.New(), section: section, rooms: map[string]migrate.Room{}, idle: map[string][]session.ID{}, unsafe: map[string][]migrate.Unsafe{}, no: uint64(n.start.UnixNano())}
	p.pins = sessiongate.New(sessiongate.Options{
		Name: n.name, StartTime: n.start, Exchange: s.Exchange, Log: n.log, Names: s.Config.Names, Policy: &s.Config.Policy,
		Sessions: n.state.Sessions, WithLock: n.state.WithLock,
		Propose: func(acts []session.Act) {
			p.mu.Lock()
			p.acts = append(p.acts, acts...)
			p.mu.Unlock()
			n.nudge()
		},
	})
	p.pins.SetRules(section)
	s.Exchange.Pin(p.pins)
	n.sessions = p
	n.done.Go(func() { p.pins.Run(ctx) })
}

// leaseSlack of a lease may be gone when a query comes: a poll a second, and its way.
const leaseSlack = 1500 * time.Millisecond

// fitsSessions refuses classes that must not run twice and whose clients may wait for longer than a lease surely has left: a
// query of theirs begins only if its time is over before others may act for its session.
func fitsSessions(f *operator.Fleet, names *settings.Names, cfg *policy.Config) error {
	if f.Sessions == nil {
		return nil
	}
	left := fleetfile.Milliseconds(f.Lease) + fleetfile.Milliseconds(f.Grace) - leaseSlack
	for i, name := range f.Sessions.Classes {
		c := settings.Place(names.Classes, name)
		if c < 0 || cfg.Classes[c].Effect == policy.Safe {
			continue
		}
		if wait := time.Duration(cfg.Classes[c].GiveUp * float64(time.Second)); wait > left {
			return fmt.Errorf("$.fleet.sessions.classes[%d]: %q stands there; its clients wait for up to %v, and of lease_ms and grace_ms at least %v are left when a query comes: a longer lease_ms is right",
				i, name, wait, left)
		}
	}
	return nil
}

// reload takes a section that was read again.
func (p *sessions) reload(s *operator.Sessions) {
	p.section = s
	p.pins.SetRules(s)
}

// listed tells the keeper which replicas hold each shard.
func (p *sessions) listed(list []exchange.Entry) {
	c := &p.n.s.Config.Policy
	all := make([]placement.Replica, len(list))
	for i, e := range list {
		all[i] = placement.Replica{Name: e.Name, DataCentre: e.Zone, Cell: e.Cell, Up: e.State == policy.Up}
	}
	ring, err := placement.New(placement.Shape{Cells: c.Cells, Reach: c.Reach, Shards: c.Shards}, all)
	if err != nil {
		p.n.lines.limited(p.n, p.n.now(), "the holders of shards are not known to the sessions: "+err.Error())
		return
	}
	by := make([][]string, c.Shards)
	for s := range by {
		for _, r := range ring.All(s) { // a draining one too: parts may go there within its grace
			by[s] = append(by[s], r.Name)
		}
	}
	p.pins.SetHolders(by)
}

// hurry tells the view whether something agreed is waited for here: acts without an end, or a session that moves from or
// to this co-ordinator. It runs in a look.
func (p *sessions) hurry() view.PollUrgently {
	limits, _ := p.n.state.Maintenance.Limits()
	p.steward.Lease(p.n.now(), limits.Lease) // it may have to lead with the next step
	return view.PollUrgently{On: p.pins.AwaitsAgreement() || p.n.state.Sessions.MovesOf(p.n.name)}
}

// step hands on what the keeper wants agreed, and proposes as the leader.
func (p *sessions) step(now time.Duration) {
	n := p.n
	p.pins.Update(n.index, n.era, n.agreedNow, p.lease(now, n.sureUntil(now)))
	p.mu.Lock()
	acts := p.acts
	p.acts = nil
	p.mu.Unlock()
	if len(acts) > 0 && n.leader != "" {
		p.no++
		m := peerproto.SessionActions{From: n.name, Sequence: p.no, Actions: acts[:fits(acts)]}
		if n.term != 0 {
			p.wanted = append(p.wanted, m)
		} else if n.leader != n.name {
			n.send(n.leader, m)
		}
	}
	at, may := n.lead.Time()
	if n.term == 0 || !may {
		p.wanted = nil // their keepers want them still, and say so again
		return
	}
	for _, m := range p.wanted {
		sum := sha256.Sum256([]byte(m.From))
		p.propose(at, fmt.Sprintf("a-%s-%d", hex.EncodeToString(sum[:8]), m.Sequence), session.KindActs, session.ActsBody{From: m.From, Acts: m.Actions}, 0)
	}
	p.wanted = nil
	if p.term != n.term {
		p.term, p.lookAt = n.term, 0
		p.steward.Reset()
		clear(p.rooms)
		clear(p.idle)
		clear(p.unsafe)
	}
	if now < p.lookAt {
		return
	}
	p.lookAt = now + StewardEvery
	p.mu.Lock()
	done := p.done
	p.done = nil
	p.mu.Unlock()
	var out []sessionctl.Propose
	n.state.WithLock(func() {
		p.refreshPlan(now, at)
		out = p.steward.Step(sessionctl.Look{
			Now: now, Agreed: at, Book: n.state.Sessions, Order: n.state.Maintenance, Want: p.limits(), Slots: p.section.Pool, Silent: n.lead.SilentFor, Done: done,
			Sites: p.sites, PerSlot: p.perSlot(), Paused: n.state.Maintenance.Requests().Paused,
		})
	})
	for _, o := range out {
		if o.Kind == session.KindRelease {
			n.log.WithField("what", o.What).Info("a silent co-ordinator's sessions and slots are to be free")
		}
		p.propose(at, fmt.Sprintf("s-%d-%d", n.term, o.No), o.Kind, o.Body, o.No)
	}
	p.foretell(now)
}

// refreshPlan makes the planner's co-ordinators anew if the agreed state has moved, or a wait in it may be over.
func (p *sessions) refreshPlan(now, at time.Duration) {
	n := p.n
	if p.sites == nil || n.index != p.sitesAt || now >= p.sitesBy {
		p.sites, p.sitesAt, p.sitesBy = migrate.FromState(n.state.Maintenance, at), n.index, now+time.Second
	}
	for i := range p.sites {
		c := &p.sites[i]
		c.Room, c.Idle, c.Unsafe = p.rooms[c.Name], p.idle[c.Name], p.unsafe[c.Name]
	}
}

// perSlot is how many sessions share a slot at a replica when all that may be are there.
func (p *sessions) perSlot() int { return (p.section.Most + p.section.Pool - 1) / p.section.Pool }

// foretell logs the planner's forecast when it changes, and what keeps sessions where they are, once in a while.
func (p *sessions) foretell(now time.Duration) {
	plan := p.steward.Plan()
	text := plan.Forecast.String()
	if len(plan.Kept) == 0 && plan.Forecast.Moves == 0 || text == p.foretold || now < p.toldAt+LineEvery {
		return
	}
	p.foretold, p.toldAt = text, now
	p.n.log.WithField("forecast", text).Info("pinned sessions are to move")
	for _, k := range plan.Kept {
		p.n.log.WithFields(logrus.Fields{"from": k.From, "sessions": k.Sessions, "why": k.Why, "one_is": k.Example}).Info("sessions stay for now")
	}
}

// room is what this co-ordinator tells of its sessions.
func (p *sessions) room() *peerproto.SessionLoad {
	if p == nil {
		return nil
	}
	s := p.pins.Stats()
	owned := p.owned()
	return &peerproto.SessionLoad{
		Owned: owned, Open: s.Open + s.Waiting, Queries: queriesMost,
		Memory: max(0, int64(p.section.Most)*operator.SessionMemory-int64(owned)*operator.SessionMemory), Idle: p.pins.IdleSessions(), Unsafe: p.pins.UnsafeQueries(),
	}
}

// hear takes what another one told of its sessions, with a poll.
func (p *sessions) hear(from peerproto.Poll) {
	if x := from.Sessions; x != nil {
		p.rooms[from.From] = migrate.Room{Sessions: p.section.Most, Told: x.Owned, Open: x.Open, Queries: x.Queries, Memory: 2 * x.Memory}
		p.idle[from.From] = x.Idle
		at, _ := p.n.lead.Time()
		var open []migrate.Unsafe
		for _, o := range x.Unsafe { // its way, and what the leader's time is behind by, are far below a deadline
			open = append(open, migrate.Unsafe{ID: o.ID, Due: at + o.TimeLeft})
		}
		p.unsafe[from.From] = open
	}
}

// tell is this part of the summary.
func (p *sessions) tell(f logrus.Fields) {
	s := p.pins.Stats()
	f["sessions"], f["waiting"], f["open"] = s.Sessions, s.Waiting, s.Open
	f["pinned_ran"], f["pinned_refused"], f["pinned_recalled"], f["pinned_failed"] = s.Ran, s.Rejected, s.Cancelled, s.Failed
	f["claimed"], f["adopted"], f["handed"], f["rolled_back"], f["ended"], f["lost"] = s.Claimed, s.Adopted, s.Handed, s.RolledBack, s.Ended, s.Lost
	p.n.state.WithLock(func() {
		f["sessions_agreed"], f["sessions_moving"] = p.n.state.Sessions.Len(), p.n.state.Sessions.Moving()
	})
}

// owned says how many sessions are agreed to be here.
func (p *sessions) owned() (owned int) {
	p.n.state.WithLock(func() { owned = p.n.state.Sessions.Owned(p.n.name) })
	return owned
}

// fleetFile is the section in force.
func (n *Node) fleetFile() *operator.Fleet {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.file.Fleet
}

// leave notes that this co-ordinator may go by the grant of that number. It goes once its sessions are handed on.
func (p *sessions) leave(fence uint64) {
	p.leaves = fence
	p.pins.Drain()
	p.n.log.WithFields(logrus.Fields{"fence": fence, "sessions": p.owned()}).Info("this co-ordinator may go for work, and waits for its sessions to be handed on")
}

// gone says that one that may go may do so now: no session is its any more, or the time before which its work has to begin
// comes, or the grant has ended otherwise.
func (p *sessions) gone() (fence uint64, goes bool) {
	n := p.n
	if p.leaves == 0 {
		return 0, false
	}
	n.state.WithLock(func() {
		it, ok := n.state.Maintenance.ActiveItem(n.name)
		limits, _ := n.state.Maintenance.Limits()
		switch {
		case !ok || it.Fence != p.leaves || it.Phase != maintenance.Acknowledged: // it stays, or is gone for others already
			p.leaves = 0
			p.pins.CancelDrain()
			n.log.Info("this co-ordinator goes for work no more, and takes new sessions again")
		case n.state.Sessions.Owned(n.name) == 0 || n.agreedNow >= it.Until-limits.SettleTime-leaveBefore:
			fence, goes, p.leaves = p.leaves, true, 0
		}
	})
	return fence, goes
}
