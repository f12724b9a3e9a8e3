package session

import (
	"errors"
	"fmt"
	"strings"
	"time"
	"unique"

	"birchcart/internal/fleet/statemachine"
)

// Tick implements statemachine.Part: offers and loans whose time is over end, and what is remembered for a time is forgotten.
func (b *State) Tick(now time.Duration) {
	b.now = max(b.now, now)
	b.pool.Advance(b.now)
	if len(b.moves) > 0 && b.nextExpiry <= b.now {
		b.expireMoves()
	}
	n := 0
	for n < len(b.offerCounts) && b.offerCounts[n].At+OfferWindow < b.now-b.now%time.Second {
		n++
	}
	b.offerCounts = b.offerCounts[n:]
	b.dropExpiredEnds()
}

// lapse ends the moves whose time is over: an offer is withdrawn, a handed session goes back to its source, or is free if
// that had it back already. No one acts for a handed one, so that an adoption which comes late finds another epoch.
func (b *State) expireMoves() {
	b.nextExpiry = statemachine.MaxTime
	for _, id := range sortedIDs(b.moves) {
		f, l := b.moves[id], b.sessions[id]
		switch {
		case f.Until > b.now:
		case l.phase == Offered:
			b.pin(id, l)
		default:
			b.returnToSource(id, l, "no co-ordinator took it over in time")
		}
		if f, ok := b.moves[id]; ok {
			b.nextExpiry = min(b.nextExpiry, f.Until)
		}
	}
}

// pin ends a move where the session is.
func (b *State) pin(id ID, l ownedSession) {
	delete(b.moves, id)
	l.phase, l.since = Pinned, b.now
	b.sessions[id] = l
}

// Apply implements statemachine.Part. A command of several acts is refused if each of them is; Refused tells of the others.
func (b *State) Apply(now time.Duration, fence func() uint64, kind string, body []byte) error {
	b.Tick(now)
	b.refusals, b.refusalCount = nil, 0
	switch kind {
	case KindLimits:
		return decodeAndApply(body, b.applyLimits)
	case KindActs:
		return decodeAndApply(body, b.applyActs)
	case KindPlan:
		return decodeAndApply(body, func(p PlanBody) error { return b.applyPlan(p, fence) })
	case KindRelease:
		return decodeAndApply(body, b.applyRelease)
	case KindTick:
		return decodeAndApply(body, func(TickBody) error { return nil })
	}
	return fmt.Errorf("session: kind %q: %w", kind, statemachine.ErrUnknown)
}

func decodeAndApply[B any](raw []byte, apply func(B) error) error {
	var body B
	if err := statemachine.Strict(raw, &body); err != nil {
		return fmt.Errorf("session: body can not be read: %w", err)
	}
	return apply(body)
}

// several counts what came of the parts of a command; each stands alone.
func (b *State) countResult(what fmt.Stringer, err error) bool {
	if err == nil {
		return true
	}
	if b.refusalCount++; len(b.refusals) < MaxRefusals {
		b.refusals = append(b.refusals, fmt.Sprintf("%s: %v", what, err))
	}
	return false
}

func (b *State) commandResult(done int) error {
	if done > 0 {
		return nil
	}
	if b.refusalCount == 0 {
		return errors.New("session: nothing to do")
	}
	return fmt.Errorf("session: all %d refused, first %s", b.refusalCount, b.refusals[0])
}

func (a Act) String() string {
	if a.Kind == Freed {
		return fmt.Sprintf("%s %d", a.Kind, a.Fence)
	}
	return fmt.Sprintf("%s %s of epoch %d", a.Kind, a.ID, a.Epoch)
}

