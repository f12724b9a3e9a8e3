package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"birchcart/internal/standin"
)

// line is a queue in front of each replica, which answers one part after the other.
type line struct {
	mu   sync.Mutex
	free map[int]time.Time
}

func (l *line) wait(at int, each time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.free[at].Before(now) {
		l.free[at] = now
	}
	l.free[at] = l.free[at].Add(each)
	return l.free[at].Sub(now)
}

// tally is what came of queries.
type tally struct{ sent, served, refused int }

// laned sends queries of one part to a co-ordinator at an even rate until ctx ends, and waits for all answers. Those sent before
// counts is closed are not in the tally.
func (s *site) laned(ctx context.Context, to int, mark string, rate float64, counts <-chan struct{}) (sum tally) {
	client := &http.Client{Timeout: 4 * time.Second}
	var wg sync.WaitGroup
	var mu sync.Mutex
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			wg.Wait()
			return sum
		}
		no, counted := asked.Add(1), false
		select {
		case <-counts:
			counted = true
		default:
		}
		wg.Go(func() {
			r, _ := http.NewRequest("POST", "http://"+s.serve[to]+"/search", strings.NewReader(fmt.Sprintf(`{"buckets":[{"bucket":%d,"part":1.0}],"body":"00"}`, no%6)))
			r.Header.Set("X-Request-ID", fmt.Sprint("s", no))
			r.Header.Set("X-Timeout-Ms", "2000")
			if mark != "" {
				r.Header.Set("X-Account", mark)
			}
			status := 0
			if resp, err := client.Do(r); err == nil {
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				status = resp.StatusCode
			}
			if !counted {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			sum.sent++
			switch status {
			case 200:
				sum.served++
			case 503:
				sum.refused++
			}
		})
	}
}

// A flood of the standard lane, most of it at one co-ordinator, presses the fleet: all shed that lane, and who is premium is served
// within its guarantee. One whose fleet is gone goes on by itself, and sheds no more once its own queries are in time.
func TestAStormByLanes(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3, 0, 1, 2)
	q := &line{free: map[int]time.Time{}}
	for i := range s.fleet.Replicas { // 120 parts a second in all
		s.fleet.SetScript(i, func(standin.Asked) standin.Does {
			return standin.Does{After: q.wait(i, 100*time.Millisecond), Value: []byte("v")}
		})
	}
	s.extra["lanes"] = map[string]any{
		"header": "X-Account", "lanes": []any{map[string]any{"name": "gold"}, map[string]any{"name": "rest"}},
		"accounts": []any{map[string]any{"name": "a", "lane": "gold", "marks": []string{"k1"}, "guarantee": 0.4}},
	}
	s.startAll()
	for i := range s.serve {
		s.until("lanes are agreed on", s.says(i, `msg="lanes are in force"`))
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	counts := make(chan struct{})
	premium, standard := make([]tally, 3), make([]tally, 3)
	var flood sync.WaitGroup
	for i, rate := range []float64{150, 45, 45} {
		flood.Go(func() { premium[i] = s.laned(ctx, i, "k1", 4, counts) })
		flood.Go(func() { standard[i] = s.laned(ctx, i, "", rate, counts) })
	}
	for i := range s.serve {
		s.until("all shed", s.says(i, "the fleet sheds load by lanes"))
	}
	time.Sleep(8 * time.Second)
	close(counts)
	time.Sleep(6 * time.Second)
	stop()
	flood.Wait()
	t.Logf("2 x: premium %v, standard %v", premium, standard)
	sum := func(of []tally) (x tally) {
		for _, o := range of {
			x.sent, x.served, x.refused = x.sent+o.sent, x.served+o.served, x.refused+o.refused
		}
		return x
	}
	p, o := sum(premium), sum(standard)
	if p.served < p.sent*85/100 || o.refused < o.sent/6 || o.served < o.sent/10 {
		t.Errorf("premium %+v, standard %+v", p, o)
	}
	for _, i := range []int{1, 2} {
		s.procs[i].Process.Kill()
		s.procs[i].Wait()
	}
	s.until("n0 knows that it hears nobody", s.says(0, "fleet_known=false"))
	s.until("n0 serves what it is asked", func() bool {
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		var both sync.WaitGroup
		var p, o tally
		both.Go(func() { p = s.laned(ctx, 0, "k1", 10, counts) })
		both.Go(func() { o = s.laned(ctx, 0, "", 20, counts) })
		both.Wait()
		return p.sent >= 5 && p.served == p.sent && o.sent >= 10 && o.served == o.sent
	})
	for i, l := range s.logs {
		if text := l.String(); strings.Contains(text, "does not hold") || strings.Contains(text, "panic") {
			t.Errorf("n%d:\n%s", i, text)
		}
	}
}
