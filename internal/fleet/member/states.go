package member

import (
	"sort"
	"time"
)

// State of a member, as far as is known here.
type State string

// States of a member.
const (
	Unknown State = "unknown" // never heard, or forgotten: not healthy
	Alive   State = "alive"   // the engine's probes reach it and its own word is recent
	Suspect State = "suspect" // the probes reach it, its own word is old
	Dead    State = "dead"
	Left    State = "left" // it said that it goes
)

// Member is one line of what is known.
type Member struct {
	Name, Zone  string
	State       State
	Age         time.Duration // since its own last word was made; for Dead and Left since that was heard
	Addr        string
	Load        float64
	LoadAge     time.Duration // of Load and Pressure
	Pressure    float64
	Incarnation uint64
	Voter       bool
	Version     string
}

func (n *news) line(h *heard, now time.Time) Member {
	m := Member{Name: h.name, State: Unknown, Age: now.Sub(h.since)}
	if h.engine {
		m.Addr = h.node.Address()
	}
	if h.record {
		age := h.age + now.Sub(h.at)
		m.Zone, m.Load, m.Pressure, m.Incarnation = h.zone, h.Load, h.Pressure, h.incarnation
		m.Voter, m.Version, m.LoadAge, m.Age = h.Voter, h.Version, h.loadAge+age, age
	}
	switch {
	case !h.engine:
	case !h.up && h.record && h.leaving:
		m.State, m.Age = Left, now.Sub(h.since)
	case !h.up:
		m.State, m.Age = Dead, now.Sub(h.since)
	case !h.record:
	case m.Age > SilentBeats*n.every() || h.leaving:
		m.State = Suspect
	default:
		m.State = Alive
	}
	return m
}

// Members are all that are remembered and this one, by name.
func (m *Members) Members() []Member {
	n := &m.news
	n.mu.Lock()
	now := time.Now()
	out := []Member{{Name: n.self.name, Zone: n.self.zone, State: Alive, Load: n.self.Load, Pressure: n.self.Pressure,
		LoadAge: now.Sub(n.loadAt), Incarnation: n.self.incarnation, Voter: n.self.Voter, Version: n.self.Version}}
	for _, h := range n.by {
		out = append(out, n.line(h, now))
	}
	n.mu.Unlock()
	out[0].Addr = m.Addr()
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Member is one of them; one that was never heard of is Unknown.
func (m *Members) Member(name string) Member {
	for _, x := range m.Members() {
		if x.Name == name {
			return x
		}
	}
	return Member{Name: name, State: Unknown, Age: ageMost, LoadAge: ageMost}
}
