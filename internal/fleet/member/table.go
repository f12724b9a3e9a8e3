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

// Settings for sending records.
const (
	// RecordsPerSecond is the rate of records in the whole idle fleet. Each member makes a record at the interval that gives this rate, or
	// every MinHeartbeatInterval if that is longer. Doubling the rate would cost 1.2 KB/s more per node at 300 members; with half,
	// loads would be twice as old.
	RecordsPerSecond = 5
	// MinHeartbeatInterval is the minimum interval of regular records.
	MinHeartbeatInterval = 5 * time.Second
	// Retransmits is the number of times that each member passes a record on. With 3, about 94 of 100 members get a record by gossip and
	// the others get the next one; 6 would cost twice as much to reach the remaining 6.
	Retransmits = 3
	// FirstRetransmits is the same number for the first record of a new process. It is higher because a member that misses this record
	// knows nothing about the process until the next one.
	FirstRetransmits = 2 * Retransmits
	// SuspectHeartbeats is the number of heartbeat intervals without a new record after which a member is Suspect although memberlist's
	// probes reach it. With twice as many, a stopped process for which others answer would be trusted longer; with half, two lost
	// packets would make a member Suspect.
	SuspectHeartbeats = 4
	// MinChangeInterval is the minimum interval of records sent because of a change: load by a quarter, pressure by 0.1, voter or version.
	// Such a change is otherwise sent at once.
	MinChangeInterval = 5 * time.Second
	minLoadChange     = 0.25
	minPressureChange = 0.1
)

// memberEntry is the table entry of one other member.
type memberEntry struct {
	wireRecord
	hasRecord       bool      // a record has arrived
	receivedAt      time.Time // when the record arrived, by the local clock
	retransmitsLeft int       // how many times the record is still to be passed on
	inMemberlist    bool      // memberlist has announced it
	alive           bool      // memberlist reports it as alive
	stateSince      time.Time // when the entry was made, or inMemberlist or alive last changed
	node            memberlist.Node
}

type memberTable struct {
	mu              sync.Mutex
	self            wireRecord
	recordMadeAt    time.Time // when the last record of self was made
	loadAt          time.Time
	retransmitsLeft int
	changed         bool
	lastRecord      Record // the record as last made
	members         map[string]*memberEntry
	rejected        int            // number of names rejected because of MaxMembers
	toSend          []*memberEntry // scratch buffer of broadcast
}

func (t *memberTable) init(o Options) {
	t.self = wireRecord{name: o.Name, zone: o.Zone, incarnation: o.Incarnation}
	t.members = map[string]*memberEntry{}
	t.loadAt = time.Now()
	t.makeRecord(t.loadAt) // memberlist may ask for the record at once, and one without a time would seem a day old
}

// SetRecord sets the record to send from now on. Small changes wait for the next heartbeat.
func (m *Members) SetRecord(r Record) {
	t := &m.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Record, t.loadAt = r, time.Now()
	if math.Abs(r.Load-t.lastRecord.Load) > minLoadChange*t.lastRecord.Load || math.Abs(r.Pressure-t.lastRecord.Pressure) > minPressureChange ||
		r.Voter != t.lastRecord.Voter || r.Version != t.lastRecord.Version {
		t.changed = true
	}
}

// heartbeatInterval returns the interval at which each member makes a new record.
func (t *memberTable) heartbeatInterval() time.Duration {
	return max(MinHeartbeatInterval, time.Duration(len(t.members)+1)*time.Second/RecordsPerSecond)
}

// heartbeat makes a new record of this member if one is due, and forgets members that have been dead for DeadRetention.
func (t *memberTable) heartbeat(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, e := range t.members {
		if !e.alive && now.Sub(e.stateSince) > DeadRetention {
			delete(t.members, name)
		}
	}
	if age := now.Sub(t.recordMadeAt); age >= t.heartbeatInterval() || t.changed && age >= MinChangeInterval {
		t.makeRecord(now)
	}
}

func (t *memberTable) makeRecord(now time.Time) {
	t.self.sequence++
	t.recordMadeAt, t.retransmitsLeft, t.changed, t.lastRecord = now, Retransmits, false, t.self.Record
	if t.self.sequence == 1 {
		t.retransmitsLeft = FirstRetransmits
	}
	t.self.loadAge = now.Sub(t.loadAt)
}

func (t *memberTable) leave() (leaveRecord []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.leaving = true
	t.makeRecord(time.Now())
	return t.appendOwn([]byte{kindRecords}, t.recordMadeAt)
}

func (t *memberTable) appendOwn(b []byte, now time.Time) []byte {
	self := t.self
	self.age = now.Sub(t.recordMadeAt)
	return self.append(b)
}

