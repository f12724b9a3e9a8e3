// Package featureserver is the client side towards replicas that are feature servers: each part of a feature query is
// one GET of items, and its outcome keeps the proofs that frames give.
//
// net/http's client repeats a GET by itself when a kept connection breaks, which would run a part twice, so requests
// are written here on plain connections and only the parsing of responses is the library's. A part that is not
// wholly written has never run; one that was written may have; a response that can't be used makes it a failure. A
// refusal proves that it never ran only where the server says so (docs/protocols/features.md).
package featureserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/duplexconn"
	"birchcart/internal/exchange"
	"birchcart/internal/feature"
	"birchcart/internal/logs"
	"birchcart/policy"
)

// NeverRan is the header by which a server proves that it did not begin what it refuses.
const NeverRan = "Never-Ran"

// Sink takes what came of attempts and probes.
type Sink interface {
	AttemptEnded(exchange.Result)
	HealthChecked(exchange.HealthCheck)
}

// Pool holds what is out at feature servers. Its lock is held for bookkeeping only, never across I/O.
type Pool struct {
	limits config.Limits
	sink   Sink
	log    *logs.Limited

	listPending func() bool

	mu      sync.Mutex
	targets map[uint64]*target
	entries map[*exchange.Attempt]*entry
	links   int // connections, open or coming up
	closed  bool
}

type target struct {
	exchange.Target
	idle []*link // the one used last at the end
	out  int
}

type link struct {
	net.Conn
	in     *bufio.Reader
	idleAt time.Time
}

// entry is one attempt that has not ended.
type entry struct {
	a       *exchange.Attempt
	t       *target
	name    string // the target's, and its address, as they were when it was sent
	address string
	l       *link // nil until it has one
	written bool  // handed to the machine, in part or whole
}

// New returns an empty pool. limits.ReplicaLinks is its own share.
func New(limits config.Limits, sink Sink, log *logrus.Entry) *Pool {
	return &Pool{
		limits: limits, sink: sink, log: logs.Limit(log, limits.LogEvery), targets: map[uint64]*target{},
		entries: map[*exchange.Attempt]*entry{}, listPending: func() bool { return false },
	}
}

// HoldForList has no new part begin while a change of the list is pending: it counts as notified already, and may tell that the
// server drains. It must be called before the first part is sent.
func (p *Pool) HoldForList(pending func() bool) { p.listPending = pending }

const (
	holdStep = time.Millisecond // from one look for a pending list to the next, as towards replicas that speak frames
	maxHolds = 200              // such looks at the most, as there
)

// awaitList waits while a change of the list is pending.
func (p *Pool) awaitList() {
	for range maxHolds {
		if !p.listPending() {
			return
		}
		time.Sleep(holdStep)
	}
}

// Update takes changed targets. One that drains or is gone gets nothing that is not yet written.
func (p *Pool) Update(changed []exchange.Target) {
	p.mu.Lock()
	var back []exchange.Result
	for _, c := range changed {
		t := p.targets[c.Replica]
		if t == nil {
			t = &target{}
			p.targets[c.Replica] = t
		}
		moved := t.Address != "" && (t.Address != c.Address || !t.Started.Equal(c.Started))
		t.Target = c
		if c.State != policy.Up {
			for a, en := range p.entries {
				if en.t == t && !en.written {
					delete(p.entries, a)
					back = append(back, exchange.Result{Attempt: a, Outcome: policy.NotSent, At: time.Now()})
				}
			}
		}
		if c.State != policy.Up || moved {
			p.shut(t)
		}
		if c.State == policy.Removed && t.out == 0 {
			delete(p.targets, c.Replica)
		}
	}
	p.mu.Unlock()
	for _, r := range back {
		p.sink.AttemptEnded(r)
	}
}

// shut closes what stands idle.
func (p *Pool) shut(t *target) {
	for _, l := range t.idle {
		l.Close()
		p.links--
	}
	t.idle = nil
}

