package admission

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func TestRateByTenant(t *testing.T) {
	g := New([]Rule{{Rate: 10, Burst: 5}}, 2, 1)
	admitted := [2]int{}
	for i := range 1000 { // tenant 0 sends 1000 queries in a second, tenant 1 five
		now := start.Add(time.Duration(i) * time.Millisecond)
		if g.Admit(now, 0, 0, "", false).Reason == Admitted {
			admitted[0]++
		}
		if i%200 == 0 && g.Admit(now, 0, 1, "", false).Reason == Admitted {
			admitted[1]++
		}
	}
	if admitted[0] < 14 || admitted[0] > 15 || admitted[1] != 5 {
		t.Errorf("admitted by tenant: %v, want 14 or 15 and 5", admitted)
	}
}

// After an idle period of any length a bucket admits its burst and no more.
func TestIdlePeriodRefillsBurstOnly(t *testing.T) {
	g := New([]Rule{{Rate: 10, Burst: 5}}, 0, 1)
	g.Admit(start, 0, -1, "", false)
	admitted := 0
	for range 100 {
		if g.Admit(start.Add(30*time.Second), 0, -1, "", false).Reason == Admitted {
			admitted++
		}
	}
	if admitted != 5 {
		t.Errorf("%d queries admitted at once after 30 s, want the burst of 5", admitted)
	}
}

func TestCapacityAndBorrowing(t *testing.T) {
	g := New([]Rule{{Queries: 2, Borrow: true}, {Queries: 6}, {}}, 0, 1)
	admit := func(route int) bool { return g.Admit(start, route, -1, "", false).Reason == Admitted }
	n := 0
	for admit(0) {
		n++
	}
	if n != 5 { // its own two, and half of the idle six
		t.Errorf("%d queries admitted with borrowed capacity, want 5", n)
	}
	for i := range 6 { // the lender may still use all of its own capacity
		if !admit(1) {
			t.Errorf("query %d of the lender was refused", i)
		}
	}
	if admit(1) || admit(0) {
		t.Error("a query was admitted beyond the capacity")
	}
	g.Release(1)
	if !admit(1) || g.Open(1) != 6 {
		t.Error("released capacity is not available")
	}
	for range 1000 {
		if !admit(2) {
			t.Fatal("a route without a limit refused a query")
		}
	}
}

func TestRetriesByClient(t *testing.T) {
	g := New([]Rule{{RetryRate: 1}}, 0, 1)
	got := map[string]int{}
	for i := range 10 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		for _, key := range []string{"a", "b"} {
			if g.Admit(now, 0, -1, key, true).Reason == Admitted {
				got[key]++
			}
		}
		if g.Admit(now, 0, -1, "a", false).Reason != Admitted {
			t.Error("a query not marked as a retry was charged to the retry budget")
		}
	}
	if got["a"] != 3 || got["b"] != 3 {
		t.Errorf("retries admitted by client: %v, want 3 each", got)
	}
}

// The number of clients held is limited, however many there are.
func TestClientsAreBounded(t *testing.T) {
	g := New([]Rule{{RetryRate: 1}}, 0, 1)
	for i := range 3 * maxClients {
		g.Admit(start.Add(time.Duration(i)*time.Millisecond), 0, -1, fmt.Sprint(i), true)
	}
	if n := g.clients.Len(); n > maxClients {
		t.Errorf("%d clients held, more than maxClients", n)
	}
}

// Queries refused at the same time get different retry delays, so that they are not all retried at the same time.
func TestRetryAfterIsSpread(t *testing.T) {
	g := New([]Rule{{Rate: 1, Burst: 1}}, 0, 1)
	g.Admit(start, 0, -1, "", false)
	seen := map[time.Duration]int{}
	for range 200 {
		d := g.Admit(start, 0, -1, "", false)
		if d.Reason != RateLimited || d.After < 400*time.Millisecond || d.After > 1600*time.Millisecond {
			t.Fatalf("decision %+v, want RateLimited with a delay from 0.4 to 1.6 s", d)
		}
		seen[d.After/(100*time.Millisecond)]++
	}
	if len(seen) < 8 {
		t.Errorf("retry delays by 100 ms: %v, want at least 8 different", seen)
	}
}

func BenchmarkAdmit(b *testing.B) {
	rules := make([]Rule, 100)
	for i := range rules {
		rules[i] = Rule{Queries: 1 << 40, Rate: 1e12, Burst: 1 << 30, RetryRate: 1e12}
	}
	g := New(rules, 3, 1)
	b.ReportAllocs()
	now := start
	for b.Loop() {
		now = now.Add(time.Microsecond)
		g.Admit(now, 50, 1, "client", true)
	}
}
