package maintenance

import (
	"strings"
	"testing"
	"time"
)

// Renew expires all live items of a raft group that was set up anew. Machines that were not out yet may still go out and count
// until their deadline, the machine that was out counts as failed, and nothing is granted until the grants that the old group may
// have made have ended. Only the item that was not acknowledged is retried.
func TestRenewExpiresLiveItems(t *testing.T) {
	l := testLimits
	l.MaxOut, l.MaxOutPerZone, l.MinHolders = 3, 3, 1
	p := newFixture(t, l, requestFor("all", "r0", "r3", "r6"))
	for _, m := range []string{"r0", "r3", "r6"} {
		p.grant("all", m)
	}
	p.acknowledge("r0")
	p.acknowledge("r3")
	p.observe(replica(3).withStatus(Terminating))
	until := map[string]time.Duration{}
	for _, m := range []string{"r0", "r6"} {
		it, _ := p.state.ActiveItem(m)
		until[m] = it.Until
	}
	p.state.Renew(p.now + 500*sec)
	if err := p.state.Check(); err != nil {
		t.Fatal(err)
	}
	for _, m := range []string{"r0", "r3", "r6"} {
		if it, live := p.state.ActiveItem(m); live {
			t.Errorf("%+v is still live", it)
		}
		want := p.now + l.SettleTime
		if until[m] > 0 {
			want = until[m] + l.SettleTime
		}
		if got := p.state.machines[m].Settle; got != want {
			t.Errorf("%s counts as out until %v, want %v", m, got, want)
		}
	}
	requested, reason := "", ""
	for _, it := range p.state.Items() {
		if it.Phase == Pending {
			requested += it.Machine
		} else if it.Machine == "r3" {
			reason = it.Reason
		}
	}
	if requested != "r6" || !strings.Contains(reason, "anew: counts as failed") {
		t.Errorf("retried: %s; r3: %s", requested, reason)
	}
	for _, at := range []time.Duration{p.now, p.now + 500*sec - 1} {
		if err := p.state.checkPaused(at); err == nil {
			t.Errorf("not paused at %v", at)
		}
	}
	p.now += 500*sec + 1
	p.observe(replica(3).startedAt(p.now - 100*sec))
	if paused, reason := p.state.Paused(p.now); paused {
		t.Error(reason)
	}
	raw, err := p.state.Save()
	if n := New(); err != nil || n.Load(raw) != nil {
		t.Error("a renewed state does not load")
	}
}
