package harness

import (
	"fmt"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// Terms are what a schedule has otherwise than the rest; what is zero is as ever.
type Terms struct {
	Calm       time.Duration    `json:"calm,omitempty"`
	LoadAge    time.Duration    `json:"load_age,omitempty"`
	ListAge    time.Duration    `json:"list_age,omitempty"`
	Answer     time.Duration    `json:"answer,omitempty"` // of a stand-in replica
	Bears      float64          `json:"bears,omitempty"`  // parts out at once
	Rate       float64          `json:"rate,omitempty"`   // queries/s at first
	Holders    int              `json:"holders,omitempty"`
	OutByZone  int              `json:"out_by_zone,omitempty"`
	PassedMost int              `json:"passed_most,omitempty"`
	Only       maintenance.Kind `json:"only,omitempty"`     // machines of this kind alone are swapped
	Turns      bool             `json:"turns,omitempty"`    // a routine request for one replica and urgent ones for those that share its shards
	Sessions   int              `json:"sessions,omitempty"` // pinned ones, with a client each
	Both       int              `json:"both,omitempty"`     // one of so many of their clients asks at two co-ordinators; 0: none
	Wait       time.Duration    `json:"wait,omitempty"`     // of their clients for what may run twice
	Storm      time.Duration    `json:"storm,omitempty"`    // for which payers in lanes ask more than the fleet bears; 0: there are none
	Relays     bool             `json:"relays,omitempty"`   // discovery and replicas have relays before them too
}

func or[T comparable](x, otherwise T) T {
	var zero T
	if x == zero {
		return otherwise
	}
	return x
}

// limits are the site's by the terms.
func (t *Terms) limits() maintenance.Limits {
	l := siteLimits()
	l.FailurePause, l.MaxLoadAge, l.MaxInventoryAge = or(t.Calm, l.FailurePause), or(t.LoadAge, l.MaxLoadAge), or(t.ListAge, l.MaxInventoryAge)
	l.MinHolders, l.MaxOutPerZone, l.MaxPassedOver = or(t.Holders, l.MinHolders), or(t.OutByZone, l.MaxOutPerZone), or(t.PassedMost, l.MaxPassedOver)
	return l
}

// turnsRounds of urgent requests: far more than may pass the routine one.
const turnsRounds = 4

// turns are the machines of a schedule with Turns, in the order of asking: the first by itself, the others urgent.
// Those hold one of its two shards each, so that one of them can always go while it can't.
func turns() []string {
	out := []string{"r0"}
	for range turnsRounds {
		out = append(out, "r1", "r5", "r7", "r11")
	}
	return out
}

// swaps tells whether machines of a kind are swapped.
func (c *Cluster) swaps(k maintenance.Kind) bool {
	if only := c.opt.Terms.Only; only != "" && only != k {
		return false
	}
	return k == maintenance.Replica && c.opt.Replicas || k == maintenance.Coordinator && c.opt.Also
}

// wants sets down what is to be done in the end.
func (c *Cluster) wants() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.opt.Terms.Turns {
		for _, name := range turns() {
			c.wanted[name] = true
		}
		return
	}
	for _, m := range c.h.Machines {
		if c.swaps(m.Kind) {
			c.wanted[m.Name] = true
		}
	}
}

// asked is the work that an act asks for.
func (c *Cluster) asked(ask Act) []map[string]any {
	work := func(what map[string]any, reason string) map[string]any {
		what["reason"], what["for_s"] = reason, workTime.Seconds()
		return what
	}
	out := []map[string]any{}
	switch {
	case ask == "":
	case ask == DoAsk2: // of two holders of the same shards, the other one
		names := []string{}
		for i := replicas / 2; i < replicas; i++ {
			names = append(names, fmt.Sprintf("r%d", i))
		}
		out = append(out, work(map[string]any{"names": names}, "swap of some"))
	case c.opt.Terms.Turns:
		for i, name := range turns() {
			w := work(map[string]any{"names": []string{name}}, fmt.Sprintf("work %d", i))
			if i > 0 {
				w["priority"] = "urgent"
			}
			out = append(out, w)
		}
	default:
		for _, k := range []maintenance.Kind{maintenance.Replica, maintenance.Coordinator} {
			if c.swaps(k) {
				out = append(out, work(map[string]any{"kind": k}, "swap of all"))
			}
		}
	}
	return out
}
