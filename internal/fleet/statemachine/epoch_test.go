package statemachine

import (
	"strings"
	"testing"
	"time"
)

// renewable is a part that records the time passed to Renew.
type renewable struct {
	Part
	until time.Duration
}

func (r *renewable) Renew(until time.Duration) { r.until = until }

// Renew must set the epoch number, raise the fencing numbers by FenceGap and advance agreed time, and snapshots must keep the
// epoch. Snapshots of the first epoch have no epoch number, like those of programs that do not know epochs.
func TestRenewBeginsNewEpoch(t *testing.T) {
	p := &renewable{Part: &book{}}
	m := New(map[string]Part{"book": p})
	first, err := m.Save()
	if err != nil || m.Epoch() != 1 || strings.Contains(string(first), `"epoch"`) {
		t.Fatalf("%v, epoch %d: %s", err, m.Epoch(), first)
	}
	const day = 24 * time.Hour
	if m.Renew(2*day, day) == nil || m.Renew(-1, day) == nil || m.Epoch() != 1 {
		t.Error("Renew accepted invalid times")
	}
	if err := m.Renew(2*day, 3*day); err != nil || m.Epoch() != 172_800 || m.Fence() != FenceGap || m.Now() != 2*day || p.until != 3*day {
		t.Errorf("%v: epoch %d, fence %d, now %v, until %v", err, m.Epoch(), m.Fence(), m.Now(), p.until)
	}
	if err := m.Renew(day, 3*day); err != nil || m.Epoch() != 172_801 || m.Now() != 2*day || m.Check() != nil {
		t.Errorf("Renew by a clock that is behind: %v: epoch %d, now %v", err, m.Epoch(), m.Now())
	}
	raw, err := m.Save()
	restored := New(map[string]Part{"book": &renewable{Part: &book{}}})
	if err != nil || restored.Load(raw) != nil || restored.Epoch() != 172_801 || restored.Digest() != m.Digest() {
		t.Errorf("%v: epoch %d", err, restored.Epoch())
	}
	if err := restored.Load(first); err != nil || restored.Epoch() != 1 {
		t.Errorf("%v: epoch %d", err, restored.Epoch())
	}
	if m.Apply(1, []byte(`{"v":9}`)) == nil || m.Renew(3*day, 3*day) == nil {
		t.Error("Renew was accepted by a halted state machine")
	}
}
