// Package faultinject has the peers of a co-ordinator under test, with faults that are injected where they happen: a
// discovery agent, replicas, clients, and signals by a seeded schedule. A judge holds what they recorded to the rules. Everything
// runs in the test's process and listens on loopback; the co-ordinator is a real process.
package faultinject

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"birchcart/internal/standin"
)

const (
	// heartbeatEvery is from the protocol: an empty line in each watch while nothing changes.
	heartbeatEvery = 2 * time.Second
	// silenceCounts is from the operators' page: what a watch misses counts as notified so long after it fell silent.
	silenceCounts = 6 * time.Second
	pieceGap      = 3 * time.Millisecond // between the pieces of an object that comes in pieces
)

// Agent is a discovery agent on the co-ordinator's machine. What it has counts as notified at once, whether or not a watch is
// open and whatever that watch says. Only what a sound watch misses after it has fallen silent while the agent was reachable
// counts silenceCounts after that; a watch that was silent from its opening, or since an outage, delays nothing.
type Agent struct {
	listener net.Listener

	mu        sync.Mutex
	endpoints []standin.Endpoint
	index     int64
	changes   []standin.List // one change each
	down      bool
	unlearnt  []standin.Endpoint // changes of an outage, had at its end
	news      chan struct{}      // closed at each change of what watches go by
	faults    []WatchFault       // of the next watches, the first first
	watches   map[*agentWatch]struct{}
	periods   []Drain
	calls     int
	onList    func() // called before the next full list is written
}

// Drain is a time in which a replica wants nothing new.
type Drain struct {
	Replica string
	Counts  time.Time // from when it counts as notified
	Until   time.Time // ready again; zero for never
}

// NewAgent starts an agent with this list.
func NewAgent(endpoints []standin.Endpoint) (*Agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{
		listener: listener, endpoints: append([]standin.Endpoint(nil), endpoints...), index: 40,
		news: make(chan struct{}), watches: map[*agentWatch]struct{}{},
	}
	go a.accept()
	return a, nil
}

// Address is where it listens.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Close ends it and all its connections.
func (a *Agent) Close() {
	a.listener.Close()
	a.ResetWatches()
}

// SetStatus changes the status of a replica. While the agent is down it learns nothing.
func (a *Agent) SetStatus(name, status string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.endpoints {
		if e.Name != name {
			continue
		}
		e.Status = status
		if a.down {
			a.unlearnt = append(a.unlearnt, e)
		} else {
			a.learn(e)
		}
		return
	}
}

// learn takes a change. The lock is held.
func (a *Agent) learn(e standin.Endpoint) {
	now := time.Now()
	for i := range a.endpoints {
		if a.endpoints[i].Name == e.Name {
			a.endpoints[i] = e
		}
	}
	a.index++
	a.changes = append(a.changes, standin.List{Index: a.index, Endpoints: []standin.Endpoint{e}})
	if e.Status == "Ready" {
		a.endDrain(e.Name, now)
	} else {
		a.beginDrain(e.Name, now)
	}
	a.wake()
}

// beginDrain notes from when a drain counts. The lock is held.
func (a *Agent) beginDrain(name string, now time.Time) {
	for i := range a.periods {
		if a.periods[i].Replica == name && a.periods[i].Until.IsZero() {
			return // draining and then gone: it counts from the first
		}
	}
	a.periods = append(a.periods, Drain{Replica: name, Counts: a.countsFrom(now)})
}

func (a *Agent) endDrain(name string, now time.Time) {
	for i := range a.periods {
		if a.periods[i].Replica == name && a.periods[i].Until.IsZero() {
			a.periods[i].Until = now
		}
	}
}

// countsFrom is when a change that is had now counts as notified: at once, but where all watches that are open were sound and fell
// silent, so long after they did. The lock is held.
func (a *Agent) countsFrom(now time.Time) time.Time {
	var silencedAt time.Time
	for w := range a.watches {
		if w.silencedAt.IsZero() {
			return now
		}
		if silencedAt.IsZero() || w.silencedAt.Before(silencedAt) {
			silencedAt = w.silencedAt
		}
	}
	if counts := silencedAt.Add(silenceCounts); len(a.watches) > 0 && counts.After(now) {
		return counts
	}
	return now
}

