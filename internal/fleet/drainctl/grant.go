package drainctl

import (
	"cmp"
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// ByRequestTime is an order without a plan: first machines whose turn is reserved, then urgent ones, then in the order of the
// requests.
func ByRequestTime(s *maintenance.State, _ time.Duration) []maintenance.Item {
	limits, _ := s.Limits()
	urgent := map[string]bool{}
	for _, r := range s.Requests().Requests {
		urgent[r.ID] = r.Priority == maintenance.Urgent
	}
	rank := func(it maintenance.Item) int {
		switch {
		case it.PassedOver >= limits.MaxPassedOver:
			return 0
		case urgent[it.Request]:
			return 1
		}
		return 2
	}
	pending := slices.DeleteFunc(s.Open(), func(it maintenance.Item) bool { return it.Phase != maintenance.Pending })
	slices.SortStableFunc(pending, func(a, b maintenance.Item) int { return cmp.Compare(rank(a), rank(b)) })
	return pending
}

// grantBackoffUntil returns until when a machine is not granted again if its grant ended before it was acknowledged. It depends
// on the agreed state alone, so a new leader observes the same backoff.
func grantBackoffUntil(it maintenance.Item) time.Duration {
	if it.Attempt == 0 {
		return 0
	}
	return it.RequestedAt + InitialGrantBackoff<<min(it.Attempt-1, 8)
}

// grantDeadline returns the time by which a machine granted now must be out.
func (c *Controller) grantDeadline(limits maintenance.Limits) time.Duration {
	return c.time + MaxGrantDuration(limits)
}

// MaxGrantDuration returns the time from a grant until its machine must be out: the time in which all co-ordinators acknowledge,
// the time for the tools to start, and SettleTime, which the tools are asked to leave as a margin.
func MaxGrantDuration(limits maintenance.Limits) time.Duration {
	return silenceLimit(limits) + AcknowledgeSlack + StartTimeout + limits.SettleTime
}

// proposeGrant proposes at most one grant: the first one in the order that the agreed state allows now and that does not conflict
// with a pending grant. If it finds none it searches again once the state has changed or ActiveTickInterval has passed.
func (c *Controller) proposeGrant(limits maintenance.Limits, open []maintenance.Item) {
	if !slices.ContainsFunc(open, func(it maintenance.Item) bool { return it.Phase == maintenance.Pending }) ||
		c.countPending("grant ") >= MaxPendingGrants || c.lastSearch.valid && c.lastSearch.index == c.index && c.now < c.lastSearch.at+ActiveTickInterval {
		return
	}
	if paused, _ := c.state.Paused(c.time); !paused {
		for _, it := range c.order(c.state, c.time) {
			if it.Phase != maintenance.Pending || c.conflictsWithPending(limits, it.Machine) {
				continue
			}
			// If several requests name the machine, the state chooses one: another could be rejected for ever, for example
			// because it takes a place that is reserved for the next request.
			it, _, err := c.state.NextGrant(c.time, it.Machine)
			if err != nil || c.time < grantBackoffUntil(it) {
				continue
			}
			body := maintenance.GrantBody{Request: it.Request, Machine: it.Machine, Until: c.grantDeadline(limits)}
			if c.propose("grant "+it.Machine, "grant", body, func() bool {
				now, ok := c.state.ActiveItem(it.Machine)
				return ok && now.Request == it.Request
			}) {
				c.lastSearch.valid = false
				return
			}
		}
	}
	c.lastSearch = grantSearch{c.index, c.now, true}
}

// conflictsWithPending reports whether a pending grant is for the same machine, for a replica that shares a shard with it, or, if
// the machine is a co-ordinator, for another co-ordinator.
func (c *Controller) conflictsWithPending(limits maintenance.Limits, name string) bool {
	m, _ := c.state.Machine(name)
	for _, p := range c.pending {
		if p.command.Kind != "grant" {
			continue
		}
		other, _ := c.state.Machine(p.subject[len("grant "):])
		distance := max(m.Cell-other.Cell, other.Cell-m.Cell)
		if m.Name == other.Name || m.Kind == maintenance.Coordinator && other.Kind == m.Kind ||
			m.Kind == maintenance.Replica && other.Kind == m.Kind && min(distance, limits.Cells-distance) < limits.Reach {
			return true
		}
	}
	return false
}
