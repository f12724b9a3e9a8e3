// Package rehearse watches what other settings would decide. Beside the live decisions a second instance with those
// settings sees the same events; what it wants done goes nowhere. Where it first differs on a query that is counted by
// kind, and the query is taken out of it, so that what follows from the difference is not counted again.
//
// It is pure: no clock, no I/O. It reads the live turn and changes nothing of it.
package rehearse

import (
	"fmt"
	"slices"
	"strings"

	"birchcart/internal/config"
	"birchcart/policy"
)

// Kind of a difference.
type Kind uint8

// Kinds of a difference between the live decisions and the rehearsed ones.
const (
	Tie     Kind = iota // another replica, where chance decides between both: no other decision
	Replica             // another replica
	Held                // a part is sent on one side only
	Copy                // a second copy, likewise
	Time                // another time for an attempt
	Cancel
	Answer // another answer, or on one side only
	Refusal
	Failure
	ListCall
	kinds
)

var kindNames = [kinds]string{"tie", "other_replica", "sent_or_held", "second_copy", "attempt_time", "cancel", "answer", "refusal", "failure", "list_call"}

// String is the kind's name in logs.
func (k Kind) String() string { return kindNames[k] }

// Kinds lists all kinds.
func Kinds() []Kind {
	out := make([]Kind, kinds)
	for i := range out {
		out[i] = Kind(i)
	}
	return out
}

// Fits tells why settings can't be watched beside those in force: events name classes, tenants and shards by their
// place, and the replicas hold what they hold. The error has a line for each place.
func Fits(live, other *config.Config) error {
	var out []string
	names := func(path string, a, b []string) {
		if !slices.Equal(a, b) {
			out = append(out, fmt.Sprintf("settings.%s: [%s], in force are [%s], in this order", path, strings.Join(b, " "), strings.Join(a, " ")))
		}
	}
	number := func(path string, a, b int) {
		if a != b {
			out = append(out, fmt.Sprintf("settings.%s: %d, in force is %d", path, b, a))
		}
	}
	names("classes", live.Names.Classes, other.Names.Classes)
	names("tenants", live.Names.Tenants, other.Names.Tenants)
	names("failure_domains", live.Names.Zones, other.Names.Zones)
	number("family_info.cells", live.Policy.Cells, other.Policy.Cells)
	number("family_info.reach", live.Policy.Reach, other.Policy.Reach)
	number("family_info.shards", live.Policy.Shards, other.Policy.Shards)
	if len(live.Policy.Classes) == len(other.Policy.Classes) {
		for i := range live.Policy.Classes {
			number(fmt.Sprintf("family_info.follow_up[%d]", i), live.Policy.Classes[i].FollowUp, other.Policy.Classes[i].FollowUp)
		}
	}
	if len(out) > 0 {
		return fmt.Errorf("can't be watched beside the settings in force: %s", strings.Join(out, "\n"))
	}
	return nil
}

// Counts is what was seen so far.
type Counts struct {
	Queries uint64 // that were watched
	Differ  uint64 // of these, with a difference
	By      [kinds]uint64
}

// Watch is the second instance and what it is compared by.
type Watch struct {
	decide  *policy.Policy
	cfg     policy.Config
	counts  Counts
	queries map[uint64]*query // watched, open on both sides
	groups  map[uint64]*query
	parts   map[uint64]*part // of these, and of others while an attempt is out that both sides sent
	order   []*query         // with actions in this turn
	others  []policy.Action  // of the second instance in this turn
	events  []policy.Event
	ended   []policy.Event // what takes queries out
}

type query struct {
	id, group   uint64
	class       int
	step        int
	parts       []*part         // of the present step
	live, other []policy.Action // of this turn
	listed      bool            // in order
	out         bool            // ended or taken out
}

type part struct {
	id       uint64
	q        *query
	shard    int
	over     bool   // its query or step has ended
	attempts []bool // that both sides sent, by number: whether they have ended
}

// New returns a watch that decides by cfg. Its seed should be that of the live decisions, or all ties are drawn anew.
func New(cfg policy.Config) *Watch {
	return &Watch{
		decide: policy.New(cfg), cfg: cfg,
		queries: map[uint64]*query{}, groups: map[uint64]*query{}, parts: map[uint64]*part{},
	}
}

