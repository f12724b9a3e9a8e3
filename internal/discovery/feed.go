package discovery

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
)

// feed keeps the endpoint list from one address up to date. Its index means nothing at another address.
type feed struct {
	client         *Client
	address        string
	index          int64
	fullListNeeded bool          // the full list is needed: at the start, after an object that could not be used, and after a silence
	confirmedAt    time.Time     // up to when the list is known to hold: the last heartbeat or change, or the start of the request for the full list
	backoff        time.Duration // before the next connection
	cancel         context.CancelFunc

	watchNext            bool      // the full list has just come, on a connection that closed behind it
	lastErr              error     // why the connection before is of no more use, nil at the start
	resumeAt             time.Time // when the next attempt of a request that was left is due, zero for none
	reopenedAfterSilence bool      // a watch of a shared discovery has fallen silent, and nothing was heard since
}

// run keeps the list up to date until the context ends. Where the decisions poll, their first request begins it, and they are
// notified of failures. It does not wait for them after that: what is missed counts as notified by a clock that does not either,
// and the retry policy bounds how often discovery is polled.
func (f *feed) run(ctx context.Context) {
	c := f.client
	if c.onDemand && c.isActive(f) {
		select {
		case <-ctx.Done():
		case <-c.watchRequested:
		}
	}
	for ctx.Err() == nil {
		s, err := f.request(ctx)
		began := time.Now()
		if err == nil {
			err = f.consume(s)
			f.markUnconfirmed(err, time.Since(began))
			s.close()
		}
		if ctx.Err() != nil {
			return
		}
		c.logWatchEnd(f, err)
		f.lastErr, f.watchNext = err, errors.Is(err, errClosedAfterList)
		lasted, closed := time.Since(began), errors.Is(err, errClosedAfterList)
		if f.backoff = c.retry.nextBackoff(f.backoff); lasted > c.retry.maxBackoff || closed {
			f.backoff = c.retry.reconnectBackoff
		}
		if c.onDemand && lasted < c.limits.AgentTime && !closed && c.isActive(f) {
			c.sink.WatchFailed()
		}
		if errors.Is(err, errTimeout) {
			f.handleSilence(s)
		}
	}
}

// unconfirmedTime is for how long after a watch's end the list counts as pending: a watch of an agent may end instead of bringing a change,
// which counts already. The agent is on this machine and gives the full list within milliseconds, or is down; half as long is short
// for a busy machine, and as long again has every end of a watch cost as much time.
const unconfirmedTime = 50 * time.Millisecond

// markUnconfirmed has the list count as pending for a moment, where an agent's watch has ended that had lasted: the full list is requested
// at once then. One that ends soon is followed by a wait.
func (f *feed) markUnconfirmed(err error, lasted time.Duration) {
	c := f.client
	if c.retry.shared || lasted <= c.retry.maxBackoff || !c.isActive(f) || errors.Is(err, errTimeout) || errors.Is(err, errClosedAfterList) {
		return
	}
	c.unconfirmed.Store(true)
	time.AfterFunc(unconfirmedTime, func() { c.unconfirmed.Store(false) })
}

// handleSilence decides what is requested once discovery has been silent. A new watch of an agent may be silent for longer than
// there is time left for what was missed, while the full list has all of it at once. Of a shared discovery that would be two
// calls where one has the same: the answer to a watch begins with what was missed. Only when that brings nothing either is the
// full list requested.
func (f *feed) handleSilence(s *stream) {
	switch {
	case !f.client.retry.shared || f.reopenedAfterSilence:
		f.fullListNeeded = true
	case s.watching:
		f.reopenedAfterSilence, f.confirmedAt = true, time.Now()
	}
}

// needsFullList says whether to request the full list and not a watch. A new watch may be silent for WatchSilence and be of no
// use then: with a confirmation that is old by now, the full list would come close to the time at which what was missed counts as
// notified. So it is with watches that are refused, or end before they have brought anything. Only where the full list has just
// come, on a connection that closed with it, does a watch follow on a new one.
func (f *feed) needsFullList() bool {
	if f.watchNext {
		return false
	}
	return f.fullListNeeded || time.Since(f.confirmedAt) > f.client.retry.maxConfirmationAge
}

