package session

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"birchcart/internal/fleet/statemachine"
)

// simCoordinator is a co-ordinator whose copy of the state is behind, and whose messages are lost, late, repeated and out of order.
type simCoordinator struct {
	version        int                   // of its copy: index in simulation.history
	leaseLostAt    time.Duration         // since then it has no lease; -1: it has one
	releasePending bool                  // its release was proposed since then: it gets no lease before the release was applied
	frozen         map[ID]uint64         // number of the offer for which it sent the hand-over
	ended          map[ID]uint64         // epoch in which it ended the session
	seq            map[queryEpoch]uint64 // queries begun in an epoch
}

// queryEpoch names an epoch of a session.
type queryEpoch struct {
	id    ID
	epoch uint64
}

// message is a command on its way to the state machine.
type message struct {
	kind string
	body any
}

// simulation runs co-ordinators and a leader on one State, and checks the invariants independently of Check.
type simulation struct {
	t            *testing.T
	seed         int
	restored     *State
	rand         *rand.Rand
	state        *State
	history      []*State
	eraStart     int // index of the first state of this era in history
	blockedUntil time.Duration
	coordinators map[string]*simCoordinator
	messages     []message
	now          time.Duration
	lastJump     time.Duration // time jumped to this value, and no co-ordinator could act in between
	fence        uint64

	lastQuery map[ID]queryEpoch        // epoch of the last query that any co-ordinator began
	actingFor map[queryEpoch]string    // co-ordinator that acts in an epoch
	seq       map[ID]uint64            // number of the last query begun, unless its owner was released
	maxEpoch  map[ID]uint64            // highest epoch seen
	moveStart map[uint64]time.Duration // by the number of the offer: when it was first seen
	events    map[string]int
}

var coNames, ids = []string{"c0", "c1", "c2"}, []ID{idA, idB, idC}

// mayAct reports whether co may act for a session now: it owns the session by its copy, has a lease, and has sent neither a
// hand-over nor an end of it.
func (sim *simulation) mayAct(co string, id ID) (Record, bool) {
	x := sim.coordinators[co]
	r, ok := sim.history[x.version].Get(id)
	ok = ok && x.leaseLostAt < 0 && r.Owner == co && (r.Phase == Pinned || r.Phase == Offered) && x.ended[id] != r.Epoch
	return r, ok && (r.Phase == Pinned || x.frozen[id] != r.Fence)
}

func pick[T any](sim *simulation, from []T) T { return from[sim.rand.IntN(len(from))] }

// begin begins a query at co, and checks that it comes after the last one of any epoch, in order.
func (sim *simulation) begin(co string, id ID) {
	r, ok := sim.mayAct(co, id)
	if !ok {
		return
	}
	q := queryEpoch{id, r.Epoch}
	x := sim.coordinators[co]
	x.seq[q] = max(x.seq[q], r.Seq) + 1
	if last := sim.lastQuery[id]; last.epoch > r.Epoch || sim.actingFor[q] != "" && sim.actingFor[q] != co {
		sim.t.Fatalf("seed %d: S1: %s begins a query of %s in epoch %d, after one in epoch %d, where %s acted",
			sim.seed, co, id, r.Epoch, last.epoch, sim.actingFor[q])
	}
	if x.seq[q] <= sim.seq[id] {
		sim.t.Fatalf("seed %d: S3: %s begins query %d of %s in epoch %d, %d were begun", sim.seed, co, x.seq[q], id, r.Epoch, sim.seq[id])
	}
	sim.lastQuery[id], sim.actingFor[q], sim.seq[id] = q, co, x.seq[q]
	sim.events["begin"]++
}

func (sim *simulation) send(from string, a Act) {
	sim.messages = append(sim.messages, message{KindActs, acts(from, a)})
}

// sendAct sends an act of co for a session that fits its copy of the state.
func (sim *simulation) sendAct(co string, id ID) {
	x := sim.coordinators[co]
	r, ok := sim.history[x.version].Get(id)
	_, mayAct := sim.mayAct(co, id)
	end := sim.rand.IntN(4) == 0
	switch {
	case x.leaseLostAt >= 0:
	case !ok:
		sim.send(co, Act{Kind: Claim, ID: id, Epoch: r.Epoch})
	case mayAct && end:
		x.ended[id] = r.Epoch
		sim.send(co, Act{Kind: End, ID: id, Epoch: r.Epoch, Seq: max(x.seq[queryEpoch{id, r.Epoch}], r.Seq)})
	case mayAct && r.Phase == Offered:
		x.frozen[id] = r.Fence
		sim.send(co, Act{Kind: HandOver, ID: id, Epoch: r.Epoch, Fence: r.Fence, Seq: max(x.seq[queryEpoch{id, r.Epoch}], r.Seq)})
	case r.Phase == HandedOver && r.Owner == co && !end:
		sim.send(co, Act{Kind: Adopt, ID: id, Epoch: r.Epoch})
	case r.Phase == HandedOver && r.Owner == co, r.Phase == Offered && r.To == co:
		sim.send(co, Act{Kind: Decline, ID: id, Epoch: r.Epoch, Fence: r.Fence})
	}
}

