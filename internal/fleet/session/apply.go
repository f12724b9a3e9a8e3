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
func (b *Book) Tick(now time.Duration) {
	b.now = max(b.now, now)
	b.pool.Tick(b.now)
	if len(b.flights) > 0 && b.next <= b.now {
		b.lapse()
	}
	n := 0
	for n < len(b.offers) && b.offers[n].At+Minute < b.now-b.now%time.Second {
		n++
	}
	b.offers = b.offers[n:]
	b.forget()
}

// lapse ends the moves whose time is over: an offer is withdrawn, a handed session goes back to its source, or is free if
// that had it back already. No one acts for a handed one, so that an adoption which comes late finds another epoch.
func (b *Book) lapse() {
	b.next = statemachine.MaxTime
	for _, id := range sorted(b.flights) {
		f, l := b.flights[id], b.live[id]
		switch {
		case f.Until > b.now:
		case l.phase == Offered:
			b.pin(id, l)
		default:
			b.back(id, l, "no co-ordinator took it over in time")
		}
		if f, ok := b.flights[id]; ok {
			b.next = min(b.next, f.Until)
		}
	}
}

// pin ends a move where the session is.
func (b *Book) pin(id ID, l live) {
	delete(b.flights, id)
	l.phase, l.since = Pinned, b.now
	b.live[id] = l
}

// Apply implements statemachine.Part. A command of several acts is refused if each of them is; Refused tells of the others.
func (b *Book) Apply(now time.Duration, fence func() uint64, kind string, body []byte) error {
	b.Tick(now)
	b.refused, b.refusal = nil, 0
	switch kind {
	case KindLimits:
		return take(body, b.applyLimits)
	case KindActs:
		return take(body, b.applyActs)
	case KindPlan:
		return take(body, func(p PlanBody) error { return b.applyPlan(p, fence) })
	case KindRelease:
		return take(body, b.applyRelease)
	case KindTick:
		return take(body, func(TickBody) error { return nil })
	}
	return fmt.Errorf("session: kind %q: %w", kind, statemachine.ErrUnknown)
}

func take[B any](raw []byte, apply func(B) error) error {
	var body B
	if err := statemachine.Strict(raw, &body); err != nil {
		return fmt.Errorf("session: body can not be read: %w", err)
	}
	return apply(body)
}

// several counts what came of the parts of a command; each stands alone.
func (b *Book) several(what fmt.Stringer, err error) bool {
	if err == nil {
		return true
	}
	if b.refusal++; len(b.refused) < RefusedMost {
		b.refused = append(b.refused, fmt.Sprintf("%s: %v", what, err))
	}
	return false
}

func (b *Book) outcome(done int) error {
	if done > 0 {
		return nil
	}
	if b.refusal == 0 {
		return errors.New("session: nothing to do")
	}
	return fmt.Errorf("session: all %d refused, first %s", b.refusal, b.refused[0])
}

func (a Act) String() string {
	if a.Kind == Freed {
		return fmt.Sprintf("%s %d", a.Kind, a.Fence)
	}
	return fmt.Sprintf("%s %s of epoch %d", a.Kind, a.ID, a.Epoch)
}

func (b *Book) applyActs(c ActsBody) error {
	if c.From == "" || len(c.From) > NameMost || len(c.Acts) > ActsMost {
		return fmt.Errorf("session: %d acts of %.20q", len(c.Acts), c.From)
	}
	done := 0
	for _, a := range c.Acts {
		if b.several(a, b.act(c.From, a)) {
			done++
		}
	}
	if done > 0 {
		if i, err := b.named(c.From); err == nil {
			b.names[i].heard, b.names[i].known = b.now, b.now
		}
	}
	return b.outcome(done)
}

func (b *Book) act(from string, a Act) error {
	if a.Kind == Freed {
		return b.freed(from, a.Fence)
	}
	if a.Kind == Claim {
		return b.claim(from, a)
	}
	l, ok := b.live[a.ID]
	if !ok {
		return errors.New("it is free")
	}
	if a.Epoch != l.epoch {
		return fmt.Errorf("it is in epoch %d", l.epoch)
	}
	owner := b.names[l.owner].name
	if a.Kind == Decline && l.phase == Offered {
		return b.decline(from, a, l)
	}
	if owner != from {
		return fmt.Errorf("it is %s of %q, not of %q", l.phase, owner, from)
	}
	switch {
	case a.Kind == Hand && l.phase == Offered:
		return b.hand(from, a, l)
	case a.Kind == Adopt && l.phase == Handed:
		b.pin(a.ID, l)
		return nil
	case a.Kind == Decline && l.phase == Handed:
		b.back(a.ID, l, "no co-ordinator had room for it")
		return nil
	case a.Kind == End:
		l.seq = max(l.seq, a.Seq)
		b.end(a.ID, l, a.Why)
		return nil
	}
	return fmt.Errorf("it is %s", l.phase)
}

