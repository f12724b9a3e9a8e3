// Package statemachine is the replicated state machine, the one deterministic state that the agreed log of the co-ordinators is applied to: an envelope of
// versioned commands around the parts that decide. A command acts once, fencing numbers only grow, agreed time never
// goes back, and the same commands give the same bytes at every co-ordinator. It is pure: no clock, goroutine or I/O,
// and not for use by two goroutines at once, not even to read.
package statemachine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"birchcart/internal/fleet/compress"
)

// Version of the commands and of the snapshot. Another one is refused in words, never guessed.
const Version = 1

const (
	// IDRetention is how long, in agreed time, the id of a command is kept; a command older than that is refused, so that
	// one forgotten can not act again. Twice too short: a proposal that sat in a deposed leader's log is refused as
	// stale and proposed again; twice too long: twice the ids in each snapshot.
	IDRetention = 10 * time.Minute
	// MaxRetainedIDs ids are kept. The oldest goes first, and with it all commands as old as it was are refused. At 100
	// commands a second it holds for IDRetention.
	MaxRetainedIDs = 65_536
	// MaxCommandSize bytes in a command as it is read. An operators' file that names 10,000 machines a few times takes some 2 MB;
	// inventories come in parts, see lead.
	MaxCommandSize = 4 << 20
	// MaxEntrySize bytes of a command as it lies in the log, packed or not: what the raft group takes, and what one word to a
	// follower may bring. Twice as much holds a narrow link between voters for longer than an election takes; half as much
	// refuses files of some 6,000 names that do not resemble each other.
	MaxEntrySize = 1 << 20
	// CompressAbove bytes a command is packed. Twice as much: larger entries where the links are narrow; half: more entries that a
	// program which does not know them yet halts at.
	CompressAbove = 256 << 10
	// MaxTime since the epoch is a time in the year 2220: past it, sums of times would overflow.
	MaxTime = 250 * 365 * 24 * time.Hour
	// MaxIDLength bytes in an id.
	MaxIDLength = 128
)

// Errors of Apply.
var (
	ErrRejected  = errors.New("statemachine: refused")                           // by the part; only index and time moved
	ErrDuplicate = errors.New("statemachine: this command was applied before")   // only index and time moved
	ErrStale     = errors.New("statemachine: older than what is remembered")     // only the index moved
	ErrVersion   = errors.New("statemachine: not of a version known here")       // this instance's part in the fleet halts
	ErrIndex     = errors.New("statemachine: index is not past the one applied") // nothing moved
	// ErrUnknown is what a part wraps for a kind or a field that it does not know: a newer program has proposed it, and
	// going on without it would let the copies differ, so the state machine halts.
	ErrUnknown = errors.New("unknown here")
)

// Command is one entry of the agreed log.
type Command struct {
	V    int    `json:"v"`
	ID   string `json:"id"`   // acts once; a repetition keeps its At
	Part string `json:"part"` // the part that it is for
	Kind string `json:"kind"`
	// At is the agreed time, since the Unix epoch: the later of the leader's clock and the state machine's Now when it
	// proposed. A leader whose clock is behind and that left Now out of it would only propose what is stale.
	At   time.Duration   `json:"at"`
	Body json.RawMessage `json:"body,omitempty"`
}

// versionPacked is of a command that is packed: another program must halt at it, not refuse it.
const versionPacked = 2

// packed is a command whose bytes are packed into Z.
type packed struct {
	V int    `json:"v"`
	Z []byte `json:"z"`
}

var packedPrefix = fmt.Appendf(nil, `{"v":%d,"z":"`, versionPacked)

// Encode gives the bytes for the log, packed if they are many. It fails for a command that Decode would refuse.
func (c Command) Encode() ([]byte, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	raw, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("statemachine: command %s: %w", c.ID, err)
	}
	if len(raw) > MaxCommandSize {
		return nil, fmt.Errorf("statemachine: command %s has %d bytes, %d are allowed", c.ID, len(raw), MaxCommandSize)
	}
	if len(raw) <= CompressAbove {
		return raw, nil
	}
	z, err := compress.Pack(raw)
	if err != nil {
		return nil, fmt.Errorf("statemachine: command %s: %w", c.ID, err)
	}
	small, err := json.Marshal(packed{versionPacked, z})
	if err != nil {
		return nil, fmt.Errorf("statemachine: command %s: %w", c.ID, err)
	}
	if len(small) >= len(raw) {
		small = raw
	}
	if len(small) > MaxEntrySize {
		return nil, fmt.Errorf("statemachine: command %s has %d bytes, packed %d, of which %d are allowed", c.ID, len(raw), len(small), MaxEntrySize)
	}
	return small, nil
}

// Decode reads a command. Another version gives ErrVersion, whatever else is in it, as does a field that is not known.
func Decode(raw []byte) (Command, error) {
	if len(raw) > MaxCommandSize {
		return Command{}, fmt.Errorf("statemachine: a command of %d bytes, %d are allowed", len(raw), MaxCommandSize)
	}
	if bytes.HasPrefix(raw, packedPrefix) {
		var p packed
		err := DecodeStrict(raw, &p)
		if err == nil {
			raw, err = compress.Unpack(p.Z, MaxCommandSize)
		}
		if errors.Is(err, ErrUnknown) {
			return Command{}, fmt.Errorf("%w: %w", ErrVersion, err)
		}
		if err != nil {
			return Command{}, fmt.Errorf("statemachine: packed command can not be read: %w", err)
		}
	}
	var c Command
	if err := DecodeStrict(raw, &c); err != nil {
		var head struct {
			V int `json:"v"`
		}
		switch older := json.Unmarshal(raw, &head); {
		case older == nil && head.V != Version:
			return Command{}, fmt.Errorf("%w: command version %d, this program reads %d", ErrVersion, head.V, Version)
		case errors.Is(err, ErrUnknown):
			return Command{}, fmt.Errorf("%w: %w", ErrVersion, err)
		}
		return Command{}, fmt.Errorf("statemachine: command can not be read: %w", err)
	}
	return c, c.validate()
}

func (c Command) validate() error {
	switch {
	case c.V != Version:
		return fmt.Errorf("%w: command version %d, this program reads %d", ErrVersion, c.V, Version)
	case c.ID == "" || len(c.ID) > MaxIDLength:
		return fmt.Errorf("statemachine: a command's id has 1 to %d bytes, not %d", MaxIDLength, len(c.ID))
	case c.Part == "" || c.Kind == "":
		return fmt.Errorf("statemachine: command %s names no part or no kind", c.ID)
	case c.At < 0 || c.At > MaxTime:
		return fmt.Errorf("statemachine: command %s is of %v since the epoch, it has to be within 0 and %v", c.ID, c.At, MaxTime)
	}
	return nil
}

// DecodeStrict reads the whole of raw into into. A field that into does not have gives ErrUnknown: who wrote it knows more
// than this program.
func DecodeStrict(raw []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		if bytes.HasPrefix([]byte(err.Error()), []byte("json: unknown field")) {
			return fmt.Errorf("%w: %w", ErrUnknown, err)
		}
		return err
	}
	if d.More() {
		return errors.New("more than one value")
	}
	return nil
}