// Counts tells what was seen so far.
func (w *Watch) Counts() Counts { return w.counts }

// held is how many queries and parts are held.
func (w *Watch) held() int { return len(w.queries) + len(w.parts) }

// Turn takes a turn of the live decisions: when, what went in, what came out. It keeps nothing of either.
func (w *Watch) Turn(now float64, events []policy.Event, actions []policy.Action) {
	w.events = w.events[:0]
	for i := range events {
		if w.take(&events[i]) {
			w.events = append(w.events, events[i])
		}
	}
	lists := 0
	for i := range actions {
		lists += w.note(&actions[i], true)
	}
	w.others = w.decide.Handle(now, w.events)
	for i := range w.others {
		lists -= w.note(&w.others[i], false)
	}
	if lists != 0 {
		w.counts.By[ListCall]++
	}
	w.ended = w.ended[:0]
	for _, q := range w.order {
		w.compare(q)
		clear(q.live)
		clear(q.other)
		q.live, q.other, q.listed = q.live[:0], q.other[:0], false
	}
	clear(w.order)
	w.order = w.order[:0]
	w.others = nil
	if len(w.ended) > 0 {
		w.decide.Handle(now, w.ended) // what it wants done for them goes nowhere either
	}
	clear(w.events)
}

// take keeps the books for one event and tells whether the second instance is to see it.
func (w *Watch) take(ev *policy.Event) bool {
	switch ev.Kind {
	case policy.QueryArrived:
		q := &query{id: ev.Query, group: ev.Group, class: ev.Class, step: 1}
		w.queries[q.id], w.groups[q.group] = q, q
		w.counts.Queries++
	case policy.PartArrived:
		q := w.groups[ev.Group]
		if q == nil {
			return false
		}
		pt := &part{id: ev.Part, q: q, shard: ev.Shard}
		q.parts = append(q.parts, pt)
		w.parts[pt.id] = pt
	case policy.AttemptEnded:
		pt := w.parts[ev.Part]
		if pt == nil || ev.Attempt < 0 || ev.Attempt >= len(pt.attempts) || pt.attempts[ev.Attempt] {
			return false
		}
		pt.attempts[ev.Attempt] = true
		w.forget(pt)
	case policy.ClientLeft:
		q := w.queries[ev.Query]
		if q == nil {
			return false
		}
		w.end(q)
	}
	return true
}

// note puts an action to its query, and tells of a call for the list.
func (w *Watch) note(a *policy.Action, live bool) int {
	var q *query
	switch a.Verb {
	case policy.Watch:
		return 1
	case policy.Send, policy.Cancel:
		pt := w.parts[a.Part]
		if pt == nil || pt.over {
			return 0 // a cancel of what both sides sent, after the end
		}
		q = pt.q
	case policy.Answer, policy.Refuse, policy.Fail:
		if q = w.queries[a.Query]; q == nil {
			return 0
		}
	default:
		return 0
	}
	if live {
		q.live = append(q.live, *a)
	} else {
		q.other = append(q.other, *a)
	}
	if !q.listed {
		q.listed = true
		w.order = append(w.order, q)
	}
	return 0
}

// compare looks for the first difference of a query in this turn; with none its state goes on as the live one's.
func (w *Watch) compare(q *query) {
	if q.out {
		return
	}
	for i := range max(len(q.live), len(q.other)) {
		var l, o *policy.Action
		if i < len(q.live) {
			l = &q.live[i]
		}
		if i < len(q.other) {
			o = &q.other[i]
		}
		if l != nil && o != nil && same(l, o) {
			w.agreed(q, l)
			continue
		}
		w.counts.By[w.kind(q, l, o)]++
		w.counts.Differ++
		w.takeOut(q, q.other[min(i, len(q.other)):])
		return
	}
}

func same(a, b *policy.Action) bool {
	return a.Verb == b.Verb && a.Query == b.Query && a.Part == b.Part && a.Replica == b.Replica && a.Attempt == b.Attempt &&
		a.Complete == b.Complete && a.After == b.After && a.AttemptTimeout == b.AttemptTimeout
}

