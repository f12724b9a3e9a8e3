// Package history checks what truly happened in a fleet against the promises of the order of work. It knows none of the
// deciding code: it is told, event by event in the order of true time, what was seen at machines, at clients' ends and
// in the agreed log from above, and works out by itself who was up and warm, whose lease held, and who could have gone.
package history

import (
	"encoding/binary"
	"fmt"
	"time"
)

// Kind of an event.
type Kind string

const (
	// Limits are in force from now on.
	Limits Kind = "limits"
	// Joined is a machine that was not there before: up, and warm unless Warm says from when.
	Joined Kind = "joined"
	// Committed is a change of an item in the agreed state, as it stands after the entry: Item, and Voters, Of.
	Committed Kind = "committed"
	// Taken is a machine that the site's tool takes out, by the Fence that it read in a file; Name.
	Taken Kind = "taken"
	// Failed is a machine that goes down, or whose process ends, without that; Name.
	Failed Kind = "failed"
	// Risen is a machine that takes requests again; warm from Warm on; Name.
	Risen Kind = "risen"
	// Sends says whether co-ordinator By would send a part to machine Name if one came now.
	Sends Kind = "sends"
	// Leased says that co-ordinator By got an answer, by which its lease holds until Until.
	Leased Kind = "leased"
	// Said is a poll by which co-ordinator By says that it has laid the drain of machine Name for the grant Fence.
	Said Kind = "said"
	// Serving says whether the process of co-ordinator By takes queries (On), whatever it knows of the fleet. Lost:
	// what it has said counts no more, since its disk is lost, or its clock is far ahead, by which its drains are over.
	Serving Kind = "serving"
	// Majority says whether a majority of voters is up and in touch with each other (On).
	Majority Kind = "majority"
	// Ended is the end: faults were healed Quiet ago, and what could go had the time to.
	Ended Kind = "ended"
)

// Event is one line of a history. Fields not named at its Kind are zero.
type Event struct {
	At    time.Duration // true time since the world began
	Kind  Kind
	Name  string
	By    string
	On    bool
	Fence uint64
	Warm  time.Duration // true time
	Until time.Duration // true time
	Machine
	Item    Item
	Rules   Rules
	Index   int
	Command string // id of the entry's command
	Voters  int    // that have stored the entry
	Of      int    // all voters
	Quiet   time.Duration
	Lost    bool
	Stored  time.Duration // when the majority had the entry
}

func (e Event) String() string {
	s := fmt.Sprintf("%9.3f %s", e.At.Seconds(), e.Kind)
	for _, part := range []struct {
		name  string
		value any
		shown bool
	}{
		{"", e.Name, e.Name != ""}, {"by", e.By, e.By != ""}, {"fence", e.Fence, e.Fence != 0},
		{"on", e.On, e.Kind == Sends || e.Kind == Serving || e.Kind == Majority},
		{"warm", e.Warm, e.Warm != 0}, {"until", e.Until, e.Until != 0},
		{"entry", e.Index, e.Index != 0}, {"stored by", fmt.Sprintf("%d of %d", e.Voters, e.Of), e.Of != 0},
		{"item", fmt.Sprintf("%s %s fence %d", e.Item.Machine, e.Item.Phase, e.Item.Fence), e.Kind == Committed},
	} {
		if part.shown {
			s += fmt.Sprintf(" %s %v", part.name, part.value)
		}
	}
	return s
}

// Append adds the event's bytes for a digest: all that is in it but its rules, which the schedule has.
func (e *Event) Append(to []byte) []byte {
	for _, s := range []string{string(e.Kind), e.Name, e.By, e.Item.Request, e.Item.Machine, e.Item.Phase, e.Command, e.Machine.Zone} {
		to = append(append(to, s...), 0)
	}
	for _, n := range [...]int64{int64(e.At), int64(e.Warm), int64(e.Until), int64(e.Stored), int64(e.Quiet), int64(e.Fence), int64(e.Index),
		int64(e.Voters), int64(e.Of), int64(e.Item.Asked), int64(e.Item.Fence), int64(e.Item.Order), int64(e.Item.Lapses)} {
		to = binary.AppendVarint(to, n)
	}
	if e.On {
		to = append(to, 1)
	}
	return to
}

// Machine as it truly stands in the fleet's rooms.
type Machine struct {
	Zone    string
	Cell    int
	Size    float64
	Replica bool
	Voter   bool
}

// Item is one machine of one request, as agreed.
type Item struct {
	Request string
	Machine string
	Asked   time.Duration // agreed time: one machine may be asked for again by one request
	Phase   string
	Fence   uint64
	Order   int // place among all items: that of asking
	Urgent  bool
	Lapses  time.Duration // true time, about: when it ends by itself
}

// Rules are what the operators allow.
type Rules struct {
	Cells, Reach, Shards, HoldersLeast int
	OutByZone, OutMost, VotersLeast    int
	PassedMost                         int
	Overtake                           int     // further grants that may pass a request: those under way, and its own retries
	Load                               float64 // truly there, in mean replicas
	Headroom                           float64
	Calm                               time.Duration
	Slack                              time.Duration // how old the news of a failure may be that a grant rests on
	Settle                             time.Duration
	Skew                               time.Duration // how far a leader's wall clock may be off
}
