package maintenance

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// formatTime formats an agreed time for messages: RFC 3339 in UTC, to the second.
func formatTime(at time.Duration) string { return time.Unix(0, int64(at)).UTC().Format(time.RFC3339) }

// roundSpan rounds a duration for messages.
func roundSpan(d time.Duration) time.Duration { return d.Round(100 * time.Millisecond) }

// inventorySums holds the totals that the rules read from the inventory, as of one time.
type inventorySums struct {
	at            time.Duration
	ready         []int          // by cell: replicas that are up, warm, not flapping and not in maintenance
	present       []int          // by cell: replicas that are neither gone nor flapping, or that have a live item
	readySize     float64        // total size of the ready replicas, in mean replicas
	out           int            // machines with a live item or an ended grant that still counts
	zones         map[string]int // out, by zone
	voters        int            // up, not flapping and not in maintenance
	votersOut     int            // in maintenance
	votersPresent int            // neither gone nor flapping, or with a live item
	reserved      []*entry       // pending items that have reserved their turn
}

// inMaintenance reports whether the machine has a live item or an ended grant that still counts as out.
func (m *machine) inMaintenance(now time.Duration) bool { return m.live != nil || m.Settle > now }

// isReady reports whether the machine is a replica that counts as serving: up, warm, not flapping and not in maintenance.
func (s *State) isReady(m *machine, now time.Duration) bool {
	return m.Kind == Replica && m.Status == Up && now >= m.Started+s.limits.WarmUp && !m.inMaintenance(now) && !s.isFlapping(m, now)
}

// isPresent reports whether the machine is not gone and not flapping, so that it can serve once it is not in maintenance.
func (s *State) isPresent(m *machine, now time.Duration) bool {
	return m.Status != Gone && !s.isFlapping(m, now)
}

func (m *machine) size() float64 {
	if m.Size == 0 {
		return 1
	}
	return m.Size
}

// inventorySums returns the totals of the inventory. They are cached until the state or the time changes.
func (s *State) inventorySums(now time.Duration) *inventorySums {
	sums := &s.sums
	if s.sumsValid && sums.at == now {
		return sums
	}
	n := s.limits.Cells
	if len(sums.ready) != n {
		sums.ready, sums.present = make([]int, n), make([]int, n)
	}
	clear(sums.ready)
	clear(sums.present)
	*sums = inventorySums{at: now, ready: sums.ready, present: sums.present, zones: map[string]int{}}
	for _, m := range s.list {
		inRing := m.Kind == Replica && m.Cell >= 0 && m.Cell < n
		countsAsPresent := s.isPresent(m, now) || m.live != nil // a machine in planned maintenance is expected back
		if inRing && countsAsPresent {
			sums.present[m.Cell]++
		}
		if s.isReady(m, now) {
			sums.readySize += m.size()
			if inRing {
				sums.ready[m.Cell]++
			}
		}
		busy := m.inMaintenance(now)
		if busy {
			sums.out++
			sums.zones[m.effectiveZone()]++
		}
		if m.Voter || m.live != nil && m.live.Voter {
			switch {
			case busy:
				sums.votersOut++
			case m.Status == Up && s.isPresent(m, now):
				sums.voters++
			}
			if countsAsPresent {
				sums.votersPresent++
			}
		}
	}
	for _, e := range s.open {
		if e.Phase == Pending && e.PassedOver >= s.limits.MaxPassedOver {
			sums.reserved = append(sums.reserved, e)
		}
	}
	s.sumsValid = true
	return sums
}

// effectiveZone returns the zone in which the machine was granted while it has a live item, otherwise its current zone.
func (m *machine) effectiveZone() string {
	if m.live != nil {
		return m.live.Zone
	}
	return m.Zone
}

// fewestHolders returns the smallest number of holders that any shard of the cell keeps after `removed` holders of the cell are
// taken away, and that shard. holders counts the holders by cell. ok is false if the cell holds no shard.
func (l *Limits) fewestHolders(holders []int, cell, removed int) (left, shard int, ok bool) {
	wrap := func(c int) int { return ((c % l.Cells) + l.Cells) % l.Cells }
	n := 0
	for k := 0; k < l.Reach; k++ {
		n += holders[wrap(cell+k)]
	}
	left = math.MaxInt
	for j := 0; j < l.Reach; j++ { // shard cell-j is held by Reach cells starting at its own: each step adds one cell and drops one
		r := wrap(cell - j)
		if j > 0 {
			n += holders[r] - holders[wrap(r+l.Reach)]
		}
		if r < l.Shards && n-removed < left {
			left, shard, ok = n-removed, r, true
		}
	}
	return left, shard, ok
}

// MayGrant reports whether the machine may be granted now. It runs the same checks of W1 to W6 as the command "grant"; the error
// names the rule. left is the smallest number of holders that a shard of the machine keeps. If several requests are pending for
// the machine, the first one that may be granted is used, urgent ones first. A now before the agreed time is taken as the agreed
// time. For a later now, items whose deadline passes in between still count, since only a tick ends them.
func (s *State) MayGrant(now time.Duration, name string) (left int, err error) {
	_, left, err = s.NextGrant(now, name)
	return left, err
}

// NextGrant is like MayGrant and also returns the item that may be granted: a grant for another request of the machine may be
// refused.
func (s *State) NextGrant(now time.Duration, name string) (next Item, left int, err error) {
	now = max(now, s.now)
	m := s.machines[name]
	if m == nil {
		return Item{}, 0, fmt.Errorf("W4: %s is not in the inventory", name)
	}
	err = fmt.Errorf("W4: no pending request selects %s", name)
	for _, p := range []Priority{Urgent, Routine} {
		for _, e := range m.pending {
			if e.req.Priority == p {
				if left, _, err = s.evaluateGrant(now, e); err == nil {
					return e.Item, left, nil
				}
			}
		}
	}
	return Item{}, 0, err
}

