package sessionowner

import (
	"fmt"
	"time"

	"birchcart/internal/fleet/completed"
	"birchcart/internal/fleet/session"
)

// evidence is kept at the places where something goes out, from the plain facts and not from what was decided upon.
type evidence struct{ wrong error }

func (e *evidence) fail(format string, a ...any) {
	if e.wrong == nil {
		e.wrong = fmt.Errorf(format, a...)
	}
}

// began looks at a query that begins.
func (e *evidence) began(k *Keeper, q *query) {
	s := q.s
	if k.now >= k.until {
		e.fail("S1: query %d of %v began at %v, the lease until %v", q.token, session.ID(s.id), k.now, k.until)
	}
	if r, ok := k.book.Get(s.id); !ok || r.Owner != k.name || r.Epoch != q.epoch || r.Phase > session.Offered {
		e.fail("S1: query %d of %v began at %v in epoch %d, agreed is %s of %s in %d", q.token, session.ID(s.id), k.now, q.epoch, r.Phase, r.Owner, r.Epoch)
	}
	if s.phase != Pinned {
		e.fail("S3: query %d of %v began while it was %s", q.token, session.ID(s.id), s.phase)
	}
	for o := s.open.head; o != nil; o = o.next {
		switch {
		case o == q || o.over:
		case o.effect != Safe || q.effect != Safe:
			e.fail("S3: query %d (%d) of %v began beside %d (%d)", q.token, q.effect, session.ID(s.id), o.token, o.effect)
		case o.no > q.no || o.epoch == q.epoch && o.seq >= q.seq:
			e.fail("S3: query %d of %v began as %d behind %d as %d", q.token, session.ID(s.id), q.seq, o.token, o.seq)
		}
	}
	for _, r := range s.ran {
		if q.effect != Safe && r.ID == q.id && (q.effect == Unsafe || !r.Keyed || r.Until() < q.due) {
			e.fail("S3: query %d of %v begins, as %d it ran before: %+v", q.token, session.ID(s.id), r.Seq, r)
		}
	}
	if k.now >= q.due {
		e.fail("S4: query %d began at %v, its time was over at %v", q.token, k.now, q.due)
	}
	for _, name := range q.needs {
		if l := k.slots[name]; l.used > l.held {
			e.fail("S2: query %d has slot %d of %d at %s", q.token, l.used, l.held, name)
		}
	}
}

// answered looks at a served answer that is allowed.
func (e *evidence) answered(k *Keeper, now time.Duration, q *query) {
	if q.told {
		e.fail("S4: query %d was told and is answered", q.token)
	}
	if now >= k.until || now >= q.due || q.over {
		e.fail("S1: query %d is answered at %v, the lease until %v, its time until %v", q.token, now, k.until, q.due)
	}
	if r, _ := k.book.Get(q.s.id); r.Owner != k.name || r.Epoch != q.epoch {
		e.fail("S1: query %d of epoch %d is answered in %d of %s", q.token, q.epoch, r.Epoch, r.Owner)
	}
}

// word looks at a Refuse, Recall or Fail of a query that was known.
func (e *evidence) word(q *query) {
	if q.told || q.allowed {
		e.fail("S4: query %d gets a second word", q.token)
	}
}

// comesBack looks at one that ran and whose client is told to come again.
func (e *evidence) comesBack(k *Keeper, q *query, after time.Duration, end Outcome) {
	switch {
	case end == NotRun || q.effect == Safe:
	case q.effect == Unsafe:
		e.fail("S5: query %d is unsafe, may have run, and its client is told to come again", q.token)
	case k.now+after >= q.began+q.window:
		e.fail("S5: query %d is keyed for %v from %v, its client comes again at %v", q.token, q.window, q.began, k.now+after)
	}
}

// hands looks at a session that is to be handed.
func (e *evidence) hands(s *sess) {
	for q := s.open.head; q != nil; q = q.next {
		if !q.over {
			e.fail("S3: session %v is handed while query %d is open", session.ID(s.id), q.token)
		}
	}
}

