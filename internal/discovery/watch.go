package discovery

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
	"birchcart/internal/logs"
)

var (
	errClosed = errors.New("closed after the whole list")
	errOlder  = errors.New("an index below the one that is held")
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
	pace    pace
	limits  config.Limits
	sink    Sink
	log     *logrus.Entry
	noisy   *logs.Limited
	asked   chan struct{}
	hasList atomic.Bool
	heard   atomic.Pointer[time.Time] // last word of a watch, or a whole list, at the address whose word is taken
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
	whole   bool          // a whole list is wanted: at the start, after an object that could not be used, and after a silence
	word    time.Time     // up to when what is held is known to hold: the last pulse or news, or the start of the ask for the list
	wait    time.Duration // before the next connection
	end     context.CancelFunc

	reopened bool // a watch of a shared discovery has fallen silent, and nothing was heard since
}

// NoIndex stands for that of a list where none is held.
const NoIndex int64 = -1

// New returns a client that has the list up to index already, or NoIndex. A list that was held before the start may be old:
// an agent is asked for the whole one. A shared discovery tells what has changed since with the watch, by one call instead
// of two in the moment in which many may start.
func New(cfg *config.Config, index int64, sink Sink, log *logrus.Entry) *Client {
	c := &Client{
		ask: cfg.Policy.MustAsk, limits: cfg.Limits, sink: sink, log: log,
		noisy: logs.Limit(log, cfg.Limits.LogEvery), asked: make(chan struct{}, 1),
		pace: newPace(cfg.Policy.MustAsk, &cfg.Limits),
	}
	c.lead = &feed{c: c, address: cfg.Discovery, index: index, whole: !c.pace.shared || index == NoIndex, word: time.Now()}
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

// Heard tells when the watch last gave a sign that the list holds, zero for never.
func (c *Client) Heard() time.Time {
	if at := c.heard.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (c *Client) hear(f *feed) {
	if c.leads(f) {
		now := time.Now()
		c.heard.Store(&now)
	}
}

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

// run has the list until the context ends. Where the decisions ask, their word begins it, and they are told of failures. It
// does not wait for them then: what is missed counts as told by a clock that does not either, and the pace bounds how
// often discovery is asked.
func (f *feed) run(ctx context.Context) {
	c := f.c
	if c.ask && c.leads(f) {
		select {
		case <-ctx.Done():
		case <-c.asked:
		}
	}
	for ctx.Err() == nil {
		s, err := f.ask(ctx)
		began := time.Now()
		if err == nil {
			err = f.follow(s)
			s.end()
		}
		if ctx.Err() != nil {
			return
		}
		c.failed(f, err)
		lasted, closed := time.Since(began), errors.Is(err, errClosed)
		if f.wait = c.pace.next(f.wait); lasted > c.pace.most || closed {
			f.wait = c.pace.first
		}
		if c.ask && lasted < c.limits.AgentTime && !closed && c.leads(f) {
			c.sink.ListFailed()
		}
		if errors.Is(err, errSilent) {
			f.afterSilence(s)
		}
	}
}

// afterSilence decides what is asked for once discovery has been silent. A new watch of an agent may be silent for longer
// than the rest of what was missed has, while the whole list has all at once. Of a shared discovery that would be two
// calls where one has the same: the answer to a watch says first what was missed. Only when that brings nothing either
// is the whole list asked for.
func (f *feed) afterSilence(s *stream) {
	switch {
	case !f.c.pace.shared || f.reopened:
		f.whole = true
	case s.up:
		f.reopened, f.word = true, time.Now()
	}
}

func (c *Client) failed(f *feed, err error) {
	c.noisy.Warn("the watch of the list ended", logrus.Fields{"error": err, "index": f.index, "address": f.address})
}

// wantsWhole tells whether to ask for the whole list and not for a watch. A new watch may say nothing for WatchSilence
// and be of no use then: with a word that is old by now, the whole list would come close to the time at which what was
// missed counts as told. So it is with watches that are refused, or end before they have told anything.
func (f *feed) wantsWhole() bool { return f.whole || time.Since(f.word) > f.c.pace.wordAge }

// heard notes that what is held holds by now.
func (f *feed) heard() {
	f.word, f.reopened = time.Now(), false
	f.c.hear(f)
}

// follow takes the list, if that was asked for, and then its changes, until the connection is of no more use.
func (f *feed) follow(s *stream) error {
	c, asked := f.c, s.began
	if s.whole {
		if _, err := f.take(s.objects.raw, true, true); err != nil {
			return err
		}
		f.whole, f.reopened, f.word = false, false, s.began
		if s.split.Close {
			return errClosed
		}
		asked = time.Now()
		s.until(asked.Add(c.pace.answerTime))
		if err := s.get(watchTarget(f.index), f.address); err != nil {
			return err
		}
	}
	if c.pace.shared { // a call that waited its turn says nothing of the watch that it opened
		asked = time.Now()
	}
	s.up = true
	s.until(asked.Add(c.limits.WatchSilence))
	for fresh := true; !s.split.Done; {
		piece, err := s.next()
		if err != nil {
			return err
		}
		if fresh, err = f.tell(s, piece, fresh); err != nil {
			f.whole = true // what that said is missing: the whole list has it
			return err
		}
	}
	return errors.New("the answer ended")
}

// tell takes what a piece of a watch says; fresh is whether the watch has said nothing yet.
func (f *feed) tell(s *stream, piece []byte, fresh bool) (bool, error) {
	for len(piece) > 0 {
		n, what, err := s.objects.scan(piece)
		if err != nil {
			return fresh, err
		}
		piece = piece[n:]
		news := what == foundPulse
		if what == foundObject {
			if news, err = f.take(s.objects.raw, false, fresh); err != nil {
				return fresh, err
			}
			fresh = false
		}
		if news { // what is had already says nothing of what there is now, as a pulse does
			s.until(time.Now().Add(f.c.limits.WatchSilence))
			f.heard()
		}
	}
	return fresh, nil
}

// take reads one object and passes it on; news is false for changes that are had already. One that can't be used leaves
// the list as it is. The first whole list of a new address is where the move is done: from then on the old one is not
// heard.
//
// A list that is whole and fresh, the first answer to a call, was asked for after all that is held came: it counts
// whatever its index, since discovery may have begun anew. Further on in a watch an index below ours is either old, and
// then a whole list would undo what came since, or that of a new beginning, and then all that follows would be passed
// over as old: only a fresh list can tell.
func (f *feed) take(raw []byte, whole, fresh bool) (news bool, err error) {
	c := f.c
	list, index, odd, err := Parse(raw)
	if err != nil {
		c.noisy.Warn("an object of the list is passed over", logrus.Fields{"error": err, "bytes": len(raw)})
		return false, err
	}
	if len(odd) > 0 {
		c.noisy.Warn("odd entries on the list", logrus.Fields{"entries": odd, "index": index})
	}
	list.Full = list.Full || whole
	if !(list.Full && fresh) && index < f.index {
		return false, errOlder
	}
	if !list.Full && index == f.index { // had already
		return false, nil
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
	return true, nil
}
