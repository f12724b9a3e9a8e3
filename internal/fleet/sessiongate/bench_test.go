package sessiongate

import (
	"fmt"
	"testing"
	"time"

	"birchcart/internal/exchange"
)

// newOpenRig returns a rig that owns a session "s" without open queries.
func newOpenRig(t testing.TB) *rig {
	r := newRig(t)
	r.step(1, 1)
	first := r.admit("s", time.Minute)
	r.gate.step()
	r.agree()
	r.step(2, 1)
	r.gate.QueryEnded(first, exchange.QueryOutcome{Served: true, Ran: true})
	r.gate.step()
	if len(r.released) != 1 {
		t.Fatal("the session is not owned")
	}
	return r
}

// A query of a pinned session costs at most two more allocations than one without a session, however many shards it reads.
func TestQueryCost(t *testing.T) {
	r := newOpenRig(t)
	r.gate.SetHolders([][]string{{"r"}, {"r"}, {}})
	for _, parts := range [][]exchange.Part{{{}}, {{}, {Shard: 1}, {Shard: 2}}} {
		q := &exchange.Query{Session: "s", Tenant: -1, Due: time.Now().Add(50 * time.Second), Parts: parts}
		allocations := testing.AllocsPerRun(1000, func() {
			r.released = r.released[:0]
			r.gate.Admit(q, "")
			r.gate.step()
			if len(r.released) != 1 || r.gate.FinalReply(q, exchange.Reply{Status: exchange.Served}).Status != exchange.Served {
				t.Fatal("the query was not served")
			}
			r.gate.QueryEnded(q, exchange.QueryOutcome{Served: true, Ran: true})
			r.gate.step()
		})
		t.Logf("%d shards: %v allocations", len(parts), allocations)
		if allocations > 2 {
			t.Errorf("%d shards: %v allocations, at most 2 allowed", len(parts), allocations)
		}
	}
}

// BenchmarkQuery measures what a query of a pinned session costs in addition to one without a session, from admission to its
// end. Each step handles one query, or as many as a busy exchange has in one step.
func BenchmarkQuery(b *testing.B) {
	for _, queries := range []int{1, 16} {
		b.Run(fmt.Sprint(queries), func(b *testing.B) {
			r := newOpenRig(b)
			q := exchange.Query{Session: "s", Tenant: -1, Due: time.Now().Add(50 * time.Second), Parts: []exchange.Part{{}}}
			b.ReportAllocs()
			for b.Loop() {
				r.released = r.released[:0]
				for range queries {
					next := q
					r.gate.Admit(&next, "")
					r.gate.step()
					r.gate.FinalReply(&next, exchange.Reply{})
					r.gate.QueryEnded(&next, exchange.QueryOutcome{Served: true, Ran: true})
				}
				r.gate.step()
				if len(r.released) != queries {
					b.Fatalf("%d of %d ran", len(r.released), queries)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*queries), "ns/query")
		})
	}
}
