// Package session holds the agreed state of all pinned sessions: the owner of each session, its epoch, the co-ordinator that it
// is offered to, and the state that a hand-over carries. It also holds the slots at the replicas (package pool). It is a part of
// the replicated state machine: deterministic, without clock, goroutine or I/O. All times are agreed time, which counts from the
// Unix epoch by the leader's clock.
package session

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"
)

// ID identifies a session. It is a hash of tenant and key, so that its size does not depend on their length.
type ID [16]byte

// IDOf returns the first 16 bytes of SHA-256 over tenant and key, each preceded by its length.
func IDOf(tenant int, key []byte) ID {
	var buf [192]byte // stays on the stack, and is long enough for most keys
	raw := buf[:0]
	raw = binary.BigEndian.AppendUint64(raw, 8)
	raw = binary.BigEndian.AppendUint64(raw, uint64(tenant))
	raw = binary.BigEndian.AppendUint64(raw, uint64(len(key)))
	sum := sha256.Sum256(append(raw, key...))
	return ID(sum[:16])
}

func (id ID) String() string { return hex.EncodeToString(id[:]) }

// MarshalText returns 32 hexadecimal digits.
func (id ID) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, id[:]), nil }

// UnmarshalText reads 32 hexadecimal digits.
func (id *ID) UnmarshalText(raw []byte) error {
	if len(raw) != 2*len(id) {
		return fmt.Errorf("session: an ID of %d bytes is not 32 hexadecimal digits", len(raw))
	}
	_, err := hex.Decode(id[:], raw)
	return err
}

// Phase is the state of a session in its life cycle.
type Phase uint8

// Phases of a session.
const (
	Free       Phase = iota // has no owner. Only its end is stored, for EndRetention
	Pinned                  // its owner executes its queries
	Offered                 // its owner executes its queries, and hands it over when none is in flight
	HandedOver              // its new owner may adopt it. No co-ordinator executes its queries until the adoption is agreed
)

func (p Phase) String() string {
	if p > HandedOver {
		return fmt.Sprintf("phase %d", uint8(p))
	}
	return [...]string{"free", "pinned", "offered", "handed"}[p]
}

// Record is the agreed state of one session. For a free session it has Epoch, Seq, Since and Reason as far as they are still known.
type Record struct {
	ID    ID
	Owner string
	To    string // offered: the co-ordinator that it is offered to
	// Source is the co-ordinator that gets a handed-over session back if the new owner declines it or is released. If it is "",
	// the session becomes free instead.
	Source string
	Epoch  uint64 // grows with each change of the owner. Free: the epoch that a claim has to name; the claim gets the next one
	Phase  Phase
	Seq    uint64 // number of queries begun, as of the last claim, hand-over or end
	State  []byte // handed over: what the hand-over carried. The new owner reads it before it adopts; it is dropped after that
	Lane   uint8
	Fence  uint64        // offered or handed over: the number of the offer
	Until  time.Duration // offered: the end of the offer. Handed over: when it returns to Source, or becomes free
	Since  time.Duration // start of the phase
	Reason string        // free: why it ended, to be told to its client
}

// ActKind is the kind of a change that a co-ordinator makes to a session or to slots.
type ActKind uint8

// Kinds of acts, each with the fields of Act that it needs.
const (
	Claim    ActKind = iota + 1 // takes a free session. Epoch as returned by State.Get
	HandOver                    // gives an offered session to its target; no query of it begins after this. Epoch, Fence, Seq, State, Lane
	Adopt                       // takes over a handed-over session. Epoch
	Decline                     // sent by the target: rejects an offer (its Epoch and Fence) or a handed-over session (Epoch)
	End                         // ends a session that the sender owns. Epoch, Seq, Reason
	Freed                       // the sender no longer uses the slots that the transfer with the number Fence takes from it
)

func (k ActKind) String() string {
	if k < Claim || k > Freed {
		return fmt.Sprintf("act %d", uint8(k))
	}
	return [...]string{"claim", "hand", "adopt", "decline", "end", "freed"}[k-1]
}

