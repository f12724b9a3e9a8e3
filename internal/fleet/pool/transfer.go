package pool

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// ErrNoTransfer is wrapped if a fence number belongs to no open transfer in the required stage: the transfer never existed, or has
// ended. The pool is unchanged then.
var ErrNoTransfer = errors.New("no such transfer is open")

// Stage is the stage of a transfer.
type Stage uint8

// Stages of a transfer, in their order.
const (
	Moving    Stage = iota // the source has yet to confirm that it no longer uses the slots
	Lent                   // the target uses the slots of a loan until its end
	Returning              // the loan has ended, the target has yet to confirm that it no longer uses the slots
)

func (s Stage) String() string {
	return [...]string{"moving", "lent", "returning"}[min(s, Returning)]
}

// Transfer is an open transfer or loan of slots at a replica. A transfer ends by ConfirmSource or Cancel; a loan ends by ReturnLoan,
// by Cancel, or at its end if the lender has not confirmed it by then. Both also end when their source or target is removed, but a
// confirmed loan outlives its lender.
type Transfer struct {
	Fence   uint64        `json:"fence"`          // the number of the transfer
	From    string        `json:"from,omitempty"` // "" for a loan whose lender was removed: the slots become free when it is returned
	To      string        `json:"to,omitempty"`   // "" if the slots become free
	Replica string        `json:"replica"`
	Slots   int           `json:"n"`
	Until   time.Duration `json:"until,omitempty"` // end of a loan; 0 for a permanent transfer
	Stage   Stage         `json:"stage,omitempty"`
}

// Releaser returns the co-ordinator that has yet to confirm that it no longer uses the slots, or "" if none has to.
func (t Transfer) Releaser() string {
	switch t.Stage {
	case Moving:
		return t.From
	case Returning:
		return t.To
	}
	return ""
}

// Move starts the permanent transfer of n slots held by from. Once from has confirmed it (ConfirmSource) they are held by to, or
// free if to is "". fence is the number of the transfer; a number that is already in use is rejected.
func (p *Pool) Move(fence uint64, from, to, replica string, n int) error {
	return p.start(Transfer{Fence: fence, From: from, To: to, Replica: replica, Slots: n})
}

// Lend starts a transfer like Move, but as a loan until a time. Slots whose source has not confirmed by then stay with from.
// Otherwise to has to confirm that it no longer uses them (ReturnLoan), at the latest after that time.
func (p *Pool) Lend(fence uint64, from, to, replica string, n int, until time.Duration) error {
	if until <= p.now || to == "" {
		return fmt.Errorf("pool: invalid loan from %s to %q until %v at %v", from, to, until, p.now)
	}
	return p.start(Transfer{Fence: fence, From: from, To: to, Replica: replica, Slots: n, Until: until})
}

