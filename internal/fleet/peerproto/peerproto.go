// Package peerproto defines the messages that co-ordinators exchange in addition to gossip: the Poll by which a follower
// asks for newly agreed commands, the Reply to it, the FileReport with the contents of a follower's operators' file, and the
// SessionActions that a co-ordinator proposes. The package only encodes and decodes. An encoded message consists of one byte
// for the version, one byte for the kind, and a JSON body.
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

// Version is the version of all messages. A message of another version is rejected, whatever its body.
const Version = 1

// Limits of messages. Encode and Decode return an error for a message that exceeds them.
const (
	// MaxEntriesSize is the maximum total size in bytes of the raw commands in one Reply, unless the Reply has a single, larger
	// one. With twice as much, one Reply would occupy a narrow link for longer than a lease may last. With half as much, a
	// follower that is far behind would need twice as many polls, which it sends without delay.
	MaxEntriesSize = 512 << 10
	// MaxEntrySize is the maximum size in bytes of one raw command. It equals statemachine.MaxEntrySize, the largest command
	// that the raft group accepts.
	MaxEntrySize = 1 << 20
	// MaxSnapshotSize is the maximum size in bytes of an uncompressed snapshot in one Reply. SetSnapshot compresses snapshots
	// larger than CompressAbove.
	MaxSnapshotSize = 16 << 20
	// CompressAbove is the size in bytes above which a snapshot is compressed. Twice as much would occupy a narrow link for
	// longer. Half as much would send smaller states in a form that older programs, which may run beside newer ones, cannot
	// read.
	CompressAbove = 1 << 20
	// MaxCompressedSize is the maximum size in bytes of a compressed snapshot: the largest message that gossip accepts, less a
	// third for the encoding in JSON. MaxStateSize is the maximum size after decompression. The largest state, with dissimilar
	// names of 64 bytes, has 15 MB, compressed 3.4 MB. A larger state cannot be sent to a follower, and the voter reports that.
	MaxCompressedSize = 5 << 20
	MaxStateSize      = 64 << 20
	// MaxEntries is the maximum number of commands in one Reply. With more, the framing would outweigh the contents.
	MaxEntries = 4096
	// MaxDrains is the maximum number of drains in one Poll. The limits of the maintenance plan keep the number of live drains
	// far below it.
	MaxDrains = 4096
	// MaxRequests is the maximum number of requests in a FileReport, and MaxNames the maximum number of names in a request.
	MaxRequests = 1024
	MaxNames    = 16384
	// MaxNameLength is the maximum length in bytes of a name, an id or a reason.
	MaxNameLength = 1024
	// MaxPollSize is the maximum size in bytes of an encoded Poll, FileReport or SessionActions.
	MaxPollSize = 4 << 20
	// MaxIdleSessions is the maximum number of idle sessions in one Poll. Twice as many would make polls of about 70 KB while
	// the sender leaves. With half as many, a plan might have to move busy sessions although there are idle ones.
	MaxIdleSessions = 1024
	// MaxUnsafeQueries is the maximum number of open unsafe queries in one Poll. Those that may stay open for longest come
	// first, because they are the least likely to end in time for a swap. Twice as many would make polls of 14 KB from a busy
	// co-ordinator. With half as many, a planner might offer a session that then freezes in vain.
	MaxUnsafeQueries = 256
	// MaxOpenTime is the maximum time for which a query may be open. A longer time in a message is a fault of the sender.
	MaxOpenTime = 24 * time.Hour
	// MaxReplySize is the maximum size in bytes of an encoded Reply. A snapshot or entries grow by a third in JSON.
	MaxReplySize = MaxSnapshotSize/3*4 + 1<<20
)

// ErrVersion says that the version of a message is unknown. The sender is newer, or is not a co-ordinator.
var ErrVersion = errors.New("unknown message version")

// Message is Poll, Reply, FileReport or SessionActions.
type Message interface{ check() error }

// DrainStatus is what a co-ordinator reports about one live grant of a drain.
type DrainStatus struct {
	Machine  string `json:"machine"`
	Fence    uint64 `json:"fence"`
	Rejected bool   `json:"refused,omitempty"` // the drain was not applied and will not be under this fencing number
	Reason   string `json:"why,omitempty"`     // why the drain was rejected
}

// Poll asks the leader, or any voter while the leader is unknown, for the commands that were agreed after Index.
type Poll struct {
	From     string        `json:"from"`
	Sequence uint64        `json:"no"` // increases with each poll, and is never reused after a restart
	Index    uint64        `json:"index"`
	Epoch    uint64        `json:"era,omitempty"` // epoch of the log to which Index belongs; 0: the first
	Drains   []DrainStatus `json:"laid,omitempty"`
	// Load is the sender's load, as the number of average replicas that it keeps busy. It is valid only with LoadKnown.
	Load      float64 `json:"load,omitempty"`
	LoadKnown bool    `json:"load_known,omitempty"`
	// Wall is the sender's wall clock at the time of sending, since the Unix epoch; 0: unknown.
	Wall time.Duration `json:"wall,omitempty"`
	// Sessions is the sender's load of pinned sessions; nil if it keeps none.
	Sessions *SessionLoad `json:"pinned,omitempty"`
}

