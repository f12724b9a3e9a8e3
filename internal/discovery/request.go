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
	listTarget = "/api/targets"

	// maxConcurrentRequests limits the connections to the agent that wait for a response. Their descriptors are part of the number
	// that the limits reserve for everything but the connections to peers.
	maxConcurrentRequests = 5
)

// watchTarget returns the target of a watch for the changes after an index.
func watchTarget(after int64) string {
	return listTarget + "?watch=1&after=" + strconv.FormatInt(after, 10)
}

// requestResult is the result of one attempt.
type requestResult struct {
	attempt   int
	startedAt time.Time
	stream    *stream
	err       error
}

// request repeats attempts for the full list or a watch, whichever is needed, until one has the complete list or the response head
// of the watch. Each attempt has its own connection and the retry policy's answerTime. With an agent, the next attempt begins at
// most RedialMost later, even while earlier ones are in flight: an agent that is silent while discovery is down may never answer
// the requests of that time, and the changes that it has count as delivered from the moment of its recovery. The first response
// is used and the other attempts are cancelled. Where the policy requests the watches, an attempt that fails after WatchSilence of
// failures ends the request, so that the policy is notified.
func (f *feed) request(ctx context.Context) (*stream, error) {
	c := f.client
	requestedAt := time.Now()
	answers := make(chan requestResult, maxConcurrentRequests)
	inFlight := map[int]context.CancelFunc{}
	defer func() {
		for _, cancel := range inFlight {
			cancel()
		}
	}()
	due := f.firstRequestAt(requestedAt)
	if f.checked == nil {
		c.logRequest(f)
	}
	silence := newSilenceTimer()
	defer silence.timer.Stop()
	for attempts := 0; ; {
		var retryTimer <-chan time.Time
		if len(inFlight) < c.retry.maxConcurrent {
			retryTimer = time.After(time.Until(due))
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-retryTimer:
			silence.start()
			attempts++
			attempt, fullList, index := attempts, f.needsFullList(), f.index
			attemptCtx, cancel := context.WithCancel(ctx)
			inFlight[attempt] = cancel
			c.feeds.Go(func() {
				startedAt := time.Now()
				s, err := f.attempt(attemptCtx, fullList, index)
				answers <- requestResult{attempt, startedAt, s, err}
			})
			due = time.Now().Add(c.limits.RedialMost)
		case <-silence.timer.C:
			if now := time.Now(); silence.onTick(now) {
				f.verify(now)
			}
		case result := <-answers:
			cancel := inFlight[result.attempt]
			if delete(inFlight, result.attempt); result.err == nil {
				result.stream.cancel = cancel
				return result.stream, nil
			}
			cancel()
			c.logRequestFailure(f, result.err)
			f.backoff = c.retry.nextBackoff(f.backoff)
			f.watchNext = false // the watch that was to follow the full list has failed
			due = f.nextRequestAt(result, due)
			if c.onDemand && c.isActive(f) && time.Since(requestedAt) >= c.limits.WatchSilence {
				f.resumeAt = due
				return nil, errRequestsFailed
			}
		}
	}
}

// firstRequestAt returns when the first attempt of a request is due. A request that was interrupted to notify the policy resumes
// at its next attempt: with a full backoff on top, changes that discovery has after an outage would be read after the time at
// which they count as delivered.
func (f *feed) firstRequestAt(now time.Time) time.Time {
	if at := f.resumeAt; !at.IsZero() {
		f.resumeAt = time.Time{}
		return at
	}
	return now.Add(f.client.retry.jitter(f.backoff))
}

// nextRequestAt returns when the next attempt is due after one has failed; due is when it would be without the failure.
func (f *feed) nextRequestAt(result requestResult, due time.Time) time.Time {
	if f.client.retry.shared { // counted from the start of the attempt: one that timed out has waited already
		return result.startedAt.Add(f.client.retry.jitter(f.backoff))
	}
	if retryAt := time.Now().Add(f.backoff); retryAt.Before(due) {
		return retryAt
	}
	return due
}

// attempt connects and sends one request. It returns once the full list is read or the response head of the watch has arrived. The
// connection is closed when the context ends.
func (f *feed) attempt(ctx context.Context, fullList bool, index int64) (*stream, error) {
	limits := &f.client.limits
	dialer := net.Dialer{Timeout: f.client.retry.firstByteTime}
	startedAt := time.Now()
	rawConn, err := dialer.DialContext(ctx, "tcp", f.address)
	if err != nil {
		return nil, err
	}
	conn, err := newListConn(rawConn)
	if err != nil {
		rawConn.Close()
		return nil, err
	}
	f.client.conns.add(conn)
	context.AfterFunc(ctx, func() {
		conn.Close()
		f.client.conns.remove(conn)
	})
	s := &stream{conn: conn, fullList: fullList, startedAt: startedAt, deadline: startedAt.Add(f.client.retry.firstByteTime), answerDeadline: startedAt.Add(f.client.retry.answerTime), objects: objectScanner{maxSize: limits.ListBytes}}
	s.splitter.Limits = h1.Limits{Head: limits.HeadBytes}
	s.scanner = bufio.NewScanner(s)
	s.scanner.Buffer(nil, limits.HeadBytes+limits.BodyBytes)
	s.scanner.Split(s.splitter.Split)
	if !fullList {
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
