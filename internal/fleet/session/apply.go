package session

import (
	"errors"
	"fmt"
	"strings"
	"time"
	"unique"

	"birchcart/internal/fleet/statemachine"
)

// Tick implements statemachine.Part. It advances agreed time, ends the offers, hand-overs and loans whose time is over, and drops
// what is kept for a limited time.
func (s *State) Tick(now time.Duration) {
	s.now = max(s.now, now)
	s.pool.Advance(s.now)
	if len(s.moves) > 0 && s.nextExpiry <= s.now {
		s.expireMoves()
	}
	n := 0
	for n < len(s.offerCounts) && s.offerCounts[n].At+OfferWindow < s.now-s.now%time.Second {
		n++
	}
	s.offerCounts = s.offerCounts[n:]
	s.dropExpiredEnds()
}

// expireMoves ends the steps of moves whose time is over: an offer is withdrawn; a handed-over session returns to its source, or
// becomes free if it has returned already. No co-ordinator acts for a handed-over session, and its epoch changes here, so that a
// late adoption is refused.
func (s *State) expireMoves() {
	s.nextExpiry = statemachine.MaxTime
	for _, id := range sortedIDs(s.moves) {
		m, l := s.moves[id], s.sessions[id]
		switch {
		case m.Until > s.now:
		case l.phase == Offered:
			s.pin(id, l)
		default:
			s.returnToSource(id, l, "no co-ordinator took it over in time")
		}
		if m, ok := s.moves[id]; ok {
			s.nextExpiry = min(s.nextExpiry, m.Until)
		}
	}
}

// pin ends a move: the session stays with its current owner.
func (s *State) pin(id ID, l ownedSession) {
	delete(s.moves, id)
	l.phase, l.since = Pinned, s.now
	s.sessions[id] = l
}

// Apply implements statemachine.Part. A command of several parts is refused only if all of them are; Refusals returns the errors
// of the parts that were refused.
func (s *State) Apply(now time.Duration, fence func() uint64, kind string, body []byte) error {
	s.Tick(now)
	s.refusals, s.refusalCount = nil, 0
	switch kind {
	case KindLimits:
		return decodeAndApply(body, s.applyLimits)
	case KindActs:
		return decodeAndApply(body, s.applyActs)
	case KindPlan:
		return decodeAndApply(body, func(p PlanBody) error { return s.applyPlan(p, fence) })
	case KindRelease:
		return decodeAndApply(body, s.applyRelease)
	case KindTick:
		return decodeAndApply(body, func(TickBody) error { return nil })
	}
	return fmt.Errorf("session: command kind %q: %w", kind, statemachine.ErrUnknown)
}

func decodeAndApply[B any](raw []byte, apply func(B) error) error {
	var body B
	if err := statemachine.DecodeStrict(raw, &body); err != nil {
		return fmt.Errorf("session: cannot decode the command body: %w", err)
	}
	return apply(body)
}

// countResult reports whether a part of a command succeeded, and records its error if it did not.
func (s *State) countResult(what fmt.Stringer, err error) bool {
	if err == nil {
		return true
	}
	if s.refusalCount++; len(s.refusals) < MaxRefusals {
		s.refusals = append(s.refusals, fmt.Sprintf("%s: %v", what, err))
	}
	return false
}

// commandResult returns the error of a command of which done parts succeeded: nil if any did.
func (s *State) commandResult(done int) error {
	if done > 0 {
		return nil
	}
	if s.refusalCount == 0 {
		return errors.New("session: the command has no parts")
	}
	return fmt.Errorf("session: all %d parts were refused, the first: %s", s.refusalCount, s.refusals[0])
}

func (a Act) String() string {
	if a.Kind == Freed {
		return fmt.Sprintf("%s %d", a.Kind, a.Fence)
	}
	return fmt.Sprintf("%s %s of epoch %d", a.Kind, a.ID, a.Epoch)
}

