package fleetsim

import (
	"fmt"
	"math"
	"math/bits"
	"reflect"
	"slices"
	"sync"
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
)

// Two states of the search are one if they differ only in when they are: each time counts by how far it is from now, each
// poll's number by how far it is from its co-ordinator's newest, and what nothing asks for any more does not count. So a
// fleet that waits is in one state however long it has waited, and the search of a small world has an end.
// TestOneStateGoesOnAlike plays states that count as one on and finds that what follows counts as one too.

const (
	smallBegin = 1_000_000 * time.Second // of every search: by its size a time is told from a duration
	// oldMost is the age over which times count as one: more than the longest pause and the span of flapping, 8 x 8 s, and
	// oldShort the same in plans of short times, 8 x 2 s.
	oldMost  = 70 * time.Second
	oldShort = 18 * time.Second
	// warmMost is the same for a machine's starts, which are asked for their warm-up; whether one is the newest is told by
	// smallStarts.
	warmMost = 10 * time.Second
)

// mode says how a field counts.
type mode uint8

const (
	whole mode = iota
	none       // it doesn't: derived from others, words for people, or never asked for
	start      // a start
	ahead      // a time that matters until it has passed
)

// modes are by type and field; a field that is not named counts whole.
var modes = map[string]mode{
	"view.View.out": none, "view.View.index": none, "view.pollState.sequence": none, // see canon.poll and small.digest
	"statemachine.Machine.parts": none, "statemachine.Machine.index": none, "statemachine.Machine.ids": none, "statemachine.Machine.seen": none,
	"maintenance.State.byID": none, "maintenance.State.machines": none, "maintenance.State.cells": none, "maintenance.State.latest": none,
	"maintenance.State.sums": none, "maintenance.State.sumsValid": none, "maintenance.State.pauseReason": none, "maintenance.request.FirstSeenAt": none,
	"maintenance.machine.live": none, "maintenance.machine.pending": none, "maintenance.machine.GoneAt": none, "maintenance.machine.Settle": ahead,
	"maintenance.Machine.Started": start, "maintenance.Item.StartedAt": start, "maintenance.Item.Reason": none, "maintenance.Item.RequestedAt": none,
	"history.Checker.items": none, "history.Checker.commands": none, "history.Checker.moved": none, "history.Checker.running": none,
	"history.Checker.Figures": none, "history.Checker.names": none, "history.Item.Asked": none, "history.truth.warm": ahead,
	"history.peer.lease": ahead, "history.truth.goes": none, "history.standing.told": none, "fleetsim.smallRoom.start": start,
}

// brief are the fields that do not count where the struct says so: those of what has gone by.
var brief = map[string][]struct {
	fields []string
	says   func(c *canon, v reflect.Value) bool
}{
	"maintenance.Item": {
		{[]string{"GrantedAt", "Until", "AcknowledgedAt", "OutAt", "ReturnedAt", "EndedAt", "StartedAt"}, func(_ *canon, v reflect.Value) bool {
			phase := v.FieldByName("Phase").String()
			return phase != "asked" && !running(phase)
		}},
		{[]string{"GrantedAt", "AcknowledgedAt", "OutAt", "ReturnedAt"}, func(_ *canon, v reflect.Value) bool { // its end counts from then on
			phase := v.FieldByName("Phase").String()
			return phase == "out" || phase == "back"
		}},
	},
	"maintenance.flapHistory": {{[]string{"UpAt"}, func(_ *canon, v reflect.Value) bool { return !v.FieldByName("Flapping").Bool() }}},
	"view.View": {{[]string{"firstStepAt"}, func(_ *canon, v reflect.Value) bool {
		return v.FieldByName("polls").FieldByName("answered").Bool()
	}}},
	"history.standing": {
		{[]string{"granted"}, func(_ *canon, v reflect.Value) bool { return v.FieldByName("went").Bool() }},
		{[]string{"granted", "went", "rose"}, func(_ *canon, v reflect.Value) bool { return !running(v.FieldByName("Phase").String()) }},
	},
	"history.Item": {{[]string{"Lapses"}, func(_ *canon, v reflect.Value) bool { return !running(v.FieldByName("Phase").String()) }}},
	"history.truth": {
		{[]string{"lax", "sure"}, func(c *canon, v reflect.Value) bool { // asked for after a failure only
			lax, sure := v.FieldByName("lax"), v.FieldByName("sure")
			rose, _ := c.since(time.Duration(lax.FieldByName("rose").Int()))
			return (rose == 0 || rose < -warmMost) && !v.FieldByName("again").Bool() && !lax.FieldByName("on").Bool() && !sure.FieldByName("on").Bool() &&
				lax.FieldByName("fails").Len() == 0 && sure.FieldByName("fails").Len() == 0
		}},
		{[]string{"overdue"}, func(c *canon, v reflect.Value) bool { // up and warm, it is neither away nor excused
			return v.FieldByName("up").Bool() && c.now > time.Duration(v.FieldByName("warm").Int())
		}},
	},
}

