// Package record writes and reads recorded traffic, in the format of docs/formats/record.md: when queries came, what
// they asked for and how they ended, never what they said.
//
// The writer never waits for the disk: records queue up to a bound, and what finds the queue full, or the disk
// refusing, is dropped and counted in the file itself. The reader passes over what is damaged and says how much.
package record

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"
)

const (
	magic     = "BCREC1\n\n"
	headBytes = 12      // of a block: mark, length, sum
	blockMost = 1 << 20 // bytes of a body
	linesMost = 4 << 20 // bytes of its lines

	queueMost  = 8192            // records that wait, some 2 MB; a second of a very busy co-ordinator
	blockLines = 64 << 10        // bytes of lines from which a block is written
	blockTime  = 2 * time.Second // or since its first line: what a kill may lose
)

var (
	mark  = []byte{0xB1, 0x0C, 0x5E, 0xED}
	table = crc32.MakeTable(crc32.Castagnoli)
)

// Record is one line. Kind says which fields hold.
type Record struct {
	Kind    string    `json:"t"`
	At      string    `json:"at,omitempty"`   // start
	Node    string    `json:"node,omitempty"` // start
	Micros  int64     `json:"us"`             // since the start
	Number  uint64    `json:"n,omitempty"`
	Class   string    `json:"class,omitempty"`
	Tenant  string    `json:"tenant,omitempty"`
	Front   string    `json:"front,omitempty"`
	Retry   bool      `json:"retry,omitempty"`
	Wait    int64     `json:"wait_us,omitempty"`
	Shards  []int     `json:"shards,omitempty"`
	Weights []float64 `json:"weights,omitempty"`
	Work    []float64 `json:"work_us,omitempty"`
	Status  string    `json:"status,omitempty"`
	In      int       `json:"in,omitempty"`
	Count   int       `json:"count,omitempty"` // lost
}

// Writer writes records to a file or the like.
type Writer struct {
	to    io.Writer
	start time.Time

	mu     sync.Mutex
	queue  []Record
	lost   int
	closed bool
	wake   chan struct{}
	done   chan struct{}
	err    error
}

// NewWriter begins a recording of a node at a time. Write errors are dropped records, and Err.
func NewWriter(to io.Writer, node string, start time.Time) *Writer {
	w := &Writer{to: to, start: start, wake: make(chan struct{}, 1), done: make(chan struct{})}
	w.queue = append(w.queue, Record{Kind: "start", At: start.UTC().Format(time.RFC3339Nano), Node: node})
	go w.run()
	return w
}

// Since is a time as records have it.
func (w *Writer) Since(t time.Time) int64 { return t.Sub(w.start).Microseconds() }

