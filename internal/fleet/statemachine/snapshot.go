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

// magic is the first field of the header line of a snapshot, which consists of magic, version, length of the body in
// bytes, and SHA-256 of the body. It is the former name of this package, kept so that snapshots of earlier versions can
// be loaded.
const magic = "birchcart-ledger"

type snapshot struct {
	Index uint64 `json:"index"`
	state
}

type state struct {
	Now       time.Duration `json:"now"`
	Fence     uint64        `json:"fence"`
	StaleUpTo time.Duration `json:"over"`
	Epoch     uint64        `json:"era,omitempty"` // 0 means the first epoch, as in older snapshots
	Seen      []id          `json:"seen,omitempty"`
	Parts     []savedPart   `json:"parts"`
}

type savedPart struct {
	Name string          `json:"name"`
	Raw  json.RawMessage `json:"raw"`
}

func (m *Machine) state() (state, error) {
	st := state{Now: m.now, Fence: m.fence, StaleUpTo: m.staleUpTo, Seen: m.seen}
	if m.epoch > 1 {
		st.Epoch = m.epoch
	}
	for _, name := range m.names {
		if p, ok := m.parts[name].(Optional); ok && p.Empty() {
			continue
		}
		raw, err := m.parts[name].Save()
		if err != nil {
			return state{}, fmt.Errorf("statemachine: part %s: %w", name, err)
		}
		st.Parts = append(st.Parts, savedPart{name, raw})
	}
	return st, nil
}

// Save returns a snapshot of the whole state with version and checksum. It fails if the state machine has halted, because
// the log would be truncated although an entry was not applied.
func (m *Machine) Save() ([]byte, error) {
	if m.halted != nil {
		return nil, fmt.Errorf("statemachine: cannot save a snapshot while halted: %w", m.halted)
	}
	st, err := m.state()
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(snapshot{m.index, st})
	if err != nil {
		return nil, fmt.Errorf("statemachine: snapshot: %w", err)
	}
	sum := sha256.Sum256(body)
	head := fmt.Sprintf("%s %d %d %s\n", magic, Version, len(body), hex.EncodeToString(sum[:]))
	return append([]byte(head), body...), nil
}

// Load replaces the state by that of a snapshot and ends a halt. If the data is truncated, damaged, no snapshot, or of
// another version, it returns an error and changes nothing.
func (m *Machine) Load(raw []byte) error {
	body, err := checkHeader(raw)
	if err != nil {
		return err
	}
	var snap snapshot
	if err := DecodeStrict(body, &snap); err != nil {
		return fmt.Errorf("statemachine: snapshot cannot be decoded: %w", err)
	}
	if len(snap.Seen) > MaxRetainedIDs {
		return fmt.Errorf("statemachine: snapshot has %d ids, %d are allowed", len(snap.Seen), MaxRetainedIDs)
	}
	ids := make(map[string]bool, len(snap.Seen))
	for _, s := range snap.Seen {
		ids[s.ID] = true
	}
	if err := m.checkPartNames(snap.Parts); err != nil {
		return err
	}
	before, err := m.state()
	if err != nil {
		return err
	}
	if err := m.loadParts(snap.Parts); err != nil {
		return errors.Join(err, m.loadParts(before.Parts))
	}
	m.index, m.now, m.fence, m.staleUpTo, m.seen, m.ids = snap.Index, snap.Now, snap.Fence, snap.StaleUpTo, snap.Seen, ids
	m.epoch = max(snap.Epoch, 1)
	m.halted = nil
	return nil
}

// checkPartNames returns an error if the parts of a snapshot are not sorted, include an unknown one, or lack a part of this
// state machine that is not Optional.
func (m *Machine) checkPartNames(parts []savedPart) error {
	for i, p := range parts {
		if m.parts[p.Name] == nil || i > 0 && parts[i-1].Name >= p.Name {
			return fmt.Errorf("%w: snapshot of part %q, which this program does not have in that position", ErrVersion, p.Name)
		}
	}
	for _, name := range m.names {
		_, later := m.parts[name].(Optional)
		if !later && !slices.ContainsFunc(parts, func(p savedPart) bool { return p.Name == name }) {
			return fmt.Errorf("%w: snapshot has %d parts without %q, which this program requires", ErrVersion, len(parts), name)
		}
	}
	return nil
}

// loadParts loads parts that checkPartNames has accepted, and clears each Optional that is not among them.
func (m *Machine) loadParts(parts []savedPart) error {
	for _, name := range m.names {
		if len(parts) == 0 || parts[0].Name != name {
			m.parts[name].(Optional).Clear()
			continue
		}
		if err := m.parts[name].Load(parts[0].Raw); err != nil {
			return fmt.Errorf("statemachine: part %s: %w", name, err)
		}
		parts = parts[1:]
	}
	return nil
}

// checkHeader verifies the header line of a snapshot and returns the body.
func checkHeader(raw []byte) ([]byte, error) {
	line, body, ok := bytes.Cut(raw, []byte("\n"))
	fields := strings.Fields(string(line[:min(len(line), 256)]))
	if !ok || len(fields) != 4 || fields[0] != magic {
		return nil, errors.New("statemachine: not a snapshot, or truncated in its header line")
	}
	if fields[1] != strconv.Itoa(Version) {
		return nil, fmt.Errorf("%w: snapshot version %s, this program reads %d", ErrVersion, fields[1], Version)
	}
	if fields[2] != strconv.Itoa(len(body)) {
		return nil, fmt.Errorf("statemachine: snapshot is truncated: body has %d bytes, header says %s", len(body), fields[2])
	}
	sum := sha256.Sum256(body)
	if hex.EncodeToString(sum[:]) != fields[3] {
		return nil, errors.New("statemachine: snapshot is damaged: checksum mismatch")
	}
	return body, nil
}

// Digest returns a hash of the agreed state, equal for equal states. The index is left out because repeated commands
// advance it. Digest returns 0 if a part cannot be saved.
func (m *Machine) Digest() uint64 {
	st, err := m.state()
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
