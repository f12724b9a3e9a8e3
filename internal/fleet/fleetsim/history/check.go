package history

import (
	"fmt"
	"sort"
	"time"
)

// Checker follows one history. Add gives the first promise that is broken, with the evidence.
type Checker struct {
	now      time.Duration
	rules    Rules
	machines map[string]*truth
	names    []string // sorted
	items    map[itemKey]*standing
	order    []*standing          // by asking
	running  map[string]*standing // by machine: the live one
	fence    uint64
	moved    time.Duration   // the last grant or failure
	known    bool            // something was asked for of machines that are known, so the inventory is
	commands map[string]bool // that have granted
	peers    map[string]*peer
	majority bool
	lostAt   time.Duration // when the majority was lost
	Figures  Figures
}

// Figures are what a history came to.
type Figures struct {
	Grants, Told, Went, Lapsed, Failures, Unplanned int
	CutOffSends                                     int // machines a co-ordinator without a lease went on sending to, though told
	GrantToTold                                     []time.Duration
	WentAt                                          []time.Duration
	Done                                            int
	LastDone                                        time.Duration
	Cycles                                          time.Duration // from grant to done, of all done
	Waves                                           int           // goes that began while none was out
}

type truth struct {
	Machine
	up       bool
	warm     time.Duration
	failedAt time.Duration // newest end without a plan; -1: never
	planned  bool          // out, or cold after it, by the plan
	goes     time.Duration // when it was taken
	overdue  time.Duration // planned until here
	counts   bool          // there is a failure of it for W6, the newest at countsAt
	countsAt time.Duration
	again    bool     // it rose after a failure, not after work by the plan
	lax      flapping // by the widest reading of the news' age: what is excused
	sure     flapping // by the narrowest: what is held against the fleet
}

type standing struct {
	Item
	granted, told time.Duration
	passed        int
	went          bool
	rose          bool // its machine was up again since it was told: co-ordinators may send to it
}

type peer struct {
	skips map[string]bool // machines that it does not send to
	lease time.Duration
	on    bool
	said  map[string]uint64 // by machine, the newest grant whose drain it said to have laid, on a disk that is kept
}

// New is a checker that knows of nothing yet.
func New() *Checker {
	return &Checker{machines: map[string]*truth{}, items: map[itemKey]*standing{}, running: map[string]*standing{}, commands: map[string]bool{},
		peers: map[string]*peer{}, majority: true}
}

// Add takes the next event.
func (c *Checker) Add(e Event) error {
	if e.At < c.now {
		return fmt.Errorf("history: an event of %v after one of %v", e.At, c.now)
	}
	c.now = e.At
	switch e.Kind {
	case Limits:
		c.rules = e.Rules
	case Joined:
		c.machines[e.Name] = &truth{Machine: e.Machine, up: true, warm: e.Warm, failedAt: -1}
		c.names = append(c.names, e.Name)
		sort.Strings(c.names)
	case Taken:
		return c.taken(e)
	case Failed:
		c.Figures.Failures++
		c.down(c.machines[e.Name], e)
	case Risen:
		m := c.machines[e.Name]
		m.up, m.warm = true, e.Warm
		m.lax.rose, m.sure.rose = e.At, e.At
		m.again = m.failedAt >= 0 && !m.planned
		if s := c.live(e.Name); s != nil {
			s.rose = s.Phase != "granted"
		}
		if m.planned && e.At > m.overdue {
			m.planned, m.failedAt = false, m.overdue
		}
	case Committed:
		return c.committed(e)
	case Sends:
		p := c.peer(e.By)
		p.skips[e.Name] = !e.On
		return c.sends(e.By, e.Name)
	case Leased:
		p := c.peer(e.By)
		p.lease = max(p.lease, e.Until)
		for _, s := range c.order {
			if c.running[s.Machine] != s {
				continue
			}
			if err := c.sends(e.By, s.Machine); err != nil {
				return err
			}
		}
	case Said:
		p := c.peer(e.By)
		if p.said == nil {
			p.said = map[string]uint64{}
		}
		p.said[e.Name] = e.Fence
	case Serving:
		if e.Lost {
			c.peer(e.By).said = nil
		}
		c.peer(e.By).on = e.On
		if !e.On { // its process ended: whatever it starts with, it has no lease yet
			c.peer(e.By).lease = 0
		}
	case Majority:
		if c.majority && !e.On {
			c.lostAt = e.At
		}
		c.majority = e.On
	case Ended:
		return c.ended(e)
	default:
		return fmt.Errorf("history: unknown kind of event %q", e.Kind)
	}
	return nil
}

func (c *Checker) peer(name string) *peer {
	p := c.peers[name]
	if p == nil {
		p = &peer{skips: map[string]bool{}}
		c.peers[name] = p
	}
	return p
}

type itemKey struct {
	request, machine string
	asked            time.Duration
}

// live is the item of a machine that has not ended.
func (c *Checker) live(machine string) *standing { return c.running[machine] }

func running(phase string) bool {
	return phase == "granted" || phase == "told" || phase == "out" || phase == "back"
}

