package history

import "fmt"

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
		m.up, m.planned, m.failedAt = false, false, e.At
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
	return c.zones(e.Name)
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
			case o.up && c.now >= o.warm:
				good++
			case !o.planned && o.failedAt >= s.granted-c.rules.Slack, o.planned && o.overdue < c.now:
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
	for _, key := range c.order {
		o := c.items[key]
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
		return fmt.Errorf("W2: with the grant %d of %s %d machines are out or may go, %d of zone %s, %d voters", s.Fence, s.Machine, all, zone, m.Zone, voters)
	}
	return nil
}

// stuck says that a machine cannot go whatever the plan does: too few others of a shard are up beside it.
func (c *Checker) stuck(name string) bool {
	m := c.machines[name]
	if m == nil || !m.up {
		return true
	}
	if !m.Replica {
		up := 0
		for _, other := range c.names {
			if o := c.machines[other]; o.Voter && o.up {
				up++
			}
		}
		return m.Voter && up-1 < c.rules.VotersLeast
	}
	for shard := range c.rules.Shards {
		if !c.holds(m.Cell, shard) {
			continue
		}
		left := 0
		for _, other := range c.holders(shard) {
			if o := c.machines[other]; other != name && (o.up || o.planned) {
				left++
			}
		}
		if left < c.rules.HoldersLeast {
			return true
		}
	}
	return false
}

// passed counts W5: grants to requests that came later, while one that could go in the end waited.
func (c *Checker) passed(granted *standing) error {
	for _, key := range c.order {
		s := c.items[key]
		if s.Phase != "asked" || s.Order >= granted.Order || granted.Urgent && !s.Urgent || c.stuck(s.Machine) {
			continue
		}
		if !c.near(s, granted) {
			continue
		}
		s.passed++
		if most := c.rules.PassedMost + 2*c.rules.OutMost + 8; s.passed > most {
			return fmt.Errorf("W5: %s of %s waits while %d that came later were granted, the last of them %s; %d at most",
				s.Machine, s.Request, s.passed, granted.Machine, most)
		}
	}
	return nil
}

// near says that the two take something from each other: a shard or a zone.
func (c *Checker) near(a, b *standing) bool {
	m, n := c.machines[a.Machine], c.machines[b.Machine]
	if m == nil || n == nil {
		return false
	}
	if m.Zone == n.Zone {
		return true
	}
	for shard := range c.rules.Shards {
		if m.Replica && n.Replica && c.holds(m.Cell, shard) && c.holds(n.Cell, shard) {
			return true
		}
	}
	return false
}

// ended checks what must have come about once faults are healed: all that runs has ended, and nothing waits that could go.
func (c *Checker) ended(e Event) error {
	for _, key := range c.order {
		s := c.items[key]
		if running(s.Phase) && c.now > s.Lapses+c.rules.Settle+e.Quiet/2 && !(s.Phase == "back" || s.Phase == "out") {
			return fmt.Errorf("W7: %s is still %s, %v after its time, %v after all was healed", s.Machine, s.Phase, c.now-s.Lapses, e.Quiet)
		}
		if s.Phase == "asked" && !c.stuck(s.Machine) {
			return fmt.Errorf("W5: %s of %s still waits, %v after all was healed, and could go", s.Machine, s.Request, e.Quiet)
		}
	}
	return nil
}
