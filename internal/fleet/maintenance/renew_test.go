package maintenance

import (
	"strings"
	"testing"
	"time"
)

// What is live when a raft group is set up anew lapses: what was not out may still go until its time, what was out failed, and
// nothing is granted before what the old council may have granted is over. Only what was not told is requested again.
func TestRenew(t *testing.T) {
	l := limits
	l.MaxOut, l.MaxOutPerZone, l.MinHolders = 3, 3, 1
	p := start(t, l, names("all", "r0", "r3", "r6"))
	for _, m := range []string{"r0", "r3", "r6"} {
		p.grant("all", m)
	}
	p.told("r0")
	p.told("r3")
	p.see(cell(3).as(Terminating))
	until := map[string]time.Duration{}
	for _, m := range []string{"r0", "r6"} {
		it, _ := p.s.ActiveItem(m)
		until[m] = it.Until
	}
	p.s.Renew(p.now + 500*sec)
	if err := p.s.Check(); err != nil {
		t.Fatal(err)
	}
	for _, m := range []string{"r0", "r3", "r6"} {
		if it, live := p.s.ActiveItem(m); live {
			t.Errorf("%+v lives", it)
		}
		want := p.now + l.SettleTime
		if until[m] > 0 {
			want = until[m] + l.SettleTime
		}
		if got := p.s.machines[m].Settle; got != want {
			t.Errorf("%s counts until %v, not %v", m, got, want)
		}
	}
	asked, why := "", ""
	for _, it := range p.s.Items() {
		if it.Phase == Pending {
			asked += it.Machine
		} else if it.Machine == "r3" {
			why = it.Reason
		}
	}
	if asked != "r6" || !strings.Contains(why, "anew: counts as failed") {
		t.Errorf("asked again: %s; r3: %s", asked, why)
	}
	for _, at := range []time.Duration{p.now, p.now + 500*sec - 1} {
		if err := p.s.checkPaused(at); err == nil {
			t.Errorf("not paused at %v", at)
		}
	}
	p.now += 500*sec + 1
	p.see(cell(3).since(p.now - 100*sec))
	if stop, why := p.s.Paused(p.now); stop {
		t.Error(why)
	}
	raw, err := p.s.Save()
	if n := New(); err != nil || n.Load(raw) != nil {
		t.Error("a renewed state does not load")
	}
}
