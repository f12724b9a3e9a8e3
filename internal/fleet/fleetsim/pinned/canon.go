package pinned

import (
	"fmt"
	"math/bits"
	"reflect"
	"slices"
	"sync"
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/sessionowner"
)

// Two states of the search are one if they differ only in when they are and in how they came to be: each time counts by how far it is from now,
// numbers that only tell an order count by their rank among those that are left, and what nothing asks for any more does not count.
// TestOneStateGoesOnAlike plays states that count as one on and finds that what follows counts as one too.

const (
	smallBegin = 1_000_000 * time.Second // of every search: by its size a time is told from a duration
	// oldMost is the age over which times count as one, more than the silence before a release and an offer; oldChecked the same in the
	// checker, whose slack is 20 s.
	oldMost    = 12 * time.Second
	oldChecked = 60 * time.Second
)

// counts says how a field counts; one that is not named counts whole.
type counts uint8

const (
	whole counts = iota
	none         // not at all: derived from others, words for people, never asked for, or the same in all states
	ahead        // a time that matters until it has passed
	rank         // a number that only tells an order
	sign         // only whether it is under 0
	name         // a pointer, by what it points to is called
)

var fields = map[string]counts{
	"sessionowner.Owner.options": none, "sessionowner.Owner.now": none, "sessionowner.Owner.out": none, "sessionowner.Owner.limits": none, "sessionowner.Owner.timers": none,
	"sessionowner.Owner.arrivals": none, "sessionowner.Owner.freeSessions": none, "sessionowner.Owner.freeQueries": none, "sessionowner.Owner.stats": none,
	"sessionowner.Owner.invariants": none, "sessionowner.Owner.index": rank, "sessionowner.Owner.slotList": name, "sessionowner.Owner.phaseCounts": none,
	"sessionowner.query.arrival": rank, "sessionowner.query.heapIndex": sign, "sessionowner.query.session": name, "sessionowner.query.prev": name, "sessionowner.query.next": name,
	"sessionowner.query.startedAt": none, "sessionowner.queryList.head": name, "sessionowner.queryList.tail": name, "sessionowner.sessionList.head": name, "sessionowner.sessionList.tail": name,
	"sessionowner.sessionEntry.lastUsed": none, "sessionowner.sessionEntry.prev": name, "sessionowner.sessionEntry.next": name, "sessionowner.sessionEntry.blockedAt": name, "sessionowner.sessionEntry.prevSlot": name,
	"sessionowner.sessionEntry.nextSlot": name, "sessionowner.slot.head": name, "sessionowner.slot.tail": name,
	"session.State.limits": none, "session.State.limitsAt": none, "session.State.offerCounts": none, "session.State.nextExpiry": none, "session.State.refusals": none,
	"session.State.refusalCount": none, "session.endedSession.reason": none, "session.coordinator.lastKnownAt": none, "session.State.now": ahead,
	"pool.Pool.nextExpiry": none, "pool.Pool.now": ahead,
	"history.Checker.rules": none, "history.Checker.now": none, "history.Checker.Figures": none, "history.Checker.places": none,
	"history.Checker.begins": none, "history.request.place": rank, "history.request.order": rank, "history.session.last": rank,
	"history.session.lastHard": rank, "history.session.open": name, "history.session.queued": name,
	"pinned.smallNode.applied": rank, "pinned.smallNode.until": ahead, "pinned.smallWord.index": rank,
}

// groups are fields that are ranked among each other, in all of the state; the others each among its own in one keeper or checker.
var groups = map[string]string{"sessionowner.Owner.index": "index", "pinned.smallNode.applied": "index", "pinned.smallWord.index": "index",
	"history.session.last": "order", "history.session.lastHard": "order", "history.request.order": "order"}

// fieldPlan is how a field of a struct counts.
type fieldPlan struct {
	at    int
	how   counts
	group string
}

var plans sync.Map // of []fieldPlan, by type

func planOf(t reflect.Type) []fieldPlan {
	if p, ok := plans.Load(t); ok {
		return p.([]fieldPlan)
	}
	var out []fieldPlan
	for i := range t.NumField() {
		field := t.String() + "." + t.Field(i).Name
		f := fieldPlan{i, fields[field], groups[field]}
		if f.group == "" {
			f.group = field
		}
		if f.how != none {
			out = append(out, f)
		}
	}
	plans.Store(t, out)
	return out
}

// canon digests values as they count at a time.
type canon struct {
	now   time.Duration
	old   time.Duration
	sum   uint64
	books map[*session.State]uint64
	ranks map[string][]uint64 // by group, sorted, once gathered
	gets  bool                // gathers ranks, the sum counts for nothing
}

func (c *canon) word(x uint64) {
	hi, lo := bits.Mul64(c.sum^x^0x9e3779b97f4a7c15, 0xd6e8feb86659fd93)
	c.sum = bits.RotateLeft64(hi^lo, 23) + x*0xa0761d6478bd642f
}

