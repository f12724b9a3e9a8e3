// Package pool keeps the slots at each replica, which co-ordinators hold, lend and hand on: a part of the agreed state of
// pinned sessions. It is pure: no clock, goroutine or I/O; times are agreed time, since the Unix epoch. At each replica
//
//	cap = free + held by each co-ordinator + lent + in transfer      (S2)
//
// whatever is lost, late or repeated. What leaves a co-ordinator's hand is no one's until it has said, by the number of
// the transfer, that it uses no more than what is left to it: until then a copy behind the others could use it still.
package pool

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// SlotsMost at one replica. Twice as many overflow nothing; a file with more is a slip of the pen.
	SlotsMost = 1 << 20
	// ReplicasMost with slots, those included whose cap is lowered to 0 and whose slots are still out: as many as machines.
	ReplicasMost = 10_000
	// HoldersMost of slots at one replica: as many as co-ordinators of a fleet.
	HoldersMost = 1_000
	// TransfersMost at once. One more is refused, and the planner asks again once others are over.
	TransfersMost = 4_096
	// NameMost bytes in a name.
	NameMost = 128
)

// ErrNone is wrapped when a number names no transfer that is open: it never was, or it is over. Nothing has changed.
var ErrNone = errors.New("no such transfer is open")

// Stage of a transfer.
type Stage uint8

const (
	Moving    Stage = iota // its source has still to say that it uses no more than what is left
	Lent                   // its target uses it until a time
	Returning              // the time is over, its target has still to say that it uses it no more
)

func (s Stage) String() string {
	return [...]string{"moving", "lent", "returning"}[min(s, Returning)]
}

// Transfer of n slots at a replica. It goes on until Land, Back or Return, or until one of both ends is dropped.
type Transfer struct {
	Fence   uint64        `json:"fence"`          // its number
	From    string        `json:"from,omitempty"` // of a loan "" once the lender was dropped: it goes back to the free ones
	To      string        `json:"to,omitempty"`   // "": to the free ones
	Replica string        `json:"replica"`
	N       int           `json:"n"`
	Until   time.Duration `json:"until,omitempty"` // of a loan, else 0
	Stage   Stage         `json:"stage,omitempty"`
}

// Word is who has to say that it uses the slots no more, or "" while no one has to.
func (t Transfer) Word() string {
	switch t.Stage {
	case Moving:
		return t.From
	case Returning:
		return t.To
	}
	return ""
}

// site is one replica.
type site struct {
	cap    int // free + held + lent + in transfer
	wanted int // what SetCap said; under cap while more is out
	free   int
	held   map[string]int // by co-ordinator, over 0
	open   int            // lent or in transfer
}

// Pool is the state. The zero value is of no use; New makes one. Not for two goroutines at once.
type Pool struct {
	sites map[string]*site
	moves map[uint64]Transfer
	now   time.Duration
	next  time.Duration // the first end of a loan, if any is open
}

// New makes an empty pool.
func New() *Pool {
	return &Pool{sites: map[string]*site{}, moves: map[uint64]Transfer{}, next: -1}
}

// Clone is an independent copy.
func (p *Pool) Clone() *Pool {
	n := &Pool{sites: make(map[string]*site, len(p.sites)), moves: maps.Clone(p.moves), now: p.now, next: p.next}
	for name, s := range p.sites {
		c := *s
		c.held = maps.Clone(s.held)
		n.sites[name] = &c
	}
	return n
}

// SetCap says how many slots a replica has, 0 if it is gone. A lower number takes effect at once for free slots and for
// the rest as they come back: those out are in someone's use. A replica with none and nothing out is forgotten; there is
// no shorter way, since a replica that comes back under its name would meet what is out for the one before.
func (p *Pool) SetCap(replica string, n int) error {
	s := p.sites[replica]
	switch {
	case replica == "" || len(replica) > NameMost:
		return fmt.Errorf("pool: a replica's name has 1 to %d bytes, not %d", NameMost, len(replica))
	case n < 0 || n > SlotsMost:
		return fmt.Errorf("pool: %d slots at %s, 0 to %d are allowed", n, replica, SlotsMost)
	case s == nil && n == 0:
		return nil
	case s == nil && len(p.sites) >= ReplicasMost:
		return fmt.Errorf("pool: %d replicas have slots, no more are allowed", len(p.sites))
	case s == nil:
		s = &site{held: map[string]int{}}
		p.sites[replica] = s
	}
	s.wanted = n
	if more := n - s.cap; more > 0 {
		s.cap += more
		s.free += more
	}
	p.settle(replica)
	return nil
}

