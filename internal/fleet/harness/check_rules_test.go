package harness

import (
	"slices"
	"strings"
	"testing"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// story is a history put together by hand: six replicas on a ring of three cells, two zones' places and three in all.
type story struct {
	*History
	items []maintenance.Item
}

var storyBegan = time.Unix(1000, 0)

func after(s float64) time.Time { return storyBegan.Add(time.Duration(s * float64(time.Second))) }

func newStory() *story {
	h := sound()
	h.Files, h.Outages, h.Parts, h.Sent = nil, nil, nil, nil
	h.Limits.MaxOutPerZone, h.Limits.MaxOut, h.Limits.MinHolders, h.Limits.Cells = 2, 3, 1, 6
	for i := range h.Machines {
		h.Machines[i].Cell = i
	}
	h.Limits.MaxPassedOver, h.Limits.FailurePause, h.Limits.Headroom, h.Limits.MaxLoadAge, h.Limits.MaxInventoryAge = 2, 8*time.Second, 0.25, 4*time.Second, 6*time.Second
	h.Bears, h.Answer, h.Deaf = 1, 20*time.Millisecond, make([][]Span, 2)
	h.Silent = make([][]Span, 2)
	return &story{History: h}
}

// ask has machines asked for, each by a request of its own, in this order.
func (s *story) ask(machines ...string) {
	for _, m := range machines {
		s.items = append(s.items, maintenance.Item{Request: "for " + m, Machine: m, Phase: maintenance.Pending, RequestedAt: time.Duration(after(0).UnixNano())})
	}
}

// grant has a machine granted at a time, and done when the next one is granted if it is not to stay out.
func (s *story) grant(at float64, machine string, stays bool) {
	fence, given := uint64(len(s.Files)+1), false
	for i := range s.items {
		it := &s.items[i]
		switch {
		case it.Machine == machine && it.Phase == maintenance.Pending && !given:
			given = true
			it.Phase, it.Fence, it.GrantedAt = maintenance.Granted, fence, time.Duration(after(at).UnixNano())
		case it.Phase == maintenance.Granted && !it.Cancelled:
			it.Phase, it.EndedAt = maintenance.Done, time.Duration(after(at).UnixNano())
		}
		it.Cancelled = it.Cancelled || stays && it.Machine == machine
	}
	s.Files = append(s.Files, &Seen{At: after(at), Grants: Grants{Version: 1, Index: fence, Items: slices.Clone(s.items)}})
}

// load has so many parts open at replicas, all the time between.
func (s *story) load(from, to float64, open int) {
	for t := from; t < to; t += s.Answer.Seconds() / float64(open) {
		s.Parts = append(s.Parts, Part{after(t), -1, "r5", "q"})
	}
}

// W3, W5 and W6 each find what breaks them, leave alone what is just within them, and what is excused.
func TestCheckLoadTurnsCalm(t *testing.T) {
	for _, c := range []struct {
		name, want string // "": nothing
		play       func(s *story)
	}{
		{"a load that is borne", "", func(s *story) { s.ask("r0"); s.load(0, 20, 4); s.grant(15, "r0", false) }},
		{"a load too high for long", "W3: fence 1 of r0 leaves 5", func(s *story) { s.ask("r0"); s.load(0, 20, 6); s.grant(15, "r0", false) }},
		{"one is out, and the load is too high for the rest", "W3: fence 2 of r2 leaves 4", func(s *story) {
			s.ask("r0", "r2")
			s.load(0, 20, 5)
			s.grant(10, "r0", true)
			s.grant(15, "r2", true)
		}},
		{"a load that rose within the news's time", "", func(s *story) { s.ask("r0"); s.load(9, 20, 6); s.grant(15, "r0", false) }},
		{"a load that fell within it", "", func(s *story) { s.ask("r0"); s.load(0, 13, 6); s.grant(15, "r0", false) }},
		{"a load that a stopped process did not tell of", "", func(s *story) {
			s.ask("r0")
			s.load(0, 20, 6)
			s.Disturbed[1] = []Span{{after(10), after(12), "stopped"}}
			s.grant(15, "r0", false)
		}},
		{"nobody hears of discovery", "W3: fence 1 of r0 was granted, and nobody", func(s *story) {
			s.ask("r0")
			s.Silent[0], s.Silent[1] = []Span{{after(5), after(20), "link"}}, []Span{{after(6.9), after(20), "link"}}
			s.grant(15, "r0", false)
		}},
		{"one of two hears of discovery", "", func(s *story) {
			s.ask("r0")
			s.Silent[0], s.Silent[1] = []Span{{after(5), after(20), "link"}}, []Span{{after(7.1), after(20), "link"}}
			s.grant(15, "r0", false)
		}},
		{"passed over as often as may be", "", func(s *story) {
			s.ask("r0", "r1", "r5")
			s.grant(1, "r1", false)
			s.grant(2, "r5", false)
			s.grant(3, "r0", false)
		}},
		{"passed over once more", "W5: fence 3 of r1 took what r0", func(s *story) {
			s.ask("r0", "r1", "r5", "r1")
			s.items[3].Request = "again"
			s.grant(1, "r1", false)
			s.grant(8, "r5", false)
			s.grant(16, "r1", false)
		}},
		{"passed by what takes nothing of it", "", func(s *story) {
			s.ask("r0", "r1", "r5", "r3")
			s.grant(1, "r1", false)
			s.grant(2, "r5", false)
			s.grant(3, "r3", false)
		}},
		{"the last place in all", "W5: fence 3 of r3 took what r0", func(s *story) {
			s.Limits.MaxOut = 1
			s.ask("r0", "r1", "r5", "r3")
			s.grant(1, "r1", false)
			s.grant(2, "r5", false)
			s.grant(3, "r3", false)
		}},
		{"the last place in its zone", "W5: fence 3 of r3 took what r0", func(s *story) {
			s.Limits.MaxOutPerZone = 1
			s.ask("r0", "r1", "r5", "r3")
			s.grant(1, "r1", false)
			s.grant(2, "r5", false)
			s.grant(3, "r3", false)
		}},
		{"one of the same request", "", func(s *story) {
			s.ask("r0", "r1", "r5", "r4")
			s.items[3].Request, s.items[3].Machine = s.items[0].Request, "r1"
			s.grant(1, "r1", false)
			s.grant(8, "r5", false)
			s.grant(16, "r1", false)
		}},
		{"one that waits and is down", "", func(s *story) {
			s.ask("r0", "r1", "r5", "r1")
			s.items[3].Request = "again"
			s.Limits.FailurePause, s.Limits.MinHolders = 0, 0
			s.Outages = append(s.Outages, Outage{Machine: "r0", From: after(10), Dead: after(10), Warm: after(30)})
			s.grant(1, "r1", false)
			s.grant(8, "r5", false)
			s.grant(16, "r1", false)
		}},
		{"granted before a failure may be known", "", func(s *story) { s.ask("r0"); s.fail("r3", 10); s.grant(12.9, "r0", false) }},
		{"granted within the pause", "W6: fence 1 of r0", func(s *story) { s.ask("r0"); s.fail("r3", 10); s.grant(17.9, "r0", false) }},
		{"granted after the pause", "", func(s *story) { s.ask("r0"); s.fail("r3", 10); s.grant(18.1, "r0", false) }},
		{"granted within a pause that was doubled", "W6: fence 1 of r0", func(s *story) { s.ask("r0"); s.fail("r3", 10); s.fail("r4", 20); s.grant(35.9, "r0", false) }},
		{"granted after it", "", func(s *story) { s.ask("r0"); s.fail("r3", 10); s.fail("r4", 20); s.grant(36.1, "r0", false) }},
		{"two that may be seen as one", "", func(s *story) { s.ask("r0"); s.fail("r3", 10); s.fail("r4", 12); s.grant(20.1, "r0", false) }},
		{"two far apart", "", func(s *story) { s.ask("r0"); s.fail("r3", 10); s.fail("r4", 30); s.grant(38.1, "r0", false) }},
		{"a voter was dead meanwhile", "", func(s *story) {
			s.ask("r0")
			s.fail("r3", 10)
			s.Disturbed[1] = []Span{{after(9), after(14), "killed"}}
			s.grant(15, "r0", false)
		}},
		{"a failure of one that was told", "", func(s *story) {
			s.ask("r3", "r0")
			s.grant(8, "r3", true)
			s.items[0].Phase, s.items[0].AcknowledgedAt = maintenance.Acknowledged, time.Duration(after(9).UnixNano())
			s.fail("r3", 10)
			s.grant(15, "r0", false)
		}},
		{"a part for one that failed while it was told, and is back", "", func(s *story) {
			s.ask("r3")
			s.grant(8, "r3", true)
			s.items[0].Phase, s.items[0].AcknowledgedAt, s.items[0].Until = maintenance.Acknowledged, time.Duration(after(9).UnixNano()), time.Duration(after(90).UnixNano())
			s.Files = append(s.Files, &Seen{Grants: Grants{Index: 2, Items: s.items}})
			s.fail("r3", 10)
			s.Parts = append(s.Parts, Part{after(14), 0, "r3", "q"})
		}},
		{"a query to a process that was told to go, before the tools saw it", "", func(s *story) { s.refused(9.5) }},
		{"a query to one that was not yet told", "query q1-1: process 1 took nothing", func(s *story) { s.refused(8.5) }},
	} {
		s := newStory()
		c.play(s)
		v := s.Check()
		if c.want == "" && len(v.Broken) > 0 || c.want != "" && !slices.ContainsFunc(v.Broken, func(l string) bool { return strings.HasPrefix(l, c.want) }) {
			t.Errorf("%s: %q, wanted %q", c.name, v.Broken, c.want)
		}
	}
}

// refused has a query refused at a time by a co-ordinator that is told to go at 9, which the tools see at 11.
func (s *story) refused(at float64) {
	s.Machines = append(s.Machines, maintenance.Machine{Name: "n0", Kind: maintenance.Coordinator}, maintenance.Machine{Name: "n1", Kind: maintenance.Coordinator})
	s.ask("n1")
	s.grant(8, "n1", true)
	s.items[0].Phase, s.items[0].AcknowledgedAt = maintenance.Acknowledged, time.Duration(after(9).UnixNano())
	s.Files = append(s.Files, &Seen{Grants: Grants{Index: 2, Items: s.items}})
	s.Ending[1] = []Span{{after(11), after(15), "swap"}}
	s.Sent = append(s.Sent, Sent{ID: "q1-1", At: after(at), End: after(at), To: 1, Fate: NotTaken})
}

func (s *story) fail(machine string, at float64) {
	s.Outages = append(s.Outages, Outage{Machine: machine, From: after(at), Dead: after(at), Warm: after(at + 3)})
}

// A schedule of each later kind can be written down and read, and says the same each time.
func TestLaterKinds(t *testing.T) {
	for first, cases := range map[uint64][]string{laterSeeds: LaterCases, latestSeeds: LatestCases} {
		seen := map[string]bool{}
		for seed := first; seed < first+200; seed++ {
			s := NewSchedule(seed, 7)
			back, err := DecodeSchedule(s.Encode())
			if err != nil || back.Encode() != s.Encode() || NewSchedule(seed, 7).Encode() != s.Encode() {
				t.Fatalf("seed %d: %v\n%s", seed, err, s.Encode())
			}
			seen[s.Case] = true
		}
		if len(seen) != len(cases) {
			t.Errorf("kinds %v", seen)
		}
	}
}

func TestBusyTimeCountsOnce(t *testing.T) {
	spans := []Span{{after(0), after(2), ""}, {after(1), after(3), ""}, {after(1.5), after(2), ""}, {after(5), after(6), ""}}
	if got := busyTime(spans); got != 4*time.Second {
		t.Errorf("%v", got)
	}
}
