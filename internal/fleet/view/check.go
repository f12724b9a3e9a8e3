package view

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// checkState records the emitted drains and the grants of the agreed state. It is kept apart from the state that the decisions
// use, so that Check is independent of them.
type checkState struct {
	appliedSince map[string]time.Duration // by machine: when the emitted set first contained it; deleted when it no longer does
	grantFences  map[string]uint64        // by machine: the fence of the live grant under which it is drained
	violation    error                    // the first violated invariant
}

func (e *checkState) fail(format string, a ...any) {
	if e.violation == nil {
		e.violation = fmt.Errorf(format, a...)
	}
}

// recordGrants records the fence of the live grant of each drained machine.
func (v *View) recordGrants(names []string) {
	for _, n := range names {
		if i := v.liveGrantIndex(n); i >= 0 {
			v.checks.grantFences[n] = v.live[i].Fence
		}
	}
}

// checkChange checks V1, V3 and V4 for a changed set of drains that is about to be emitted.
func (v *View) checkChange(now time.Duration, names []string) {
	for _, n := range v.sentDrains {
		if slices.Contains(names, n) {
			continue
		}
		delete(v.checks.appliedSince, n)
		if i := v.liveGrantIndex(n); i >= 0 && v.live[i].Fence == v.checks.grantFences[n] && !(v.CutOff(now) && now >= v.grantEnd(v.live[i].Until)) {
			v.checks.fail("V1: the drain of %s was lifted at %v while its grant %d is live", n, now, v.live[i].Fence)
		}
	}
	for _, n := range names {
		if slices.Contains(v.sentDrains, n) {
			continue
		}
		v.checks.appliedSince[n] = now
		if v.liveGrantIndex(n) < 0 {
			v.checks.fail("V3: %s was drained at %v without a live grant", n, now)
		}
		if v.CutOff(now) && v.polls.answered {
			v.checks.fail("V4: %s was drained at %v while cut off", n, now)
		}
	}
}

func (v *View) liveGrantIndex(name string) int {
	return slices.IndexFunc(v.live, func(it maintenance.Item) bool { return it.Machine == name })
}

// checkReported checks V2 for a drain that is reported as applied.
func (v *View) checkReported(now time.Duration, d drain) {
	if v.machines[d.machine].Kind == maintenance.Coordinator {
		return
	}
	if since, ok := v.checks.appliedSince[d.machine]; !ok || now-since < v.limits.Grace {
		v.checks.fail("V2: the drain of %s was reported as applied at %v; applied %t at %v, Grace %v",
			d.machine, now, ok, since, v.limits.Grace)
	}
}

// Check returns the first invariant that was ever violated, or nil:
//   - V1: a drain is not lifted while its grant is live. While cut off it may be lifted once the grant has ended by the local
//     clock, with the drift added.
//   - V2: a drain is not reported as applied until it has been emitted for Grace.
//   - V3: a machine is not drained without a live grant.
//   - V4: no machine is newly drained while cut off, except by a process that has not been answered yet.
//   - V5: the number of remembered polls is at most MaxSentPolls, and the drains are sorted by fence.
func (v *View) Check() error {
	if v.checks.violation != nil {
		return v.checks.violation
	}
	if len(v.polls.sent) > MaxSentPolls {
		return fmt.Errorf("V5: %d polls are remembered, %d at most", len(v.polls.sent), MaxSentPolls)
	}
	if !slices.IsSortedFunc(v.drains, byFence) {
		return errors.New("V5: the drains are not sorted by fence")
	}
	return nil
}
