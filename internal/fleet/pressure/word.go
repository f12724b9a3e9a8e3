package pressure

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// Report is the load report of one co-ordinator, sent to others.
type Report struct {
	From             string
	Incarnation, Seq uint64        // the report with the higher (Incarnation, Seq) is newer
	Age              time.Duration // of the measurement, when the report was sent
	Zone             string
	LocalLoad
	Level    float64 // shed level of the sender, 0 to 1
	Revision int     // of the lane configuration that the sender applies
}

const (
	reportVersion = 1
	// MaxNameLength is the maximum length in bytes of the name of a co-ordinator or a zone, as in the member records. If both names
	// together have 20 bytes, a report with three lanes has at most 80 bytes.
	MaxNameLength = 64
	// MaxRate is the highest rate, in cost per second, that can be encoded; higher ones are encoded as this.
	MaxRate = 1e9
	minRate = 1e-3 // lowest rate above 0 that can be encoded
	// MaxAge is the age above which reports are rejected.
	MaxAge = time.Minute
	// MaxRevision is the highest revision that a report may contain.
	MaxRevision = math.MaxInt32
	// MaxReportSize is the maximum size of an encoded report in bytes.
	MaxReportSize = 1 + 1 + 2*(1+MaxNameLength) + 2*binary.MaxVarintLen64 + 3 + 5 + 6*2 + 1 + MaxLanes
)

// logRateStep is the difference between the logarithms of two adjacent encoded rates; such rates differ by less than 0.1 %.
var logRateStep = math.Log(MaxRate/minRate) / (math.MaxUint16 - 1)

func encodeRate(v float64) uint16 {
	if !(v >= minRate) { // also if v is NaN
		return 0
	}
	return uint16(1 + math.Round(math.Log(min(v, MaxRate)/minRate)/logRateStep))
}

func decodeRate(code uint16) float64 {
	if code == 0 {
		return 0
	}
	return minRate * math.Exp(float64(code-1)*logRateStep)
}

func encodeShare(v float64) uint16 {
	if !(v > 0) {
		return 0
	}
	return uint16(math.Round(min(v, 1) * math.MaxUint16))
}

func decodeShare(code uint16) float64 { return float64(code) / math.MaxUint16 }

// Append appends the encoded report to b. Values that are out of bounds are clamped.
func (r *Report) Append(b []byte) []byte {
	laneCount := MaxLanes
	for laneCount > 0 && !(r.ByLane[laneCount-1] > 0) {
		laneCount--
	}
	flags := byte(laneCount) << 1
	if r.Known {
		flags |= 1
	}
	b = append(b, reportVersion, flags)
	for _, name := range []string{r.From, r.Zone} {
		name = name[:min(len(name), MaxNameLength)]
		b = append(append(b, byte(len(name))), name...)
	}
	b = binary.AppendUvarint(b, r.Incarnation)
	b = binary.AppendUvarint(b, r.Seq)
	b = binary.AppendUvarint(b, uint64(min(max(0, r.Age), MaxAge)/time.Millisecond))
	b = binary.AppendUvarint(b, uint64(min(max(0, r.Revision), MaxRevision)))
	for _, code := range []uint16{encodeShare(r.Pressure), encodeRate(r.Offered), encodeRate(r.InTime), encodeRate(r.Completed), encodeRate(r.Guaranteed), encodeShare(r.Level)} {
		b = binary.BigEndian.AppendUint16(b, code)
	}
	for _, v := range r.ByLane[:laneCount] {
		code := byte(0)
		if v > 0 && r.Offered > 0 {
			code = byte(math.Round(min(1, v/r.Offered) * math.MaxUint8))
		}
		b = append(b, code)
	}
	return b
}

// DecodeReport decodes the report at the start of b and returns the bytes after it. A report that it returns is within all bounds,
// whatever b contains.
func DecodeReport(b []byte) (r Report, rest []byte, err error) {
	if len(b) < 2 {
		return r, nil, fmt.Errorf("pressure: report of %d bytes is too short", len(b))
	}
	if b[0] != reportVersion {
		return r, nil, fmt.Errorf("pressure: report has version %d, this program reads version %d", b[0], reportVersion)
	}
	r.Known = b[1]&1 != 0
	laneCount := int(b[1] >> 1)
	if laneCount > MaxLanes {
		return r, nil, fmt.Errorf("pressure: report has too many lanes: %d", laneCount)
	}
	b = b[2:]
	for _, name := range []*string{&r.From, &r.Zone} {
		if len(b) < 1 || int(b[0]) > MaxNameLength || len(b) < 1+int(b[0]) {
			return r, nil, fmt.Errorf("pressure: report is truncated or has a name that is too long")
		}
		*name, b = string(b[1:1+b[0]]), b[1+b[0]:]
	}
	if r.From == "" {
		return r, nil, fmt.Errorf("pressure: report has no sender")
	}
	var age, revision uint64
	for _, v := range []struct {
		to    *uint64
		limit uint64
	}{{&r.Incarnation, math.MaxUint64}, {&r.Seq, math.MaxUint64}, {&age, uint64(MaxAge / time.Millisecond)}, {&revision, MaxRevision}} {
		n, k := binary.Uvarint(b)
		if k <= 0 || n > v.limit {
			return r, nil, fmt.Errorf("pressure: report of %s has a number that is truncated or above %d", r.From, v.limit)
		}
		*v.to, b = n, b[k:]
	}
	r.Age, r.Revision = time.Duration(age)*time.Millisecond, int(revision)
	if len(b) < 6*2+laneCount {
		return r, nil, fmt.Errorf("pressure: report of %s is truncated", r.From)
	}
	next := func() uint16 { k := binary.BigEndian.Uint16(b); b = b[2:]; return k }
	r.Pressure, r.Offered, r.InTime, r.Completed, r.Guaranteed, r.Level = decodeShare(next()), decodeRate(next()), decodeRate(next()), decodeRate(next()), decodeRate(next()), decodeShare(next())
	laneShareSum := r.Guaranteed / max(r.Offered, minRate)
	for j, code := range b[:laneCount] {
		r.ByLane[j] = float64(code) / math.MaxUint8 * r.Offered
		laneShareSum += float64(code) / math.MaxUint8
	}
	if laneShareSum > 1+float64(MaxLanes+1)/math.MaxUint8 {
		return r, nil, fmt.Errorf("pressure: report of %s has lane shares that add up to %.2f of its offered load", r.From, laneShareSum)
	}
	return r, b[laneCount:], nil
}