func (b *State) applyActs(c ActsBody) error {
	if c.From == "" || len(c.From) > MaxNameBytes || len(c.Acts) > MaxActs {
		return fmt.Errorf("session: %d acts of %.20q", len(c.Acts), c.From)
	}
	done := 0
	for _, a := range c.Acts {
		if b.countResult(a, b.act(c.From, a)) {
			done++
		}
	}
	if done > 0 {
		if i, err := b.coordinatorIndex(c.From); err == nil {
			b.coordinators[i].lastActAt, b.coordinators[i].lastKnownAt = b.now, b.now
		}
	}
	return b.commandResult(done)
}

func (b *State) act(from string, a Act) error {
	if a.Kind == Freed {
		return b.completeTransfer(from, a.Fence)
	}
	if a.Kind == Claim {
		return b.claim(from, a)
	}
	l, ok := b.sessions[a.ID]
	if !ok {
		return errors.New("it is free")
	}
	if a.Epoch != l.epoch {
		return fmt.Errorf("it is in epoch %d", l.epoch)
	}
	owner := b.coordinators[l.owner].name
	if a.Kind == Decline && l.phase == Offered {
		return b.decline(from, a, l)
	}
	if owner != from {
		return fmt.Errorf("it is %s of %q, not of %q", l.phase, owner, from)
	}
	switch {
	case a.Kind == HandOver && l.phase == Offered:
		return b.handOver(from, a, l)
	case a.Kind == Adopt && l.phase == HandedOver:
		b.pin(a.ID, l)
		return nil
	case a.Kind == Decline && l.phase == HandedOver:
		b.returnToSource(a.ID, l, "no co-ordinator had room for it")
		return nil
	case a.Kind == End:
		l.seq = max(l.seq, a.Seq)
		b.end(a.ID, l, a.Reason)
		return nil
	}
	return fmt.Errorf("it is %s", l.phase)
}

func (b *State) claim(from string, a Act) error {
	r, owned := b.Get(a.ID)
	switch {
	case owned:
		return fmt.Errorf("it is %s of %q in epoch %d", r.Phase, r.Owner, r.Epoch)
	case b.now < b.blockedUntil:
		return fmt.Errorf("the era is new, nothing is claimed before %v, it is %v", b.blockedUntil, b.now)
	case a.Epoch != r.Epoch:
		return fmt.Errorf("it was last in epoch %d", r.Epoch)
	case len(b.sessions) >= b.limits.MaxSessions:
		return fmt.Errorf("%d sessions, %d are allowed", len(b.sessions), b.limits.MaxSessions)
	}
	i, err := b.coordinatorIndex(from)
	if err != nil {
		return err
	}
	delete(b.ended, a.ID)
	b.coordinators[i].owned++
	b.sessions[a.ID] = ownedSession{epoch: r.Epoch + 1, seq: r.Seq, since: b.now, owner: i, phase: Pinned, lane: a.Lane}
	return nil
}

func (b *State) handOver(from string, a Act, l ownedSession) error {
	f := b.moves[a.ID]
	switch {
	case a.Fence != f.Fence:
		return fmt.Errorf("its offer is number %d, not %d", f.Fence, a.Fence)
	case a.Seq < l.seq:
		return fmt.Errorf("%d queries begun, %d were", a.Seq, l.seq)
	case len(a.State) > min(b.limits.MaxStateBytes, MaxStateBytes):
		return fmt.Errorf("a state of %d bytes, %d are allowed", len(a.State), min(b.limits.MaxStateBytes, MaxStateBytes))
	}
	to, err := b.coordinatorIndex(f.To)
	if err != nil {
		return err
	}
	f.Source, f.State, f.Hand = from, a.State, &handOverEvidence{from, a.Epoch, a.Fence}
	b.startStep(a.ID, f)
	b.coordinators[l.owner].owned--
	b.coordinators[to].owned++
	l.owner, l.epoch, l.phase, l.since, l.seq, l.lane = to, l.epoch+1, HandedOver, b.now, a.Seq, a.Lane
	b.sessions[a.ID] = l
	return nil
}