func running(phase string) bool {
	return phase == "granted" || phase == "told" || phase == "out" || phase == "back"
}

// canon digests values as they count at a time.
type canon struct {
	now  time.Duration
	old  time.Duration // age over which times count as one
	poll uint64        // newest number of a view's polls
	sum  uint64
}

func (c *canon) word(x uint64) {
	hi, lo := bits.Mul64(c.sum^x^0x9e3779b97f4a7c15, 0xd6e8feb86659fd93)
	c.sum = bits.RotateLeft64(hi^lo, 23) + x*0xa0761d6478bd642f
}

func (c *canon) text(s string) {
	c.word(uint64(len(s)))
	for ; len(s) > 8; s = s[8:] {
		c.word(uint64(s[0]) | uint64(s[1])<<8 | uint64(s[2])<<16 | uint64(s[3])<<24 | uint64(s[4])<<32 | uint64(s[5])<<40 |
			uint64(s[6])<<48 | uint64(s[7])<<56)
	}
	var x uint64
	for i := range len(s) {
		x |= uint64(s[i]) << (8 * i)
	}
	c.word(x)
}

// since is a time against now, whichever clock it is of, and whether d is a time at all.
func (c *canon) since(d time.Duration) (time.Duration, bool) {
	switch {
	case d > smallBegin/2 && d < 2*smallBegin:
		return d - c.now, true
	case d > clockwork.Epoch-smallBegin && d < clockwork.Epoch+2*smallBegin:
		return d - clockwork.Epoch - c.now, true
	}
	return d, false
}

func (c *canon) time(d time.Duration, m mode) {
	rel, is := c.since(d)
	switch {
	case !is:
	case m == ahead && rel < 0, m == start && rel < -warmMost, rel < -c.old:
		rel = math.MinInt64
	}
	c.word(uint64(rel))
}

// fieldPlan is how a struct's field counts; briefs are those of the struct's type that may take it away, as bits.
type fieldPlan struct {
	at     int
	mode   mode
	briefs uint
}

var plans sync.Map // of []fieldPlan, by type

func planOf(t reflect.Type) []fieldPlan {
	if p, ok := plans.Load(t); ok {
		return p.([]fieldPlan)
	}
	var p []fieldPlan
	for i := range t.NumField() {
		f := fieldPlan{at: i, mode: modes[t.String()+"."+t.Field(i).Name]}
		for k, b := range brief[t.String()] {
			if slices.Contains(b.fields, t.Field(i).Name) {
				f.briefs |= 1 << k
			}
		}
		if f.mode != none {
			p = append(p, f)
		}
	}
	plans.Store(t, p)
	return p
}

var durationType = reflect.TypeFor[time.Duration]()

func (c *canon) value(v reflect.Value, m mode) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			c.word(0)
			return
		}
		c.word(1)
		c.value(v.Elem(), m)
	case reflect.Struct:
		t := v.Type()
		switch t.String() {
		case "view.pollState":
			c.poll = v.FieldByName("sequence").Uint()
		case "view.sentPoll":
			c.word(c.poll - v.FieldByName("sequence").Uint())
			c.time(time.Duration(v.FieldByName("sentAt").Int()), whole)
			return
		}
		var gone uint
		for k, b := range brief[t.String()] {
			if b.says(c, v) {
				gone |= 1 << k
			}
		}
		c.word(uint64(gone))
		for _, f := range planOf(t) {
			if f.briefs&gone == 0 {
				c.value(v.Field(f.at), f.mode)
			}
		}
	case reflect.Slice, reflect.Array:
		c.word(uint64(v.Len()))
		for i := range v.Len() {
			c.value(v.Index(i), m)
		}
	case reflect.Map: // in any order: the entries' sums are added up
		var all uint64
		for it := v.MapRange(); it.Next(); {
			e := canon{now: c.now, old: c.old, poll: c.poll}
			e.value(it.Key(), whole)
			e.value(it.Value(), m)
			all += e.sum
		}
		c.word(uint64(v.Len()))
		c.word(all)
	case reflect.String:
		c.text(v.String())
	case reflect.Bool:
		if v.Bool() {
			c.word(2)
		} else {
			c.word(1)
		}
	case reflect.Int64:
		if v.Type() == durationType {
			c.time(time.Duration(v.Int()), m)
			return
		}
		c.word(uint64(v.Int()))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32:
		c.word(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		c.word(v.Uint())
	case reflect.Float32, reflect.Float64:
		c.word(math.Float64bits(v.Float()))
	default:
		panic(fmt.Sprintf("world: a %s can't be digested", v.Type()))
	}
}

// canonOf digests a value as it counts at the time.
func canonOf(now, old time.Duration, v any) uint64 {
	c := canon{now: now, old: old}
	c.value(reflect.ValueOf(v), whole)
	return c.sum
}
