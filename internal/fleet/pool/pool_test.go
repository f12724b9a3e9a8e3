package pool

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// simCoordinator is a co-ordinator that uses all slots that its local copy of the state allows. The copy lags behind. It sends a
// message when it no longer uses slots.
type simCoordinator struct {
	version   int             // its local copy is the pool after that many changes
	returned  map[uint64]bool // loans whose slots it no longer uses, as it has announced
	leaseLost bool            // it uses no slots
}

// simulation runs co-ordinators whose messages are lost, delayed, repeated and reordered.
type simulation struct {
	t            *testing.T
	seed         uint64
	rand         *rand.Rand
	pool         *Pool
	history      []*Pool
	coordinators map[string]*simCoordinator
	messages     []func() error // sent messages; each may be delivered at any time, any number of times
	lastFence    uint64
	now          time.Duration
}

var coordinatorNames, replicaNames = []string{"c0", "c1", "c2"}, []string{"r0", "r1"}

func pick[T any](w *simulation, from []T) T { return from[w.rand.IntN(len(from))] }

// maxUse returns how many slots a co-ordinator may use at a replica: all that its copy allows, except loans announced as returned.
func (w *simulation) maxUse(coordinator, replica string) int {
	u := w.coordinators[coordinator]
	if u.leaseLost {
		return 0
	}
	return max(w.useByState(u, w.history[u.version], coordinator, replica), w.useByState(u, w.pool, coordinator, replica)) // its copy may be updated at any time
}

func (w *simulation) useByState(u *simCoordinator, state *Pool, coordinator, replica string) int {
	n := state.Held(coordinator, replica)
	for fence := range u.returned {
		if t, ok := state.Transfer(fence); ok && t.Replica == replica && t.To == coordinator && t.Stage == Lent {
			n -= t.Slots
		}
	}
	return n
}

// sendRelease sends the message of a random co-ordinator about a transfer that its copy shows.
func (w *simulation) sendRelease() {
	coordinator := pick(w, coordinatorNames)
	u := w.coordinators[coordinator]
	state := w.history[u.version]
	open := slices.DeleteFunc(state.Transfers(), func(t Transfer) bool { return t.Releaser() != coordinator && (t.To != coordinator || t.Stage != Lent) })
	if u.leaseLost || len(open) == 0 {
		return
	}
	t := pick(w, open)
	if t.Stage == Moving {
		w.messages = append(w.messages, func() error { return w.pool.ConfirmSource(t.Fence) })
	} else {
		u.returned[t.Fence] = true
		w.messages = append(w.messages, func() error { return w.pool.ReturnLoan(t.Fence) })
	}
}

func (w *simulation) step() {
	coordinator, to := pick(w, coordinatorNames), pick(w, append([]string{""}, coordinatorNames...))
	replica, n := pick(w, replicaNames), w.rand.IntN(6)-1
	u := w.coordinators[coordinator]
	before := w.pool.Save()
	var err error
	switch op := w.rand.IntN(20); op {
	case 0:
		err = w.pool.SetCap(replica, 2*n)
	case 1:
		err = w.pool.Allocate(coordinator, replica, n)
	case 2: // a co-ordinator's own command, applied once; its copy is updated at once
		if !u.leaseLost {
			err = w.pool.Release(coordinator, replica, n)
			u.version = len(w.history)
		}
	case 3:
		w.lastFence++
		err = w.pool.Move(w.lastFence, coordinator, to, replica, n)
	case 4:
		w.lastFence++
		err = w.pool.Lend(w.lastFence, coordinator, to, replica, n, w.now+time.Duration(n)*time.Second)
	case 5:
		err = w.pool.Cancel(uint64(w.rand.IntN(int(w.lastFence) + 1)))
	case 6, 18, 19:
		w.sendRelease()
	case 7, 8, 13, 14:
		if len(w.messages) > 0 {
			err = pick(w, w.messages)()
		}
	case 9:
		w.now += time.Duration(w.rand.IntN(3)) * time.Second
		w.pool.Advance(w.now)
	case 10: // a silent co-ordinator is removed, and restarts with a current copy
		if u.leaseLost {
			w.pool.RemoveCoordinator(coordinator)
			*u = simCoordinator{returned: map[uint64]bool{}, version: len(w.history)}
			w.history = append(w.history, w.pool.Clone())
		}
	case 11:
		u.leaseLost = true
	case 12, 15, 16, 17:
		u.version = u.version + w.rand.IntN(len(w.history)-u.version)
	}
	if err != nil && !reflect.DeepEqual(before, w.pool.Save()) {
		w.t.Fatalf("seed %d: rejected change modified the pool: %v\n%+v\n%+v", w.seed, err, before, w.pool.Save())
	}
	w.history = append(w.history, w.pool.Clone())
}

