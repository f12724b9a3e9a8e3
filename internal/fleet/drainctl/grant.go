package drainctl

import (
	"cmp"
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// ByRequestTime is an order without a plan: those that have reserved their turn, then urgent ones, then in the order of asking.
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
	asked := slices.DeleteFunc(s.Open(), func(it maintenance.Item) bool { return it.Phase != maintenance.Pending })
	slices.SortStableFunc(asked, func(a, b maintenance.Item) int { return cmp.Compare(rank(a), rank(b)) })
	return asked
}

// grantBackoffUntil is until when a machine is not granted again whose grant ended before it was acknowledged. It follows from the agreed state
// alone, so that a new leader holds it too.
func grantBackoffUntil(it maintenance.Item) time.Duration {
	if it.Attempt == 0 {
		return 0
	}
	return it.RequestedAt + InitialGrantBackoff<<min(it.Attempt-1, 8)
}

// grantDeadline is by when a machine granted now has to be gone: the time until all have acknowledged, the tools' time, and SettleTime, which the
// tools are asked to leave.
func (c *Controller) grantDeadline(limits maintenance.Limits) time.Duration {
	return c.time + MaxGrantDuration(limits)
}

// MaxGrantDuration is from a grant until its machine has to be gone.
func MaxGrantDuration(limits maintenance.Limits) time.Duration {
	return silenceLimit(limits) + AcknowledgeSlack + StartTimeout + limits.SettleTime
}

// proposeGrant proposes at most one grant: the first in the order that the agreed state would let go now, and that shares
// no shard with one whose end is not known. Where none was found it looks again when the state has moved or a second
// has passed.
func (c *Controller) proposeGrant(limits maintenance.Limits, open []maintenance.Item) {
	if !slices.ContainsFunc(open, func(it maintenance.Item) bool { return it.Phase == maintenance.Pending }) ||
		c.countPending("grant ") >= MaxPendingGrants || c.lastSearch.valid && c.lastSearch.index == c.index && c.now < c.lastSearch.at+ActiveTickInterval {
		return
	}
	if stop, _ := c.state.Paused(c.time); !stop {
		for _, it := range c.order(c.state, c.time) {
			if it.Phase != maintenance.Pending || c.conflictsWithPending(limits, it.Machine) {
				continue
			}
			// Of several requests for the machine the state says which: another may be rejected for ever, as one that
			// leaves room for a turn which the next has reserved.
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

// conflictsWithPending says that a grant whose end is not known is of the same machine, of one that shares a shard with it, or, like it,
// of a co-ordinator.
func (c *Controller) conflictsWithPending(limits maintenance.Limits, name string) bool {
	m, _ := c.state.Machine(name)
	for _, p := range c.pending {
		if p.command.Kind != "grant" {
			continue
		}
		o, _ := c.state.Machine(p.subject[len("grant "):])
		apart := max(m.Cell-o.Cell, o.Cell-m.Cell)
		if m.Name == o.Name || m.Kind == maintenance.Coordinator && o.Kind == m.Kind ||
			m.Kind == maintenance.Replica && o.Kind == m.Kind && min(apart, limits.Cells-apart) < limits.Reach {
			return true
		}
	}
	return false
}
