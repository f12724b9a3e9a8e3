package harness

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
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
	Terms     Terms  `json:"terms,omitzero"`
	Steps     []Step `json:"steps"`
}

// Step is one thing that is done. Processes are named by their place, and "leader", "follower" (neither leader nor
// voter, the highest place), "voter" and "voter 2" (that do not lead), "killed", "stopped", "full", "torn", "lied to", "old" and "new" of a replaced
// voter, "next seat", who takes the next such seat, "source" and "target" of one that is going or moved are found when the step is due. Links have "discovery", "clients", "replicas" and the replicas' names as ends too.
type Step struct {
	After string        `json:"after,omitempty"` // "": the step before; else the first time that a machine is "granted", "told", "out", a co-ordinator is "going", a client hears of a session "moved" by such a one
	At    time.Duration `json:"at"`              // after that
	Do    Act           `json:"do"`
	Who   []string      `json:"who,omitempty"` // processes, or replicas for the acts on these
	From  []string      `json:"from,omitempty"`
	To    []string      `json:"to,omitempty"`
	Fault *Fault        `json:"fault,omitempty"`
	Rate  float64       `json:"rate,omitempty"` // queries/s
}

// Act is what a step does.
type Act string

// Acts of a schedule.
const (
	DoAsk      Act = "ask"     // writes the request for all machines into the files of Who, and says so to them
	DoAsk2     Act = "ask 2"   // the same, for half of the machines with another reason
	DoAskAll   Act = "ask all" // the same as ask, over both
	DoFault    Act = "fault"   // on the links From x To
	DoHeal     Act = "heal"    // takes all faults off the links
	DoReset    Act = "reset"   // of the connections From x To
	DoKill     Act = "kill"
	DoStart    Act = "start" // those of Who that do not run
	DoLose     Act = "lose"  // the disk of one that does not run
	DoStop     Act = "stop"  // SIGSTOP
	DoCont     Act = "cont"  // SIGCONT
	DoFull     Act = "full"  // no file grows any more
	DoRoom     Act = "room"  // they may again
	DoTear     Act = "tear"  // the raft group's file of one that does not run is cut short
	DoFail     Act = "fail"  // a replica ends without a word, and comes back seconds later
	DoNever    Act = "never" // the next replica that goes out stays away
	DoRename   Act = "rename"
	DoSlow     Act = "slow"       // the site's tools wait some seconds before they use a grant, so that others may still send
	DoRate     Act = "rate"       // of queries
	DoOld      Act = "old list"   // a process's list changes no more
	DoFalse    Act = "false list" // nor is it true: two replicas are gone there
	DoTrue     Act = "true list"  // it has discovery's again
	DoVoter    Act = "voter"      // another takes the seat of Who, by the files of all
	DoProve    Act = "prove"      // waits until it has, and kills so many that the new one is needed for a majority
	DoHerd     Act = "herd"       // all clients of sessions come within 100 ms
	DoEarly    Act = "early"      // a replica that is granted goes out before it was told
	DoZone     Act = "zone"       // all replicas of a zone, Who by its place, end without a word
	DoZoneBack Act = "zone back"  // and are back, cold
	DoMove     Act = "move"       // an account is in a lower lane by the files of Who, and they are told to read them
	DoHit      Act = "hit"        // half of all queries come to Who; none: as before
)

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
		DoNever, DoRename, DoEarly, DoSlow, DoRate, DoOld, DoFalse, DoTrue, DoVoter, DoProve, DoTear, DoHerd,
		DoZone, DoZoneBack, DoMove, DoHit}
	for _, st := range s.Steps {
		if !slices.Contains(acts, st.Do) {
			return nil, fmt.Errorf("schedule: nothing does %q", st.Do)
		}
	}
	return &s, nil
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
