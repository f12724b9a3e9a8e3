// Package frame speaks the frames between co-ordinator and replica: a length of four bytes, most significant
// first, one letter, and the rest. It does no I/O.
package frame

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
	"unicode/utf8"
)

// Letters of the frames.
const (
	Call   = 'A' // parts that are asked for
	GiveUp = 'B' // a part that is given up
	Probe  = 'C'
	Load   = 'D' // a probe for load
	Answer = 'E'
	Unfit  = 'F' // the frame before could not be used
)

// Ends of a part.
const (
	Hit      = "hit"
	Fault    = "fault"
	Overload = "overload"
)

const lengthBytes = 4

// ErrLength tells of a frame that is empty or over the limit.
var ErrLength = errors.New("frame: length out of bounds")

// ErrCut tells of a frame whose end never came.
var ErrCut = errors.New("frame: cut short")

// Split returns a split function whose tokens are a frame's letter and its rest, with at most limit bytes.
func Split(limit int) bufio.SplitFunc {
	return func(data []byte, atEOF bool) (int, []byte, error) {
		if len(data) < lengthBytes {
			return short(data, atEOF)
		}
		n := binary.BigEndian.Uint32(data)
		if n == 0 || uint64(n) > uint64(limit) {
			return 0, nil, fmt.Errorf("%w: %d", ErrLength, n)
		}
		end := lengthBytes + int(n)
		if len(data) < end {
			return short(data, atEOF)
		}
		return end, data[lengthBytes:end], nil
	}
}

func short(data []byte, atEOF bool) (int, []byte, error) {
	if atEOF && len(data) > 0 {
		return 0, nil, ErrCut
	}
	return 0, nil, nil
}

// Part is one part of a call.
type Part struct {
	ID    string
	Shard int
	Wait  int64 // ms that the co-ordinator will wait
	From  []int // second step: the shards that were in
	Whole bool  // second step: whether the first was whole
	Text  []byte
}

// AppendCall appends the frame of one call.
func AppendCall(b []byte, parts []Part) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0, Call)
	for i := range parts {
		p := &parts[i]
		b = append(append(b, p.ID...), ' ')
		b = append(strconv.AppendInt(b, int64(p.Shard), 10), " d="...)
		b = strconv.AppendInt(b, p.Wait, 10)
		if p.From != nil {
			b = append(b, ",from="...)
			for j, s := range p.From {
				if j > 0 {
					b = append(b, '+')
				}
				b = strconv.AppendInt(b, int64(s), 10)
			}
			if p.Whole {
				b = append(b, ",whole=1"...)
			} else {
				b = append(b, ",whole=0"...)
			}
		}
		b = strconv.AppendInt(append(b, ' '), int64(len(p.Text)), 10)
		b = append(append(b, '\n'), p.Text...)
	}
	return seal(b, at)
}

// AppendGiveUp appends the frame that gives up a part.
func AppendGiveUp(b []byte, id string) []byte {
	at := len(b)
	return seal(append(append(b, 0, 0, 0, 0, GiveUp), id...), at)
}

// AppendProbe appends a probe, of either letter.
func AppendProbe(b []byte, letter byte) []byte {
	at := len(b)
	return seal(append(b, 0, 0, 0, 0, letter), at)
}

func seal(b []byte, at int) []byte {
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at-lengthBytes))
	return b
}

// Result is what a replica says of one part. Its slices belong to the frame that it was read from.
type Result struct {
	ID, End []byte
	Score   int64
	Report  []byte // nil if there is none
	Value   []byte
}

// ParseAnswer reads the rest of an answer: a line `ID END SCORE REPORT` and the value. With an error the result
// holds the id alone, if that could be read. What stands in place of a report is for ParseReport to judge: the
// answer is good without one.
func ParseAnswer(rest []byte) (Result, error) {
	line, value, ok := bytes.Cut(rest, []byte{'\n'})
	f := bytes.SplitN(line, []byte{' '}, 4)
	if !ok || len(f) != 4 || len(f[0]) == 0 {
		if len(f) > 1 {
			return Result{ID: f[0]}, fmt.Errorf("frame: answer line of %d fields", len(f))
		}
		return Result{}, errors.New("frame: answer without a line")
	}
	r := Result{ID: f[0], End: f[1], Value: value}
	switch string(r.End) {
	case Hit, Fault, Overload:
	default:
		return Result{ID: f[0]}, fmt.Errorf("frame: unknown end %q", r.End)
	}
	if s := string(f[2]); s != "-" {
		score, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return Result{ID: f[0]}, fmt.Errorf("frame: score %q", s)
		}
		r.Score = score
	}
	if !text(value) {
		return Result{ID: f[0]}, errors.New("frame: value is no text")
	}
	if !bytes.Equal(f[3], []byte{'-'}) {
		r.Report = f[3]
	}
	return r, nil
}

// text tells whether a value can be what it seems: a length that is too long takes in the frame behind, whose own
// length begins with a byte that no text holds.
func text(value []byte) bool { return bytes.IndexByte(value, 0) < 0 && utf8.Valid(value) }

// reported gives the settings' names of what reports call otherwise.
var reported = map[string]string{
	"inflight": "active", "queue": "waiting", "util": "cpu", "latency_ms": "avg_ms", "qps": "rps", "eps": "err_rps",
}

// ParseReport reads `name=value,name=value` into the order of names; what is absent is 0.
func ParseReport(report []byte, names []string) ([]float64, error) {
	if len(report) == 0 || len(names) == 0 {
		return nil, nil
	}
	out := make([]float64, len(names))
	for item := range bytes.SplitSeq(report, []byte{','}) {
		name, text, ok := bytes.Cut(item, []byte{'='})
		v, err := strconv.ParseFloat(string(text), 64)
		if !ok || err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return nil, fmt.Errorf("frame: report %q", item)
		}
		for i, n := range names {
			if n == string(name) || n == reported[string(name)] {
				out[i] = v
			}
		}
	}
	return out, nil
}
