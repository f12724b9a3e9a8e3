package pool

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// ErrNoTransfer is wrapped when a number names no transfer that is open: it never was, or it is over. Nothing has changed.
var ErrNoTransfer = errors.New("no such transfer is open")

// Stage of a transfer.
type Stage uint8

// Stages of a transfer, in their order.
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
	Slots   int           `json:"n"`
	Until   time.Duration `json:"until,omitempty"` // of a loan, else 0
	Stage   Stage         `json:"stage,omitempty"`
}

// Releaser is who has to say that it uses the slots no more, or "" while no one has to.
func (t Transfer) Releaser() string {
	switch t.Stage {
	case Moving:
		return t.From
	case Returning:
		return t.To
	}
	return ""
}

// Move takes n slots out of the hand of from, for good. They are in the hand of to, or free if that is "", once from has
// said so (Land). fence is the number of the transfer; one that is open already is refused.
func (p *Pool) Move(fence uint64, from, to, replica string, n int) error {
	return p.start(Transfer{Fence: fence, From: from, To: to, Replica: replica, Slots: n})
}

// Lend is Move until a time. What was not yet taken over by then stays with from; else to has to say that it uses them
// no more (Return), at the latest after that time.
func (p *Pool) Lend(fence uint64, from, to, replica string, n int, until time.Duration) error {
	if until <= p.now || to == "" {
		return fmt.Errorf("pool: a loan of %s to %q until %v, now %v", from, to, until, p.now)
	}
	return p.start(Transfer{Fence: fence, From: from, To: to, Replica: replica, Slots: n, Until: until})
}

func (p *Pool) start(t Transfer) error {
	_, twice := p.transfers[t.Fence]
	switch {
	case t.From == "" || t.From == t.To || len(t.To) > MaxNameBytes:
		return fmt.Errorf("pool: a transfer from %q to %q", t.From, t.To)
	case t.Fence == 0 || twice:
		return fmt.Errorf("pool: transfer %d is open already", t.Fence)
	case len(p.transfers) >= MaxTransfers:
		return fmt.Errorf("pool: %d transfers are open, no more are allowed", len(p.transfers))
	}
	if err := p.removeHeld(t.From, t.Replica, t.Slots); err != nil {
		return err
	}
	p.replicas[t.Replica].outstanding += t.Slots
	p.store(t)
	return nil
}

func (p *Pool) store(t Transfer) {
	p.transfers[t.Fence] = t
	if t.Until > 0 && t.Stage != Returning && (p.nextExpiry < 0 || t.Until < p.nextExpiry) {
		p.nextExpiry = t.Until
	}
}

// lend counts n more of the slots that co uses as a loan. Held is asked for each co-ordinator and replica, and walks no transfers for it.
func (s *replicaSlots) addLent(co string, n int) {
	if s.lent == nil {
		s.lent = map[string]int{}
	}
	if s.lent[co] += n; s.lent[co] == 0 {
		delete(s.lent, co)
	}
	if len(s.lent) == 0 {
		s.lent = nil
	}
}

// ConfirmSource is the word of the source that it uses no more than what is left to it: the target has the slots.
func (p *Pool) ConfirmSource(fence uint64) error {
	t, ok := p.transfers[fence]
	if !ok || t.Stage != Moving {
		return fmt.Errorf("pool: land %d: %w", fence, ErrNoTransfer)
	}
	if t.Until > 0 {
		t.Stage = Lent
		p.replicas[t.Replica].addLent(t.To, t.Slots)
		p.store(t)
		return nil
	}
	p.finish(t, t.To)
	return nil
}

// Cancel ends a transfer that the source has not yet let go: it keeps the slots.
func (p *Pool) Cancel(fence uint64) error {
	t, ok := p.transfers[fence]
	if !ok || t.Stage != Moving {
		return fmt.Errorf("pool: back %d: %w", fence, ErrNoTransfer)
	}
	p.finish(t, t.From)
	return nil
}

// ReturnLoan is the word of who borrowed that it uses the slots no more: they are the lender's again.
func (p *Pool) ReturnLoan(fence uint64) error {
	t, ok := p.transfers[fence]
	if !ok || t.Stage == Moving {
		return fmt.Errorf("pool: return %d: %w", fence, ErrNoTransfer)
	}
	p.finish(t, t.From)
	return nil
}

// close ends a transfer: its slots go to co, or are free if that is "".
func (p *Pool) finish(t Transfer, co string) {
	s := p.replicas[t.Replica]
	s.outstanding -= t.Slots
	if t.Stage == Lent {
		s.addLent(t.To, -t.Slots)
	}
	delete(p.transfers, t.Fence)
	if co != "" {
		s.held[co] += t.Slots
		return
	}
	s.free += t.Slots
	p.applyLoweredCap(t.Replica)
}

// RemoveCoordinator is for a co-ordinator that surely uses nothing any more: what it holds is free. What was on its way from it goes
// to its target, or is free if it was a loan; what was on its way or lent to it goes back; what it lent stays lent until
// its time, and is free after that. It says whether there was anything.
func (p *Pool) RemoveCoordinator(co string) bool {
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
			p.finish(t, t.To)
		case t.From == co && t.Stage == Moving:
			p.finish(t, "")
		case t.From == co:
			t.From = ""
			p.transfers[t.Fence] = t
		case t.To == co:
			p.finish(t, t.From)
		}
	}
	for _, replica := range p.Replicas() {
		if n := p.replicas[replica].held[co]; n > 0 {
			_ = p.Release(co, replica, n) // it holds them, as just seen
			any = true
		}
	}
	return any
}

// Clear frees all slots, when none is surely in use.
func (p *Pool) Clear() {
	clear(p.transfers)
	p.nextExpiry = -1
	for name, s := range p.replicas { // in any order: each is on its own
		s.free, s.outstanding, s.lent = s.cap, 0, nil
		clear(s.held)
		p.applyLoweredCap(name)
	}
}

// Advance moves agreed time on: loans whose time is over end.
func (p *Pool) Advance(now time.Duration) {
	p.now = max(p.now, now)
	if p.nextExpiry < 0 || p.nextExpiry > p.now {
		return
	}
	p.nextExpiry = -1
	for _, t := range p.Transfers() {
		switch {
		case t.Until == 0 || t.Stage == Returning:
		case t.Until > p.now:
			p.store(t)
		case t.Stage == Moving:
			p.finish(t, t.From)
		default:
			t.Stage = Returning
			p.replicas[t.Replica].addLent(t.To, -t.Slots)
			p.store(t)
		}
	}
}

// Transfers that are open, by number.
func (p *Pool) Transfers() []Transfer {
	out := make([]Transfer, 0, len(p.transfers))
	for _, fence := range slices.Sorted(maps.Keys(p.transfers)) {
		out = append(out, p.transfers[fence])
	}
	return out
}

// Transfer by its number, while it is open.
func (p *Pool) Transfer(fence uint64) (Transfer, bool) {
	t, ok := p.transfers[fence]
	return t, ok
}

// PendingReleases are the transfers that wait for the word of co, by number.
func (p *Pool) PendingReleases(co string) []Transfer {
	return slices.DeleteFunc(p.Transfers(), func(t Transfer) bool { return co == "" || t.Releaser() != co })
}