// Put queues one record. It never waits; a record that finds the queue full is counted as lost.
func (w *Writer) Put(r Record) {
	w.mu.Lock()
	if w.closed || len(w.queue) >= queueMost {
		w.lost++
	} else {
		w.queue = append(w.queue, r)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// PutAll queues one record and waits for room: for copies, which have no one to delay.
func (w *Writer) PutAll(r Record) {
	for {
		w.mu.Lock()
		room := len(w.queue) < queueMost/2
		w.mu.Unlock()
		if room {
			w.Put(r)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Close writes what waits, for so long at the most, and returns the first error of writing.
func (w *Writer) Close(wait time.Duration) error {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
	case <-time.After(wait):
		return errors.New("recording: the disk takes too long; the end is lost")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

func (w *Writer) run() {
	defer close(w.done)
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(256<<10))
	if err != nil {
		panic("record: " + err.Error()) // of options that are constants
	}
	defer enc.Close()
	var lines bytes.Buffer
	held, lost := 0, 0 // records in lines; records lost and not yet told of
	var began time.Time
	headed := false
	flush := func() {
		if lines.Len() == 0 {
			return
		}
		body := enc.EncodeAll(lines.Bytes(), nil)
		block := binary.LittleEndian.AppendUint32(append([]byte(nil), mark...), uint32(len(body)))
		block = append(binary.LittleEndian.AppendUint32(block, crc32.Checksum(body, table)), body...)
		if !headed {
			block = append([]byte(magic), block...)
		}
		if _, err := w.to.Write(block); err != nil {
			w.mu.Lock()
			if w.err == nil {
				w.err = fmt.Errorf("recording: %w", err)
			}
			w.mu.Unlock()
			lost += held
		} else {
			headed = true
		}
		lines.Reset()
		held = 0
	}
	add := func(r *Record) {
		raw, err := json.Marshal(r)
		if err != nil {
			lost++
			return
		}
		if lines.Len() == 0 {
			began = time.Now()
		}
		lines.Write(append(raw, '\n'))
		if held++; r.Kind == "lost" {
			held += r.Count - 1 // those that it tells of are lost with it
		}
		if lines.Len() >= blockLines {
			flush()
		}
	}
	for {
		w.mu.Lock()
		records, closed := w.queue, w.closed
		lost += w.lost
		w.queue, w.lost = nil, 0
		w.mu.Unlock()
		for i := range records {
			add(&records[i])
		}
		if lost > 0 {
			n := lost
			lost = 0
			add(&Record{Kind: "lost", Micros: w.Since(time.Now()), Count: n})
		}
		if closed {
			flush()
			return
		}
		if lines.Len() > 0 && time.Since(began) >= blockTime {
			flush()
		}
		var late <-chan time.Time
		if lines.Len() > 0 {
			late = time.After(blockTime - time.Since(began))
		}
		select {
		case <-w.wake:
		case <-late:
		}
	}
}

// Reader reads records.
type Reader struct {
	in      *bufio.Reader
	dec     *zstd.Decoder
	lines   *bufio.Scanner
	Skipped int64 // bytes passed over as damaged or cut, so far
	headed  bool
}

// NewReader reads from r.
func NewReader(r io.Reader) (*Reader, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(linesMost))
	if err != nil {
		return nil, err
	}
	return &Reader{in: bufio.NewReaderSize(r, headBytes+blockMost), dec: dec}, nil
}

// Next returns the next record, io.EOF behind the last. What does not begin as a recording is another error.
func (r *Reader) Next() (*Record, error) {
	if !r.headed {
		head, err := r.in.Peek(len(magic))
		if err != nil || string(head) != magic {
			return nil, errors.New("recording: it does not begin as one")
		}
		r.in.Discard(len(magic))
		r.headed = true
	}
	for {
		for r.lines != nil && r.lines.Scan() {
			var rec Record
			if json.Unmarshal(r.lines.Bytes(), &rec) == nil && rec.Kind != "" {
				return &rec, nil
			}
		}
		text, err := r.block()
		if err != nil {
			return nil, err
		}
		r.lines = bufio.NewScanner(bytes.NewReader(text))
		r.lines.Buffer(nil, linesMost)
	}
}

// block finds the next whole block and returns its lines.
func (r *Reader) block() ([]byte, error) {
	for {
		head, err := r.in.Peek(headBytes)
		if len(head) == 0 && err == io.EOF {
			return nil, io.EOF
		}
		if err != nil && err != io.EOF {
			return nil, fmt.Errorf("recording: %w", err)
		}
		if len(head) == headBytes && bytes.Equal(head[:4], mark) {
			n := int(binary.LittleEndian.Uint32(head[4:]))
			sum := binary.LittleEndian.Uint32(head[8:])
			if n > 0 && n <= blockMost {
				all, _ := r.in.Peek(headBytes + n)
				if len(all) == headBytes+n && crc32.Checksum(all[headBytes:], table) == sum {
					if text, err := r.dec.DecodeAll(all[headBytes:], nil); err == nil {
						r.in.Discard(headBytes + n)
						return text, nil
					}
				}
			}
		}
		r.in.Discard(1) // not here: look a byte on
		r.Skipped++
	}
}
