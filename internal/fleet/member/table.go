package member

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// Of the records.
const (
	// RecordsPerSecond in the whole fleet, at rest: each member sends its own so seldom that they come to no more, but
	// every MinHeartbeatInterval if that is longer. Twice as many: 1.2 KB/s more a node at 300; half: loads are twice as old.
	RecordsPerSecond     = 5
	MinHeartbeatInterval = 5 * time.Second
	// Retransmits: each member passes a record on so often. With 3 some 94 in 100 have it from gossip and the rest from
	// the next; 6 costs twice as much for the last 6.
	Retransmits = 3
	// FirstRetransmits, of the first record of a new process: who misses it knows nothing of it until the next.
	FirstRetransmits = 2 * Retransmits
	// SuspectHeartbeats: after so many beats without a record of its own, a member is suspect though memberlist's probes reach it.
	// Twice as many: a stopped process that others answer for is believed longer; half: two lost packets make a suspect.
	SuspectHeartbeats = 4
	// MinChangeInterval: a change (load by a quarter, pressure by a tenth, voter, version) is sent at once, but not more often.
	MinChangeInterval = 5 * time.Second
	minLoadChange     = 0.25
	minPressureChange = 0.1
)

// memberEntry is all that is known of one.
type memberEntry struct {
	wireRecord
	hasRecord       bool      // a record was heard
	heardAt         time.Time // when, by our own clock
	retransmitsLeft int       // how often it is still to be passed on
	inMemberlist    bool      // memberlist knows it,
	alive           bool      // as alive
	stateSince      time.Time // of that
	node            memberlist.Node
}

type memberTable struct {
	mu              sync.Mutex
	self            wireRecord
	recordMadeAt    time.Time // of the self's record
	loadAt          time.Time
	retransmitsLeft int
	changed         bool
	lastRecord      Record // as sent last
	members         map[string]*memberEntry
	rejected        int            // names over MaxMembers
	toSend          []*memberEntry // reused by broadcast
}

func (n *memberTable) init(o Options) {
	n.self = wireRecord{name: o.Name, zone: o.Zone, incarnation: o.Incarnation}
	n.members = map[string]*memberEntry{}
	n.loadAt = time.Now()
	n.makeRecord(n.loadAt) // memberlist announces this member at once, and a record without a time would pass for a day old
}

// SetRecord says what to send from now on. Small changes wait for the next beat.
func (m *Members) SetRecord(r Record) {
	n := &m.table
	n.mu.Lock()
	defer n.mu.Unlock()
	n.self.Record, n.loadAt = r, time.Now()
	if math.Abs(r.Load-n.lastRecord.Load) > minLoadChange*n.lastRecord.Load || math.Abs(r.Pressure-n.lastRecord.Pressure) > minPressureChange ||
		r.Voter != n.lastRecord.Voter || r.Version != n.lastRecord.Version {
		n.changed = true
	}
}

// heartbeatInterval is how often a member sends its record.
func (n *memberTable) heartbeatInterval() time.Duration {
	return max(MinHeartbeatInterval, time.Duration(len(n.members)+1)*time.Second/RecordsPerSecond)
}

// heartbeat makes the self's record anew if it is time, and forgets the long dead.
func (n *memberTable) heartbeat(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, h := range n.members {
		if !h.alive && now.Sub(h.stateSince) > DeadRetention {
			delete(n.members, name)
		}
	}
	if age := now.Sub(n.recordMadeAt); age >= n.heartbeatInterval() || n.changed && age >= MinChangeInterval {
		n.makeRecord(now)
	}
}

func (n *memberTable) makeRecord(now time.Time) {
	n.self.sequence++
	n.recordMadeAt, n.retransmitsLeft, n.changed, n.lastRecord = now, Retransmits, false, n.self.Record
	if n.self.sequence == 1 {
		n.retransmitsLeft = FirstRetransmits
	}
	n.self.loadAge = now.Sub(n.loadAt)
}

func (n *memberTable) leave() (leaveRecord []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.self.leaving = true
	n.makeRecord(time.Now())
	return n.appendOwn([]byte{kindRecords}, n.recordMadeAt)
}

func (n *memberTable) appendOwn(b []byte, now time.Time) []byte {
	self := n.self
	self.age = now.Sub(n.recordMadeAt)
	return self.append(b)
}

