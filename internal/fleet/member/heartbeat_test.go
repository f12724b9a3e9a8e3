package member

import (
	"fmt"
	"testing"
	"time"
)

// With clocks that run 1 % fast or slow and have different offsets, the age of a record that is passed on from member to member stays
// accurate to 1 % plus the millisecond resolution at each hop, and a member with regular heartbeats is not Suspect anywhere.
func TestAgesWithClockDrift(t *testing.T) {
	for _, rates := range [][]float64{{1.01, 1.01, 1.01, 1.01}, {0.99, 0.99, 0.99, 0.99}, {0.99, 1.01, 0.99, 1.01}, {1.01, 0.99, 1.01, 0.99}} {
		t.Run(fmt.Sprint(rates), func(t *testing.T) {
			var all []*memberTable
			for i := range rates {
				n := &memberTable{}
				n.init(Options{Name: fmt.Sprint("n", i), Incarnation: 7})
				all = append(all, n)
			}
			// clock returns the reading of member i's clock at a true time, with its own offset and rate.
			clock := func(i int, at time.Duration) time.Time {
				return time.Unix(int64(1_000_000*i), 0).Add(time.Duration(float64(at) * rates[i]))
			}
			first := all[0]
			for round := range time.Duration(20) { // one heartbeat, passed on over three hops, 3 to 10 s apart
				made := 1000*time.Second + round*40*time.Second
				first.mu.Lock()
				first.loadAt = clock(0, made-2*time.Second)
				first.makeRecord(clock(0, made))
				first.mu.Unlock()
				at := made
				for i := 1; i < len(all); i++ {
					at += time.Duration(2+i*int(round%3+1)) * time.Second
					b := all[i-1].allRecords(clock(i-1, at))
					if err := all[i].merge(b[1:], clock(i, at)); err != nil {
						t.Fatal(err)
					}
					h := all[i].members["n0"]
					h.inMemberlist, h.alive = true, true
					m := all[i].member(h, clock(i, at+time.Second))
					want, slack := at+time.Second-made, 2*time.Millisecond*time.Duration(i)
					if off := m.Age - want; off > want/100+slack || -off > want/100+slack {
						t.Errorf("at n%d, %v after the record was made, its age is %v", i, want, m.Age)
					}
					if off := m.LoadAge - want - 2*time.Second; off > want/100+slack+20*time.Millisecond || -off > want/100+slack+20*time.Millisecond {
						t.Errorf("at n%d, the load set %v ago has an age of %v", i, want+2*time.Second, m.LoadAge)
					}
					if m.State != Alive && want < SuspectHeartbeats*MinHeartbeatInterval {
						t.Errorf("n0 is %v at n%d, %v after its heartbeat", m.State, i, want)
					}
					for j := 1; j < i; j++ { // only records of alive members are passed on
						all[j].members["n0"].alive = true
					}
				}
			}
		})
	}
}
