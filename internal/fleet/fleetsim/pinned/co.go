package pinned

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"birchcart/internal/fleet/fleetsim/pinned/history"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/sessionowner"
	"birchcart/internal/fleet/statemachine"
	"birchcart/internal/fleet/view"
)

// co is one co-ordinator: its process, and what is in its store.
type co struct {
	w    *World
	id   int
	name string
	rate float64 // of its monotonic clock

	up, stalled bool
	inc         int // of its process
	held        []held
	copy        *agreed
	view        *view.View
	keeper      *sessionowner.Owner
	bornAt      time.Duration // own
	hint        int           // who leads, -1: not known
	asked       bool          // a poll is not answered yet
	conns       map[uint64]*request
	open        map[uint64]*out
	acts        []session.Act
	words       int
	hotUntil    time.Duration // own
	ticks       int
	lead        *lead
	downAt      time.Duration
	quiescing   map[session.ID]time.Duration // true time
	gone        uint64                       // the request whose client's going it learned of last
}

// held is what came, or was due, while the process was stopped.
type held struct {
	do    func()
	timer bool
}

func (h held) rank() int {
	if h.timer {
		return 1
	}
	return 0
}

// out is a query that runs.
type out struct {
	rq      *request
	parts   []*part
	cancels []func()
	epoch   uint64
}

func (c *co) mono() time.Duration { return time.Duration(float64(c.w.Now) * c.rate) }

// deliver does something in the process of that number, now, or when it goes on.
func (c *co) deliver(inc int, do func()) { c.take(inc, do, false) }

func (c *co) take(inc int, do func(), timer bool) {
	switch {
	case !c.up || c.inc != inc || c.w.err != nil:
	case c.stalled:
		c.held = append(c.held, held{do, timer})
	default:
		do()
	}
}

// later does something in this process after so long.
func (c *co) later(d time.Duration, do func()) {
	inc := c.inc
	c.w.After(d, func() { c.take(inc, do, true) })
}

func (c *co) start() {
	w := c.w
	c.up, c.stalled = true, false
	c.inc++
	c.held, c.acts, c.lead, c.hint, c.asked = nil, nil, nil, -1, false
	c.conns, c.open, c.quiescing = map[uint64]*request{}, map[uint64]*out{}, map[session.ID]time.Duration{}
	c.bornAt, c.hotUntil = c.mono(), 0
	if c.copy == nil || !w.s.Shared && w.rng.IntN(3) == 0 { // its store is lost, or it was never there
		c.copy = newCopy()
	} else if !w.s.Shared {
		c.copy = w.reload(c.copy)
	}
	c.view = view.New(c.name, w.limits.Lease)
	c.view.FirstSequence(uint64(w.Now) + 1)
	c.keeper = sessionowner.New(c.name, sessionowner.Options{})
	if w.Now > 0 {
		w.tell(history.Event{Kind: history.Ended, By: int32(c.id)})
	}
	c.applied()
	c.tick()
}

// reload is a copy as its store gives it back.
func (w *World) reload(a *agreed) *agreed {
	raw, err := a.led.Save()
	w.fail(err)
	b := newCopy()
	w.fail(b.led.Load(raw))
	b.index = a.index
	return b
}

// stop ends the process: its clients find their connections broken, what it has out at replicas goes on there.
func (c *co) stop(lasts time.Duration) {
	w := c.w
	if !c.up {
		return
	}
	c.up, c.stalled, c.held, c.lead, c.downAt = false, false, nil, nil, w.Now
	w.tell(history.Event{Kind: history.Ended, By: int32(c.id), On: true})
	for _, id := range sortedKeys(c.conns) {
		rq := c.conns[id]
		w.After(w.s.Link.Latency, func() { rq.got(history.Broken, "", 0, "") })
	}
	w.After(lasts, func() {
		if !c.up && w.err == nil {
			c.start()
		}
	})
}

func (c *co) stall(lasts time.Duration) {
	w := c.w
	if !c.up || c.stalled {
		return
	}
	c.stalled = true
	w.tell(history.Event{Kind: history.Stopped, By: int32(c.id), On: true})
	inc := c.inc
	w.After(lasts, func() {
		if !c.up || c.inc != inc || w.err != nil {
			return
		}
		c.stalled = false
		w.tell(history.Event{Kind: history.Stopped, By: int32(c.id)})
		all := c.held
		c.held = nil
		if w.rng.IntN(2) == 0 { // words may be looked at before what is due by the clock
			slices.SortStableFunc(all, func(a, b held) int { return a.rank() - b.rank() })
		}
		for _, h := range all {
			c.take(inc, h.do, h.timer)
		}
	})
}

// tick is a turn without news.
func (c *co) tick() {
	c.later(c.w.s.Tick, c.tick)
	c.ticks++
	now := c.mono()
	if c.ticks%5 == 0 {
		c.viewed(nil)
		if now < c.hotUntil {
			c.fetch()
		}
	}
	if c.ticks%10 == 0 && !c.w.s.Shared {
		c.w.fail(c.wrong(c.keeper.Check()))
	}
	c.step(c.lease())
}

func (c *co) wrong(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("keeper of %s: %w", c.name, err)
}

// lease as the keeper is told of it. A process acts only once what the one before it had out is over at the replicas.
func (c *co) lease() sessionowner.Lease {
	now, lease := c.mono(), c.w.limits.Lease
	if c.view.CutOff(now) || !c.w.Loose.Fresh && c.inc > 1 && now-c.bornAt < GraceLeast {
		return sessionowner.Lease{}
	}
	return sessionowner.Lease{Until: now - c.view.Age(now) + lease - lease/view.MaxDriftDivisor, Valid: true}
}

