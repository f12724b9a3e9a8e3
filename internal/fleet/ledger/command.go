// Package ledger is the one deterministic state that the agreed log of the co-ordinators is applied to: an envelope of
// versioned commands around the parts that decide. A command acts once, fencing numbers only grow, agreed time never
// goes back, and the same commands give the same bytes at every co-ordinator. It is pure: no clock, goroutine or I/O,
// and not for use by two goroutines at once, not even to read.
package ledger

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Version of the commands and of the snapshot. Another one is refused in words, never guessed.
const Version = 1

const (
	// Remember is how long, in agreed time, the id of a command is kept; a command older than that is refused, so that
	// one forgotten can not act again. Twice too short: a proposal that sat in a deposed leader's log is refused as
	// stale and proposed again; twice too long: twice the ids in each snapshot.
	Remember = 10 * time.Minute
	// RememberMost ids are kept. The oldest goes first, and with it all commands as old as it was are refused. At 100
	// commands a second it holds for Remember.
	RememberMost = 65_536
	// CommandMost bytes in a command: an inventory of 10,000 machines takes some 2 MB.
	CommandMost = 4 << 20
	// AtMost since the epoch is a time in the year 2220: past it, sums of times would overflow.
	AtMost = 250 * 365 * 24 * time.Hour
	// IDMost bytes in an id.
	IDMost = 128
)

var (
	ErrRefused = errors.New("ledger: refused")                           // by the part; only index and time moved
	ErrTwice   = errors.New("ledger: this command was applied before")   // only index and time moved
	ErrStale   = errors.New("ledger: older than what is remembered")     // only the index moved
	ErrVersion = errors.New("ledger: not of a version known here")       // this instance's part in the fleet halts
	ErrIndex   = errors.New("ledger: index is not past the one applied") // nothing moved
	// ErrUnknown is what a part wraps for a kind or a field that it does not know: a newer program has proposed it, and
	// going on without it would let the copies differ, so the ledger halts.
	ErrUnknown = errors.New("unknown here")
)

// Command is one entry of the agreed log.
type Command struct {
	V    int    `json:"v"`
	ID   string `json:"id"`   // acts once; a repetition keeps its At
	Part string `json:"part"` // the part that it is for
	Kind string `json:"kind"`
	// At is the agreed time, since the Unix epoch: the later of the leader's clock and the ledger's Now when it
	// proposed. A leader whose clock is behind and that left Now out of it would only propose what is stale.
	At   time.Duration   `json:"at"`
	Body json.RawMessage `json:"body,omitempty"`
}

// Encode gives the bytes for the log. It fails for a command that Decode would refuse.
func (c Command) Encode() ([]byte, error) {
	if err := c.valid(); err != nil {
		return nil, err
	}
	raw, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("ledger: command %s: %w", c.ID, err)
	}
	if len(raw) > CommandMost {
		return nil, fmt.Errorf("ledger: command %s has %d bytes, %d are allowed", c.ID, len(raw), CommandMost)
	}
	return raw, nil
}

// Decode reads a command. Another version gives ErrVersion, whatever else is in it, as does a field that is not known.
func Decode(raw []byte) (Command, error) {
	if len(raw) > CommandMost {
		return Command{}, fmt.Errorf("ledger: a command of %d bytes, %d are allowed", len(raw), CommandMost)
	}
	var c Command
	if err := Strict(raw, &c); err != nil {
		var head struct {
			V int `json:"v"`
		}
		switch older := json.Unmarshal(raw, &head); {
		case older == nil && head.V != Version:
			return Command{}, fmt.Errorf("%w: command version %d, this program reads %d", ErrVersion, head.V, Version)
		case errors.Is(err, ErrUnknown):
			return Command{}, fmt.Errorf("%w: %w", ErrVersion, err)
		}
		return Command{}, fmt.Errorf("ledger: command can not be read: %w", err)
	}
	return c, c.valid()
}

func (c Command) valid() error {
	switch {
	case c.V != Version:
		return fmt.Errorf("%w: command version %d, this program reads %d", ErrVersion, c.V, Version)
	case c.ID == "" || len(c.ID) > IDMost:
		return fmt.Errorf("ledger: a command's id has 1 to %d bytes, not %d", IDMost, len(c.ID))
	case c.Part == "" || c.Kind == "":
		return fmt.Errorf("ledger: command %s names no part or no kind", c.ID)
	case c.At < 0 || c.At > AtMost:
		return fmt.Errorf("ledger: command %s is of %v since the epoch, it has to be within 0 and %v", c.ID, c.At, AtMost)
	}
	return nil
}

// Strict reads the whole of raw into into. A field that into does not have gives ErrUnknown: who wrote it knows more
// than this program.
func Strict(raw []byte, into any) error {
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