// Send sends attempts, each as a request of its own.
func (p *Pool) Send(replica uint64, call []*exchange.Attempt) {
	for _, a := range call {
		p.mu.Lock()
		t := p.targets[replica]
		var en *entry
		if !p.closed && t != nil && t.State == policy.Up && t.out < p.limits.PerReplica && (len(t.idle) > 0 || p.room()) {
			en = &entry{a: a, t: t, name: t.Name, address: t.Address}
			if n := len(t.idle); n > 0 {
				en.l, t.idle = t.idle[n-1], t.idle[:n-1]
			} else {
				p.links++
			}
			t.out++
			p.entries[a] = en
		}
		p.mu.Unlock()
		if en == nil {
			p.log.Warn("no connection for a call", logrus.Fields{"replica": replica})
			p.sink.AttemptEnded(exchange.Result{Attempt: a, Outcome: policy.Unreachable, At: time.Now()})
			continue
		}
		go p.run(en, en.l)
	}
}

// room tells whether one more connection may be opened; the one idle longest makes room.
func (p *Pool) room() bool {
	if p.links < p.limits.ReplicaLinks {
		return true
	}
	var oldest *target
	for _, t := range p.targets {
		if len(t.idle) > 0 && (oldest == nil || t.idle[0].idleAt.Before(oldest.idle[0].idleAt)) {
			oldest = t
		}
	}
	if oldest == nil {
		return false
	}
	oldest.idle[0].Close()
	oldest.idle = oldest.idle[1:]
	p.links--
	return true
}

// Cancel takes back an attempt; one that was written is given up by closing its connection.
func (p *Pool) Cancel(a *exchange.Attempt) (found, sent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	en := p.entries[a]
	if en == nil {
		return false, false
	}
	delete(p.entries, a)
	if en.written && en.l != nil {
		en.l.Close()
	}
	return true, en.written
}

// CancelUnsent takes back an attempt that is not yet written.
func (p *Pool) CancelUnsent(a *exchange.Attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	en := p.entries[a]
	if en == nil || en.written {
		return false
	}
	delete(p.entries, a)
	return true
}

// CheckHealth asks a server for its landing page.
func (p *Pool) CheckHealth(replica uint64) {
	p.mu.Lock()
	t := p.targets[replica]
	address := ""
	if t != nil && t.State == policy.Up && !p.closed && p.room() {
		address = t.Address
		p.links++
	}
	p.mu.Unlock()
	began := time.Now()
	if address == "" {
		p.sink.HealthChecked(exchange.HealthCheck{Replica: replica, Outcome: policy.Unreachable, At: began})
		return
	}
	go func() {
		o := policy.Unreachable
		ctx, stop := context.WithTimeout(context.Background(), p.limits.ProbeTime)
		defer stop()
		if l, err := p.dial(ctx, address); err == nil {
			l.SetDeadline(began.Add(p.limits.ProbeTime))
			o = policy.Failed
			if _, err := io.WriteString(l, "GET / HTTP/1.1\r\nHost: "+address+"\r\nAccept: application/json\r\nConnection: close\r\n\r\n"); err == nil {
				if resp, err := http.ReadResponse(l.in, nil); err == nil && resp.StatusCode == http.StatusOK {
					o = policy.OK
				}
			}
			l.Close()
		}
		p.mu.Lock()
		p.links--
		p.mu.Unlock()
		now := time.Now()
		p.sink.HealthChecked(exchange.HealthCheck{Replica: replica, Outcome: o, At: now, Took: now.Sub(began)})
	}()
}

// Close ends all connections; what is out ends as broken.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, t := range p.targets {
		p.shut(t)
	}
	for _, en := range p.entries {
		if en.l != nil {
			en.l.Close()
		}
	}
}

func (p *Pool) dial(ctx context.Context, address string) (*link, error) {
	d := net.Dialer{Timeout: p.limits.ConnectTime}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{Conn: nc}
	l.in = bufio.NewReader(nc)
	return l, nil
}