// checkInvariants checks that the co-ordinators never use more slots at a replica than it has, that the slots add up, and that Save
// and Load preserve the pool.
func (w *simulation) checkInvariants() {
	if err := w.pool.Check(); err != nil {
		w.t.Fatalf("seed %d: %v", w.seed, err)
	}
	for _, r := range replicaNames {
		used, perCoordinator := 0, ""
		for _, coordinator := range coordinatorNames {
			used += w.maxUse(coordinator, r)
			perCoordinator += fmt.Sprintf(" %s %d (copy %d)", coordinator, w.maxUse(coordinator, r), w.coordinators[coordinator].version)
		}
		if used+w.pool.Free(r) > w.pool.Cap(r) { // free slots count too, since they may be allocated and used at any time
			w.t.Fatalf("seed %d: %d in use at %s, which has %d:%s at %d\n%+v", w.seed, used, r, w.pool.Cap(r), perCoordinator, len(w.history), w.pool.Save())
		}
		sum := w.pool.Free(r)
		for _, coordinator := range w.pool.Holders(r) {
			sum += w.pool.replicas[r].held[coordinator]
		}
		for _, t := range w.pool.Transfers() {
			if t.Replica == r {
				sum += t.Slots
			}
		}
		if sum != w.pool.Cap(r) || w.pool.TargetCap(r) > sum {
			w.t.Fatalf("seed %d: %d slots at %s, cap %d, target cap %d", w.seed, sum, r, w.pool.Cap(r), w.pool.TargetCap(r))
		}
	}
	raw, err := json.Marshal(w.pool.Save())
	if err != nil {
		w.t.Fatal(err)
	}
	var v Saved
	n := New()
	if err := errors.Join(json.Unmarshal(raw, &v), n.Load(v)); err != nil || !reflect.DeepEqual(n.Save(), w.pool.Save()) {
		w.t.Fatalf("seed %d: loaded %v\n%+v\n%+v", w.seed, err, n.Save(), w.pool.Save())
	}
	n.nextExpiry, w.pool.nextExpiry = 0, 0 // nextExpiry may differ: it may be earlier than the first end of a loan
	if !reflect.DeepEqual(n, w.pool) {
		w.t.Fatalf("seed %d: loaded\n%+v\n%+v", w.seed, n, w.pool)
	}
}

// S2 with outdated local copies: co-ordinators that use all slots that they may use never use more than a replica has.
func TestSlotSumHoldsWithDelayedMessages(t *testing.T) {
	runs := uint64(600)
	if testing.Short() {
		runs = 200
	}
	for seed := range runs {
		w := &simulation{t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 1)), pool: New(), coordinators: map[string]*simCoordinator{}}
		for _, coordinator := range coordinatorNames {
			w.coordinators[coordinator] = &simCoordinator{returned: map[uint64]bool{}}
		}
		w.history = append(w.history, w.pool.Clone())
		for _, r := range replicaNames {
			if err := w.pool.SetCap(r, 6); err != nil {
				t.Fatal(err)
			}
		}
		for range 100 {
			w.step()
			w.checkInvariants()
		}
	}
}

