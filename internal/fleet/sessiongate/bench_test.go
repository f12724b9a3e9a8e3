package sessiongate

import (
	"fmt"
	"testing"
	"time"

	"birchcart/internal/exchange"
)

// newOpenRig is a rig with a session "s" that nothing is open of.
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
		t.Fatal("the session is not open")
	}
	return r
}

// A query of a pinned session costs two allocations at most beyond one of none, however many shards it asks.
func TestQueryCost(t *testing.T) {
	r := newOpenRig(t)
	r.gate.SetHolders([][]string{{"r"}, {"r"}, {}})
	for _, parts := range [][]exchange.Part{{{}}, {{}, {Shard: 1}, {Shard: 2}}} {
		q := &exchange.Query{Session: "s", Tenant: -1, Due: time.Now().Add(50 * time.Second), Parts: parts}
		each := testing.AllocsPerRun(1000, func() {
			r.released = r.released[:0]
			r.gate.Admit(q, "")
			r.gate.step()
			if len(r.released) != 1 || r.gate.FinalReply(q, exchange.Reply{Status: exchange.Served}).Status != exchange.Served {
				t.Fatal("it was not served")
			}
			r.gate.QueryEnded(q, exchange.QueryOutcome{Served: true, Ran: true})
			r.gate.step()
		})
		t.Logf("%d shards: %v allocations", len(parts), each)
		if each > 2 {
			t.Errorf("%d shards: %v allocations, two at most", len(parts), each)
		}
	}
}

// BenchmarkQuery is what a query of a pinned session costs beyond one of none: taken, run, answered, over. Each step has one
// query, or as many as a busy exchange has in a turn.
func BenchmarkQuery(b *testing.B) {
	for _, many := range []int{1, 16} {
		b.Run(fmt.Sprint(many), func(b *testing.B) {
			r := newOpenRig(b)
			q := exchange.Query{Session: "s", Tenant: -1, Due: time.Now().Add(50 * time.Second), Parts: []exchange.Part{{}}}
			b.ReportAllocs()
			for b.Loop() {
				r.released = r.released[:0]
				for range many {
					next := q
					r.gate.Admit(&next, "")
					r.gate.step()
					r.gate.FinalReply(&next, exchange.Reply{})
					r.gate.QueryEnded(&next, exchange.QueryOutcome{Served: true, Ran: true})
				}
				r.gate.step()
				if len(r.released) != many {
					b.Fatalf("%d of %d ran", len(r.released), many)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*many), "ns/query")
		})
	}
}
