package session

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"strconv"
	"time"
	"unique"

	"birchcart/internal/fleet/pool"
	"birchcart/internal/fleet/statemachine"
)

// envelope is the saved form. Sum is the CRC-32C of the bytes of State.
type envelope struct {
	Version int             `json:"v"`
	Sum     uint32          `json:"sum"`
	State   json.RawMessage `json:"book"`
}

// savedState is the saved form of State. Sessions and ends are binary, see appendSession and packEnds, because JSON objects would
// take five times as many bytes.
type savedState struct {
	Now               time.Duration      `json:"now"`
	Limits            Limits             `json:"limits"`
	LimitsAt          time.Duration      `json:"limits_at"`
	BlockedUntil      time.Duration      `json:"quiet,omitempty"`
	Fence             uint64             `json:"fence"`
	MaxForgottenEpoch uint64             `json:"over"`
	Coordinators      []savedCoordinator `json:"names,omitempty"` // in order of name
	Sessions          []byte             `json:"live,omitempty"`  // in order of ID
	Moves             []savedMove        `json:"flights,omitempty"`
	Offers            []offerCount       `json:"offers,omitempty"`
	Reasons           []string           `json:"whys,omitempty"`  // sorted
	Ended             []byte             `json:"ended,omitempty"` // in order of time
	Pool              pool.Saved         `json:"pool"`
}

// savedCoordinator is the saved form of coordinator.
type savedCoordinator struct {
	Name        string        `json:"name"`
	LastActAt   time.Duration `json:"heard,omitempty"`
	ReleasedAt  time.Duration `json:"released,omitempty"`
	LastKnownAt time.Duration `json:"known"`
}

// savedMove is the saved form of a move with the ID of its session.
type savedMove struct {
	ID ID `json:"id"`
	move
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Save implements statemachine.Part. Equal states give equal bytes, about 50 a session.
func (s *State) Save() ([]byte, error) {
	v := savedState{Now: s.now, Limits: s.limits, LimitsAt: s.limitsAt, BlockedUntil: s.blockedUntil, Fence: s.fence,
		MaxForgottenEpoch: s.maxForgottenEpoch, Offers: s.offerCounts, Pool: s.pool.Save()}
	if len(s.limits.Caps) == 0 {
		v.Limits.Caps = nil
	}
	for i, n := range s.coordinators {
		if !s.expired(i) {
			v.Coordinators = append(v.Coordinators, savedCoordinator{n.name, n.lastActAt, n.releasedAt, n.lastKnownAt})
		}
	}
	slices.SortFunc(v.Coordinators, func(x, y savedCoordinator) int { return cmp.Compare(x.Name, y.Name) })
	positions := make([]int, len(s.coordinators))
	for i, n := range v.Coordinators {
		positions[s.indexByName[n.Name]] = i
	}
	v.Sessions = make([]byte, 0, 40*len(s.sessions))
	for _, id := range sortedIDs(s.sessions) {
		v.Sessions = appendSession(v.Sessions, id, s.sessions[id], positions)
	}
	for _, id := range sortedIDs(s.moves) {
		v.Moves = append(v.Moves, savedMove{id, s.moves[id]})
	}
	v.Reasons, v.Ended = s.packEnds()
	encoded, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("session: save: %w", err)
	}
	return wrapWithChecksum(encoded), nil
}

// wrapWithChecksum encodes an envelope around the encoded state.
func wrapWithChecksum(encoded []byte) []byte {
	raw := make([]byte, 0, len(encoded)+64)
	raw = append(raw, `{"v":`...)
	raw = strconv.AppendInt(raw, Version, 10)
	raw = append(raw, `,"sum":`...)
	raw = strconv.AppendUint(raw, uint64(crc32.Checksum(encoded, castagnoli)), 10)
	raw = append(raw, `,"book":`...)
	return append(append(raw, encoded...), '}')
}

