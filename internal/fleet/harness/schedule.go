package harness

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// ScheduleVersion is that of a schedule's form.
const ScheduleVersion = 1

// Schedule is one run as data. The same one does the same things at the same places; what the processes make of it
// depends on the machine's timing too, so a failure's schedule is played several times when it is shrunk.
type Schedule struct {
	Version   int    `json:"version"`
	Seed      uint64 `json:"seed"`
	Case      string `json:"case"`
	Processes int    `json:"processes"`
	Steps     []Step `json:"steps"`
}

// Step is one thing that is done. Processes are named by their place, and "leader", "follower" (neither leader nor
// voter, the highest place), "voter" and "voter 2" (that do not lead), "killed", "stopped" and "full" are found when the step is due.
type Step struct {
	After string        `json:"after,omitempty"` // "": the step before; else the first time that a machine is "granted", "told", "out"
	At    time.Duration `json:"at"`              // after that
	Do    Act           `json:"do"`
	Who   []string      `json:"who,omitempty"` // processes, or replicas for the acts on these
	From  []string      `json:"from,omitempty"`
	To    []string      `json:"to,omitempty"`
	Fault *Fault        `json:"fault,omitempty"`
}

// Act is what a step does.
type Act string

const (
	DoAsk    Act = "ask"     // writes the request for all machines into the files of Who, and says so to them
	DoAsk2   Act = "ask 2"   // the same, for half of the machines with another reason
	DoAskAll Act = "ask all" // the same as ask, over both
	DoFault  Act = "fault"   // on the links From x To
	DoHeal   Act = "heal"    // takes all faults off the links
	DoReset  Act = "reset"   // of the connections From x To
	DoKill   Act = "kill"
	DoStart  Act = "start" // those of Who that do not run
	DoLose   Act = "lose"  // the disk of one that does not run
	DoStop   Act = "stop"  // SIGSTOP
	DoCont   Act = "cont"  // SIGCONT
	DoFull   Act = "full"  // no file grows any more
	DoRoom   Act = "room"  // they may again
	DoFail   Act = "fail"  // a replica ends without a word, and comes back seconds later
	DoNever  Act = "never" // the next replica that goes out stays away
	DoRename Act = "rename"
	DoSlow   Act = "slow"  // the site's tools wait some seconds before they use a grant, so that others may still send
	DoEarly  Act = "early" // a replica that is granted goes out before it was told
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

// Encode is the whole schedule, as one line of JSON.
func (s *Schedule) Encode() string {
	raw, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

// DecodeSchedule reads one. One of another version, or with an act that does not exist, is refused.
func DecodeSchedule(text string) (*Schedule, error) {
	var s Schedule
	in := json.NewDecoder(bytes.NewReader([]byte(text)))
	in.DisallowUnknownFields()
	if err := in.Decode(&s); err != nil {
		return nil, fmt.Errorf("schedule: %w", err)
	}
	if s.Version != ScheduleVersion {
		return nil, fmt.Errorf("schedule: version %d; %d is known", s.Version, ScheduleVersion)
	}
	if s.Processes < 1 || s.Processes > ProcessesMost {
		return nil, errors.New("schedule: processes")
	}
	acts := []Act{DoAsk, DoAsk2, DoAskAll, DoFault, DoHeal, DoReset, DoKill, DoStart, DoLose, DoStop, DoCont, DoFull, DoRoom, DoFail,
		DoNever, DoRename, DoEarly, DoSlow}
	for _, st := range s.Steps {
		if !slices.Contains(acts, st.Do) {
			return nil, fmt.Errorf("schedule: nothing does %q", st.Do)
		}
	}
	return &s, nil
}

// NewSchedule makes up the schedule of a seed.
func NewSchedule(seed uint64, processes int) *Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x5c4ed))
	s := &Schedule{Version: ScheduleVersion, Seed: seed, Case: Cases[seed%uint64(len(Cases))], Processes: processes}
	sec := func(least, most float64) time.Duration {
		return time.Duration((least+rng.Float64()*(most-least))*1000) * time.Millisecond
	}
	var all []string
	for i := range processes {
		all = append(all, fmt.Sprint(i))
	}
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

// Shrink leaves out steps as long as fails says that the rest still fails; it asks so often at most.
func Shrink(s *Schedule, tries int, fails func(*Schedule) bool) *Schedule {
	for i := len(s.Steps) - 1; i >= 0 && tries > 0; i-- {
		less := *s
		less.Steps = slices.Delete(slices.Clone(s.Steps), i, i+1)
		if i < len(less.Steps) && less.Steps[i].After == "" { // what follows keeps its time
			next := less.Steps[i]
			next.At += s.Steps[i].At
			if next.After = s.Steps[i].After; next.After == "" || i > 0 {
				less.Steps[i] = next
			}
		}
		tries--
		if fails(&less) {
			s = &less
		}
	}
	return s
}