func (s *State) applyActs(c ActsBody) error {
	if c.From == "" || len(c.From) > MaxNameBytes || len(c.Acts) > MaxActs {
		return fmt.Errorf("session: invalid command of %d acts from %.20q", len(c.Acts), c.From)
	}
	done := 0
	for _, a := range c.Acts {
		if s.countResult(a, s.act(c.From, a)) {
			done++
		}
	}
	if done > 0 {
		if i, err := s.coordinatorIndex(c.From); err == nil {
			s.coordinators[i].lastActAt, s.coordinators[i].lastKnownAt = s.now, s.now
		}
	}
	return s.commandResult(done)
}

func (s *State) act(from string, a Act) error {
	if a.Kind == Freed {
		return s.completeTransfer(from, a.Fence)
	}
	if a.Kind == Claim {
		return s.claim(from, a)
	}
	l, ok := s.sessions[a.ID]
	if !ok {
		return errors.New("the session is free")
	}
	if a.Epoch != l.epoch {
		return fmt.Errorf("the session is in epoch %d", l.epoch)
	}
	owner := s.coordinators[l.owner].name
	if a.Kind == Decline && l.phase == Offered {
		return s.decline(from, a, l)
	}
	if owner != from {
		return fmt.Errorf("the session is %s, owned by %q, not by %q", l.phase, owner, from)
	}
	switch {
	case a.Kind == HandOver && l.phase == Offered:
		return s.handOver(from, a, l)
	case a.Kind == Adopt && l.phase == HandedOver:
		s.pin(a.ID, l)
		return nil
	case a.Kind == Decline && l.phase == HandedOver:
		s.returnToSource(a.ID, l, "no co-ordinator had room for it")
		return nil
	case a.Kind == End:
		l.seq = max(l.seq, a.Seq)
		s.end(a.ID, l, a.Reason)
		return nil
	}
	return fmt.Errorf("the session is %s", l.phase)
}

func (s *State) claim(from string, a Act) error {
	r, owned := s.Get(a.ID)
	switch {
	case owned:
		return fmt.Errorf("the session is %s, owned by %q, in epoch %d", r.Phase, r.Owner, r.Epoch)
	case s.now < s.blockedUntil:
		return fmt.Errorf("no session can be claimed before %v in a new era, the agreed time is %v", s.blockedUntil, s.now)
	case a.Epoch != r.Epoch:
		return fmt.Errorf("the session was last in epoch %d", r.Epoch)
	case len(s.sessions) >= s.limits.MaxSessions:
		return fmt.Errorf("%d sessions exist, %d are allowed", len(s.sessions), s.limits.MaxSessions)
	}
	i, err := s.coordinatorIndex(from)
	if err != nil {
		return err
	}
	delete(s.ended, a.ID)
	s.coordinators[i].owned++
	s.sessions[a.ID] = ownedSession{epoch: r.Epoch + 1, seq: r.Seq, since: s.now, owner: i, phase: Pinned, lane: a.Lane}
	return nil
}

func (s *State) handOver(from string, a Act, l ownedSession) error {
	m := s.moves[a.ID]
	switch {
	case a.Fence != m.Fence:
		return fmt.Errorf("the current offer has number %d, not %d", m.Fence, a.Fence)
	case a.Seq < l.seq:
		return fmt.Errorf("the hand-over counts %d queries begun, the agreed state %d", a.Seq, l.seq)
	case len(a.State) > min(s.limits.MaxStateBytes, MaxStateBytes):
		return fmt.Errorf("the hand-over has a state of %d bytes, %d are allowed", len(a.State), min(s.limits.MaxStateBytes, MaxStateBytes))
	}
	to, err := s.coordinatorIndex(m.To)
	if err != nil {
		return err
	}
	m.Source, m.State, m.Hand = from, a.State, &handOverEvidence{from, a.Epoch, a.Fence}
	s.startStep(a.ID, m)
	s.coordinators[l.owner].owned--
	s.coordinators[to].owned++
	l.owner, l.epoch, l.phase, l.since, l.seq, l.lane = to, l.epoch+1, HandedOver, s.now, a.Seq, a.Lane
	s.sessions[a.ID] = l
	return nil
}

func (s *State) decline(from string, a Act, l ownedSession) error {
	switch m := s.moves[a.ID]; {
	case m.To != from:
		return fmt.Errorf("the session is offered to %q, not to %q", m.To, from)
	case m.Fence != a.Fence:
		return fmt.Errorf("the current offer has number %d, not %d", m.Fence, a.Fence)
	}
	s.pin(a.ID, l)
	return nil
}