// appendSession appends the ID, the owner's index in Coordinators, epoch, sequence and start of the phase of a session, and one byte
// each for phase and lane.
func appendSession(raw []byte, id ID, l ownedSession, positions []int) []byte {
	raw = append(raw, id[:]...)
	for _, n := range []uint64{uint64(positions[l.owner]), l.epoch, l.seq, uint64(l.since)} {
		raw = binary.AppendUvarint(raw, n)
	}
	return append(raw, byte(l.phase), l.lane)
}

// packEnds returns the sorted reasons and, for each end, its ID, epoch, sequence, time and the index of its reason.
func (s *State) packEnds() (reasons []string, raw []byte) {
	reasonIndex := map[unique.Handle[string]]int{}
	for _, e := range s.ended {
		reasonIndex[e.reason] = 0
	}
	for reason := range reasonIndex {
		reasons = append(reasons, reason.Value())
	}
	slices.Sort(reasons)
	for i, reason := range reasons {
		reasonIndex[unique.Make(reason)] = i
	}
	for i, id := range s.endOrder {
		e, ok := s.ended[id]
		if !ok || e.position != s.firstPosition+uint64(i) {
			continue
		}
		raw = append(raw, id[:]...)
		for _, n := range []uint64{e.epoch, e.seq, uint64(e.at), uint64(reasonIndex[e.reason])} {
			raw = binary.AppendUvarint(raw, n)
		}
	}
	return reasons, raw
}

// Load implements statemachine.Part. It replaces the whole state, or returns an error and changes nothing.
func (s *State) Load(raw []byte) error {
	var header struct {
		V int `json:"v"`
	}
	if err := json.Unmarshal(raw, &header); err != nil {
		return fmt.Errorf("session: cannot decode the saved state: %w", err)
	}
	if header.V != Version {
		return fmt.Errorf("session: the saved state has version %d, this program reads version %d: %w", header.V, Version, statemachine.ErrUnknown)
	}
	var o envelope
	if err := statemachine.DecodeStrict(raw, &o); err != nil {
		return fmt.Errorf("session: cannot decode the saved state: %w", err)
	}
	if crc32.Checksum(o.State, castagnoli) != o.Sum {
		return errors.New("session: the saved state is damaged: its checksum does not match")
	}
	var v savedState
	if err := statemachine.DecodeStrict(o.State, &v); err != nil {
		return fmt.Errorf("session: cannot decode the saved state: %w", err)
	}
	n := New()
	if err := n.restore(v); err != nil {
		return fmt.Errorf("session: saved state: %w", err)
	}
	*s = *n
	return nil
}

func (s *State) restore(v savedState) error {
	if v.Limits.Revision != 0 {
		if err := v.Limits.validate(); err != nil {
			return err
		}
	}
	if len(v.Coordinators) > MaxCoordinators || len(v.Moves) > MaxInFlight || len(v.Reasons) > MaxEnds ||
		len(v.Offers) > int(OfferWindow/time.Second)+2 {
		return fmt.Errorf("too many entries: %d co-ordinators, %d moves, %d reasons, %d seconds of offers",
			len(v.Coordinators), len(v.Moves), len(v.Reasons), len(v.Offers))
	}
	for _, at := range []time.Duration{v.Now, v.LimitsAt, v.BlockedUntil} {
		if at < 0 || at > statemachine.MaxTime {
			return fmt.Errorf("invalid time %v", at)
		}
	}
	if v.LimitsAt > v.Now || v.Pool.Now != v.Now {
		return fmt.Errorf("state at %v has limits of %v and slots of %v", v.Now, v.LimitsAt, v.Pool.Now)
	}
	s.now, s.limits, s.limitsAt, s.blockedUntil, s.fence, s.maxForgottenEpoch =
		v.Now, v.Limits, v.LimitsAt, v.BlockedUntil, v.Fence, v.MaxForgottenEpoch
	for i, n := range v.Coordinators {
		if i > 0 && v.Coordinators[i-1].Name >= n.Name || n.Name == "" || len(n.Name) > MaxNameBytes {
			return fmt.Errorf("co-ordinator %.20q is out of order or has an invalid name", n.Name)
		}
		s.indexByName[n.Name] = uint16(i)
		s.coordinators = append(s.coordinators, coordinator{name: n.Name, lastActAt: n.LastActAt, releasedAt: n.ReleasedAt,
			lastKnownAt: n.LastKnownAt})
	}
	for i, count := range v.Offers {
		if count.N < 1 || count.N > MaxOffersPerMinute || count.At%time.Second != 0 || count.At < 0 || count.At > v.Now ||
			i > 0 && v.Offers[i-1].At >= count.At {
			return fmt.Errorf("invalid count of %d offers at %v", count.N, count.At)
		}
	}
	s.offerCounts = v.Offers
	if err := s.unpackSessions(v.Sessions); err != nil {
		return err
	}
	s.nextExpiry = statemachine.MaxTime
	for i, m := range v.Moves {
		if i > 0 && bytes.Compare(v.Moves[i-1].ID[:], m.ID[:]) >= 0 {
			return fmt.Errorf("the move of %s is out of order", m.ID)
		}
		s.moves[m.ID] = m.move
		s.nextExpiry = min(s.nextExpiry, m.Until)
	}
	if err := s.unpackEnds(v.Ended, v.Reasons); err != nil {
		return err
	}
	if err := s.pool.Load(v.Pool); err != nil {
		return err
	}
	return s.Check()
}

