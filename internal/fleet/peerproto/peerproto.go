// Package peerproto holds the messages that co-ordinators send each other beside the gossip: a follower's Poll for what was
// agreed, the Word that answers it, and an Ask that carries what a follower read in its operators' file. Pure: it only
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

// Version of all messages. One of another version is refused, whatever its body says.
const Version = 1

// Bounds. Encode keeps to them, and Decode refuses what does not.
const (
	// EntriesMost is the bytes of raw commands in one Word, but for a larger one that is alone. Twice as much makes one
	// answer hold a narrow link for longer than a lease may last; half as much takes a follower far behind twice as many
	// polls, which come at once.
	EntriesMost = 512 << 10
	// EntryMost is the bytes of one raw command, all that the raft group takes: the state machine's MaxEntrySize.
	EntryMost = 1 << 20
	// SnapshotMost is the bytes of a snapshot in one Word as it is; those of over PackOver go packed.
	SnapshotMost = 16 << 20
	// PackOver bytes a snapshot is packed. Twice as much: a narrow link is held for longer; half: programs that do not know
	// packed ones, beside newer ones, are cut off from smaller states.
	PackOver = 1 << 20
	// PackedMost is the bytes of a packed snapshot: what the gossip takes as one message, less a third for JSON. StateMost
	// is what it may hold. The largest state, with names of 64 bytes that do not resemble each other, has 15 MB
	// in 3.4 MB. A larger one can't be handed to a follower, and its voter says so.
	PackedMost = 5 << 20
	StateMost  = 64 << 20
	// EntryCount is the commands in one Word; more would cost more in framing than they carry.
	EntryCount = 4096
	// LaidMost is the drains of which one Poll tells. Limits of the plan keep those that live far under it.
	LaidMost = 4096
	// RequestsMost and NamesMost bound an Ask: requests, and names in each.
	RequestsMost = 1024
	NamesMost    = 16384
	// NameMost is the bytes of a name of a machine, and of a reason or cause.
	NameMost = 1024
	// PollMost is the bytes of a whole Poll or Ask, encoded.
	PollMost = 4 << 20
	// IdleMost is the idle sessions of which one Poll tells. Twice as many: polls of some 70 KB while one leaves; half: a plan
	// may have to take busy ones while there are idle ones.
	IdleMost = 1024
	// UnsafeMost is the open unsafe queries of which one Poll tells, those first that may be open for longest: in what a swap can't promise these
	// come first. Twice as many: 14 KB a poll of a busy one; half: a planner may offer a session that freezes for nothing.
	UnsafeMost = 256
	// OpenMost is for how long a query may be open at all: times beyond it are a fault of who tells them.
	OpenMost = 24 * time.Hour
	// WordMost is the bytes of a whole Word, encoded: a snapshot or entries grow by a third in JSON.
	WordMost = SnapshotMost/3*4 + 1<<20
)

// ErrVersion says that a message is of a version that is not known here. Its sender is newer, or is no co-ordinator.
var ErrVersion = errors.New("unknown version of a message")

// Message is Poll, Word, Ask or Acts.
type Message interface{ check() error }

// Laid is what a co-ordinator says of one live grant.
type Laid struct {
	Machine string `json:"machine"`
	Fence   uint64 `json:"fence"`
	Refused bool   `json:"refused,omitempty"` // the drain is not laid and will not be, for this fence
	Why     string `json:"why,omitempty"`     // of a refusal
}

// Poll asks the leader, or any voter while the leader is not known, for what was agreed after Index.
type Poll struct {
	From  string `json:"from"`
	No    uint64 `json:"no"` // grows from poll to poll of one process, and never repeats between its processes
	Index uint64 `json:"index"`
	Era   uint64 `json:"era,omitempty"` // of the log that Index is of; 0: the first
	Laid  []Laid `json:"laid,omitempty"`
	// Load is how many mean replicas the sender keeps busy; only with LoadKnown.
	Load      float64 `json:"load,omitempty"`
	LoadKnown bool    `json:"load_known,omitempty"`
	// Wall is what the sender's clock shows, since the Unix epoch, when it sends; 0: not told.
	Wall time.Duration `json:"wall,omitempty"`
	// Pinned is what the sender tells of its pinned sessions; nil: it keeps none.
	Pinned *Pinned `json:"pinned,omitempty"`
}

// Pinned is a co-ordinator's room for sessions, as it last counted.
type Pinned struct {
	Owned   int          `json:"owned"`          // sessions, by its own copy
	Open    int          `json:"open"`           // queries of sessions, waiting or running
	Queries int          `json:"queries"`        // at most so many may be open
	Memory  int64        `json:"memory"`         // bytes left for sessions
	Idle    []session.ID `json:"idle,omitempty"` // sessions without an open query, the longest first; told while it leaves
	Unsafe  []Open       `json:"unsafe,omitempty"`
}

// Open is a session with an open unsafe query, and for how long from now on that may be so.
type Open struct {
	ID   session.ID    `json:"id"`
	Left time.Duration `json:"left"`
}