// A loan, a lowered cap, and a replica that is removed and returns, step by step.
func TestLoanLoweredCapAndReplicaRemoval(t *testing.T) {
	p := New()
	mustSucceed := func(err error) {
		t.Helper()
		if err = errors.Join(err, p.Check()); err != nil {
			t.Fatal(err)
		}
	}
	expect := func(want string) {
		t.Helper()
		got := fmt.Sprintf("cap %d target %d free %d c0 %d c1 %d", p.Cap("r"), p.TargetCap("r"), p.Free("r"), p.Held("c0", "r"), p.Held("c1", "r"))
		if got != want {
			t.Fatalf("%s, want %s", got, want)
		}
	}
	mustSucceed(p.SetCap("r", 6))
	mustSucceed(p.Allocate("c0", "r", 4))
	mustSucceed(p.Lend(1, "c0", "c1", "r", 3, 10))
	expect("cap 6 target 6 free 2 c0 1 c1 0")
	mustSucceed(p.ConfirmSource(1))
	expect("cap 6 target 6 free 2 c0 1 c1 3")
	if err := p.ConfirmSource(1); !errors.Is(err, ErrNoTransfer) {
		t.Fatal(err)
	}
	if err := p.Cancel(1); !errors.Is(err, ErrNoTransfer) { // the borrower already uses the slots
		t.Fatal(err)
	}
	mustSucceed(p.SetCap("r", 0)) // the replica is removed
	expect("cap 4 target 0 free 0 c0 1 c1 3")
	p.Advance(10)
	expect("cap 4 target 0 free 0 c0 1 c1 0")
	if a := p.PendingReleases("c1"); len(a) != 1 || a[0].Fence != 1 || len(p.PendingReleases("c0")) != 0 {
		t.Fatalf("%+v", a)
	}
	p.RemoveCoordinator("c0") // what c0 lent is free once c1 returns it
	expect("cap 3 target 0 free 0 c0 0 c1 0")
	mustSucceed(p.ReturnLoan(1))
	if p.RemoveCoordinator("") || len(p.Replicas()) != 0 || p.Cap("r") != 0 {
		t.Fatalf("%+v", p.Save())
	}
	mustSucceed(p.SetCap("r", 2)) // the replica returns with fewer slots
	mustSucceed(p.Allocate("c1", "r", 2))
	mustSucceed(p.Move(7, "c1", "", "r", 1))
	expect("cap 2 target 2 free 0 c0 0 c1 1")
	mustSucceed(p.ConfirmSource(7))
	expect("cap 2 target 2 free 1 c0 0 c1 1")
	mustSucceed(p.Move(8, "c1", "c0", "r", 1))
	p.RemoveCoordinator("c1")
	expect("cap 2 target 2 free 1 c0 1 c1 0")
	mustSucceed(p.Lend(9, "c0", "c1", "r", 1, 30))
	mustSucceed(p.Allocate("c1", "r", 1))
	mustSucceed(p.Move(10, "c1", "c0", "r", 1))
	p.Advance(30) // an unconfirmed loan stays with its lender, a permanent transfer goes on
	expect("cap 2 target 2 free 0 c0 1 c1 0")
	p.RemoveCoordinator("c0") // the target of transfer 10
	expect("cap 2 target 2 free 1 c0 0 c1 1")
	p.Clear()
	expect("cap 2 target 2 free 2 c0 0 c1 0")
	mustSucceed(nil)
}

// Check must recount the lent slots from the transfers and detect a wrong count.
func TestCheckRecountsLentSlots(t *testing.T) {
	p := New()
	if err := errors.Join(p.SetCap("r", 6), p.Allocate("c0", "r", 4), p.Lend(1, "c0", "c1", "r", 2, 9), p.ConfirmSource(1), p.Check()); err != nil {
		t.Fatal(err)
	}
	for _, n := range []int{-1, 1, -2} {
		q := p.Clone()
		q.replicas["r"].addLent("c1", n)
		if err := q.Check(); err == nil || !strings.HasPrefix(err.Error(), "S2:") {
			t.Errorf("lent count wrong by %d: %v", n, err)
		}
	}
	if p.Held("c1", "r") != 2 || p.Clone().Held("c1", "r") != 2 {
		t.Error(p.Held("c1", "r"))
	}
}

