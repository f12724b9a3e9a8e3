// Package harness runs a fleet of real co-ordinator processes on loopback under faults, and judges it from outside: at
// clients, at stand-in replicas and by the files that the site's tools read, never by what a co-ordinator says of itself.
//
// Faults lie on directed links between two processes, in relays outside of them. Each process tells the others the
// address of its relay, so one relay stands before each and has to tell apart who sends. It does by the address that
// packets and connections come from: each process listens on a loopback address of its own and sends and dials from
// there, in the fleet as anywhere (package dialfrom). That needs no hook in the program and no right beyond that of its
// user. Network namespaces would do as well, but want root and tc, which the machines that run the short form need not
// have; to look up in /proc who holds a connection's other end comes too late for those that say one word and close.
//
// A schedule is data: seed, steps with times, links, processes. It is printed whole when a run fails, replayed by one
// command (make fleet SEED=...) and shrunk by leaving out steps. All of it listens on loopback only.
package harness

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// lossDelay is what a lost segment costs a connection: the least time after which a kernel sends it again. Twice as
	// long or short changes only how hard the fault is.
	lossDelay = 200 * time.Millisecond
	// laterMost bounds by how much a datagram is held so that others pass it. Twice as long reorders over more of them.
	laterMost = 80 * time.Millisecond
	// heldMost bounds the datagrams that wait on one link, for a stop or a delay; the newest goes first.
	heldMost = 512
	// queueMost bounds what a narrow link keeps of datagrams, in time; beyond it they are lost.
	queueMost = time.Second
)

// Fault is what a directed link does to what passes. The zero value lets all through at once.
type Fault struct {
	Drop    float64       `json:"drop,omitempty"`    // share of datagrams lost; of pieces of a connection sent again
	Repeat  float64       `json:"repeat,omitempty"`  // share of datagrams that come twice
	Reorder float64       `json:"reorder,omitempty"` // share of datagrams that later ones may pass
	Delay   time.Duration `json:"delay,omitempty"`
	Jitter  time.Duration `json:"jitter,omitempty"` // up to so much more
	Stop    bool          `json:"stop,omitempty"`   // holds all, then lets it go at once
	Cut     bool          `json:"cut,omitempty"`    // loses datagrams; bytes wait, as for being sent again; no new connection
	Rate    int           `json:"rate,omitempty"`   // bytes/s; 0: no limit
}

// Link is one direction between two processes.
type Link struct{ From, To string }

// Links has the fault of each link, and the seeded luck by which it strikes.
type Links struct {
	mu      sync.Mutex
	rng     *rand.Rand
	faults  map[Link]Fault
	free    map[Link]time.Time // when a narrow link has sent what it took
	held    map[Link]int       // datagrams that wait
	conns   map[*conn]struct{}
	changed chan struct{} // closed at the next change
	tally   Tally
}

// Tally counts what the links did.
type Tally struct {
	Datagrams, Lost, Repeated, Later, Bytes, Connections, Resets int
	Strangers                                                    int // from none of the processes; dropped
}

// NewLinks returns links without a fault.
func NewLinks(seed uint64) *Links {
	return &Links{
		rng: rand.New(rand.NewPCG(seed, 0x11e5)), faults: map[Link]Fault{}, free: map[Link]time.Time{}, held: map[Link]int{},
		conns: map[*conn]struct{}{}, changed: make(chan struct{}),
	}
}

// Set puts a fault on a link, in place of the one that it has.
func (l *Links) Set(link Link, f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f == (Fault{}) {
		delete(l.faults, link)
	} else {
		l.faults[link] = f
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// Heal takes all faults off.
func (l *Links) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.faults)
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset breaks all connections that a process has open to another, with a reset at both ends.
func (l *Links) Reset(link Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.link == link {
			l.tally.Resets++
			c.reset()
		}
	}
}

// Tally is what the links did so far.
func (l *Links) Tally() Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tally
}

// now tells the fault of a link, and a channel that is closed at the next change.
func (l *Links) now(link Link) (Fault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults[link], l.changed
}

var errEnded = errors.New("ended")

// passable waits until a link neither stops nor cuts, or until one of two ends; the second may be nil.
func (l *Links) passable(link Link, end, also <-chan struct{}) error {
	for {
		f, changed := l.now(link)
		if !f.Stop && !f.Cut {
			return nil
		}
		select {
		case <-changed:
		case <-end:
			return errEnded
		case <-also:
			return errEnded
		}
	}
}

// datagram decides on one datagram: after how long each of its copies is due; none if it is lost.
func (l *Links) datagram(link Link, size int) []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.faults[link]
	l.tally.Datagrams++
	wait, ok := l.turn(link, f, size)
	if f.Cut || l.rng.Float64() < f.Drop || !ok || l.held[link] >= heldMost {
		l.tally.Lost++
		return nil
	}
	wait += f.Delay + l.luck(f.Jitter)
	if l.rng.Float64() < f.Reorder {
		l.tally.Later++
		wait += l.luck(laterMost)
	}
	out := []time.Duration{wait}
	if l.rng.Float64() < f.Repeat {
		l.tally.Repeated++
		out = append(out, wait+l.luck(laterMost))
	}
	l.held[link] += len(out)
	return out
}

// gone says that a copy of a datagram waits no more.
func (l *Links) gone(link Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[link]--
}

// piece decides after how long a piece of a connection is due.
func (l *Links) piece(link Link, size int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.faults[link]
	l.tally.Bytes += size
	wait, _ := l.turn(link, f, size)
	wait += f.Delay + l.luck(f.Jitter)
	if l.rng.Float64() < f.Drop {
		wait += lossDelay
	}
	return wait
}

// turn is the wait for a narrow link; false if more waits than it keeps.
func (l *Links) turn(link Link, f Fault, size int) (time.Duration, bool) {
	if f.Rate <= 0 {
		return 0, true
	}
	now := time.Now()
	at := l.free[link]
	if at.Before(now) {
		at = now
	}
	if at.Sub(now) > queueMost {
		return at.Sub(now), false
	}
	l.free[link] = at.Add(time.Duration(size) * time.Second / time.Duration(f.Rate))
	return l.free[link].Sub(now), true
}

func (l *Links) luck(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	return time.Duration(l.rng.Int64N(int64(most)))
}
