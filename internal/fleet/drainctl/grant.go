package drainctl

import (
	"cmp"
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// ByAsking is an order without a plan: those that have reserved their turn, then urgent ones, then in the order of asking.
func ByAsking(s *maintenance.State, _ time.Duration) []maintenance.Item {
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

// hold is until when a machine is not granted again whose grant ended before it was told. It is told by the agreed state
// alone, so that a new leader holds it too.
func hold(it maintenance.Item) time.Duration {
	if it.Attempt == 0 {
		return 0
	}
	return it.RequestedAt + HoldLeast<<min(it.Attempt-1, 8)
}

// until is by when a machine granted now has to be gone: the time to tell all, the tools' time, and Settle, which the
// tools are told to leave.
func (l *Lead) until(limits maintenance.Limits) time.Duration {
	return l.time + Longest(limits)
}

// Longest is from a grant until its machine has to be gone.
func Longest(limits maintenance.Limits) time.Duration {
	return over(limits) + TellSlack + GoWithin + limits.SettleTime
}

// putGrant proposes at most one grant: the first in the order that the agreed state would let go now, and that shares
// no shard with one whose end is not known. Where none was found it looks again when the state has moved or a second
// has passed.
func (l *Lead) putGrant(limits maintenance.Limits, open []maintenance.Item) {
	if !slices.ContainsFunc(open, func(it maintenance.Item) bool { return it.Phase == maintenance.Pending }) ||
		l.count("grant ") >= GrantMost || l.passed.set && l.passed.index == l.index && l.now < l.passed.at+TickLive {
		return
	}
	if stop, _ := l.state.Paused(l.time); !stop {
		for _, it := range l.order(l.state, l.time) {
			if it.Phase != maintenance.Pending || l.near(limits, it.Machine) {
				continue
			}
			// Of several requests for the machine the state says which: another may be refused for ever, as one that
			// leaves room for a turn which the next has reserved.
			it, _, err := l.state.NextGrant(l.time, it.Machine)
			if err != nil || l.time < hold(it) {
				continue
			}
			body := maintenance.GrantBody{Request: it.Request, Machine: it.Machine, Until: l.until(limits)}
			if l.propose("grant "+it.Machine, "grant", body, func() bool {
				now, ok := l.state.ActiveItem(it.Machine)
				return ok && now.Request == it.Request
			}) {
				l.passed.set = false
				return
			}
		}
	}
	l.passed = mark{l.index, l.now, true}
}

// near says that a grant whose end is not known is of the same machine, of one that shares a shard with it, or, like it,
// of a co-ordinator.
func (l *Lead) near(limits maintenance.Limits, name string) bool {
	m, _ := l.state.Machine(name)
	for _, p := range l.waiting {
		if p.command.Kind != "grant" {
			continue
		}
		o, _ := l.state.Machine(p.what[len("grant "):])
		apart := max(m.Cell-o.Cell, o.Cell-m.Cell)
		if m.Name == o.Name || m.Kind == maintenance.Coordinator && o.Kind == m.Kind ||
			m.Kind == maintenance.Replica && o.Kind == m.Kind && min(apart, limits.Cells-apart) < limits.Reach {
			return true
		}
	}
	return false
}
