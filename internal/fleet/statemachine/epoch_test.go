package statemachine

import (
	"strings"
	"testing"
	"time"
)

// renewable is a part that notes when it is to grant nothing before.
type renewable struct {
	Part
	until time.Duration
}

func (r *renewable) Renew(until time.Duration) { r.until = until }

// A new epoch has its number, fences above any of before, and agreed time, and goes on by snapshots. Snapshots of the first
// have no number, as those of programs that know of no epoch.
func TestRenewBeginsNewEpoch(t *testing.T) {
	p := &renewable{Part: &book{}}
	l := New(map[string]Part{"book": p})
	first, err := l.Save()
	if err != nil || l.Epoch() != 1 || strings.Contains(string(first), `"epoch"`) {
		t.Fatalf("%v, epoch %d: %s", err, l.Epoch(), first)
	}
	const day = 24 * time.Hour
	if l.Renew(2*day, day) == nil || l.Renew(-1, day) == nil || l.Epoch() != 1 {
		t.Error("a new epoch of no time")
	}
	if err := l.Renew(2*day, 3*day); err != nil || l.Epoch() != 172_800 || l.Fence() != FenceGap || l.Now() != 2*day || p.until != 3*day {
		t.Errorf("%v: epoch %d, fence %d, now %v, until %v", err, l.Epoch(), l.Fence(), l.Now(), p.until)
	}
	if err := l.Renew(day, 3*day); err != nil || l.Epoch() != 172_801 || l.Now() != 2*day || l.Check() != nil {
		t.Errorf("by a clock that is behind: %v: epoch %d, now %v", err, l.Epoch(), l.Now())
	}
	raw, err := l.Save()
	m := New(map[string]Part{"book": &renewable{Part: &book{}}})
	if err != nil || m.Load(raw) != nil || m.Epoch() != 172_801 || m.Digest() != l.Digest() {
		t.Errorf("%v: epoch %d", err, m.Epoch())
	}
	if err := m.Load(first); err != nil || m.Epoch() != 1 {
		t.Errorf("%v: epoch %d", err, m.Epoch())
	}
	if l.Apply(1, []byte(`{"v":9}`)) == nil || l.Renew(3*day, 3*day) == nil {
		t.Error("a halted one was renewed")
	}
}
