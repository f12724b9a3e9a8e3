package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// requestCount makes request IDs unique.
var requestCount atomic.Int64

// querySession sends a query of a session to one co-ordinator, and returns the status, the owner named in the answer and
// the value of Retry-After.
func (s *site) querySession(to int, session string) (status int, owner, after string) {
	s.Helper()
	r, _ := http.NewRequest("POST", "http://"+s.serve[to]+"/search", strings.NewReader(`{"buckets":[{"bucket":1,"part":1.0}],"body":"00"}`))
	r.Header.Set("X-Request-ID", fmt.Sprint("p", requestCount.Add(1)))
	r.Header.Set("X-Timeout-Ms", "2000")
	r.Header.Set("X-Session", session)
	resp, err := (&http.Client{Timeout: 3 * time.Second}).Do(r)
	if err != nil {
		return 0, "", ""
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get("X-Owner"), resp.Header.Get("Retry-After")
}

// newSessionSite starts a site whose operators' files enable sessions.
func newSessionSite(t *testing.T, processes int) *site {
	s := newSite(t, processes, 0, 1, 2)
	s.extraSettings["sessions"] = map[string]any{"header": "X-Session", "owner_header": "X-Owner", "classes": []string{"search"}, "slots_per_replica": 60}
	s.startAll()
	return s
}

// A session is served only by the co-ordinator that received its first query; the others refuse and name that owner. After
// the owner is killed, another must serve the session once the owner's lease has certainly expired, and not before.
func TestSessionHasOneOwner(t *testing.T) {
	t.Parallel()
	s := newSessionSite(t, 3)
	s.waitFor("a session is served", func() bool { status, _, _ := s.querySession(0, "a"); return status == 200 })
	for to := 1; to < 3; to++ {
		s.waitFor("another co-ordinator names the owner", func() bool { status, owner, _ := s.querySession(to, "a"); return status == 503 && owner == "n0" })
	}
	if status, _, _ := s.querySession(0, "a"); status != 200 {
		t.Errorf("at its owner: %d", status)
	}
	s.waitFor("another session is served elsewhere", func() bool { status, _, _ := s.querySession(1, "b"); return status == 200 })
	s.procs[0].Process.Kill()
	s.procs[0].Wait()
	killed := time.Now()
	s.waitFor("another co-ordinator serves the session", func() bool { status, _, _ := s.querySession(1, "a"); return status == 200 })
	if took := time.Since(killed); took < 2*time.Second { // the lease is 3 s and the latest poll at most one second old
		t.Errorf("the session was served %v after its owner was killed, within its lease", took)
	}
	s.waitFor("the third co-ordinator names the new owner", func() bool { status, owner, _ := s.querySession(2, "a"); return status == 503 && owner == "n1" })
	for i, l := range s.logs {
		if text := l.String(); strings.Contains(text, "does not hold") || strings.Contains(text, "panic") {
			t.Errorf("n%d:\n%s", i, text)
		}
	}
}

// A co-ordinator that is granted maintenance must first hand its sessions over. Each session is served all the while, by it
// or by the owner that it names. The co-ordinator must exit with no sessions left, which shows in all of them being served
// elsewhere within less than its lease.
func TestSessionsMoveBeforeMaintenance(t *testing.T) {
	t.Parallel()
	s := newSessionSite(t, 4)
	const sessionCount = 20
	s.waitFor("sessions at n3", func() bool {
		for i := range sessionCount {
			if status, _, _ := s.querySession(3, fmt.Sprint("k", i)); status != 200 {
				return false
			}
		}
		return true
	})
	s.extraSettings["drain_self"] = true
	s.writeOperatorFiles(false, map[string]any{"names": []string{"n3"}, "reason": "new board", "for_s": 30})
	s.reloadAll()
	ended := make(chan error, 1)
	go func() { ended <- s.procs[3].Wait() }()
	target := make([]int, sessionCount) // the co-ordinator to which each client sends
	for i := range target {
		target[i] = 3
	}
	served, moved, began := 0, 0, time.Now()
	for gone := false; !gone; {
		for i := range target {
			status, owner, _ := s.querySession(target[i], fmt.Sprint("k", i))
			switch {
			case status == 200:
				served++
			case owner != "":
				fmt.Sscanf(owner, "n%d", &target[i])
				moved++
			case status != 503 && status != 0: // 0: it has exited after handing all sessions over
				t.Fatalf("k%d at n%d: %d", i, target[i], status)
			}
		}
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("n3 ended with %v:\n%s", err, s.logs[3].String())
			}
			gone = true
		default:
			if time.Since(began) > 30*time.Second {
				t.Fatalf("n3 has not exited, %d queries redirected:\n%s", moved, s.logs[3].String())
			}
		}
	}
	end := time.Now()
	for i := range sessionCount {
		s.waitFor("another co-ordinator serves the session", func() bool {
			for to := range 3 {
				if status, _, _ := s.querySession(to, fmt.Sprint("k", i)); status == 200 {
					return true
				}
			}
			return false
		})
	}
	if took := time.Since(end); took > 2*time.Second { // less than the lease: the sessions were handed over and not released by its expiry
		t.Errorf("all sessions were served elsewhere only %v after n3 had exited", took)
	}
	t.Logf("%d served and %d redirected in %v until n3 exited; all served elsewhere %v later", served, moved, end.Sub(began).Round(time.Millisecond), time.Since(end).Round(time.Millisecond))
	if !strings.Contains(s.logs[3].String(), "goes for work") || served < sessionCount {
		t.Errorf("%d served, %d redirected; n3:\n%s", served, moved, s.logs[3].String())
	}
	for i, l := range s.logs {
		if text := l.String(); strings.Contains(text, "does not hold") || strings.Contains(text, "panic") {
			t.Errorf("n%d:\n%s", i, text)
		}
	}
}
