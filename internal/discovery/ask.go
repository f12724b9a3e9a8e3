package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"birchcart/internal/duplex"
	"birchcart/internal/h1"
)

const (
	listTarget = "/api/targets"
	asksMost   = 5 // connections to the agent at once that wait for an answer; of the descriptors kept for all but the peers
)

func watchTarget(after int64) string {
	return listTarget + "?watch=1&after=" + strconv.FormatInt(after, 10)
}

var (
	errSilent = errors.New("silent over its time")
	errTold   = errors.New("no answer in time for those who asked")
	errEmpty  = errors.New("an answer with no list")
	errTwice  = errors.New("an answer with more than one list")
)

// answer is how one ask went.
type answer struct {
	no    int
	began time.Time
	s     *stream
	err   error
}

// ask asks for what is wanted until it has an answer: the whole list, or the head of a watch. Each ask has its own
// connection and the pace's answerTime. Of an agent the next one begins RedialMost later at the latest, beside those that
// wait still: an agent that is silent while discovery is down may never answer what it was asked then, and what it has
// counts as told from the moment of its return. The first answer counts and the others are left. Where the decisions
// ask, an ask that fails after WatchSilence of failures ends it, so that they hear of it.
func (f *feed) ask(ctx context.Context) (*stream, error) {
	c := f.c
	began := time.Now()
	answers := make(chan answer, asksMost)
	open := map[int]context.CancelFunc{}
	defer func() {
		for _, leave := range open {
			leave()
		}
	}()
	due := began.Add(c.pace.spread(f.wait))
	for no := 0; ; {
		var again <-chan time.Time
		if len(open) < c.pace.atOnce {
			again = time.After(time.Until(due))
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-again:
			no++
			n, whole, index := no, f.wantsWhole(), f.index
			each, leave := context.WithCancel(ctx)
			open[n] = leave
			c.feeds.Go(func() {
				asked := time.Now()
				s, err := f.try(each, whole, index)
				answers <- answer{n, asked, s, err}
			})
			due = time.Now().Add(c.limits.RedialMost)
		case a := <-answers:
			leave := open[a.no]
			if delete(open, a.no); a.err == nil {
				a.s.leave = leave
				return a.s, nil
			}
			leave()
			c.failed(f, a.err)
			f.wait = c.pace.next(f.wait)
			if c.ask && c.leads(f) && time.Since(began) >= c.limits.WatchSilence {
				return nil, errTold
			}
			due = f.after(a, due)
		}
	}
}

// after tells when the next ask is due once one has failed; due is when it was.
func (f *feed) after(a answer, due time.Time) time.Time {
	if f.c.pace.shared { // from its beginning: one that got no answer in its time has waited already
		return a.began.Add(f.c.pace.spread(f.wait))
	}
	if soon := time.Now().Add(f.wait); soon.Before(due) {
		return soon
	}
	return due
}

// try is one ask. Its connection is closed when the context ends.
func (f *feed) try(ctx context.Context, whole bool, index int64) (*stream, error) {
	lim := &f.c.limits
	d := net.Dialer{Timeout: f.c.pace.answerTime}
	began := time.Now()
	nc, err := d.DialContext(ctx, "tcp", f.address)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { nc.Close() })
	s := &stream{nc: nc, whole: whole, began: began, by: began.Add(f.c.pace.answerTime), objects: objects{most: lim.ListBytes}}
	s.split.Limits = h1.Limits{Head: lim.HeadBytes}
	s.in = bufio.NewScanner(s)
	s.in.Buffer(nil, lim.HeadBytes+lim.BodyBytes)
	s.in.Split(s.split.Split)
	if !whole {
		return s, s.get(watchTarget(index), f.address)
	}
	if err := s.get(listTarget, f.address); err != nil {
		return nil, err
	}
	if err := s.list(); err != nil {
		return nil, err
	}
	return s, nil
}

// stream reads responses from one connection.
type stream struct {
	nc      net.Conn
	whole   bool      // its first answer is the whole list
	began   time.Time // before its connection was asked for
	in      *bufio.Scanner
	split   h1.ResponseSplitter
	objects objects
	by      time.Time // when what is waited for has to be whole, however many bytes of it come: an answer, an object or a pulse
	late    int       // bytes read after that
	leave   context.CancelFunc
	up      bool // the watch was answered
}

func (s *stream) end() { s.leave() }

// until gives what is waited for now its time.
func (s *stream) until(by time.Time) { s.by, s.late = by, 0 }

// Read reads until the time is up. What waits by then and was not read, since we had no processor, counts as come in
// time, up to the most of an object: our own standstill is not the agent's silence.
func (s *stream) Read(p []byte) (int, error) {
	s.nc.SetReadDeadline(s.by)
	n, err := s.nc.Read(p)
	if timedOut(err) && s.late < s.objects.most && duplex.Waits(s.nc) {
		s.nc.SetReadDeadline(time.Time{}) // there is something: it does not wait
		n, err = s.nc.Read(p)
		s.late += n
	}
	if timedOut(err) {
		err = errSilent
	}
	return n, err
}

func timedOut(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// get asks for a target and reads the answer's head.
func (s *stream) get(target, host string) error {
	s.split.Next()
	s.objects = objects{raw: s.objects.raw[:0], most: s.objects.most}
	s.nc.SetWriteDeadline(s.by)
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

// next is a piece of the body, good until it is called again.
func (s *stream) next() ([]byte, error) {
	if !s.in.Scan() {
		return nil, s.err()
	}
	return s.in.Bytes(), nil
}

// list reads the answer to its end, which has to hold one object. Where the end is that of the connection, or it closes
// after the answer anyway, the object's end will do: a connection that stays open, or is reset, adds nothing to it.
func (s *stream) list() error {
	had := false
	for !s.split.Done && !(had && s.split.Close) {
		piece, err := s.next()
		if err != nil {
			return err
		}
		for len(piece) > 0 {
			n, what, err := s.objects.scan(piece)
			if err != nil {
				return err
			}
			if piece = piece[n:]; what != foundObject {
				continue
			}
			if had {
				return errTwice
			}
			had = true
		}
	}
	if !had {
		return errEmpty
	}
	return nil
}
