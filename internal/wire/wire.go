// Package wire is the codec of the bench protocol: batches of text lines in, action lines out.
package wire

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"

	"birchcart/internal/settings"
	"birchcart/policy"
)

// Op tells what a decoded Item asks of the host.
type Op uint8

// Operations of an Item.
const (
	Start  Op = iota // a new life of an instance
	Killed           // the instance died
	Deliver
)

// Item is one decoded line that concerns an instance.
type Item struct {
	Op       Op
	Instance int
	Config   policy.Config
	Event    policy.Event
}

// Decoder reads batches. Lists travel once for each process and are kept by their number.
type Decoder struct {
	in    *bufio.Reader
	line  int
	pools map[uint64][]poolEntry
	names map[int]*settings.Names
	long  []byte
}

type poolEntry struct {
	entry policy.Entry
	zone  string
}

// NewDecoder returns a decoder of r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(r, 1<<16), pools: map[uint64][]poolEntry{}, names: map[int]*settings.Names{}}
}

func (d *Decoder) read() (string, error) {
	d.long = d.long[:0]
	for {
		b, err := d.in.ReadSlice('\n')
		d.long = append(d.long, b...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			if err == io.EOF && len(d.long) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return "", err
		}
		d.line++
		return string(bytes.TrimRight(d.long, "\r\n")), nil
	}
}

// Batch reads one batch. It returns io.EOF when input has ended.
func (d *Decoder) Batch(items []Item) (float64, []Item, error) {
	line, err := d.read()
	if err != nil {
		return 0, nil, err
	}
	name, rest, _ := strings.Cut(line, "\t")
	if name != "BATCH" {
		return 0, nil, fmt.Errorf("line %d: want BATCH, got %q", d.line, name)
	}
	now, seen := 0.0, false
	f := fields{d: d, rest: rest}
	for f.next() {
		if f.name == "at_time_s" {
			now, seen = f.float(), true
		}
	}
	if f.err != nil {
		return 0, nil, f.err
	}
	if !seen {
		return 0, nil, fmt.Errorf("line %d: BATCH lacks field %q", d.line, "at_time_s")
	}
	for {
		if line, err = d.read(); err != nil {
			if err == io.EOF {
				err = fmt.Errorf("line %d: input ended within a batch", d.line)
			}
			return 0, nil, err
		}
		name, rest, _ = strings.Cut(line, "\t")
		switch name {
		case "YOUR_TURN":
			return now, items, nil
		case "POOL":
			err = d.pool(rest)
		default:
			var it Item
			var ok bool
			if it, ok, err = d.event(name, rest); ok {
				items = append(items, it)
			}
		}
		if err != nil {
			return 0, nil, err
		}
	}
}

func (d *Decoder) pool(rest string) error {
	f := fields{d: d, rest: rest}
	number, count := uint64(0), 0
	for f.next() {
		switch f.name {
		case "buffer":
			number = f.uint()
		case "rows_in":
			count = f.int()
		}
	}
	if f.err == nil && count < 0 {
		f.name = "rows_in"
		f.fail("is negative")
	}
	if f.err != nil {
		return f.err
	}
	var rows []poolEntry
	for range count {
		line, err := d.read()
		if err != nil {
			return fmt.Errorf("line %d: list ended early", d.line)
		}
		name, rest, _ := strings.Cut(line, "\t")
		if name != "ENTRY" {
			return fmt.Errorf("line %d: want ENTRY, got %q", d.line, name)
		}
		row := poolEntry{entry: policy.Entry{Zone: -1, Size: 1}}
		f := fields{d: d, rest: rest}
		for f.next() {
			switch f.name {
			case "replica":
				row.entry.Replica = f.uint()
				row.entry.SharedID = row.entry.Replica
			case "zone":
				row.zone = f.val
			case "position":
				row.entry.Cell = f.int()
			case "share":
				row.entry.Size = f.float()
			case "last_start_s":
				row.entry.Started = f.float()
			case "readiness":
				switch f.val {
				case "up":
					row.entry.State = policy.Up
				case "draining":
					row.entry.State = policy.Draining
				case "removed":
					row.entry.State = policy.Removed
				default:
					f.fail(fmt.Sprintf("is unknown: %q", f.val))
				}
			}
		}
		if f.err != nil {
			return f.err
		}
		rows = append(rows, row)
	}
	d.pools[number] = rows
	return nil
}