// merge merges records, one after the other.
func (n *memberTable) merge(b []byte, now time.Time) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for len(b) > 0 {
		a, rest, err := parseRecord(b)
		if err != nil {
			return err
		}
		b = rest
		if a.name == n.self.name {
			continue
		}
		h := n.entry(a.name, now)
		if h == nil || h.hasRecord && !a.newerThan(&h.wireRecord) {
			continue
		}
		first := !h.hasRecord || a.incarnation != h.incarnation
		h.wireRecord, h.hasRecord, h.heardAt, h.retransmitsLeft = a, true, now, Retransmits
		if first {
			h.retransmitsLeft = FirstRetransmits
		}
	}
	return nil
}

// entry finds or makes a member's line, or nil if the table is full.
func (n *memberTable) entry(name string, now time.Time) *memberEntry {
	if h := n.members[name]; h != nil {
		return h
	}
	if len(n.members) >= MaxMembers-1 {
		oldest := ""
		for k, h := range n.members {
			if o := n.members[oldest]; !h.alive && (o == nil || h.stateSince.Before(o.stateSince) || h.stateSince.Equal(o.stateSince) && k < oldest) {
				oldest = k
			}
		}
		if oldest == "" {
			n.rejected++
			return nil
		}
		delete(n.members, oldest)
	}
	h := &memberEntry{stateSince: now, wireRecord: wireRecord{name: name}}
	n.members[name] = h
	return h
}

// broadcast gives records to pass on, the freshest first, in at most so many bytes.
func (n *memberTable) broadcast(limit int, now time.Time) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := []byte{kindRecords}
	if n.retransmitsLeft > 0 {
		if next := n.appendOwn(b, now); len(next) <= limit {
			b = next
			n.retransmitsLeft--
		}
	}
	n.toSend = n.toSend[:0]
	for _, h := range n.members {
		if h.retransmitsLeft > 0 {
			n.toSend = append(n.toSend, h)
		}
	}
	slices.SortFunc(n.toSend, func(a, b *memberEntry) int {
		return cmp.Or(b.retransmitsLeft-a.retransmitsLeft, cmp.Compare(a.name, b.name))
	})
	for _, h := range n.toSend {
		a := h.wireRecord
		a.age += now.Sub(h.heardAt)
		next := a.append(b)
		if len(next) > limit {
			break
		}
		b = next
		h.retransmitsLeft--
	}
	if len(b) == 1 {
		return nil
	}
	return b
}

// allRecords gives all records, for an exchange of whole states.
func (n *memberTable) allRecords(now time.Time) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.appendOwn([]byte{kindRecords}, now)
	for _, h := range n.members {
		if h.hasRecord && h.alive {
			a := h.wireRecord
			a.age += now.Sub(h.heardAt)
			b = a.append(b)
		}
	}
	return b
}

func (n *memberTable) setState(node *memberlist.Node, up bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if node.Name == n.self.name {
		return
	}
	now := time.Now()
	if h := n.entry(node.Name, now); h != nil {
		if h.alive != up || !h.inMemberlist {
			h.stateSince = now
		}
		h.inMemberlist, h.alive, h.node = true, up, *node
	}
}

// limit says whether a name may come in.
func (n *memberTable) checkCapacity(name string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if name != n.self.name && n.entry(name, time.Now()) == nil {
		return fmt.Errorf("member: %q is one over the %d members that are remembered", name, MaxMembers)
	}
	return nil
}

func (n *memberTable) noneAlive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.members {
		if h.alive {
			return false
		}
	}
	return true
}

func (n *memberTable) addresses() (live map[string]bool, dead []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	live = map[string]bool{}
	for _, h := range n.members {
		switch {
		case h.alive:
			live[h.node.Address()] = true
		case h.inMemberlist && !h.leaving:
			dead = append(dead, h.node.Address())
		}
	}
	sort.Strings(dead)
	return live, dead
}

// hasUnknownMember says whether a member's recent record has come for at least JoinInterval, but memberlist never announced it.
func (n *memberTable) hasUnknownMember(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.members {
		if h.hasRecord && !h.inMemberlist && !h.leaving && now.Sub(h.stateSince) >= JoinInterval && h.age+now.Sub(h.heardAt) <= SuspectHeartbeats*n.heartbeatInterval() {
			return true
		}
	}
	return false
}

func (n *memberTable) nodes() (out []memberlist.Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.members {
		if h.alive {
			out = append(out, h.node)
		}
	}
	return out
}

func (n *memberTable) node(name string) (memberlist.Node, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.members[name]
	if h == nil || !h.inMemberlist {
		return memberlist.Node{}, false
	}
	return h.node, true
}
