package exchange

import (
	"birchcart/internal/record"
	"birchcart/internal/route"
)

// Record writes a record of each query and of its end to w. It must be called before Run.
func (e *Exchange) Record(w *record.Writer) { e.record = w }

// recordQuery records a query when it arrives, including one that a gate then rejects.
func (e *Exchange) recordQuery(q *query) {
	if e.record == nil {
		return
	}
	r := record.Record{
		Kind: "query", Micros: e.record.Since(q.Received), Number: q.id, Class: e.names.Classes[q.Class], Front: route.FrontNames[q.Front],
		Retry: q.Retry, Wait: q.Due.Sub(q.Received).Microseconds(),
	}
	if q.Tenant >= 0 {
		r.Tenant = e.names.Tenants[q.Tenant]
	}
	hints := false
	for _, p := range q.Parts {
		r.Shards, r.Weights, r.Work = append(r.Shards, p.Shard), append(r.Weights, p.Weight), append(r.Work, p.Work*1e6)
		hints = hints || p.Work > 0
	}
	if !hints {
		r.Work = nil
	}
	e.record.Put(r)
}

// recordEnd records how a query ended and how many values its reply has.
func (e *Exchange) recordEnd(q *query, status string, values int) {
	if e.record != nil {
		e.record.Put(record.Record{Kind: "end", Micros: e.record.Since(e.turnAt), Number: q.id, Status: status, In: values})
	}
}

// recordStatus returns the status of a reply as records name it.
func (r *Reply) recordStatus() string {
	switch {
	case r.Status == Served && r.Complete:
		return "whole"
	case r.Status == Served:
		return "short"
	case r.Status == Rejected:
		return "refused"
	}
	return "failed"
}
