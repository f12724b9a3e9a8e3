package replica

import (
	"bufio"
	"context"
	"errors"
	"os"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/duplex"
	"birchcart/internal/exchange"
	"birchcart/internal/frame"
	"birchcart/policy"
)

// link is one connection to a replica, from its dialling to its end. Its fields are guarded by the pool's
// lock.
type link struct {
	p       *Pool
	t       *target
	address string
	conn    *duplex.Conn       // nil until it is up
	hangUp  context.CancelFunc // ends its dialling

	queue   [][]*entry           // calls not yet written
	parts   map[string]*entry    // by id: not ended, written or not
	ghosts  map[string]time.Time // given up or answered, and perhaps answered still, until then
	passing []string             // their ids, the oldest first
	giveUps []string
	probes  []*probe
	pulled  int64 // bytes handed to the writer
	wrote   int64 // of these, gone out
	blocked bool  // the peer takes nothing for now
	halfway bool  // and has taken a part of what was pulled last

	unbegun      []*entry // the call that was pulled last, none if that was no call; it goes back where no byte of it can go out
	unbegunBytes int64

	heardAt  time.Time // last read, or when parts went out after a pause
	idleAt   time.Time // when the last part ended
	begun    time.Time // when an unfinished frame began to arrive, zero if none has
	read     []*entry  // answered by frames that have been read and not yet told
	alone    bool      // it ended, and no other connection to the replica is open
	doubtAt  time.Time // a part was given up then with nothing read since it went out; zero once something is
	silent   bool      // a part was given up after a silence, and nothing was read since
	retired  bool      // gets no new part and is closed once idle
	finished bool
}

// open starts a connection.
func (p *Pool) open(t *target) *link {
	now := time.Now()
	ctx, hangUp := context.WithCancel(context.Background())
	l := &link{
		p: p, t: t, address: t.Address, hangUp: hangUp, parts: map[string]*entry{}, ghosts: map[string]time.Time{},
		heardAt: now, idleAt: now,
	}
	t.links = append(t.links, l)
	p.links++
	go l.run(ctx)
	return l
}

// retire has a connection get no new part, and closes it once it is idle. One that is still dialled is given up: nothing
// waits for it then, and a handshake would cost the replica work.
func (l *link) retire() {
	l.retired = true
	if l.conn == nil {
		l.hangUp()
	}
	l.wake()
}

// fits tells whether a call may go on this connection.
func (l *link) fits(call []*exchange.Attempt, now time.Time) bool {
	if l.retired || l.finished || len(l.parts)+len(call) > max(l.p.limits.Streams, len(call)) ||
		l.idle() && now.Sub(l.idleAt) >= l.p.limits.ReplicaIdle {
		return false
	}
	for _, a := range call { // two of one id could not be told apart
		if _, ghost := l.ghosts[a.ID]; ghost || l.parts[a.ID] != nil {
			return false
		}
	}
	return true
}

// idle tells that nothing is out or waiting.
func (l *link) idle() bool { return len(l.parts) == 0 && len(l.probes) == 0 }

// isSilent guards against machines that vanish: an open connection to one says nothing for ever. A new
// connection shows what is the matter within the time for connecting.
func (l *link) isSilent(now time.Time) bool {
	return l.silent || l.conn != nil && len(l.parts) > 0 && now.Sub(l.heardAt) >= l.p.limits.Silence
}

// doubt is 1 where a part was given up and nothing has been read since it went out. Guards against connections that
// have fallen silent: they look idle as soon as their parts are given up, and would take one part after the other.
// Most are in order, the part was just one too many; so they are only used last, and left if nothing clears them.
func (l *link) doubt() int {
	if l.doubtAt.IsZero() {
		return 0
	}
	return 1
}

// expect notes that an answer to a part that has ended may come: one that was given up is answered perhaps, and a
// good answer may come twice. What is older than Remember is forgotten.
func (l *link) expect(id string, now time.Time) {
	if _, twice := l.ghosts[id]; !twice {
		l.passing = append(l.passing, id)
	}
	l.ghosts[id] = now.Add(l.p.limits.Remember)
	gone := 0
	for _, old := range l.passing {
		if !now.After(l.ghosts[old]) {
			break
		}
		delete(l.ghosts, old)
		gone++
	}
	l.passing = append(l.passing[:0], l.passing[gone:]...)
}

// wake makes the goroutine look at what is queued; while it dials, it will look by itself.
func (l *link) wake() {
	if l.conn != nil {
		l.conn.Wake()
	}
}

// run is the goroutine of the connection.
func (l *link) run(ctx context.Context) {
	nc, err := l.p.dial(ctx, l.address)
	l.hangUp()
	if err == nil {
		l.p.mu.Lock()
		l.conn = duplex.New(writer{nc, l}, l, l.p.limits.WriteTime).ReadFirst()
		l.idleAt = time.Now()
		l.p.mu.Unlock()
		in := bufio.NewScanner(reader{l})
		in.Buffer(nil, l.p.limits.FrameBytes+8)
		in.Split(l.split(frame.Split(l.p.limits.FrameBytes)))
		for err == nil && in.Scan() {
			err = l.collect(in.Bytes())
		}
		if err == nil {
			err = in.Err()
		}
		nc.Close()
		l.p.mu.Lock()
		l.retired = true // before what was read last is told: whoever hears of it may send the next part at once
		l.p.mu.Unlock()
		l.tell()
		if l.alone = true; l.anyOut() { // else nobody asks
			time.Sleep(l.p.limits.SiblingTime)
			l.alone = !l.siblings()
		}
	}
	l.end(err)
}