func (b *Book) claim(from string, a Act) error {
	r, owned := b.Get(a.ID)
	switch {
	case owned:
		return fmt.Errorf("it is %s of %q in epoch %d", r.Phase, r.Owner, r.Epoch)
	case b.now < b.quiet:
		return fmt.Errorf("the era is new, nothing is claimed before %v, it is %v", b.quiet, b.now)
	case a.Epoch != r.Epoch:
		return fmt.Errorf("it was last in epoch %d", r.Epoch)
	case len(b.live) >= b.limits.SessionsMost:
		return fmt.Errorf("%d sessions, %d are allowed", len(b.live), b.limits.SessionsMost)
	}
	i, err := b.named(from)
	if err != nil {
		return err
	}
	delete(b.ended, a.ID)
	b.names[i].owned++
	b.live[a.ID] = live{epoch: r.Epoch + 1, seq: r.Seq, since: b.now, owner: i, phase: Pinned, lane: a.Lane}
	return nil
}

func (b *Book) hand(from string, a Act, l live) error {
	f := b.flights[a.ID]
	switch {
	case a.Fence != f.Fence:
		return fmt.Errorf("its offer is number %d, not %d", f.Fence, a.Fence)
	case a.Seq < l.seq:
		return fmt.Errorf("%d queries begun, %d were", a.Seq, l.seq)
	case len(a.State) > min(b.limits.StateMost, StateMost):
		return fmt.Errorf("a state of %d bytes, %d are allowed", len(a.State), min(b.limits.StateMost, StateMost))
	}
	to, err := b.named(f.To)
	if err != nil {
		return err
	}
	f.Source, f.State, f.Hand = from, a.State, &word{from, a.Epoch, a.Fence}
	b.fly(a.ID, f)
	b.names[l.owner].owned--
	b.names[to].owned++
	l.owner, l.epoch, l.phase, l.since, l.seq, l.lane = to, l.epoch+1, Handed, b.now, a.Seq, a.Lane
	b.live[a.ID] = l
	return nil
}

func (b *Book) decline(from string, a Act, l live) error {
	switch f := b.flights[a.ID]; {
	case f.To != from:
		return fmt.Errorf("it is offered to %q, not to %q", f.To, from)
	case f.Fence != a.Fence:
		return fmt.Errorf("its offer is number %d, not %d", f.Fence, a.Fence)
	}
	b.pin(a.ID, l)
	return nil
}

// back gives a handed session to its source, once; if that is gone, or had it back before, it is free.
func (b *Book) back(id ID, l live, why string) {
	f := b.flights[id]
	to, err := b.named(f.Source)
	if f.Source == "" || err != nil {
		b.end(id, l, why)
		return
	}
	f.Source = ""
	b.fly(id, f)
	b.names[l.owner].owned--
	b.names[to].owned++
	l.owner, l.epoch, l.since = to, l.epoch+1, b.now
	b.live[id] = l
}

// fly gives a flight its time: OfferFor for each step of it, offered, handed, handed back.
func (b *Book) fly(id ID, f flight) {
	f.Until = b.now + b.limits.OfferFor
	b.flights[id] = f
	b.next = min(b.next, f.Until)
}

// end frees a session and keeps how it ended.
func (b *Book) end(id ID, l live, why string) {
	b.names[l.owner].owned--
	delete(b.live, id)
	delete(b.flights, id)
	if len(b.ended) >= EndedMost {
		b.drop()
	}
	b.ended[id] = ended{l.epoch, l.seq, b.now, unique.Make(clip(why)), b.first + uint64(len(b.ends))}
	b.ends = append(b.ends, id)
}

// forget drops ends older than Remember, and the places of those that were claimed again.
func (b *Book) forget() {
	for len(b.ends) > 0 {
		e, ok := b.ended[b.ends[0]]
		if ok && e.n == b.first { // else it was claimed since: only its place goes
			if e.at+Remember > b.now {
				break
			}
			b.over = max(b.over, e.epoch)
			delete(b.ended, b.ends[0])
		}
		b.ends = b.ends[1:]
		b.first++
	}
	if len(b.ends) <= 2*len(b.ended)+64 {
		return
	}
	keep := make([]ID, 0, len(b.ended))
	for i, id := range b.ends {
		if e, ok := b.ended[id]; ok && e.n == b.first+uint64(i) {
			e.n = uint64(len(keep))
			b.ended[id] = e
			keep = append(keep, id)
		}
	}
	b.ends, b.first = keep, 0
}

// drop forgets the oldest end. Its epoch counts for all that are not known from then on.
func (b *Book) drop() {
	for len(b.ends) > 0 {
		id := b.ends[0]
		e, ok := b.ended[id]
		ok = ok && e.n == b.first
		b.ends = b.ends[1:]
		b.first++
		if ok {
			b.over = max(b.over, e.epoch)
			delete(b.ended, id)
			return
		}
	}
}

func (b *Book) freed(from string, fence uint64) error {
	t, ok := b.pool.Transfer(fence)
	switch {
	case !ok:
		return errors.New("no such transfer is open")
	case t.Stage == 0 && t.From == from:
		return b.pool.Land(fence)
	case t.Stage != 0 && t.To == from:
		return b.pool.Return(fence)
	}
	return fmt.Errorf("the transfer is %s from %q to %q, it does not wait for %q", t.Stage, t.From, t.To, from)
}

// clip cuts a reason, between two letters.
func clip(why string) string { return strings.ToValidUTF8(why[:min(len(why), WhyMost)], "") }