// start checks and opens a transfer.
func (p *Pool) start(t Transfer) error {
	_, exists := p.transfers[t.Fence]
	switch {
	case t.From == "" || t.From == t.To || len(t.To) > MaxNameBytes:
		return fmt.Errorf("pool: invalid transfer from %q to %q", t.From, t.To)
	case t.Fence == 0 || exists:
		return fmt.Errorf("pool: transfer number %d is 0 or already open", t.Fence)
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

// store sets a transfer and updates the earliest end of a loan.
func (p *Pool) store(t Transfer) {
	p.transfers[t.Fence] = t
	if t.Until > 0 && t.Stage != Returning && (p.nextExpiry < 0 || t.Until < p.nextExpiry) {
		p.nextExpiry = t.Until
	}
}

// addLent adds n to the slots that a co-ordinator uses as loans. They are counted here because Held is called for each co-ordinator
// and replica, and must not walk over all transfers.
func (s *replicaSlots) addLent(coordinator string, n int) {
	if s.lent == nil {
		s.lent = map[string]int{}
	}
	if s.lent[coordinator] += n; s.lent[coordinator] == 0 {
		delete(s.lent, coordinator)
	}
	if len(s.lent) == 0 {
		s.lent = nil
	}
}

// ConfirmSource records that the source no longer uses the slots. The target holds or borrows them from now on.
func (p *Pool) ConfirmSource(fence uint64) error {
	t, ok := p.transfers[fence]
	if !ok || t.Stage != Moving {
		return fmt.Errorf("pool: confirm source of transfer %d: %w", fence, ErrNoTransfer)
	}
	if t.Until > 0 {
		t.Stage = Lent
		p.replicas[t.Replica].addLent(t.To, t.Slots)
		p.store(t)
		return nil
	}
	p.close(t, t.To)
	return nil
}

// Cancel ends a transfer that its source has not yet confirmed. The source keeps the slots.
func (p *Pool) Cancel(fence uint64) error {
	t, ok := p.transfers[fence]
	if !ok || t.Stage != Moving {
		return fmt.Errorf("pool: roll back %d: %w", fence, ErrNoTransfer)
	}
	p.close(t, t.From)
	return nil
}

// ReturnLoan records that the borrower no longer uses the slots. They go back to the lender, or are free if it was removed.
func (p *Pool) ReturnLoan(fence uint64) error {
	t, ok := p.transfers[fence]
	if !ok || t.Stage == Moving {
		return fmt.Errorf("pool: return loan %d: %w", fence, ErrNoTransfer)
	}
	p.close(t, t.From)
	return nil
}

// close ends a transfer: its slots go to coordinator, or are free if that is "".
func (p *Pool) close(t Transfer, coordinator string) {
	s := p.replicas[t.Replica]
	s.outstanding -= t.Slots
	if t.Stage == Lent {
		s.addLent(t.To, -t.Slots)
	}
	delete(p.transfers, t.Fence)
	if coordinator != "" {
		s.held[coordinator] += t.Slots
		return
	}
	s.free += t.Slots
	p.applyLoweredCap(t.Replica)
}

// RemoveCoordinator frees the slots of a co-ordinator that surely uses none any more. Unconfirmed transfers from it go to their
// targets; its unconfirmed loans become free. Transfers and loans to it go back to their sources. Loans that it gave stay with their
// borrowers until they end, and are free then. It reports whether there was anything to remove.
func (p *Pool) RemoveCoordinator(coordinator string) bool {
	if coordinator == "" {
		return false
	}
	found := false
	for _, t := range p.Transfers() {
		if t.From != coordinator && t.To != coordinator {
			continue
		}
		found = true
		switch {
		case t.From == coordinator && t.Stage == Moving && t.Until == 0:
			p.close(t, t.To)
		case t.From == coordinator && t.Stage == Moving:
			p.close(t, "")
		case t.From == coordinator:
			t.From = ""
			p.transfers[t.Fence] = t
		case t.To == coordinator:
			p.close(t, t.From)
		}
	}
	for _, replica := range p.Replicas() {
		if n := p.replicas[replica].held[coordinator]; n > 0 {
			_ = p.Release(coordinator, replica, n) // can't fail: it holds n
			found = true
		}
	}
	return found
}

// Clear frees all slots and drops all transfers. It may only be called when surely no slot is in use.
func (p *Pool) Clear() {
	clear(p.transfers)
	p.nextExpiry = -1
	for name, s := range p.replicas { // order doesn't matter: replicas are independent
		s.free, s.outstanding, s.lent = s.cap, 0, nil
		clear(s.held)
		p.applyLoweredCap(name)
	}
}

// Advance advances agreed time and ends expired loans: unconfirmed ones stay with their lenders, lent ones have to be returned.
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
			p.close(t, t.From)
		default:
			t.Stage = Returning
			p.replicas[t.Replica].addLent(t.To, -t.Slots)
			p.store(t)
		}
	}
}

// Transfers returns the open transfers, by number.
func (p *Pool) Transfers() []Transfer {
	out := make([]Transfer, 0, len(p.transfers))
	for _, fence := range slices.Sorted(maps.Keys(p.transfers)) {
		out = append(out, p.transfers[fence])
	}
	return out
}

// Transfer returns the open transfer with that number; false if there is none.
func (p *Pool) Transfer(fence uint64) (Transfer, bool) {
	t, ok := p.transfers[fence]
	return t, ok
}

// PendingReleases returns the transfers that wait for a confirmation of coordinator, by number.
func (p *Pool) PendingReleases(coordinator string) []Transfer {
	return slices.DeleteFunc(p.Transfers(), func(t Transfer) bool { return coordinator == "" || t.Releaser() != coordinator })
}