// Check names what does not hold, or ever did not, at this co-ordinator: S1 it acts for a session that is its own by what is agreed, with a sure
// lease; S2 no more slots are in use than it may, but for those that a shift took from under running queries; S3 queries of a session begin in order,
// one that is not safe alone, none while it is not pinned, and nothing is open when it is handed; S4 each query gets one word, one that waits
// within its share, none begins behind its time; S5 only what is harmless is told to come again. And what is bounded is within its bound.
func (k *Keeper) Check() error {
	if k.seen.wrong != nil {
		return k.seen.wrong
	}
	if len(k.timers) > 0 && k.timers[0].key < k.now {
		return fmt.Errorf("S4: query %d was due at %v, now %v", k.timers[0].token, k.timers[0].key, k.now)
	}
	used := map[string]int{}
	waits := 0
	for token, q := range k.queries {
		switch {
		case !q.runs && (q.place < 0 || q.key > q.due):
			return fmt.Errorf("S4: query %d waits without an end", token)
		case !q.runs:
			waits++
			continue
		case q.place < 0 && q.effect != Safe && k.now >= q.due: // its Ended is waited for
		case !q.over && (q.place < 0 || q.key > q.due && !q.strays):
			return fmt.Errorf("S4: query %d runs without an end", token)
		}
		for _, name := range q.needs {
			used[name]++
		}
	}
	for _, l := range k.sites {
		if l.used != used[l.name] {
			return fmt.Errorf("S2: %d slots at %s are counted, %d are in use", l.used, l.name, used[l.name])
		}
		delete(used, l.name)
	}
	if len(used) > 0 {
		return fmt.Errorf("S2: slots are in use and not counted: %v", used)
	}
	if waits != k.waits || len(k.queries) > k.o.QueriesMost || len(k.sessions) > k.o.SessionsMost {
		return fmt.Errorf("bounds: %d wait (%d counted), %d queries, %d sessions", waits, k.waits, len(k.queries), len(k.sessions))
	}
	var phases [Gone + 1]int
	for _, s := range k.sessions {
		phases[s.phase]++
		if err := s.check(k); err != nil {
			return err
		}
	}
	for i, q := range k.unsafe {
		if q.spot != i || k.queries[q.token] != q || !q.runs || q.effect != Unsafe {
			return fmt.Errorf("unsafe: query %d stands at %d as open", q.token, i)
		}
	}
	if phases != k.phases {
		return fmt.Errorf("bounds: sessions by phase are %v, counted %v", phases, k.phases)
	}
	return nil
}

func (s *sess) check(k *Keeper) error {
	id := session.ID(s.id)
	var waits, runs, alone, left int
	for q := s.wait.head; q != nil; q = q.next {
		waits++
		if q.next != nil && q.no > q.next.no {
			return fmt.Errorf("S3: queries %d and %d of %v wait out of order", q.token, q.next.token, id)
		}
	}
	for q := s.open.head; q != nil; q = q.next {
		if q.over {
			left++
			continue
		}
		runs++
		if q.effect != Safe {
			alone++
		}
	}
	switch {
	case waits != int(s.waits) || runs != int(s.runs) || alone != int(s.alone) || left != int(s.left):
		return fmt.Errorf("S3: session %v counts %d, %d, %d, %d, it has %d, %d, %d, %d", id, s.waits, s.runs, s.alone, s.left, waits, runs, alone, left)
	case s.phase == Frozen && runs > 0:
		return fmt.Errorf("S3: session %v is frozen with %d queries open", id, runs)
	case len(s.ran) > completed.Most || len(s.ran) > 0 && s.phase == Pinned && s.ran[len(s.ran)-1].Seq > uint32(s.seq):
		return fmt.Errorf("bounds: session %v, at %d, remembers %+v", id, s.seq, s.ran)
	case waits > k.o.WaitsMost:
		return fmt.Errorf("bounds: %d queries of session %v wait", waits, id)
	case s.idle && (s.phase != Pinned || waits+runs > 0):
		return fmt.Errorf("session %v is idle, %s, with %d queries", id, s.phase, waits+runs)
	case s.acts != (s.phase != Pinned && s.phase != Gone):
		return fmt.Errorf("session %v is %s, and looked after: %t", id, s.phase, s.acts)
	case s.phase == Pinned && !s.idle && waits+runs == 0:
		return fmt.Errorf("session %v is pinned and unused, and not among the idle ones", id)
	case s.phase == Gone && waits+runs+left == 0:
		return fmt.Errorf("session %v is gone and still known", id)
	}
	return nil
}
