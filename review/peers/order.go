package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"birchcart/internal/standin"
)

// Figures of rabat-counts.
const (
	tallyWork  = 160 * time.Millisecond // work_ms of tally-submit: 140 to 180 a part
	tallyWait  = 3 * time.Second        // a try is given up after 60 to 100 % of the class's 5 s
	tallyCores = 2                      // of a reader
	cutFor     = 6 * time.Second        // the page: for 6 s a zone is partitioned, or a fifth of the replicas fall silent
	volunteers = 24
	thinkTime  = 1500 * time.Millisecond // between two tallies of a volunteer
)

// cutReaders are two of twelve, which is less than a fifth. Each section has a reader that is not cut off.
var cutReaders = []int{4, 8}

// tallyRun is one part of a tally as a reader ran it.
type tallyRun struct {
	session, query int
	reader         int
	begin, end     time.Duration
}

// sessionOrder: volunteers submit tallies, each in a pinned session and one after the other, while two of twelve readers are cut off for some seconds.
func sessionOrder(r *caseRun) error {
	var mu sync.Mutex
	cores := make([]chan struct{}, 12)
	for i := range cores {
		cores[i] = make(chan struct{}, tallyCores)
	}
	var runs []tallyRun
	last := map[int]int{} // session to the tally that the readers of its section have as the newest
	// A reader works on as many parts as it has cores, in the order in which they came. Neither a cancel nor a time-out drops a part.
	script := func(i int, a standin.Asked) standin.Does {
		done := make(chan struct{})
		var session, query int
		if _, err := fmt.Sscanf(string(a.Text), "tally %d of volunteer %d", &query, &session); err != nil {
			close(done)
			return standin.Does{Until: done, Value: []byte("v")}
		}
		mu.Lock()
		r.note("reader r%d got tally %d of volunteer %d, for %v", i, query, session, a.Wait)
		mu.Unlock()
		go func() {
			cores[i] <- struct{}{}
			begin := time.Since(r.began)
			time.Sleep(tallyWork)
			mu.Lock()
			runs = append(runs, tallyRun{session, query, i, begin, time.Since(r.began)})
			last[session] = query
			mu.Unlock()
			<-cores[i]
			close(done)
		}()
		return standin.Does{Until: done, Value: []byte("tallied")}
	}
	s, err := r.startFleet([]standin.FleetClass{
		{Name: "species-search", Promise: 2.5, GiveUp: 6, Semantics: "repeatable", Need: 0.75, Floor: 0.75},
		{Name: "tally-submit", Promise: 1.5, GiveUp: 5, Semantics: "once", Need: 1, Floor: 1},
	}, map[string]any{"sessions": map[string]any{
		"header": "X-Session", "owner_header": "X-Session-At", "classes": []string{"tally-submit"}, "slots_per_replica": 60,
	}}, script)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	accepted := map[int]int{} // session to the newest tally that was answered as served
	var clients sync.WaitGroup
	for v := range volunteers {
		section := []int{4, 8}[v%2] + 12*(v/2%2) // on readers r4 and r5, or r8 and r9
		clients.Go(func() {
			time.Sleep(time.Duration(v) * thinkTime / volunteers)
			for n := 1; ; n++ {
				outcome := r.submitTally(s, v, n, section)
				mu.Lock()
				if strings.HasPrefix(outcome, "status 200") {
					accepted[v] = n
				}
				mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(thinkTime):
				}
			}
		})
	}
	time.Sleep(8 * time.Second)
	if r.trouble {
		for _, i := range cutReaders {
			r.note("reader r%d is cut off from now on, for %v", i, cutFor)
			s.relays[i].setCut(true)
		}
	}
	time.Sleep(cutFor)
	for _, i := range cutReaders {
		s.relays[i].setCut(false)
	}
	r.note("no reader is cut off any more; the volunteers submit no further tally")
	close(stop)
	clients.Wait()
	time.Sleep(5 * time.Second) // the readers end what they have
	mu.Lock()
	defer mu.Unlock()
	slices.SortFunc(runs, func(a, b tallyRun) int { return int(a.begin - b.begin) })
	for i, a := range runs {
		for _, b := range runs[:i] {
			if a.session == b.session && a.query < b.query {
				r.breaks("volunteer %d: tally %d began at %.3f s on r%d, after tally %d, which came later and began at %.3f s on r%d",
					a.session, a.query, a.begin.Seconds(), a.reader, b.query, b.begin.Seconds(), b.reader)
			}
			if a.session == b.session && a.query > b.query && a.begin < b.end {
				r.breaks("volunteer %d: tally %d began at %.3f s on r%d beside tally %d, which ran until %.3f s on r%d",
					a.session, a.query, a.begin.Seconds(), a.reader, b.query, b.end.Seconds(), b.reader)
			}
		}
	}
	for v := range volunteers {
		if last[v] < accepted[v] {
			r.breaks("volunteer %d: the readers hold tally %d in the end, and tally %d was answered as served after it: the accepted one is overwritten", v, last[v], accepted[v])
		}
	}
	r.note("%d tallies ran", len(runs))
	return nil
}

// submitTally sends one tally with one id, at the co-ordinator that owns the session, again where it is refused.
func (r *caseRun) submitTally(s *fleetSite, v, n, section int) (outcome string) {
	id := fmt.Sprintf("v%d-t%d", v, n)
	to := v % fleetSize
	for range 40 {
		req := s.sessionQuery(to, "tally-submit", fmt.Sprint("volunteer-", v), id, section, tallyWait, fmt.Sprintf("tally %d of volunteer %d", n, v))
		var took time.Duration
		outcome, took = send(req, tallyWait+2*time.Second)
		r.note("volunteer %d: tally %d at n%d: %s after %v", v, n, to, outcome, took.Round(time.Millisecond))
		if !strings.HasPrefix(outcome, "status 503") {
			return outcome
		}
		time.Sleep(250 * time.Millisecond)
	}
	return outcome
}
