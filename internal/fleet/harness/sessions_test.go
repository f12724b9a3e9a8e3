package harness

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// pinnedSchedule is a swap of all co-ordinators one after the other under the faults of a seeded schedule, with sessions.
func pinnedSchedule(seed uint64, processes, sessions int) *Schedule {
	s := NewSchedule(seed, processes)
	s.Terms.Only, s.Terms.Sessions = maintenance.Coordinator, sessions
	if s.Case == "herd" && sessions >= 2000 {
		s.Terms.Sessions = herdMost
	}
	return s
}

func playPinned(t *testing.T, seed uint64, processes, sessions int, limit time.Duration) *Result {
	t.Helper()
	r := play(t, pinnedSchedule(seed, processes, sessions), Options{Also: true, Limit: limit})
	if v := r.Pinned; v != nil {
		t.Logf("seed %d: %d sessions, %d queries in %d tries, %d served, %d failed, %d without an answer (%d met a close), refused %v; %d moved, %d times at most; %d slots of %d at most; %d safe runs late by a link, %d asked beside another, in a stopped one's hand %v, of them %d of sessions that ran elsewhere",
			seed, v.Sessions, v.Queries, v.Tries, v.Served, v.Failed, v.Lost, v.Crossed, v.Refused, v.Moved, v.MovesMost, v.SlotsMost, sessionSlots, v.LateSafe, v.Beside, v.InHand, v.HandTaken)
		if v.Served < v.Queries/2 {
			t.Errorf("seed %d: %d of %d queries were served", seed, v.Served, v.Queries)
		}
	}
	return r
}

// The short form, which CI runs: sessions at five co-ordinators that are swapped, one of them stopped meanwhile.
func TestPinnedShort(t *testing.T) {
	if testing.Short() {
		t.Skip("processes for over a minute")
	}
	if r := playPinned(t, 4, 5, 100, shortRun); r.Failed() {
		t.Errorf("replay with: make pinned SEED=4\n%s", r.Report())
	}
}

// The long form (make pinned): ten co-ordinators, 2,000 sessions, a swap of all under the faults of each seed.
func TestPinned(t *testing.T) {
	text := os.Getenv("BIRCHCART_PINNED")
	if text == "" {
		t.Skip("make pinned runs it")
	}
	all, err := seeds(text)
	if err != nil {
		t.Fatal(err)
	}
	processes, sessions, room := 10, 2000, make(chan struct{}, 2)
	if os.Getenv("BIRCHCART_PINNED_SMALL") != "" {
		processes, sessions, room = 6, 300, make(chan struct{}, 1)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, seed := range all {
		wg.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			if r := playPinned(t, seed, processes, sessions, 2*runMost); r.Failed() {
				t.Errorf("replay with: make pinned SEED=%d\n%s", seed, r.Report())
			}
		})
	}
}

