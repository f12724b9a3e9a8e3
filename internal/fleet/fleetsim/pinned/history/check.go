package history

import (
	"fmt"
	"time"
)

// Checker follows one history. Add gives the first promise that is broken, with the evidence. What it keeps grows with the
// sessions, the requests that are not over, and the unsafe queries.
type Checker struct {
	rules    Rules
	now      time.Duration
	sessions map[int32]*session
	requests map[uint64]*request
	replicas map[int32]*replica
	peers    map[int32]*peer
	places   uint64 // of arriving
	begins   uint64
	Figures  Figures
}

type replica struct{ slots, used int }

type peer struct {
	stopped, ended  bool
	wokeAt, endedAt time.Duration // newest end of a stop or start, newest end
	began           time.Duration // newest start
}

type session struct {
	// As agreed, by true time.
	agreed bool
	owner  int32
	epoch  uint64
	phase  Phase
	since  time.Duration
	// Begun.
	seq      uint64     // highest of this life
	last     uint64     // the newest begin of all
	lastHard uint64     // the newest of a query that is not safe
	open     []*request // something of it may run
	queued   []*request // arrived, neither begun nor answered
	unsafe   map[unsafeKey]bool
}

type unsafeKey struct{ query, replica int32 }

type request struct {
	Event
	place       uint64 // of arriving; 0: not yet
	arrivedAt   time.Duration
	order       uint64 // of beginning; 0: not yet
	epoch       uint64
	parts       int // that it sends
	runs, ran   int
	effect      bool
	givenUp     bool
	givenUpAt   time.Duration
	answered    bool
	outcome     Outcome
	got, orphan bool
	done        bool // the client needs no more of it
}

// New is a checker that knows of nothing yet.
func New(rules Rules) *Checker {
	return &Checker{rules: rules, sessions: map[int32]*session{}, requests: map[uint64]*request{}, replicas: map[int32]*replica{},
		peers: map[int32]*peer{}}
}

func (c *Checker) session(id int32) *session {
	s := c.sessions[id]
	if s == nil {
		s = &session{owner: -1}
		c.sessions[id] = s
	}
	return s
}

func (c *Checker) peer(id int32) *peer {
	p := c.peers[id]
	if p == nil {
		p = &peer{wokeAt: -1, endedAt: -1, began: -1}
		c.peers[id] = p
	}
	return p
}

func (c *Checker) replica(id int32) *replica {
	r := c.replicas[id]
	if r == nil {
		r = &replica{}
		c.replicas[id] = r
	}
	return r
}

// Add takes the next event.
func (c *Checker) Add(e Event) error {
	if e.At < c.now {
		return fmt.Errorf("history: an event of %v after one of %v", e.At, c.now)
	}
	c.now = e.At
	switch e.Kind {
	case Capped:
		c.replica(e.Replica).slots = int(e.N)
		return nil
	case Stopped, Ended:
		return c.stopped(e)
	case Owned:
		return c.owned(e)
	case Freed:
		return c.freed(e)
	case Closed:
		return c.closed(e)
	case Sent:
		if c.requests[e.Request] != nil {
			return fmt.Errorf("history: request %d was sent twice", e.Request)
		}
		c.Figures.Sent++
		c.requests[e.Request] = &request{Event: e}
		return nil
	}
	r := c.requests[e.Request]
	if r == nil && e.Kind == GivenUp {
		return nil // its client has its word, and all that it sent has ended
	}
	if r == nil {
		return fmt.Errorf("history: %s of request %d, which was never sent or is over", e.Kind, e.Request)
	}
	err := c.about(r, e)
	if r.done && (r.order == 0 || r.runs == r.ran && (r.runs == r.parts || r.givenUp)) && (r.answered || r.orphan) {
		s := c.session(r.Session)
		s.open, s.queued = without(s.open, r), without(s.queued, r)
		delete(c.requests, r.Request)
	}
	return err
}

