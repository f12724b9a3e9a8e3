package drainctl

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/peerproto"
)

// poller is what a co-ordinator's newest poll said.
type poller struct {
	lastPollAt time.Duration // own time at which a poll of its last came
	sequence   uint64
	sequenceAt time.Duration // own time at which that number came
	drains     []peerproto.DrainStatus
	peerClock
}

// handlePoll takes a poll. One that overtook is late: it shows that its sender spoke, which lengthens what is counted as its
// lease, but of the drains only those count which both report.
func (c *Controller) handlePoll(p Polled) {
	h := c.pollers[p.From]
	if h == nil {
		if len(c.pollers) >= MaxPollers {
			oldest := ""
			for _, name := range slices.Sorted(maps.Keys(c.pollers)) {
				if oldest == "" || c.pollers[name].lastPollAt < c.pollers[oldest].lastPollAt {
					oldest = name
				}
			}
			delete(c.pollers, oldest)
		}
		h = &poller{}
		c.pollers[p.From] = h
	}
	drains := slices.Clone(p.Drains)
	if p.Sequence != 0 && p.Sequence < h.sequence && c.now-h.sequenceAt < MaxReorderDelay {
		drains = slices.DeleteFunc(drains, func(x peerproto.DrainStatus) bool { return !slices.Contains(h.drains, x) })
	} else {
		h.sequence, h.sequenceAt = p.Sequence, c.now
		h.peerClock = peerClock{offset: p.Wall - c.now, at: c.now, known: p.Wall > 0}
	}
	h.lastPollAt, h.drains = c.now, drains
}

// silence is how long nothing was heard of a co-ordinator: since its last poll, or the own election, whichever is later.
func (c *Controller) silentFor(name string) time.Duration {
	from := c.electedAt
	if h := c.pollers[name]; h != nil {
		from = max(from, h.lastPollAt)
	}
	return c.now - from
}

// silenceLimit is the silence after which a co-ordinator's lease and grace have ended, however its clock ran.
func silenceLimit(limits maintenance.Limits) time.Duration {
	need := limits.Lease + limits.Grace
	return need + need/MaxDriftDivisor
}

// MustAcknowledge says whether a leader of this state waits for the co-ordinator before it acknowledges, though it has never heard of it:
// the inventory has it. Only such a one may be given a lease; a leader that dies takes with it whom else it has heard.
func MustAcknowledge(s *maintenance.State, name string) bool {
	m, ok := s.Machine(name)
	return ok && m.Kind == maintenance.Coordinator
}

// acknowledgers are all whose word counts: the co-ordinators of the inventory, in whatever state, and all that have polled.
func (c *Controller) acknowledgers() []string {
	names := slices.Collect(maps.Keys(c.pollers))
	for _, m := range c.state.Machines() {
		if m.Kind == maintenance.Coordinator {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// proposeAcknowledged proposes, for each grant that is not acknowledged, that it is acknowledged, once each co-ordinator applies its drain or is silent
// for so long; or that it is withdrawn, if one that is live rejects it, or takes too long, or if there is no time left.
func (c *Controller) proposeAcknowledged(limits maintenance.Limits, open []maintenance.Item) {
	live := map[uint64]bool{}
	var acknowledgers []string
	for _, it := range open {
		if it.Phase != maintenance.Granted {
			continue
		}
		live[it.Fence] = true
		if _, ok := c.grantedAt[it.Fence]; !ok {
			c.grantedAt[it.Fence] = c.now
		}
		if acknowledgers == nil {
			acknowledgers = c.acknowledgers()
		}
		c.acknowledgeGrant(limits, it, acknowledgers)
	}
	maps.DeleteFunc(c.grantedAt, func(fence uint64, _ time.Duration) bool { return !live[fence] })
}

func (c *Controller) acknowledgeGrant(limits maintenance.Limits, it maintenance.Item, acknowledgers []string) {
	body := maintenance.AcknowledgeBody{Machine: it.Machine, Fence: it.Fence}
	var missing []string
	for _, name := range acknowledgers {
		silent := c.silentFor(name)
		var says *peerproto.DrainStatus
		if h := c.pollers[name]; h != nil {
			if i := slices.IndexFunc(h.drains, func(x peerproto.DrainStatus) bool { return x.Fence == it.Fence && x.Machine == it.Machine }); i >= 0 {
				says = &h.drains[i]
			}
		}
		switch {
		case says != nil && !says.Rejected:
			body.Acknowledged = append(body.Acknowledged, name)
		case silent > silenceLimit(limits):
			body.Silent = append(body.Silent, maintenance.Silent{Name: name, Duration: silent})
		case says != nil:
			c.withdraw(it, fmt.Sprintf("%s refuses: %s", name, says.Reason))
			return
		default:
			missing = append(missing, name)
		}
	}
	switch {
	case it.Until-limits.SettleTime <= c.time:
		c.withdraw(it, "no time is left to begin")
	case len(missing) == 0:
		c.propose(fmt.Sprintf("told %s %d", it.Machine, it.Fence), "told", body, c.noLongerGranted(it))
	case c.now-max(c.grantedAt[it.Fence], c.electedAt) > silenceLimit(limits)+AcknowledgeSlack:
		c.withdraw(it, fmt.Sprintf("not laid in time by %s", abbreviateNames(missing)))
	}
}

func (c *Controller) withdraw(it maintenance.Item, why string) {
	body := maintenance.WithdrawBody{Machine: it.Machine, Fence: it.Fence, Reason: why[:min(len(why), maintenance.MaxNameLength)]}
	if c.propose(fmt.Sprintf("withdraw %s %d", it.Machine, it.Fence), "withdraw", body, c.noLongerGranted(it)) {
		c.log("the grant %d of %s is withdrawn: %s", it.Fence, it.Machine, why)
	}
}

// noLongerGranted says that the grant is acknowledged, or ended.
func (c *Controller) noLongerGranted(it maintenance.Item) func() bool {
	return func() bool {
		now, ok := c.state.ActiveItem(it.Machine)
		return !ok || now.Fence != it.Fence || now.Phase != maintenance.Granted
	}
}

// abbreviateNames are the first names of many.
func abbreviateNames(names []string) string {
	if len(names) <= 3 {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:3], ", "), len(names)-3)
}