// Act is a change that a co-ordinator proposes. It is built from the co-ordinator's copy of the state, and built again if the copy
// changes before the act is seen in it: an act that names another epoch, or an offer that has ended, is refused.
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

// ActsBody is the body of a command of kind "acts", from one co-ordinator. Each act is applied or refused on its own.
type ActsBody struct {
	From string `json:"from"`
	Acts []Act  `json:"acts"`
}

// Offer offers a session to another co-ordinator. An Until of 0 stands for the longest time that the limits allow.
type Offer struct {
	ID    ID            `json:"id"`
	Epoch uint64        `json:"epoch"`
	From  string        `json:"from"` // its owner
	To    string        `json:"to"`
	Until time.Duration `json:"until,omitempty"`
}

// Withdrawal withdraws the offer with the number Fence.
type Withdrawal struct {
	ID    ID     `json:"id"`
	Epoch uint64 `json:"epoch"`
	Fence uint64 `json:"fence"`
}

// Shift moves slots at a replica. An empty From takes free slots at once. Otherwise a transfer with its own number begins, which
// lasts until From sends Freed; an empty To makes the slots free. With Until over 0 the slots are lent until that time.
type Shift struct {
	From    string        `json:"from,omitempty"`
	To      string        `json:"to,omitempty"`
	Replica string        `json:"replica"`
	N       int           `json:"n"`
	Until   time.Duration `json:"until,omitempty"`
}

// PlanBody is the body of a command of kind "plan", from the leader. Each part is applied or refused on its own.
type PlanBody struct {
	Offers             []Offer      `json:"offers,omitempty"`
	Withdrawals        []Withdrawal `json:"withdrawals,omitempty"`
	Shifts             []Shift      `json:"shifts,omitempty"`
	CancelledTransfers []uint64     `json:"backs,omitempty"` // numbers of transfers to cancel, unless their source has sent Freed
}

// ReleaseBody is the body of a command of kind "release", from the leader: it frees what a silent co-ordinator owned. At is the
// agreed time at which the co-ordinator had been silent for Silent; 0 stands for the time of application. From the proposal until
// it sees the result, the leader grants the co-ordinator no lease.
type ReleaseBody struct {
	Name   string        `json:"name"`
	Silent time.Duration `json:"silent"`
	At     time.Duration `json:"at,omitempty"`
}

// Limits are the operators' limits, as read from their file.
type Limits struct {
	Revision      int            `json:"revision"`
	Caps          map[string]int `json:"caps,omitempty"` // slots by replica; a replica that is not named has none
	InFlight      int            `json:"in_flight"`      // most sessions offered or handed over at a time; 0 allows no move
	PerMinute     int            `json:"per_minute"`     // most offers in any minute; 0 allows no move
	StepTimeout   time.Duration  `json:"offer_for"`      // longest time of each step of a move: offered, handed over, returned
	IdleTimeout   time.Duration  `json:"idle_for"`       // the owner ends a session that has had no query for this time
	Lease         time.Duration  `json:"lease"`          // duration of a lease; a co-ordinator acts for its sessions only while it has one
	Grace         time.Duration  `json:"grace"`          // after the lease. A co-ordinator that is silent for both and 1 % more may be released
	MaxSessions   int            `json:"sessions_most"`  // sessions in total
	MaxStateBytes int            `json:"state_most"`     // bytes of the state that a hand-over carries
	Slots         int            `json:"slots"`          // slots of one session at a replica: how many of its safe queries run in parallel
}

// LimitsBody is the body of a command of kind "limits".
type LimitsBody struct {
	Limits Limits `json:"limits"`
}

// TickBody is the body of a command of kind "tick", which only advances agreed time.
type TickBody struct{}

// Kinds of commands that State applies.
const (
	KindLimits  = "limits"
	KindActs    = "acts"
	KindPlan    = "plan"
	KindRelease = "release"
	KindTick    = "tick"
)
