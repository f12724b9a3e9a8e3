// Package wire is the codec of the bench protocol: batches of text lines in, action lines out.
package wire

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
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

// fields walks the name=value pairs of one line.
type fields struct {
	d    *Decoder
	rest string
	name string
	val  string
	err  error
}

func (f *fields) next() bool {
	if f.rest == "" || f.err != nil {
		return false
	}
	part, rest, _ := strings.Cut(f.rest, "\t")
	f.rest = rest
	var ok bool
	if f.name, f.val, ok = strings.Cut(part, "="); !ok {
		f.name = part
		f.fail("has no value")
		return false
	}
	return true
}

func (f *fields) fail(why string) {
	if f.err == nil {
		f.err = fmt.Errorf("line %d: field %q %s", f.d.line, f.name, why)
	}
}

func (f *fields) uint() uint64 {
	v, err := strconv.ParseUint(f.val, 10, 64)
	if err != nil {
		f.fail(fmt.Sprintf("is not a whole number: %q", f.val))
	}
	return v
}

func (f *fields) int() int {
	v, err := strconv.Atoi(f.val)
	if err != nil {
		f.fail(fmt.Sprintf("is not a whole number: %q", f.val))
	}
	return v
}

func (f *fields) float() float64 {
	v, err := strconv.ParseFloat(f.val, 64)
	if err != nil {
		f.fail(fmt.Sprintf("is not a number: %q", f.val))
	}
	return v
}

func (f *fields) bool() bool {
	switch f.val {
	case "1", "true":
		return true
	case "0", "false":
		return false
	}
	f.fail(fmt.Sprintf("is not 1 or 0: %q", f.val))
	return false
}

func (f *fields) floats() []float64 {
	if f.val == "" || f.val == "-" {
		return nil
	}
	items := strings.Split(f.val, ",")
	out := make([]float64, 0, len(items))
	for _, s := range items {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil {
			f.fail(fmt.Sprintf("is not a row of numbers: %q", f.val))
		}
		out = append(out, v)
	}
	return out
}

func (f *fields) place(names []string) int {
	if i := settings.Place(names, f.val); i >= 0 {
		return i
	}
	f.fail(fmt.Sprintf("names what the settings do not: %q", f.val))
	return -1
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
				row.entry.Common = row.entry.Replica
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

var outcomes = []struct {
	name string
	code policy.Outcome
}{
	{"OK", policy.OK}, {"INTERNAL", policy.Failed}, {"RESOURCE_EXHAUSTED", policy.Rejected},
	{"DEADLINE_EXCEEDED", policy.TimedOut}, {"UNAVAILABLE", policy.Unreachable}, {"ABORTED", policy.Broken},
	{"CANCELLED", policy.Revoked}, {"TOO_LATE", policy.Moot},
}

func (f *fields) outcome() policy.Outcome {
	for _, o := range outcomes {
		if o.name == f.val {
			return o.code
		}
	}
	f.fail(fmt.Sprintf("is no outcome: %q", f.val))
	return 0
}

// event decodes one line; ok is false for what the decisions have no use for.
func (d *Decoder) event(name, rest string) (it Item, ok bool, err error) {
	it = Item{Op: Deliver, Instance: -1}
	ev := &it.Event
	ev.Tenant = -1
	f := fields{d: d, rest: rest}
	var names *settings.Names
	var pairs []string
	// The instance's number decides how names are read, so it is looked for before the other fields.
	for g := f; g.next(); {
		if g.name == "co-ordinator" {
			it.Instance = g.int()
			if g.err != nil {
				return it, false, g.err
			}
			break
		}
	}
	if it.Instance < 0 {
		return it, false, fmt.Errorf("line %d: %s lacks field %q", d.line, name, "co-ordinator")
	}
	if names = d.names[it.Instance]; names == nil {
		names = &settings.Names{}
	}
	switch name {
	case "HELLO":
		for f.next() {
			switch f.name {
			case "co-ordinator":
			case "seed":
				it.Config.Seed = f.uint()
			default:
				pairs = append(pairs, f.name, f.val)
			}
		}
		if f.err != nil {
			return it, false, f.err
		}
		it.Op = Start
		seed := it.Config.Seed
		if it.Config, names, err = settings.Config(settings.FromPairs(pairs)); err != nil {
			return it, false, fmt.Errorf("line %d: %w", d.line, err)
		}
		it.Config.Seed = seed
		d.names[it.Instance] = names
		return it, true, nil
	case "KILLED":
		it.Op = Killed
		return it, true, nil
	case "PEER_DATA", "ESTABLISHED":
		return it, false, nil
	case "REQ":
		ev.Shard, ev.Kind = -1, policy.QueryArrived
		amount := 0.0
		id := uint64(0)
		for f.next() {
			switch f.name {
			case "rid":
				id = f.uint()
			case "group_no":
				ev.Group = f.uint()
			case "share_or_count":
				amount = f.float()
			case "customer":
				ev.Tenant = f.place(names.Tenants)
			case "due_s":
				ev.Due = f.float()
			case "work_hint_s":
				ev.Work = f.float()
			case "is_retry":
				ev.Retry = f.bool()
			case "priority":
				ev.Class = f.place(names.Classes)
			case "segment_no":
				ev.Shard = f.int()
			}
		}
		if ev.Shard >= 0 {
			ev.Kind, ev.Part, ev.Weight = policy.PartArrived, id, amount
		} else {
			ev.Query, ev.Count = id, int(amount+0.5)
		}
	case "CLOSED_ATTEMPT", "ECHO":
		ev.Kind = policy.AttemptEnded
		if name == "ECHO" {
			ev.Kind = policy.ProbeEnded
		}
		for f.next() {
			switch f.name {
			case "rid":
				ev.Part = f.uint()
			case "wait_time_s":
				ev.Took = f.float()
			case "send_no":
				ev.Attempt = f.int()
			case "replica":
				ev.Replica = f.uint()
			case "reason":
				ev.Outcome = f.outcome()
			case "health_info":
				ev.Report = f.floats()
			}
		}
	case "LAPSED":
		ev.Kind = policy.ClientLeft
		for f.next() {
			if f.name == "rid" {
				ev.Query = f.uint()
			}
		}
	case "ALARM":
		ev.Kind = policy.TimerFired
		for f.next() {
			if f.name == "handle" {
				ev.Handle = f.uint()
			}
		}
	case "ENDPOINTS":
		ev.Kind = policy.ListChanged
		number := uint64(0)
		for f.next() {
			switch f.name {
			case "buffer":
				number = f.uint()
			case "how":
				switch f.val {
				case "diff":
				case "snapshot":
					ev.Full = true
				case "disk":
					ev.Full, ev.Stale = true, true
				case "error":
					ev.Kind = policy.ListFailed
				default:
					f.fail(fmt.Sprintf("is unknown: %q", f.val))
				}
			}
		}
		if f.err == nil && ev.Kind == policy.ListChanged {
			rows, known := d.pools[number]
			if !known {
				return it, false, fmt.Errorf("line %d: field %q names no list: %d", d.line, "buffer", number)
			}
			ev.List = make([]policy.Entry, len(rows))
			for i, row := range rows {
				ev.List[i] = row.entry
				ev.List[i].Zone = settings.Place(names.Zones, row.zone)
			}
		}
	default:
		return it, false, fmt.Errorf("line %d: unknown message %q", d.line, name)
	}
	return it, f.err == nil, f.err
}
