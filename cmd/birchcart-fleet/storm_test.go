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

// replicaQueue models replicas that process one part at a time, each with a queue.
type replicaQueue struct {
	mu     sync.Mutex
	freeAt map[int]time.Time
}

// enqueue adds a part to the queue of a replica and returns the time until it is answered.
func (l *replicaQueue) enqueue(at int, each time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.freeAt[at].Before(now) {
		l.freeAt[at] = now
	}
	l.freeAt[at] = l.freeAt[at].Add(each)
	return l.freeAt[at].Sub(now)
}

// queryCounts counts queries by their outcome.
type queryCounts struct{ sent, served, refused int }

// sendAtRate sends queries of one part to a co-ordinator at a constant rate until ctx is cancelled, and waits for all
// answers. Queries sent before countFrom is closed are not counted.
func (s *site) sendAtRate(ctx context.Context, to int, mark string, rate float64, countFrom <-chan struct{}) (sum queryCounts) {
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
		number, counted := requestCount.Add(1), false
		select {
		case <-countFrom:
			counted = true
		default:
		}
		wg.Go(func() {
			r, _ := http.NewRequest("POST", "http://"+s.serve[to]+"/search", strings.NewReader(fmt.Sprintf(`{"buckets":[{"bucket":%d,"part":1.0}],"body":"00"}`, number%6)))
			r.Header.Set("X-Request-ID", fmt.Sprint("s", number))
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

// A flood of queries of the standard lane, most of it at one co-ordinator, overloads the fleet. All co-ordinators must shed
// that lane, and the premium account must be served within its guarantee. A co-ordinator that has lost the rest of the
// fleet must continue alone, and stop shedding once its own queries are answered in time.
func TestLoadSheddingByLane(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3, 0, 1, 2)
	queue := &replicaQueue{freeAt: map[int]time.Time{}}
	for i := range s.fleet.Replicas { // 120 parts a second in total
		s.fleet.SetScript(i, func(standin.Asked) standin.Does {
			return standin.Does{After: queue.enqueue(i, 100*time.Millisecond), Value: []byte("v")}
		})
	}
	s.extraSettings["lanes"] = map[string]any{
		"header": "X-Account", "lanes": []any{map[string]any{"name": "gold"}, map[string]any{"name": "rest"}},
		"accounts": []any{map[string]any{"name": "a", "lane": "gold", "marks": []string{"k1"}, "guarantee": 0.4}},
	}
	s.startAll()
	for i := range s.serve {
		s.waitFor("lanes are agreed on", s.logContains(i, `msg="lanes are in force"`))
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	countFrom := make(chan struct{})
	premium, standard := make([]queryCounts, 3), make([]queryCounts, 3)
	var flood sync.WaitGroup
	for i, rate := range []float64{150, 45, 45} {
		flood.Go(func() { premium[i] = s.sendAtRate(ctx, i, "k1", 4, countFrom) })
		flood.Go(func() { standard[i] = s.sendAtRate(ctx, i, "", rate, countFrom) })
	}
	for i := range s.serve {
		s.waitFor("all co-ordinators shed load", s.logContains(i, "the fleet sheds load by lanes"))
	}
	time.Sleep(8 * time.Second)
	close(countFrom)
	time.Sleep(6 * time.Second)
	stop()
	flood.Wait()
	t.Logf("at twice the capacity: premium %v, standard %v", premium, standard)
	sum := func(of []queryCounts) (x queryCounts) {
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
	s.waitFor("n0 detects that it has lost the fleet", s.logContains(0, "fleet_known=false"))
	s.waitFor("n0 serves all queries", func() bool {
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		var both sync.WaitGroup
		var p, o queryCounts
		both.Go(func() { p = s.sendAtRate(ctx, 0, "k1", 10, countFrom) })
		both.Go(func() { o = s.sendAtRate(ctx, 0, "", 20, countFrom) })
		both.Wait()
		return p.sent >= 5 && p.served == p.sent && o.sent >= 10 && o.served == o.sent
	})
	for i, l := range s.logs {
		if text := l.String(); strings.Contains(text, "does not hold") || strings.Contains(text, "panic") {
			t.Errorf("n%d:\n%s", i, text)
		}
	}
}
