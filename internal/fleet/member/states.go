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
	Alive   State = "alive"   // memberlist's probes reach it and its own record is recent
	Suspect State = "suspect" // the probes reach it, its own record is old
	Dead    State = "dead"
	Left    State = "left" // it announced that it leaves
)

// Member is one line of what is known.
type Member struct {
	Name, Zone  string
	State       State
	Age         time.Duration // since its own last record was made; for Dead and Left since that was heard
	Addr        string
	Load        float64
	LoadAge     time.Duration // of Load and Pressure
	Pressure    float64
	Incarnation uint64
	Voter       bool
	Version     string
}

func (n *memberTable) member(h *memberEntry, now time.Time) Member {
	m := Member{Name: h.name, State: Unknown, Age: now.Sub(h.stateSince)}
	if h.inMemberlist {
		m.Addr = h.node.Address()
	}
	if h.hasRecord {
		age := h.age + now.Sub(h.heardAt)
		m.Zone, m.Load, m.Pressure, m.Incarnation = h.zone, h.Load, h.Pressure, h.incarnation
		m.Voter, m.Version, m.LoadAge, m.Age = h.Voter, h.Version, h.loadAge+age, age
	}
	switch {
	case !h.inMemberlist:
	case !h.alive && h.hasRecord && h.leaving:
		m.State, m.Age = Left, now.Sub(h.stateSince)
	case !h.alive:
		m.State, m.Age = Dead, now.Sub(h.stateSince)
	case !h.hasRecord:
	case m.Age > SuspectHeartbeats*n.heartbeatInterval() || h.leaving:
		m.State = Suspect
	default:
		m.State = Alive
	}
	return m
}

// Members are all that are remembered and this one, by name.
func (m *Members) Members() []Member {
	n := &m.table
	n.mu.Lock()
	now := time.Now()
	out := []Member{{Name: n.self.name, Zone: n.self.zone, State: Alive, Load: n.self.Load, Pressure: n.self.Pressure,
		LoadAge: now.Sub(n.loadAt), Incarnation: n.self.incarnation, Voter: n.self.Voter, Version: n.self.Version}}
	for _, h := range n.members {
		out = append(out, n.member(h, now))
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
	return Member{Name: name, State: Unknown, Age: maxAge, LoadAge: maxAge}
}