// evaluateGrant checks all conditions for granting e. Every grant passes through it.
func (s *State) evaluateGrant(now time.Duration, e *entry) (holdersLeft int, spareCapacity float64, err error) {
	m := s.machines[e.Machine]
	if m == nil {
		return 0, 0, fmt.Errorf("W4: %s is not in the inventory", e.Machine)
	}
	if err := s.checkPaused(now); err != nil {
		return 0, 0, err
	}
	if now < e.req.Earliest {
		return 0, 0, fmt.Errorf("not before its earliest time, %s", formatTime(e.req.Earliest))
	}
	if e.req.Latest > 0 && now > e.req.Latest {
		return 0, 0, fmt.Errorf("its latest time, %s, has passed", formatTime(e.req.Latest))
	}
	if m.live != nil {
		return 0, 0, fmt.Errorf("W4: %s is already %s with fence %d", e.Machine, m.live.Phase, m.live.Fence)
	}
	if m.Settle > now {
		return 0, 0, fmt.Errorf("W4: an ended grant of %s counts as out until %s", e.Machine, formatTime(m.Settle))
	}
	sums := s.inventorySums(now)
	if err := s.checkOutLimits(sums, m); err != nil {
		return 0, 0, err
	}
	if m.Kind == Replica {
		if holdersLeft, err = s.checkHolders(sums, m, now); err != nil {
			return 0, 0, err
		}
		if spareCapacity, err = s.checkCapacity(sums, m, now); err != nil {
			return 0, 0, err
		}
	}
	if head := s.reservedHead(now, e); head != nil {
		if err := s.checkReservation(now, e, head); err != nil {
			return 0, 0, err
		}
	}
	return holdersLeft, spareCapacity, nil
}

// requiredCapacity returns the load with headroom. The explicit conversion prevents a fused multiply-add, which would give different
// bits on co-ordinators of another architecture.
func (s *State) requiredCapacity() float64 { return float64(s.load * float64(1+s.limits.Headroom)) }

// checkPaused returns the reason why no machine at all may be granted, or nil.
func (s *State) checkPaused(now time.Duration) error {
	switch {
	case s.revision == 0:
		return errors.New("no limits are in force yet")
	case s.requested.Paused:
		return errors.New("paused by the operators")
	case s.needsInventory:
		return errors.New("W1: the limits changed, and no whole inventory has come since")
	case !s.observed:
		return errors.New("W3: no inventory has come yet")
	case now-s.observedAt > s.limits.MaxInventoryAge:
		return fmt.Errorf("W3: the inventory is %v old, %v is allowed", roundSpan(now-s.observedAt), s.limits.MaxInventoryAge)
	case now < s.pauseUntil:
		return fmt.Errorf("W6: paused until %s, for %v more: %s", formatTime(s.pauseUntil), roundSpan(s.pauseUntil-now), s.pauseReason)
	}
	return nil
}

// checkHolders checks W1: each shard of the machine keeps MinHolders holders that are up, warm and not in maintenance.
func (s *State) checkHolders(sums *inventorySums, m *machine, now time.Duration) (int, error) {
	if m.Cell < 0 || m.Cell >= s.limits.Cells {
		return 0, fmt.Errorf("W1: cell %d of %s is not in a ring of %d cells", m.Cell, m.Name, s.limits.Cells)
	}
	removed := 0
	if s.isReady(m, now) {
		removed = 1
	}
	left, shard, ok := s.limits.fewestHolders(sums.ready, m.Cell, removed)
	if ok && left < s.limits.MinHolders {
		return 0, fmt.Errorf("W1: shard %d would be left with %d holders up and warm, %d required",
			shard, left, s.limits.MinHolders)
	}
	if !ok {
		left = s.limits.MinHolders // the cell holds no shard, so no shard loses a holder
	}
	return left, nil
}

// checkOutLimits checks W2: the limits on machines out in the zone and in total, and on voters.
func (s *State) checkOutLimits(sums *inventorySums, m *machine) error {
	l := &s.limits
	switch {
	case sums.out >= l.MaxOut:
		return fmt.Errorf("W2: %d machines are out in total, %d are allowed", sums.out, l.MaxOut)
	case sums.zones[m.Zone] >= l.MaxOutPerZone:
		return fmt.Errorf("W2: %d machines are out in zone %q, %d are allowed", sums.zones[m.Zone], m.Zone, l.MaxOutPerZone)
	case !m.Voter:
		return nil
	case sums.votersOut > 0:
		return fmt.Errorf("W2: %d voter is out already", sums.votersOut)
	}
	left := sums.voters
	if m.Status == Up && s.isPresent(m, sums.at) {
		left--
	}
	if left < l.MinVoters {
		return fmt.Errorf("W2: %d voters would be left up, %d required", left, l.MinVoters)
	}
	return nil
}

// checkCapacity checks W3: the warm capacity that remains covers the load with headroom.
func (s *State) checkCapacity(sums *inventorySums, m *machine, now time.Duration) (spareCapacity float64, err error) {
	if !s.loadKnown {
		return 0, errors.New("W3: the load is not known")
	}
	if age := now - s.loadAt; age > s.limits.MaxLoadAge {
		return 0, fmt.Errorf("W3: the load is %v old, %v is allowed", roundSpan(age), s.limits.MaxLoadAge)
	}
	left := sums.readySize
	if s.isReady(m, now) {
		left -= m.size()
	}
	required := s.requiredCapacity()
	if left < required {
		return 0, fmt.Errorf("W3: capacity %.2f would be left warm, the load with headroom is %.2f", left, required)
	}
	return left - required, nil
}