// settle lets a lowered cap take the free slots, and forgets a replica that has none.
func (p *Pool) settle(replica string) {
	s := p.sites[replica]
	less := min(s.cap-s.wanted, s.free)
	s.cap -= less
	s.free -= less
	if s.cap == 0 && s.wanted == 0 {
		delete(p.sites, replica)
	}
}

// Take moves n slots from the free ones into the hand of co.
func (p *Pool) Take(co, replica string, n int) error {
	s := p.sites[replica]
	switch {
	case co == "" || len(co) > NameMost:
		return fmt.Errorf("pool: a co-ordinator's name has 1 to %d bytes, not %d", NameMost, len(co))
	case n < 1:
		return fmt.Errorf("pool: %s takes %d slots at %s", co, n, replica)
	case s == nil || s.free < n:
		return fmt.Errorf("pool: %s takes %d slots at %s, %d are free", co, n, replica, p.Free(replica))
	case s.held[co] == 0 && len(s.held) >= HoldersMost:
		return fmt.Errorf("pool: %d co-ordinators hold slots at %s, no more are allowed", len(s.held), replica)
	}
	s.free -= n
	s.held[co] += n
	return nil
}

// Give is the word of co itself that it uses n of its slots no more: they are free.
func (p *Pool) Give(co, replica string, n int) error {
	if err := p.leave(co, replica, n); err != nil {
		return err
	}
	p.sites[replica].free += n
	p.settle(replica)
	return nil
}

// leave takes n slots out of the hand of co; the caller puts them somewhere.
func (p *Pool) leave(co, replica string, n int) error {
	s := p.sites[replica]
	if n < 1 || s == nil || s.held[co] < n {
		held := 0
		if s != nil {
			held = s.held[co]
		}
		return fmt.Errorf("pool: %d slots at %s of %q, which holds %d", n, replica, co, held)
	}
	if s.held[co] -= n; s.held[co] == 0 {
		delete(s.held, co)
	}
	return nil
}

// Move takes n slots out of the hand of from, for good. They are in the hand of to, or free if that is "", once from has
// said so (Land). fence is the number of the transfer; one that is open already is refused.
func (p *Pool) Move(fence uint64, from, to, replica string, n int) error {
	return p.begin(Transfer{Fence: fence, From: from, To: to, Replica: replica, N: n})
}

// Lend is Move until a time. What was not yet taken over by then stays with from; else to has to say that it uses them
// no more (Return), at the latest after that time.
func (p *Pool) Lend(fence uint64, from, to, replica string, n int, until time.Duration) error {
	if until <= p.now || to == "" {
		return fmt.Errorf("pool: a loan of %s to %q until %v, now %v", from, to, until, p.now)
	}
	return p.begin(Transfer{Fence: fence, From: from, To: to, Replica: replica, N: n, Until: until})
}

func (p *Pool) begin(t Transfer) error {
	_, twice := p.moves[t.Fence]
	switch {
	case t.From == "" || t.From == t.To || len(t.To) > NameMost:
		return fmt.Errorf("pool: a transfer from %q to %q", t.From, t.To)
	case t.Fence == 0 || twice:
		return fmt.Errorf("pool: transfer %d is open already", t.Fence)
	case len(p.moves) >= TransfersMost:
		return fmt.Errorf("pool: %d transfers are open, no more are allowed", len(p.moves))
	}
	if err := p.leave(t.From, t.Replica, t.N); err != nil {
		return err
	}
	p.sites[t.Replica].open += t.N
	p.put(t)
	return nil
}

func (p *Pool) put(t Transfer) {
	p.moves[t.Fence] = t
	if t.Until > 0 && t.Stage != Returning && (p.next < 0 || t.Until < p.next) {
		p.next = t.Until
	}
}

// Land is the word of the source that it uses no more than what is left to it: the target has the slots.
func (p *Pool) Land(fence uint64) error {
	t, ok := p.moves[fence]
	if !ok || t.Stage != Moving {
		return fmt.Errorf("pool: land %d: %w", fence, ErrNone)
	}
	if t.Until > 0 {
		t.Stage = Lent
		p.put(t)
		return nil
	}
	p.close(t, t.To)
	return nil
}

// Back ends a transfer that the source has not yet let go: it keeps the slots.
func (p *Pool) Back(fence uint64) error {
	t, ok := p.moves[fence]
	if !ok || t.Stage != Moving {
		return fmt.Errorf("pool: back %d: %w", fence, ErrNone)
	}
	p.close(t, t.From)
	return nil
}

