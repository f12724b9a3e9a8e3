package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	costRate  = 1000            // queries/s
	costSlice = 2 * time.Second // with and without sessions in turn: what else the machine does meets both
	costRest  = 5 * time.Second // longer than the timers of queries that are over live
	costConns = 256             // few of them are open at once, but while sessions are opened
	costKept  = 1000            // sessions that the stream asks in turn
)

// cpu is the CPU of a process so far, by its clock in the kernel: /proc has it in hundredths of a second only.
func (s *site) cpu(i int) time.Duration {
	s.Helper()
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^s.procs[i].Process.Pid<<3|2), &t); err != nil {
		s.Fatal(err)
	}
	return time.Duration(t.Nano())
}

// asker keeps connections to one co-ordinator.
type asker struct {
	*site
	to    string
	conns chan *bufio.ReadWriter
	no    atomic.Int64
	mu    sync.Mutex
	fates map[int]int // answers by status, since they were last told
}

func newAsker(s *site, to int) *asker {
	a := &asker{site: s, to: s.serve[to], conns: make(chan *bufio.ReadWriter, costConns), fates: map[int]int{}}
	for range costConns {
		a.conns <- nil
	}
	return a
}

// one asks for that many shards, of a session unless it is "", and gives the status, 0 without an answer.
func (a *asker) one(shards int, session string) (status int) {
	c := <-a.conns
	defer func() {
		if status == 0 {
			c = nil // another one the next time
		}
		a.conns <- c
		a.mu.Lock()
		a.fates[status]++
		a.mu.Unlock()
	}()
	if c == nil {
		nc, err := net.Dial("tcp", a.to)
		if err != nil {
			return 0
		}
		a.Cleanup(func() { nc.Close() })
		c = bufio.NewReadWriter(bufio.NewReader(nc), bufio.NewWriter(nc))
	}
	n := a.no.Add(1)
	var body strings.Builder
	for i := range shards {
		fmt.Fprintf(&body, `,{"bucket":%d,"part":%g}`, (int(n)+i)%6, 1/float64(shards))
	}
	text := `{"buckets":[` + body.String()[1:] + `],"body":"00"}`
	fmt.Fprintf(c, "POST /search HTTP/1.1\r\nHost: n\r\nX-Request-ID: c%d\r\nX-Timeout-Ms: 2000\r\n", n)
	if session != "" {
		fmt.Fprintf(c, "X-Session: %s\r\n", session)
	}
	fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", len(text), text)
	if c.Flush() != nil {
		return 0
	}
	r, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	if _, err := io.Copy(io.Discard, r.Body); err != nil || r.Close {
		return 0
	}
	return r.StatusCode
}

// told gives the answers by status, and forgets them.
func (a *asker) told() map[int]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := a.fates
	a.fates = map[int]int{}
	return f
}

// slice asks at costRate for a slice of time, whatever becomes of the queries before, and counts those served.
func (a *asker) slice(shards int, session func(i int) string) (sent, served int) {
	var wg sync.WaitGroup
	var ok atomic.Int64
	at := time.Now()
	for end := at.Add(costSlice); at.Before(end); sent++ {
		at = at.Add(time.Second / costRate)
		time.Sleep(time.Until(at))
		wg.Go(func() {
			if a.one(shards, session(sent)) == 200 {
				ok.Add(1)
			}
		})
	}
	wg.Wait()
	return sent, int(ok.Load())
}

// open has these sessions served once each.
func (a *asker) open(from, to int) {
	a.Helper()
	a.ask(from, to, func(i int) string { return "s" + strconv.Itoa(i) })
}

