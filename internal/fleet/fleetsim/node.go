package fleetsim

import (
	"fmt"
	"time"

	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/fleetsim/history"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/statemachine"
	"birchcart/internal/fleet/view"
)

const (
	turnEvery = 340 * time.Millisecond // of a view without a vote, beside the turns that words bring; a voter's are its heartbeats
	heldMost  = 256                    // words that wait for a process that is stopped; newer ones are dropped
	pollsMost = 4096                   // polls that wait for a leader's quorum; newer ones are dropped
)

// heldWord waits for a process that is stopped; from is -1 for discovery's news.
type heldWord struct {
	from int
	do   func(*node)
}

// book is one copy of the agreed state.
type book struct {
	led *statemachine.Machine
	out *maintenance.State
	dig uint64
	sum uint64 // see canon
}

func newBook() *book {
	out := maintenance.New()
	return &book{led: statemachine.New(map[string]statemachine.Part{"takeout": out}), out: out}
}

// node is one co-ordinator: its process, its disk, and its place among the others.
type node struct {
	w     *World
	id    int
	name  string
	clock clock
	v     *voter // nil without a vote

	up, stalled bool
	inc         int // of its process
	started     time.Duration
	downAt      time.Duration // true time
	held        []heldWord

	book    *book
	on      *sharedBook // whose book it is, where they are shared
	applied int
	snap    []byte // on its disk
	snapAt  int

	view    *view.View
	lead    *drainctl.Controller
	leads   bool // the pure leader's step runs
	leader  int  // whom it polls, -1: any voter
	waiting []pending
	flush   bool
	owed    []owed

	list   int // version of discovery's list that it has
	stuck  int // reasons for which discovery's news does not arrive
	drains map[string]bool
	skips  map[string]bool // as told to the history
	disk
	grants []view.Grant // for the site's tools
	asks   *Ask

	askedOf  *Ask           // of which the pure leader was told in this process
	proposed map[int]string // own proposals in the log, by entry: the command's id
	newsAt   time.Duration  // when the pure leader gets the members' news and the list again
	toldView int            // one more than the entry up to which the view was told, 0: nothing yet
	toldAt   int            // entry up to which the pure leader was told what came of its proposals
}

func (n *node) mono() time.Duration { return n.clock.mono(n.w.Now) }
func (n *node) wall() time.Duration { return n.clock.wall(n.w.Now) }
func (n *node) runs() bool          { return n.up && !n.stalled }

// start is a new process upon what the disk kept.
func (n *node) start() {
	n.inc++
	n.up, n.stalled, n.held, n.started = true, false, nil, n.w.Now
	n.leader, n.waiting, n.owed, n.flush, n.leads, n.proposed, n.toldView, n.askedOf = -1, nil, nil, false, false, nil, 0, nil
	n.view = view.New(n.name, n.w.s.Limits.Lease)
	n.view.FirstSequence(uint64(n.w.Now) + 1) // as by the start's time in nanoseconds
	n.lead = drainctl.New(n.w.order)
	n.drains, n.grants = map[string]bool{}, nil
	n.booted()
	n.list = n.w.lists.newest()
	n.applied = 0
	if !n.w.shared {
		n.book = newBook()
	}
	if n.snap != nil {
		if n.w.shared {
			n.applied = n.snapAt
		} else if err := n.book.led.Load(n.snap); err != nil {
			n.w.fail(fmt.Errorf("%s could not read its snapshot: %w", n.name, err))
		} else {
			n.applied = n.snapAt
		}
	}
	n.share()
	if n.v != nil {
		n.v.forget()
		n.v.commit = max(n.v.commit, n.applied)
		n.resetStand()
	}
	n.w.tell(history.Event{Kind: history.Serving, By: n.name, On: true, Lost: n.clock.offset > n.w.s.Offset})
	n.sending()
	n.stepView(view.ReplicaList{Replicas: n.w.lists.at(n.list)})
	if n.applied > 0 {
		n.toldView = n.applied + 1
		n.stepView(n.appliedInput())
	}
	inc, every := n.inc, turnEvery
	if n.v != nil {
		every = heartbeat
	}
	var turn func()
	turn = func() {
		if n.inc != inc || !n.up {
			return
		}
		if !n.stalled {
			n.turn()
		}
		n.w.After(every, turn)
	}
	n.w.After(time.Duration(n.w.rng.Int64N(int64(every))), turn)
}

// end is a process that is no more; its disk stays, or not.
func (n *node) end(diskLost bool) {
	if !n.up {
		return
	}
	n.up, n.stalled, n.leads, n.downAt = false, false, false, n.w.Now
	n.inc++
	if n.v != nil {
		n.v.forget()
		if diskLost {
			n.v.lose()
		}
	}
	if diskLost {
		n.snap, n.snapAt, n.file = nil, 0, nil
	}
	n.w.tell(history.Event{Kind: history.Serving, By: n.name, Lost: diskLost})
	n.w.majority()
}

