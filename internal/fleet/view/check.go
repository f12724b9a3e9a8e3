package view

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// evidence is kept beside the deciding, from what goes out and what the agreed state says, so that Check does not
// rest on what the decisions rest on.
type checkState struct {
	appliedSince map[string]time.Duration // when the set that goes out first had a name; as long as it has
	grantFences  map[string]uint64        // the live grant under which it goes out
	violation    error                    // the first thing that was wrong
}

func (e *checkState) fail(format string, a ...any) {
	if e.violation == nil {
		e.violation = fmt.Errorf(format, a...)
	}
}

// recordGrants notes under which grants the drains are.
func (v *View) recordGrants(names []string) {
	for _, n := range names {
		if i := v.liveGrantIndex(n); i >= 0 {
			v.checks.grantFences[n] = v.live[i].Fence
		}
	}
}

// checkChange looks at a new set of drains that goes out.
func (v *View) checkChange(now time.Duration, names []string) {
	for _, n := range v.sentDrains {
		if slices.Contains(names, n) {
			continue
		}
		delete(v.checks.appliedSince, n)
		if i := v.liveGrantIndex(n); i >= 0 && v.live[i].Fence == v.checks.grantFences[n] && !(v.CutOff(now) && now >= v.grantEnd(v.live[i].Until)) {
			v.checks.fail("V1: the drain of %s was lifted at %v while its grant %d lives", n, now, v.live[i].Fence)
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

// checkReported looks at a drain that is reported as applied.
func (v *View) checkReported(now time.Duration, l drain) {
	if v.machines[l.machine].Kind == maintenance.Coordinator {
		return
	}
	if since, ok := v.checks.appliedSince[l.machine]; !ok || now-since < v.limits.Grace {
		v.checks.fail("V2: the drain of %s was reported as applied at %v; applied %t at %v, Grace %v",
			l.machine, now, ok, since, v.limits.Grace)
	}
}

// Check names what does not hold, or ever did not:
// V1 a drain was lifted while its grant lives (cut off: before the grant's end by the own clock and the drift),
// V2 one was reported as applied before a Grace had passed since it went out, V3 a machine was drained without a live grant,
// V4 one was newly drained while cut off (but by a process never answered yet), V5 what is remembered is over its bound
// or out of order.
func (v *View) Check() error {
	if v.checks.violation != nil {
		return v.checks.violation
	}
	if len(v.polls.sent) > MaxSentPolls {
		return fmt.Errorf("V5: %d polls are remembered, %d at most", len(v.polls.sent), MaxSentPolls)
	}
	if !slices.IsSortedFunc(v.drains, byFence) {
		return errors.New("V5: what is applied is out of order")
	}
	return nil
}
