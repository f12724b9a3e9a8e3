package takeout

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// clock is an agreed time as people read it: UTC, to the second.
func clock(at time.Duration) string { return time.Unix(0, int64(at)).UTC().Format(time.RFC3339) }

// rounded is a span as people read it.
func rounded(d time.Duration) time.Duration { return d.Round(100 * time.Millisecond) }

// sums are what the rules read of the inventory at one time.
type sums struct {
	at        time.Duration
	ready     []int   // by cell: replicas up, warm and not in the plan
	stay      []int   // by cell: replicas that are not gone and not flapping, or out by the plan
	size      float64 // of the ready, in mean replicas
	out       int     // in the plan: a live item, or one that settles
	zones     map[string]int
	voters    int // up, not flapping and not in the plan
	votersOut int // in the plan
	votersAll int // not gone and not flapping
	reserved  []*entry
}

// busyAt: a machine has a live item or an ended grant that still counts.
func (m *machine) busyAt(now time.Duration) bool { return m.live != nil || m.Settle > now }

// ready: counts as serving: up, warm, not flapping, and nothing of the plan is on it.
func (s *State) ready(m *machine, now time.Duration) bool {
	return m.Kind == Replica && m.Status == Up && now >= m.Started+s.limits.WarmUp && !m.busyAt(now) && !s.flaps(m, now)
}

// stays: it is there, and may be relied on once nothing of the plan is on it.
func (s *State) stays(m *machine, now time.Duration) bool {
	return m.Status != Gone && !s.flaps(m, now)
}

func (m *machine) size() float64 {
	if m.Size == 0 {
		return 1
	}
	return m.Size
}

// sum adds up the inventory, once for each time and change.
func (s *State) sum(now time.Duration) *sums {
	t := &s.sums
	if s.fresh && t.at == now {
		return t
	}
	n := s.limits.Cells
	if len(t.ready) != n {
		t.ready, t.stay = make([]int, n), make([]int, n)
	}
	clear(t.ready)
	clear(t.stay)
	*t = sums{at: now, ready: t.ready, stay: t.stay, zones: map[string]int{}}
	for _, m := range s.list {
		in := m.Kind == Replica && m.Cell >= 0 && m.Cell < n
		stays := s.stays(m, now) || m.live != nil // what is out by the plan comes back
		if in && stays {
			t.stay[m.Cell]++
		}
		if s.ready(m, now) {
			t.size += m.size()
			if in {
				t.ready[m.Cell]++
			}
		}
		busy := m.busyAt(now)
		if busy {
			t.out++
			t.zones[m.zone()]++
		}
		if m.Voter || m.live != nil && m.live.Voter {
			switch {
			case busy:
				t.votersOut++
			case m.Status == Up && s.stays(m, now):
				t.voters++
			}
			if stays {
				t.votersAll++
			}
		}
	}
	for _, e := range s.open {
		if e.Phase == Asked && e.Passed >= s.limits.PassedMost {
			t.reserved = append(t.reserved, e)
		}
	}
	s.fresh = true
	return t
}

// zone of a machine: while it has a live item, the one that it was granted in.
func (m *machine) zone() string {
	if m.live != nil {
		return m.live.Zone
	}
	return m.Zone
}

// fewest gives the fewest of count that are left to a shard of a cell without `without` of them, and that shard. ok is
// false if the cell holds no shard.
func (l *Limits) fewest(count []int, cell, without int) (left, shard int, ok bool) {
	wrap := func(c int) int { return ((c % l.Cells) + l.Cells) % l.Cells }
	n := 0
	for k := 0; k < l.Reach; k++ {
		n += count[wrap(cell+k)]
	}
	left = math.MaxInt
	for j := 0; j < l.Reach; j++ { // shard cell-j is held by the cells from it on, so one comes in and one goes
		r := wrap(cell - j)
		if j > 0 {
			n += count[r] - count[wrap(r+l.Reach)]
		}
		if r < l.Shards && n-without < left {
			left, shard, ok = n-without, r, true
		}
	}
	return left, shard, ok
}

// MayGo says whether one more grant, of this machine, is allowed: the same check as that of the command "grant", by
// W1 to W6. left is the fewest holders left to a shard of its; the error names the rule. Of several requests for one
// machine the first that may go is meant, urgent ones first. now before the agreed time counts as that; later, it
// still counts what a tick would end.
func (s *State) MayGo(now time.Duration, name string) (left int, err error) {
	_, left, err = s.Next(now, name)
	return left, err
}

// Next is MayGo with the item that is meant: a grant for another request of the machine may be refused.
func (s *State) Next(now time.Duration, name string) (next Item, left int, err error) {
	now = max(now, s.now)
	m := s.machines[name]
	if m == nil {
		return Item{}, 0, fmt.Errorf("W4: %s is not in the inventory", name)
	}
	err = fmt.Errorf("W4: no request asks for %s", name)
	for _, p := range []Priority{Urgent, Routine} {
		for _, e := range m.asked {
			if e.req.Priority == p {
				if left, _, err = s.mayGo(now, e); err == nil {
					return e.Item, left, nil
				}
			}
		}
	}
	return Item{}, 0, err
}