// agreed books what both sides did.
func (w *Watch) agreed(q *query, a *policy.Action) {
	switch a.Verb {
	case policy.Send:
		pt := w.parts[a.Part]
		pt.attempts = append(pt.attempts, false)
	case policy.Answer:
		if q.step == 1 && w.cfg.Classes[q.class].FollowUp > 0 {
			w.release(q)
			q.step, q.parts = 2, nil
			return
		}
		w.end(q)
	case policy.Refuse, policy.Fail:
		w.end(q)
	}
}

// kind names a difference; l or o is nil where that side does nothing. What the second instance does otherwise counts
// before what it leaves.
func (w *Watch) kind(q *query, l, o *policy.Action) Kind {
	if l != nil && o != nil && l.Verb == policy.Send && o.Verb == policy.Send && l.Part == o.Part {
		switch {
		case l.Replica == o.Replica:
			return Time
		case w.tied(q, l, o):
			return Tie
		}
		return Replica
	}
	first := o
	if first == nil || l != nil && rank(l) > rank(o) {
		first = l
	}
	switch first.Verb {
	case policy.Refuse:
		return Refusal
	case policy.Fail:
		return Failure
	case policy.Answer:
		return Answer
	case policy.Cancel:
		return Cancel
	}
	if pt := w.parts[first.Part]; pt != nil && slices.Contains(pt.attempts, false) {
		return Copy
	}
	return Held
}

// rank orders verbs: what ends a query says more than what is done for it.
func rank(a *policy.Action) int {
	switch a.Verb {
	case policy.Answer, policy.Refuse, policy.Fail:
		return 1
	}
	return 0
}

// tied tells whether the second instance had both replicas to choose from and left it to chance: as fit as each other,
// with as many of our calls out before this part went.
func (w *Watch) tied(q *query, l, o *policy.Action) bool {
	view := w.decide.View(q.class, w.parts[o.Part].shard, max(1, len(q.parts)))
	var a, b *policy.HolderView
	for i := range view.Holders {
		switch h := &view.Holders[i]; h.Replica {
		case l.Replica:
			a = h
		case o.Replica:
			b = h
		}
	}
	if a == nil || b == nil || a.State != policy.Up || a.ColdLimited || a.Suspect != b.Suspect {
		return false
	}
	return a.Calls-w.later(o, a.Replica) == b.Calls-w.later(o, b.Replica)
}

// later is how many calls of this turn went to a replica with an action of the second instance or after it.
func (w *Watch) later(from *policy.Action, replica uint64) int {
	n, seen := 0, false
	for i := range w.others {
		a := &w.others[i]
		seen = seen || a.Verb == policy.Send && a.Part == from.Part && a.Replica == from.Replica
		if seen && a.Verb == policy.Send && a.Replica == replica {
			n++
		}
	}
	return (n + w.cfg.MaxPartsPerCall - 1) / max(1, w.cfg.MaxPartsPerCall)
}

// takeOut ends a query in the second instance. What both sides sent ends there when it does in truth; what that one
// alone has sent, the actions from its first difference on, never ran.
func (w *Watch) takeOut(q *query, alone []policy.Action) {
	w.ended = append(w.ended, policy.Event{Kind: policy.ClientLeft, Query: q.id, Tenant: -1})
	sent := map[uint64]int{}
	for i := range alone {
		if a := &alone[i]; a.Verb == policy.Send && w.parts[a.Part] != nil {
			w.ended = append(w.ended, policy.Event{
				Kind: policy.AttemptEnded, Part: a.Part, Attempt: len(w.parts[a.Part].attempts) + sent[a.Part], Replica: a.Replica,
				Outcome: policy.NotSent, Tenant: -1,
			})
			sent[a.Part]++
		}
	}
	w.end(q)
}

// end forgets a query.
func (w *Watch) end(q *query) {
	q.out = true
	delete(w.queries, q.id)
	if w.groups[q.group] == q {
		delete(w.groups, q.group)
	}
	w.release(q)
}

// release ends the parts of a step.
func (w *Watch) release(q *query) {
	for _, pt := range q.parts {
		pt.over = true
		w.forget(pt)
	}
}

// forget drops a part of which nothing more is to be heard: an attempt that both sides sent is heard of to its end.
func (w *Watch) forget(pt *part) {
	if pt.over && !slices.Contains(pt.attempts, false) {
		delete(w.parts, pt.id)
	}
}