// decoder reads the binary lists. Each invalid read sets failed; after one that runs past the end, every further read returns zeros.
type decoder struct {
	raw    []byte
	failed bool
}

func (d *decoder) bytes(n int) []byte {
	if len(d.raw) < n {
		d.failed, d.raw = true, nil
		return make([]byte, n)
	}
	out := d.raw[:n]
	d.raw = d.raw[n:]
	return out
}

func (d *decoder) uvarint() uint64 {
	n, k := binary.Uvarint(d.raw)
	if k <= 0 || k > 1 && d.raw[k-1] == 0 { // truncated, or not in its shortest form
		d.failed, d.raw = true, nil
		return 0
	}
	d.raw = d.raw[k:]
	return n
}

func (d *decoder) time() time.Duration {
	n := d.uvarint()
	if n > uint64(statemachine.MaxTime) {
		d.failed = true
	}
	return time.Duration(n)
}

func (s *State) unpackSessions(raw []byte) error {
	s.sessions = make(map[ID]ownedSession, len(raw)/28)
	r, last := decoder{raw: raw}, ID{}
	for i := 0; len(r.raw) > 0; i++ {
		id := ID(r.bytes(len(last)))
		owner, epoch, seq, since := r.uvarint(), r.uvarint(), r.uvarint(), r.time()
		rest := r.bytes(2)
		if r.failed || owner >= uint64(len(s.coordinators)) || i > 0 && bytes.Compare(last[:], id[:]) >= 0 {
			return fmt.Errorf("session %d is truncated, invalid or out of order", i)
		}
		last = id
		s.sessions[id] = ownedSession{epoch, seq, since, uint16(owner), Phase(rest[0]), rest[1]}
		s.coordinators[owner].owned++
	}
	return nil
}

func (s *State) unpackEnds(raw []byte, reasons []string) error {
	for i, reason := range reasons {
		if i > 0 && reasons[i-1] >= reason || len(reason) > MaxReasonBytes {
			return fmt.Errorf("reason %d is out of order or too long", i)
		}
	}
	r := decoder{raw: raw}
	for i := 0; len(r.raw) > 0; i++ {
		id := ID(r.bytes(16))
		epoch, seq, at, reasonIndex := r.uvarint(), r.uvarint(), r.time(), r.uvarint()
		if _, duplicate := s.ended[id]; r.failed || reasonIndex >= uint64(len(reasons)) || duplicate {
			return fmt.Errorf("end %d is truncated, invalid or duplicate", i)
		}
		s.ended[id] = endedSession{epoch, seq, at, unique.Make(reasons[reasonIndex]), uint64(i)}
		s.endOrder = append(s.endOrder, id)
	}
	return nil
}