// Return is the word of who borrowed that it uses the slots no more: they are the lender's again.
func (p *Pool) Return(fence uint64) error {
	t, ok := p.moves[fence]
	if !ok || t.Stage == Moving {
		return fmt.Errorf("pool: return %d: %w", fence, ErrNone)
	}
	p.close(t, t.From)
	return nil
}

// close ends a transfer: its slots go to co, or are free if that is "".
func (p *Pool) close(t Transfer, co string) {
	s := p.sites[t.Replica]
	s.open -= t.N
	delete(p.moves, t.Fence)
	if co != "" {
		s.held[co] += t.N
		return
	}
	s.free += t.N
	p.settle(t.Replica)
}

// Drop is for a co-ordinator that surely uses nothing any more: what it holds is free. What was on its way from it goes
// to its target, or is free if it was a loan; what was on its way or lent to it goes back; what it lent stays lent until
// its time, and is free after that. It says whether there was anything.
func (p *Pool) Drop(co string) bool {
	if co == "" {
		return false
	}
	any := false
	for _, t := range p.Transfers() {
		if t.From != co && t.To != co {
			continue
		}
		any = true
		switch {
		case t.From == co && t.Stage == Moving && t.Until == 0:
			p.close(t, t.To)
		case t.From == co && t.Stage == Moving:
			p.close(t, "")
		case t.From == co:
			t.From = ""
			p.moves[t.Fence] = t
		case t.To == co:
			p.close(t, t.From)
		}
	}
	for _, replica := range p.Replicas() {
		if n := p.sites[replica].held[co]; n > 0 {
			_ = p.Give(co, replica, n) // it holds them, as just seen
			any = true
		}
	}
	return any
}

// Clear frees all slots, when none is surely in use.
func (p *Pool) Clear() {
	clear(p.moves)
	p.next = -1
	for name, s := range p.sites { // in any order: each is on its own
		s.free, s.open = s.cap, 0
		clear(s.held)
		p.settle(name)
	}
}

// Tick moves agreed time on: loans whose time is over end.
func (p *Pool) Tick(now time.Duration) {
	p.now = max(p.now, now)
	if p.next < 0 || p.next > p.now {
		return
	}
	p.next = -1
	for _, t := range p.Transfers() {
		switch {
		case t.Until == 0 || t.Stage == Returning:
		case t.Until > p.now:
			p.put(t)
		case t.Stage == Moving:
			p.close(t, t.From)
		default:
			t.Stage = Returning
			p.put(t)
		}
	}
}

// Held is how many slots co may use at a replica: in its hand, and lent to it; what it lent or lets go is out of it.
func (p *Pool) Held(co, replica string) int {
	s := p.sites[replica]
	if s == nil {
		return 0
	}
	n := s.held[co]
	if s.open > 0 {
		for _, t := range p.moves {
			if t.Stage == Lent && t.To == co && t.Replica == replica {
				n += t.N
			}
		}
	}
	return n
}

// Free is how many slots at a replica are no one's.
func (p *Pool) Free(replica string) int {
	if s := p.sites[replica]; s != nil {
		return s.free
	}
	return 0
}

// Cap is how many slots a replica has, those that a lowered cap still waits for included.
func (p *Pool) Cap(replica string) int {
	if s := p.sites[replica]; s != nil {
		return s.cap
	}
	return 0
}

// Wanted is what SetCap said last; under Cap while more is out.
func (p *Pool) Wanted(replica string) int {
	if s := p.sites[replica]; s != nil {
		return s.wanted
	}
	return 0
}

// Replicas with slots, sorted.
func (p *Pool) Replicas() []string { return slices.Sorted(maps.Keys(p.sites)) }

// Holders of slots at a replica, in the hand, sorted.
func (p *Pool) Holders(replica string) []string {
	if s := p.sites[replica]; s != nil {
		return slices.Sorted(maps.Keys(s.held))
	}
	return nil
}

// Transfers that are open, by number.
func (p *Pool) Transfers() []Transfer {
	out := make([]Transfer, 0, len(p.moves))
	for _, fence := range slices.Sorted(maps.Keys(p.moves)) {
		out = append(out, p.moves[fence])
	}
	return out
}

// Transfer by its number, while it is open.
func (p *Pool) Transfer(fence uint64) (Transfer, bool) {
	t, ok := p.moves[fence]
	return t, ok
}

// Asked are the transfers that wait for the word of co, by number.
func (p *Pool) Asked(co string) []Transfer {
	return slices.DeleteFunc(p.Transfers(), func(t Transfer) bool { return co == "" || t.Word() != co })
}