// mayGo is the one choke point of a grant.
func (s *State) mayGo(now time.Duration, e *entry) (left int, room float64, err error) {
	m := s.machines[e.Machine]
	if m == nil {
		return 0, 0, fmt.Errorf("W4: %s is not in the inventory", e.Machine)
	}
	if err := s.paused(now); err != nil {
		return 0, 0, err
	}
	if now < e.req.Earliest {
		return 0, 0, fmt.Errorf("not before its earliest time, %s", clock(e.req.Earliest))
	}
	if e.req.Latest > 0 && now > e.req.Latest {
		return 0, 0, fmt.Errorf("its latest time, %s, has passed", clock(e.req.Latest))
	}
	if m.live != nil {
		return 0, 0, fmt.Errorf("W4: %s is %s by number %d", e.Machine, m.live.Phase, m.live.Fence)
	}
	if m.Settle > now {
		return 0, 0, fmt.Errorf("W4: an ended grant of %s settles until %s", e.Machine, clock(m.Settle))
	}
	t := s.sum(now)
	if err := s.places(t, m); err != nil {
		return 0, 0, err
	}
	if m.Kind == Replica {
		if left, err = s.holders(t, m, now); err != nil {
			return 0, 0, err
		}
		if room, err = s.capacity(t, m, now); err != nil {
			return 0, 0, err
		}
	}
	if h := s.head(now, e); h != nil {
		if err := s.yields(now, e, h); err != nil {
			return 0, 0, err
		}
	}
	return left, room, nil
}

// need is the load with its headroom. The conversion keeps it from being fused into a sum, which would give other bits
// at co-ordinators of another architecture.
func (s *State) need() float64 { return float64(s.load * float64(1+s.limits.Headroom)) }

// paused says why nothing at all is granted.
func (s *State) paused(now time.Duration) error {
	switch {
	case s.revision == 0:
		return errors.New("no limits are in force yet")
	case s.asks.Paused:
		return errors.New("paused by the operators")
	case s.stale:
		return errors.New("W1: the limits changed, and no whole inventory has come since")
	case !s.listed:
		return errors.New("W3: no inventory has come yet")
	case now-s.listAt > s.limits.ListAge:
		return fmt.Errorf("W3: the inventory is %v old, %v is allowed", rounded(now-s.listAt), s.limits.ListAge)
	case now < s.pauseUntil:
		return fmt.Errorf("W6: paused until %s, for %v more: %s", clock(s.pauseUntil), rounded(s.pauseUntil-now), s.pauseWhy)
	}
	return nil
}

// holders is W1: each shard of the machine keeps HoldersLeast that are up, warm and not in the plan.
func (s *State) holders(t *sums, m *machine, now time.Duration) (int, error) {
	if m.Cell < 0 || m.Cell >= s.limits.Cells {
		return 0, fmt.Errorf("W1: cell %d of %s is not in a ring of %d", m.Cell, m.Name, s.limits.Cells)
	}
	own := 0
	if s.ready(m, now) {
		own = 1
	}
	left, shard, ok := s.limits.fewest(t.ready, m.Cell, own)
	if ok && left < s.limits.HoldersLeast {
		return 0, fmt.Errorf("W1: shard %d would be left with %d holders up and warm, %d wanted",
			shard, left, s.limits.HoldersLeast)
	}
	if !ok {
		left = s.limits.HoldersLeast // it holds nothing, so nothing is left with fewer
	}
	return left, nil
}

// places is W2: in the zone, in all, and among the voters.
func (s *State) places(t *sums, m *machine) error {
	l := &s.limits
	switch {
	case t.out >= l.OutMost:
		return fmt.Errorf("W2: %d are out in all, %d are allowed", t.out, l.OutMost)
	case t.zones[m.Zone] >= l.OutByZone:
		return fmt.Errorf("W2: %d are out in zone %q, %d are allowed", t.zones[m.Zone], m.Zone, l.OutByZone)
	case !m.Voter:
		return nil
	case t.votersOut > 0:
		return fmt.Errorf("W2: %d voter is out already", t.votersOut)
	}
	left := t.voters
	if m.Status == Up && s.stays(m, t.at) {
		left--
	}
	if left < l.VotersLeast {
		return fmt.Errorf("W2: %d voters would be left up, %d wanted", left, l.VotersLeast)
	}
	return nil
}

// capacity is W3: what is left, warm, covers the load with the headroom.
func (s *State) capacity(t *sums, m *machine, now time.Duration) (room float64, err error) {
	if !s.loadKnown {
		return 0, errors.New("W3: the load is not known")
	}
	if age := now - s.loadAt; age > s.limits.LoadAge {
		return 0, fmt.Errorf("W3: the load is %v old, %v is allowed", rounded(age), s.limits.LoadAge)
	}
	left := t.size
	if s.ready(m, now) {
		left -= m.size()
	}
	need := s.need()
	if left < need {
		return 0, fmt.Errorf("W3: %.2f would be left warm, the load with headroom is %.2f", left, need)
	}
	return left - need, nil
}