func (c *Checker) about(r *request, e Event) error {
	switch e.Kind {
	case Arrived:
		c.places++
		r.place, r.arrivedAt = c.places, e.At
		s := c.session(r.Session)
		s.queued = append(s.queued, r)
	case Begun:
		return c.begun(r, e)
	case Runs:
		return c.runs(r, e)
	case Ran:
		r.ran++
		r.effect = r.effect || e.On
		c.replica(e.Replica).used--
		c.settle(r)
	case GivenUp:
		r.givenUp, r.givenUpAt = true, e.At
		c.settle(r)
	case Answered:
		return c.answered(r, e)
	case Got:
		return c.got(r, e)
	case Left:
		c.Figures.Left++
		if !r.answered && r.place > 0 && !r.orphan && !c.excused(r, r.arrivedAt) && e.At > r.Due+c.rules.Slack {
			return fmt.Errorf("S4: request %d of s%d at c%d got no answer until its client left, %v after its time", r.Request, r.Session, r.By,
				e.At-r.Due)
		}
		r.done = true
		s := c.session(r.Session)
		s.queued = without(s.queued, r)
	default:
		return fmt.Errorf("history: unknown kind of event %d", e.Kind)
	}
	return nil
}

// excused says that the process of a request's co-ordinator did not run all the time since then.
func (c *Checker) excused(r *request, since time.Duration) bool {
	p := c.peer(r.By)
	return p.stopped || p.ended || p.wokeAt >= since || p.endedAt >= since
}

func (c *Checker) begun(r *request, e Event) error {
	if err := c.acts(r, e, "begins"); err != nil {
		return err
	}
	s := c.session(r.Session)
	switch {
	case r.place == 0 || e.By != r.By || r.orphan:
		return fmt.Errorf("S3: c%d begins request %d of s%d, which never came to this process", e.By, r.Request, r.Session)
	case r.order > 0:
		return fmt.Errorf("S3: c%d begins request %d of s%d twice", e.By, r.Request, r.Session)
	case r.answered:
		return fmt.Errorf("S3: c%d begins request %d of s%d, which was %s", e.By, r.Request, r.Session, r.outcome)
	case e.Seq <= s.seq:
		return fmt.Errorf("S3: c%d begins request %d of s%d with sequence %d, %d was begun before", e.By, r.Request, r.Session, e.Seq, s.seq)
	}
	for _, o := range s.queued {
		if o.By == r.By && o.place < r.place && !o.done && (o.Effect != Safe || r.Effect != Safe) {
			return fmt.Errorf("S3: c%d begins request %d of s%d before request %d, which came earlier and waits", e.By, r.Request, r.Session, o.Request)
		}
	}
	for _, o := range s.open {
		if (r.Effect != Safe || o.Effect != Safe) && !o.harmless() && !c.lost(o) {
			return fmt.Errorf("S3: c%d begins request %d (%s) of s%d while request %d (%s) is open", e.By, r.Request, effects[r.Effect], r.Session,
				o.Request, effects[o.Effect])
		}
	}
	c.begins++
	s.queued = without(s.queued, r)
	s.open = append(s.open, r)
	r.order, r.epoch, r.parts = c.begins, e.Epoch, int(e.N)
	s.seq, s.last = e.Seq, c.begins
	if r.Effect != Safe {
		s.lastHard = c.begins
	}
	return nil
}

// harmless is a safe one that its client will never hear of: what of it still runs is read by nobody.
func (r *request) harmless() bool {
	return r.Effect == Safe && (r.orphan || r.answered && r.outcome != Served || r.done && !r.answered)
}

// lost is one of which nothing runs, past its time, whose process stood still meanwhile: it may not know yet that its parts came to nothing,
// and its session may be another's. Should a part still run, runs says so.
func (c *Checker) lost(r *request) bool {
	return r.runs == r.ran && c.now > r.Due+c.rules.Slack && c.excused(r, r.arrivedAt)
}

var effects = [...]string{"safe", "keyed", "unsafe"}

// runs is S2, and of S3 that nothing runs after what was begun later, and no unsafe query twice.
func (c *Checker) runs(r *request, e Event) error {
	s := c.session(r.Session)
	c.Figures.Runs++
	r.runs++
	switch {
	case r.order == 0:
		return fmt.Errorf("S3: r%d runs request %d of s%d, which nobody began", e.Replica, r.Request, r.Session)
	case r.Effect == Safe && s.lastHard > r.order && !r.harmless() || r.Effect != Safe && s.last > r.order:
		return fmt.Errorf("S3: r%d runs request %d (%s) of s%d after a later one was begun", e.Replica, r.Request, effects[r.Effect], r.Session)
	}
	if r.Effect == Unsafe {
		key := unsafeKey{r.Query, e.Replica}
		if s.unsafe[key] {
			return fmt.Errorf("S3: r%d runs the unsafe query %d of s%d twice, now as request %d", e.Replica, r.Query, r.Session, r.Request)
		}
		if s.unsafe == nil {
			s.unsafe = map[unsafeKey]bool{}
		}
		s.unsafe[key] = true
	}
	m := c.replica(e.Replica)
	m.used++
	c.Figures.InUseMost = max(c.Figures.InUseMost, m.used)
	if m.used > m.slots {
		return fmt.Errorf("S2: %d slots are in use at r%d, it has %d", m.used, e.Replica, m.slots)
	}
	return nil
}

