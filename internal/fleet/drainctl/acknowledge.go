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

// poller is the latest poll of one co-ordinator.
type poller struct {
	lastPollAt time.Duration // monotonic time at which its last poll arrived
	sequence   uint64
	sequenceAt time.Duration // monotonic time at which that sequence number arrived
	drains     []peerproto.DrainStatus
	peerClock
}

// handlePoll records a poll. A reordered poll, which has a lower sequence number than one received before, still shows that its
// sender was alive and so extends the time for which its lease is assumed to run. Of its drains, only those that the newer poll
// reports too are used.
func (c *Controller) handlePoll(p Polled) {
	peer := c.pollers[p.From]
	if peer == nil {
		if len(c.pollers) >= MaxPollers {
			oldest := ""
			for _, name := range slices.Sorted(maps.Keys(c.pollers)) {
				if oldest == "" || c.pollers[name].lastPollAt < c.pollers[oldest].lastPollAt {
					oldest = name
				}
			}
			delete(c.pollers, oldest)
		}
		peer = &poller{}
		c.pollers[p.From] = peer
	}
	drains := slices.Clone(p.Drains)
	if p.Sequence != 0 && p.Sequence < peer.sequence && c.now-peer.sequenceAt < MaxReorderDelay {
		drains = slices.DeleteFunc(drains, func(x peerproto.DrainStatus) bool { return !slices.Contains(peer.drains, x) })
	} else {
		peer.sequence, peer.sequenceAt = p.Sequence, c.now
		peer.peerClock = peerClock{offset: p.Wall - c.now, at: c.now, known: p.Wall > 0}
	}
	peer.lastPollAt, peer.drains = c.now, drains
}

// silentFor returns how long nothing has been received from a co-ordinator: since its last poll or since this node's election,
// whichever is later.
func (c *Controller) silentFor(name string) time.Duration {
	from := c.electedAt
	if peer := c.pollers[name]; peer != nil {
		from = max(from, peer.lastPollAt)
	}
	return c.now - from
}

// silenceLimit returns the silence after which a co-ordinator's lease and grace period have ended even if its clock drifts by one
// part in MaxDriftDivisor.
func silenceLimit(limits maintenance.Limits) time.Duration {
	limit := limits.Lease + limits.Grace
	return limit + limit/MaxDriftDivisor
}

// MustAcknowledge reports whether a leader with this state must wait for the co-ordinator's acknowledgement even if it has never
// received a poll from it, which is so if the inventory lists it. Only such a co-ordinator may be given a lease: which other
// co-ordinators have polled a leader is lost when that leader fails.
func MustAcknowledge(s *maintenance.State, name string) bool {
	m, ok := s.Machine(name)
	return ok && m.Kind == maintenance.Coordinator
}

// acknowledgers returns the names of all co-ordinators that must acknowledge a grant: those in the inventory, whatever their
// status, and all that have polled this leader.
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

// proposeAcknowledged handles each grant that is not acknowledged yet. It proposes the acknowledgement once every co-ordinator
// either applies the drain or has been silent for longer than silenceLimit. It proposes to withdraw the grant if a live
// co-ordinator rejects it or takes too long, or if no time is left to start.
func (c *Controller) proposeAcknowledged(limits maintenance.Limits, open []maintenance.Item) {
	granted := map[uint64]bool{}
	var acknowledgers []string
	for _, it := range open {
		if it.Phase != maintenance.Granted {
			continue
		}
		granted[it.Fence] = true
		if _, ok := c.grantedAt[it.Fence]; !ok {
			c.grantedAt[it.Fence] = c.now
		}
		if acknowledgers == nil {
			acknowledgers = c.acknowledgers()
		}
		c.acknowledgeGrant(limits, it, acknowledgers)
	}
	maps.DeleteFunc(c.grantedAt, func(fence uint64, _ time.Duration) bool { return !granted[fence] })
}

// acknowledgeGrant proposes to acknowledge or to withdraw one grant, or nothing while replies are outstanding.
func (c *Controller) acknowledgeGrant(limits maintenance.Limits, it maintenance.Item, acknowledgers []string) {
	body := maintenance.AcknowledgeBody{Machine: it.Machine, Fence: it.Fence}
	var missing []string
	for _, name := range acknowledgers {
		silent := c.silentFor(name)
		var status *peerproto.DrainStatus
		if peer := c.pollers[name]; peer != nil {
			if i := slices.IndexFunc(peer.drains, func(x peerproto.DrainStatus) bool { return x.Fence == it.Fence && x.Machine == it.Machine }); i >= 0 {
				status = &peer.drains[i]
			}
		}
		switch {
		case status != nil && !status.Rejected:
			body.Acknowledged = append(body.Acknowledged, name)
		case silent > silenceLimit(limits):
			body.Silent = append(body.Silent, maintenance.Silent{Name: name, Duration: silent})
		case status != nil:
			c.withdraw(it, fmt.Sprintf("%s refuses: %s", name, status.Reason))
			return
		default:
			missing = append(missing, name)
		}
	}
	switch {
	case it.Until-limits.SettleTime <= c.time:
		c.withdraw(it, "no time is left to begin")
	case len(missing) == 0:
		c.propose(fmt.Sprintf("acknowledge %s %d", it.Machine, it.Fence), "told", body, c.noLongerGranted(it))
	case c.now-max(c.grantedAt[it.Fence], c.electedAt) > silenceLimit(limits)+AcknowledgeSlack:
		c.withdraw(it, fmt.Sprintf("not laid in time by %s", abbreviateNames(missing)))
	}
}

// withdraw proposes to withdraw a grant that is not acknowledged. The reason is stored in the agreed state.
func (c *Controller) withdraw(it maintenance.Item, reason string) {
	body := maintenance.WithdrawBody{Machine: it.Machine, Fence: it.Fence, Reason: reason[:min(len(reason), maintenance.MaxNameLength)]}
	if c.propose(fmt.Sprintf("withdraw %s %d", it.Machine, it.Fence), "withdraw", body, c.noLongerGranted(it)) {
		c.log("proposing to withdraw grant %d of %s: %s", it.Fence, it.Machine, reason)
	}
}

// noLongerGranted returns a function that reports whether the grant has been acknowledged or has ended.
func (c *Controller) noLongerGranted(it maintenance.Item) func() bool {
	return func() bool {
		now, ok := c.state.ActiveItem(it.Machine)
		return !ok || now.Fence != it.Fence || now.Phase != maintenance.Granted
	}
}

// abbreviateNames joins at most three of the names and appends the number of the others.
func abbreviateNames(names []string) string {
	if len(names) <= 3 {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:3], ", "), len(names)-3)
}
