package maintenance

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// formatTime is an agreed time as people read it: UTC, to the second.
func formatTime(at time.Duration) string { return time.Unix(0, int64(at)).UTC().Format(time.RFC3339) }

// roundSpan is a span as people read it.
func roundSpan(d time.Duration) time.Duration { return d.Round(100 * time.Millisecond) }

// inventorySums are what the rules read of the inventory at one time.
type inventorySums struct {
	at            time.Duration
	ready         []int   // by cell: replicas up, warm and not in the plan
	present       []int   // by cell: replicas that are not gone and not flapping, or out by the plan
	readySize     float64 // of the ready, in mean replicas
	out           int     // in the plan: a live item, or one that settles
	zones         map[string]int
	voters        int // up, not flapping and not in the plan
	votersOut     int // in the plan
	votersPresent int // not gone and not flapping
	reserved      []*entry
}

// inMaintenance: a machine has a live item or an ended grant that still counts.
func (m *machine) inMaintenance(now time.Duration) bool { return m.live != nil || m.Settle > now }

// ready: counts as serving: up, warm, not flapping, and nothing of the plan is on it.
func (s *State) isReady(m *machine, now time.Duration) bool {
	return m.Kind == Replica && m.Status == Up && now >= m.Started+s.limits.WarmUp && !m.inMaintenance(now) && !s.isFlapping(m, now)
}

// isPresent: it is there, and may be relied on once nothing of the plan is on it.
func (s *State) isPresent(m *machine, now time.Duration) bool {
	return m.Status != Gone && !s.isFlapping(m, now)
}

func (m *machine) size() float64 {
	if m.Size == 0 {
		return 1
	}
	return m.Size
}

// inventorySums adds up the inventory, once for each time and change.
func (s *State) inventorySums(now time.Duration) *inventorySums {
	t := &s.sums
	if s.sumsValid && t.at == now {
		return t
	}
	n := s.limits.Cells
	if len(t.ready) != n {
		t.ready, t.present = make([]int, n), make([]int, n)
	}
	clear(t.ready)
	clear(t.present)
	*t = inventorySums{at: now, ready: t.ready, present: t.present, zones: map[string]int{}}
	for _, m := range s.list {
		inRing := m.Kind == Replica && m.Cell >= 0 && m.Cell < n
		countsAsPresent := s.isPresent(m, now) || m.live != nil // what is out by the plan comes back
		if inRing && countsAsPresent {
			t.present[m.Cell]++
		}
		if s.isReady(m, now) {
			t.readySize += m.size()
			if inRing {
				t.ready[m.Cell]++
			}
		}
		busy := m.inMaintenance(now)
		if busy {
			t.out++
			t.zones[m.effectiveZone()]++
		}
		if m.Voter || m.live != nil && m.live.Voter {
			switch {
			case busy:
				t.votersOut++
			case m.Status == Up && s.isPresent(m, now):
				t.voters++
			}
			if countsAsPresent {
				t.votersPresent++
			}
		}
	}
	for _, e := range s.open {
		if e.Phase == Pending && e.PassedOver >= s.limits.MaxPassedOver {
			t.reserved = append(t.reserved, e)
		}
	}
	s.sumsValid = true
	return t
}

// zone of a machine: while it has a live item, the one that it was granted in.
func (m *machine) effectiveZone() string {
	if m.live != nil {
		return m.live.Zone
	}
	return m.Zone
}