// returnToSource returns a handed-over session to its source. It frees the session if it has no source any more: the source was
// released, or the session has returned before.
func (s *State) returnToSource(id ID, l ownedSession, reason string) {
	m := s.moves[id]
	to, err := s.coordinatorIndex(m.Source)
	if m.Source == "" || err != nil {
		s.end(id, l, reason)
		return
	}
	m.Source = ""
	s.startStep(id, m)
	s.coordinators[l.owner].owned--
	s.coordinators[to].owned++
	l.owner, l.epoch, l.since = to, l.epoch+1, s.now
	s.sessions[id] = l
}

// startStep stores a move and starts the time of its next step, handed over or returned, which lasts at most Limits.StepTimeout.
func (s *State) startStep(id ID, m move) {
	m.Until = s.now + s.limits.StepTimeout
	s.moves[id] = m
	s.nextExpiry = min(s.nextExpiry, m.Until)
}

// end frees a session and remembers its end.
func (s *State) end(id ID, l ownedSession, reason string) {
	s.coordinators[l.owner].owned--
	delete(s.sessions, id)
	delete(s.moves, id)
	if len(s.ended) >= MaxEnds {
		s.dropOldestEnd()
	}
	s.ended[id] = endedSession{l.epoch, l.seq, s.now, unique.Make(truncateReason(reason)), s.firstPosition + uint64(len(s.endOrder))}
	s.endOrder = append(s.endOrder, id)
}

// dropExpiredEnds drops ends older than EndRetention and the entries of endOrder whose sessions were claimed again. It compacts
// endOrder when it has more than 64 entries over twice the number of remembered ends.
func (s *State) dropExpiredEnds() {
	for len(s.endOrder) > 0 {
		e, ok := s.ended[s.endOrder[0]]
		if ok && e.position == s.firstPosition { // otherwise the session was claimed since then, and only its entry in endOrder is dropped
			if e.at+EndRetention > s.now {
				break
			}
			s.maxForgottenEpoch = max(s.maxForgottenEpoch, e.epoch)
			delete(s.ended, s.endOrder[0])
		}
		s.endOrder = s.endOrder[1:]
		s.firstPosition++
	}
	if len(s.endOrder) <= 2*len(s.ended)+64 {
		return
	}
	keep := make([]ID, 0, len(s.ended))
	for i, id := range s.endOrder {
		if e, ok := s.ended[id]; ok && e.position == s.firstPosition+uint64(i) {
			e.position = uint64(len(keep))
			s.ended[id] = e
			keep = append(keep, id)
		}
	}
	s.endOrder, s.firstPosition = keep, 0
}

// dropOldestEnd drops the oldest end. From then on its epoch counts for all sessions that are not known.
func (s *State) dropOldestEnd() {
	for len(s.endOrder) > 0 {
		id := s.endOrder[0]
		e, ok := s.ended[id]
		ok = ok && e.position == s.firstPosition
		s.endOrder = s.endOrder[1:]
		s.firstPosition++
		if ok {
			s.maxForgottenEpoch = max(s.maxForgottenEpoch, e.epoch)
			delete(s.ended, id)
			return
		}
	}
}

// completeTransfer applies Freed: it completes the stage of a transfer that waits for from.
func (s *State) completeTransfer(from string, fence uint64) error {
	t, ok := s.pool.Transfer(fence)
	switch {
	case !ok:
		return errors.New("no such transfer is open")
	case t.Stage == 0 && t.From == from:
		return s.pool.ConfirmSource(fence)
	case t.Stage != 0 && t.To == from:
		return s.pool.ReturnLoan(fence)
	}
	return fmt.Errorf("the transfer is %s from %q to %q and does not wait for %q", t.Stage, t.From, t.To, from)
}

// truncateReason shortens a reason to MaxReasonBytes and keeps it valid UTF-8.
func truncateReason(reason string) string {
	return strings.ToValidUTF8(reason[:min(len(reason), MaxReasonBytes)], "")
}
