package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
	"birchcart/internal/h1"
	"birchcart/internal/logs"
)

// Sink takes the list.
type Sink interface {
	Listed(exchange.List)
	ListFailed()
}

// Client watches the list. A feed is one goroutine with one connection. There is one of them, but while the list
// moves to another address: then the old one goes on until the new one has a whole list.
type Client struct {
	ask     bool // the decisions say when to watch
	limits  config.Limits
	sink    Sink
	log     *logrus.Entry
	noisy   *logs.Limited
	asked   chan struct{}
	hasList atomic.Bool
	feeds   sync.WaitGroup

	mu   sync.Mutex
	ctx  context.Context // of Run, nil before
	lead *feed           // whose word is taken
	next *feed           // at the address that was named last, until it leads
}

// feed has the list from one address. Its index means nothing at another.
type feed struct {
	c       *Client
	address string
	index   int64
	whole   bool // a whole list is wanted: at the start, and after a line that could not be read
	end     context.CancelFunc
}

// New returns a client that has the list up to index already.
func New(cfg *config.Config, index int64, sink Sink, log *logrus.Entry) *Client {
	c := &Client{
		ask: cfg.Policy.MustAsk, limits: cfg.Limits, sink: sink, log: log,
		noisy: logs.Limit(log, cfg.Limits.LogEvery), asked: make(chan struct{}, 1),
	}
	c.lead = &feed{c: c, address: cfg.Discovery, index: index, whole: true}
	return c
}

// Watch asks for a watch, where the deployment has the decisions ask. It does not block.
func (c *Client) Watch() {
	select {
	case c.asked <- struct{}{}:
	default:
	}
}

// HasList tells whether discovery has given a list.
func (c *Client) HasList() bool { return c.hasList.Load() }

// Run watches until the context ends.
func (c *Client) Run(ctx context.Context) {
	c.mu.Lock()
	c.ctx = ctx
	c.start(c.lead)
	if c.next != nil {
		c.start(c.next)
	}
	c.mu.Unlock()
	<-ctx.Done()
	c.feeds.Wait()
}

// Move has the list from another address. What is held stays in force, and the old address is heard, until the
// new one has given a whole list; a move that follows before that takes its place. It may be called from anywhere.
func (c *Client) Move(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.lead
	if c.next != nil {
		now = c.next
	}
	if now.address == address {
		return
	}
	if c.next != nil && c.next.end != nil {
		c.next.end()
	}
	c.next = &feed{c: c, address: address, whole: true}
	if c.ctx != nil {
		c.start(c.next)
	}
}

func (c *Client) start(f *feed) {
	if c.ctx.Err() != nil {
		return
	}
	var ctx context.Context
	ctx, f.end = context.WithCancel(c.ctx)
	c.feeds.Go(func() { f.run(ctx) })
}

// leads tells whether a feed's word is taken.
func (c *Client) leads(f *feed) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lead == f
}

// run watches until the context ends. After a failure it dials again, ever more slowly; where the decisions ask,
// it tells them and waits for their word. A move needs no word of theirs.
func (f *feed) run(ctx context.Context) {
	c := f.c
	wait := c.limits.RedialFirst
	for ctx.Err() == nil {
		asked := c.ask && c.leads(f)
		if asked {
			select {
			case <-ctx.Done():
				return
			case <-c.asked:
			}
		}
		began := time.Now()
		err := f.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		c.noisy.Warn("the watch of the list ended", logrus.Fields{"error": err, "index": f.index, "address": f.address})
		if c.ask && c.leads(f) {
			c.sink.ListFailed()
			continue
		}
		if time.Since(began) > c.limits.RedialMost {
			wait = c.limits.RedialFirst
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = min(2*wait, c.limits.RedialMost)
	}
}

var errSilent = errors.New("silent over the pulse")

// stream reads responses from one connection.
type stream struct {
	nc    net.Conn
	in    *bufio.Scanner
	split h1.ResponseSplitter
	line  []byte
	most  int
	quiet time.Duration
}

// Read bounds each read: the pulse must come in time.
func (s *stream) Read(p []byte) (int, error) {
	s.nc.SetReadDeadline(time.Now().Add(s.quiet))
	n, err := s.nc.Read(p)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		err = errSilent
	}
	return n, err
}

