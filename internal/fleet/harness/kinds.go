package harness

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Cases are the kinds of schedules; the seed picks one and its details.
var Cases = []string{
	"calm", "leader killed between grant and told", "two halves with one request each", "one-way cut to the leader",
	"follower stopped", "machine never back", "machine back under a new name", "machine out before told",
	"seven in ten restarted", "majority lost for a time", "full disk", "lossy links", "leader stopped", "unplanned failures",
	"leader killed, disk lost", "all connections reset",
}

// slowCases are those in which a co-ordinator that can't have heard of a grant may still send to its machine.
var slowCases = []string{"two halves with one request each", "one-way cut to the leader", "follower stopped", "leader stopped", "seven in ten restarted"}

// NewSchedule makes up the schedule of a seed. Those from laterSeeds, latestSeeds and sessionSeeds on are of later kinds.
func NewSchedule(seed uint64, processes int) *Schedule {
	if seed >= sessionSeeds {
		return newPinned(seed, processes)
	}
	if seed >= latestSeeds {
		return newLatest(seed, processes)
	}
	if seed >= laterSeeds {
		return newLater(seed, processes)
	}
	rng := rand.New(rand.NewPCG(seed, 0x5c4ed))
	s := &Schedule{Version: ScheduleVersion, Seed: seed, Case: Cases[seed%uint64(len(Cases))], Processes: processes}
	sec := func(least, most float64) time.Duration {
		return time.Duration((least+rng.Float64()*(most-least))*1000) * time.Millisecond
	}
	all := everyone(processes)
	pick := func() string { return all[rng.IntN(len(all))] }
	add := func(st ...Step) { s.Steps = append(s.Steps, st...) }
	others := func(who ...string) []string {
		return slices.DeleteFunc(slices.Clone(all), func(x string) bool { return slices.Contains(who, x) })
	}
	if slices.Contains(slowCases, s.Case) {
		add(Step{Do: DoSlow})
	}
	if s.Case != "two halves with one request each" {
		add(Step{Do: DoAsk, Who: all})
	}
	switch s.Case {
	case "calm":
	case "leader killed between grant and told", "leader killed, disk lost":
		add(Step{After: "granted", At: sec(0, 0.8), Do: DoKill, Who: []string{"leader"}})
		if s.Case == "leader killed, disk lost" {
			add(Step{At: sec(0, 1), Do: DoLose, Who: []string{"killed"}})
		}
		add(Step{At: sec(3, 8), Do: DoStart, Who: []string{"killed"}})
		add(Step{After: "granted", At: sec(0, 0.5), Do: DoKill, Who: []string{"leader"}}, Step{At: sec(1, 3), Do: DoStart, Who: []string{"killed"}})
	case "two halves with one request each":
		cut := &Fault{Cut: true}
		var a, b []string
		for _, i := range rng.Perm(processes) {
			if len(a) <= processes/2 {
				a = append(a, all[i])
			} else {
				b = append(b, all[i])
			}
		}
		add(Step{At: sec(0, 1), Do: DoFault, From: a, To: b, Fault: cut}, Step{Do: DoFault, From: b, To: a, Fault: cut},
			Step{At: sec(0, 2), Do: DoAsk, Who: a}, Step{Do: DoAsk2, Who: b}, Step{At: sec(6, 12), Do: DoHeal}, Step{At: sec(0, 1), Do: DoAskAll, Who: all})
	case "one-way cut to the leader":
		x := pick()
		add(Step{After: "granted", Do: DoFault, From: []string{x}, To: []string{"leader"}, Fault: &Fault{Cut: true}},
			Step{At: sec(5, 9), Do: DoHeal},
			Step{After: "granted", At: sec(0, 0.5), Do: DoFault, From: []string{"leader"}, To: []string{pick()}, Fault: &Fault{Cut: true}},
			Step{At: sec(5, 9), Do: DoHeal})
	case "follower stopped", "leader stopped":
		who := "follower"
		if s.Case == "leader stopped" {
			who = "leader"
		}
		add(Step{After: "granted", At: sec(0, 1), Do: DoStop, Who: []string{who}}, Step{At: sec(4, 14), Do: DoCont, Who: []string{"stopped"}})
	case "machine never back":
		add(Step{Do: DoNever, Who: []string{"next"}})
	case "machine back under a new name":
		add(Step{Do: DoRename, Who: []string{"next"}})
	case "machine out before told":
		add(Step{Do: DoEarly, Who: []string{"next"}})
	case "seven in ten restarted":
		var who []string
		for _, i := range rng.Perm(processes)[:processes*7/10] {
			who = append(who, all[i])
		}
		add(Step{After: "told", At: sec(0, 1), Do: DoKill, Who: who}, Step{At: sec(0.2, 2), Do: DoStart, Who: who})
	case "majority lost for a time":
		add(Step{After: "told", At: sec(0, 1), Do: DoKill, Who: []string{"leader", "voter", "voter 2"}},
			Step{At: sec(6, 14), Do: DoStart, Who: []string{"killed"}})
	case "full disk":
		add(Step{After: "granted", Do: DoFull, Who: []string{"leader"}}, Step{At: sec(3, 8), Do: DoKill, Who: []string{"full"}},
			Step{At: sec(0, 2), Do: DoStart, Who: []string{"killed"}},
			Step{After: "granted", Do: DoFull, Who: []string{pick()}}, Step{At: sec(3, 6), Do: DoRoom, Who: []string{"full"}})
	case "lossy links":
		f := &Fault{Drop: 0.05 + 0.2*rng.Float64(), Repeat: 0.1, Reorder: 0.2, Delay: sec(0, 0.04), Jitter: sec(0.01, 0.08)}
		add(Step{At: sec(0, 2), Do: DoFault, From: all, To: all, Fault: f}, Step{At: sec(8, 14), Do: DoHeal},
			Step{Do: DoFault, From: all, To: []string{pick()}, Fault: &Fault{Rate: 4000 + rng.IntN(16000)}}, Step{At: sec(5, 8), Do: DoHeal})
	case "unplanned failures":
		for range 3 {
			add(Step{After: "granted", At: sec(0, 2), Do: DoFail, Who: []string{"any"}})
		}
	case "all connections reset":
		for range 6 {
			add(Step{At: sec(1, 3), Do: DoReset, From: all, To: all})
		}
	}
	if rng.IntN(3) == 0 && s.Case != "calm" { // something else beside it
		x := pick()
		add(Step{At: sec(0, 2), Do: DoFault, From: []string{x}, To: others(x), Fault: &Fault{Delay: sec(0.05, 0.3), Drop: 0.1}},
			Step{At: sec(2, 5), Do: DoHeal})
	}
	return s
}