func (c *canon) text(s string) {
	c.word(uint64(len(s)))
	for i := range len(s) {
		c.word(uint64(s[i]))
	}
}

// time counts by how far it is from now, whichever clock it is of.
func (c *canon) time(d time.Duration, how counts) {
	switch {
	case d > smallBegin/2 && d < 2*smallBegin:
		d -= c.now
	case d > clockwork.Epoch-smallBegin && d < clockwork.Epoch+2*smallBegin:
		d -= clockwork.Epoch + c.now
	default:
		c.word(uint64(d))
		return
	}
	if how == ahead && d <= 0 || d < -c.old {
		d = -1 << 62
	}
	c.word(uint64(d))
}

func (c *canon) rank(group string, x uint64) {
	if c.gets {
		c.ranks[group] = append(c.ranks[group], x)
		return
	}
	at, _ := slices.BinarySearch(c.ranks[group], x)
	if x != 0 {
		at++
	}
	c.word(uint64(at))
}

// part goes on with a part of the state that has orders of its own.
func (c *canon) part(v reflect.Value) {
	e := canon{now: c.now, old: c.old, books: c.books, ranks: map[string][]uint64{"index": c.ranks["index"]}, gets: true}
	if !c.gets {
		e.value(v, whole, "")
		e.sum, e.gets = 0, false
		e.ranks["index"] = c.ranks["index"]
		for group, all := range e.ranks {
			if group != "index" {
				slices.Sort(all)
				e.ranks[group] = slices.Compact(all)
			}
		}
		e.value(v, whole, "")
		c.word(e.sum)
		return
	}
	e.value(v, whole, "")
	c.ranks["index"] = e.ranks["index"]
}

// book is what is agreed, by what it says.
func (c *canon) book(b *session.State) {
	sum, ok := c.books[b]
	if !ok && !c.gets {
		e := canon{now: c.now, old: oldMost, books: c.books}
		e.value(reflect.ValueOf(b).Elem(), whole, "")
		sum = e.sum
		c.books[b] = sum
	}
	c.word(sum)
}

// called is what a thing is called that is pointed to.
func (c *canon) called(v reflect.Value) {
	if v.Kind() == reflect.Slice {
		c.word(uint64(v.Len()))
		for i := range v.Len() {
			c.called(v.Index(i))
		}
		return
	}
	if v.IsNil() {
		c.word(0)
		return
	}
	c.word(1)
	switch v = v.Elem(); v.Type().String() {
	case "sessionowner.query":
		c.word(v.FieldByName("token").Uint())
	case "sessionowner.sessionEntry":
		c.value(v.FieldByName("id"), whole, "")
	case "sessionowner.slot":
		c.text(v.FieldByName("name").String())
	case "history.request":
		c.word(v.FieldByName("Event").FieldByName("Request").Uint())
	default:
		panic("pinned: nothing is known to call a " + v.Type().String())
	}
}

func (c *canon) value(v reflect.Value, how counts, group string) {
	switch how {
	case none:
		return
	case name:
		c.called(v)
		return
	case rank:
		if v.CanInt() {
			c.rank(group, uint64(v.Int()))
		} else {
			c.rank(group, v.Uint())
		}
		return
	case sign:
		if v.Int() < 0 {
			c.word(1)
		}
		c.word(0)
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			c.word(0)
			return
		}
		c.word(1)
		if v.Type() == reflect.TypeFor[*session.State]() {
			c.book((*session.State)(v.UnsafePointer()))
			return
		}
		c.value(v.Elem(), whole, "")
	case reflect.Struct:
		t := v.Type()
		if t == reflect.TypeFor[sessionowner.Owner]() { // its clock against the agreed one
			c.word(uint64(v.FieldByName("agreedTime").Int() - v.FieldByName("agreedAt").Int()))
		}
		for _, f := range planOf(t) {
			c.value(v.Field(f.at), f.how, f.group)
		}
	case reflect.Slice, reflect.Array:
		c.word(uint64(v.Len()))
		for i := range v.Len() {
			c.value(v.Index(i), whole, "")
		}
	case reflect.Map: // in any order: the entries' sums are added up
		var all uint64
		for it := v.MapRange(); it.Next(); {
			e := canon{now: c.now, old: c.old, books: c.books, ranks: c.ranks, gets: c.gets}
			e.value(it.Key(), whole, "")
			e.value(it.Value(), whole, "")
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
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		if v.Type() == reflect.TypeFor[time.Duration]() {
			c.time(time.Duration(v.Int()), how)
			return
		}
		c.word(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		c.word(v.Uint())
	default:
		panic(fmt.Sprintf("pinned: a %s can't be digested", v.Type()))
	}
}