// Each rule of sessions is found broken in a history that breaks it alone, and none in one that keeps them.
func TestSessionHistories(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	sound := func() *History {
		h := &History{Answer: 5 * time.Millisecond}
		h.Down, h.Stopped, h.Ending, h.Disturbed = make([][]Span, 2), make([][]Span, 2), make([][]Span, 2), make([][]Span, 2)
		h.Asked = []Asked{
			{Query: 0, Tally: true, At: at(0), End: at(10), Status: 200, Count: 1},
			{Query: 1, Tally: true, At: at(20), End: at(30), Status: 503, Count: -1, Owner: "n1"},
			{Query: 1, Try: 1, Tally: true, To: 1, At: at(40), End: at(50), Status: 200, Count: 2},
			{Query: 2, To: 1, At: at(60), End: at(70), Status: 200, Count: 2},
			{Query: 3, Tally: true, To: 1, At: at(80), End: at(90), Status: 504, Count: -1},
			{Query: 4, To: 1, At: at(3000), End: at(3010), Status: 200, Count: 3},
		}
		h.Runs = []Run{
			{At: at(5), Tally: true, Count: 1}, {At: at(45), Process: 1, Query: 1, Try: 1, Tally: true, Count: 2}, {At: at(65), Process: 1, Query: 2, Count: 2},
			{At: at(85), Process: 1, Query: 3, Tally: true, Count: 3}, {At: at(3005), Process: 1, Query: 4, Count: 3},
		}
		return h
	}
	for name, c := range map[string]struct {
		spoil func(h *History)
		says  string
	}{
		"sound":         {func(*History) {}, ""},
		"twice":         {func(h *History) { h.Runs = append(h.Runs, Run{At: at(3006), Query: 4}, Run{At: at(3007), Query: 4}) }, ""},
		"a tally twice": {func(h *History) { h.Runs = append(h.Runs, Run{At: at(47), Process: 1, Query: 1, Try: 2, Tally: true}) }, "S3: tally 1 of session 0 ran twice"},
		"out of order":  {func(h *History) { h.Runs = append(h.Runs, Run{At: at(68), Query: 1, Try: 5}) }, "S3: query 1 of session 0 ran"},
		"out of order, held by a link": {func(h *History) {
			h.Relayed, h.Runs = true, append(h.Runs, Run{At: at(3006), Process: 1, Query: 2, Count: 3})
		}, ""},
		"a tally held by a link": {func(h *History) {
			h.Relayed, h.Runs = true, append(h.Runs, Run{At: at(3006), Process: 1, Query: 3, Tally: true, Count: 4})
		}, "S3: query 3 of session 0 ran by process 1 after query 4"},
		"never ran":    {func(h *History) { h.Runs = h.Runs[1:] }, "S3: query 0 of session 0 was served and never ran"},
		"refused, ran": {func(h *History) { h.Runs = append(h.Runs, Run{At: at(25), Query: 1, Tally: true}) }, "refused by process 0 and ran"},
		"stale answer": {func(h *History) { h.Asked[3].Count = 1 }, "S1: no one counter explains"},
		"lost answer":  {func(h *History) { h.Asked[2].Count = 1 }, "S1: no one counter explains"},
		"no answer":    {func(h *History) { h.Asked[3].Status = 0 }, "S4: query 2 of session 0 had no answer"},
		"crossed": {func(h *History) {
			h.Asked[1] = Asked{Query: 1, Crossed: true, Tally: true, At: at(20), End: at(30), Count: -1}
		}, ""},
		"crossed, ran":  {func(h *History) { h.Asked[3].Status, h.Asked[3].Crossed = 0, true }, "S4: query 2 of session 0 had no answer"},
		"late":          {func(h *History) { h.Asked[5].End = at(5600) }, "S4: query 4 of session 0 was answered after"},
		"late, excused": {func(h *History) { h.Asked[5].End = at(5600); h.Stopped[1] = []Span{{at(2900), at(9000), "stopped"}} }, ""},
		"beside, out of order": {func(h *History) {
			h.Asked = append(h.Asked, Asked{Query: 5, At: at(4000), End: at(4100), Status: 200, Count: 3}, Asked{Query: 6, To: 1, At: at(4010), End: at(4060), Status: 200, Count: 3})
			h.Runs = append(h.Runs, Run{At: at(4020), Process: 1, Query: 6, Count: 3}, Run{At: at(4080), Query: 5, Count: 3})
		}, ""},
		"an answer in hand": {func(h *History) {
			h.Asked = append(h.Asked, Asked{Query: 5, At: at(4000), End: at(13000), Status: 200, Count: 3}, Asked{Query: 6, To: 1, At: at(10010), End: at(10100), Status: 200, Count: 3})
			h.Runs = append(h.Runs, Run{At: at(4020), Query: 5, Count: 3}, Run{At: at(10050), Process: 1, Query: 6, Count: 3})
			h.Stopped[0] = []Span{{at(4030), at(12900).Add(upTime), "stopped"}}
		}, "S1: process 0 gave its answer of query 5 of session 0 2.95s after process 1"},
		"an answer in hand, refused": {func(h *History) {
			h.Asked = append(h.Asked, Asked{Query: 5, At: at(4000), End: at(13000), Status: 503, Count: -1}, Asked{Query: 6, To: 1, At: at(10010), End: at(10100), Status: 200, Count: 3})
			h.Runs = append(h.Runs, Run{At: at(4020), Query: 5, Count: 3}, Run{At: at(10050), Process: 1, Query: 6, Count: 3})
			h.Stopped[0] = []Span{{at(4030), at(12900).Add(upTime), "stopped"}}
		}, ""},
		"over the slots": {func(h *History) {
			for i := range sessionSlots + 1 {
				h.Runs = append(h.Runs, Run{At: at(3100), Session: i + 1})
			}
		}, "S2: 121 parts"},
	} {
		t.Run(name, func(t *testing.T) {
			h, v := sound(), &Verdict{}
			c.spoil(h)
			h.checkSessions(v)
			if hand := strings.HasPrefix(name, "an answer in hand"); hand != (v.Pinned.HandTaken == 1) || hand != (len(v.Pinned.InHand) == 1) {
				t.Errorf("in hand %v, of sessions that ran elsewhere %d", v.Pinned.InHand, v.Pinned.HandTaken)
			}
			if got := strings.Join(v.Broken, "\n"); c.says == "" && got != "" || !strings.Contains(got, c.says) {
				t.Errorf("found %q, wanted %q", got, c.says)
			}
		})
	}
}

