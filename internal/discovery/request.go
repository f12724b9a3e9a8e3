package discovery

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"time"

	"birchcart/internal/h1"
)

const (
	listTarget            = "/api/targets"
	maxConcurrentRequests = 5 // connections to the agent that wait for an answer at the same time; of the descriptors reserved for all but the peers
)

func watchTarget(after int64) string {
	return listTarget + "?watch=1&after=" + strconv.FormatInt(after, 10)
}

// requestResult is the outcome of one attempt.
type requestResult struct {
	attempt   int
	startedAt time.Time
	stream    *stream
	err       error
}

// request requests what is needed, the full list or a watch, until it has an answer or the head of one. Each attempt has its own
// connection and the retry policy's answerTime. Of an agent the next one begins RedialMost later at the latest, beside those
// that still wait: an agent that is silent while discovery is down may never answer what it was asked then, and what it has
// counts as notified from the moment of its return. The first answer counts and the others are cancelled. Where the decisions
// poll, an attempt that fails after WatchSilence of failures ends the request, so that they are notified.
func (f *feed) request(ctx context.Context) (*stream, error) {
	c := f.client
	began := time.Now()
	answers := make(chan requestResult, maxConcurrentRequests)
	open := map[int]context.CancelFunc{}
	defer func() {
		for _, cancel := range open {
			cancel()
		}
	}()
	due := f.firstRequestAt(began)
	c.logRequest(f)
	for no := 0; ; {
		var again <-chan time.Time
		if len(open) < c.retry.maxConcurrent {
			again = time.After(time.Until(due))
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-again:
			no++
			n, whole, index := no, f.needsFullList(), f.index
			each, cancel := context.WithCancel(ctx)
			open[n] = cancel
			c.feeds.Go(func() {
				asked := time.Now()
				s, err := f.attempt(each, whole, index)
				answers <- requestResult{n, asked, s, err}
			})
			due = time.Now().Add(c.limits.RedialMost)
		case a := <-answers:
			cancel := open[a.attempt]
			if delete(open, a.attempt); a.err == nil {
				a.stream.cancel = cancel
				return a.stream, nil
			}
			cancel()
			c.logRequestFailure(f, a.err)
			f.backoff = c.retry.nextBackoff(f.backoff)
			f.watchNext = false // what that connection was for has failed
			due = f.nextRequestAt(a, due)
			if c.onDemand && c.isActive(f) && time.Since(began) >= c.limits.WatchSilence {
				f.resumeAt = due
				return nil, errOnDemandTimeout
			}
		}
	}
}

// firstRequestAt is when the first attempt of a request is due. One that was left so that the decisions are notified goes on where
// it was: with a whole backoff on top, what discovery has at its return would come after the time at which it counts as notified.
func (f *feed) firstRequestAt(now time.Time) time.Time {
	if at := f.resumeAt; !at.IsZero() {
		f.resumeAt = time.Time{}
		return at
	}
	return now.Add(f.client.retry.jitter(f.backoff))
}

// nextRequestAt is when the next attempt is due once one has failed; due is when it would have been.
func (f *feed) nextRequestAt(a requestResult, due time.Time) time.Time {
	if f.client.retry.shared { // from its beginning: one that got no answer in its time has waited already
		return a.startedAt.Add(f.client.retry.jitter(f.backoff))
	}
	if soon := time.Now().Add(f.backoff); soon.Before(due) {
		return soon
	}
	return due
}

// attempt is one attempt. Its connection is closed when the context ends.
func (f *feed) attempt(ctx context.Context, whole bool, index int64) (*stream, error) {
	lim := &f.client.limits
	d := net.Dialer{Timeout: f.client.retry.firstByteTime}
	began := time.Now()
	nc, err := d.DialContext(ctx, "tcp", f.address)
	if err != nil {
		return nil, err
	}
	conn, err := newListConn(nc)
	if err != nil {
		nc.Close()
		return nil, err
	}
	f.client.conns.add(conn)
	context.AfterFunc(ctx, func() {
		conn.Close()
		f.client.conns.remove(conn)
	})
	s := &stream{conn: conn, fullList: whole, startedAt: began, deadline: began.Add(f.client.retry.firstByteTime), answerDeadline: began.Add(f.client.retry.answerTime), objects: objectScanner{maxSize: lim.ListBytes}}
	s.splitter.Limits = h1.Limits{Head: lim.HeadBytes}
	s.scanner = bufio.NewScanner(s)
	s.scanner.Buffer(nil, lim.HeadBytes+lim.BodyBytes)
	s.scanner.Split(s.splitter.Split)
	if !whole {
		return s, s.sendGet(watchTarget(index), f.address)
	}
	if err := s.sendGet(listTarget, f.address); err != nil {
		return nil, err
	}
	if err := s.readList(); err != nil {
		return nil, err
	}
	return s, nil
}
