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
	// maxAge is the maximum age on the wire; greater ages are sent as maxAge.
	maxAge = 24 * time.Hour
)

// Record is what a member publishes about itself.
type Record struct {
	Load     float64 // mean number of replicas that the member keeps busy
	Pressure float64 // 0 for none, 1 for full load
	Voter    bool    // of the raft group
	Version  string  // of the program
}

// wireRecord is a record as sent between members.
type wireRecord struct {
	Record
	name, zone  string
	incarnation uint64
	sequence    uint64 // within the incarnation
	leaving     bool
	age         time.Duration // time from when its member made it until it was last sent on
	loadAge     time.Duration // age of Load and Pressure when its member made the record
}

func (r *wireRecord) newerThan(b *wireRecord) bool {
	return r.incarnation > b.incarnation || r.incarnation == b.incarnation && r.sequence > b.sequence
}

// append appends the record in its wire format: version 1 byte | flags 1 byte | name, zone, program version, each with a length of 1 byte |
// uvarints: incarnation, sequence, age in ms, load age in ms | load 8 bytes | pressure 8 bytes.
func (r *wireRecord) append(b []byte) []byte {
	flags := byte(0)
	if r.Voter {
		flags |= 1
	}
	if r.leaving {
		flags |= 2
	}
	b = append(b, recordVersion, flags)
	for _, s := range []string{r.name, r.zone, r.Version} {
		s = s[:min(len(s), MaxNameLength)]
		b = append(append(b, byte(len(s))), s...)
	}
	b = binary.AppendUvarint(b, r.incarnation)
	b = binary.AppendUvarint(b, r.sequence)
	// The age is negative if the record was made after the clock was read for sending it. Without the lower bound it would become the
	// greatest age when converted to uint64.
	b = binary.AppendUvarint(b, uint64(min(max(r.age, 0), maxAge).Milliseconds()))
	b = binary.AppendUvarint(b, uint64(min(max(r.loadAge, 0), maxAge).Milliseconds()))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(r.Load))
	return binary.BigEndian.AppendUint64(b, math.Float64bits(r.Pressure))
}

var errDamagedRecord = errors.New("member: truncated or damaged record")

// parseRecord parses the first record in b and returns it with the remaining bytes.
func parseRecord(b []byte) (r wireRecord, rest []byte, err error) {
	if len(b) < 2 {
		return r, nil, errDamagedRecord
	}
	if b[0] != recordVersion {
		return r, nil, fmt.Errorf("member: a record of version %d, this program supports version %d", b[0], recordVersion)
	}
	r.Voter, r.leaving = b[1]&1 != 0, b[1]&2 != 0
	b = b[2:]
	for _, s := range []*string{&r.name, &r.zone, &r.Version} {
		if len(b) < 1 || int(b[0]) > MaxNameLength || len(b) < 1+int(b[0]) {
			return r, nil, errDamagedRecord
		}
		*s, b = string(b[1:1+b[0]]), b[1+b[0]:]
	}
	var age, loadAge uint64
	for _, n := range []*uint64{&r.incarnation, &r.sequence, &age, &loadAge} {
		v, size := binary.Uvarint(b)
		if size <= 0 {
			return r, nil, errDamagedRecord
		}
		*n, b = v, b[size:]
	}
	if len(b) < 16 || r.name == "" {
		return r, nil, errDamagedRecord
	}
	limit := uint64(maxAge.Milliseconds())
	r.age = time.Duration(min(age, limit)) * time.Millisecond
	r.loadAge = time.Duration(min(loadAge, limit)) * time.Millisecond
	r.Load = math.Float64frombits(binary.BigEndian.Uint64(b))
	r.Pressure = math.Float64frombits(binary.BigEndian.Uint64(b[8:]))
	if !(r.Load >= 0 && r.Load < 1e12) || !(r.Pressure >= 0 && r.Pressure < 1e6) {
		return r, nil, fmt.Errorf("member: the record of %q has a load of %g and a pressure of %g, which is out of range", r.name, r.Load, r.Pressure)
	}
	return r, b[16:], nil
}
