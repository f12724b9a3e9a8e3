// Package peerproto holds the messages that co-ordinators send each other beside the gossip: a follower's Poll for what was
// agreed, the Reply that answers it, and a FileReport that carries what a follower read in its operators' file. Pure: it only
// encodes and decodes. A message is one byte of version, one of kind, and a JSON body.
package peerproto

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"birchcart/internal/fleet/compress"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/session"
)

// Version of all messages. One of another version is rejected, whatever its body says.
const Version = 1

// Bounds. Encode keeps to them, and Decode rejects what does not.
const (
	// MaxEntriesSize is the bytes of raw commands in one Reply, but for a larger one that is alone. Twice as much makes one
	// answer hold a narrow link for longer than a lease may last; half as much takes a follower far behind twice as many
	// polls, which come at once.
	MaxEntriesSize = 512 << 10
	// MaxEntrySize is the bytes of one raw command, all that the raft group takes: the state machine's MaxEntrySize.
	MaxEntrySize = 1 << 20
	// MaxSnapshotSize is the bytes of a snapshot in one Reply as it is; those of over CompressAbove go packed.
	MaxSnapshotSize = 16 << 20
	// CompressAbove bytes a snapshot is packed. Twice as much: a narrow link is held for longer; half: programs that do not know
	// packed ones, beside newer ones, are cut off from smaller states.
	CompressAbove = 1 << 20
	// MaxCompressedSize is the bytes of a packed snapshot: what the gossip takes as one message, less a third for JSON. MaxStateSize
	// is what it may hold. The largest state, with names of 64 bytes that do not resemble each other, has 15 MB
	// in 3.4 MB. A larger one can't be handed to a follower, and its voter says so.
	MaxCompressedSize = 5 << 20
	MaxStateSize      = 64 << 20
	// MaxEntries is the commands in one Reply; more would cost more in framing than they carry.
	MaxEntries = 4096
	// MaxDrains is the drains of which one Poll reports. Limits of the plan keep those that live far under it.
	MaxDrains = 4096
	// MaxRequests and MaxNames bound a FileReport: requests, and names in each.
	MaxRequests = 1024
	MaxNames    = 16384
	// MaxNameLength is the bytes of a name of a machine, and of a reason or cause.
	MaxNameLength = 1024
	// MaxPollSize is the bytes of an encoded Poll or FileReport.
	MaxPollSize = 4 << 20
	// MaxIdleSessions is the idle sessions of which one Poll reports. Twice as many: polls of some 70 KB while one leaves; half: a plan
	// may have to take busy ones while there are idle ones.
	MaxIdleSessions = 1024
	// MaxUnsafeQueries is the open unsafe queries of which one Poll reports, those first that may be open for longest: in what a swap can't promise these
	// come first. Twice as many: 14 KB a poll of a busy one; half: a planner may offer a session that freezes for nothing.
	MaxUnsafeQueries = 256
	// MaxOpenTime is for how long a query may be open at all: times beyond it are a fault of the sender.
	MaxOpenTime = 24 * time.Hour
	// MaxReplySize is the bytes of an encoded Reply: a snapshot or entries grow by a third in JSON.
	MaxReplySize = MaxSnapshotSize/3*4 + 1<<20
)

// ErrVersion says that a message is of a version that is not known here. Its sender is newer, or is no co-ordinator.
var ErrVersion = errors.New("unknown version of a message")

// Message is Poll, Reply, FileReport or SessionActions.
type Message interface{ check() error }

// DrainStatus is what a co-ordinator says of one live grant.
type DrainStatus struct {
	Machine  string `json:"machine"`
	Fence    uint64 `json:"fence"`
	Rejected bool   `json:"refused,omitempty"` // the drain is not applied and will not be, for this fence
	Reason   string `json:"why,omitempty"`     // of a rejection
}

