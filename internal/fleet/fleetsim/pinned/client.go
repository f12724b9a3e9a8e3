package pinned

import (
	"fmt"
	"math"
	"time"

	"birchcart/internal/fleet/completed"
	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/fleetsim/pinned/history"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/sessionowner"
)

// clientPatience is how long after its time a client waits for an answer that should have come.
const clientPatience = 400 * time.Millisecond

// down is why a connection is broken that could never be made.
const down = "down"

// client of one session, sending open loop.
type client struct {
	w    *World
	n    int32
	id   session.ID
	at   int // co-ordinator that it talks to
	next int32
}

// query of a client. It may be sent several times, as several requests.
type query struct {
	n      int32
	effect sessionowner.Effect
	lasts  time.Duration
	until  time.Duration // no more tries after
	first  time.Duration
	needs  []string
	errs   int
	id     completed.ID
	again  bool // it was served, and its client repeats it nevertheless
	at     int  // by that co-ordinator
}

// repeatWithin is how soon a client of Schedule.Repeat repeats what was served, most often at the next owner.
const repeatWithin = 3 * time.Second

// request is one try of a query at one co-ordinator.
type request struct {
	id   uint64
	cl   *client
	q    *query
	to   *co
	due  time.Duration // true time
	over bool          // the client needs no more of it
}

func (w *World) addClient(n int32) {
	cl := &client{w: w, n: n, id: session.IDOf(1, fmt.Appendf(nil, "s%d", n)), at: w.rng.IntN(len(w.cos))}
	w.clients = append(w.clients, cl)
	w.byID[cl.id] = n
	w.After(w.s.Begin+clockwork.Between(w.rng, time.Second, time.Second+w.s.Every), cl.loop)
}

func (cl *client) loop() {
	w := cl.w
	if w.Now > w.s.End-2*QueryMost-time.Second {
		return
	}
	every := w.s.Every
	if w.Now > w.s.Healed()+QuietFor/3 && !w.s.Shared { // what is to be seen then is that all comes to rest
		every *= 4
	}
	w.After(time.Duration(-math.Log(1-w.rng.Float64())*float64(every)), cl.loop)
	cl.next++
	q := &query{n: cl.next, lasts: clockwork.Between(w.rng, QueryMost/4, QueryMost), first: w.Now, until: w.Now + 2*QueryMost}
	switch w.rng.IntN(10) {
	case 0, 1:
		q.effect = sessionowner.Keyed
	case 2, 3:
		q.effect = sessionowner.NonIdempotent
	}
	if q.effect != sessionowner.Idempotent {
		q.id = completed.IDOf(fmt.Sprint(q.n))
	}
	first := w.rng.IntN(len(w.replicas))
	q.needs = append(q.needs, w.replicas[first].name)
	if len(w.replicas) > 1 && w.rng.IntN(4) == 0 {
		q.needs = append(q.needs, w.replicas[(first+1)%len(w.replicas)].name)
	}
	if w.rng.Float64() < w.s.Rough/4 {
		cl.at = w.rng.IntN(len(w.cos))
	}
	cl.send(q)
}

func (cl *client) send(q *query) {
	w := cl.w
	w.requests++
	rq := &request{id: w.requests, cl: cl, q: q, to: w.cos[cl.at], due: w.Now + q.lasts}
	w.tell(history.Event{Kind: history.Sent, Request: rq.id, Session: cl.n, Query: q.n, Effect: history.Effect(q.effect), By: int32(cl.at), Due: rq.due})
	w.After(w.s.Link.Latency, func() { rq.to.connect(rq) })
	leaves := q.lasts + clientPatience
	if w.rng.Float64() < w.s.Rough/4 {
		leaves = clockwork.Between(w.rng, 0, q.lasts)
	}
	w.After(leaves, func() {
		if rq.over || w.err != nil {
			return
		}
		rq.over = true
		w.tell(history.Event{Kind: history.Left, Request: rq.id})
		w.errs(cl.n)
		w.done(q, false)
		w.After(w.s.Link.Latency, func() { rq.to.left(rq) })
	})
}

// got is the client's end of an answer, or of a connection that broke.
func (rq *request) got(outcome history.Outcome, why string, after time.Duration, owner string) {
	w, cl, q := rq.cl.w, rq.cl, rq.q
	if rq.over || w.err != nil {
		return
	}
	rq.over = true
	w.tell(history.Event{Kind: history.Got, Request: rq.id, Outcome: outcome, Why: why})
	switch {
	case q.again && outcome != history.Refused: // that nothing of it ran is the checker's to see
		if outcome == history.Failed && why == sessionowner.Duplicate.String() {
			w.Figures.Repeated++
			if rq.to.id != q.at {
				w.Figures.Elsewhere++
			}
		}
		return
	case outcome == history.Served:
		w.done(q, true)
		if w.s.Repeat && q.effect == sessionowner.NonIdempotent {
			copied := *q
			copied.again, copied.at, copied.until = true, rq.to.id, w.Now+repeatWithin+2*QueryMost
			w.After(clockwork.Between(w.rng, 0, repeatWithin), func() { cl.send(&copied) })
		}
		return
	case outcome == history.Failed, outcome == history.Broken && why != down && q.effect == sessionowner.NonIdempotent:
		q.errs++
		w.errs(cl.n)
		w.done(q, false)
		return
	case outcome == history.Broken && why == down: // nothing of it was sent: whoever balances the clients takes another
		cl.at = w.rng.IntN(len(w.cos))
		after = w.s.Link.Latency
	case outcome == history.Broken:
		q.errs++
		w.errs(cl.n)
		after = 100 * time.Millisecond
		cl.at = w.rng.IntN(len(w.cos))
	case owner != "":
		cl.at = w.byName[owner].id
	case w.rng.IntN(4) == 0:
		cl.at = w.rng.IntN(len(w.cos))
	}
	if w.Now+after > q.until {
		w.errs(cl.n)
		w.done(q, false)
		return
	}
	w.After(after, func() { cl.send(q) })
}
