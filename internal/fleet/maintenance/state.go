package maintenance

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"time"
)

// Limits on what the state keeps, and what is dropped first when they are reached.
const (
	// MaxMachines is the maximum size of the inventory. The machine that has been gone for longest and has no open item is
	// dropped first; if there is none, the observation is rejected.
	MaxMachines = 10_000
	// MaxRequests is the maximum number of requests in a file; a larger file is rejected.
	MaxRequests = 1_000
	// MaxItems is the maximum number of items, open and ended. The oldest ended item of a removed request is dropped first. Ended
	// items of current requests are kept, as their machines would be requested again otherwise. If no item can be dropped, no
	// item is added.
	MaxItems = 20_000
	// MaxNameLength is the maximum length in bytes of a name, an id or a reason.
	MaxNameLength = 253
	// MaxAttempts is how often a machine is granted for one request if its grants end before they are acknowledged, because the
	// leader failed or a co-ordinator refused, neither of which is the fault of the site. Each attempt is a new grant with a new
	// fence. With twice as many, a machine whose drain is always refused occupies a maintenance slot twice as long; with half as
	// many, a few leader failures in a row lose a request.
	MaxAttempts = 4
	// GoneRetention is how long a machine that is gone and has no open item stays in the inventory. If it is shorter, a machine
	// that returns after a long repair is taken for a new one and loses only its history; if it is longer, the leader has to
	// account for the silence of permanently removed co-ordinators for that much longer.
	GoneRetention = time.Hour
	// MaxGrantTime is the maximum time from a grant until its machine must be out. It bounds how long a leader with a wrong clock
	// can hold a maintenance slot. With half of it, sites whose tools need a day to act would lose their grants.
	MaxGrantTime = 24 * time.Hour
	// MaxOutage is the maximum time that a machine may be out for one request. A machine that is away for longer is to be removed
	// from the inventory and requested again once it is back; twice as long would hold its slot for two months.
	MaxOutage = 30 * 24 * time.Hour
	// MaxPauseFactor times Limits.FailurePause is the longest pause after failures, and the window in which the failures of a
	// machine are counted.
	MaxPauseFactor = 8
	// FlapThreshold is the number of unplanned failures within MaxPauseFactor times FailurePause that marks a machine as flapping,
	// see flapping.go. With one more, a crash loop pauses maintenance once more, for up to MaxPauseFactor times FailurePause;
	// with one less, a machine that fails, is restarted by hand and fails again is not relied on for that time.
	FlapThreshold = 3
)

// machine is a line of the inventory with the additional state that the rules need.
type machine struct {
	Machine
	Last   Status        `json:"last"`              // last status other than Unknown
	GoneAt time.Duration `json:"gone_at,omitempty"` // when it was first seen gone
	Settle time.Duration `json:"settle,omitempty"`  // an ended grant of this machine counts as out until then
	flapHistory
	live    *entry   // granted, acknowledged, out or returned
	pending []*entry // pending items, in request order
}

// entry is an item with its position in the request order.
type entry struct {
	Item
	seq int
	req *request // kept after the request is removed
}

// key identifies a machine in a request.
type key struct{ request, machine string }

// request is an operator's request with the agreed time at which it was first seen.
type request struct {
	Request
	FirstSeenAt time.Duration `json:"at"`
}

// State is the agreed maintenance state. It is not safe for concurrent use, not even for reads: reading updates cached sums.
type State struct {
	now time.Duration

	limits         Limits
	revision       int  // revision of the limits; 0: no limits yet
	needsInventory bool // the limits changed after the last complete inventory

	requested RequestsBody
	requests  []*request
	byID      map[string]*request

	machines map[string]*machine
	list     []*machine // sorted by name
	cells    map[int][]*machine

	open   []*entry       // in request order
	ended  []*entry       // by end time, then in request order
	latest map[key]*entry // latest item of a machine in a request
	seq    int
	fence  uint64 // highest fence issued

	load       float64
	loadKnown  bool
	loadAt     time.Duration // time of the last observation that included a load
	observedAt time.Duration // time of the last observation
	observed   bool          // whether there was an observation

	pauseFrom, pauseUntil, pauseSpan time.Duration // last pause of new grants (W6) and its length
	pauseReason                      string

	sums      inventorySums // cached totals of the inventory
	sumsValid bool
}

// New returns an empty state. It has no limits, so it allows no grant.
func New() *State {
	s := &State{}
	s.clear()
	return s
}

func (s *State) clear() {
	*s = State{
		byID:     map[string]*request{},
		machines: map[string]*machine{},
		cells:    map[int][]*machine{},
		latest:   map[key]*entry{},
	}
}

// live reports whether the phase belongs to a grant that has not ended.
func (p Phase) live() bool { return p == Granted || p == Acknowledged || p == Out || p == Returned }

// open reports whether an item in the phase has not ended.
func (p Phase) open() bool { return p == Pending || p.live() }

// Items returns a copy of all items, open and ended, in request order.
func (s *State) Items() []Item {
	all := make([]*entry, 0, len(s.open)+len(s.ended))
	all = append(append(all, s.open...), s.ended...)
	sort.Slice(all, func(i, j int) bool { return all[i].seq < all[j].seq })
	out := make([]Item, len(all))
	for i, e := range all {
		out[i] = e.Item
	}
	return out
}