// Entry is one raw command of the state machine with its index in the agreed log. Indices grow, but not each by one: the log
// has entries of its own that are no commands.
type Entry struct {
	Index uint64 `json:"index"`
	Raw   []byte `json:"raw"`
}

// Word answers the poll of number No. It has entries or a snapshot, not both; none when there is nothing new. One by
// which a voter only names the leader has Led false, and counts as no word of the raft group.
type Word struct {
	No     uint64 `json:"no"`
	From   string `json:"from"`
	Leader string `json:"leader,omitempty"` // empty: not known
	Term   uint64 `json:"term,omitempty"`
	Led    bool   `json:"led,omitempty"` // the sender led in this term when it answered
	Era    uint64 `json:"era,omitempty"` // of the sender's log; 0: the first
	// Unlisted says, with Led, that the agreed inventory does not have who polled: it is told what was agreed, and gets
	// no lease, since a leader that follows this one would not wait for it.
	Unlisted bool `json:"unlisted,omitempty"`
	// Since is the index that the entries follow on. Who stands before it has missed some and must not apply them.
	Since uint64 `json:"since,omitempty"`
	// Index is how far the sender's copy stands; with a snapshot, where that stands.
	Index    uint64  `json:"index"`
	Entries  []Entry `json:"entries,omitempty"`
	Snapshot []byte  `json:"snapshot,omitempty"`
	Packed   []byte  `json:"packed,omitempty"` // a snapshot that compress.Pack made smaller
	// More says that the Word was cut short at a bound: the next poll should come at once.
	More bool `json:"more,omitempty"`
}

// Ask hands the leader what a follower read in its operators' file. The state machine's revisions settle which is newer.
type Ask struct {
	From   string                   `json:"from"`
	Limits maintenance.LimitsBody   `json:"limits"`
	Asks   maintenance.RequestsBody `json:"asks"`
}

// Acts hands the leader what a co-ordinator wants agreed of its pinned sessions. No grows as that of polls does; the same
// message twice acts once.
type Acts struct {
	From string        `json:"from"`
	No   uint64        `json:"no"`
	Acts []session.Act `json:"acts"`
}

const (
	kindPoll byte = 'p'
	kindWord byte = 'w'
	kindAsk  byte = 'a'
	kindActs byte = 'c' // 's' is that of the seats, which package fleet reads by itself
)

// Whole puts a snapshot into the Word, packed if it is large, or says which bound it breaks.
func (w *Word) Whole(raw []byte) error {
	w.Snapshot, w.Packed = nil, nil
	if len(raw) <= PackOver {
		w.Snapshot = raw
		return nil
	}
	if len(raw) > StateMost {
		return fmt.Errorf("a state has %d bytes, %d at most", len(raw), StateMost)
	}
	packed, err := compress.Pack(raw)
	if err != nil {
		return err
	}
	if len(packed) > PackedMost {
		return fmt.Errorf("a state of %d bytes has %d packed, %d at most", len(raw), len(packed), PackedMost)
	}
	w.Packed = packed
	return nil
}

// State is the snapshot that the Word brings, unpacked; none is nil.
func (w Word) State() ([]byte, error) {
	if len(w.Packed) == 0 {
		return w.Snapshot, nil
	}
	return compress.Unpack(w.Packed, StateMost)
}

// Fill puts as many entries into the Word as its bounds allow, in order, and sets More if some stay for the next one.
// An entry that is over EntryMost by itself is an error: it could never be sent.
func (w *Word) Fill(entries []Entry) error {
	w.Entries, w.More = nil, false
	total := 0
	for i, e := range entries {
		if len(e.Raw) > EntryMost {
			return fmt.Errorf("entry %d has %d bytes, %d at most", e.Index, len(e.Raw), EntryMost)
		}
		if i > 0 && total+len(e.Raw) > EntriesMost || i == EntryCount {
			w.More = true
			break
		}
		total += len(e.Raw)
		w.Entries = entries[:i+1]
	}
	return nil
}

// Encode gives the bytes of a message, or says which bound it breaks.
func Encode(m Message) ([]byte, error) {
	kind, most := kindPoll, PollMost
	switch m.(type) {
	case Poll:
	case Word:
		kind, most = kindWord, WordMost
	case Ask:
		kind = kindAsk
	case Acts:
		kind = kindActs
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
	if len(body)+2 > most {
		return nil, fmt.Errorf("a message has %d bytes, %d at most", len(body)+2, most)
	}
	return append([]byte{Version, kind}, body...), nil
}

// Decode reads a message. It refuses in words: another version (ErrVersion), another kind, what is over its bounds,
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
		return read[Poll](raw, "poll", PollMost)
	case kindWord:
		return read[Word](raw, "word", WordMost)
	case kindAsk:
		return read[Ask](raw, "ask", PollMost)
	case kindActs:
		return read[Acts](raw, "message of acts", PollMost)
	}
	return nil, fmt.Errorf("unknown kind of message: %q", raw[1])
}

func read[M Message](raw []byte, name string, most int) (Message, error) {
	if len(raw) > most {
		return nil, fmt.Errorf("a %s has %d bytes, %d at most", name, len(raw), most)
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
		return nil, fmt.Errorf("a %s was refused: %w", name, err)
	}
	return m, nil
}
