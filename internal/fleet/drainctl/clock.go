package drainctl

import (
	"fmt"
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// The leader's wall clock becomes agreed time, which never goes back. A clock that is far ahead would advance agreed time for
// good: grants would end, machines count as warm and pauses as over long before they are. The state machine cannot detect this,
// because the first command after hours without any rightly makes agreed time leap by hours. The clocks of the other
// co-ordinators can: each poll carries its sender's wall clock. A leader that is ahead of most of them proposes nothing and
// transfers leadership.
//
// Until it knows enough of their clocks, a leader proposes only what does not make agreed time leap: agreed time advances with
// its monotonic clock, which is enough for a new leader in the middle of a plan.
//
// A leader whose clock is behind must not start agreed time there: once the clock is corrected or another node leads, agreed time
// would leap, and the leap would end pauses early and expire grants. Such a leader uses the clock of the majority of the known
// nodes instead. This delays it by at most ClockWait, whichever nodes are silent or wrong, and needs no election.
const (
	// MaxClockLead is how far the wall clock may be ahead of the majority of the known clocks, or may make agreed time leap while
	// too few are known. Twice as much would count machines as warm that much too early; half as much would silence a correct
	// leader because of network delay and the differences that time synchronisation leaves between clocks.
	MaxClockLead = 5 * time.Second
	// MinOtherClocks is how many other clocks make, with the local one, a majority of which one clock may be wrong. With one
	// more, fleets of three could never decide; with one fewer, nothing shows which of two clocks is wrong.
	MinOtherClocks = 2
	// MaxClockAge is how long a reported clock is extrapolated with the local monotonic clock, which drifts by 0.6 s in that
	// time. Twice as long would double the drift; with half as long, a few lost polls would leave a leader less sure of its own
	// clock.
	MaxClockAge = time.Minute
	// ClockWait is how long a leap of agreed time waits for other clocks after the election, or once the known ones are too old;
	// they arrive with polls once a second. It is also how long a leader whose clock is ahead proposes nothing before it
	// transfers leadership, because polls sent before a stall make it seem ahead, and how long a leader whose clock is behind
	// waits before it adopts the others' clocks, because the first clocks received need not represent the majority. Twice as long
	// would delay a fleet whose other nodes are down; with half as long, one slow poll would be enough for a wrong clock to be
	// trusted.
	ClockWait = 3 * time.Second
	// HandOverInterval is the time between attempts to transfer leadership. Half as long would double the elections while no
	// clock is right.
	HandOverInterval = 30 * time.Second
)

// TransferLeadership requests that another voter lead, and says why. The controller proposes nothing until its clock is usable
// again.
type TransferLeadership struct{ Reason string }

func (TransferLeadership) output() {}

// peerClock is the wall clock of another node, as its difference from the local monotonic time.
type peerClock struct {
	offset time.Duration
	at     time.Duration // monotonic time at which the poll arrived
	known  bool
}

// clockLeads returns by how much the local wall clock is ahead of each known clock, in ascending order. The local clock is one of
// them, with a lead of 0.
func (c *Controller) clockLeads(wall time.Duration) []time.Duration {
	leads := []time.Duration{0}
	for name, peer := range c.pollers { // iteration order does not matter: sorted below
		if clk := peer.peerClock; clk.known && name != c.name && c.now-clk.at <= MaxClockAge {
			leads = append(leads, wall-(clk.offset+c.now))
		}
	}
	slices.Sort(leads)
	return leads
}

// medianClockLead returns by how much the local wall clock is ahead of the majority: more than half of all known clocks, itself
// included, are behind it by that much or more. With two clocks it is the lead over the other one. A negative lead means that it
// is behind. others is the number of other clocks known.
func (c *Controller) medianClockLead(wall time.Duration) (lead time.Duration, others int) {
	leads := c.clockLeads(wall)
	if len(leads) == 2 { // nothing shows which of two is right: the one behind is safe, the one ahead would count cold machines as warm
		return leads[0] + leads[1], 1
	}
	return leads[(len(leads)-1)/2], len(leads) - 1
}

// chooseClock returns the wall clock to use: the local one, or the majority's once the local one has been behind it for
// ClockWait. It is behind if more than half of all known clocks, itself included, are ahead of it by more than MaxClockLead.
// Until ClockWait has passed, wait is true if agreed time, extrapolated to projected, would be behind as well. Of two clocks the
// local one is used.
func (c *Controller) chooseClock(wall, projected time.Duration) (chosen time.Duration, wait bool) {
	leads := c.clockLeads(wall)
	behind := -leads[len(leads)/2]
	if !c.leading || behind <= MaxClockLead {
		c.clockBehind = false
		return wall, false
	}
	if !c.clockBehind {
		c.clockBehind, c.clockBehindAt, c.clockBehindLogged = true, c.now, false
	}
	if c.now < c.clockBehindAt+ClockWait {
		return wall, max(wall, projected)+MaxClockLead < wall+behind
	}
	if !c.clockBehindLogged {
		c.clockBehindLogged = true
		c.log("the local clock is %v behind most of the %d other known clocks: using the majority's clock", behind.Round(time.Millisecond), len(leads)-1)
	}
	return wall + behind, false
}

// requiredPeerClocks returns how many other clocks must be known: one for each other member that is not gone, at most
// MinOtherClocks.
func (c *Controller) requiredPeerClocks() int {
	if !c.membersKnown {
		return MinOtherClocks
	}
	n := 0
	for _, m := range c.members {
		if m.Name != c.name && m.Status != maintenance.Gone {
			n++
		}
	}
	return min(n, MinOtherClocks)
}

// mayUseClock reports whether the wall clock may be proposed as agreed time, of which projected is the extrapolated value. Once
// the clock has been ahead for long, it logs that and requests a transfer of leadership.
func (c *Controller) mayUseClock(wall, projected time.Duration) bool {
	lead, others := c.medianClockLead(wall)
	if lead <= MaxClockLead {
		c.clockAhead = false
		if others >= c.requiredPeerClocks() {
			c.clocksUnknown = false
			return true
		}
		if !c.clocksUnknown {
			c.clocksUnknown, c.clocksUnknownAt = true, c.now
		}
		return wall <= projected+MaxClockLead || c.now >= c.clocksUnknownAt+ClockWait
	}
	if !c.clockAhead {
		c.clockAhead, c.clockAheadAt, c.handOverAt = true, c.now, c.now+ClockWait
	}
	if c.now >= c.handOverAt {
		c.handOverAt = c.now + HandOverInterval
		reason := fmt.Sprintf("the local clock is %v ahead of most of the %d other known clocks, %v is allowed: "+
			"nothing proposed for %v, transferring leadership", lead.Round(time.Millisecond), others, MaxClockLead, c.now-c.clockAheadAt)
		c.log("%s", reason)
		c.out = append(c.out, TransferLeadership{reason})
	}
	return false
}
