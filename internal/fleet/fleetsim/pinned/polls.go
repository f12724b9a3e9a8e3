package pinned

import (
	"maps"
	"slices"

	"birchcart/internal/fleet/sessionowner"
	"birchcart/internal/fleet/statemachine"
	"birchcart/internal/fleet/view"
)

// word is a leader's answer to a poll, or with No 0 to a look at the log.
type word struct {
	no       uint64
	leader   int // who leads, as far as who answers knows; -1: not known
	led      bool
	term     uint64
	since    int
	upTo     int
	snap     []byte
	snapAt   int
	more     bool
	unlisted bool
}

// entriesMost in one word.
const entriesMost = 40

// viewed is a turn of the view: it polls when it is time.
func (c *co) viewed(in []view.Input) {
	for _, o := range c.view.Step(c.mono(), in) {
		if p, ok := o.(view.Poll); ok {
			from, no, since := c.id, p.Sequence, c.copy.index
			if c.asked { // the one before had no answer
				c.hint = -1
			}
			c.asked = true
			c.w.send(c.id, c.toLead(), func(o *co) { o.polled(from, no, since) })
		}
	}
}

// fetch looks at the log between polls, for no lease.
func (c *co) fetch() {
	from, since := c.id, c.copy.index
	if c.hint >= 0 {
		c.w.send(c.id, c.hint, func(o *co) {
			if o.lead != nil {
				o.lead.at[from] = since
				o.reply(from, word{since: since, led: true})
			}
		})
	}
}

// polled is a poll at a voter. A leader answers once a majority has said, after it came, that it still leads.
func (c *co) polled(from int, no uint64, since int) {
	w := c.w
	if c.lead == nil {
		word := word{no: no, leader: -1}
		if w.leader >= 0 && w.open(w.leader, c.id) {
			word.leader = w.leader
		}
		w.send(c.id, from, func(o *co) { o.heard(word) })
		return
	}
	c.lead.heard[w.cos[from].name] = c.mono()
	c.lead.at[from] = since
	id, term, inc := c.id, c.lead.term, c.inc
	answer := func() {
		if c.lead != nil && c.lead.term == term {
			releasing := c.lead.releasing[w.cos[from].name] && !w.Loose.Releasing
			c.reply(from, word{no: no, since: since, led: true, unlisted: releasing})
		}
	}
	if w.Loose.Unconfirmed {
		answer()
		return
	}
	w.After(w.link()+w.link(), func() {
		if w.leader == id && w.term == term && w.reaches(id) {
			c.deliver(inc, answer)
		}
	})
}

func (c *co) reply(to int, a word) {
	w := c.w
	a.leader, a.term, a.upTo = c.id, c.lead.term, c.copy.index
	if a.since < w.base {
		a.snap, a.snapAt = w.snap, w.base
		a.since = w.base
	}
	if a.upTo-a.since > entriesMost {
		a.upTo, a.more = a.since+entriesMost, true
	}
	w.send(c.id, to, func(o *co) { o.heard(a) })
}

// push sends what is new to those whose sessions it moves, so that they need not wait for their next poll.
func (c *co) push(touched map[string]bool) {
	for _, name := range slices.Sorted(maps.Keys(touched)) {
		o := c.w.byName[name]
		at, known := c.lead.at[o.id]
		if !known { // a new leader: it asks for what it lacks
			at = c.copy.index
		}
		if o != c && (at < c.copy.index || !known) {
			c.reply(o.id, word{since: at, led: true})
			c.lead.at[o.id] = min(c.copy.index, at+entriesMost)
		}
	}
}

// heard is an answer.
func (c *co) heard(a word) {
	c.hint = a.leader
	c.asked = c.asked && a.no == 0
	if !a.led {
		return
	}
	w := c.w
	if a.snap != nil && a.snapAt > c.copy.index && !w.s.Shared {
		fresh := newCopy()
		w.fail(fresh.led.Load(a.snap))
		fresh.index = a.snapAt
		c.copy = fresh
		c.applied()
	}
	if a.since <= c.copy.index {
		c.follow(a.upTo)
	} else {
		c.fetch()
	}
	if a.no > 0 {
		c.viewed([]view.Input{view.PollAnswered{Sequence: a.no, Leader: w.cos[a.leader].name, Term: a.term, Truncated: a.more || c.copy.index < a.upTo,
			NotInInventory: a.unlisted}})
		c.step(c.lease())
	}
	if a.more {
		c.fetch()
	}
}

// follow brings the own copy on.
func (c *co) follow(upTo int) {
	w := c.w
	if upTo <= c.copy.index {
		return
	}
	if w.s.Shared {
		c.copy.index = upTo
	}
	for c.copy.index < upTo {
		_ = c.copy.apply(c.copy.index+1, w.log[c.copy.index]) // as refused there as anywhere
		if err := c.copy.led.Halted(); err != nil {
			w.fail(err)
			return
		}
	}
	c.applied()
}

// applied tells the keeper.
func (c *co) applied() {
	book := c.reader()
	agreed := c.w.top.led.Now()
	if !c.w.s.Shared {
		agreed = c.copy.led.Now()
	}
	c.step(sessionowner.Applied{State: book, Index: uint64(c.copy.index), AgreedTime: agreed}, c.lease())
	for r := range book.Moves {
		if r.Owner == c.name || r.To == c.name || r.Source == c.name {
			c.hot()
			break
		}
	}
	c.paused()
}

// compact drops old entries: who is further behind gets a snapshot.
func (w *World) compact(c *co) {
	if w.s.Shared || c.copy.index-w.base < 2*w.s.Keep {
		return
	}
	old := newCopy()
	if w.snap != nil {
		w.fail(old.led.Load(w.snap))
	}
	old.index = w.base
	for old.index < c.copy.index-w.s.Keep {
		_ = old.apply(old.index+1, w.log[old.index])
	}
	raw, err := old.led.Save()
	w.fail(err)
	w.snap, w.base = raw, old.index
}

func sortedKeys[V any](m map[uint64]V) []uint64 {
	keys := make([]uint64, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// acted is a word of acts at a voter, which hands it on once if it does not lead.
func (c *co) acted(from int, cmd statemachine.Command, first bool) {
	w := c.w
	switch {
	case c.lead != nil:
		c.lead.heard[w.cos[from].name] = c.mono()
		cmd.At = c.lead.time(c)
		w.propose(c, c.lead.term, cmd, nil)
	case first && w.leader >= 0 && w.leader != c.id:
		w.send(c.id, w.leader, func(o *co) { o.acted(from, cmd, false) })
	}
}
