package pins

import (
	"fmt"
	"testing"
	"time"

	"birchcart/internal/exchange"
)

// BenchmarkQuery is what a query of a pinned session costs beyond one of none: taken, run, answered, over. Each step has one
// query, or as many as a busy exchange has in a turn.
func BenchmarkQuery(b *testing.B) {
	for _, many := range []int{1, 16} {
		b.Run(fmt.Sprint(many), func(b *testing.B) {
			r := newRig(b)
			r.step(1, 1)
			first := r.ask("s", time.Minute)
			r.p.step()
			r.agree()
			r.step(2, 1)
			r.p.Over(first, exchange.Over{Served: true, Ran: true})
			r.p.step()
			if len(r.released) != 1 {
				b.Fatal("the session is not open")
			}
			q := exchange.Query{Session: "s", Tenant: -1, Due: time.Now().Add(50 * time.Second), Parts: []exchange.Part{{}}}
			b.ReportAllocs()
			for b.Loop() {
				r.released = r.released[:0]
				for range many {
					next := q
					r.p.Pinned(&next, "")
					r.p.step()
					r.p.Final(&next, exchange.Reply{})
					r.p.Over(&next, exchange.Over{Served: true, Ran: true})
				}
				r.p.step()
				if len(r.released) != many {
					b.Fatalf("%d of %d ran", len(r.released), many)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*many), "ns/query")
		})
	}
}