// confirm notes that the list holds as of now.
func (f *feed) confirm() {
	f.confirmedAt, f.reopenedAfterSilence = time.Now(), false
	f.client.confirm(f)
}

// consume reads the full list, if that was requested, and then its changes, until the connection is of no more use.
func (f *feed) consume(s *stream) error {
	c, requestedAt := f.client, s.startedAt
	if s.fullList {
		if _, err := f.applyObject(s.objects.object, true, true); err != nil {
			return err
		}
		f.fullListNeeded, f.reopenedAfterSilence, f.confirmedAt = false, false, s.startedAt
		if s.splitter.Close {
			return errClosedAfterList
		}
		requestedAt = time.Now()
		s.setDeadline(requestedAt.Add(c.retry.answerTime))
		if err := s.sendGet(watchTarget(f.index), f.address); err != nil {
			return err
		}
	}
	if c.retry.shared { // how long a call waited its turn says nothing of the watch that it opened
		requestedAt = time.Now()
	}
	s.watching = true
	s.setDeadline(requestedAt.Add(c.limits.WatchSilence))
	for first := true; !s.splitter.Done; {
		piece, err := s.nextPiece()
		if err != nil {
			return err
		}
		if first, err = f.handlePiece(s, piece, first); err != nil {
			f.fullListNeeded = true // what that said is missing: the full list has it
			return err
		}
	}
	return errors.New("the answer ended")
}

// handlePiece applies what a piece of a watch holds; fresh says that the watch has brought nothing yet.
func (f *feed) handlePiece(s *stream, piece []byte, first bool) (bool, error) {
	for len(piece) > 0 {
		n, found, err := s.objects.scan(piece)
		if err != nil {
			return first, err
		}
		piece = piece[n:]
		confirms := found == foundHeartbeat
		if found == foundObject {
			if confirms, err = f.applyObject(s.objects.object, false, first); err != nil {
				return first, err
			}
			first = false
		}
		if confirms { // a change that is known already does not confirm the list, as a heartbeat does
			s.setDeadline(time.Now().Add(f.client.limits.WatchSilence))
			f.confirm()
		}
	}
	return first, nil
}

// applyObject reads one object and passes it on; changed is false for changes that are known already. One that can't be used
// leaves the list as it is. The first full list of a new address completes the move: from then on the old address is not read.
//
// A list that is full and fresh, the first answer to a call, was requested after everything known here had come: it counts
// whatever its index, since discovery may have restarted. Further on in a watch an index below ours is either old, and then a
// full list would undo what came since, or that of a restart, and then all that follows would be passed over as old: only a
// fresh list can tell.
func (f *feed) applyObject(raw []byte, whole, fresh bool) (changed bool, err error) {
	c := f.client
	list, index, odd, err := Parse(raw)
	if err != nil {
		c.limitedLog.Warn("an object of the list is passed over", logrus.Fields{"error": err, "bytes": len(raw)})
		return false, err
	}
	if len(odd) > 0 {
		c.limitedLog.Warn("odd entries on the list", logrus.Fields{"entries": odd, "index": index})
	}
	list.Full = list.Full || whole
	if !(list.Full && fresh) && index < f.index {
		return false, errStaleIndex
	}
	if !list.Full && index == f.index { // known already
		return false, nil
	}
	f.index = index
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == f {
		c.log.WithFields(logrus.Fields{"from": c.active.address, "to": f.address, "index": index}).Info("the list has moved")
		if c.active.cancel != nil {
			c.active.cancel()
		}
		c.active, c.pending = f, nil
	}
	if c.active == f {
		c.sink.UpdateReplicas(list)
		c.unconfirmed.Store(false)
		c.hasList.Store(true)
	}
	return true, nil
}