// Open returns a copy of the items that have not ended, in request order.
func (s *State) Open() []Item {
	out := make([]Item, len(s.open))
	for i, e := range s.open {
		out[i] = e.Item
	}
	return out
}

// ActiveItem returns the live item of a machine: granted, acknowledged, out or returned.
func (s *State) ActiveItem(name string) (Item, bool) {
	if m := s.machines[name]; m != nil && m.live != nil {
		return m.live.Item, true
	}
	return Item{}, false
}

// Machines returns a copy of the inventory, sorted by name.
func (s *State) Machines() []Machine {
	out := make([]Machine, len(s.list))
	for i, m := range s.list {
		out[i] = m.Machine
	}
	return out
}

// Machine returns the inventory line of a machine.
func (s *State) Machine(name string) (Machine, bool) {
	if m := s.machines[name]; m != nil {
		return m.Machine, true
	}
	return Machine{}, false
}

// InventoryDigest returns a digest of the complete inventory. Equal inventories have equal digests.
func (s *State) InventoryDigest() string {
	h := sha256.New()
	e := json.NewEncoder(h)
	for _, m := range s.list {
		if e.Encode(m.Machine) != nil {
			return "" // a size that is not a number, which validate rejects
		}
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Limits returns the limits in force and their revision, which is 0 while there are none.
func (s *State) Limits() (Limits, int) { return s.limits, s.revision }

// Requests returns the operators' requests as last accepted.
func (s *State) Requests() RequestsBody {
	a := s.requested
	a.Requests = append([]Request(nil), a.Requests...)
	return a
}

// ObservedLoad returns the last known load, in mean replicas kept busy, the time when it was observed, and whether the last
// observation included a load.
func (s *State) ObservedLoad() (load float64, at time.Duration, known bool) {
	return s.load, s.loadAt, s.loadKnown
}

// ObservedAt returns the agreed time of the last observation; false means that there was none.
func (s *State) ObservedAt() (time.Duration, bool) { return s.observedAt, s.observed }

// NeedsCompleteInventory reports whether grants have to wait for a complete inventory: nothing was observed yet, or the limits
// changed since.
func (s *State) NeedsCompleteInventory() bool { return s.needsInventory || !s.observed }

// Paused reports whether no machine may be granted now, and why.
func (s *State) Paused(now time.Duration) (bool, string) {
	if err := s.checkPaused(max(now, s.now)); err != nil {
		return true, err.Error()
	}
	return false, ""
}

// add adds a machine to the inventory. It returns nil if the inventory is full.
func (s *State) add(m Machine) *machine {
	if len(s.list) >= MaxMachines && !s.dropGone() {
		return nil
	}
	n := &machine{Machine: m, Last: m.Status}
	if m.Status == Gone {
		n.GoneAt = s.now
	}
	s.machines[m.Name] = n
	i := s.listIndex(m.Name)
	s.list = append(s.list, nil)
	copy(s.list[i+1:], s.list[i:])
	s.list[i] = n
	s.addToCell(n)
	s.sumsValid = false
	return n
}

// listIndex returns the position of a name in the sorted list, or where it would be inserted.
func (s *State) listIndex(name string) int {
	return sort.Search(len(s.list), func(i int) bool { return s.list[i].Name >= name })
}

// addToCell adds a replica to the list of its cell, sorted by name.
func (s *State) addToCell(m *machine) {
	if m.Kind != Replica {
		return
	}
	replicas := s.cells[m.Cell]
	i := sort.Search(len(replicas), func(i int) bool { return replicas[i].Name > m.Name })
	replicas = append(replicas, nil)
	copy(replicas[i+1:], replicas[i:])
	replicas[i] = m
	s.cells[m.Cell] = replicas
}

func (s *State) removeFromCell(m *machine) {
	replicas := s.cells[m.Cell]
	for i := range replicas {
		if replicas[i] == m {
			s.cells[m.Cell] = append(replicas[:i:i], replicas[i+1:]...)
			return
		}
	}
}

func (s *State) remove(m *machine) {
	s.removeFromCell(m)
	delete(s.machines, m.Name)
	i := s.listIndex(m.Name)
	s.list = append(s.list[:i], s.list[i+1:]...)
	s.sumsValid = false
}

// dropGone makes room for a machine: it drops the one that has been gone for longest, among those with nothing open.
func (s *State) dropGone() bool {
	busy := s.machinesWithOpenItems()
	var oldest *machine
	for _, m := range s.list {
		if m.Status == Gone && !busy[m.Name] && m.Settle <= s.now && (oldest == nil || m.GoneAt < oldest.GoneAt) {
			oldest = m
		}
	}
	if oldest == nil {
		return false
	}
	s.remove(oldest)
	return true
}

// machinesWithOpenItems returns the set of machines that have an open item.
func (s *State) machinesWithOpenItems() map[string]bool {
	b := make(map[string]bool, len(s.open))
	for _, e := range s.open {
		b[e.Machine] = true
	}
	return b
}
