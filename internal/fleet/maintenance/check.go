package maintenance

import (
	"fmt"
	"sort"
)

// Check names the first of W1 to W7 that does not hold, with the evidence. W1, W3 and W6 are read from what each grant
// wrote down of its moment: later failures may leave less, and are no fault of the plan.
func (s *State) Check() error {
	for _, check := range []func() error{s.checkGrantEvidence, s.checkOutCounts, s.checkFences, s.checkPassedOver, s.checkTimes} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkGrantEvidence is W1, W3 and W6, by the evidence of each grant.
func (s *State) checkGrantEvidence() error {
	for _, list := range [][]*entry{s.open, s.ended} {
		for _, e := range list {
			switch {
			case e.Fence == 0:
			case e.HoldersLeft < e.MinHolders:
				return fmt.Errorf("W1: the grant %d of %s left %d holders to a shard, %d were wanted",
					e.Fence, e.Machine, e.HoldersLeft, e.MinHolders)
			case e.SpareCapacity < 0:
				return fmt.Errorf("W3: the grant %d of %s left %.2f under the load with headroom", e.Fence, e.Machine, -e.SpareCapacity)
			case e.GrantedAt > s.pauseFrom && e.GrantedAt < s.pauseUntil:
				return fmt.Errorf("W6: the grant %d of %s at %v is in the pause from %v to %v: %s",
					e.Fence, e.Machine, e.GrantedAt, s.pauseFrom, s.pauseUntil, s.pauseReason)
			}
		}
	}
	return nil
}

// checkOutCounts is W2, for what was granted by the limits in force: lowered limits end no grant.
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
			return fmt.Errorf("W2: %d are out in zone %q, %d are allowed", zones[e.Zone], e.Zone, s.limits.MaxOutPerZone)
		}
		if voters > 1 {
			return fmt.Errorf("W2: %d voters are out at once, the last is %s", voters, e.Machine)
		}
	}
	if total > s.limits.MaxOut {
		return fmt.Errorf("W2: %d are out in all, %d are allowed", total, s.limits.MaxOut)
	}
	return nil
}

// checkFences is W4: one live grant for a machine, each number once, and numbers that grow with time.
func (s *State) checkFences() error {
	live := map[string]uint64{}
	var grants []*entry
	for _, e := range s.open {
		if !e.Phase.open() {
			return fmt.Errorf("W4: %s of request %s is %s and still among the open", e.Machine, e.Request, e.Phase)
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
			return fmt.Errorf("W4: the live grant %d of %s is not that of its machine", e.Fence, e.Machine)
		}
	}
	for _, list := range [][]*entry{s.open, s.ended} {
		for _, e := range list {
			if e.Fence > 0 {
				grants = append(grants, e)
			}
			if e.Phase.live() != (e.Fence > 0 && e.Phase.open()) {
				return fmt.Errorf("W4: %s is %s with number %d", e.Machine, e.Phase, e.Fence)
			}
		}
	}
	sort.Slice(grants, func(i, j int) bool { return grants[i].Fence < grants[j].Fence })
	for i, e := range grants {
		if e.Fence > s.fence {
			return fmt.Errorf("W4: number %d of %s is over the highest given, %d", e.Fence, e.Machine, s.fence)
		}
		if i == 0 {
			continue
		}
		previous := grants[i-1]
		if previous.Fence == e.Fence {
			return fmt.Errorf("W4: number %d is of %s and of %s", e.Fence, previous.Machine, e.Machine)
		}
		if previous.GrantedAt > e.GrantedAt {
			return fmt.Errorf("W4: number %d of %s at %v is later than %d of %s at %v",
				previous.Fence, previous.Machine, previous.GrantedAt, e.Fence, e.Machine, e.GrantedAt)
		}
	}
	return nil
}

// checkPassedOver is W5: nothing took what a request had reserved.
func (s *State) checkPassedOver() error {
	for _, e := range s.open {
		if e.PassedOver > s.limits.MaxPassedOver {
			return fmt.Errorf("W5: %s of request %s was passed over %d times, %d are allowed",
				e.Machine, e.Request, e.PassedOver, s.limits.MaxPassedOver)
		}
	}
	return nil
}

// checkTimes is W7: nothing that was granted outlives its time.
func (s *State) checkTimes() error {
	for _, e := range s.open {
		if (e.Phase == Granted || e.Phase == Acknowledged || e.Phase == Out) && e.Until <= s.now {
			return fmt.Errorf("W7: %s is %s past its time, %s, at %s", e.Machine, e.Phase, formatTime(e.Until), formatTime(s.now))
		}
	}
	for i, e := range s.ended {
		if i > 0 && s.ended[i-1].EndedAt > e.EndedAt || e.EndedAt > s.now {
			return fmt.Errorf("W7: %s ended at %s, out of order at %s", e.Machine, formatTime(e.EndedAt), formatTime(s.now))
		}
	}
	return nil
}
