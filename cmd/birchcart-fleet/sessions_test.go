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

var asked atomic.Int64

// pinned asks one co-ordinator a query of a session, and gives the status, the owner that was named and the time to come back.
func (s *site) pinned(to int, session string) (status int, owner, after string) {
	s.Helper()
	r, _ := http.NewRequest("POST", "http://"+s.serve[to]+"/search", strings.NewReader(`{"buckets":[{"bucket":1,"part":1.0}],"body":"00"}`))
	r.Header.Set("X-Request-ID", fmt.Sprint("p", asked.Add(1)))
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

func newPinnedSite(t *testing.T, processes int) *site {
	s := newSite(t, processes, 0, 1, 2)
	s.extra["sessions"] = map[string]any{"header": "X-Session", "owner_header": "X-Owner", "classes": []string{"search"}, "slots_per_replica": 60}
	s.startAll()
	return s
}

// A session is served where its first query came, and nowhere else: others name its owner. When that is killed, it is served
// by another once the owner's lease has surely ended, not before. A query without a session goes anywhere all the while.
func TestASessionHasOneOwner(t *testing.T) {
	t.Parallel()
	s := newPinnedSite(t, 3)
	s.until("a session is served", func() bool { status, _, _ := s.pinned(0, "a"); return status == 200 })
	for to := 1; to < 3; to++ {
		s.until("another names the owner", func() bool { status, owner, _ := s.pinned(to, "a"); return status == 503 && owner == "n0" })
	}
	if status, _, _ := s.pinned(0, "a"); status != 200 {
		t.Errorf("at its owner: %d", status)
	}
	s.until("another session is served elsewhere", func() bool { status, _, _ := s.pinned(1, "b"); return status == 200 })
	s.procs[0].Process.Kill()
	s.procs[0].Wait()
	killed := time.Now()
	s.until("its session is served by another", func() bool { status, _, _ := s.pinned(1, "a"); return status == 200 })
	if took := time.Since(killed); took < 2*time.Second { // of a lease of 3 s, the newest poll is a second old at the most
		t.Errorf("the session was served %v after its owner was killed, within its lease", took)
	}
	s.until("the last one names the new owner", func() bool { status, owner, _ := s.pinned(2, "a"); return status == 503 && owner == "n1" })
	for i, l := range s.logs {
		if text := l.String(); strings.Contains(text, "does not hold") || strings.Contains(text, "panic") {
			t.Errorf("n%d:\n%s", i, text)
		}
	}
}

// A co-ordinator that may go for work hands its sessions on first: each is served all the while, by it or by whom it names,
// and it ends with none, well within its lease.
func TestSessionsMoveBeforeTheirMachineGoes(t *testing.T) {
	t.Parallel()
	s := newPinnedSite(t, 4)
	const many = 20
	s.until("sessions at n3", func() bool {
		for i := range many {
			if status, _, _ := s.pinned(3, fmt.Sprint("k", i)); status != 200 {
				return false
			}
		}
		return true
	})
	s.extra["drain_self"] = true
	s.ask(false, map[string]any{"names": []string{"n3"}, "reason": "new board", "for_s": 30})
	s.hangUp()
	ended := make(chan error, 1)
	go func() { ended <- s.procs[3].Wait() }()
	at := make([]int, many) // where each client asks
	for i := range at {
		at[i] = 3
	}
	served, moved, began := 0, 0, time.Now()
	for gone := false; !gone; {
		for i := range at {
			status, owner, _ := s.pinned(at[i], fmt.Sprint("k", i))
			switch {
			case status == 200:
				served++
			case owner != "":
				fmt.Sscanf(owner, "n%d", &at[i])
				moved++
			case status != 503 && status != 0: // 0: it has ended, with all sessions handed on
				t.Fatalf("k%d at n%d: %d", i, at[i], status)
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
				t.Fatalf("n3 has not gone, %d sessions asked elsewhere:\n%s", moved, s.logs[3].String())
			}
		}
	}
	end := time.Now()
	for i := range many {
		s.until("served by another", func() bool {
			for to := range 3 {
				if status, _, _ := s.pinned(to, fmt.Sprint("k", i)); status == 200 {
					return true
				}
			}
			return false
		})
	}
	if took := time.Since(end); took > 2*time.Second { // less than the lease: they were handed on, not freed by its end
		t.Errorf("all served only %v after n3 had ended", took)
	}
	t.Logf("%d served and %d sent on in %v until n3 ended; all served elsewhere %v later", served, moved, end.Sub(began).Round(time.Millisecond), time.Since(end).Round(time.Millisecond))
	if !strings.Contains(s.logs[3].String(), "goes for work") || served < many {
		t.Errorf("%d served, %d sent on; n3:\n%s", served, moved, s.logs[3].String())
	}
	for i, l := range s.logs {
		if text := l.String(); strings.Contains(text, "does not hold") || strings.Contains(text, "panic") {
			t.Errorf("n%d:\n%s", i, text)
		}
	}
}
