// Package history checks what truly happened to pinned sessions against their promises S1 to S5 and S7. It knows none of
// the deciding code: it is told, event by event in the order of true time, what clients sent and got, what replicas ran
// for whom, what co-ordinators did, and what stood in the agreed log when.
package history

import (
	"encoding/binary"
	"fmt"
	"time"
)

// Kind of an event. The fields that belong to each are named with it; By is a co-ordinator.
type Kind uint8

const (
	// Capped says that Replica has N slots from now on.
	Capped Kind = iota
	// Sent is a request of a client: Request, Session, its Query (one number however often it comes back), Effect, By
	// the co-ordinator that it is sent to, Due.
	Sent
	// Arrived is the request at its co-ordinator: its place in the order is that of arriving there.
	Arrived
	// Begun says that By began the request, in Epoch with Seq.
	Begun
	// Runs says that Replica begins to run a part of the request.
	Runs
	// Ran says that it has ended there, and with On that it has taken effect.
	Ran
	// GivenUp says that By learnt that nothing more can come of the request it began.
	GivenUp
	// Answered says that By gave the client's answer away: Outcome, and with Served the Epoch; Why.
	Answered
	// Got is the client's end of it: Outcome, Why. Broken is what its own stack told it.
	Got
	// Left says that the client has waited long enough.
	Left
	// Stopped says that the process of By is stopped (On) or goes on.
	Stopped
	// Ended says that the process of By has ended (On), or began anew.
	Ended
	// Owned is the agreed state of Session after an entry: By owns it, Epoch, Phase.
	Owned
	// Freed says that Session was agreed to be free: Why.
	Freed
	// Closed is the end of the history: all was healed Quiet ago.
	Closed
)

var kinds = [...]string{"capped", "sent", "arrived", "begun", "runs", "ran", "given up", "answered", "got", "left", "stopped", "ended",
	"owned", "freed", "closed"}

func (k Kind) String() string { return kinds[k] }

// Effect of a query.
type Effect uint8

// Safe ones change nothing, Keyed ones may run again with the same effect, Unsafe ones may not.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// Outcome of a request, as its client was told.
type Outcome uint8

const (
	// Served is an answer of the query.
	Served Outcome = iota + 1
	// Refused says that it has not run, or may run again, and may come back.
	Refused
	// Failed says that it may have run, or can not be served.
	Failed
	// Broken is a connection that ended without an answer.
	Broken
)

var outcomes = [...]string{"", "served", "refused", "failed", "broken"}

func (o Outcome) String() string { return outcomes[o] }

// Phase of a session that is not free.
type Phase uint8

// The phases, as agreed.
const (
	Pinned Phase = iota + 1
	Offered
	Handed
)

// Event is one line of a history. Fields not named at its Kind are zero.
type Event struct {
	At      time.Duration // true time since the world began
	Due     time.Duration // true time
	Quiet   time.Duration
	Request uint64
	Epoch   uint64
	Seq     uint64
	Why     string
	Session int32
	Query   int32
	Replica int32
	By      int32
	N       int32
	Kind    Kind
	Effect  Effect
	Outcome Outcome
	Phase   Phase
	On      bool
}

func (e Event) String() string {
	return fmt.Sprintf("%10.4f %-8s request %d s%d query %d effect %d c%d r%d epoch %d seq %d phase %d n %d on %v %s %s", e.At.Seconds(), e.Kind,
		e.Request, e.Session, e.Query, e.Effect, e.By, e.Replica, e.Epoch, e.Seq, e.Phase, e.N, e.On, e.Outcome, e.Why)
}

// Append adds the event's bytes for a digest.
func (e *Event) Append(to []byte) []byte {
	for _, n := range [...]int64{int64(e.At), int64(e.Due), int64(e.Quiet), int64(e.Request), int64(e.Epoch), int64(e.Seq), int64(e.Session),
		int64(e.Query), int64(e.Replica), int64(e.By), int64(e.N)} {
		to = binary.AppendVarint(to, n)
	}
	on := byte(0)
	if e.On {
		on = 1
	}
	return append(append(to, byte(e.Kind), byte(e.Effect), byte(e.Outcome), byte(e.Phase), on), e.Why...)
}

// Rules are what a history is held to, in true time.
type Rules struct {
	// Slack is how long after its time, or after what ended it is known, an answer may be given by a process that was not
	// stopped meanwhile.
	Slack time.Duration
	// OfferFor is how long an offer, or a session that was handed and not adopted, may stand when nothing was amiss.
	OfferFor time.Duration
}

// Figures are what a history came to.
type Figures struct {
	Sent, Served, Refused, Failed, Broken, Left int
	Moves, Frees                                int
	Runs                                        int
	InUseMost                                   int
}
