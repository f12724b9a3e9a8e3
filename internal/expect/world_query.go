package expect

import (
	"math"
	"slices"
	"time"

	"birchcart/internal/admission"
	"birchcart/internal/route"
	"birchcart/policy"
)

// ask brings in a query and puts the stream's next on the agenda.
func (w *world) ask(it *item) {
	l, st := &w.e.Load[it.load], &w.loads[it.load]
	end := w.e.For
	if l.To > 0 {
		end = math.Min(end, l.To)
	}
	if (it.at-epoch)*1000 >= end {
		return
	}
	w.put(item{at: it.at + l.Every/1000, kind: askItem, load: it.load})
	w.query(l, st, l.Retry)
	if n := w.d.Config.Coordinators; w.peers > 0 && n > w.peers {
		// The clients of peers that are down come to those that are left, and ask again what they had asked there.
		for more := float64(w.peers) / float64(n-w.peers); more > 0; more-- {
			if w.draw.Float64() < more {
				w.query(l, st, true)
			}
		}
	}
}

func (w *world) query(l *Load, st *loadState, retry bool) {
	timeout := l.Timeout / 1000
	if timeout == 0 {
		timeout = w.d.Config.Classes[st.class].GiveUp
	}
	shards := st.shards
	if l.Parts > 0 {
		shards = w.draw.Perm(w.d.Ring.Shards())[:l.Parts]
	}
	number, limits := 0, (*policy.Limits)(nil)
	if t := w.d.Routes; t != nil {
		i := t.Find(&route.Query{Class: st.class, Tenant: st.tenant, Retry: retry, Shards: slices.Values(shards)})
		number, limits = i+1, &t.Routes[i].Limits
		if d := w.gate.Admit(time.Unix(0, int64(w.now*1e9)), i, st.tenant, "", retry); d.Reason != admission.Admitted {
			w.rec.queries = append(w.rec.queries, asked{
				at: w.ms(), turn: w.turns, class: st.class, tenant: st.tenant, shards: shards, end: policy.Refuse, endAt: w.ms(), ended: true,
				comeBack: d.After.Seconds(),
			})
			return
		}
	}
	q := &query{route: number, rec: len(w.rec.queries), id: w.id(), load: l, class: st.class, due: w.now + timeout, step: 1}
	w.rec.queries = append(w.rec.queries, asked{at: w.ms(), turn: w.turns, class: st.class, tenant: st.tenant, shards: shards})
	w.queries[q.id] = q
	w.events = append(w.events, policy.Event{
		Kind: policy.QueryArrived, Query: q.id, Group: q.id, Class: q.class, Tenant: st.tenant, Deadline: q.due,
		Route: number, Limits: limits, Count: len(shards), Retry: retry, Work: l.Work * float64(len(shards)),
	})
	for _, s := range shards {
		w.part(q, s, 1/float64(len(shards)))
	}
	w.put(item{at: q.due + closeAfter, kind: closeItem, query: q})
}

func (w *world) part(q *query, shard int, weight float64) {
	pt := &part{id: w.id(), q: q, shard: shard}
	q.parts = append(q.parts, pt)
	w.parts[pt.id] = pt
	w.events = append(w.events, policy.Event{
		Kind: policy.PartArrived, Part: pt.id, Group: q.id, Class: q.class, Tenant: -1, Shard: shard, Weight: weight, Work: q.load.Work,
	})
}

// second asks for the parts of a second step, among the shards that answered.
func (w *world) second(q *query) {
	if q.over {
		return
	}
	var from []int
	for _, pt := range q.parts {
		if pt.in {
			from = append(from, pt.shard)
		}
	}
	q.step, q.parts = 2, nil
	n := w.d.Config.Classes[q.class].FollowUp
	for i := range n {
		w.part(q, from[i%len(from)], 1/float64(n))
	}
}
