package member

import (
	"sort"
	"time"
)

// State is the state of a member as known to this process.
type State string

// The states of a member.
const (
	Unknown State = "unknown" // not announced by memberlist, without a record yet, or forgotten; not healthy
	Alive   State = "alive"   // memberlist's probes reach it and its own record is recent
	Suspect State = "suspect" // memberlist's probes reach it, but its own record is old
	Dead    State = "dead"    // memberlist's probes failed
	Left    State = "left"    // it announced that it was leaving
)

// Member is what this process knows about one member.
type Member struct {
	Name, Zone  string
	State       State
	Age         time.Duration // since the member made its last record; for Dead and Left, since that state was seen
	Addr        string
	Load        float64
	LoadAge     time.Duration // of Load and Pressure
	Pressure    float64
	Incarnation uint64
	Voter       bool
	Version     string
}

func (t *memberTable) member(e *memberEntry, now time.Time) Member {
	m := Member{Name: e.name, State: Unknown, Age: now.Sub(e.stateSince)}
	if e.inMemberlist {
		m.Addr = e.node.Address()
	}
	if e.hasRecord {
		age := e.age + now.Sub(e.receivedAt)
		m.Zone, m.Load, m.Pressure, m.Incarnation = e.zone, e.Load, e.Pressure, e.incarnation
		m.Voter, m.Version, m.LoadAge, m.Age = e.Voter, e.Version, e.loadAge+age, age
	}
	switch {
	case !e.inMemberlist:
	case !e.alive && e.hasRecord && e.leaving:
		m.State, m.Age = Left, now.Sub(e.stateSince)
	case !e.alive:
		m.State, m.Age = Dead, now.Sub(e.stateSince)
	case !e.hasRecord:
	case m.Age > SuspectHeartbeats*t.heartbeatInterval() || e.leaving:
		m.State = Suspect
	default:
		m.State = Alive
	}
	return m
}

// Members returns all known members and this one, sorted by name.
func (m *Members) Members() []Member {
	t := &m.table
	t.mu.Lock()
	now := time.Now()
	out := []Member{{Name: t.self.name, Zone: t.self.zone, State: Alive, Load: t.self.Load, Pressure: t.self.Pressure,
		LoadAge: now.Sub(t.loadAt), Incarnation: t.self.incarnation, Voter: t.self.Voter, Version: t.self.Version}}
	for _, e := range t.members {
		out = append(out, t.member(e, now))
	}
	t.mu.Unlock()
	out[0].Addr = m.Addr()
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Member returns the member with this name, in state Unknown if the name is not known.
func (m *Members) Member(name string) Member {
	for _, x := range m.Members() {
		if x.Name == name {
			return x
		}
	}
	return Member{Name: name, State: Unknown, Age: maxAge, LoadAge: maxAge}
}