// Invalid changes, and invalid states in Load, are rejected with an error and change nothing.
func TestInvalidChangesAreRejected(t *testing.T) {
	p := New()
	long := strings.Repeat("x", MaxNameBytes+1)
	_ = p.SetCap("r", 4)
	_ = p.Allocate("c0", "r", 2)
	_ = p.Move(5, "c0", "c1", "r", 1)
	for name, f := range map[string]func() error{
		"negative cap": func() error { return p.SetCap("r", -1) }, "cap above maximum": func() error { return p.SetCap("r", MaxSlots+1) },
		"empty replica": func() error { return p.SetCap("", 1) }, "long replica": func() error { return p.SetCap(long, 1) },
		"allocate more than free": func() error { return p.Allocate("c1", "r", 3) }, "allocate 0": func() error { return p.Allocate("c1", "r", 0) },
		"allocate to empty name": func() error { return p.Allocate("", "r", 1) }, "release more than held": func() error { return p.Release("c0", "r", 2) },
		"move more than held": func() error { return p.Move(6, "c0", "c1", "r", 2) }, "move with used number": func() error { return p.Move(5, "c0", "c1", "r", 1) },
		"move to itself": func() error { return p.Move(6, "c0", "c0", "r", 1) }, "move with number 0": func() error { return p.Move(0, "c0", "c1", "r", 1) },
		"lend until now": func() error { return p.Lend(6, "c0", "c1", "r", 1, 0) }, "lend to empty name": func() error { return p.Lend(6, "c0", "", "r", 1, 9) },
		"move to long name": func() error { return p.Move(6, "c0", long, "r", 1) },
		"confirm unknown":   func() error { return p.ConfirmSource(6) }, "cancel unknown": func() error { return p.Cancel(6) }, "return unconfirmed": func() error { return p.ReturnLoan(5) },
	} {
		before := p.Clone()
		if err := f(); err == nil || !reflect.DeepEqual(before, p) {
			t.Errorf("%s: %v", name, err)
		}
	}
	valid := p.Save()
	for name, corrupt := range map[string]func(*Saved){
		"replica twice": func(v *Saved) { v.Replicas = append(v.Replicas, v.Replicas[0]) }, "unknown replica": func(v *Saved) { v.Transfers[0].Replica = "q" },
		"transfer number 0": func(v *Saved) { v.Transfers[0].Fence = 0 }, "transfer of 0 slots": func(v *Saved) { v.Transfers[0].Slots = 0 },
		"lent without end": func(v *Saved) { v.Transfers[0].Stage = Lent }, "loan past its end": func(v *Saved) { v.Now, v.Transfers[0].Until = 9, 3 },
		"0 slots held": func(v *Saved) { v.Replicas[0].Held[0].Slots = 0 }, "negative free slots": func(v *Saved) { v.Replicas[0].Free = -1 },
		"target cap above cap": func(v *Saved) { v.Replicas[0].TargetCap = 5 }, "free slots above target cap": func(v *Saved) { v.Replicas[0].TargetCap = 3 },
	} {
		raw, _ := json.Marshal(valid)
		var v Saved
		_ = json.Unmarshal(raw, &v)
		if err := New().Load(v); err != nil {
			t.Fatal(err)
		}
		corrupt(&v)
		before := p.Clone()
		if err := p.Load(v); err == nil || !reflect.DeepEqual(before, p) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for i := range MaxReplicas + 1 {
		if err := p.SetCap(fmt.Sprint(i), 1); (err == nil) != (i < MaxReplicas-1) {
			t.Fatal(i, err)
		}
	}
	for i := range MaxHolders + 1 {
		_ = p.SetCap("0", i+1)
		if err := p.Allocate(fmt.Sprint("h", i), "0", 1); (err == nil) != (i < MaxHolders) {
			t.Fatal(i, err)
		}
	}
	for i := range MaxTransfers + 1 {
		_ = p.SetCap("0", MaxHolders+i+1)
		_ = p.Allocate("h0", "0", 1)
		if err := p.Move(uint64(i+10), "h0", "h1", "0", 1); (err == nil) != (i < MaxTransfers-1) {
			t.Fatal(i, err)
		}
	}
	if err := p.Check(); err != nil || maps.Equal(p.replicas["0"].held, map[string]int{}) {
		t.Fatal(err)
	}
}

// When one loan expires, others whose end has not come stay, both lent and unconfirmed ones. Each of them still ends at its own time.
func TestAdvanceEndsOnlyExpiredLoans(t *testing.T) {
	p := New()
	if err := errors.Join(p.SetCap("r", 9), p.Allocate("c0", "r", 9), p.Lend(1, "c0", "c1", "r", 1, 10), p.Lend(2, "c0", "c1", "r", 2, 20),
		p.Lend(3, "c0", "c2", "r", 3, 30), p.ConfirmSource(1), p.ConfirmSource(2)); err != nil {
		t.Fatal(err)
	}
	expectStages := func(want string) {
		t.Helper()
		got := ""
		for _, x := range p.Transfers() {
			got += fmt.Sprintf("%d %s, ", x.Fence, x.Stage)
		}
		if got += fmt.Sprint(p.Held("c0", "r"), p.Held("c1", "r")); got != want || p.Check() != nil {
			t.Fatalf("%s, want %s; %v", got, want, p.Check())
		}
	}
	p.Advance(9)
	expectStages("1 lent, 2 lent, 3 moving, 3 3")
	p.Advance(10)
	expectStages("1 returning, 2 lent, 3 moving, 3 2")
	p.Advance(20)
	expectStages("1 returning, 2 returning, 3 moving, 3 0")
	p.Advance(30)
	expectStages("1 returning, 2 returning, 6 0")
}

// The empty name in a transfer stands for free slots, not for a co-ordinator. Removing it must not end transfers to the free slots
// or loans whose lender was removed.
func TestRemoveCoordinatorIgnoresEmptyName(t *testing.T) {
	p := New()
	if err := errors.Join(p.SetCap("r", 9), p.Allocate("c0", "r", 5), p.Allocate("c1", "r", 4), p.Move(1, "c0", "", "r", 2), p.Lend(2, "c1", "c0", "r", 1, 10), p.ConfirmSource(2)); err != nil {
		t.Fatal(err)
	}
	p.RemoveCoordinator("c1") // its loan has no lender now
	before := p.Clone()
	if p.RemoveCoordinator("") || !reflect.DeepEqual(before, p) {
		t.Fatalf("%+v, then %+v", before.Save(), p.Save())
	}
}
