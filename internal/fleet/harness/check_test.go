package harness

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// sound is a history in which one machine goes out and comes back, and which each case spoils in one way.
func sound() *History {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	agreedAt := func(s float64) time.Duration { return time.Duration(at(s).UnixNano()) }
	h := &History{
		Limits:    maintenance.Limits{Cells: 3, Reach: 2, Shards: 3, MinHolders: 2, MaxOutPerZone: 1, MaxOut: 2, Lease: 4 * time.Second},
		Outages:   []Outage{{Machine: "r0", Fence: 5, From: at(3), Dead: at(4), Warm: at(8)}},
		Parts:     []Part{{at(1.9), 0, "r0", "q0-1"}, {at(3.5), 0, "r1", "q0-2"}},
		Sent:      []Sent{{ID: "q0-1", At: at(1), End: at(1.1), Fate: Answered, Status: 200, Finished: true}},
		Disturbed: make([][]Span, 2), Down: make([][]Span, 2), Ending: make([][]Span, 2), Stopped: make([][]Span, 2),
	}
	for i := range 6 {
		h.Machines = append(h.Machines, maintenance.Machine{Name: fmt.Sprintf("r%d", i), Kind: maintenance.Replica, Cell: i % 3, Zone: fmt.Sprint(i % 3)})
	}
	item := maintenance.Item{Request: "a", Machine: "r0", Fence: 5, Phase: maintenance.Granted, GrantedAt: agreedAt(0.5), Until: agreedAt(20)}
	for i, p := range []maintenance.Phase{maintenance.Granted, maintenance.Acknowledged, maintenance.Out, maintenance.Returned, maintenance.Done} {
		if item.Phase = p; p == maintenance.Acknowledged {
			item.AcknowledgedAt = agreedAt(2)
		}
		h.Files = append(h.Files, &Seen{Process: 0, At: at(float64(i)), Grants: Grants{Version: 1, Index: uint64(10 + i), Items: []maintenance.Item{item}}})
	}
	return h
}

// Each rule's check finds what breaks it, and nothing in a sound history.
func TestCheck(t *testing.T) {
	if v := sound().Check(); len(v.Broken) > 0 || v.Grants != 1 || v.Told != 1 || v.Served != 1 {
		t.Fatalf("a sound history: %+v", v)
	}
	base := time.Unix(1000, 0)
	item := func(machine string, fence uint64, p maintenance.Phase) maintenance.Item {
		return maintenance.Item{Request: "a", Machine: machine, Fence: fence, Phase: p, GrantedAt: time.Duration(base.Add(time.Second).UnixNano())}
	}
	for want, spoil := range map[string]func(h *History){
		"told: r0 got a part":   func(h *History) { h.Parts = append(h.Parts, Part{base.Add(3 * time.Second), 1, "r0", "q1-1"}) },
		"W4: fence 5 is of":     func(h *History) { h.Files[3].Items = append(h.Files[3].Items, item("r1", 5, maintenance.Pending)) },
		"W4: r0 has grants":     func(h *History) { h.Files[1].Items = append(h.Files[1].Items, item("r0", 6, maintenance.Granted)) },
		"W4: fence 5 of r0 was": func(h *History) { h.Files = append(h.Files, &Seen{Grants: Grants{Index: 90, Items: h.Files[1].Items}}) },
		"W4: fence 3 was granted": func(h *History) {
			h.Files[0].Items = append(h.Files[0].Items, item("r3", 2, maintenance.Done), item("r3", 3, maintenance.Done))
			h.Files[0].Items[2].GrantedAt = 0
		},
		"W2: 2 are out in zone": func(h *History) { h.Files[1].Items = append(h.Files[1].Items, item("r3", 9, maintenance.Acknowledged)) },
		"W2: 3 are out": func(h *History) {
			h.Files[1].Items = append(h.Files[1].Items, item("r1", 8, maintenance.Acknowledged), item("r2", 9, maintenance.Acknowledged))
		},
		"W1: fence 9 of r1": func(h *History) {
			h.Files[1].Items = append(h.Files[1].Items, item("r4", 8, maintenance.Out), item("r1", 9, maintenance.Granted))
		},
		"W1: r0 went by fence 5": func(h *History) {
			h.Outages = append(h.Outages, Outage{Machine: "r1", Fence: 0, From: base.Add(-9 * time.Second)}, Outage{Machine: "r3", Fence: 2, From: base})
		},
		"0: no answer for": func(h *History) { h.Sent[0].Fate = NoAnswer },
		"query q0-1 to process 0: no answer for 100ms": func(h *History) { h.Sent[0].Fate = Crossed },
		"two answers":                  func(h *History) { h.Sent[0].Fate = Twice },
		"process 0 took nothing":       func(h *History) { h.Sent[0].Fate = NotTaken },
		"process 0: answered after":    func(h *History) { h.Sent[0].End = base.Add(5 * time.Second) },
		"W4: fence 7 is of x, which n": func(h *History) { h.Files[1].Items = append(h.Files[1].Items, item("x", 7, maintenance.Granted)) },
	} {
		h := sound()
		spoil(h)
		if v := h.Check(); !slices.ContainsFunc(v.Broken, func(s string) bool { return strings.Contains(s, want) }) {
			t.Errorf("%q was not found: %q", want, v.Broken)
		}
	}
	excused := sound()
	excused.Parts = append(excused.Parts, Part{base.Add(3 * time.Second), 1, "r0", "q1-1"})
	excused.Disturbed[1] = []Span{{base, base.Add(9 * time.Second), "cut off"}}
	if v := excused.Check(); len(v.Broken) > 0 || v.Late != 1 {
		t.Errorf("a process that was cut off: %+v", v)
	}
}

func TestSchedules(t *testing.T) {
	for seed := range uint64(200) {
		s := NewSchedule(seed, 7)
		back, err := DecodeSchedule(s.Encode())
		if err != nil || back.Encode() != s.Encode() || NewSchedule(seed, 7).Encode() != s.Encode() {
			t.Fatalf("seed %d: %v\n%s", seed, err, s.Encode())
		}
	}
	for _, bad := range []string{`{"version":2,"processes":7}`, `{"version":1,"processes":7,"steps":[{"do":"sing"}]}`, `{"version":1,"x":1}`, ``} {
		if _, err := DecodeSchedule(bad); err == nil {
			t.Errorf("%s was read", bad)
		}
	}
	s := NewSchedule(2, 7)
	tries := 0
	small := Shrink(s, 100, func(x *Schedule) bool {
		tries++
		return slices.ContainsFunc(x.Steps, func(st Step) bool { return st.Do == DoAsk2 })
	})
	if len(small.Steps) != 1 || small.Steps[0].Do != DoAsk2 || tries < len(s.Steps) {
		t.Errorf("shrunk to %s in %d tries", small.Encode(), tries)
	}
}