// fewestHolders gives the fewest of count that are left to a shard of a cell without `without` of them, and that shard. ok is
// false if the cell holds no shard.
func (l *Limits) fewestHolders(holders []int, cell, removed int) (left, shard int, ok bool) {
	wrap := func(c int) int { return ((c % l.Cells) + l.Cells) % l.Cells }
	n := 0
	for k := 0; k < l.Reach; k++ {
		n += holders[wrap(cell+k)]
	}
	left = math.MaxInt
	for j := 0; j < l.Reach; j++ { // shard cell-j is held by the cells from it on, so one comes in and one goes
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

// MayGrant says whether one more grant, of this machine, is allowed: the same check as that of the command "grant", by
// W1 to W6. left is the fewest holders left to a shard of its; the error names the rule. Of several requests for one
// machine the first that may go is meant, urgent ones first. now before the agreed time counts as that; later, it
// still counts what a tick would end.
func (s *State) MayGrant(now time.Duration, name string) (left int, err error) {
	_, left, err = s.NextGrant(now, name)
	return left, err
}

// NextGrant is MayGrant with the item that is meant: a grant for another request of the machine may be refused.
func (s *State) NextGrant(now time.Duration, name string) (next Item, left int, err error) {
	now = max(now, s.now)
	m := s.machines[name]
	if m == nil {
		return Item{}, 0, fmt.Errorf("W4: %s is not in the inventory", name)
	}
	err = fmt.Errorf("W4: no request asks for %s", name)
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

// evaluateGrant is the one choke point of a grant.
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
		return 0, 0, fmt.Errorf("W4: %s is %s by number %d", e.Machine, m.live.Phase, m.live.Fence)
	}
	if m.Settle > now {
		return 0, 0, fmt.Errorf("W4: an ended grant of %s settles until %s", e.Machine, formatTime(m.Settle))
	}
	t := s.inventorySums(now)
	if err := s.checkOutLimits(t, m); err != nil {
		return 0, 0, err
	}
	if m.Kind == Replica {
		if holdersLeft, err = s.checkHolders(t, m, now); err != nil {
			return 0, 0, err
		}
		if spareCapacity, err = s.checkCapacity(t, m, now); err != nil {
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

// requiredCapacity is the load with its headroom. The conversion keeps it from being fused into a sum, which would give other bits
// at co-ordinators of another architecture.
func (s *State) requiredCapacity() float64 { return float64(s.load * float64(1+s.limits.Headroom)) }

// checkPaused says why nothing at all is granted.
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

// checkHolders is W1: each shard of the machine keeps MinHolders that are up, warm and not in the plan.
func (s *State) checkHolders(t *inventorySums, m *machine, now time.Duration) (int, error) {
	if m.Cell < 0 || m.Cell >= s.limits.Cells {
		return 0, fmt.Errorf("W1: cell %d of %s is not in a ring of %d", m.Cell, m.Name, s.limits.Cells)
	}
	removed := 0
	if s.isReady(m, now) {
		removed = 1
	}
	left, shard, ok := s.limits.fewestHolders(t.ready, m.Cell, removed)
	if ok && left < s.limits.MinHolders {
		return 0, fmt.Errorf("W1: shard %d would be left with %d holders up and warm, %d wanted",
			shard, left, s.limits.MinHolders)
	}
	if !ok {
		left = s.limits.MinHolders // it holds nothing, so nothing is left with fewer
	}
	return left, nil
}

// checkOutLimits is W2: in the zone, in all, and among the voters.
func (s *State) checkOutLimits(t *inventorySums, m *machine) error {
	l := &s.limits
	switch {
	case t.out >= l.MaxOut:
		return fmt.Errorf("W2: %d are out in all, %d are allowed", t.out, l.MaxOut)
	case t.zones[m.Zone] >= l.MaxOutPerZone:
		return fmt.Errorf("W2: %d are out in zone %q, %d are allowed", t.zones[m.Zone], m.Zone, l.MaxOutPerZone)
	case !m.Voter:
		return nil
	case t.votersOut > 0:
		return fmt.Errorf("W2: %d voter is out already", t.votersOut)
	}
	left := t.voters
	if m.Status == Up && s.isPresent(m, t.at) {
		left--
	}
	if left < l.MinVoters {
		return fmt.Errorf("W2: %d voters would be left up, %d wanted", left, l.MinVoters)
	}
	return nil
}

// checkCapacity is W3: what is left, warm, covers the load with the headroom.
func (s *State) checkCapacity(t *inventorySums, m *machine, now time.Duration) (spareCapacity float64, err error) {
	if !s.loadKnown {
		return 0, errors.New("W3: the load is not known")
	}
	if age := now - s.loadAt; age > s.limits.MaxLoadAge {
		return 0, fmt.Errorf("W3: the load is %v old, %v is allowed", roundSpan(age), s.limits.MaxLoadAge)
	}
	left := t.readySize
	if s.isReady(m, now) {
		left -= m.size()
	}
	required := s.requiredCapacity()
	if left < required {
		return 0, fmt.Errorf("W3: %.2f would be left warm, the load with headroom is %.2f", left, required)
	}
	return left - required, nil
}
