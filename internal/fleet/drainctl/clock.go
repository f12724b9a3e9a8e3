package drainctl

import (
	"fmt"
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// The wall's clock of a leader is agreed time, which never goes back: one that is far ahead would carry it away for
// good, and by it grants would end, machines count as warm and pauses as over long before they are. The state machine can not
// tell: after hours at rest the first command leaps by hours and is right. The clocks of the others can. Each poll says
// what its sender's shows. A leader that is ahead of the most of them proposes nothing, and hands over.
//
// Before it has heard enough of them it proposes only what does not leap: agreed time goes on as its own monotonic clock
// does, which covers a new leader in the middle of a plan.
//
// One that is behind must not begin agreed time there: once it is mended or another leads, agreed time would leap, and by
// the leap pauses end early and grants lapse. It goes by the clock of the most known instead. That holds up for ClockWait
// at the longest, whoever is silent or wrong, and no election is needed.
const (
	// MaxClockLead is how far the own wall's clock may be ahead of the most of those known, or leap by itself while they are
	// not. Twice as much: machines count as warm so much sooner than they are; half: the polls' way and what a time
	// service lets two clocks differ by silence a good leader.
	MaxClockLead = 5 * time.Second
	// MinOtherClocks others make a majority beside the own clock, of which one may be wrong. One more: fleets of three could
	// never be sure; one less: of two clocks none can say which is wrong.
	MinOtherClocks = 2
	// MaxClockAge is how long a clock that was reported is taken to run on as the own monotonic one does: it drifts by 0.6 s.
	// Twice as long: twice that; half as long: a few lost polls, and a leader is less sure of its own.
	MaxClockAge = time.Minute
	// ClockWait is how long a leap waits for others' clocks, which come with polls once a second, after the election or
	// once they are too old; and for how long a leader is silent before it hands over, since polls of before a stall make
	// it seem ahead. Twice as long: a fleet whose others are down begins later; half: one slow poll, and a wrong clock is
	// believed. So long a leader that is behind waits too, before it takes others' clocks for right: the first that are
	// heard need not be like the most.
	ClockWait = 3 * time.Second
	// HandOverInterval is between attempts at handing over. Half as long: twice as many elections while no clock is right.
	HandOverInterval = 30 * time.Second
)

// TransferLeadership says that another voter should lead, and why. This one proposes nothing until it may again.
type TransferLeadership struct{ Reason string }

func (TransferLeadership) output() {}

// peerClock is what another's wall showed, against the own monotonic time: only the difference is kept.
type peerClock struct {
	offset time.Duration
	at     time.Duration // own time of the poll
	known  bool
}

// clockLeads are by how much the own wall's clock is ahead of each that is known, the own among them, in rising order.
func (c *Controller) clockLeads(wall time.Duration) []time.Duration {
	all := []time.Duration{0}
	for name, h := range c.pollers { // in any order: sorted below
		if clk := h.peerClock; clk.known && name != c.name && c.now-clk.at <= MaxClockAge {
			all = append(all, wall-(clk.offset+c.now))
		}
	}
	slices.Sort(all)
	return all
}

// medianClockLead is by how much the own wall's clock is ahead of the most known: of all clocks, the own among them, more than
// half are behind it by so much or more; of two, the other is. Negative: behind them. others are the clocks of others that
// are known.
func (c *Controller) medianClockLead(wall time.Duration) (by time.Duration, others int) {
	all := c.clockLeads(wall)
	if len(all) == 2 { // nobody can say which of two is right: the one behind goes on, the one ahead counts the cold as warm
		return all[0] + all[1], 1
	}
	return all[(len(all)-1)/2], len(all) - 1
}

// chooseClock is the wall's clock to go by: the own, or that of the most known, once the own was behind it for ClockWait: of all
// clocks, the own among them, more than half are then ahead by over MaxClockLead. Until then it says wait if agreed time,
// led on from pace, would be behind too. Of two clocks the own counts.
func (c *Controller) chooseClock(wall, pace time.Duration) (by time.Duration, wait bool) {
	all := c.clockLeads(wall)
	behind := -all[len(all)/2]
	if !c.leading || behind <= MaxClockLead {
		c.clockBehind = false
		return wall, false
	}
	if !c.clockBehind {
		c.clockBehind, c.clockBehindAt, c.clockBehindLogged = true, c.now, false
	}
	if c.now < c.clockBehindAt+ClockWait {
		return wall, max(wall, pace)+MaxClockLead < wall+behind
	}
	if !c.clockBehindLogged {
		c.clockBehindLogged = true
		c.log("the own clock is %v behind most of the %d others known: goes by theirs", behind.Round(time.Millisecond), len(all)-1)
	}
	return wall + behind, false
}

// requiredPeerClocks is how many others' clocks are waited for: of those that may be there, MinOtherClocks at most.
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

// mayUseClock says whether the own wall's clock may be proposed, which would lead agreed time on from pace, and says why
// it has been wrong for long.
func (c *Controller) mayUseClock(wall, pace time.Duration) bool {
	by, others := c.medianClockLead(wall)
	if by <= MaxClockLead {
		c.clockAhead = false
		if others >= c.requiredPeerClocks() {
			c.clocksUnknown = false
			return true
		}
		if !c.clocksUnknown {
			c.clocksUnknown, c.clocksUnknownAt = true, c.now
		}
		return wall <= pace+MaxClockLead || c.now >= c.clocksUnknownAt+ClockWait
	}
	if !c.clockAhead {
		c.clockAhead, c.clockAheadAt, c.handOverAt = true, c.now, c.now+ClockWait
	}
	if c.now >= c.handOverAt {
		c.handOverAt = c.now + HandOverInterval
		why := fmt.Sprintf("the own clock is %v ahead of most of the %d others known, %v is allowed: "+
			"proposes nothing since %v, and hands over", by.Round(time.Millisecond), others, MaxClockLead, c.now-c.clockAheadAt)
		c.log("%s", why)
		c.out = append(c.out, TransferLeadership{why})
	}
	return false
}
