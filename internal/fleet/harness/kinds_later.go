package harness

import (
	"fmt"
	"math/rand/v2"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// laterSeeds is the first seed of the later kinds, so that those before keep the schedules that they had.
const laterSeeds = 1000

// LaterCases are the kinds of schedules from seed laterSeeds on, in turn.
var LaterCases = []string{
	"load too high for a time", "one passed over by many", "failures under a long calm",
	"discovery silent to all", "discovery late and reset", "discovery cut off from the leader", "replicas late and reset",
	"old list at one", "false list at one",
	"voter replaced, words lost", "voter replaced, words late, twice and out of order", "voter replaced, cut one way",
	"voter replaced, cut both ways", "voter replaced, one stopped", "voter replaced, one crashed", "asked of a full disk",
}

// everyone is all processes, by their places.
func everyone(processes int) (all []string) {
	for i := range processes {
		all = append(all, fmt.Sprint(i))
	}
	return all
}

// newLater makes up a schedule of the later kinds. Their faults lie as the kinds need them, so nothing is added beside.
func newLater(seed uint64, processes int) *Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x1a7e5))
	s := &Schedule{Version: ScheduleVersion, Seed: seed, Case: LaterCases[(seed-laterSeeds)%uint64(len(LaterCases))], Processes: processes}
	sec := func(least, most float64) time.Duration {
		return time.Duration((least+rng.Float64()*(most-least))*1000) * time.Millisecond
	}
	all := everyone(processes)
	pick := func(from ...string) string { return from[rng.IntN(len(from))] }
	add := func(st ...Step) { s.Steps = append(s.Steps, st...) }
	both := func(at time.Duration, a, b []string, f Fault) {
		add(Step{At: at, Do: DoFault, From: a, To: b, Fault: &f}, Step{Do: DoFault, From: b, To: a, Fault: &f})
	}
	list, one := []string{listEnd}, []string{"new"}
	ask := Step{Do: DoAsk, Who: all}
	switch s.Case {
	case "load too high for a time":
		// At 50 queries/s of 20 ms one part is out, a need of 2.8 of 12 replicas; at 300, six, a need of 16.7.
		s.Terms = Terms{Only: maintenance.Replica, LoadAge: 4 * time.Second, Answer: 20 * time.Millisecond, Bears: 0.45, Rate: 50}
		add(ask, Step{After: "granted", At: sec(0, 2), Do: DoRate, Rate: 300}, Step{At: sec(14, 18), Do: DoRate, Rate: 50})
	case "one passed over by many":
		s.Terms = Terms{Turns: true, Holders: 3, PassedMost: 4}
		add(ask)
	case "failures under a long calm":
		s.Terms = Terms{Only: maintenance.Replica, Calm: 6 * time.Second}
		add(ask, Step{After: "granted", At: sec(0, 1), Do: DoFail, Who: []string{"any"}}, Step{At: sec(4, 8), Do: DoFail, Who: []string{"any"}})
	case "discovery silent to all":
		s.Terms = Terms{Relays: true, ListAge: 5 * time.Second}
		add(Step{At: sec(0, 2), Do: DoFault, From: list, To: all, Fault: &Fault{Stop: true}})
		ask.At = sec(8, 9) // when what is known of the machines is too old
		add(ask, Step{At: sec(4, 7), Do: DoHeal})
	case "discovery late and reset":
		s.Terms.Relays = true
		add(ask)
		both(sec(0, 2), list, all, Fault{Delay: sec(0.3, 1.5), Jitter: sec(0.1, 0.5)})
		for range 4 {
			add(Step{At: sec(1, 3), Do: DoReset, From: all, To: list})
		}
		add(Step{At: sec(0, 2), Do: DoHeal})
	case "discovery cut off from the leader":
		s.Terms.Relays = true
		who := []string{"leader", pick(all...)}
		add(ask, Step{After: "granted", At: sec(0, 2), Do: DoFault, From: who, To: list, Fault: &Fault{Cut: true}},
			Step{Do: DoReset, From: who, To: list}, Step{At: sec(6, 15), Do: DoHeal})
	case "replicas late and reset":
		s.Terms.Relays = true
		add(ask)
		both(sec(0, 2), []string{clientsEnd}, []string{allEnd}, Fault{Delay: sec(0.02, 0.08), Jitter: sec(0.01, 0.08)})
		for range 6 {
			add(Step{At: sec(0.5, 2), Do: DoReset, From: []string{clientsEnd}, To: []string{allEnd}})
		}
		add(Step{Do: DoHeal})
	case "old list at one", "false list at one":
		do := DoOld
		if s.Case == "false list at one" {
			do = DoFalse
		}
		add(ask, Step{After: "told", At: sec(0, 1), Do: do, Who: []string{pick("leader", "follower", "voter")}},
			Step{At: sec(4, 9), Do: DoTrue, Who: []string{"lied to"}})
	case "asked of a full disk":
		add(Step{Do: DoFull, Who: []string{pick("leader", "leader", "follower")}}, Step{At: sec(0, 0.5), Do: DoAsk, Who: []string{"full"}},
			Step{At: sec(3, 7), Do: DoRoom, Who: []string{"full"}}, Step{At: sec(0, 3), Do: DoAsk, Who: all})
	default: // a voter is replaced
		s.Terms.Only = maintenance.Replica
		add(ask)
		swap := Step{After: "granted", At: sec(0, 1), Do: DoVoter, Who: []string{pick("leader", "voter", "voter 2")}}
		switch s.Case {
		case "voter replaced, words lost":
			add(Step{At: sec(0, 1), Do: DoFault, From: all, To: all, Fault: &Fault{Drop: 0.1 + 0.2*rng.Float64()}}, swap, Step{At: sec(8, 12), Do: DoHeal})
		case "voter replaced, words late, twice and out of order":
			add(Step{At: sec(0, 1), Do: DoFault, From: all, To: all, Fault: &Fault{Repeat: 0.3, Reorder: 0.3, Delay: sec(0.02, 0.15), Jitter: sec(0.02, 0.1)}},
				swap, Step{At: sec(8, 12), Do: DoHeal})
		case "voter replaced, cut one way":
			a, b := []string{"leader"}, one
			if rng.IntN(2) == 0 {
				a, b = b, a
			}
			add(swap, Step{At: sec(0, 1.5), Do: DoFault, From: a, To: b, Fault: &Fault{Cut: true}}, Step{At: sec(5, 10), Do: DoHeal})
		case "voter replaced, cut both ways":
			add(swap)
			both(sec(0, 1.5), []string{pick("new", "old")}, all, Fault{Cut: true})
			add(Step{At: sec(5, 10), Do: DoHeal})
		case "voter replaced, one stopped":
			add(swap, Step{At: sec(0, 2.5), Do: DoStop, Who: []string{pick("old", "new", "leader")}}, Step{At: sec(4, 9), Do: DoCont, Who: []string{"stopped"}})
		case "voter replaced, one crashed":
			add(swap, Step{At: sec(0, 2.5), Do: DoKill, Who: []string{pick("old", "new", "leader")}}, Step{At: sec(2, 6), Do: DoStart, Who: []string{"killed"}})
		}
		add(Step{Do: DoProve})
	}
	return s
}