// committed checks one change of the agreed state: W4, W7 and the count for W5.
func (c *Checker) committed(e Event) error {
	c.known = true
	key := itemKey{e.Item.Request, e.Item.Machine, e.Item.Asked}
	old := c.items[key]
	if old == nil {
		old = &standing{Item: e.Item}
		old.Phase = "asked"
		c.items[key] = old
		c.order = append(c.order, old)
		sort.SliceStable(c.order, func(i, j int) bool { return c.order[i].Order < c.order[j].Order })
	}
	was := old.Phase
	if !follows(was, e.Item.Phase) {
		return fmt.Errorf("W4: %s of %s went from %s to %s in entry %d", old.Machine, old.Request, was, e.Item.Phase, e.Index)
	}
	if running(was) && e.Item.Fence != old.Fence {
		return fmt.Errorf("W4: the live grant of %s changed its number from %d to %d", old.Machine, old.Fence, e.Item.Fence)
	}
	if was == "asked" && e.Item.Phase == "granted" {
		if other := c.live(old.Machine); other != nil {
			return fmt.Errorf("W4: %s was granted to %s while it is %s for %s", old.Machine, old.Request, other.Phase, other.Request)
		}
		if e.Item.Fence <= c.fence {
			return fmt.Errorf("W4: the grant of %s has number %d after %d", old.Machine, e.Item.Fence, c.fence)
		}
		c.fence = e.Item.Fence
		if e.Voters*2 <= e.Of {
			return fmt.Errorf("W7: the grant of %s in entry %d was stored by %d of %d voters", old.Machine, e.Index, e.Voters, e.Of)
		}
		if !c.majority && e.Stored > c.lostAt+time.Second {
			return fmt.Errorf("W7: %s was granted %v after the majority was lost", old.Machine, e.At-c.lostAt)
		}
	}
	old.Item = e.Item
	if running(e.Item.Phase) {
		c.running[old.Machine] = old
	} else if c.running[old.Machine] == old {
		delete(c.running, old.Machine)
	}
	if m := c.machines[old.Machine]; m != nil && m.planned && running(e.Item.Phase) { // once seen out, it may be so for longer
		m.overdue = e.Item.Lapses
	}
	switch {
	case was == e.Item.Phase:
	case e.Item.Phase == "granted":
		old.granted = e.At
		c.Figures.Grants++
		c.moved = e.At
		if c.commands[e.Command] && e.Command != "" {
			return fmt.Errorf("W4: the command %s granted %s, and had granted before", e.Command, old.Machine)
		}
		c.commands[e.Command] = true
		if err := c.room(old); err != nil {
			return err
		}
		if err := c.calm(old); err != nil {
			return err
		}
		return c.passed(old)
	case e.Item.Phase == "told":
		old.told = e.At
		// Down since the grant, and not seen so before it was told: what is seen of it now is taken for its going.
		if m := c.machines[old.Machine]; m != nil && m.countsAt >= old.granted && c.now <= m.countsAt+c.rules.Slack {
			m.counts = false
		}
		c.Figures.Told++
		c.Figures.GrantToTold = append(c.Figures.GrantToTold, e.At-old.granted)
		for _, by := range c.peerNames() {
			if err := c.sends(by, old.Machine); err != nil {
				return err
			}
		}
	case e.Item.Phase == "done":
		c.Figures.Done++
		c.Figures.LastDone = e.At
		c.Figures.Cycles += e.At - old.granted
	case e.Item.Phase == "lapsed":
		c.Figures.Lapsed++
	}
	return nil
}

func follows(from, to string) bool {
	if from == to {
		return true
	}
	next := map[string]string{
		// Out or back at once, when it was told: it was down already, or has started anew.
		"asked": "granted withdrawn refused lapsed", "granted": "told out back lapsed withdrawn",
		"told": "out back lapsed withdrawn", "out": "back done lapsed", "back": "done out lapsed",
	}
	for _, name := range split(next[from]) {
		if name == to {
			return true
		}
	}
	return false
}

func split(s string) (words []string) {
	for start, i := 0, 0; i <= len(s); i++ {
		if i == len(s) || s[i] == ' ' {
			if i > start {
				words = append(words, s[start:i])
			}
			start = i + 1
		}
	}
	return words
}

func (c *Checker) peerNames() []string {
	names := make([]string, 0, len(c.peers))
	for name := range c.peers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// sends checks that no co-ordinator whose lease holds sends anything new to a machine that was told and may be out.
func (c *Checker) sends(by, machine string) error {
	p, s := c.peer(by), c.live(machine)
	if s == nil || s.Phase == "granted" || s.Phase == "back" || s.rose || !p.on || p.skips[machine] || by == machine {
		return nil
	}
	if m := c.machines[machine]; m == nil || !m.Replica {
		return nil
	}
	if c.now < p.lease && !c.alone(by, machine) {
		return fmt.Errorf("told: %s sends to %s, whose grant %d was told at %v, and its lease holds until %v",
			by, machine, s.Fence, s.told, p.lease)
	}
	if s.Phase == "told" && p.said[machine] == s.Fence && c.now < s.Lapses-2*c.rules.Skew && !c.alone(by, machine) {
		return fmt.Errorf("told: %s sends to %s, whose grant %d was told at %v, and had said that its drain is laid",
			by, machine, s.Fence, s.told)
	}
	c.Figures.CutOffSends++
	return nil
}
