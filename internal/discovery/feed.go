package discovery

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// feed keeps the endpoint list from one discovery address up to date. Its index is valid at that address only.
type feed struct {
	client         *Client
	address        string
	index          int64
	fullListNeeded bool          // set at the start, after an invalid object and, where handleSilence decides so, after a timeout
	confirmedAt    time.Time     // time of the last heartbeat or change, or start of the request for the full list
	backoff        time.Duration // wait before the next connection
	cancel         context.CancelFunc
	heldIndex      atomic.Int64              // index, for the watchCheck
	verifiedAt     atomic.Pointer[time.Time] // see verify; nil before the first time
	watch          atomic.Pointer[stream]    // the watch that is open, nil if there is none

	watchNext            bool      // the full list was just read on a connection that closed after it, so a watch follows on a new one
	lastErr              error     // why the previous connection ended, nil at the start
	checked              *feed     // makes the requests of a watchCheck of this feed, which are not logged one by one; otherwise nil
	listBytes            int       // size of the last full list
	resumeAt             time.Time // when the next attempt of an interrupted request is due, zero for none
	reopenedAfterSilence bool      // a watch of a shared discovery timed out, and nothing was received since
}

// run keeps the list up to date until the context ends. Where the policy requests the watches, its first request starts the active
// feed, and it is notified of failures. Later connections do not wait for the policy, because the time at which a missed change
// counts as delivered does not wait for it either; the retry policy bounds how often discovery is called.
func (f *feed) run(ctx context.Context) {
	c := f.client
	if c.onDemand && c.isActive(f) {
		select {
		case <-ctx.Done():
		case <-c.watchRequested:
		}
	}
	var next *stream // has read its first object already
	for ctx.Err() == nil {
		s, err := next, error(nil)
		if s == nil {
			s, err = f.request(ctx)
		}
		next = nil
		startedAt := time.Now()
		if err == nil {
			next, err = f.consume(ctx, s)
			s.close()
		}
		if ctx.Err() != nil {
			return
		}
		c.logWatchEnd(f, s, err)
		f.lastErr, f.watchNext = err, errors.Is(err, errClosedAfterList)
		lifetime, closed := time.Since(startedAt), errors.Is(err, errClosedAfterList)
		if f.backoff = c.retry.nextBackoff(f.backoff); lifetime > c.retry.maxBackoff || closed {
			f.backoff = c.retry.reconnectBackoff
		}
		if c.onDemand && lifetime < c.limits.AgentTime && !closed && c.isActive(f) {
			c.sink.WatchFailed()
		}
		if errors.Is(err, errTimeout) {
			f.handleSilence(s)
		}
	}
}

// handleSilence decides what to request after a timeout. A new watch of an agent may stay silent until after the changes that were
// missed count as delivered, while the full list holds them all at once. For a shared discovery, the full list and a watch would
// be two calls where a watch alone is enough, since its response begins with the missed changes. The full list is requested only
// if that watch times out too.
func (f *feed) handleSilence(s *stream) {
	switch {
	case !f.client.retry.shared || f.reopenedAfterSilence:
		f.fullListNeeded = true
	case s.watching:
		f.reopenedAfterSilence, f.confirmedAt = true, time.Now()
	}
}

// needsFullList reports whether to request the full list and not a watch. A new watch may be silent for WatchSilence and then time
// out. If the last confirmation is old by then, the full list would be read only shortly before a missed change counts as
// delivered. The same holds for watches that are rejected, or that end before they report anything. If the full list was just
// read on a connection that closed after it, a watch on a new connection follows.
func (f *feed) needsFullList() bool {
	if f.watchNext {
		return false
	}
	return f.fullListNeeded || time.Since(f.confirmedAt) > f.client.retry.maxConfirmationAge
}

// confirm records that the list is current as of now.
func (f *feed) confirm() {
	f.confirmedAt, f.reopenedAfterSilence = time.Now(), false
	f.client.confirm(f)
}

// consume applies the full list, if that was requested, and then reads its changes until the connection ends or fails. If the watch
// has not reported a change that the agent has, it returns the stream that has read the change.
func (f *feed) consume(ctx context.Context, s *stream) (next *stream, err error) {
	if s.fullList {
		if err := f.applyFullList(s); err != nil {
			return nil, err
		}
	}
	check := f.startCheck(ctx, s)
	if err = f.openWatch(s); err == nil {
		f.watch.Store(s)
		err = f.readWatch(s)
		f.watch.Store(nil)
	}
	if next = check.stop(); next == nil {
		return nil, err
	}
	if check.lastIndex <= f.index { // the watch has reported the change in the meantime
		next.close()
		next = nil
	}
	return next, errMissedChange
}

