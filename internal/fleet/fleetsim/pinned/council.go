package pinned

import (
	"errors"
	"fmt"
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/fleetsim/pinned/history"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/statemachine"
)

// raftGroup is the agreed log, played from above: what is in log is agreed, and a copy of all of it is top.
type raftGroup struct {
	log    []statemachine.Command
	base   int    // entries up to here are only in snap
	snap   []byte // of a copy at base
	top    *agreed
	leader int
	leads  int // the process of it
	term   uint64
	bad    time.Duration // since when the leader can't lead; -1: it can
	pipe   []proposal
	// concerns are those whose sessions were offered or handed by what was committed last.
	concerns map[string]bool
}

type proposal struct {
	cmd  statemachine.Command
	at   time.Duration // when a majority may have it
	done func(error)   // at the leader, once applied
}

const (
	watchEvery   = 100 * time.Millisecond
	electLeast   = 1200 * time.Millisecond // that a leader can't lead, until there is another
	commitsAgain = 50 * time.Millisecond
)

// reaches says that a co-ordinator runs and has a majority of voters.
func (w *World) reaches(id int) bool {
	n := 0
	for v := range w.s.Voters {
		if c := w.cos[v]; v == id || c.up && !c.stalled && w.both(id, v) {
			n++
		}
	}
	return n*2 > w.s.Voters
}

func (w *World) watch() {
	w.After(watchEvery, w.watch)
	if w.leader >= 0 {
		if c := w.cos[w.leader]; c.up && c.inc == w.leads && !c.stalled && w.reaches(c.id) {
			w.bad = -1
			return
		}
	}
	if w.bad < 0 {
		w.bad = w.Now
	}
	if w.Now-w.bad >= electLeast+clockwork.Between(w.rng, 0, electLeast) {
		w.elect()
	}
}

// elect lets another voter lead, if one can. Of what the old leader had proposed, any first part may have come to a majority.
func (w *World) elect() {
	var may []*co
	for v := range w.s.Voters {
		if c := w.cos[v]; c.up && !c.stalled && v != w.leader && w.reaches(v) {
			may = append(may, c)
		}
	}
	if len(may) == 0 {
		if w.leader < 0 || !w.cos[w.leader].up || w.cos[w.leader].stalled || !w.reaches(w.leader) {
			return
		}
		may = append(may, w.cos[w.leader])
	}
	c := may[w.rng.IntN(len(may))]
	w.term++
	w.leader, w.leads, w.bad = c.id, c.inc, -1
	for _, p := range w.pipe[:w.rng.IntN(len(w.pipe)+1)] {
		_ = w.commit(p.cmd) // what came of it, the log says
	}
	w.pipe = nil
	term, inc := w.term, c.inc
	w.After(w.link()+w.link(), func() {
		c.deliver(inc, func() {
			if w.term == term {
				c.leads(term)
			}
		})
	})
}

// propose is a leader's. Its proposals come to a majority in order.
func (w *World) propose(c *co, term uint64, cmd statemachine.Command, done func(error)) {
	if w.leader != c.id || w.term != term {
		return
	}
	at := w.Now + w.link() + w.link()
	if n := len(w.pipe); n > 0 {
		at = max(at, w.pipe[n-1].at)
	}
	w.pipe = append(w.pipe, proposal{cmd, at, done})
	w.After(at-w.Now, func() { w.commits(c, c.inc, term) })
}

func (w *World) commits(c *co, inc int, term uint64) {
	switch {
	case w.leader != c.id || w.term != term || len(w.pipe) == 0 || w.pipe[0].at > w.Now:
		return
	case !c.up || c.inc != inc:
		return
	case c.stalled || !w.reaches(c.id):
		w.After(commitsAgain, func() { w.commits(c, inc, term) })
		return
	}
	var dones []func()
	clear(w.concerns)
	for len(w.pipe) > 0 && w.pipe[0].at <= w.Now {
		p := w.pipe[0]
		w.pipe = w.pipe[1:]
		err := w.commit(p.cmd)
		if p.done != nil {
			dones = append(dones, func() { p.done(err) })
		}
	}
	c.follow(len(w.log))
	for _, do := range dones {
		do()
	}
	if c.lead != nil {
		c.push(w.concerns)
	}
}

// commit applies an entry to the copy above all others and tells the history what changed.
func (w *World) commit(cmd statemachine.Command) error {
	if w.err != nil {
		return w.err
	}
	w.log = append(w.log, cmd)
	touched := w.touched(cmd)
	var was []changed
	if w.s.Shared {
		was = w.records(touched)
	}
	err := w.top.apply(len(w.log), cmd)
	if w.s.Shared {
		touched = w.remember(touched, was)
	}
	if halted := w.top.led.Halted(); halted != nil {
		w.fail(halted)
	}
	if cmd.Kind == session.KindLimits || len(w.replicas) <= 8 {
		for i, r := range w.replicas {
			if n := w.top.book.Pool().Cap(r.name); n != w.caps[r.name] {
				w.caps[r.name] = n
				w.tell(history.Event{Kind: history.Capped, Replica: int32(i), N: int32(n)})
			}
		}
	}
	for _, id := range touched {
		w.differs(id)
	}
	if !w.s.Shared || len(w.log)%16384 == 0 { // a look at all of 100,000 sessions and 60,000 shares takes as long as thousands of entries
		if broken := w.top.book.Check(); broken != nil {
			w.fail(fmt.Errorf("after entry %d, %s of %s: %w", len(w.log), cmd.Kind, cmd.ID, broken))
		}
	}
	return err
}

func (a *agreed) apply(index int, cmd statemachine.Command) error {
	err := a.led.ApplyDecoded(uint64(index), cmd)
	a.index = index
	return err
}

// touched gives the sessions that an entry may change.
func (w *World) touched(cmd statemachine.Command) (ids []session.ID) {
	add := func(r session.Record) bool {
		ids = append(ids, r.ID)
		return true
	}
	w.top.book.Moves(add)
	switch cmd.Kind {
	case session.KindActs:
		for _, a := range unpack[session.ActsBody](w, cmd).Acts {
			ids = append(ids, a.ID)
		}
	case session.KindPlan:
		for _, o := range unpack[session.PlanBody](w, cmd).Offers {
			ids = append(ids, o.ID)
		}
	case session.KindRelease:
		w.top.book.ByOwner(unpack[session.ReleaseBody](w, cmd).Name, add)
	}
	return ids
}

func unpack[B any](w *World, cmd statemachine.Command) (body B) {
	w.fail(statemachine.DecodeStrict(cmd.Body, &body))
	return body
}

// differs tells the history how a session stands, if that has changed.
func (w *World) differs(id session.ID) {
	n, known := w.byID[id]
	if !known {
		if id != (session.ID{}) {
			w.fail(errors.New("no client has the session " + id.String()))
		}
		return
	}
	r, ok := w.top.book.Get(id)
	was := w.stands[n]
	if r.Phase == session.Offered || r.Phase == session.HandedOver {
		for _, name := range []string{r.Owner, r.To, r.Source} {
			if name != "" {
				w.concerns[name] = true
			}
		}
	}
	now := stand{r.Owner, r.Epoch, r.Phase}
	switch {
	case !ok && was.phase == session.Free:
	case !ok:
		w.stands[n] = stand{}
		w.tell(history.Event{Kind: history.Freed, Session: n, Why: r.Reason})
	case now != was:
		w.stands[n] = now
		w.tell(history.Event{Kind: history.Owned, Session: n, By: int32(w.byName[r.Owner].id), Epoch: r.Epoch, Phase: history.Phase(r.Phase)})
		w.moved(n, was, now)
	}
}