// alive tells whether a kept connection is still good: nothing has come on it, not even its end.
func (l *link) alive() bool { return l.in.Buffered() == 0 && !duplexconn.Waits(l.Conn) }

// run takes one attempt from its connection to its end.
func (p *Pool) run(en *entry, l *link) {
	keep := false
	if l != nil && (time.Since(l.idleAt) > p.limits.ReplicaIdle || !l.alive()) {
		l.Close()
		l = nil
	}
	var o policy.Outcome
	var value []byte
	var err error
	if l == nil {
		ctx, stop := context.WithDeadline(context.Background(), en.a.Due)
		l, err = p.dial(ctx, en.address)
		stop()
	}
	if err != nil {
		o = policy.Unreachable
	} else {
		o, value, keep, err = p.exchange(en, l)
	}
	if err != nil && o != policy.NotSent {
		p.log.Warn("a feature server's answer can't be used", logrus.Fields{"replica": en.name, "error": err})
	}
	now := time.Now()
	p.mu.Lock()
	open := p.entries[en.a] == en
	if open {
		delete(p.entries, en.a)
	}
	en.t.out--
	if keep && !p.closed && en.t.State == policy.Up {
		l.idleAt = now
		en.t.idle = append(en.t.idle, l)
	} else {
		if l != nil {
			l.Close()
		}
		p.links--
	}
	p.mu.Unlock()
	if open { // else it was given up meanwhile
		p.sink.AttemptEnded(exchange.Result{Attempt: en.a, Outcome: o, At: now, Value: value})
	}
}

// exchange writes the request and reads the response; keep tells that the connection can be used again.
func (p *Pool) exchange(en *entry, l *link) (o policy.Outcome, value []byte, keep bool, err error) {
	req, err := feature.Decode(en.a.Text)
	if err != nil {
		return policy.NotSent, nil, true, err // not a feature query: a feature server has no form for it
	}
	text := Request(req, en.a.Shard, en.address)
	p.awaitList()
	l.SetWriteDeadline(time.Now().Add(p.limits.WriteTime))
	p.mu.Lock()
	if p.entries[en.a] != en || !en.a.Due.After(time.Now()) {
		p.mu.Unlock()
		return policy.NotSent, nil, true, nil
	}
	en.written, en.l = true, l
	p.mu.Unlock()
	if n, err := io.WriteString(l, text); n < len(text) {
		return policy.Unreachable, nil, false, err
	}
	l.SetReadDeadline(en.a.Due.Add(p.limits.FrameTime))
	if _, err := l.in.Peek(1); err != nil {
		return policy.ConnectionBroken, nil, false, fmt.Errorf("no response: %w", err)
	}
	l.SetReadDeadline(time.Now().Add(p.limits.FrameTime)) // from its first byte to its last
	limited := &io.LimitedReader{R: l.in, N: int64(p.limits.HeadBytes) + int64(p.limits.FrameBytes)*4}
	in := bufio.NewReader(limited)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return policy.Failed, nil, false, fmt.Errorf("response: %w", err)
	}
	defer resp.Body.Close()
	if (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests) && resp.Header.Get(NeverRan) == "?1" {
		return policy.Rejected, nil, false, nil
	}
	if resp.StatusCode != http.StatusOK {
		return policy.Failed, nil, false, fmt.Errorf("status %s", resp.Status)
	}
	kind, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if kind != "application/geo+json" && kind != "application/json" {
		return policy.Failed, nil, false, fmt.Errorf("content type %q", resp.Header.Get("Content-Type"))
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return policy.Failed, nil, false, fmt.Errorf("body: %w", err)
	}
	value, err = Value(body, req, en.a.Shard)
	if err != nil {
		return policy.Failed, nil, false, err
	}
	return policy.OK, value, !resp.Close && resp.ContentLength >= 0 && in.Buffered() == 0, nil // more came than belongs to it
}
