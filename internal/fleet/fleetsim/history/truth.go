package history

import (
	"fmt"
	"time"
)

// holders gives the replicas that hold a shard.
func (c *Checker) holders(shard int) []string {
	var names []string
	for _, name := range c.names {
		if m := c.machines[name]; m.Replica && c.holds(m.Cell, shard) {
			names = append(names, name)
		}
	}
	return names
}

func (c *Checker) holds(cell, shard int) bool {
	if c.rules.Cells == 0 {
		return false
	}
	off := (cell - shard) % c.rules.Cells
	if off < 0 {
		off += c.rules.Cells
	}
	return off < c.rules.Reach
}

// taken checks that a machine that truly goes by the plan leaves enough behind: W1 and W2 by the truth at that moment.
// Holders that failed since the news that the grant may rest on are not the plan's fault.
func (c *Checker) taken(e Event) error {
	m := c.machines[e.Name]
	s := c.live(e.Name)
	if s == nil || s.Fence != e.Fence || s.Phase != "told" || s.went || e.At > s.Lapses {
		c.Figures.Unplanned++ // early, late or by a number that ended: a failure
		c.down(m, e)
		return nil
	}
	if c.out() == 0 {
		c.Figures.Waves++
	}
	c.Figures.Went++
	c.Figures.WentAt = append(c.Figures.WentAt, e.At)
	s.went = true
	m.up, m.planned, m.goes, m.overdue = false, true, e.At, s.Lapses
	if err := c.leaves(e.Name, s); err != nil {
		return err
	}
	if err := c.zones(e.Name); err != nil {
		return err
	}
	return c.capacity(e.Name, s)
}

// capacity is W3: what is truly up and warm covers the load with its headroom, but for what failed since the grant.
func (c *Checker) capacity(name string, s *standing) error {
	left := 0.0
	for _, other := range c.names {
		o := c.machines[other]
		if o.Replica && other != name && (o.up && c.warm(o) || c.excused(o, s)) {
			left += o.Size
		}
	}
	if need := c.rules.Load * (1 + c.rules.Headroom); left < need && c.machines[name].Replica {
		return fmt.Errorf("W3: %s went by grant %d and left %.2f warm, the load with headroom is %.2f", name, s.Fence, left, need)
	}
	return nil
}

// warm by a leader's clock, which may be ahead.
func (c *Checker) warm(o *truth) bool { return c.now+c.rules.Skew >= o.warm }

// alone says that without the machine a co-ordinator would send to no holder of some shard at all. It never narrows to
// nothing: it goes on sending, and says that it refuses.
func (c *Checker) alone(by, machine string) bool {
	m, p := c.machines[machine], c.peer(by)
	for shard := range c.rules.Shards {
		if !c.holds(m.Cell, shard) {
			continue
		}
		others := 0
		for _, name := range c.holders(shard) {
			if name != machine && !p.skips[name] {
				others++
			}
		}
		if others == 0 {
			return true
		}
	}
	return false
}

// excused is a machine that is away by no fault of the grant: it failed, or overran its time, since the news before it.
func (c *Checker) excused(o *truth, s *standing) bool {
	since := s.granted - c.rules.Slack
	return !o.planned && o.failedAt >= since || o.planned && o.overdue < c.now && o.overdue >= since
}

// calm is W6: nothing is granted between the news of a failure outside the plan and the end of the calm after it.
func (c *Checker) calm(s *standing) error {
	for _, name := range c.names {
		o := c.machines[name]
		if o.counts && c.now > o.countsAt+c.rules.Slack && c.now < o.countsAt+c.rules.Calm-2*c.rules.Skew {
			return fmt.Errorf("W6: %s was granted %v after %s failed, calm is %v", s.Machine, c.now-o.countsAt, name, c.rules.Calm)
		}
	}
	return nil
}

// down is a failure outside the plan. One of a machine that was told to go, or has just gone, is not told from its going.
func (c *Checker) down(m *truth, e Event) {
	s := c.live(e.Name)
	c.moved = e.At
	counts := c.known && m.up && (s == nil || s.Phase == "granted") && !c.flapped(m, s)
	if !m.again || e.At >= m.lax.rose+c.rules.Slack { // else it may never have been seen up between two failures
		m.counts, m.countsAt = counts, e.At
	}
	m.up, m.planned, m.failedAt = false, false, e.At
}

func (c *Checker) out() (n int) {
	for _, name := range c.names {
		if c.away(c.machines[name]) {
			n++
		}
	}
	return n
}

// away is a machine that is out by the plan, or cold after it, and not overdue.
func (c *Checker) away(m *truth) bool {
	return m.planned && (!m.up && c.now <= m.overdue || m.up && c.now < m.warm)
}

func (c *Checker) leaves(name string, s *standing) error {
	m := c.machines[name]
	if !m.Replica {
		return nil
	}
	for shard := range c.rules.Shards {
		if !c.holds(m.Cell, shard) {
			continue
		}
		good, excused := 0, 0
		var lacking []string
		for _, other := range c.holders(shard) {
			switch o := c.machines[other]; {
			case other == name:
			case o.up && c.warm(o):
				good++
			case c.excused(o, s):
				excused++
			default:
				lacking = append(lacking, other)
			}
		}
		if good+excused < c.rules.HoldersLeast {
			return fmt.Errorf("W1: %s went by grant %d and left shard %d with %d holders up and warm (%d failed since), %d wanted; %v are away",
				name, s.Fence, shard, good, excused, c.rules.HoldersLeast, lacking)
		}
	}
	return nil
}