func (c *Checker) answered(r *request, e Event) error {
	s := c.session(r.Session)
	late := c.now - r.Due
	switch {
	case r.answered:
		return fmt.Errorf("S4: c%d answers request %d of s%d a second time, as %s; it was %s", e.By, r.Request, r.Session, e.Outcome, r.outcome)
	case e.By != r.By || r.orphan:
		return fmt.Errorf("S4: c%d answers request %d of s%d, which this process does not have", e.By, r.Request, r.Session)
	case late > c.rules.Slack && !c.excused(r, r.arrivedAt):
		return fmt.Errorf("S4: c%d answers request %d of s%d %v after its time", e.By, r.Request, r.Session, late)
	case r.givenUp && c.now > r.givenUpAt+c.rules.Slack && !c.excused(r, r.givenUpAt):
		return fmt.Errorf("S4: c%d answers request %d of s%d %v after it was given up", e.By, r.Request, r.Session, c.now-r.givenUpAt)
	}
	r.answered, r.outcome = true, e.Outcome
	s.queued = without(s.queued, r)
	switch e.Outcome {
	case Served:
		if err := c.served(r, e); err != nil {
			return err
		}
	case Refused, Failed:
		switch {
		case e.Why == "":
			return fmt.Errorf("S5: c%d says that request %d of s%d is %s, without a reason", e.By, r.Request, r.Session, e.Outcome)
		case e.Outcome == Refused && r.Effect == Unsafe && r.runs > 0:
			return fmt.Errorf("S3: c%d refuses request %d of s%d, unsafe, to come back, and it has run", e.By, r.Request, r.Session)
		}
	default:
		return fmt.Errorf("history: request %d is answered as %s", r.Request, e.Outcome)
	}
	c.settle(r)
	return nil
}

// served is an answer that acts: by the owner, in the epoch in which it began, and of what has truly run.
func (c *Checker) served(r *request, e Event) error {
	switch {
	case r.order == 0:
		return fmt.Errorf("S3: c%d answers request %d of s%d as served and never began it", e.By, r.Request, r.Session)
	case r.Effect != Safe && !r.effect:
		return fmt.Errorf("S3: c%d answers request %d of s%d as served, and no replica has its effect", e.By, r.Request, r.Session)
	case e.Epoch != r.epoch:
		return fmt.Errorf("S1: c%d answers request %d of s%d in epoch %d, begun in %d", e.By, r.Request, r.Session, e.Epoch, r.epoch)
	}
	return c.acts(r, e, "answers")
}

func (c *Checker) got(r *request, e Event) error {
	switch {
	case r.got:
		return fmt.Errorf("S4: the client of request %d of s%d gets a second answer, %s", r.Request, r.Session, e.Outcome)
	case e.Outcome != Broken && (!r.answered || e.Outcome != r.outcome):
		return fmt.Errorf("S4: the client of request %d of s%d gets %s, given was %q", r.Request, r.Session, e.Outcome, r.outcome)
	case e.Outcome == Broken && !c.peer(r.By).ended && c.peer(r.By).endedAt < r.At && c.peer(r.By).began < r.At:
		return fmt.Errorf("S4: the client of request %d of s%d gets no answer, and c%d never ended", r.Request, r.Session, r.By)
	}
	r.got, r.done = true, true
	switch e.Outcome {
	case Served:
		c.Figures.Served++
	case Refused:
		c.Figures.Refused++
	case Failed:
		c.Figures.Failed++
	case Broken:
		c.Figures.Broken++
		r.orphan = true
	}
	return nil
}

// settle takes a request out of those that are open once nothing of it runs, or will as far as its process can know.
func (c *Checker) settle(r *request) {
	if r.order > 0 && r.runs == r.ran && (r.runs == r.parts || r.givenUp || r.answered || r.orphan) {
		s := c.session(r.Session)
		s.open = without(s.open, r)
	}
}

func without(list []*request, r *request) []*request {
	for i, o := range list {
		if o == r {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
