package harness

import (
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"birchcart/internal/fleet/takeout"
)

// pinnedSchedule is a swap of all co-ordinators one after the other under the faults of a seeded schedule, with sessions.
func pinnedSchedule(seed uint64, processes, sessions int) *Schedule {
	s := NewSchedule(seed, processes)
	s.Terms.Only, s.Terms.Sessions = takeout.Coordinator, sessions
	return s
}

func playPinned(t *testing.T, seed uint64, processes, sessions int, limit time.Duration) *Result {
	t.Helper()
	r := play(t, pinnedSchedule(seed, processes, sessions), Options{Also: true, Limit: limit})
	if v := r.Pinned; v != nil {
		t.Logf("seed %d: %d sessions, %d queries in %d tries, %d served, %d failed, %d without an answer, refused %v; %d moved, %d times at most; %d slots of %d at most",
			seed, v.Sessions, v.Queries, v.Tries, v.Served, v.Failed, v.Lost, v.Refused, v.Moved, v.MovesMost, v.SlotsMost, sessionSlots)
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
	room := make(chan struct{}, 2)
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, seed := range all {
		wg.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			if r := playPinned(t, seed, 10, 2000, 2*runMost); r.Failed() {
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
		"never ran":     {func(h *History) { h.Runs = h.Runs[1:] }, "S3: query 0 of session 0 was served and never ran"},
		"refused, ran":  {func(h *History) { h.Runs = append(h.Runs, Run{At: at(25), Query: 1, Tally: true}) }, "refused by process 0 and ran"},
		"stale answer":  {func(h *History) { h.Asked[3].Count = 1 }, "S1: no one counter explains"},
		"lost answer":   {func(h *History) { h.Asked[2].Count = 1 }, "S1: no one counter explains"},
		"no answer":     {func(h *History) { h.Asked[3].Status = 0 }, "S4: query 2 of session 0 had no answer"},
		"crossed": {func(h *History) {
			h.Asked[1] = Asked{Query: 1, Crossed: true, Tally: true, At: at(20), End: at(30), Count: -1}
		}, ""},
		"crossed, ran":  {func(h *History) { h.Asked[3].Status, h.Asked[3].Crossed = 0, true }, "S4: query 2 of session 0 had no answer"},
		"late":          {func(h *History) { h.Asked[5].End = at(5600) }, "S4: query 4 of session 0 was answered after"},
		"late, excused": {func(h *History) { h.Asked[5].End = at(5600); h.Stopped[1] = []Span{{at(2900), at(9000), "stopped"}} }, ""},
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
			if got := strings.Join(v.Broken, "\n"); c.says == "" && got != "" || !strings.Contains(got, c.says) {
				t.Errorf("found %q, wanted %q", got, c.says)
			}
		})
	}
}
