package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"birchcart/internal/standin"
)

// Figures of the case stale-grant.
const (
	diesAfter  = time.Second      // after the tools saw its grant
	deadFor    = 6 * time.Second  // BRIEF: readers die and come back cold after 5.5 to 25 s
	prepares   = 35 * time.Second // from the work's begin until the machine is Terminating; `until` is 201 s after the grant
	worksFor   = 35 * time.Second // for_s is 600
	terminates = time.Second      // from Terminating to the process's end
	looksFor   = 90 * time.Second // from the first grant on
)

// grantsFile is what the tools read of the file of grants.
type grantsFile struct {
	Version int  `json:"version"`
	CutOff  bool `json:"cut_off"`
	Grants  []struct {
		Machine     string    `json:"machine"`
		Fence       uint64    `json:"fence"`
		StartBefore time.Time `json:"start_before"`
		Until       time.Time `json:"until"`
	} `json:"grants"`
}

// siteTools takes machines out for work by the grants files, as docs/operators/fleet.md says.
type siteTools struct {
	r *caseRun
	s *fleetSite

	mu     sync.Mutex
	fences map[string]uint64
	down   map[int]string // reader to what keeps it down
	seen   chan int       // readers in the order of their grants
}

// read acts on the grants of one co-ordinator's file.
func (t *siteTools) read(path string) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return
	}
	var f grantsFile
	if err := json.Unmarshal(raw, &f); err != nil || f.Version != 1 || f.CutOff {
		return
	}
	for _, g := range f.Grants {
		i := slices.IndexFunc(t.s.fleet.Replicas, func(rep *standin.Replica) bool { return rep.Name == g.Machine })
		t.mu.Lock()
		newer := i >= 0 && g.Fence > t.fences[g.Machine]
		if newer {
			t.fences[g.Machine] = g.Fence
		}
		t.mu.Unlock()
		if !newer {
			continue
		}
		t.r.note("the tools read a grant: %s, fence %d, start before %s, until %s", g.Machine, g.Fence,
			g.StartBefore.UTC().Format(time.TimeOnly), g.Until.UTC().Format(time.TimeOnly))
		t.seen <- i
		if !time.Now().Before(g.StartBefore) {
			t.r.note("too late for work on %s", g.Machine)
			continue
		}
		t.r.note("the tools begin on %s: what goes before takes %v", g.Machine, prepares)
		go t.workOn(i, g.Until)
	}
}

// workOn is the work on one machine, from its begin on.
func (t *siteTools) workOn(i int, until time.Time) {
	time.Sleep(prepares)
	rep := t.s.fleet.Replicas[i]
	if left := time.Until(until); left < 2*terminates {
		t.r.note("too late for %s to be Terminating in time", rep.Name)
		return
	}
	t.r.note("the tools tell %s to end: Terminating, %.0f s before the grant's until", rep.Name, time.Until(until).Seconds())
	t.s.fleet.Discovery.Set(rep.Name, func(e *standin.Endpoint) { e.Status = "Terminating" })
	time.Sleep(terminates)
	t.end(i, "out for work")
	t.judge()
	time.Sleep(worksFor)
	t.start(i)
}

// end ends a reader's process.
func (t *siteTools) end(i int, why string) {
	t.mu.Lock()
	t.down[i] = why
	t.mu.Unlock()
	rep := t.s.fleet.Replicas[i]
	rep.Crash()
	t.s.fleet.Discovery.Set(rep.Name, func(e *standin.Endpoint) { e.Status = "Gone" })
	t.r.note("%s is down: %s", rep.Name, why)
}

// start starts a reader anew.
func (t *siteTools) start(i int) {
	rep := t.s.fleet.Replicas[i]
	if err := rep.Restart(); err != nil {
		t.r.note("%s can't start: %v", rep.Name, err)
		return
	}
	t.mu.Lock()
	delete(t.down, i)
	t.mu.Unlock()
	t.s.fleet.Discovery.Set(rep.Name, func(e *standin.Endpoint) { e.Status, e.Since = "Ready", time.Now().UnixMilli() })
	t.r.note("%s is up again", rep.Name)
}

// judge looks for sections that machines out for work have left with fewer holders than placement.holders_least.
func (t *siteTools) judge() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for section := range 24 {
		out := slices.DeleteFunc(t.s.fleet.Holders(section), func(i int) bool { return t.down[i] != "out for work" })
		if up := len(t.s.fleet.Holders(section)) - len(out); up < 1 {
			t.r.breaks("section %d has %d holders up, holders_least is 1: readers %v are out for work by two grants at once", section, up, out)
		}
	}
}

// staleGrant: work is asked for at two readers that hold the same sections. The one that is granted first dies by itself and comes
// back while the tools prepare the work on it.
func staleGrant(r *caseRun) error {
	s, err := r.startFleet([]standin.FleetClass{
		{Name: "species-search", Promise: 2.5, GiveUp: 6, Semantics: "repeatable", Need: 0.75, Floor: 0.75},
		{Name: "tally-submit", Promise: 1.5, GiveUp: 5, Semantics: "once", Need: 1, Floor: 1},
	}, map[string]any{
		"work": []any{map[string]any{"names": []string{"r4", "r5"}, "reason": "fan is failing", "for_s": 600, "priority": "urgent"}},
	}, func(int, standin.Asked) standin.Does {
		return standin.Does{After: 200 * time.Millisecond, Value: []byte("v")}
	})
	if err != nil {
		return err
	}
	t := &siteTools{r: r, s: s, fences: map[string]uint64{}, down: map[int]string{}, seen: make(chan int, 100)}
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() {
		for {
			for _, path := range s.grants {
				t.read(path)
			}
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
			}
		}
	})
	outcomes := map[string]int{}
	for client := range 3 {
		others.Go(func() {
			for n := 0; ; n++ {
				id := fmt.Sprintf("c%d-%d", client, n)
				outcome, took := send(searchSection(s, client, id, 4), 7*time.Second)
				r.note("query %s about section 4: %s after %v", id, outcome, took.Round(time.Millisecond))
				t.mu.Lock()
				outcomes[fmt.Sprintf("%d of its 2 readers down: %s", len(t.down), outcome)]++
				t.mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
			}
		})
	}
	var first int
	select {
	case first = <-t.seen:
	case <-time.After(20 * time.Second):
		close(stop)
		others.Wait()
		return fmt.Errorf("no grant after 20 s")
	}
	granted := time.Now()
	if r.trouble {
		time.Sleep(diesAfter)
		t.end(first, "it died by itself")
		time.Sleep(deadFor)
		t.start(first)
	}
	time.Sleep(time.Until(granted.Add(looksFor)))
	close(stop)
	others.Wait()
	for _, key := range sorted(outcomes) {
		r.note("queries about section 4, %s: %d", key, outcomes[key])
	}
	return nil
}

func sorted(m map[string]int) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, strings.Compare)
	return keys
}

// searchSection is a query about one section.
func searchSection(s *fleetSite, to int, id string, section int) *http.Request {
	return s.sessionQuery(to, "species-search", id, id, section, 6*time.Second, "c41e77d0")
}