var (
	errIdle    = errors.New("closed as idle")
	errStray   = errors.New("a frame began that nothing had asked for")
	errStalled = errors.New("a frame began and did not go on")
)

// spoilt is an answer that can't be used. Its part, where its id can be read, has failed and may have run. The
// connection is ours to close then, so of the others on it only that is known: they were given up.
type spoilt struct {
	id  string // of the part, "" if it can't be told
	why string
}

func (s *spoilt) Error() string { return s.why }

// anyOut tells whether parts are out, with the lock taken.
func (l *link) anyOut() bool {
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	return l.anyWritten()
}

// siblings tells whether another connection to the replica is open still. A process that ends takes all of them with
// it, so then only this one was cut and the machine is none that went down.
func (l *link) siblings() bool {
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	return slices.ContainsFunc(l.t.links, func(o *link) bool {
		return o != l && o.conn != nil && !o.finished && o.address == l.address && o.conn.Open()
	})
}

// outcome is what the end of a connection means for a part whose frame went out whole.
func (l *link) outcome(en *entry, err error) policy.Outcome {
	var s *spoilt
	switch {
	case errors.Is(err, errStalled) || errors.Is(err, frame.ErrLength):
		return policy.Failed // which one it was for can't be told
	case !errors.As(err, &s) && l.alone:
		return policy.Broken
	case s == nil:
		return policy.Failed
	case s.id == en.a.ID || l.parts[s.id] == nil:
		return policy.Failed
	}
	return policy.Revoked
}

// end takes the connection out of the pool and tells what becomes of its parts: what was not wholly written
// never ran, the rest may have. Calls that had not begun go on to another connection.
func (l *link) end(err error) {
	p := l.p
	p.mu.Lock()
	l.finished = true
	now := time.Now()
	p.links--
	for i, other := range l.t.links {
		if other == l {
			l.t.links = append(l.t.links[:i], l.t.links[i+1:]...)
			break
		}
	}
	if l.t.State == policy.Removed && len(l.t.links) == 0 && p.targets[l.t.Replica] == l.t {
		delete(p.targets, l.t.Replica)
	}
	l.moveQueue(err)
	var out []exchange.Result
	for _, en := range l.parts {
		o := policy.Unreachable
		if en.written && en.end <= l.wrote {
			o = l.outcome(en, err)
		}
		delete(p.entries, en.a)
		out = append(out, exchange.Result{Attempt: en.a, Outcome: o, At: now})
	}
	probes := l.probes
	clear(l.parts)
	l.queue, l.probes = nil, nil
	name := l.t.Name
	p.mu.Unlock()
	p.tell(out)
	for _, pr := range probes {
		o := policy.Unreachable
		if pr.written {
			o = policy.Broken
		}
		p.probeEnded(pr, o, nil)
	}
	if err != nil && !errors.Is(err, errIdle) || len(out) > 0 {
		p.log.Warn("a connection to a replica ended", logrus.Fields{
			"replica": name, "address": l.address, "parts": len(out), "error": err,
		})
	}
}

// moveQueue has the calls that wait on a connection that has ended wait on another. That it ended, idle perhaps, says
// nothing of whether the replica can be reached; one that never came up, or took no bytes for so long, says that. A call
// moves once: a replica that closes all its connections would have it for ever.
func (l *link) moveQueue(err error) {
	p := l.p
	if l.conn == nil || errors.Is(err, os.ErrDeadlineExceeded) || l.t.State != policy.Up || l.t.Address != l.address {
		return
	}
	for _, call := range l.queue {
		var attempts []*exchange.Attempt
		for _, en := range call {
			if p.entries[en.a] == en && !en.moved {
				attempts = append(attempts, en.a)
			}
		}
		if len(attempts) == 0 {
			continue
		}
		to := p.choose(l.t, attempts)
		if to == nil {
			return
		}
		p.enqueue(to, attempts)
		for _, a := range attempts {
			p.entries[a].moved = true
			delete(l.parts, a.ID)
		}
	}
}

// unqueue takes back what is not yet written.
func (l *link) unqueue(o policy.Outcome) (back []exchange.Result) {
	for _, en := range l.parts {
		if !en.written {
			l.p.forget(en)
			back = append(back, exchange.Result{Attempt: en.a, Outcome: o, At: time.Now()})
		}
	}
	return back
}

// unask takes back the probes that are not yet written.
func (l *link) unask() []*probe {
	first := slices.IndexFunc(l.probes, func(pr *probe) bool { return !pr.written }) // they are written in order
	if first < 0 {
		return nil
	}
	back := slices.Clone(l.probes[first:])
	l.probes = l.probes[:first]
	return back
}
