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
	costRate        = 1000            // queries/s
	costSlice       = 2 * time.Second // slices with and without sessions alternate, so that other load on the machine affects both
	costSettleTime  = 5 * time.Second // longer than the lifetime of the timers of finished queries
	costConnections = 256             // most are in use only while sessions are opened
	costSessions    = 1000            // sessions that the query stream uses in turn
)

// cpu returns the CPU time that a process has used, from its kernel clock: /proc has a resolution of only 10 ms.
func (s *site) cpu(i int) time.Duration {
	s.Helper()
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^s.procs[i].Process.Pid<<3|2), &t); err != nil {
		s.Fatal(err)
	}
	return time.Duration(t.Nano())
}

// loadClient sends queries to one co-ordinator over persistent connections.
type loadClient struct {
	*site
	to           string
	conns        chan *bufio.ReadWriter
	lastNumber   atomic.Int64
	mu           sync.Mutex
	statusCounts map[int]int // answers by status since the last call of takeStatusCounts
}

// newLoadClient returns a client of one co-ordinator.
func newLoadClient(s *site, to int) *loadClient {
	a := &loadClient{site: s, to: s.serve[to], conns: make(chan *bufio.ReadWriter, costConnections), statusCounts: map[int]int{}}
	for range costConnections {
		a.conns <- nil
	}
	return a
}