func (b *State) decline(from string, a Act, l ownedSession) error {
	switch f := b.moves[a.ID]; {
	case f.To != from:
		return fmt.Errorf("it is offered to %q, not to %q", f.To, from)
	case f.Fence != a.Fence:
		return fmt.Errorf("its offer is number %d, not %d", f.Fence, a.Fence)
	}
	b.pin(a.ID, l)
	return nil
}

// back gives a handed session to its source, once; if that is gone, or had it back before, it is free.
func (b *State) returnToSource(id ID, l ownedSession, why string) {
	f := b.moves[id]
	to, err := b.coordinatorIndex(f.Source)
	if f.Source == "" || err != nil {
		b.end(id, l, why)
		return
	}
	f.Source = ""
	b.startStep(id, f)
	b.coordinators[l.owner].owned--
	b.coordinators[to].owned++
	l.owner, l.epoch, l.since = to, l.epoch+1, b.now
	b.sessions[id] = l
}

// fly gives a flight its time: StepTimeout for each step of it, offered, handed, handed back.
func (b *State) startStep(id ID, f move) {
	f.Until = b.now + b.limits.StepTimeout
	b.moves[id] = f
	b.nextExpiry = min(b.nextExpiry, f.Until)
}

// end frees a session and keeps how it ended.
func (b *State) end(id ID, l ownedSession, why string) {
	b.coordinators[l.owner].owned--
	delete(b.sessions, id)
	delete(b.moves, id)
	if len(b.ended) >= MaxEnds {
		b.dropOldestEnd()
	}
	b.ended[id] = endedSession{l.epoch, l.seq, b.now, unique.Make(truncateReason(why)), b.firstPosition + uint64(len(b.endOrder))}
	b.endOrder = append(b.endOrder, id)
}

// forget drops ends older than Remember, and the places of those that were claimed again.
func (b *State) dropExpiredEnds() {
	for len(b.endOrder) > 0 {
		e, ok := b.ended[b.endOrder[0]]
		if ok && e.position == b.firstPosition { // else it was claimed since: only its place goes
			if e.at+EndRetention > b.now {
				break
			}
			b.maxForgottenEpoch = max(b.maxForgottenEpoch, e.epoch)
			delete(b.ended, b.endOrder[0])
		}
		b.endOrder = b.endOrder[1:]
		b.firstPosition++
	}
	if len(b.endOrder) <= 2*len(b.ended)+64 {
		return
	}
	keep := make([]ID, 0, len(b.ended))
	for i, id := range b.endOrder {
		if e, ok := b.ended[id]; ok && e.position == b.firstPosition+uint64(i) {
			e.position = uint64(len(keep))
			b.ended[id] = e
			keep = append(keep, id)
		}
	}
	b.endOrder, b.firstPosition = keep, 0
}

// drop forgets the oldest end. Its epoch counts for all that are not known from then on.
func (b *State) dropOldestEnd() {
	for len(b.endOrder) > 0 {
		id := b.endOrder[0]
		e, ok := b.ended[id]
		ok = ok && e.position == b.firstPosition
		b.endOrder = b.endOrder[1:]
		b.firstPosition++
		if ok {
			b.maxForgottenEpoch = max(b.maxForgottenEpoch, e.epoch)
			delete(b.ended, id)
			return
		}
	}
}

func (b *State) completeTransfer(from string, fence uint64) error {
	t, ok := b.pool.Transfer(fence)
	switch {
	case !ok:
		return errors.New("no such transfer is open")
	case t.Stage == 0 && t.From == from:
		return b.pool.ConfirmSource(fence)
	case t.Stage != 0 && t.To == from:
		return b.pool.ReturnLoan(fence)
	}
	return fmt.Errorf("the transfer is %s from %q to %q, it does not wait for %q", t.Stage, t.From, t.To, from)
}

// clip cuts a reason, between two letters.
func truncateReason(why string) string {
	return strings.ToValidUTF8(why[:min(len(why), MaxReasonBytes)], "")
}