// Each kind of schedule of sessions is made up alike each time, is read again as it was written, and waits for moves.
func TestSessionCases(t *testing.T) {
	for i, name := range SessionCases {
		s := pinnedSchedule(sessionSeeds+uint64(i), 10, 100)
		again, err := DecodeSchedule(s.Encode())
		if err != nil || again.Encode() != s.Encode() || pinnedSchedule(s.Seed, 10, 100).Encode() != s.Encode() {
			t.Errorf("%s: %v, %s", name, err, s.Encode())
		}
		if s.Case != name || !strings.Contains(s.Encode(), `"after":"`) || s.Terms.Sessions != 100 {
			t.Errorf("%s: %s", name, s.Encode())
		}
	}
}

// A kept connection that its server closes as a query comes ends in one of the ways that are told apart from an answer that is lost.
func TestCrossed(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() { // one answer a connection, which is closed then without a word of it
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				nc.Read(make([]byte, 4096))
				io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				time.Sleep(time.Duration(rand.Int64N(int64(time.Millisecond))))
			}()
		}
	}()
	s := &Sessions{Addresses: []string{ln.Addr().String()}, Shards: 1}
	s.http = &http.Client{Timeout: clientWait, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer s.http.CloseIdleConnections()
	seen := map[string]int{}
	for i := range 1000 {
		a := s.ask(0, i, 0, true, 0)
		switch {
		case a.Status == 0 && !a.Crossed:
			t.Errorf("query %d: %s, on a kept connection: %v", i, a.Err, a.Kept)
		case a.Status == 0:
			seen[a.Err[strings.LastIndex(a.Err, ": ")+2:]]++
		}
		time.Sleep(time.Duration(rand.Int64N(int64(time.Millisecond))))
	}
	if t.Log(seen); len(seen) == 0 {
		t.Error("no query met the end of its connection")
	}
}

// A kept connection that its server has closed is seen as closed, and one that is open as open, however late the look comes.
func TestClosedMeanwhile(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	nc, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	other, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if closedMeanwhile(nc) {
		t.Error("an open connection is taken for closed")
	}
	other.Close()
	for end := time.Now().Add(5 * time.Second); !closedMeanwhile(nc); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a connection that was closed is taken for open")
		}
	}
}
