package harness

import (
	"fmt"
	"math/rand/v2"
	"time"

	"birchcart/internal/fleet/maintenance"
)

const (
	// sessionSeeds is the first seed of the kinds that are about pinned sessions alone.
	sessionSeeds = 3000
	afterMoved   = "moved"
	afterGoing   = "going"
	// herdMost sessions are in a herd of the long form.
	herdMost = 10_000
)

// SessionCases are the kinds of schedules from seed sessionSeeds on, in turn.
var SessionCases = []string{
	"source stopped with answers in hand", "asked at both", "target killed after adoption", "majority lost in the moves, then all restarted",
	"herd", "replicas of sessions late and reset", "replicas of sessions cut one way", "replicas killed in the moves",
	"discovery silent in the moves", "discovery late in the moves", "source and target cut one way", "source and target cut off from the rest",
}

// newPinned makes up a schedule of these kinds.
func newPinned(seed uint64, processes int) *Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x5e55))
	s := &Schedule{Version: ScheduleVersion, Seed: seed, Case: SessionCases[(seed-sessionSeeds)%uint64(len(SessionCases))], Processes: processes}
	sec := func(least, most float64) time.Duration {
		return time.Duration((least+rng.Float64()*(most-least))*1000) * time.Millisecond
	}
	var all []string
	for i := range processes {
		all = append(all, fmt.Sprint(i))
	}
	add := func(st ...Step) { s.Steps = append(s.Steps, st...) }
	fault := func(after string, at time.Duration, from, to []string, f Fault) {
		add(Step{After: after, At: at, Do: DoFault, From: from, To: to, Fault: &f})
	}
	heal := func(least, most float64) { add(Step{At: sec(least, most), Do: DoHeal}) }
	list, replicas, clients := []string{listEnd}, []string{allEnd}, []string{clientsEnd}
	source, target := []string{"source"}, []string{"target"}
	s.Terms.Only = maintenance.Coordinator
	add(Step{Do: DoAsk, Who: all})
	switch s.Case {
	case "source stopped with answers in hand":
		// Parts take 0.4 s, so that many are out at any time; the stop is longer than lease, grace and a release. Clients of what
		// may run twice wait for longer than that: at the wake only the lease tells that an answer in hand is not to be given.
		s.Terms.Both, s.Terms.Answer, s.Terms.Wait = 1, 400*time.Millisecond, 14*time.Second
		stop := func(after string, who ...string) {
			add(Step{After: after, At: sec(0, 0.1), Do: DoStop, Who: who}, Step{At: sec(8, 10.5), Do: DoCont, Who: []string{"stopped"}})
		}
		stop("told", "follower") // in the middle of its work; the others as their sessions leave
		stop(afterGoing, source...)
		stop(afterMoved, source...)
	case "asked at both":
		s.Terms.Both = 2
		add(Step{After: afterMoved, At: sec(0, 0.5), Do: DoReset, From: all, To: all})
	case "target killed after adoption":
		for range 3 {
			add(Step{After: afterMoved, Do: DoKill, Who: target}, Step{At: sec(0.2, 6), Do: DoStart, Who: []string{"killed"}})
		}
	case "majority lost in the moves, then all restarted":
		add(Step{After: afterMoved, At: sec(0, 0.2), Do: DoKill, Who: []string{"leader", "voter", "voter 2"}},
			Step{At: sec(6, 10), Do: DoStart, Who: []string{"killed"}},
			Step{After: afterMoved, At: sec(0, 0.5), Do: DoKill, Who: all}, Step{At: sec(0.2, 1), Do: DoStart, Who: all})
	case "herd":
		add(Step{After: "told", At: sec(0, 0.3), Do: DoHerd}, Step{After: afterMoved, Do: DoKill, Who: target},
			Step{At: sec(0, 0.3), Do: DoHerd}, Step{At: sec(1, 2), Do: DoStart, Who: []string{"killed"}}, Step{At: sec(0, 3), Do: DoHerd})
	case "replicas of sessions late and reset":
		s.Terms.Relays = true
		for range 2 {
			fault(afterMoved, 0, clients, replicas, Fault{Delay: sec(0.01, 0.06), Jitter: sec(0.01, 0.06)})
			fault("", 0, replicas, clients, Fault{Delay: sec(0.01, 0.06), Jitter: sec(0.01, 0.06)})
			for range 4 {
				add(Step{At: sec(0.2, 1), Do: DoReset, From: clients, To: replicas})
			}
			heal(0, 1)
		}
	case "replicas of sessions cut one way":
		s.Terms.Relays = true
		for range 3 {
			one := []string{fmt.Sprintf("r%d", rng.IntN(12))}
			if rng.IntN(2) == 0 {
				fault(afterMoved, sec(0, 0.3), clients, one, Fault{Cut: true})
			} else {
				fault(afterMoved, sec(0, 0.3), one, clients, Fault{Cut: true})
			}
			heal(0.5, 6)
		}
	case "replicas killed in the moves":
		for range 4 {
			add(Step{After: afterMoved, At: sec(0, 0.3), Do: DoFail})
		}
	case "discovery silent in the moves":
		s.Terms.Relays = true
		fault(afterMoved, 0, list, all, Fault{Stop: true})
		heal(6, 14)
	case "discovery late in the moves":
		s.Terms.Relays = true
		fault(afterMoved, 0, list, all, Fault{Delay: sec(0.3, 1.5), Jitter: sec(0.1, 0.5)})
		for range 4 {
			add(Step{At: sec(1, 2), Do: DoReset, From: all, To: list})
		}
		add(Step{Do: DoFail})
		heal(1, 3)
	case "source and target cut one way":
		for range 2 {
			a, b := source, target
			if rng.IntN(2) == 0 {
				a, b = b, a
			}
			fault(afterMoved, 0, a, b, Fault{Cut: true})
			heal(4, 8)
		}
	case "source and target cut off from the rest":
		fault(afterMoved, 0, source, all, Fault{Cut: true})
		fault("", 0, all, target, Fault{Cut: true})
		heal(5, 8)
		fault(afterMoved, 0, []string{"leader"}, []string{"source", "target"}, Fault{Cut: true})
		heal(5, 8)
	}
	return s
}

// awaitMove waits until a co-ordinator that was told to go is "going", or until a client hears that a session of such a one "moved".
func (c *Cluster) awaitMove(after string) {
	began := time.Now()
	c.until(stepMost, func() bool {
		m := c.pinned.Moved()
		c.mu.Lock()
		defer c.mu.Unlock()
		for i, spans := range c.h.Ending {
			if n := len(spans); after == afterGoing && n > 0 && spans[n-1].From.After(began) {
				c.last["source"] = []int{i}
				return true
			}
		}
		if after == afterGoing || m.At.Before(began) || !c.open(c.h.Ending[m.From]) {
			return false
		}
		c.last["source"], c.last["target"] = []int{m.From}, []int{m.To}
		return true
	})
}
