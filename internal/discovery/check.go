package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"
)

const (
	// maxCheckedListBytes is the size of the list up to which checks request the full list.
	maxCheckedListBytes = 64 << 10
	// checkBytesPerSecond bounds the bytes of the full lists that checks request. The other checks request a second watch, whose
	// response holds nothing if nothing is new.
	checkBytesPerSecond = 96 << 10
	// checkReadTime is how long a check waits for the first object of a second watch.
	checkReadTime = 50 * time.Millisecond
)

// watchCheck compares an agent's list with the one that a watch keeps up to date, for as long as the watch is open. A change that
// the agent has counts as delivered at once, and a watch can stay open without reporting anything, above all after an outage of
// discovery, which may be over before the next heartbeat is due. If the agent has a change that the watch has not reported, the watch is closed, and the stream that has read the
// change takes its place.
type watchCheck struct {
	feed           *feed
	watch          *stream
	requester      *feed     // makes the requests, with a backoff of its own
	listBytes      int       // size of the full list
	requestedBytes int       // of full lists, by all checks of the watch
	startedAt      time.Time // of the last check
	lastList       []byte    // the full list that was read last, which need not be decoded again
	lastIndex      int64
	done           chan struct{}

	mu          sync.Mutex
	cancel      context.CancelFunc // cancels the request that is in flight
	stopped     bool               // the watch has ended
	replacement *stream            // has read the change that the watch has not reported, nil if there is none
}

// startCheck starts to check the watch of a stream, or returns nil if watches are not checked: a shared discovery serves requests
// in turn, and a missed change counts as delivered later there.
func (f *feed) startCheck(ctx context.Context, watch *stream) *watchCheck {
	c := f.client
	if c.retry.shared || c.limits.ListCheck <= 0 {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	w := &watchCheck{
		feed: f, watch: watch, listBytes: f.listBytes, startedAt: watch.startedAt, lastIndex: NoIndex, done: make(chan struct{}), cancel: cancel,
		requester: &feed{client: c, address: f.address, index: NoIndex, fullListNeeded: true, checked: f},
	}
	c.feeds.Go(func() {
		defer close(w.done)
		w.run(ctx)
	})
	return w
}

// stop ends the check. If the watch has missed a change, it returns the stream that has read it.
func (w *watchCheck) stop() *stream {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	w.stopped = true
	if w.replacement == nil {
		w.cancel()
	}
	w.mu.Unlock()
	<-w.done
	if w.replacement != nil { // its context belongs to the check's
		cancelAttempt := w.replacement.cancel
		w.replacement.cancel = func() {
			cancelAttempt()
			w.cancel()
		}
	}
	return w.replacement
}

// run checks the watch until the context ends or the watch has missed a change.
func (w *watchCheck) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(w.nextAt())):
		}
		w.startedAt = time.Now()
		w.requester.watchNext, w.requester.index = !w.takeFullList(), w.feed.heldIndex.Load()
		w.requester.backoff = 0 // that of an outage which is over
		s, err := w.requester.request(ctx)
		if err != nil {
			return
		}
		if w.compare(s) {
			return
		}
	}
}

// takeFullList reports whether the next check requests the full list, and counts its bytes if so.
func (w *watchCheck) takeFullList() bool {
	allowed := time.Since(w.watch.startedAt).Seconds() * checkBytesPerSecond
	if w.listBytes > maxCheckedListBytes || float64(w.requestedBytes+w.listBytes) > allowed {
		return false
	}
	w.requestedBytes += w.listBytes
	return true
}

// nextAt returns when the next check is due.
func (w *watchCheck) nextAt() time.Time { return w.startedAt.Add(w.feed.client.limits.ListCheck) }

// compare reads the list of a check and reports whether the check has ended because the watch has missed a change.
func (w *watchCheck) compare(s *stream) bool {
	if !s.fullList { // its head shows that the agent is there; what is new follows at once
		w.feed.verify(s.startedAt)
	}
	index, err := w.readIndex(s)
	switch {
	case err != nil:
		w.feed.verify(time.Now()) // the agent has nothing better to say
	case index <= w.feed.heldIndex.Load():
		w.feed.verify(s.startedAt)
	}
	if err != nil || w.feed.heldIndex.Load() >= index {
		s.close()
		return false
	}
	time.Sleep(reportTime)
	if w.feed.heldIndex.Load() >= index {
		s.close()
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		s.close()
		return true
	}
	w.replacement = s
	w.feed.client.logMissedChange(w, index)
	w.watch.close() // ends the watch, whose reader then calls stop
	return true
}

// reportTime is how long a change that a check has found may be on its way in the watch.
const reportTime = 5 * time.Millisecond

// readIndex returns the index of the list that the agent has. A second watch that brings nothing has nothing to report.
func (w *watchCheck) readIndex(s *stream) (int64, error) {
	if !s.fullList {
		if err := s.readFirstObject(time.Now().Add(checkReadTime)); errors.Is(err, errTimeout) {
			return w.feed.heldIndex.Load(), nil
		} else if err != nil {
			return 0, err
		}
	}
	raw := s.objects.object
	if w.lastIndex != NoIndex && bytes.Equal(raw, w.lastList) {
		return w.lastIndex, nil
	}
	var list struct {
		Index *int64 `json:"index"`
	}
	if err := json.Unmarshal(raw, &list); err != nil {
		return 0, err
	}
	if list.Index == nil {
		return 0, errNoList
	}
	w.lastList, w.lastIndex = append(w.lastList[:0], raw...), *list.Index
	return w.lastIndex, nil
}
