package harness

import (
	"errors"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// bothWait is how much later the second query is asked, at most.
	bothWait = 400 * time.Millisecond
	// againFrom is the number of the first try of a query that is asked again beside itself.
	againFrom = 100
	// herdTime is the time in which all come at once.
	herdTime = 100 * time.Millisecond
)

// Move is a session's, as its client was told.
type Move struct {
	From, To int
	At       time.Time
}

// note keeps a try, and tells the owner's place if one was named, else -1.
func (s *Sessions) note(a Asked) int {
	i, err := strconv.Atoi(strings.TrimPrefix(a.Owner, "n"))
	if a.Owner == "" || err != nil || i < 0 || i >= len(s.Addresses) {
		i = -1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = append(s.asked, a)
	if i >= 0 && i != a.To {
		s.move = Move{a.To, i, a.End}
	}
	return i
}

// Moved is the newest move that a client was told of.
func (s *Sessions) Moved() Move {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.move
}

// both asks two queries beside each other at two co-ordinators; the second goes its own way, whatever owner it is told, and
// never to where the first began, as long as that is open. Where the first may run twice, the second is now and then the same one. It tells the
// number of the last.
func (s *Sessions) both(rng *rand.Rand, session, query int, tally bool, to *int) int {
	other := rand.New(rand.NewPCG(rng.Uint64(), uint64(session)))
	second, first, tallied, at := query+1, 0, other.Float64() < tallyShare, s.but(other, *to)
	if !tally && other.IntN(2) == 0 {
		second, first, tallied = query, againFrom, false
	}
	var wg sync.WaitGroup
	var avoid atomic.Int64
	avoid.Store(int64(*to))
	wg.Go(func() {
		if s.sleep(time.Duration(other.Int64N(int64(bothWait)))) {
			s.query(other, session, second, first, tallied, &at, &avoid)
		}
	})
	s.query(rng, session, query, 0, tally, to, nil)
	avoid.Store(-1)
	wg.Wait()
	return second
}

// but is the place of any process but one.
func (s *Sessions) but(rng *rand.Rand, avoid int) int {
	return (max(0, avoid) + 1 + rng.IntN(max(1, len(s.Addresses)-1))) % len(s.Addresses)
}

// Herd has all come within herdTime.
func (s *Sessions) Herd() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.herd)
	s.herd = make(chan struct{})
}

// idle waits for a client's next query; false at the end.
func (s *Sessions) idle(rng *rand.Rand, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	s.mu.Lock()
	herd := s.herd
	s.mu.Unlock()
	select {
	case <-t.C:
		return true
	case <-herd:
		return s.sleep(time.Duration(rng.Int64N(int64(herdTime))))
	case <-s.ended:
		return false
	}
}

// closedBy tells whether an error says that the other side had closed a connection: it may have met the query.
func closedBy(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		strings.Contains(err.Error(), "server closed idle connection")
}
