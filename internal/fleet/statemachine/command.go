// Package statemachine implements the replicated state machine to which every co-ordinator applies the agreed log. It
// wraps the state machines of the individual parts in an envelope of versioned commands, command ids, fencing numbers and
// agreed time. A command takes effect at most once, fencing numbers only increase, agreed time never goes back, and the
// same commands produce the same bytes at every co-ordinator. The package uses no clock, goroutine or I/O. A Machine is
// not safe for concurrent use, not even for concurrent reads.
package statemachine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"birchcart/internal/fleet/compress"
)

// Version is the version of the commands and of the snapshot. Any other version is rejected with an error that names it.
const Version = 1

const (
	// IDRetention is how long, in agreed time, the id of a command is kept. An older command is rejected, so that a command
	// whose id was dropped cannot take effect again. With half the retention, a proposal that waited in a deposed leader's
	// log is rejected as stale and has to be proposed again; twice the retention doubles the ids in each snapshot.
	IDRetention = 10 * time.Minute
	// MaxRetainedIDs is the number of ids that are kept. Past it the oldest id is dropped, and from then on every command
	// that is as old as the dropped one is rejected. At 100 commands a second it suffices for IDRetention.
	MaxRetainedIDs = 65_536
	// MaxCommandSize is the maximum size in bytes of an uncompressed command. An operators' file that names 10,000 machines a
	// few times takes about 2 MB. Package drainctl splits an inventory over several commands.
	MaxCommandSize = 4 << 20
	// MaxEntrySize is the maximum size in bytes of a command in the log, compressed or not. It is also the largest entry that
	// the raft group accepts and that one reply to a follower may carry. Twice as much would occupy a narrow link between
	// voters for longer than an election takes; half as much would reject files of about 6,000 dissimilar names.
	MaxEntrySize = 1 << 20
	// CompressAbove is the size in bytes above which a command is compressed. Twice as much would put larger entries on narrow
	// links; half as much would create more entries at which a program halts that cannot read compressed commands yet.
	CompressAbove = 256 << 10
	// MaxTime is the latest agreed time, in the year 2220, as a duration since the Unix epoch. Later times could overflow
	// when they are added.
	MaxTime = 250 * 365 * 24 * time.Hour
	// MaxIDLength is the maximum length of a command id in bytes.
	MaxIDLength = 128
)

// Errors of Apply.
var (
	// ErrRejected says that the command is unreadable or that its part rejected it. For an unreadable command only the index
	// advances, otherwise the index and the time.
	ErrRejected = errors.New("statemachine: command rejected")
	// ErrDuplicate says that a command of this id was applied already. Only the index and the time advance.
	ErrDuplicate = errors.New("statemachine: this command was applied before")
	// ErrStale says that the command is too old to be checked against the retained ids. Only the index advances.
	ErrStale = errors.New("statemachine: command is older than the retained ids")
	// ErrVersion says that a command or a snapshot has another version, or a part, kind or field that this program does not
	// know. Such a command halts the state machine, and with it this instance's part in the fleet.
	ErrVersion = errors.New("statemachine: unsupported version")
	// ErrIndex says that the index is not greater than the last applied one. The state does not change.
	ErrIndex = errors.New("statemachine: index is not after the last applied one")
	// ErrUnknown is wrapped by a part for a kind or a field that it does not know. A newer program proposed it, and
	// skipping it would let the copies diverge, so the state machine halts.
	ErrUnknown = errors.New("unknown kind or field")
)

// Command is one entry of the agreed log.
type Command struct {
	V    int    `json:"v"`
	ID   string `json:"id"`   // takes effect once; a retry keeps the same At
	Part string `json:"part"` // name of the part that applies it
	Kind string `json:"kind"`
	// At is the agreed time of the command since the Unix epoch: the later of the leader's clock and the state machine's
	// Now at the time of the proposal. Without Now, a leader whose clock is behind would propose only stale commands.
	At   time.Duration   `json:"at"`
	Body json.RawMessage `json:"body,omitempty"`
}

// versionPacked is the version of a compressed command. It differs from Version so that a program that cannot read
// compressed commands halts instead of rejecting the command.
const versionPacked = 2

// packed holds the compressed bytes of a command in Z.
type packed struct {
	V int    `json:"v"`
	Z []byte `json:"z"`
}

var packedPrefix = fmt.Appendf(nil, `{"v":%d,"z":"`, versionPacked)

// Encode returns the bytes for the log, compressed if they exceed CompressAbove. It fails for a command that Decode would
// reject.
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
		return nil, fmt.Errorf("statemachine: command %s has %d bytes, %d after compression, %d are allowed", c.ID, len(raw), len(small), MaxEntrySize)
	}
	return small, nil
}

// Decode decodes a command. It returns ErrVersion for any other version, whatever else the command contains, and for an
// unknown field.
func Decode(raw []byte) (Command, error) {
	if len(raw) > MaxCommandSize {
		return Command{}, fmt.Errorf("statemachine: command has %d bytes, %d are allowed", len(raw), MaxCommandSize)
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
			return Command{}, fmt.Errorf("statemachine: compressed command cannot be decoded: %w", err)
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
		return Command{}, fmt.Errorf("statemachine: command cannot be decoded: %w", err)
	}
	return c, c.validate()
}

func (c Command) validate() error {
	switch {
	case c.V != Version:
		return fmt.Errorf("%w: command version %d, this program reads %d", ErrVersion, c.V, Version)
	case c.ID == "" || len(c.ID) > MaxIDLength:
		return fmt.Errorf("statemachine: command id must have 1 to %d bytes, has %d", MaxIDLength, len(c.ID))
	case c.Part == "" || c.Kind == "":
		return fmt.Errorf("statemachine: command %s has no part or no kind", c.ID)
	case c.At < 0 || c.At > MaxTime:
		return fmt.Errorf("statemachine: time of command %s is %v since the epoch, must be between 0 and %v", c.ID, c.At, MaxTime)
	}
	return nil
}

// DecodeStrict decodes raw, which must hold a single JSON value, and stores the value in into. It returns ErrUnknown for a
// field that into does not have, because only a newer program can have written it.
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
		return errors.New("more than one JSON value")
	}
	return nil
}