// sendLeaderCommand sends a plan of a leader whose copy is behind, or the release of a silent co-ordinator.
func (sim *simulation) sendLeaderCommand(co string, id ID) {
	r, ok := sim.history[(sim.eraStart + sim.rand.IntN(len(sim.history)-sim.eraStart))].Get(id)
	x := sim.coordinators[co]
	switch {
	case x.leaseLostAt >= 0 && sim.now-x.leaseLostAt >= limits.SilentFor():
		x.releasePending = true
		sim.messages = append(sim.messages, message{KindRelease, ReleaseBody{co, sim.now - x.leaseLostAt, sim.now}})
	case !ok:
	case r.Phase == Offered:
		sim.messages = append(sim.messages, message{KindPlan, PlanBody{Withdrawals: []Withdrawal{{id, r.Epoch, r.Fence}}}})
	default:
		sim.messages = append(sim.messages, message{KindPlan, PlanBody{Offers: []Offer{{ID: id, Epoch: r.Epoch, From: r.Owner, To: co}}}})
	}
}

// apply applies a message to the state and to a second one that was restored from a snapshot earlier. Both must stay equal.
func (sim *simulation) apply(m message) {
	sim.state.Tick(sim.now)
	before, err := sim.state.Save()
	if err != nil {
		sim.t.Fatal(err)
	}
	raw, _ := json.Marshal(m.body)
	next, restoredNext := sim.fence, sim.fence
	err = sim.state.Apply(sim.now, func() uint64 { next++; return next }, m.kind, raw)
	after, _ := sim.state.Save()
	if err != nil && !bytes.Equal(before, after) {
		sim.t.Fatalf("seed %d: a refused command changed the state: %v\n%s\n%s", sim.seed, err, before, after)
	}
	if sim.restored != nil {
		_ = sim.restored.Apply(sim.now, func() uint64 { restoredNext++; return restoredNext }, m.kind, raw)
		if other, _ := sim.restored.Save(); !bytes.Equal(after, other) {
			sim.t.Fatalf("seed %d: a restored state differs after %s: %v\n%s\n%s", sim.seed, raw, err, after, other)
		}
	}
	if sim.restored == nil || sim.rand.IntN(8) == 0 { // snapshots are taken right after an entry
		sim.restored = New()
		if err := sim.restored.Load(after); err != nil {
			sim.t.Fatalf("seed %d: %v", sim.seed, err)
		}
	}
	if err == nil {
		sim.fence = next
		sim.events[m.kind]++
	}
	if r, ok := m.body.(ReleaseBody); ok {
		if x := sim.coordinators[r.Name]; x.leaseLostAt >= 0 && r.At-r.Silent == x.leaseLostAt {
			x.releasePending = false
		}
		if err == nil {
			sim.forgetFreeSequences() // its sessions go on from the last agreed number
		}
	}
	sim.history = append(sim.history, sim.state.Clone())
}

// forgetFreeSequences drops the query numbers of sessions that are free.
func (sim *simulation) forgetFreeSequences() {
	for _, id := range ids {
		if _, ok := sim.state.Get(id); !ok {
			delete(sim.seq, id)
		}
	}
}

// renew sets the raft group up anew from a copy that may be behind. Co-ordinators with other copies act on until their leases have
// ended.
func (sim *simulation) renew() {
	sim.state = sim.history[(sim.eraStart + sim.rand.IntN(len(sim.history)-sim.eraStart))].Clone()
	sim.blockedUntil = sim.now + 20*second
	sim.fence += statemachine.FenceGap
	sim.state.Tick(sim.now)
	sim.state.Renew(sim.blockedUntil)
	sim.eraStart, sim.restored = len(sim.history), nil
	sim.history = append(sim.history, sim.state.Clone())
	clear(sim.moveStart)
	sim.events["renew"]++
	sim.forgetFreeSequences()
}

func (sim *simulation) step() {
	co, id := pick(sim, coNames), pick(sim, ids)
	x := sim.coordinators[co]
	switch op := sim.rand.IntN(64); {
	case op < 16:
		x.version = max(x.version, sim.eraStart+sim.rand.IntN(len(sim.history)-sim.eraStart), len(sim.history)-1-sim.rand.IntN(8))
	case op < 24:
		sim.begin(co, id)
	case op < 36:
		sim.sendAct(co, id)
	case op < 42:
		sim.sendLeaderCommand(co, id)
	case op < 58 && len(sim.messages) > 0:
		sim.apply(sim.messages[max(0, len(sim.messages)-1-sim.rand.IntN(5))])
	case op < 60 && len(sim.messages) > 0:
		sim.apply(pick(sim, sim.messages))
	case op < 62:
		sim.now += time.Duration(sim.rand.IntN(3)) * second
	case op == 62 && x.leaseLostAt < 0 && sim.rand.IntN(2) == 0:
		x.leaseLostAt, x.releasePending = sim.now, false
	case op == 62 && x.leaseLostAt >= 0 && !x.releasePending: // a new lease comes with a copy that has all that was agreed before it
		x.leaseLostAt, x.version = -1, len(sim.history)-1
	case op == 63 && sim.rand.IntN(8) == 0:
		sim.now += time.Duration(pick(sim, []int{16, 61, 601})) * second
		sim.lastJump = sim.now
	case op == 63 && sim.rand.IntN(16) == 0:
		sim.renew()
	}
	for _, x := range sim.coordinators {
		if x.version < sim.eraStart && sim.now >= sim.blockedUntil && x.leaseLostAt < 0 {
			x.leaseLostAt = sim.now
		}
	}
	sim.checkInvariants()
}