// SessionLoad is a co-ordinator's last count of its sessions and of its capacity for them.
type SessionLoad struct {
	Owned   int           `json:"owned"`          // sessions that it owns by its own copy of the state
	Open    int           `json:"open"`           // open queries of sessions, waiting or running
	Queries int           `json:"queries"`        // maximum number of open queries
	Memory  int64         `json:"memory"`         // bytes still available for sessions
	Idle    []session.ID  `json:"idle,omitempty"` // sessions without an open query, the longest idle first; reported while the sender leaves
	Unsafe  []UnsafeQuery `json:"unsafe,omitempty"`
}

// UnsafeQuery names a session with an open unsafe query, and the time for which the query may remain open.
type UnsafeQuery struct {
	ID       session.ID    `json:"id"`
	TimeLeft time.Duration `json:"left"`
}

// Entry is one raw command of the state machine with its index in the agreed log. Indexes increase but may have gaps,
// because the log also has entries that are not commands.
type Entry struct {
	Index uint64 `json:"index"`
	Raw   []byte `json:"raw"`
}

// Reply answers the poll of the same Sequence. It has entries or a snapshot, not both, and neither if there is nothing new.
// A Reply in which a voter only names the leader has FromLeader false, and does not count as an answer of the raft group.
type Reply struct {
	Sequence   uint64 `json:"no"`
	From       string `json:"from"`
	Leader     string `json:"leader,omitempty"` // empty: unknown
	Term       uint64 `json:"term,omitempty"`
	FromLeader bool   `json:"led,omitempty"` // the sender was the leader in this term when it answered
	Epoch      uint64 `json:"era,omitempty"` // epoch of the sender's log; 0: the first
	// NotInInventory says, with FromLeader, that the polling co-ordinator is not in the agreed inventory. It receives the
	// agreed commands but no lease, because a later leader would not wait for that lease to expire.
	NotInInventory bool `json:"unlisted,omitempty"`
	// After is the index that the entries follow. A follower whose index is lower has missed entries and must not apply these.
	After uint64 `json:"since,omitempty"`
	// Index is the last index that the sender's copy has applied; with a snapshot, the index of the snapshot.
	Index    uint64  `json:"index"`
	Entries  []Entry `json:"entries,omitempty"`
	Snapshot []byte  `json:"snapshot,omitempty"`
	Packed   []byte  `json:"packed,omitempty"` // a snapshot compressed by compress.Pack
	// Truncated says that the Reply was cut off at a limit. The next poll should follow without delay.
	Truncated bool `json:"more,omitempty"`
}

// FileReport sends the leader what a follower read in its operators' file. The revisions that the state machine holds decide
// which contents are newer.
type FileReport struct {
	From     string                   `json:"from"`
	Limits   maintenance.LimitsBody   `json:"limits"`
	Requests maintenance.RequestsBody `json:"asks"`
}

// SessionActions sends the leader the actions on pinned sessions that a co-ordinator proposes. Sequence increases like that
// of polls. The same message received twice takes effect once.
type SessionActions struct {
	From     string        `json:"from"`
	Sequence uint64        `json:"no"`
	Actions  []session.Act `json:"acts"`
}

const (
	kindPoll           byte = 'p'
	kindReply          byte = 'w'
	kindFileReport     byte = 'a'
	kindSessionActions byte = 'c' // 's' is the kind of the seats message, which package fleet decodes
)

// SetSnapshot puts a snapshot into the Reply, compressed if it is larger than CompressAbove. It returns an error that names
// the limit if the snapshot is too large.
func (r *Reply) SetSnapshot(raw []byte) error {
	r.Snapshot, r.Packed = nil, nil
	if len(raw) <= CompressAbove {
		r.Snapshot = raw
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
	r.Packed = packed
	return nil
}

// DecodeSnapshot returns the uncompressed snapshot of the Reply, or nil if it has none.
func (r Reply) DecodeSnapshot() ([]byte, error) {
	if len(r.Packed) == 0 {
		return r.Snapshot, nil
	}
	return compress.Unpack(r.Packed, MaxStateSize)
}

// SetEntries puts as many entries into the Reply as the limits allow, in order, and sets Truncated if some are left for the
// next one. It returns an error for an entry larger than MaxEntrySize, because that entry could never be sent.
func (r *Reply) SetEntries(entries []Entry) error {
	r.Entries, r.Truncated = nil, false
	total := 0
	for i, e := range entries {
		if len(e.Raw) > MaxEntrySize {
			return fmt.Errorf("entry %d has %d bytes, %d at most", e.Index, len(e.Raw), MaxEntrySize)
		}
		if i > 0 && total+len(e.Raw) > MaxEntriesSize || i == MaxEntries {
			r.Truncated = true
			break
		}
		total += len(e.Raw)
		r.Entries = entries[:i+1]
	}
	return nil
}

// Encode returns the bytes of a message, or an error that names the limit that the message exceeds.
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

// Decode decodes a message. It returns ErrVersion for another version, and an error for an unknown kind, a message that
// exceeds a limit, truncated data, and fields that this version does not have.
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
		return decodeBody[FileReport](raw, "file report", MaxPollSize)
	case kindSessionActions:
		return decodeBody[SessionActions](raw, "message of session actions", MaxPollSize)
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
		return nil, fmt.Errorf("a %s could not be decoded: %w", name, err)
	}
	if rest := len(raw) - 2 - int(d.InputOffset()); rest > 0 {
		return nil, fmt.Errorf("a %s has %d bytes too many", name, rest)
	}
	if err := m.check(); err != nil {
		return nil, fmt.Errorf("a %s was rejected: %w", name, err)
	}
	return m, nil
}