// Drains lists when replicas want nothing new.
func (a *Agent) Drains() []Drain {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Drain(nil), a.periods...)
}

// Calls is how many requests have come.
func (a *Agent) Calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

// FailWatches has the next watches go wrong, one after the other.
func (a *Agent) FailWatches(faults ...WatchFault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = append(a.faults, faults...)
}

// Down begins an outage: the agent says nothing more, on any connection, and learns nothing.
func (a *Agent) Down() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = true
	a.wake()
}

// Up ends it, and all watches with it. What was asked meanwhile is never answered; what discovery has is had at once.
func (a *Agent) Up() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeWatches()
	a.endOutage()
}

// UpWithSilentWatches ends it like Up, but the watches that are open stay open and silent.
func (a *Agent) UpWithSilentWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for w := range a.watches {
		w.silent, w.silencedAt = true, time.Time{}
	}
	a.endOutage()
}

// endOutage learns what discovery has. The lock is held.
func (a *Agent) endOutage() {
	a.down = false
	for _, e := range a.unlearnt {
		a.learn(e)
	}
	a.unlearnt = nil
	a.wake()
}

// BeforeNextList has do called once, when the next full list is about to be written; the list is as it was before that.
func (a *Agent) BeforeNextList(do func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onList = do
}

// SilenceWatches has all watches that are open say nothing more. New ones are sound.
func (a *Agent) SilenceWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for w := range a.watches {
		if w.silent {
			w.fault.Late = forever
			continue
		}
		if w.silencedAt.IsZero() {
			w.silencedAt = now
		}
	}
}

// ResetWatches resets all watches that are open.
func (a *Agent) ResetWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeWatches()
}

// closeWatches closes the watches that are open. The lock is held.
func (a *Agent) closeWatches() {
	for w := range a.watches {
		w.conn.(*net.TCPConn).SetLinger(0)
		w.conn.Close()
		delete(a.watches, w)
	}
}

// wake has all watches look again. The lock is held.
func (a *Agent) wake() {
	close(a.news)
	a.news = make(chan struct{})
}

func (a *Agent) accept() {
	for {
		conn, err := a.listener.Accept()
		if err != nil {
			return
		}
		go a.serve(conn)
	}
}

// serve answers the requests of one connection.
func (a *Agent) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		target, err := readTarget(in)
		if err != nil {
			return
		}
		a.mu.Lock()
		a.calls++
		down := a.down
		a.mu.Unlock()
		if down { // never answered, also not at the end of the outage
			io.Copy(io.Discard, in)
			return
		}
		query := target.Query()
		if query.Get("watch") != "" {
			after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
			a.serveWatch(conn, after)
			return
		}
		if a.writeList(conn) != nil {
			return
		}
	}
}

// readTarget reads the head of a request that has no body.
func readTarget(in *bufio.Reader) (*url.URL, error) {
	line, err := in.ReadString('\n')
	for head := line; err == nil && head != "\r\n"; {
		head, err = in.ReadString('\n')
	}
	if err != nil {
		return nil, err
	}
	fields := strings.Fields(line)
	if len(fields) < 2 {
		return nil, fmt.Errorf("a request line %q", line)
	}
	return url.Parse(fields[1])
}

// writeList answers the request for the full list.
func (a *Agent) writeList(conn net.Conn) error {
	a.mu.Lock()
	body, err := json.Marshal(standin.List{Index: a.index, Snapshot: true, Endpoints: a.endpoints})
	a.heard()
	onList := a.onList
	a.onList = nil
	a.mu.Unlock()
	if err != nil {
		return err
	}
	if onList != nil {
		onList()
	}
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err
}

// heard notes that the list, or a change of it, is written: what a silent watch missed counts from now at the latest. The lock is held.
func (a *Agent) heard() {
	now := time.Now()
	for i := range a.periods {
		if a.periods[i].Counts.After(now) {
			a.periods[i].Counts = now
		}
	}
}