// merge parses a sequence of records and stores those of other members that are newer than the known ones.
func (t *memberTable) merge(b []byte, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(b) > 0 {
		r, rest, err := parseRecord(b)
		if err != nil {
			return err
		}
		b = rest
		if r.name == t.self.name {
			continue
		}
		e := t.entry(r.name, now)
		if e == nil || e.hasRecord && !r.newerThan(&e.wireRecord) {
			continue
		}
		first := !e.hasRecord || r.incarnation != e.incarnation
		e.wireRecord, e.hasRecord, e.receivedAt, e.retransmitsLeft = r, true, now, Retransmits
		if first {
			e.retransmitsLeft = FirstRetransmits
		}
	}
	return nil
}

// entry returns the entry of a member and creates it if needed. It returns nil if the table is full of alive members.
func (t *memberTable) entry(name string, now time.Time) *memberEntry {
	if e := t.members[name]; e != nil {
		return e
	}
	if len(t.members) >= MaxMembers-1 {
		oldest := ""
		for k, e := range t.members {
			if o := t.members[oldest]; !e.alive && (o == nil || e.stateSince.Before(o.stateSince) || e.stateSince.Equal(o.stateSince) && k < oldest) {
				oldest = k
			}
		}
		if oldest == "" {
			t.rejected++
			return nil
		}
		delete(t.members, oldest)
	}
	e := &memberEntry{stateSince: now, wireRecord: wireRecord{name: name}}
	t.members[name] = e
	return e
}

// broadcast returns a message of at most limit bytes with this member's record and then those to pass on, the newest
// (with the most retransmits left) first. It returns nil if there is none.
func (t *memberTable) broadcast(limit int, now time.Time) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := []byte{kindRecords}
	if t.retransmitsLeft > 0 {
		if next := t.appendOwn(b, now); len(next) <= limit {
			b = next
			t.retransmitsLeft--
		}
	}
	t.toSend = t.toSend[:0]
	for _, e := range t.members {
		if e.retransmitsLeft > 0 {
			t.toSend = append(t.toSend, e)
		}
	}
	slices.SortFunc(t.toSend, func(a, b *memberEntry) int {
		return cmp.Or(b.retransmitsLeft-a.retransmitsLeft, cmp.Compare(a.name, b.name))
	})
	for _, e := range t.toSend {
		r := e.wireRecord
		r.age += now.Sub(e.receivedAt)
		next := r.append(b)
		if len(next) > limit {
			break
		}
		b = next
		e.retransmitsLeft--
	}
	if len(b) == 1 {
		return nil
	}
	return b
}

// allRecords returns a message with the records of this member and all alive members, for a full state exchange.
func (t *memberTable) allRecords(now time.Time) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.appendOwn([]byte{kindRecords}, now)
	for _, e := range t.members {
		if e.hasRecord && e.alive {
			r := e.wireRecord
			r.age += now.Sub(e.receivedAt)
			b = r.append(b)
		}
	}
	return b
}

func (t *memberTable) setState(node *memberlist.Node, up bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if node.Name == t.self.name {
		return
	}
	now := time.Now()
	if e := t.entry(node.Name, now); e != nil {
		if e.alive != up || !e.inMemberlist {
			e.stateSince = now
		}
		e.inMemberlist, e.alive, e.node = true, up, *node
	}
}

// checkCapacity returns an error if the table has no room for a new name.
func (t *memberTable) checkCapacity(name string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if name != t.self.name && t.entry(name, time.Now()) == nil {
		return fmt.Errorf("member: %q exceeds the maximum of %d members", name, MaxMembers)
	}
	return nil
}

func (t *memberTable) noneAlive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.members {
		if e.alive {
			return false
		}
	}
	return true
}

func (t *memberTable) addresses() (live map[string]bool, dead []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	live = map[string]bool{}
	for _, e := range t.members {
		switch {
		case e.alive:
			live[e.node.Address()] = true
		case e.inMemberlist && !e.leaving:
			dead = append(dead, e.node.Address())
		}
	}
	sort.Strings(dead)
	return live, dead
}

// hasUnknownMember reports whether there is a member with a recent record, known for at least JoinInterval, that memberlist has not announced.
func (t *memberTable) hasUnknownMember(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.members {
		if e.hasRecord && !e.inMemberlist && !e.leaving && now.Sub(e.stateSince) >= JoinInterval && e.age+now.Sub(e.receivedAt) <= SuspectHeartbeats*t.heartbeatInterval() {
			return true
		}
	}
	return false
}

func (t *memberTable) nodes() (out []memberlist.Node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.members {
		if e.alive {
			out = append(out, e.node)
		}
	}
	return out
}

func (t *memberTable) node(name string) (memberlist.Node, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.members[name]
	if e == nil || !e.inMemberlist {
		return memberlist.Node{}, false
	}
	return e.node, true
}