// step is a turn of the keeper.
func (c *co) step(in ...sessionowner.Input) {
	if c.w.err != nil {
		return
	}
	for _, o := range c.keeper.Step(c.mono(), in) {
		switch o := o.(type) {
		case sessionowner.Run:
			c.begin(o)
		case sessionowner.Reject:
			c.answer(o.Token, history.Refused, o.Reason.String(), o.RetryAfter, o.Owner)
		case sessionowner.Fail:
			c.answer(o.Token, history.Failed, o.Reason.String(), 0, "")
		case sessionowner.Cancel:
			c.answer(o.Token, history.Refused, o.Reason.String(), o.RetryAfter, o.Owner)
			if run := c.open[o.Token]; run != nil {
				for _, cancel := range run.cancels {
					c.w.After(c.w.link(), cancel)
				}
			}
		case sessionowner.Propose:
			if len(c.acts) == 0 {
				c.later(time.Millisecond, c.flush)
			}
			c.acts = append(c.acts, o.Act)
			c.hot()
		}
	}
}

func (c *co) hot() { c.hotUntil = c.mono() + time.Second }

func (c *co) connect(rq *request) {
	if !c.up {
		c.w.After(c.w.s.Link.Latency, func() { rq.got(history.Broken, down, 0, "") })
		return
	}
	c.conns[rq.id] = rq
	c.deliver(c.inc, func() {
		c.w.tell(history.Event{Kind: history.Arrived, Request: rq.id})
		c.step(sessionowner.Arrived{Token: rq.id, Session: rq.cl.id, Client: uint64(rq.cl.n), Effect: rq.q.effect, Deadline: c.mono() + rq.due - c.w.Now,
			Window: 3 * QueryMost, Replicas: rq.q.needs, ID: rq.q.id})
	})
}

func (c *co) left(rq *request) {
	if c.conns[rq.id] == rq {
		c.deliver(c.inc, func() {
			delete(c.conns, rq.id)
			c.gone = rq.id
			c.step(sessionowner.ClientGone{Token: rq.id})
		})
	}
}

func (c *co) begin(r sessionowner.Run) {
	rq := c.conns[r.Token]
	if rq == nil && r.Token == c.gone { // its turn came in the step that learns of it, by time: it ends without having run
		c.later(0, func() { c.step(sessionowner.QueryEnded{Token: r.Token, Outcome: sessionowner.NotRun, Responded: true}) })
		return
	}
	if rq == nil {
		c.w.fail(fmt.Errorf("S4: %s runs %d, whose client has gone or was told", c.name, r.Token))
		return
	}
	record, _ := c.reader().Get(rq.cl.id)
	o := &out{rq: rq, epoch: record.Epoch}
	c.open[r.Token] = o
	c.w.tell(history.Event{Kind: history.Begun, Request: rq.id, By: int32(c.id), Epoch: record.Epoch, Seq: r.Seq, N: int32(len(rq.q.needs))})
	for range rq.q.needs {
		o.parts = append(o.parts, &part{})
	}
	for i, name := range rq.q.needs {
		c.sendPart(o, o.parts[i], c.w.byPlace[name])
	}
}

// over is the end of a query that ran.
func (c *co) over(o *out, outcome sessionowner.Outcome) {
	id := o.rq.id
	delete(c.open, id)
	if c.conns[id] != nil && outcome == sessionowner.Done && (c.w.Loose.Unasked || c.keeper.MayAnswer(c.mono(), id)) {
		c.w.tell(history.Event{Kind: history.Answered, Request: id, By: int32(c.id), Outcome: history.Served, Epoch: o.epoch})
		rq := c.conns[id]
		delete(c.conns, id)
		c.w.After(c.w.s.Link.Latency, func() { rq.got(history.Served, "", 0, "") })
	} else {
		c.w.tell(history.Event{Kind: history.GivenUp, Request: id, By: int32(c.id)})
	}
	c.step(sessionowner.QueryEnded{Token: id, Outcome: outcome})
}

func (c *co) answer(token uint64, outcome history.Outcome, why string, after time.Duration, owner string) {
	rq := c.conns[token]
	if rq == nil { // its client has gone
		return
	}
	delete(c.conns, token)
	c.w.tell(history.Event{Kind: history.Answered, Request: token, By: int32(c.id), Outcome: outcome, Why: why})
	c.w.After(c.w.s.Link.Latency, func() { rq.got(outcome, why, after, owner) })
}

// flush sends the acts that have gathered to the leader.
func (c *co) flush() {
	acts := c.acts
	c.acts = nil
	if len(acts) == 0 {
		return
	}
	body, err := json.Marshal(session.ActsBody{From: c.name, Acts: acts})
	c.w.fail(err)
	c.words++
	cmd := statemachine.Command{V: statemachine.Version, ID: fmt.Sprintf("%s-%d-%d", c.name, c.inc, c.words), Part: Part, Kind: session.KindActs, Body: body}
	from := c.id
	c.w.send(c.id, c.toLead(), func(o *co) { o.acted(from, cmd, true) })
}

func (c *co) toLead() int {
	if c.hint < 0 {
		return c.w.rng.IntN(c.w.s.Voters)
	}
	return c.hint
}
