package harness

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	sessionHeader = "X-Session"
	ownerHeader   = "X-Session-At"
	// sessionRate is how often all sessions together ask, in queries/s.
	sessionRate = 250.0
	// tallyShare of a session's queries may not run twice.
	tallyShare = 0.4
	// sessionMost is after how long such a client stops listening: it hears what a co-ordinator says that wakes after its lease.
	sessionMost = 18 * time.Second
	// triesMost of one query by its client, which then goes on to the next.
	triesMost = 40
	// sessionSlots are the slots at each replica, of all co-ordinators together.
	sessionSlots = 120
)

// Run is one part of a session's query as a stand-in replica ran it.
type Run struct {
	At      time.Time
	Process int // that sent it
	Machine string
	Session int
	Query   int // its number in its session
	Try     int
	Tally   bool
	Count   int // of the session's tallies, with this one
}

// Asked is one try of a session's query, as its client saw it.
type Asked struct {
	Session, Query, Try int
	Tally               bool
	To                  int // place of the process
	At, End             time.Time
	Status              int  // of the answer; 0: none
	Unsent              bool // no connection was had
	Kept                bool // the connection had been there before
	Crossed             bool // no answer on a kept connection, which may have been closed as the query came
	Count               int  // of the session's tallies, as a served answer has it; -1: none
	Owner               string
	Err                 string // of a try without an answer
}

// Sessions are clients with a session each. Each asks its queries one after the other, at random times that do not wait
// for other sessions, follows the owner that a refusal names, and comes again when it is told that this is harmless.
type Sessions struct {
	Addresses []string
	Many      int
	Shards    int
	Rate      float64 // queries/s, of all together
	Seed      uint64
	Both      int // one of so many asks a second query elsewhere while its first may be open; 0: none

	Wait time.Duration // for what may run twice; 0: as for all else

	mu    sync.Mutex
	asked []Asked
	move  Move          // the newest that a client was told of
	herd  chan struct{} // closed when all are to come at once
	wg    sync.WaitGroup
	ended chan struct{}
	http  *http.Client
}

// Start begins to ask.
func (s *Sessions) Start() {
	s.ended, s.herd = make(chan struct{}), make(chan struct{})
	s.http = &http.Client{Timeout: sessionMost, Transport: &http.Transport{
		MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Second, DialContext: (&net.Dialer{Timeout: clientWait}).DialContext,
	}}
	for i := range s.Many {
		s.wg.Go(func() { s.client(i) })
	}
}

// Stop ends it, waits for all that is open, and lists all that was asked.
func (s *Sessions) Stop() []Asked {
	close(s.ended)
	s.wg.Wait()
	s.http.CloseIdleConnections()
	return s.asked
}

func (s *Sessions) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.ended:
		return false
	}
}

// client plays one session's.
func (s *Sessions) client(session int) {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(session)))
	to, every := session%len(s.Addresses), float64(s.Many)/s.Rate*float64(time.Second)
	for query := 0; s.idle(rng, time.Duration(every*(0.5+rng.Float64()))); query++ {
		tally := rng.Float64() < tallyShare
		if s.Both > 0 && session%s.Both == 0 {
			query = s.both(rng, session, query, tally, &to)
			continue
		}
		s.query(rng, session, query, 0, tally, &to, nil)
	}
}

// query asks one, again and again while that is harmless. It goes to the owner that a refusal names, or, as long as there is one
// to avoid, to any but that.
func (s *Sessions) query(rng *rand.Rand, session, query, first int, tally bool, to *int, avoid *atomic.Int64) {
	end := time.Now().Add(2 * clientWait) // for all tries; each grants its own time
	if avoid != nil {
		end = end.Add(sessionMost)
	}
	for try := range triesMost {
		a := s.ask(session, query, first+try, tally, *to)
		i := s.note(a)
		if a.Status == 200 || time.Now().After(end) || tally && a.Status != 503 && a.Status != 409 && !a.Unsent {
			return // served, out of patience, or it may have run
		}
		wait := 20 * time.Millisecond
		switch {
		case avoid != nil && avoid.Load() >= 0:
			wait += time.Duration(rng.Int64N(int64(400 * time.Millisecond)))
			*to = s.but(rng, int(avoid.Load()))
		case i >= 0:
			*to = i
		default:
			wait += time.Duration(rng.Int64N(int64(150 * time.Millisecond)))
			if a.Status == 0 || try%4 == 3 {
				*to = rng.IntN(len(s.Addresses))
			}
		}
		if !s.sleep(wait) {
			return
		}
	}
}

func (s *Sessions) ask(session, query, try int, tally bool, to int) Asked {
	a := Asked{Session: session, Query: query, Try: try, Tally: tally, To: to, At: time.Now(), Count: -1}
	class, grants := "search", or(s.Wait, clientWait)
	if tally {
		class, grants = "tally", clientWait
	}
	body := fmt.Sprintf(`{"buckets":[{"bucket":%d,"part":1}],"body":"%d %d %d %v"}`, session%s.Shards, session, query, try, tally)
	r, err := http.NewRequest("POST", "http://"+s.Addresses[to]+"/"+class, strings.NewReader(body))
	if err != nil {
		panic(err) // of constant form
	}
	r.GetBody = nil // it is never sent again by the transport
	r.Header.Set("X-Request-ID", fmt.Sprintf("p%d-%d-%d-%d", to, session, query, try))
	r.Header.Set("X-Timeout-Ms", strconv.FormatInt(grants.Milliseconds(), 10))
	r.Header.Set(sessionHeader, fmt.Sprint("s", session))
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { a.Kept = c.Reused || c.WasIdle }}))
	resp, err := s.http.Do(r)
	a.End = time.Now()
	if err != nil {
		var op *net.OpError
		a.Unsent = errors.As(err, &op) && op.Op == "dial"
		a.Crossed, a.Err = a.Kept && closedBy(err), err.Error()
		return a
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a.End = time.Now()
	if err != nil {
		a.Err = err.Error()
		return a
	}
	a.Status, a.Owner = resp.StatusCode, resp.Header.Get(ownerHeader)
	if i := bytes.Index(text, []byte("v-")); resp.StatusCode == 200 && bytes.Contains(text, []byte(`"finished":true`)) && i >= 0 {
		if n, err := fmt.Sscanf(string(text[i:]), "v-%d.", &a.Count); n != 1 || err != nil {
			a.Count = -1
		}
	}
	return a
}

// tallies are what the stand-ins keep of all sessions together: as one store would that has them all.
type tallies struct {
	mu    sync.Mutex
	count map[int]int
	runs  []Run
}

// run plays a part of a session's query; false if it is of none.
func (t *tallies) run(id, machine string, text []byte, at time.Time) (value []byte, ok bool) {
	var r Run
	process, session, query, try := 0, 0, 0, 0
	if n, _ := fmt.Sscanf(id, "p%d-%d-%d-%d.", &process, &session, &query, &try); n != 4 {
		return nil, false
	}
	fmt.Sscanf(string(text), "%d %d %d %t", &r.Session, &r.Query, &r.Try, &r.Tally)
	r.At, r.Process, r.Machine = at, process, machine
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Tally {
		t.count[r.Session]++
	}
	r.Count = t.count[r.Session]
	t.runs = append(t.runs, r)
	return []byte(fmt.Sprintf("v-%d.", r.Count)), true
}