func (s *stream) get(target, host string, writeTime time.Duration) error {
	s.split.Next()
	s.nc.SetWriteDeadline(time.Now().Add(writeTime))
	if _, err := s.nc.Write(h1.AppendGet(nil, target, host)); err != nil {
		return err
	}
	for s.split.Status < 200 {
		if !s.in.Scan() {
			return s.err()
		}
	}
	if s.split.Status != 200 {
		return fmt.Errorf("%s answered %d", target, s.split.Status)
	}
	return nil
}

func (s *stream) err() error {
	if err := s.in.Err(); err != nil {
		return err
	}
	return errors.New("the connection ended")
}

// next adds a piece of the body to the line.
func (s *stream) next() error {
	if !s.in.Scan() {
		return s.err()
	}
	if s.line = append(s.line, s.in.Bytes()...); len(s.line) > s.most {
		return fmt.Errorf("a line over %d bytes", s.most)
	}
	return nil
}

// watch uses one connection: for the whole list if that is wanted, then for the changes.
func (f *feed) watch(ctx context.Context) error {
	c := f.c
	d := net.Dialer{Timeout: c.limits.AgentTime}
	nc, err := d.DialContext(ctx, "tcp", f.address)
	if err != nil {
		return err
	}
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	s := &stream{nc: nc, most: c.limits.ListBytes, quiet: c.limits.AgentTime}
	s.split.Limits = h1.Limits{Head: c.limits.HeadBytes}
	s.in = bufio.NewScanner(s)
	s.in.Buffer(nil, c.limits.HeadBytes+c.limits.BodyBytes)
	s.in.Split(s.split.Split)
	if f.whole {
		if err := s.get("/api/targets", f.address, c.limits.WriteTime); err != nil {
			return err
		}
		for !s.split.Done {
			if err := s.next(); err != nil {
				return err
			}
		}
		if !f.take(s.line) {
			return errors.New("no list could be read")
		}
		if f.whole = false; s.split.Close {
			return errors.New("closed after the whole list")
		}
		s.line = s.line[:0]
	}
	if err := s.get("/api/targets?watch=1&after="+strconv.FormatInt(f.index, 10), f.address, c.limits.WriteTime); err != nil {
		return err
	}
	s.quiet = c.limits.WatchSilence
	for !s.split.Done {
		if err := s.next(); err != nil {
			return err
		}
		for {
			line, rest, ok := bytes.Cut(s.line, []byte{'\n'})
			if !ok {
				break
			}
			if len(bytes.TrimSpace(line)) > 0 && !f.take(line) {
				f.whole = true // what that line said is missing: the whole list has it
				return errors.New("a line could not be read")
			}
			s.line = s.line[:copy(s.line, rest)]
		}
	}
	return errors.New("the answer ended")
}

// take reads one object and passes it on. One that can't be read leaves the list as it is. The first whole list
// of a new address is where the move is done: from then on the old one is not heard.
func (f *feed) take(raw []byte) bool {
	c := f.c
	list, index, odd, err := Parse(raw)
	if err != nil {
		c.noisy.Warn("a line of the list is passed over", logrus.Fields{"error": err, "bytes": len(raw)})
		return false
	}
	if len(odd) > 0 {
		c.noisy.Warn("odd entries on the list", logrus.Fields{"entries": odd, "index": index})
	}
	list.Full = list.Full || f.whole
	if !list.Full && index <= f.index { // had already
		return true
	}
	f.index = index
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == f {
		c.log.WithFields(logrus.Fields{"from": c.lead.address, "to": f.address, "index": index}).Info("the list has moved")
		if c.lead.end != nil {
			c.lead.end()
		}
		c.lead, c.next = f, nil
	}
	if c.lead == f {
		c.sink.Listed(list)
		c.hasList.Store(true)
	}
	return true
}
