package policy

import (
	"fmt"
	"testing"
)

// BenchmarkQuery measures a query of twenty parts, its answers and the ticks in between, in fleets of three sizes. The
// cost of a decision must not grow with the fleet.
func BenchmarkQuery(b *testing.B) {
	for _, cells := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(cells, " replicas"), func(b *testing.B) {
			cfg := testConfig(Safe)
			cfg.Cells, cfg.Reach, cfg.Shards, cfg.Coordinators = cells, 2, cells, max(1, cells/4)
			p, now, id := New(cfg), 100.0, uint64(1000)
			var list []Entry
			for i := range cells {
				list = append(list, Entry{Replica: uint64(i + 1), Cell: i})
			}
			p.Handle(now, []Event{{Kind: ListChanged, Full: true, List: list}})
			for b.Loop() {
				id += 100
				ev := []Event{{Kind: QueryArrived, Query: id, Group: id, Tenant: -1, Deadline: now + 3, Count: 20}}
				for i := range uint64(20) {
					ev = append(ev, Event{Kind: PartArrived, Part: id + 1 + i, Group: id, Shard: int(id/100+i) % cells, Weight: 0.05})
				}
				sends := withVerb(Send, append([]Action(nil), p.Handle(now, ev)...))
				for range 5 {
					now += p.tick
					p.Handle(now, []Event{{Kind: TimerFired}})
				}
				ev = ev[:0]
				for _, a := range sends {
					ev = append(ev, Event{Kind: AttemptEnded, Part: a.Part, Replica: a.Replica, Outcome: OK, Latency: 5 * p.tick})
				}
				p.Handle(now, ev)
			}
		})
	}
}
