package ledger

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

// A new era has its number, fences above any of before, and agreed time, and goes on by snapshots. Snapshots of the first
// have no number, as those of programs that know of no era.
func TestANewEra(t *testing.T) {
	p := &renewable{Part: &book{}}
	l := New(map[string]Part{"book": p})
	first, err := l.Save()
	if err != nil || l.Era() != 1 || strings.Contains(string(first), `"era"`) {
		t.Fatalf("%v, era %d: %s", err, l.Era(), first)
	}
	const day = 24 * time.Hour
	if l.Renew(2*day, day) == nil || l.Renew(-1, day) == nil || l.Era() != 1 {
		t.Error("a new era of no time")
	}
	if err := l.Renew(2*day, 3*day); err != nil || l.Era() != 172_800 || l.Fence() != FenceGap || l.Now() != 2*day || p.until != 3*day {
		t.Errorf("%v: era %d, fence %d, now %v, until %v", err, l.Era(), l.Fence(), l.Now(), p.until)
	}
	if err := l.Renew(day, 3*day); err != nil || l.Era() != 172_801 || l.Now() != 2*day || l.Check() != nil {
		t.Errorf("by a clock that is behind: %v: era %d, now %v", err, l.Era(), l.Now())
	}
	raw, err := l.Save()
	m := New(map[string]Part{"book": &renewable{Part: &book{}}})
	if err != nil || m.Load(raw) != nil || m.Era() != 172_801 || m.Digest() != l.Digest() {
		t.Errorf("%v: era %d", err, m.Era())
	}
	if err := m.Load(first); err != nil || m.Era() != 1 {
		t.Errorf("%v: era %d", err, m.Era())
	}
	if l.Apply(1, []byte(`{"v":9}`)) == nil || l.Renew(3*day, 3*day) == nil {
		t.Error("a halted one was renewed")
	}
}