// Poll asks the leader, or any voter while the leader is not known, for what was agreed after Index.
type Poll struct {
	From     string        `json:"from"`
	Sequence uint64        `json:"no"` // grows from poll to poll of one process, and never repeats between its processes
	Index    uint64        `json:"index"`
	Epoch    uint64        `json:"era,omitempty"` // of the log that Index is of; 0: the first
	Drains   []DrainStatus `json:"laid,omitempty"`
	// Load is how many mean replicas the sender keeps busy; only with LoadKnown.
	Load      float64 `json:"load,omitempty"`
	LoadKnown bool    `json:"load_known,omitempty"`
	// Wall is what the sender's clock shows, since the Unix epoch, when it sends; 0: not known.
	Wall time.Duration `json:"wall,omitempty"`
	// Sessions is what the sender reports of its pinned sessions; nil: it keeps none.
	Sessions *SessionLoad `json:"pinned,omitempty"`
}

// SessionLoad is a co-ordinator's capacity for sessions, as it last counted.
type SessionLoad struct {
	Owned   int           `json:"owned"`          // sessions, by its own copy
	Open    int           `json:"open"`           // queries of sessions, waiting or running
	Queries int           `json:"queries"`        // at most so many may be open
	Memory  int64         `json:"memory"`         // bytes left for sessions
	Idle    []session.ID  `json:"idle,omitempty"` // sessions without an open query, the longest first; reported while it leaves
	Unsafe  []UnsafeQuery `json:"unsafe,omitempty"`
}

// UnsafeQuery is a session with an open unsafe query, and for how long from now on that may be so.
type UnsafeQuery struct {
	ID       session.ID    `json:"id"`
	TimeLeft time.Duration `json:"left"`
}

// Entry is one raw command of the state machine with its index in the agreed log. Indices grow, but not each by one: the log
// has entries of its own that are no commands.
type Entry struct {
	Index uint64 `json:"index"`
	Raw   []byte `json:"raw"`
}

// Reply answers the poll of number No. It has entries or a snapshot, not both; none when there is nothing new. One by
// which a voter only names the leader has Led false, and counts as no answer of the raft group.
type Reply struct {
	Sequence   uint64 `json:"no"`
	From       string `json:"from"`
	Leader     string `json:"leader,omitempty"` // empty: not known
	Term       uint64 `json:"term,omitempty"`
	FromLeader bool   `json:"led,omitempty"` // the sender led in this term when it answered
	Epoch      uint64 `json:"era,omitempty"` // of the sender's log; 0: the first
	// NotInInventory says, with Led, that the agreed inventory does not have who polled: it is sent what was agreed, and gets
	// no lease, since a leader that follows this one would not wait for it.
	NotInInventory bool `json:"unlisted,omitempty"`
	// After is the index that the entries follow on. Who stands before it has missed some and must not apply them.
	After uint64 `json:"since,omitempty"`
	// Index is how far the sender's copy stands; with a snapshot, where that stands.
	Index    uint64  `json:"index"`
	Entries  []Entry `json:"entries,omitempty"`
	Snapshot []byte  `json:"snapshot,omitempty"`
	Packed   []byte  `json:"packed,omitempty"` // a snapshot that compress.Pack made smaller
	// Truncated says that the Reply was cut short at a bound: the next poll should come at once.
	Truncated bool `json:"more,omitempty"`
}

// FileReport hands the leader what a follower read in its operators' file. The state machine's revisions settle which is newer.
type FileReport struct {
	From     string                   `json:"from"`
	Limits   maintenance.LimitsBody   `json:"limits"`
	Requests maintenance.RequestsBody `json:"asks"`
}

// SessionActions hands the leader what a co-ordinator wants agreed of its pinned sessions. No grows as that of polls does; the same
// message twice acts once.
type SessionActions struct {
	From     string        `json:"from"`
	Sequence uint64        `json:"no"`
	Actions  []session.Act `json:"acts"`
}

const (
	kindPoll           byte = 'p'
	kindReply          byte = 'w'
	kindFileReport     byte = 'a'
	kindSessionActions byte = 'c' // 's' is that of the seats, which package fleet reads by itself
)