// applyFullList applies the full list that a stream has read.
func (f *feed) applyFullList(s *stream) error {
	if _, err := f.applyObject(s, true, true); err != nil {
		f.verify(time.Now()) // the agent has nothing better to say
		return err
	}
	f.fullListNeeded, f.reopenedAfterSilence, f.confirmedAt = false, false, s.startedAt
	if s.splitter.Close {
		return errClosedAfterList
	}
	return nil
}

// openWatch opens a watch for the changes of the full list on the same connection, unless the stream has one already.
func (f *feed) openWatch(s *stream) error {
	c, requestedAt := f.client, s.startedAt
	if s.fullList {
		requestedAt = time.Now()
		s.setDeadline(requestedAt.Add(c.retry.answerTime))
		if err := s.sendGet(watchTarget(f.index), f.address); err != nil {
			return err
		}
	}
	if c.retry.shared { // the time that the call was queued does not count as silence of the watch
		requestedAt = time.Now()
	}
	s.watching = true
	s.setDeadline(requestedAt.Add(c.limits.WatchSilence))
	return nil
}

// readWatch reads changes until the connection ends or fails.
func (f *feed) readWatch(s *stream) error {
	first := true
	if s.firstRead {
		if _, err := f.applyObject(s, false, first); err != nil {
			return err
		}
		first = false
	}
	piece, err := s.rest, error(nil)
	for {
		if first, err = f.handlePiece(s, piece, first); err != nil {
			f.fullListNeeded = true // the change in the invalid object is lost; the full list holds it
			return err
		}
		if s.splitter.Done {
			return errors.New("the response of the watch ended")
		}
		if piece, err = s.nextPiece(); err != nil {
			return err
		}
	}
}

// handlePiece applies the objects and heartbeats in a piece of a watch. first means that the watch has sent no object yet; the
// returned value is first for the next piece.
func (f *feed) handlePiece(s *stream, piece []byte, first bool) (bool, error) {
	for len(piece) > 0 {
		n, found, err := s.objects.scan(piece)
		if err != nil {
			return first, err
		}
		piece = piece[n:]
		confirms, reports := found == foundHeartbeat, found == foundHeartbeat || !first
		if found == foundObject {
			if confirms, err = f.applyObject(s, false, first); err != nil {
				return first, err
			}
			first = false
		}
		if confirms && reports { // the first object only brings what the watch was opened for
			now := time.Now()
			s.heardAt.Store(&now)
		}
		if confirms { // a change that is already known does not confirm the list; a heartbeat does
			s.setDeadline(time.Now().Add(f.client.limits.WatchSilence))
			f.confirm()
		}
	}
	return first, nil
}

// applyObject decodes the object that a stream has read and passes it on to the sink; changed is false for a change that is already known. An invalid
// object leaves the list as it is. fullList means that the object was requested as the full list, first that it is the first object
// of its response. The first full list from a new address completes the move: from then on the old address is not read.
//
// A full list that is the first object of a response was requested after everything known here had been received. It is applied
// whatever its index, since discovery may have restarted. Later in a watch, an index below the current one has two possible
// causes: the object is old, and then a full list would undo newer changes; or discovery has restarted, and then all later objects
// would be ignored as old. Only a newly requested list can tell, so the watch is ended with errStaleIndex.
func (f *feed) applyObject(s *stream, fullList, first bool) (changed bool, err error) {
	c, raw := f.client, s.objects.object
	list, index, problems, err := Parse(raw)
	if err != nil {
		c.limitedLog.Warn("an object from discovery is invalid and was skipped", logrus.Fields{"error": err, "bytes": len(raw)})
		return false, err
	}
	if len(problems) > 0 {
		c.limitedLog.Warn("the list has invalid entries", logrus.Fields{"entries": problems, "index": index})
	}
	list.Full, list.Source, list.Age = list.Full || fullList, s.source(), time.Since(s.startedAt)
	if !(list.Full && first) && index < f.index {
		return false, errStaleIndex
	}
	if !list.Full && index == f.index { // the change is already applied
		return false, nil
	}
	if f.index = index; list.Full && first {
		f.verify(s.startedAt)
	}
	f.heldIndex.Store(index)
	if list.Full {
		f.listBytes = len(raw)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == f {
		c.log.WithFields(logrus.Fields{"from": c.active.address, "to": f.address, "index": index}).Info("the list is now read from the new discovery address")
		if c.active.cancel != nil {
			c.active.cancel()
		}
		c.active, c.pending = f, nil
		c.current.Store(f)
	}
	if c.active == f {
		c.sink.UpdateReplicas(list)
		c.hasList.Store(true)
	}
	return true, nil
}
