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

// user is a co-ordinator that uses all it may by its own copy, which is behind, and says so when it uses less.
type simCoordinator struct {
	version   int             // its copy: the pool after so many changes
	returned  map[uint64]bool // transfers of which it uses the slots no more, by its word
	leaseLost bool            // its lease is over: it uses nothing
}

// world plays co-ordinators whose words are lost, late, repeated and out of order.
type simulation struct {
	t            *testing.T
	seed         uint64
	rand         *rand.Rand
	pool         *Pool
	history      []*Pool
	coordinators map[string]*simCoordinator
	messages     []func() error // said by someone, at any time after that, any number of times
	lastFence    uint64
	now          time.Duration
}

var coordinatorNames, replicaNames = []string{"c0", "c1", "c2"}, []string{"r0", "r1"}

func pick[T any](w *simulation, from []T) T { return from[w.rand.IntN(len(from))] }

// uses is what a co-ordinator uses of a replica's slots: all that its copy gives it, but for what it said.
func (w *simulation) maxUse(co, replica string) int {
	u := w.coordinators[co]
	if u.leaseLost {
		return 0
	}
	return max(w.useByState(u, w.history[u.version], co, replica), w.useByState(u, w.pool, co, replica)) // its copy may follow at any time
}

func (w *simulation) useByState(u *simCoordinator, copied *Pool, co, replica string) int {
	n := copied.Held(co, replica)
	for fence := range u.returned {
		if t, ok := copied.Transfer(fence); ok && t.Replica == replica && t.To == co && t.Stage == Lent {
			n -= t.Slots
		}
	}
	return n
}

// say is a word of co about a transfer that its copy shows.
func (w *simulation) sendRelease() {
	co := pick(w, coordinatorNames)
	u := w.coordinators[co]
	copied := w.history[u.version]
	open := slices.DeleteFunc(copied.Transfers(), func(t Transfer) bool { return t.Releaser() != co && (t.To != co || t.Stage != Lent) })
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
	co, to := pick(w, coordinatorNames), pick(w, append([]string{""}, coordinatorNames...))
	replica, n := pick(w, replicaNames), w.rand.IntN(6)-1
	u := w.coordinators[co]
	before := w.pool.Save()
	var err error
	switch op := w.rand.IntN(20); op {
	case 0:
		err = w.pool.SetCap(replica, 2*n)
	case 1:
		err = w.pool.Allocate(co, replica, n)
	case 2: // its own word, once, and its copy follows at once
		if !u.leaseLost {
			err = w.pool.Release(co, replica, n)
			u.version = len(w.history)
		}
	case 3:
		w.lastFence++
		err = w.pool.Move(w.lastFence, co, to, replica, n)
	case 4:
		w.lastFence++
		err = w.pool.Lend(w.lastFence, co, to, replica, n, w.now+time.Duration(n)*time.Second)
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
	case 10: // silent for long enough, and released; it begins anew with a copy that knows of it
		if u.leaseLost {
			w.pool.RemoveCoordinator(co)
			*u = simCoordinator{returned: map[uint64]bool{}, version: len(w.history)}
			w.history = append(w.history, w.pool.Clone())
		}
	case 11:
		u.leaseLost = true
	case 12, 15, 16, 17:
		u.version = u.version + w.rand.IntN(len(w.history)-u.version)
	}
	if err != nil && !reflect.DeepEqual(before, w.pool.Save()) {
		w.t.Fatalf("seed %d: refused and changed: %v\n%+v\n%+v", w.seed, err, before, w.pool.Save())
	}
	w.history = append(w.history, w.pool.Clone())
}

