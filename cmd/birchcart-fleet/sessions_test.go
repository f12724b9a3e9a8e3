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