func (c *Checker) zones(name string) error {
	all, zone, voters := 0, 0, 0
	m := c.machines[name]
	for _, other := range c.names {
		o := c.machines[other]
		if !c.away(o) {
			continue
		}
		all++
		if o.Zone == m.Zone {
			zone++
		}
		if o.Voter {
			voters++
		}
	}
	switch {
	case all > c.rules.OutMost:
		return fmt.Errorf("W2: %d machines are out since %s went, %d at most", all, name, c.rules.OutMost)
	case zone > c.rules.OutByZone:
		return fmt.Errorf("W2: %d machines of zone %s are out since %s went, %d at most", zone, m.Zone, name, c.rules.OutByZone)
	case m.Voter && voters > 1:
		return fmt.Errorf("W2: %d voters are out since %s went", voters, name)
	}
	return nil
}

// room checks W2 at the grant itself, by the items alone: those that are granted, told, out or back.
func (c *Checker) room(s *standing) error {
	m := c.machines[s.Machine]
	if m == nil {
		return fmt.Errorf("W2: %s was granted and is no machine", s.Machine)
	}
	all, zone, voters := 0, 0, 0
	for _, o := range c.order {
		if !running(o.Phase) {
			continue
		}
		all++
		other := c.machines[o.Machine]
		if other != nil && other.Zone == m.Zone {
			zone++
		}
		if other != nil && other.Voter {
			voters++
		}
	}
	if all > c.rules.OutMost || zone > c.rules.OutByZone || m.Voter && voters > 1 {
		return fmt.Errorf("W2: with the grant %d of %s %d machines are out or may go, %d of zone %s, %d voters",
			s.Fence, s.Machine, all, zone, m.Zone, voters)
	}
	return nil
}

// stuck says that a machine cannot go whatever the plan does: too few others of a shard are up beside it, as far as that
// is known after news for so long.
func (c *Checker) stuck(name string, news time.Duration) bool {
	returns := func(o *truth) bool { return c.returns(o) && (!o.up || o.lax.rose == 0 || c.now >= o.lax.rose+news) }
	m := c.machines[name]
	if m == nil || !m.up {
		return true
	}
	if !m.Replica {
		up := 0
		for _, other := range c.names {
			if o := c.machines[other]; o.Voter && other != name && o.up && returns(o) {
				up++
			}
		}
		return m.Voter && up < c.rules.VotersLeast
	}
	size := 0.0
	for _, other := range c.names {
		if o := c.machines[other]; o.Replica && other != name && returns(o) {
			size += o.Size
		}
	}
	if size < c.rules.Load*(1+c.rules.Headroom) {
		return true
	}
	for shard := range c.rules.Shards {
		if !c.holds(m.Cell, shard) {
			continue
		}
		left := 0
		for _, other := range c.holders(shard) {
			if o := c.machines[other]; other != name && returns(o) {
				left++
			}
		}
		if left < c.rules.HoldersLeast {
			return true
		}
	}
	return false
}

// StillFor is how long a fleet may do nothing at all, with all healed, before what waits counts as forgotten: longer
// than the longest pause after failures.
const StillFor = 10 * time.Minute

// Moved is when a grant was made or a failure came last.
func (c *Checker) Moved() time.Duration { return c.moved }

// Waiting says whether anything is under way, or waits that could go.
func (c *Checker) Waiting() bool {
	for _, s := range c.order {
		if running(s.Phase) || s.Phase == "asked" && !c.stuck(s.Machine, 0) {
			return true
		}
	}
	return len(c.order) == 0
}

// passed counts W5: grants to requests that came later, while one that could go in the end waited.
func (c *Checker) passed(granted *standing) error {
	for _, s := range c.order {
		if s.Phase != "asked" || s.Order >= granted.Order || s.Request == granted.Request ||
			granted.Urgent && !s.Urgent || c.stuck(s.Machine, c.rules.Slack) {
			continue
		}
		if !c.near(s, granted) {
			continue
		}
		s.passed++
		if most := c.rules.PassedMost + c.rules.Overtake; s.passed > most {
			return fmt.Errorf("W5: %s of %s waits while %d that came later were granted, the last of them %s; %d at most",
				s.Machine, s.Request, s.passed, granted.Machine, most)
		}
	}
	return nil
}

// near says that the two take something from each other: a shard, or the voters' one place.
func (c *Checker) near(a, b *standing) bool {
	m, n := c.machines[a.Machine], c.machines[b.Machine]
	if m == nil || n == nil {
		return false
	}
	if !m.Replica || !n.Replica {
		return m.Replica == n.Replica && m.Voter && n.Voter
	}
	for shard := range c.rules.Shards {
		if c.holds(m.Cell, shard) && c.holds(n.Cell, shard) {
			return true
		}
	}
	return false
}

// ended checks what must have come about once faults are healed: all that runs has ended, and nothing waits that could go.
func (c *Checker) ended(e Event) error {
	for _, s := range c.order {
		if running(s.Phase) && s.Phase != "back" && c.now > s.Lapses+c.rules.Settle+e.Quiet/2 {
			return fmt.Errorf("W7: %s is still %s, %v after its time, %v after all was healed", s.Machine, s.Phase, c.now-s.Lapses, e.Quiet)
		}
		if s.Phase == "asked" && c.now >= c.moved+StillFor && e.Quiet >= StillFor && !c.stuck(s.Machine, 0) {
			return fmt.Errorf("W5: %s of %s still waits, %v after all was healed and %v after anything moved, and could go",
				s.Machine, s.Request, e.Quiet, c.now-c.moved)
		}
	}
	return nil
}
