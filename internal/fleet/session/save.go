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

// outer is what Save gives. Sum is CRC-32C over the bytes of Book.
type outer struct {
	V    int             `json:"v"`
	Sum  uint32          `json:"sum"`
	Book json.RawMessage `json:"book"`
}

// saved is the book. Sessions and ends are binary, see packLive and packEnded: a JSON object each would be five times as
// long.
type saved struct {
	Now      time.Duration `json:"now"`
	Limits   Limits        `json:"limits"`
	LimitsAt time.Duration `json:"limits_at"`
	Quiet    time.Duration `json:"quiet,omitempty"`
	Fence    uint64        `json:"fence"`
	Over     uint64        `json:"over"`
	Names    []savedName   `json:"names,omitempty"` // by name
	Live     []byte        `json:"live,omitempty"`  // by id
	Flights  []savedFlight `json:"flights,omitempty"`
	Offers   []second      `json:"offers,omitempty"`
	Whys     []string      `json:"whys,omitempty"`  // sorted
	Ended    []byte        `json:"ended,omitempty"` // in order of their end
	Pool     pool.Saved    `json:"pool"`
}

type savedName struct {
	Name     string        `json:"name"`
	Heard    time.Duration `json:"heard,omitempty"`
	Released time.Duration `json:"released,omitempty"`
	Known    time.Duration `json:"known"`
}

type savedFlight struct {
	ID ID `json:"id"`
	flight
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Save implements statemachine.Part: the same bytes for the same state, some 50 a session.
func (b *Book) Save() ([]byte, error) {
	v := saved{Now: b.now, Limits: b.limits, LimitsAt: b.limitsAt, Quiet: b.quiet, Fence: b.fence, Over: b.over,
		Offers: b.offers, Pool: b.pool.Save()}
	if len(b.limits.Caps) == 0 {
		v.Limits.Caps = nil
	}
	for i, n := range b.names {
		if !b.gone(i) {
			v.Names = append(v.Names, savedName{n.name, n.heard, n.released, n.known})
		}
	}
	slices.SortFunc(v.Names, func(x, y savedName) int { return cmp.Compare(x.Name, y.Name) })
	place := make([]int, len(b.names))
	for i, n := range v.Names {
		place[b.byName[n.Name]] = i
	}
	v.Live = make([]byte, 0, 40*len(b.live))
	for _, id := range sorted(b.live) {
		v.Live = packLive(v.Live, id, b.live[id], place)
	}
	for _, id := range sorted(b.flights) {
		v.Flights = append(v.Flights, savedFlight{id, b.flights[id]})
	}
	v.Whys, v.Ended = b.packEnded()
	book, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("session: save: %w", err)
	}
	return seal(book), nil
}

// seal puts version and checksum around a book.
func seal(book []byte) []byte {
	raw := make([]byte, 0, len(book)+64)
	raw = append(raw, `{"v":`...)
	raw = strconv.AppendInt(raw, Version, 10)
	raw = append(raw, `,"sum":`...)
	raw = strconv.AppendUint(raw, uint64(crc32.Checksum(book, castagnoli)), 10)
	raw = append(raw, `,"book":`...)
	return append(append(raw, book...), '}')
}

// packLive appends id, owner's place, epoch, sequence, since, and one byte each of phase and lane.
func packLive(raw []byte, id ID, l live, place []int) []byte {
	raw = append(raw, id[:]...)
	for _, n := range []uint64{uint64(place[l.owner]), l.epoch, l.seq, uint64(l.since)} {
		raw = binary.AppendUvarint(raw, n)
	}
	return append(raw, byte(l.phase), l.lane)
}

// packEnded gives the reasons, sorted, and for each end id, epoch, sequence, time and the place of its reason.
func (b *Book) packEnded() (whys []string, raw []byte) {
	seen := map[unique.Handle[string]]int{}
	for _, e := range b.ended {
		seen[e.why] = 0
	}
	for why := range seen {
		whys = append(whys, why.Value())
	}
	slices.Sort(whys)
	for i, why := range whys {
		seen[unique.Make(why)] = i
	}
	for i, id := range b.ends {
		e, ok := b.ended[id]
		if !ok || e.n != b.first+uint64(i) {
			continue
		}
		raw = append(raw, id[:]...)
		for _, n := range []uint64{e.epoch, e.seq, uint64(e.at), uint64(seen[e.why])} {
			raw = binary.AppendUvarint(raw, n)
		}
	}
	return whys, raw
}

