package sessionowner

import "time"

// What a client is told. S5: each word is harmless by its query's class.

// turnAway refuses a query that is not known, or no more.
func (k *Keeper) turnAway(token uint64, why Reason, after time.Duration, owner string) {
	k.sums.Refused++
	k.out = append(k.out, Refuse{token, why, spread(after, token), owner})
}

// giveUp refuses one that waits: it has not run.
func (k *Keeper) giveUp(q *query, why Reason, after time.Duration, owner string) {
	k.word(q)
	k.turnAway(q.token, why, after, owner)
	k.unqueue(q, q.place >= 0) // one that has only come is not counted yet
	k.forget(q)
}

// refuse is giveUp, and its session goes on.
func (k *Keeper) refuse(q *query, why Reason, after time.Duration, owner string) {
	s := q.s
	k.giveUp(q, why, after, owner)
	k.settle(s)
}

func (k *Keeper) refuseAll(s *sess, why Reason, owner string) {
	after := BackLater
	if owner != "" {
		after = BackSoon
	}
	for s.wait.head != nil {
		k.giveUp(s.wait.head, why, after, owner)
	}
}

// harmless says that one that runs may be told to come again after that time, spread: it is safe, or keyed and its repeat comes
// well within the window.
func (k *Keeper) harmless(q *query, after time.Duration) bool {
	switch q.effect {
	case Safe:
		return true
	case Keyed:
		return k.now+spread(after, q.token) <= q.began+q.window/KeyedShare
	}
	return false
}

// tell gives one that runs its word, if it has none.
func (k *Keeper) tell(q *query, why Reason, owner string) {
	if q.told || q.allowed {
		return
	}
	k.word(q)
	q.told = true
	if !k.harmless(q, BackLater) {
		k.sums.Failed++
		k.out = append(k.out, Fail{q.token, why})
		return
	}
	after := spread(BackLater, q.token)
	k.seen.comesBack(k, q, after, MayHaveRun)
	k.sums.Recalled++
	k.out = append(k.out, Recall{q.token, why, after, owner})
}

// Instead is the word of a query whose answer MayAnswer did not allow, for a caller that can't wait for its Ended: a Refuse
// or a Fail. It counts as given. nil if the query has its word, or is not known.
func (k *Keeper) Instead(now time.Duration, token uint64) Output {
	k.now = max(k.now, now)
	q := k.queries[token]
	if q == nil || !q.runs || q.told || q.allowed {
		return nil
	}
	return k.wordAtEnd(q, Done)
}

// wordAtEnd is for one that ended without a word.
func (k *Keeper) wordAtEnd(q *query, end Outcome) Output {
	k.word(q)
	q.told = true
	why := Broken
	if end == Done {
		if why = Lost; !k.ready() {
			why = NoLease
		}
	}
	if end != NotRun && !k.harmless(q, BackLater) {
		k.sums.Failed++
		return Fail{q.token, why}
	}
	k.sums.Refused++
	after := spread(BackLater, q.token)
	k.seen.comesBack(k, q, after, end)
	return Refuse{q.token, why, after, k.ownerOf(q.s)}
}

// word notes that a query gets its one word.
func (k *Keeper) word(q *query) { k.seen.word(q) }
