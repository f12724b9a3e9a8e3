package statemachine

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"
)

// magic begins the one line before a snapshot's body: magic, version, length of the body in bytes, its SHA-256. It
// keeps the name of the package that first wrote it, so that snapshots of earlier versions are read as they are.
const magic = "birchcart-ledger"

type snapshot struct {
	Index uint64 `json:"index"`
	state
}

type state struct {
	Now       time.Duration `json:"now"`
	Fence     uint64        `json:"fence"`
	StaleUpTo time.Duration `json:"over"`
	Epoch     uint64        `json:"era,omitempty"` // 0, as in older ones: the first
	Seen      []id          `json:"seen,omitempty"`
	Parts     []savedPart   `json:"parts"`
}

type savedPart struct {
	Name string          `json:"name"`
	Raw  json.RawMessage `json:"raw"`
}

func (l *Machine) state() (state, error) {
	st := state{Now: l.now, Fence: l.fence, StaleUpTo: l.staleUpTo, Seen: l.seen}
	if l.epoch > 1 {
		st.Epoch = l.epoch
	}
	for _, name := range l.names {
		if p, ok := l.parts[name].(Optional); ok && p.Empty() {
			continue
		}
		raw, err := l.parts[name].Save()
		if err != nil {
			return state{}, fmt.Errorf("statemachine: part %s: %w", name, err)
		}
		st.Parts = append(st.Parts, savedPart{name, raw})
	}
	return st, nil
}

// Save gives the whole state with version and checksum. A halted state machine gives none: the log would be cut behind an
// entry that was not applied.
func (l *Machine) Save() ([]byte, error) {
	if l.halted != nil {
		return nil, fmt.Errorf("statemachine: halted, no snapshot: %w", l.halted)
	}
	st, err := l.state()
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(snapshot{l.index, st})
	if err != nil {
		return nil, fmt.Errorf("statemachine: snapshot: %w", err)
	}
	sum := sha256.Sum256(body)
	head := fmt.Sprintf("%s %d %d %s\n", magic, Version, len(body), hex.EncodeToString(sum[:]))
	return append([]byte(head), body...), nil
}

// Load takes a snapshot's state in place of its own and ends a halt. One that is torn, not one, or of another version is
// refused in words and changes nothing.
func (l *Machine) Load(raw []byte) error {
	body, err := checkHeader(raw)
	if err != nil {
		return err
	}
	var snap snapshot
	if err := DecodeStrict(body, &snap); err != nil {
		return fmt.Errorf("statemachine: snapshot can not be read: %w", err)
	}
	if len(snap.Seen) > MaxRetainedIDs {
		return fmt.Errorf("statemachine: snapshot with %d ids, %d are allowed", len(snap.Seen), MaxRetainedIDs)
	}
	ids := make(map[string]bool, len(snap.Seen))
	for _, s := range snap.Seen {
		ids[s.ID] = true
	}
	if err := l.checkPartNames(snap.Parts); err != nil {
		return err
	}
	before, err := l.state()
	if err != nil {
		return err
	}
	if err := l.loadParts(snap.Parts); err != nil {
		return errors.Join(err, l.loadParts(before.Parts))
	}
	l.index, l.now, l.fence, l.staleUpTo, l.seen, l.ids = snap.Index, snap.Now, snap.Fence, snap.StaleUpTo, snap.Seen, ids
	l.epoch = max(snap.Epoch, 1)
	l.halted = nil
	return nil
}

// known refuses a snapshot's parts if one is not a part here, or one of here that is no Optional is missing.
func (l *Machine) checkPartNames(parts []savedPart) error {
	for i, p := range parts {
		if l.parts[p.Name] == nil || i > 0 && parts[i-1].Name >= p.Name {
			return fmt.Errorf("%w: snapshot of part %q, which this program does not have in that place", ErrVersion, p.Name)
		}
	}
	for _, name := range l.names {
		_, later := l.parts[name].(Optional)
		if !later && !slices.ContainsFunc(parts, func(p savedPart) bool { return p.Name == name }) {
			return fmt.Errorf("%w: snapshot of %d parts without %q, which this program has", ErrVersion, len(parts), name)
		}
	}
	return nil
}

// fill loads parts that are known; a Optional that is not among them is emptied.
func (l *Machine) loadParts(parts []savedPart) error {
	for _, name := range l.names {
		if len(parts) == 0 || parts[0].Name != name {
			l.parts[name].(Optional).Clear()
			continue
		}
		if err := l.parts[name].Load(parts[0].Raw); err != nil {
			return fmt.Errorf("statemachine: part %s: %w", name, err)
		}
		parts = parts[1:]
	}
	return nil
}

// open checks the line before the body.
func checkHeader(raw []byte) ([]byte, error) {
	line, body, ok := bytes.Cut(raw, []byte("\n"))
	words := strings.Fields(string(line[:min(len(line), 256)]))
	if !ok || len(words) != 4 || words[0] != magic {
		return nil, errors.New("statemachine: not a snapshot, or one torn in its first line")
	}
	if words[1] != strconv.Itoa(Version) {
		return nil, fmt.Errorf("%w: snapshot version %s, this program reads %d", ErrVersion, words[1], Version)
	}
	if words[2] != strconv.Itoa(len(body)) {
		return nil, fmt.Errorf("statemachine: snapshot is torn: %d bytes, %s were written", len(body), words[2])
	}
	sum := sha256.Sum256(body)
	if hex.EncodeToString(sum[:]) != words[3] {
		return nil, errors.New("statemachine: snapshot is damaged: its checksum is another")
	}
	return body, nil
}

// Digest of all that is agreed but the index, which repetitions move: equal for equal states. 0 if a part can not be
// saved.
func (l *Machine) Digest() uint64 {
	st, err := l.state()
	if err != nil {
		return 0
	}
	body, err := json.Marshal(st)
	if err != nil {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write(body)
	return h.Sum64()
}
