// Package session is the agreed state of all pinned sessions: who owns each, in which epoch, to whom it is offered, and
// with what it is handed on; with it, the slots at the replicas (package pool). It is a part of the state machine: a pure state
// machine without clock, goroutine or I/O. All times are agreed time, since the Unix epoch by the leader's clock.
package session

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"
)

// ID of a session: what is agreed of its tenant and key, bounded however long they are.
type ID [16]byte

// IDOf is the first 16 bytes of SHA-256 over tenant and key, each with its length before it.
func IDOf(tenant int, key []byte) ID {
	var buf [192]byte // on the stack for most keys
	raw := buf[:0]
	raw = binary.BigEndian.AppendUint64(raw, 8)
	raw = binary.BigEndian.AppendUint64(raw, uint64(tenant))
	raw = binary.BigEndian.AppendUint64(raw, uint64(len(key)))
	sum := sha256.Sum256(append(raw, key...))
	return ID(sum[:16])
}

func (id ID) String() string { return hex.EncodeToString(id[:]) }

// MarshalText gives 32 hexadecimal digits.
func (id ID) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, id[:]), nil }

// UnmarshalText takes 32 hexadecimal digits.
func (id *ID) UnmarshalText(raw []byte) error {
	if len(raw) != 2*len(id) {
		return fmt.Errorf("session: an id of %d bytes", len(raw))
	}
	_, err := hex.Decode(id[:], raw)
	return err
}

// Phase of a session.
type Phase uint8

// Phases of a session.
const (
	Free       Phase = iota // no one's: not stored, but for how it ended, for a while
	Pinned                  // the owner acts for it
	Offered                 // the owner acts for it, and hands it to another when nothing of it is open
	HandedOver              // its new owner may adopt it; no one acts for it before that is seen in the state
)

func (p Phase) String() string {
	if p > HandedOver {
		return fmt.Sprintf("phase %d", uint8(p))
	}
	return [...]string{"free", "pinned", "offered", "handed"}[p]
}

// Record is all that is agreed of a session. Of a free one it has Epoch, Seq, Since and Why as far as they are still known.
type Record struct {
	ID    ID
	Owner string
	To    string // offered: the target
	// Source of a handed one, who gets it back if its owner declines or is released; "" if it would be free then.
	Source string
	Epoch  uint64 // grows with each change of the owner. Of a free one: what a claim has to name, one less than it gets
	Phase  Phase
	Seq    uint64 // queries begun, as last agreed: at a claim, a hand or an end
	State  []byte // handed: what the hand carried. The adopter takes it before it adopts; it is not kept after that
	Lane   uint8
	Fence  uint64        // offered or handed: the number of the offer
	Until  time.Duration // offered: the end of the offer. Handed: when it goes back, or is free
	Since  time.Duration // of the phase
	Reason string        // free: why it ended, for its client
}

// ActKind is what a co-ordinator does with a session of its own, or with slots.
type ActKind uint8

// Kinds of acts.
const (
	Claim    ActKind = iota + 1 // a free one; Epoch as Get gives it
	HandOver                    // an offered one, frozen, to its target; Epoch, Fence, Seq, State, Lane
	Adopt                       // a handed one; Epoch
	Decline                     // the target's: an offered one (Epoch and Fence of the offer), or a handed one (Epoch)
	End                         // one of its own; Epoch, Seq, Why
	Freed                       // slots: the transfer Fence, from it, leaves it no more in use than what it holds
)

func (k ActKind) String() string {
	if k < Claim || k > Freed {
		return fmt.Sprintf("act %d", uint8(k))
	}
	return [...]string{"claim", "hand", "adopt", "decline", "end", "freed"}[k-1]
}

// Act of a co-ordinator. It is formed from the state as its copy has it, anew if that changes before the act was seen in
// it: one of another epoch, or of an offer that is over, is refused.
type Act struct {
	Kind   ActKind `json:"kind"`
	ID     ID      `json:"id,omitzero"`
	Epoch  uint64  `json:"epoch,omitempty"`
	Fence  uint64  `json:"fence,omitempty"`
	Seq    uint64  `json:"seq,omitempty"`
	State  []byte  `json:"state,omitempty"`
	Lane   uint8   `json:"lane,omitempty"`
	Reason string  `json:"why,omitempty"`
}

// ActsBody of kind "acts", from one co-ordinator. Each act stands alone: what is refused changes nothing of the others.
type ActsBody struct {
	From string `json:"from"`
	Acts []Act  `json:"acts"`
}

// Offer of a session to another co-ordinator. Until 0 is as long as the limits allow.
type Offer struct {
	ID    ID            `json:"id"`
	Epoch uint64        `json:"epoch"`
	From  string        `json:"from"` // its owner
	To    string        `json:"to"`
	Until time.Duration `json:"until,omitempty"`
}

// Withdrawal of an offer, by its number.
type Withdrawal struct {
	ID    ID     `json:"id"`
	Epoch uint64 `json:"epoch"`
	Fence uint64 `json:"fence"`
}

// Shift of slots at a replica. From "" takes free ones, at once. Else a transfer begins, with a number of its own, that
// goes on until From says Freed; To "" frees them. Until over 0 lends them until that time.
type Shift struct {
	From    string        `json:"from,omitempty"`
	To      string        `json:"to,omitempty"`
	Replica string        `json:"replica"`
	N       int           `json:"n"`
	Until   time.Duration `json:"until,omitempty"`
}

// PlanBody of kind "plan", from the leader. Each part of it stands alone.
type PlanBody struct {
	Offers             []Offer      `json:"offers,omitempty"`
	Withdrawals        []Withdrawal `json:"withdrawals,omitempty"`
	Shifts             []Shift      `json:"shifts,omitempty"`
	CancelledTransfers []uint64     `json:"backs,omitempty"` // transfers that are called off, if their source has not said Freed
}

// ReleaseBody of kind "release", from the leader: what a silent co-ordinator owned is free. At is the agreed time at
// which it had been silent for Silent; 0 is the time of application. The leader gives it no lease from the proposal on,
// until it has seen what came of it.
type ReleaseBody struct {
	Name   string        `json:"name"`
	Silent time.Duration `json:"silent"`
	At     time.Duration `json:"at,omitempty"`
}

// Limits are what the operators allow, from their file.
type Limits struct {
	Revision      int            `json:"revision"`
	Caps          map[string]int `json:"caps,omitempty"` // slots by replica; one that is not named has none
	InFlight      int            `json:"in_flight"`      // offered or handed at once; 0 begins no move
	PerMinute     int            `json:"per_minute"`     // offers in any minute; 0 begins no move
	StepTimeout   time.Duration  `json:"offer_for"`      // the longest time of each step of a move: offered, handed, handed back
	IdleTimeout   time.Duration  `json:"idle_for"`       // the owner ends a session that had no query for so long
	Lease         time.Duration  `json:"lease"`          // of a co-ordinator's part in the fleet
	Grace         time.Duration  `json:"grace"`          // after its lease. Silent for both and 1 % longer, it may be released
	MaxSessions   int            `json:"sessions_most"`  // in all
	MaxStateBytes int            `json:"state_most"`     // bytes in what a hand carries
	Slots         int            `json:"slots"`          // of one session at a replica: safe queries beside each other
}

// LimitsBody of kind "limits".
type LimitsBody struct {
	Limits Limits `json:"limits"`
}

// TickBody of kind "tick" only moves agreed time.
type TickBody struct{}

// Kinds of commands of the part.
const (
	KindLimits  = "limits"
	KindActs    = "acts"
	KindPlan    = "plan"
	KindRelease = "release"
	KindTick    = "tick"
)