func (n *node) turn() {
	n.keepAgain()
	if n.w.rng.IntN(turnsToList) == 0 {
		n.stepView(view.ReplicaList{Replicas: n.w.lists.at(n.list)})
	} else {
		n.stepView()
	}
	n.beat()
	n.leadTurn()
}

// turnsToList is after how many turns, about, a view is told of its own list anew, though nothing changed.
const turnsToList = 8

func (n *node) appliedInput() view.Applied {
	return view.Applied{State: n.book.out, Index: uint64(n.applied), AgreedTime: n.book.led.Now()}
}

// apply brings a voter's copy as far as its log is committed.
func (n *node) apply() {
	v := n.v
	if n.applied >= v.commit {
		return
	}
	for n.applied < v.commit {
		if n.applied < v.base {
			n.w.fail(fmt.Errorf("%s stands at %d, before its log's first entry %d", n.name, n.applied, v.base+1))
			return
		}
		if !n.applyOne(n.applied+1, v.log[n.applied-v.base].raw) {
			return
		}
	}
	n.kept()
	n.changed()
}

func (n *node) applyOne(index int, raw []byte) bool {
	n.applied = index
	if raw == nil {
		return true
	}
	if n.w.shared {
		return true
	}
	if err := n.book.led.Apply(uint64(index), raw); err != nil && n.book.led.Halted() != nil {
		n.w.fail(fmt.Errorf("%s halted: %w", n.name, err))
		return false
	}
	if err := n.book.led.Check(); err != nil {
		n.w.fail(fmt.Errorf("%s after entry %d: %w", n.name, index, err))
		return false
	}
	return true
}

// changed tells the pure packages how far the copy stands now.
func (n *node) changed() {
	n.share()
	var in []view.Input
	if n.toldView != n.applied+1 {
		n.toldView = n.applied + 1
		in = append(in, n.appliedInput())
	}
	rest := n.owed[:0]
	for _, o := range n.owed {
		if o.index <= n.applied || o.more {
			in = append(in, view.PollAnswered{Sequence: o.no, Leader: o.leader, Term: o.term, Truncated: o.more, NotInInventory: o.unlisted})
		} else {
			rest = append(rest, o)
		}
	}
	n.owed = rest
	n.stepView(in...)
	if n.leads && n.toldAt != n.applied {
		n.stepLead(append([]drainctl.Input{n.leadApplied()}, n.ends(n.toldAt)...)...)
		n.toldAt = n.applied
	}
}

// kept writes a snapshot to the disk now and then.
func (n *node) kept() {
	if n.applied-n.snapAt < keptEntries {
		return
	}
	n.snapAt = n.applied
	if n.w.shared {
		n.snap = []byte{1}
	} else {
		raw, err := n.book.led.Save()
		if err != nil {
			n.w.fail(fmt.Errorf("%s could not save: %w", n.name, err))
			return
		}
		n.snap = raw
	}
	if n.v != nil {
		n.v.compact(n.snapAt)
	}
}

// load replaces the copy by a snapshot.
func (n *node) load(raw []byte, index int) {
	if index <= n.applied {
		n.changed()
		return
	}
	if !n.w.shared {
		fresh := newBook()
		if err := fresh.led.Load(raw); err != nil {
			n.w.fail(fmt.Errorf("%s could not load a snapshot of entry %d: %w", n.name, index, err))
			return
		}
		n.book = fresh
	}
	n.applied, n.snap, n.snapAt = index, raw, index
	n.changed()
}

// stepView hands a view its news and does what it asks for, before the answer that made it is told to the history.
func (n *node) stepView(in ...view.Input) {
	now := n.mono()
	for _, o := range n.view.Step(now, in) {
		switch o := o.(type) {
		case view.Drains:
			n.drains = map[string]bool{}
			for _, name := range o.Names {
				n.drains[name] = true
			}
			n.keep()
			n.sending()
		case view.Poll:
			n.poll(o)
		case view.MayLeave:
			n.leave(o.Fence)
		case view.Grants:
			n.grants = o.Items
		}
	}
	if err := n.view.Check(); err != nil {
		n.w.fail(fmt.Errorf("view of %s: %w", n.name, err))
	}
	for _, i := range in {
		if a, ok := i.(view.PollAnswered); ok && !a.Truncated && !a.NotInInventory {
			if !n.view.CutOff(now) { // else its lease was over when it was read, and nothing was laid
				n.caughtUp()
			}
			n.w.leased(n, a.Sequence)
		}
	}
}