// check compares with what is counted outside: what all use at a replica is never more than it has.
func (w *simulation) checkInvariants() {
	if err := w.pool.Check(); err != nil {
		w.t.Fatalf("seed %d: %v", w.seed, err)
	}
	for _, r := range replicaNames {
		used, words := 0, ""
		for _, co := range coordinatorNames {
			used += w.maxUse(co, r)
			words += fmt.Sprintf(" %s %d (copy %d)", co, w.maxUse(co, r), w.coordinators[co].version)
		}
		if used+w.pool.Free(r) > w.pool.Cap(r) { // who takes free ones uses them at once
			w.t.Fatalf("seed %d: %d in use at %s, which has %d:%s at %d\n%+v", w.seed, used, r, w.pool.Cap(r), words, len(w.history), w.pool.Save())
		}
		sum := w.pool.Free(r)
		for _, co := range w.pool.Holders(r) {
			sum += w.pool.replicas[r].held[co]
		}
		for _, t := range w.pool.Transfers() {
			if t.Replica == r {
				sum += t.Slots
			}
		}
		if sum != w.pool.Cap(r) || w.pool.TargetCap(r) > sum {
			w.t.Fatalf("seed %d: %d slots at %s, cap %d, wanted %d", w.seed, sum, r, w.pool.Cap(r), w.pool.TargetCap(r))
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
	n.nextExpiry, w.pool.nextExpiry = 0, 0 // no earlier than it has to look
	if !reflect.DeepEqual(n, w.pool) {
		w.t.Fatalf("seed %d: loaded\n%+v\n%+v", w.seed, n, w.pool)
	}
}

// S2 with late copies: co-ordinators that use all that they may never use more than there is.
func TestSlotSumHoldsWithDelayedMessages(t *testing.T) {
	plays := uint64(600)
	if testing.Short() {
		plays = 200
	}
	for seed := range plays {
		w := &simulation{t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 1)), pool: New(), coordinators: map[string]*simCoordinator{}}
		for _, co := range coordinatorNames {
			w.coordinators[co] = &simCoordinator{returned: map[uint64]bool{}}
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

// The life of a loan, of a lowered cap and of a replica that dies, in order.
func TestLoanLoweredCapAndReplicaRemoval(t *testing.T) {
	p := New()
	ok := func(err error) {
		t.Helper()
		if err = errors.Join(err, p.Check()); err != nil {
			t.Fatal(err)
		}
	}
	is := func(want string) {
		t.Helper()
		got := fmt.Sprintf("cap %d wanted %d free %d c0 %d c1 %d", p.Cap("r"), p.TargetCap("r"), p.Free("r"), p.Held("c0", "r"), p.Held("c1", "r"))
		if got != want {
			t.Fatalf("%s, want %s", got, want)
		}
	}
	ok(p.SetCap("r", 6))
	ok(p.Allocate("c0", "r", 4))
	ok(p.Lend(1, "c0", "c1", "r", 3, 10))
	is("cap 6 wanted 6 free 2 c0 1 c1 0")
	ok(p.ConfirmSource(1))
	is("cap 6 wanted 6 free 2 c0 1 c1 3")
	if err := p.ConfirmSource(1); !errors.Is(err, ErrNoTransfer) {
		t.Fatal(err)
	}
	if err := p.Cancel(1); !errors.Is(err, ErrNoTransfer) { // the borrower uses them
		t.Fatal(err)
	}
	ok(p.SetCap("r", 0)) // it dies
	is("cap 4 wanted 0 free 0 c0 1 c1 3")
	p.Advance(10)
	is("cap 4 wanted 0 free 0 c0 1 c1 0")
	if a := p.PendingReleases("c1"); len(a) != 1 || a[0].Fence != 1 || len(p.PendingReleases("c0")) != 0 {
		t.Fatalf("%+v", a)
	}
	p.RemoveCoordinator("c0") // what it lent is free once it comes back
	is("cap 3 wanted 0 free 0 c0 0 c1 0")
	ok(p.ReturnLoan(1))
	if p.RemoveCoordinator("") || len(p.Replicas()) != 0 || p.Cap("r") != 0 {
		t.Fatalf("%+v", p.Save())
	}
	ok(p.SetCap("r", 2)) // and comes back, with less
	ok(p.Allocate("c1", "r", 2))
	ok(p.Move(7, "c1", "", "r", 1))
	is("cap 2 wanted 2 free 0 c0 0 c1 1")
	ok(p.ConfirmSource(7))
	is("cap 2 wanted 2 free 1 c0 0 c1 1")
	ok(p.Move(8, "c1", "c0", "r", 1))
	p.RemoveCoordinator("c1")
	is("cap 2 wanted 2 free 1 c0 1 c1 0")
	ok(p.Lend(9, "c0", "c1", "r", 1, 30))
	ok(p.Allocate("c1", "r", 1))
	ok(p.Move(10, "c1", "c0", "r", 1))
	p.Advance(30) // a loan that was not taken over stays, a move goes on
	is("cap 2 wanted 2 free 0 c0 1 c1 0")
	p.RemoveCoordinator("c0") // the target
	is("cap 2 wanted 2 free 1 c0 0 c1 1")
	p.Clear()
	is("cap 2 wanted 2 free 2 c0 0 c1 0")
	ok(nil)
}

// Check counts what is lent anew.
func TestCheckRecountsLentSlots(t *testing.T) {
	p := New()
	if err := errors.Join(p.SetCap("r", 6), p.Allocate("c0", "r", 4), p.Lend(1, "c0", "c1", "r", 2, 9), p.ConfirmSource(1), p.Check()); err != nil {
		t.Fatal(err)
	}
	for _, n := range []int{-1, 1, -2} {
		q := p.Clone()
		q.replicas["r"].addLent("c1", n)
		if err := q.Check(); err == nil || !strings.HasPrefix(err.Error(), "S2:") {
			t.Errorf("%d too many: %v", n, err)
		}
	}
	if p.Held("c1", "r") != 2 || p.Clone().Held("c1", "r") != 2 {
		t.Error(p.Held("c1", "r"))
	}
}

// What does not fit is refused in words, by Load too.
func TestInvalidChangesAreRejected(t *testing.T) {
	p := New()
	long := strings.Repeat("x", MaxNameBytes+1)
	_ = p.SetCap("r", 4)
	_ = p.Allocate("c0", "r", 2)
	_ = p.Move(5, "c0", "c1", "r", 1)
	for name, f := range map[string]func() error{
		"cap under 0": func() error { return p.SetCap("r", -1) }, "cap": func() error { return p.SetCap("r", MaxSlots+1) },
		"no replica": func() error { return p.SetCap("", 1) }, "long replica": func() error { return p.SetCap(long, 1) },
		"take more": func() error { return p.Allocate("c1", "r", 3) }, "take none": func() error { return p.Allocate("c1", "r", 0) },
		"take by none": func() error { return p.Allocate("", "r", 1) }, "give more": func() error { return p.Release("c0", "r", 2) },
		"move more": func() error { return p.Move(6, "c0", "c1", "r", 2) }, "move twice": func() error { return p.Move(5, "c0", "c1", "r", 1) },
		"move to itself": func() error { return p.Move(6, "c0", "c0", "r", 1) }, "move 0": func() error { return p.Move(0, "c0", "c1", "r", 1) },
		"lend till now": func() error { return p.Lend(6, "c0", "c1", "r", 1, 0) }, "lend to none": func() error { return p.Lend(6, "c0", "", "r", 1, 9) },
		"move to long": func() error { return p.Move(6, "c0", long, "r", 1) },
		"land":         func() error { return p.ConfirmSource(6) }, "back": func() error { return p.Cancel(6) }, "return moving": func() error { return p.ReturnLoan(5) },
	} {
		before := p.Clone()
		if err := f(); err == nil || !reflect.DeepEqual(before, p) {
			t.Errorf("%s: %v", name, err)
		}
	}
	good := p.Save()
	for name, spoil := range map[string]func(*Saved){
		"order": func(v *Saved) { v.Replicas = append(v.Replicas, v.Replicas[0]) }, "site": func(v *Saved) { v.Transfers[0].Replica = "q" },
		"fence": func(v *Saved) { v.Transfers[0].Fence = 0 }, "none": func(v *Saved) { v.Transfers[0].Slots = 0 },
		"stage": func(v *Saved) { v.Transfers[0].Stage = Lent }, "past": func(v *Saved) { v.Now, v.Transfers[0].Until = 9, 3 },
		"held": func(v *Saved) { v.Replicas[0].Held[0].Slots = 0 }, "free": func(v *Saved) { v.Replicas[0].Free = -1 },
		"wanted": func(v *Saved) { v.Replicas[0].TargetCap = 5 }, "less": func(v *Saved) { v.Replicas[0].TargetCap = 3 },
	} {
		raw, _ := json.Marshal(good)
		var v Saved
		_ = json.Unmarshal(raw, &v)
		if err := New().Load(v); err != nil {
			t.Fatal(err)
		}
		spoil(&v)
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

// Time that has not come ends no loan, neither one that is lent nor one that is on its way, though another's is over; and it is
// looked at again when its own comes.
func TestAdvanceEndsOnlyExpiredLoans(t *testing.T) {
	p := New()
	if err := errors.Join(p.SetCap("r", 9), p.Allocate("c0", "r", 9), p.Lend(1, "c0", "c1", "r", 1, 10), p.Lend(2, "c0", "c1", "r", 2, 20),
		p.Lend(3, "c0", "c2", "r", 3, 30), p.ConfirmSource(1), p.ConfirmSource(2)); err != nil {
		t.Fatal(err)
	}
	stages := func(want string) {
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
	stages("1 lent, 2 lent, 3 moving, 3 3")
	p.Advance(10)
	stages("1 returning, 2 lent, 3 moving, 3 2")
	p.Advance(20)
	stages("1 returning, 2 returning, 3 moving, 3 0")
	p.Advance(30)
	stages("1 returning, 2 returning, 6 0")
}

// Nobody is not a co-ordinator that can be dropped: what is on its way to the free ones, or is to come back to them, goes on.
func TestRemoveCoordinatorIgnoresEmptyName(t *testing.T) {
	p := New()
	if err := errors.Join(p.SetCap("r", 9), p.Allocate("c0", "r", 5), p.Allocate("c1", "r", 4), p.Move(1, "c0", "", "r", 2), p.Lend(2, "c1", "c0", "r", 1, 10), p.ConfirmSource(2)); err != nil {
		t.Fatal(err)
	}
	p.RemoveCoordinator("c1") // what it lent comes back to no one
	before := p.Clone()
	if p.RemoveCoordinator("") || !reflect.DeepEqual(before, p) {
		t.Fatalf("%+v, then %+v", before.Save(), p.Save())
	}
}