// SetSnapshot puts a snapshot into the Reply, packed if it is large, or says which bound it breaks.
func (w *Reply) SetSnapshot(raw []byte) error {
	w.Snapshot, w.Packed = nil, nil
	if len(raw) <= CompressAbove {
		w.Snapshot = raw
		return nil
	}
	if len(raw) > MaxStateSize {
		return fmt.Errorf("a state has %d bytes, %d at most", len(raw), MaxStateSize)
	}
	packed, err := compress.Pack(raw)
	if err != nil {
		return err
	}
	if len(packed) > MaxCompressedSize {
		return fmt.Errorf("a state of %d bytes has %d packed, %d at most", len(raw), len(packed), MaxCompressedSize)
	}
	w.Packed = packed
	return nil
}

// DecodeSnapshot is the snapshot that the Reply brings, unpacked; none is nil.
func (w Reply) DecodeSnapshot() ([]byte, error) {
	if len(w.Packed) == 0 {
		return w.Snapshot, nil
	}
	return compress.Unpack(w.Packed, MaxStateSize)
}

// SetEntries puts as many entries into the Reply as its bounds allow, in order, and sets More if some stay for the next one.
// An entry that is over MaxEntrySize by itself is an error: it could never be sent.
func (w *Reply) SetEntries(entries []Entry) error {
	w.Entries, w.Truncated = nil, false
	total := 0
	for i, e := range entries {
		if len(e.Raw) > MaxEntrySize {
			return fmt.Errorf("entry %d has %d bytes, %d at most", e.Index, len(e.Raw), MaxEntrySize)
		}
		if i > 0 && total+len(e.Raw) > MaxEntriesSize || i == MaxEntries {
			w.Truncated = true
			break
		}
		total += len(e.Raw)
		w.Entries = entries[:i+1]
	}
	return nil
}

// Encode gives the bytes of a message, or says which bound it breaks.
func Encode(m Message) ([]byte, error) {
	kind, limit := kindPoll, MaxPollSize
	switch m.(type) {
	case Poll:
	case Reply:
		kind, limit = kindReply, MaxReplySize
	case FileReport:
		kind = kindFileReport
	case SessionActions:
		kind = kindSessionActions
	default:
		return nil, fmt.Errorf("%T is not a message", m)
	}
	if err := m.check(); err != nil {
		return nil, err
	}
	body, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("a message could not be encoded: %w", err)
	}
	if len(body)+2 > limit {
		return nil, fmt.Errorf("a message has %d bytes, %d at most", len(body)+2, limit)
	}
	return append([]byte{Version, kind}, body...), nil
}

// Decode reads a message. It rejects with a reason: another version (ErrVersion), another kind, what is over its bounds,
// what is torn, and fields that this version does not have.
func Decode(raw []byte) (Message, error) {
	if len(raw) < 2 {
		return nil, fmt.Errorf("a message has %d bytes, 2 at least", len(raw))
	}
	if raw[0] != Version {
		return nil, fmt.Errorf("%w: %d, known is %d", ErrVersion, raw[0], Version)
	}
	switch raw[1] {
	case kindPoll:
		return decodeBody[Poll](raw, "poll", MaxPollSize)
	case kindReply:
		return decodeBody[Reply](raw, "reply", MaxReplySize)
	case kindFileReport:
		return decodeBody[FileReport](raw, "ask", MaxPollSize)
	case kindSessionActions:
		return decodeBody[SessionActions](raw, "message of acts", MaxPollSize)
	}
	return nil, fmt.Errorf("unknown kind of message: %q", raw[1])
}

func decodeBody[M Message](raw []byte, name string, limit int) (Message, error) {
	if len(raw) > limit {
		return nil, fmt.Errorf("a %s has %d bytes, %d at most", name, len(raw), limit)
	}
	var m M
	d := json.NewDecoder(bytes.NewReader(raw[2:]))
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil {
		return nil, fmt.Errorf("a %s could not be read: %w", name, err)
	}
	if rest := len(raw) - 2 - int(d.InputOffset()); rest > 0 {
		return nil, fmt.Errorf("a %s has %d bytes too many", name, rest)
	}
	if err := m.check(); err != nil {
		return nil, fmt.Errorf("a %s was rejected: %w", name, err)
	}
	return m, nil
}