// ask asks until each query is served, many at a time.
func (a *asker) ask(from, to int, session func(i int) string) {
	a.Helper()
	var next, failed atomic.Int64
	next.Store(int64(from))
	var wg sync.WaitGroup
	for range costConns {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < to && failed.Load() < 10_000; i = int(next.Add(1)) - 1 {
				for a.one(1, session(i)) != 200 && failed.Add(1) < 10_000 {
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	if n := failed.Load(); n >= 10_000 {
		a.Fatalf("queries are not served: by status %v", a.told())
	}
}

// What pinned sessions cost one process between others of a real fleet: its CPU for a query, with a session and without, in
// turn, and its memory with 0, 10,000 and 100,000 sessions open. `make session-cost`; rounds by BIRCHCART_SESSION_COST.
func TestSessionCost(t *testing.T) {
	rounds, _ := strconv.Atoi(os.Getenv("BIRCHCART_SESSION_COST"))
	if rounds <= 0 {
		t.Skip("BIRCHCART_SESSION_COST is not set")
	}
	s := newSite(t, 3, 0, 1, 2)
	s.extra["sessions"] = map[string]any{"header": "X-Session", "classes": []string{"search"}, "slots_per_replica": 3000, "sessions_most": 250_000, "idle_s": 3600, "slots": 16}
	s.extra["lease_ms"] = 20_000 // a busy machine's late polls are not what is measured
	if os.Getenv(measureVariable) == "" {
		t.Setenv(measureVariable, s.dir)
	}
	s.startAll()
	s.until("a session is served", func() bool { status, _, _ := s.pinned(0, "a"); return status == 200 })
	a := newAsker(s, 0)
	a.open(0, costKept)
	leads := strings.Contains(s.logs[0].String(), "leads the raft group")
	for _, shards := range []int{1, 4} {
		a.compare(rounds, shards, leads)
	}
	if os.Getenv("BIRCHCART_MEASURE_PROFILE") != "" {
		s.procs[0].Process.Signal(syscall.SIGTERM)
		s.procs[0].Wait()
		t.Skip("the profile is taken; no memory")
	}
	// What so many queries leave behind is not the sessions'.
	a.ask(0, 20_000, func(int) string { return "" })
	time.Sleep(costRest)
	none, other := s.memory(0), s.memory(1)
	open := costKept
	for _, many := range []int{10_000, 100_000} {
		began := time.Now()
		a.open(open, many)
		t.Logf("%d sessions opened in %v", many-open, time.Since(began).Round(time.Millisecond))
		open = many
		before, at := s.cpu(0), time.Now()
		time.Sleep(costRest)
		idle := float64(s.cpu(0)-before) / float64(time.Since(at))
		m, o, more := s.memory(0), s.memory(1), many-costKept
		t.Logf("%d sessions: owner %.1f MB as it was, %.1f MB resident and %.1f MB heap after a collection, so %d and %d bytes a session; one that owns none %d and %d; idle %.2f %% of a core",
			many, mb(m.asItWas), mb(m.resident), mb(m.heap), (m.resident-none.resident)/more, (m.heap-none.heap)/more,
			(o.resident-other.resident)/more, (o.heap-other.heap)/more, 100*idle)
		if many == 100_000 && (m.heap-none.heap)/more >= 400 {
			t.Errorf("%d bytes of heap a session, 400 at most", (m.heap-none.heap)/more)
		}
	}
}

func mb(bytes int) float64 { return float64(bytes) / 1e6 }

// compare has the stream with and without sessions, which of them first in turn.
func (a *asker) compare(rounds, shards int, leads bool) {
	a.Helper()
	var each [2][]float64 // µs of CPU for a query, without and with
	var share []float64
	var ticks [2]time.Duration
	var served [2]int
	of := [2]func(int) string{func(int) string { return "" }, func(i int) string { return "s" + strconv.Itoa(i%costKept) }}
	for round := range rounds {
		var took [2]float64
		whole := true
		for turn := range 2 {
			arm := (turn + round) % 2
			a.told()
			cpu, tick := a.cpu(0), a.ticks(0)
			sent, ok := a.slice(shards, of[arm])
			used := a.cpu(0) - cpu
			tick = a.ticks(0) - tick
			ticks[arm], served[arm] = ticks[arm]+tick, served[arm]+ok
			took[arm] = float64(used.Microseconds()) / float64(max(1, ok))
			if ok < sent*99/100 {
				a.Logf("round %d, with sessions %v, does not count: by status %v", round, arm == 1, a.told())
				whole = false
			}
		}
		if !whole {
			continue
		}
		for arm := range took {
			each[arm] = append(each[arm], took[arm])
		}
		share = append(share, took[1]/took[0]-1)
	}
	if rounds = len(share); rounds == 0 {
		a.Error("no round was served whole")
		return
	}
	for arm := range each {
		slices.Sort(each[arm])
	}
	slices.Sort(share)
	mid := func(v []float64) float64 { return v[len(v)/2] }
	a.Logf("%d shards, %d rounds, the co-ordinator leads: %v; µs of CPU a query, median (least, most): without %.1f (%.1f, %.1f), with %.1f (%.1f, %.1f); the pair's difference %+.1f %% (%+.1f, quarter %+.1f, %+.1f, %+.1f); by utime and stime over all %+.1f %%, %d and %d served",
		shards, rounds, leads, mid(each[0]), each[0][0], each[0][rounds-1], mid(each[1]), each[1][0], each[1][rounds-1],
		100*mid(share), 100*share[0], 100*share[rounds/4], 100*share[rounds*3/4], 100*share[rounds-1],
		100*(ticks[1].Seconds()/float64(max(1, served[1]))/(ticks[0].Seconds()/float64(max(1, served[0])))-1), served[0], served[1])
}
