package harness

import (
	"math/rand/v2"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// latestSeeds is the first seed of the kinds that came after those of laterSeeds, which keep their schedules so.
const latestSeeds = 2000

// LatestCases are the kinds of schedules from seed latestSeeds on, in turn.
var LatestCases = []string{
	"voter replaced, the new one's disk full at first", "voter replaced, a disk full", "voter replaced, a disk torn",
	"list heard after a stall", "list held up",
}

// newLatest makes up a schedule of these.
func newLatest(seed uint64, processes int) *Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x1a7e57))
	s := &Schedule{Version: ScheduleVersion, Seed: seed, Case: LatestCases[(seed-latestSeeds)%uint64(len(LatestCases))], Processes: processes}
	sec := func(least, most float64) time.Duration {
		return time.Duration((least+rng.Float64()*(most-least))*1000) * time.Millisecond
	}
	pick := func(from ...string) []string { return []string{from[rng.IntN(len(from))]} }
	add := func(st ...Step) { s.Steps = append(s.Steps, st...) }
	s.Terms.Only = maintenance.Replica
	add(Step{Do: DoAsk, Who: everyone(processes)})
	swap := Step{After: "granted", At: sec(0, 1), Do: DoVoter, Who: pick("leader", "voter", "voter 2")}
	switch s.Case {
	case "voter replaced, the new one's disk full at first": // it has room later, and takes its seat without a restart
		add(Step{Do: DoFull, Who: []string{"next seat"}}, swap, Step{At: sec(3, 9), Do: DoRoom, Who: []string{"full"}}, Step{Do: DoProve})
	case "voter replaced, a disk full": // a seat whose log failed is taken again by a new process only
		add(swap, Step{At: sec(0, 2.5), Do: DoFull, Who: pick("old", "new", "leader")}, Step{At: sec(3, 8), Do: DoKill, Who: []string{"full"}},
			Step{At: sec(0, 2), Do: DoStart, Who: []string{"killed"}}, Step{Do: DoProve})
	case "voter replaced, a disk torn": // a voter whose log is torn votes no more: another takes its place too
		add(swap, Step{At: sec(0, 3), Do: DoKill, Who: pick("old", "new", "leader")}, Step{Do: DoTear, Who: []string{"killed"}},
			Step{At: sec(0, 2), Do: DoStart, Who: []string{"killed"}}, Step{At: sec(0, 2), Do: DoVoter, Who: []string{"torn"}}, Step{Do: DoProve})
	case "list heard after a stall": // what fails meanwhile the stopped one can't know; the second stall is too short to cost a lead
		s.Terms.Holders = 3
		add(Step{After: "granted", At: sec(0, 1), Do: DoStop, Who: pick("leader", "leader", "follower", "voter")},
			Step{At: sec(0.1, 0.6), Do: DoFail, Who: []string{"any"}}, Step{At: sec(0.5, 12), Do: DoCont, Who: []string{"stopped"}},
			Step{After: "granted", At: sec(0, 0.3), Do: DoFail, Who: []string{"any"}}, Step{Do: DoStop, Who: []string{"leader"}},
			Step{At: sec(0.1, 0.4), Do: DoCont, Who: []string{"stopped"}})
	case "list held up": // what discovery says waits on the way to the leader and one more, and then comes at once
		s.Terms.Holders, s.Terms.Relays, s.Terms.ListAge = 3, true, 2*time.Second
		who := append(pick(everyone(processes)...), "leader")
		for range 3 {
			add(Step{After: "granted", At: sec(0, 0.5), Do: DoFault, From: []string{listEnd}, To: who, Fault: &Fault{Stop: true}},
				Step{At: sec(0, 0.3), Do: DoFail, Who: []string{"any"}}, Step{At: sec(0.2, 6), Do: DoHeal})
		}
	}
	return s
}
