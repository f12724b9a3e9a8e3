package member

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"
)

const (
	recordVersion = 1
	// MaxNameLength is the maximum number of bytes of a name, a zone or a version.
	MaxNameLength = 64
	// maxAge is the greatest age that is sent; older is this old.
	maxAge = 24 * time.Hour
)

// Record is what a member publishes of itself.
type Record struct {
	Load     float64 // mean replicas that it keeps busy
	Pressure float64 // 0 none, 1 full
	Voter    bool    // of the raft group
	Version  string  // of the program
}

// wireRecord is a record as it travels.
type wireRecord struct {
	Record
	name, zone  string
	incarnation uint64
	sequence    uint64 // within the incarnation
	leaving     bool
	age         time.Duration // since its sender made it, when it was sent on
	loadAge     time.Duration // of Load and Pressure, when its sender made it
}

func (a *wireRecord) newerThan(b *wireRecord) bool {
	return a.incarnation > b.incarnation || a.incarnation == b.incarnation && a.sequence > b.sequence
}

// A record on the wire: version 1 | flags 1 | name, zone, program's version, each with a length of 1 byte | uvarints:
// incarnation, seq, age ms, load's age ms | load 8 | pressure 8.
func (a *wireRecord) append(b []byte) []byte {
	flags := byte(0)
	if a.Voter {
		flags |= 1
	}
	if a.leaving {
		flags |= 2
	}
	b = append(b, recordVersion, flags)
	for _, s := range []string{a.name, a.zone, a.Version} {
		s = s[:min(len(s), MaxNameLength)]
		b = append(append(b, byte(len(s))), s...)
	}
	b = binary.AppendUvarint(b, a.incarnation)
	b = binary.AppendUvarint(b, a.sequence)
	// Below 0 is the age of a record that was made after the clock was read for sending it; as a uint it would be the greatest.
	b = binary.AppendUvarint(b, uint64(min(max(a.age, 0), maxAge).Milliseconds()))
	b = binary.AppendUvarint(b, uint64(min(max(a.loadAge, 0), maxAge).Milliseconds()))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(a.Load))
	return binary.BigEndian.AppendUint64(b, math.Float64bits(a.Pressure))
}

var errDamagedRecord = errors.New("member: a record is cut short or damaged")

// parseRecord reads one and gives what follows it.
func parseRecord(b []byte) (a wireRecord, rest []byte, err error) {
	if len(b) < 2 {
		return a, nil, errDamagedRecord
	}
	if b[0] != recordVersion {
		return a, nil, fmt.Errorf("member: a record of version %d, this program knows %d", b[0], recordVersion)
	}
	a.Voter, a.leaving = b[1]&1 != 0, b[1]&2 != 0
	b = b[2:]
	for _, s := range []*string{&a.name, &a.zone, &a.Version} {
		if len(b) < 1 || int(b[0]) > MaxNameLength || len(b) < 1+int(b[0]) {
			return a, nil, errDamagedRecord
		}
		*s, b = string(b[1:1+b[0]]), b[1+b[0]:]
	}
	var age, loadAge uint64
	for _, n := range []*uint64{&a.incarnation, &a.sequence, &age, &loadAge} {
		v, size := binary.Uvarint(b)
		if size <= 0 {
			return a, nil, errDamagedRecord
		}
		*n, b = v, b[size:]
	}
	if len(b) < 16 || a.name == "" {
		return a, nil, errDamagedRecord
	}
	limit := uint64(maxAge.Milliseconds())
	a.age = time.Duration(min(age, limit)) * time.Millisecond
	a.loadAge = time.Duration(min(loadAge, limit)) * time.Millisecond
	a.Load = math.Float64frombits(binary.BigEndian.Uint64(b))
	a.Pressure = math.Float64frombits(binary.BigEndian.Uint64(b[8:]))
	if !(a.Load >= 0 && a.Load < 1e12) || !(a.Pressure >= 0 && a.Pressure < 1e6) {
		return a, nil, fmt.Errorf("member: a record of %q with a load of %g and a pressure of %g", a.name, a.Load, a.Pressure)
	}
	return a, b[16:], nil
}
