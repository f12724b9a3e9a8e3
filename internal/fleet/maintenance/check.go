package maintenance

import (
	"fmt"
	"sort"
)

// Check returns an error for the first of the rules W1 to W7 that the state violates. W1, W3 and W6 are checked against the
// evidence stored with each grant, not against the current inventory: later failures may leave fewer holders or less capacity
// without any grant being at fault.
func (s *State) Check() error {
	for _, check := range []func() error{s.checkGrantEvidence, s.checkOutCounts, s.checkFences, s.checkPassedOver, s.checkTimes} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkGrantEvidence checks W1, W3 and W6 against the evidence stored with each grant.
func (s *State) checkGrantEvidence() error {
	for _, list := range [][]*entry{s.open, s.ended} {
		for _, e := range list {
			switch {
			case e.Fence == 0:
			case e.HoldersLeft < e.MinHolders:
				return fmt.Errorf("W1: grant %d of %s left a shard with %d holders, the minimum was %d",
					e.Fence, e.Machine, e.HoldersLeft, e.MinHolders)
			case e.SpareCapacity < 0:
				return fmt.Errorf("W3: grant %d of %s left capacity %.2f below the load with headroom", e.Fence, e.Machine, -e.SpareCapacity)
			case e.GrantedAt > s.pauseFrom && e.GrantedAt < s.pauseUntil:
				return fmt.Errorf("W6: grant %d of %s at %v falls within the pause from %v to %v: %s",
					e.Fence, e.Machine, e.GrantedAt, s.pauseFrom, s.pauseUntil, s.pauseReason)
			}
		}
	}
	return nil
}

// checkOutCounts checks W2 over the grants made under the limits in force. Grants of earlier revisions are left out, because
// lowered limits do not end a grant.
func (s *State) checkOutCounts() error {
	zones, voters, total := map[string]int{}, 0, 0
	for _, e := range s.open {
		if !e.Phase.live() || e.Revision != s.revision {
			continue
		}
		total++
		zones[e.Zone]++
		if e.Voter {
			voters++
		}
		if zones[e.Zone] > s.limits.MaxOutPerZone {
			return fmt.Errorf("W2: %d machines are out in zone %q, %d are allowed", zones[e.Zone], e.Zone, s.limits.MaxOutPerZone)
		}
		if voters > 1 {
			return fmt.Errorf("W2: %d voters are out at once, the last one is %s", voters, e.Machine)
		}
	}
	if total > s.limits.MaxOut {
		return fmt.Errorf("W2: %d machines are out in total, %d are allowed", total, s.limits.MaxOut)
	}
	return nil
}

// checkFences checks W4: a machine has at most one live grant, each fence is used once, and fences increase with the time of the
// grant.
func (s *State) checkFences() error {
	live := map[string]uint64{}
	var grants []*entry
	for _, e := range s.open {
		if !e.Phase.open() {
			return fmt.Errorf("W4: %s of request %s is %s but still listed as open", e.Machine, e.Request, e.Phase)
		}
		if !e.Phase.live() {
			continue
		}
		if other, duplicate := live[e.Machine]; duplicate {
			return fmt.Errorf("W4: %s has two live grants, %d and %d", e.Machine, other, e.Fence)
		}
		live[e.Machine] = e.Fence
	}
	for _, e := range s.open {
		if !e.Phase.live() {
			continue
		}
		if m := s.machines[e.Machine]; m == nil || m.live != e {
			return fmt.Errorf("W4: live grant %d of %s is not the one recorded for its machine", e.Fence, e.Machine)
		}
	}
	for _, list := range [][]*entry{s.open, s.ended} {
		for _, e := range list {
			if e.Fence > 0 {
				grants = append(grants, e)
			}
			if e.Phase.live() != (e.Fence > 0 && e.Phase.open()) {
				return fmt.Errorf("W4: %s is %s with fence %d", e.Machine, e.Phase, e.Fence)
			}
		}
	}
	sort.Slice(grants, func(i, j int) bool { return grants[i].Fence < grants[j].Fence })
	for i, e := range grants {
		if e.Fence > s.fence {
			return fmt.Errorf("W4: fence %d of %s is above the highest fence issued, %d", e.Fence, e.Machine, s.fence)
		}
		if i == 0 {
			continue
		}
		previous := grants[i-1]
		if previous.Fence == e.Fence {
			return fmt.Errorf("W4: fence %d is used for both %s and %s", e.Fence, previous.Machine, e.Machine)
		}
		if previous.GrantedAt > e.GrantedAt {
			return fmt.Errorf("W4: fence %d of %s was granted at %v, after fence %d of %s at %v",
				previous.Fence, previous.Machine, previous.GrantedAt, e.Fence, e.Machine, e.GrantedAt)
		}
	}
	return nil
}

// checkPassedOver checks W5: no grant took resources that a passed-over request had reserved.
func (s *State) checkPassedOver() error {
	for _, e := range s.open {
		if e.PassedOver > s.limits.MaxPassedOver {
			return fmt.Errorf("W5: %s of request %s was passed over %d times, %d are allowed",
				e.Machine, e.Request, e.PassedOver, s.limits.MaxPassedOver)
		}
	}
	return nil
}

// checkTimes checks W7: no grant stays live past its deadline, and ended items are ordered by end time.
func (s *State) checkTimes() error {
	for _, e := range s.open {
		if (e.Phase == Granted || e.Phase == Acknowledged || e.Phase == Out) && e.Until <= s.now {
			return fmt.Errorf("W7: %s is still %s past its deadline %s, at %s", e.Machine, e.Phase, formatTime(e.Until), formatTime(s.now))
		}
	}
	for i, e := range s.ended {
		if i > 0 && s.ended[i-1].EndedAt > e.EndedAt || e.EndedAt > s.now {
			return fmt.Errorf("W7: %s ended at %s, out of order at %s", e.Machine, formatTime(e.EndedAt), formatTime(s.now))
		}
	}
	return nil
}