// Load implements statemachine.Part: all of raw is taken, or nothing and the reason is told.
func (b *Book) Load(raw []byte) error {
	var head struct {
		V int `json:"v"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return fmt.Errorf("session: saved book can not be read: %w", err)
	}
	if head.V != Version {
		return fmt.Errorf("session: saved book of version %d, this program reads %d: %w", head.V, Version, statemachine.ErrUnknown)
	}
	var o outer
	if err := statemachine.Strict(raw, &o); err != nil {
		return fmt.Errorf("session: saved book can not be read: %w", err)
	}
	if crc32.Checksum(o.Book, castagnoli) != o.Sum {
		return errors.New("session: saved book is damaged: its checksum is another")
	}
	var v saved
	if err := statemachine.Strict(o.Book, &v); err != nil {
		return fmt.Errorf("session: saved book can not be read: %w", err)
	}
	n := New()
	if err := n.restore(v); err != nil {
		return fmt.Errorf("session: saved book: %w", err)
	}
	*b = *n
	return nil
}

func (b *Book) restore(v saved) error {
	if v.Limits.Revision != 0 {
		if err := v.Limits.valid(); err != nil {
			return err
		}
	}
	if len(v.Names) > NamesMost || len(v.Flights) > FlightMost || len(v.Whys) > EndedMost || len(v.Offers) > int(Minute/time.Second)+2 {
		return fmt.Errorf("%d names, %d flights, %d reasons, %d seconds", len(v.Names), len(v.Flights), len(v.Whys), len(v.Offers))
	}
	for _, at := range []time.Duration{v.Now, v.LimitsAt, v.Quiet} {
		if at < 0 || at > statemachine.MaxTime {
			return fmt.Errorf("a time of %v", at)
		}
	}
	if v.LimitsAt > v.Now || v.Pool.Now != v.Now {
		return fmt.Errorf("now %v, limits of %v, slots of %v", v.Now, v.LimitsAt, v.Pool.Now)
	}
	b.now, b.limits, b.limitsAt, b.quiet, b.fence, b.over = v.Now, v.Limits, v.LimitsAt, v.Quiet, v.Fence, v.Over
	for i, n := range v.Names {
		if i > 0 && v.Names[i-1].Name >= n.Name || n.Name == "" || len(n.Name) > NameMost {
			return fmt.Errorf("co-ordinator %.20q is out of order", n.Name)
		}
		b.byName[n.Name] = uint16(i)
		b.names = append(b.names, name{name: n.Name, heard: n.Heard, released: n.Released, known: n.Known})
	}
	for i, s := range v.Offers {
		if s.N < 1 || s.N > PerMinuteMost || s.At%time.Second != 0 || s.At < 0 || s.At > v.Now || i > 0 && v.Offers[i-1].At >= s.At {
			return fmt.Errorf("%d offers at %v", s.N, s.At)
		}
	}
	b.offers = v.Offers
	if err := b.unpackLive(v.Live); err != nil {
		return err
	}
	b.next = statemachine.MaxTime
	for i, f := range v.Flights {
		if i > 0 && bytes.Compare(v.Flights[i-1].ID[:], f.ID[:]) >= 0 {
			return fmt.Errorf("flight of %s is out of order", f.ID)
		}
		b.flights[f.ID] = f.flight
		b.next = min(b.next, f.Until)
	}
	if err := b.unpackEnded(v.Ended, v.Whys); err != nil {
		return err
	}
	if err := b.pool.Load(v.Pool); err != nil {
		return err
	}
	return b.Check()
}

// reader takes a list apart.
type reader struct {
	raw []byte
	bad bool
}

func (r *reader) bytes(n int) []byte {
	if len(r.raw) < n {
		r.bad, r.raw = true, nil
		return make([]byte, n)
	}
	out := r.raw[:n]
	r.raw = r.raw[n:]
	return out
}

func (r *reader) number() uint64 {
	n, k := binary.Uvarint(r.raw)
	if k <= 0 || k > 1 && r.raw[k-1] == 0 { // torn, or longer than it has to be
		r.bad, r.raw = true, nil
		return 0
	}
	r.raw = r.raw[k:]
	return n
}

func (r *reader) time() time.Duration {
	n := r.number()
	if n > uint64(statemachine.MaxTime) {
		r.bad = true
	}
	return time.Duration(n)
}

func (b *Book) unpackLive(raw []byte) error {
	b.live = make(map[ID]live, len(raw)/28)
	r, last := reader{raw: raw}, ID{}
	for i := 0; len(r.raw) > 0; i++ {
		id := ID(r.bytes(len(last)))
		owner, epoch, seq, since := r.number(), r.number(), r.number(), r.time()
		rest := r.bytes(2)
		if r.bad || owner >= uint64(len(b.names)) || i > 0 && bytes.Compare(last[:], id[:]) >= 0 {
			return fmt.Errorf("session %d is torn or out of order", i)
		}
		last = id
		b.live[id] = live{epoch, seq, since, uint16(owner), Phase(rest[0]), rest[1]}
		b.names[owner].owned++
	}
	return nil
}

func (b *Book) unpackEnded(raw []byte, whys []string) error {
	for i, why := range whys {
		if i > 0 && whys[i-1] >= why || len(why) > WhyMost {
			return fmt.Errorf("reason %d is out of order", i)
		}
	}
	r := reader{raw: raw}
	for i := 0; len(r.raw) > 0; i++ {
		id := ID(r.bytes(16))
		epoch, seq, at, why := r.number(), r.number(), r.time(), r.number()
		if _, twice := b.ended[id]; r.bad || why >= uint64(len(whys)) || twice {
			return fmt.Errorf("end %d is torn, or there twice", i)
		}
		b.ended[id] = ended{epoch, seq, at, unique.Make(whys[why]), uint64(i)}
		b.ends = append(b.ends, id)
	}
	return nil
}
