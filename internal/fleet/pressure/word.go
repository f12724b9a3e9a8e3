package pressure

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// Report is what one co-ordinator says of itself.
type Report struct {
	From             string
	Incarnation, Seq uint64        // what is higher is newer
	Age              time.Duration // of its figures, when it was sent
	Zone             string
	LocalLoad
	Level    float64 // that it sheds at, 0 to 1
	Revision int     // of the configuration of lanes that it goes by
}

const (
	reportVersion = 1
	// MaxNameLength is bytes of a name and of a zone, as the members' records have it. With both of them in 20 bytes a word of three
	// lanes takes 80 at most.
	MaxNameLength = 64
	// MaxRate is a cost a second: what is more is said as this.
	MaxRate = 1e9
	minRate = 1e-3 // the least rate that is said
	// MaxAge is the age of the oldest word that is taken.
	MaxAge = time.Minute
	// MaxRevision is the highest revision that a word may name.
	MaxRevision = math.MaxInt32
	// MaxReportSize is bytes of a word, the longest.
	MaxReportSize = 1 + 1 + 2*(1+MaxNameLength) + 2*binary.MaxVarintLen64 + 3 + 5 + 6*2 + 1 + MaxLanes
)

// logRateStep is by how much two rates differ that are said apart: under a thousandth.
var logRateStep = math.Log(MaxRate/minRate) / (math.MaxUint16 - 1)

func encodeRate(v float64) uint16 {
	if !(v >= minRate) { // NaN as well
		return 0
	}
	return uint16(1 + math.Round(math.Log(min(v, MaxRate)/minRate)/logRateStep))
}

func decodeRate(k uint16) float64 {
	if k == 0 {
		return 0
	}
	return minRate * math.Exp(float64(k-1)*logRateStep)
}

func encodeShare(v float64) uint16 {
	if !(v > 0) {
		return 0
	}
	return uint16(math.Round(min(v, 1) * math.MaxUint16))
}

func decodeShare(k uint16) float64 { return float64(k) / math.MaxUint16 }

// Append adds the word to b. What no honest co-ordinator says is brought within bounds.
func (w *Report) Append(b []byte) []byte {
	lanes := MaxLanes
	for lanes > 0 && !(w.ByLane[lanes-1] > 0) {
		lanes--
	}
	flags := byte(lanes) << 1
	if w.Known {
		flags |= 1
	}
	b = append(b, reportVersion, flags)
	for _, s := range []string{w.From, w.Zone} {
		s = s[:min(len(s), MaxNameLength)]
		b = append(append(b, byte(len(s))), s...)
	}
	b = binary.AppendUvarint(b, w.Incarnation)
	b = binary.AppendUvarint(b, w.Seq)
	b = binary.AppendUvarint(b, uint64(min(max(0, w.Age), MaxAge)/time.Millisecond))
	b = binary.AppendUvarint(b, uint64(min(max(0, w.Revision), MaxRevision)))
	for _, k := range []uint16{encodeShare(w.Pressure), encodeRate(w.Offered), encodeRate(w.InTime), encodeRate(w.Completed), encodeRate(w.Guaranteed), encodeShare(w.Level)} {
		b = binary.BigEndian.AppendUint16(b, k)
	}
	for _, v := range w.ByLane[:lanes] {
		k := byte(0)
		if v > 0 && w.Offered > 0 {
			k = byte(math.Round(min(1, v/w.Offered) * math.MaxUint8))
		}
		b = append(b, k)
	}
	return b
}

// DecodeReport reads a word at the start of b and gives what follows it. Whatever is in b, a word that is taken is within all bounds.
func DecodeReport(b []byte) (w Report, rest []byte, err error) {
	if len(b) < 2 {
		return w, nil, fmt.Errorf("pressure: a word of %d bytes", len(b))
	}
	if b[0] != reportVersion {
		return w, nil, fmt.Errorf("pressure: a word of version %d, known is %d", b[0], reportVersion)
	}
	w.Known = b[1]&1 != 0
	lanes := int(b[1] >> 1)
	if lanes > MaxLanes {
		return w, nil, fmt.Errorf("pressure: a word of %d lanes", lanes)
	}
	b = b[2:]
	for _, s := range []*string{&w.From, &w.Zone} {
		if len(b) < 1 || int(b[0]) > MaxNameLength || len(b) < 1+int(b[0]) {
			return w, nil, fmt.Errorf("pressure: a word ends or runs on in a name")
		}
		*s, b = string(b[1:1+b[0]]), b[1+b[0]:]
	}
	if w.From == "" {
		return w, nil, fmt.Errorf("pressure: a word of nobody")
	}
	var age, revision uint64
	for _, v := range []struct {
		to   *uint64
		most uint64
	}{{&w.Incarnation, math.MaxUint64}, {&w.Seq, math.MaxUint64}, {&age, uint64(MaxAge / time.Millisecond)}, {&revision, MaxRevision}} {
		n, k := binary.Uvarint(b)
		if k <= 0 || n > v.most {
			return w, nil, fmt.Errorf("pressure: a word of %s with a number that ends early or is over %d", w.From, v.most)
		}
		*v.to, b = n, b[k:]
	}
	w.Age, w.Revision = time.Duration(age)*time.Millisecond, int(revision)
	if len(b) < 6*2+lanes {
		return w, nil, fmt.Errorf("pressure: a word of %s ends early", w.From)
	}
	next := func() uint16 { k := binary.BigEndian.Uint16(b); b = b[2:]; return k }
	w.Pressure, w.Offered, w.InTime, w.Completed, w.Guaranteed, w.Level = decodeShare(next()), decodeRate(next()), decodeRate(next()), decodeRate(next()), decodeRate(next()), decodeShare(next())
	all := w.Guaranteed / max(w.Offered, minRate)
	for j, k := range b[:lanes] {
		w.ByLane[j] = float64(k) / math.MaxUint8 * w.Offered
		all += float64(k) / math.MaxUint8
	}
	if all > 1+float64(MaxLanes+1)/math.MaxUint8 {
		return w, nil, fmt.Errorf("pressure: a word of %s that parts %.2f of what it is asked into lanes", w.From, all)
	}
	return w, b[lanes:], nil
}
