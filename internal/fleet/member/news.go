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
	// RecordsASecond in the whole fleet, at rest: each member tells its own so seldom that they come to no more, but
	// every BeatLeast if that is longer. Twice as many: 1.2 KB/s more a node at 300; half: loads are twice as old.
	RecordsASecond = 5
	BeatLeast      = 5 * time.Second
	// SendsOfEach: each member passes a record on so often. With 3 some 94 in 100 have it from gossip and the rest from
	// the next; 6 costs twice as much for the last 6.
	SendsOfEach = 3
	// SendsOfFirst, of the first record of a new process: who misses it knows nothing of it until the next.
	SendsOfFirst = 2 * SendsOfEach
	// SilentBeats: after so many beats without a word of its own, a member is suspect though the engine's probes reach it.
	// Twice as many: a stopped process that others answer for is believed longer; half: two lost packets make a suspect.
	SilentBeats = 4
	// ChangeEvery: a change (load by a quarter, pressure by a tenth, voter, version) is told at once, but not more often.
	ChangeEvery  = 5 * time.Second
	changeOfLoad = 0.25
	changeOfRest = 0.1
)

// heard is all that is known of one.
type heard struct {
	told
	record bool      // a record was heard
	at     time.Time // when, by our own clock
	sends  int       // still to be passed on so often
	engine bool      // the engine knows it,
	up     bool      // as alive
	since  time.Time // of that
	node   memberlist.Node
}

type news struct {
	mu      sync.Mutex
	self    told
	madeAt  time.Time // of the self's record
	loadAt  time.Time
	sends   int
	changed bool
	last    Record // as told last
	by      map[string]*heard
	refused int      // names over Most
	passed  []*heard // room for some
}

func (n *news) init(o Options) {
	n.self = told{name: o.Name, zone: o.Zone, incarnation: o.Incarnation}
	n.by = map[string]*heard{}
	n.loadAt = time.Now()
	n.make(n.loadAt) // the engine tells of this member at once, and a word without a time would pass for a day old
}

// SetRecord says what to tell from now on. Small changes wait for the next beat.
func (m *Members) SetRecord(r Record) {
	n := &m.news
	n.mu.Lock()
	defer n.mu.Unlock()
	n.self.Record, n.loadAt = r, time.Now()
	if math.Abs(r.Load-n.last.Load) > changeOfLoad*n.last.Load || math.Abs(r.Pressure-n.last.Pressure) > changeOfRest ||
		r.Voter != n.last.Voter || r.Version != n.last.Version {
		n.changed = true
	}
}

// every is how often a member tells its record.
func (n *news) every() time.Duration {
	return max(BeatLeast, time.Duration(len(n.by)+1)*time.Second/RecordsASecond)
}

// beat makes the self's record anew if it is time, and forgets the long dead.
func (n *news) beat(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, h := range n.by {
		if !h.up && now.Sub(h.since) > ForgetDead {
			delete(n.by, name)
		}
	}
	if age := now.Sub(n.madeAt); age >= n.every() || n.changed && age >= ChangeEvery {
		n.make(now)
	}
}

func (n *news) make(now time.Time) {
	n.self.seq++
	n.madeAt, n.sends, n.changed, n.last = now, SendsOfEach, false, n.self.Record
	if n.self.seq == 1 {
		n.sends = SendsOfFirst
	}
	n.self.loadAge = now.Sub(n.loadAt)
}

func (n *news) leave() (farewell []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.self.leaving = true
	n.make(time.Now())
	return n.own([]byte{kindRecords}, n.madeAt)
}

func (n *news) own(b []byte, now time.Time) []byte {
	self := n.self
	self.age = now.Sub(n.madeAt)
	return self.append(b)
}

// take hears records, one after the other.
func (n *news) take(b []byte, now time.Time) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for len(b) > 0 {
		a, rest, err := takeRecord(b)
		if err != nil {
			return err
		}
		b = rest
		if a.name == n.self.name {
			continue
		}
		h := n.get(a.name, now)
		if h == nil || h.record && !a.newerThan(&h.told) {
			continue
		}
		first := !h.record || a.incarnation != h.incarnation
		h.told, h.record, h.at, h.sends = a, true, now, SendsOfEach
		if first {
			h.sends = SendsOfFirst
		}
	}
	return nil
}

// get finds or makes a member's line, or nil if there is no room.
func (n *news) get(name string, now time.Time) *heard {
	if h := n.by[name]; h != nil {
		return h
	}
	if len(n.by) >= Most-1 {
		oldest := ""
		for k, h := range n.by {
			if o := n.by[oldest]; !h.up && (o == nil || h.since.Before(o.since) || h.since.Equal(o.since) && k < oldest) {
				oldest = k
			}
		}
		if oldest == "" {
			n.refused++
			return nil
		}
		delete(n.by, oldest)
	}
	h := &heard{since: now, told: told{name: name}}
	n.by[name] = h
	return h
}

// some gives records to pass on, the freshest first, in at most so many bytes.
func (n *news) some(room int, now time.Time) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := []byte{kindRecords}
	if n.sends > 0 {
		if next := n.own(b, now); len(next) <= room {
			b = next
			n.sends--
		}
	}
	n.passed = n.passed[:0]
	for _, h := range n.by {
		if h.sends > 0 {
			n.passed = append(n.passed, h)
		}
	}
	slices.SortFunc(n.passed, func(a, b *heard) int { return cmp.Or(b.sends-a.sends, cmp.Compare(a.name, b.name)) })
	for _, h := range n.passed {
		a := h.told
		a.age += now.Sub(h.at)
		next := a.append(b)
		if len(next) > room {
			break
		}
		b = next
		h.sends--
	}
	if len(b) == 1 {
		return nil
	}
	return b
}

// all gives all records, for an exchange of whole states.
func (n *news) all(now time.Time) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.own([]byte{kindRecords}, now)
	for _, h := range n.by {
		if h.record && h.up {
			a := h.told
			a.age += now.Sub(h.at)
			b = a.append(b)
		}
	}
	return b
}

func (n *news) engine(node *memberlist.Node, up bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if node.Name == n.self.name {
		return
	}
	now := time.Now()
	if h := n.get(node.Name, now); h != nil {
		if h.up != up || !h.engine {
			h.since = now
		}
		h.engine, h.up, h.node = true, up, *node
	}
}

// room says whether a name may come in.
func (n *news) room(name string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if name != n.self.name && n.get(name, time.Now()) == nil {
		return fmt.Errorf("member: %q is one over the %d members that are remembered", name, Most)
	}
	return nil
}

func (n *news) alone() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.by {
		if h.up {
			return false
		}
	}
	return true
}

func (n *news) addresses() (there map[string]bool, dead []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	there = map[string]bool{}
	for _, h := range n.by {
		switch {
		case h.up:
			there[h.node.Address()] = true
		case h.engine && !h.leaving:
			dead = append(dead, h.node.Address())
		}
	}
	sort.Strings(dead)
	return there, dead
}

// strange says whether somebody's recent word has come for at least JoinEvery, but the engine never told of him.
func (n *news) strange(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.by {
		if h.record && !h.engine && !h.leaving && now.Sub(h.since) >= JoinEvery && h.age+now.Sub(h.at) <= SilentBeats*n.every() {
			return true
		}
	}
	return false
}

func (n *news) nodes() (out []memberlist.Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.by {
		if h.up {
			out = append(out, h.node)
		}
	}
	return out
}

func (n *news) node(name string) (memberlist.Node, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.by[name]
	if h == nil || !h.engine {
		return memberlist.Node{}, false
	}
	return h.node, true
}