// query sends a query for that many shards, as part of a session unless it is "". It returns the status, or 0 without an
// answer.
func (a *loadClient) query(shards int, session string) (status int) {
	c := <-a.conns
	defer func() {
		if status == 0 {
			c = nil // the next query opens a new connection
		}
		a.conns <- c
		a.mu.Lock()
		a.statusCounts[status]++
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
	n := a.lastNumber.Add(1)
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

// takeStatusCounts returns the answers by status and resets them.
func (a *loadClient) takeStatusCounts() map[int]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := a.statusCounts
	a.statusCounts = map[int]int{}
	return f
}

// sendSlice sends queries at costRate for costSlice, without waiting for earlier answers, and counts those served.
func (a *loadClient) sendSlice(shards int, session func(i int) string) (sent, served int) {
	var wg sync.WaitGroup
	var ok atomic.Int64
	at := time.Now()
	for end := at.Add(costSlice); at.Before(end); sent++ {
		at = at.Add(time.Second / costRate)
		time.Sleep(time.Until(at))
		wg.Go(func() {
			if a.query(shards, session(sent)) == 200 {
				ok.Add(1)
			}
		})
	}
	wg.Wait()
	return sent, int(ok.Load())
}

// openSessions opens sessions by one served query each.
func (a *loadClient) openSessions(from, to int) {
	a.Helper()
	a.queryUntilServed(from, to, func(i int) string { return "s" + strconv.Itoa(i) })
}

// queryUntilServed sends one query per index, many concurrently, and repeats each until it is served. It gives up after
// 10,000 failures.
func (a *loadClient) queryUntilServed(from, to int, session func(i int) string) {
	a.Helper()
	var next, failed atomic.Int64
	next.Store(int64(from))
	var wg sync.WaitGroup
	for range costConnections {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < to && failed.Load() < 10_000; i = int(next.Add(1)) - 1 {
				for a.query(1, session(i)) != 200 && failed.Add(1) < 10_000 {
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	if n := failed.Load(); n >= 10_000 {
		a.Fatalf("queries are not served: by status %v", a.takeStatusCounts())
	}
}

// Measures the cost of sessions in one process of a fleet: its CPU time per query, alternating with and without a session,
// and its memory with 0, 10,000 and 100,000 open sessions. Run by `make session-cost`; BIRCHCART_SESSION_COST sets the
// number of rounds.
func TestSessionCost(t *testing.T) {
	rounds, _ := strconv.Atoi(os.Getenv("BIRCHCART_SESSION_COST"))
	if rounds <= 0 {
		t.Skip("BIRCHCART_SESSION_COST is not set")
	}
	s := newSite(t, 3, 0, 1, 2)
	s.extraSettings["sessions"] = map[string]any{"header": "X-Session", "classes": []string{"search"}, "slots_per_replica": 3000, "sessions_most": 250_000, "idle_s": 3600, "slots": 16}
	s.extraSettings["lease_ms"] = 20_000 // long, so that late polls on a busy machine do not affect the measurement
	if os.Getenv(measureVariable) == "" {
		t.Setenv(measureVariable, s.dir)
	}
	s.startAll()
	s.waitFor("a session is served", func() bool { status, _, _ := s.querySession(0, "a"); return status == 200 })
	a := newLoadClient(s, 0)
	a.openSessions(0, costSessions)
	leads := strings.Contains(s.logs[0].String(), "leads the raft group")
	for _, shards := range []int{1, 4} {
		a.compare(rounds, shards, leads)
	}
	if os.Getenv("BIRCHCART_MEASURE_PROFILE") != "" {
		s.procs[0].Process.Signal(syscall.SIGTERM)
		s.procs[0].Wait()
		t.Skip("profile taken; memory is not measured")
	}
	// Memory that remains after many queries must not be attributed to the sessions.
	a.queryUntilServed(0, 20_000, func(int) string { return "" })
	time.Sleep(costSettleTime)
	ownerBase, otherBase := s.memory(0), s.memory(1)
	opened := costSessions
	for _, many := range []int{10_000, 100_000} {
		began := time.Now()
		a.openSessions(opened, many)
		t.Logf("%d sessions opened in %v", many-opened, time.Since(began).Round(time.Millisecond))
		opened = many
		before, at := s.cpu(0), time.Now()
		time.Sleep(costSettleTime)
		idle := float64(s.cpu(0)-before) / float64(time.Since(at))
		ownerNow, otherNow, added := s.memory(0), s.memory(1), many-costSessions
		t.Logf("%d sessions: owner %.1f MB as it was, %.1f MB resident and %.1f MB heap after a collection, so %d and %d bytes a session; one that owns none %d and %d; idle %.2f %% of a core",
			many, megabytes(ownerNow.beforeGC), megabytes(ownerNow.resident), megabytes(ownerNow.heap), (ownerNow.resident-ownerBase.resident)/added, (ownerNow.heap-ownerBase.heap)/added,
			(otherNow.resident-otherBase.resident)/added, (otherNow.heap-otherBase.heap)/added, 100*idle)
		if many == 100_000 && (ownerNow.heap-ownerBase.heap)/added >= 400 {
			t.Errorf("%d bytes of heap a session, 400 at most", (ownerNow.heap-ownerBase.heap)/added)
		}
	}
}

// megabytes converts bytes to units of 1e6 bytes.
func megabytes(bytes int) float64 { return float64(bytes) / 1e6 }

// compare measures the query stream with and without sessions in pairs, and alternates which of the two comes first.
func (a *loadClient) compare(rounds, shards int, leads bool) {
	a.Helper()
	var costs [2][]float64 // µs of CPU per query, without and with sessions
	var share []float64
	var ticks [2]time.Duration
	var served [2]int
	sessionOf := [2]func(int) string{func(int) string { return "" }, func(i int) string { return "s" + strconv.Itoa(i%costSessions) }}
	for round := range rounds {
		var cost [2]float64
		complete := true
		for turn := range 2 {
			arm := (turn + round) % 2
			a.takeStatusCounts()
			cpu, tick := a.cpu(0), a.procCPU(0)
			sent, ok := a.sendSlice(shards, sessionOf[arm])
			used := a.cpu(0) - cpu
			tick = a.procCPU(0) - tick
			ticks[arm], served[arm] = ticks[arm]+tick, served[arm]+ok
			cost[arm] = float64(used.Microseconds()) / float64(max(1, ok))
			if ok < sent*99/100 {
				a.Logf("round %d, with sessions %v, does not count: by status %v", round, arm == 1, a.takeStatusCounts())
				complete = false
			}
		}
		if !complete {
			continue
		}
		for arm := range cost {
			costs[arm] = append(costs[arm], cost[arm])
		}
		share = append(share, cost[1]/cost[0]-1)
	}
	if rounds = len(share); rounds == 0 {
		a.Error("no round was served completely")
		return
	}
	for arm := range costs {
		slices.Sort(costs[arm])
	}
	slices.Sort(share)
	median := func(v []float64) float64 { return v[len(v)/2] }
	a.Logf("%d shards, %d rounds, the co-ordinator leads: %v; µs of CPU a query, median (least, most): without %.1f (%.1f, %.1f), with %.1f (%.1f, %.1f); the pair's difference %+.1f %% (%+.1f, quarter %+.1f, %+.1f, %+.1f); by utime and stime over all %+.1f %%, %d and %d served",
		shards, rounds, leads, median(costs[0]), costs[0][0], costs[0][rounds-1], median(costs[1]), costs[1][0], costs[1][rounds-1],
		100*median(share), 100*share[0], 100*share[rounds/4], 100*share[rounds*3/4], 100*share[rounds-1],
		100*(ticks[1].Seconds()/float64(max(1, served[1]))/(ticks[0].Seconds()/float64(max(1, served[0])))-1), served[0], served[1])
}