// checkInvariants checks the invariants by what the co-ordinators do and by counts of its own.
func (sim *simulation) checkInvariants() {
	if sim.state.Now() < sim.now {
		sim.state.Tick(sim.now) // like an entry that changes nothing else
		sim.history[len(sim.history)-1] = sim.state.Clone()
		if sim.restored != nil {
			sim.restored.Tick(sim.now)
		}
	}
	if err := sim.state.Check(); err != nil {
		sim.t.Fatalf("seed %d: %v", sim.seed, err)
	}
	if sim.now < sim.blockedUntil { // queries that co-ordinators of the previous era begin are not known in this one
		clear(sim.seq)
	}
	for _, id := range ids {
		acting := ""
		for _, co := range coNames {
			if r, ok := sim.mayAct(co, id); ok {
				if acting != "" {
					sim.t.Fatalf("seed %d: S1: %s and %s act for %s, the latter in epoch %d", sim.seed, acting, co, id, r.Epoch)
				}
				acting = co
			}
		}
		r, ok := sim.state.Get(id)
		if !ok && r.Since == 0 { // its end was forgotten
			delete(sim.seq, id)
		}
		if q := (queryEpoch{id, r.Epoch}); ok && sim.eraStart == 0 {
			if sim.actingFor[q] == "" && r.Epoch <= sim.maxEpoch[id] || sim.actingFor[q] != "" && sim.actingFor[q] != r.Owner {
				sim.t.Fatalf("seed %d: S1: %s is owned by %s in epoch %d, after epoch %d", sim.seed, id, r.Owner, r.Epoch, sim.maxEpoch[id])
			}
			sim.actingFor[q], sim.maxEpoch[id] = r.Owner, max(sim.maxEpoch[id], r.Epoch)
		}
		if (r.Phase == Offered || r.Phase == HandedOver) && sim.moveStart[r.Fence] == 0 {
			sim.moveStart[r.Fence] = sim.now
		}
		if began := sim.moveStart[r.Fence]; r.Fence > 0 && sim.now >= max(began, sim.lastJump)+3*limits.StepTimeout {
			sim.t.Fatalf("seed %d: S7: %s is %s since %v, now %v", sim.seed, id, r.Phase, began, sim.now)
		}
		sim.events[r.Phase.String()]++
	}
	recentMoves := 0
	for _, at := range sim.moveStart {
		if at > sim.now-time.Minute {
			recentMoves++
		}
	}
	if sim.state.Moving() > limits.InFlight || recentMoves > limits.PerMinute || sim.state.Len() > 2 {
		sim.t.Fatalf("seed %d: S7: %d in flight, %d in a minute, %d sessions", sim.seed, sim.state.Moving(), recentMoves, sim.state.Len())
	}
}

// At any time only one co-ordinator acts for a session, and its queries stay in order, although messages are lost, late, repeated or
// out of order. The random runs cover a late message of a previous move, a hand-over that races with a withdrawal or a release, a
// release repeated after the co-ordinator returned, and a raft group that is set up anew.
func TestDelayedLostAndRepeatedMessages(t *testing.T) {
	events := map[string]int{}
	runs := 200
	if testing.Short() {
		runs = 30
	}
	for seed := range runs {
		l := limits
		l.MaxSessions = 2
		h := newHarness(t, l)
		sim := &simulation{t: t, seed: seed, rand: rand.New(rand.NewPCG(uint64(seed), 1)), state: h.state, now: h.now, coordinators: map[string]*simCoordinator{},
			lastQuery: map[ID]queryEpoch{}, actingFor: map[queryEpoch]string{}, seq: map[ID]uint64{}, maxEpoch: map[ID]uint64{},
			moveStart: map[uint64]time.Duration{}, events: events}
		sim.history = append(sim.history, h.state.Clone())
		for _, co := range coNames {
			sim.coordinators[co] = &simCoordinator{leaseLostAt: -1, frozen: map[ID]uint64{}, ended: map[ID]uint64{}, seq: map[queryEpoch]uint64{}}
		}
		for range 400 {
			sim.step()
		}
	}
	for _, event := range []string{"begin", "acts", "plan", "release", "pinned", "offered", "handed", "renew"} {
		if events[event] < 5 {
			t.Errorf("%s: %d", event, events[event])
		}
	}
	t.Log(events)
}
