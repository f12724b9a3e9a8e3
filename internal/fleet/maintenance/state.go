package maintenance

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"time"
)

// The most that is kept, and what goes first.
const (
	// MaxMachines lines of the inventory. The one gone for longest goes first, if it has no open item; if there is none
	// such, the observation is refused.
	MaxMachines = 10_000
	// MaxRequests at once; a file with more is refused.
	MaxRequests = 1_000
	// MaxItems, open and ended. The first to go is the oldest ended one of a request that is no longer requested; an ended
	// one of a standing request stays, or its machine would be requested again. If none can go, new ones wait.
	MaxItems = 20_000
	// MaxNameLength bytes in a name, id or reason.
	MaxNameLength = 253
	// MaxAttempts times a machine is requested again after its grant ended before it was acknowledged (the leader died, a
	// co-ordinator refused): no fault of the site's. Each is a new grant with a new number. Twice as many: a machine whose
	// drain is always refused takes a place in the plan so much longer. Half: a few dead leaders in a row lose a request.
	MaxAttempts = 4
	// GoneRetention is how long a machine that is gone, with no open item, stays in the inventory. Shorter: a machine back
	// after a long repair is taken for a new one, with no harm but its history; longer: co-ordinators gone for good make
	// the leader account for their silence for so long.
	GoneRetention = time.Hour
	// MaxGrantTime is the longest from a grant until its machine has to be gone: a leader that errs in its clock can not
	// hold a place in the plan for more. Half: sites whose tools need a day to come round lose their grants.
	MaxGrantTime = 24 * time.Hour
	// MaxOutage is the longest that a machine may be out by one request. One that is away for longer is taken out of the
	// inventory and asked for once it is back; twice as long would hold its place in the plan for two months.
	MaxOutage = 30 * 24 * time.Hour
	// MaxPauseFactor times Limits.FailurePause is the longest pause after failures, and the span in which a machine's are counted.
	MaxPauseFactor = 8
	// FlapThreshold unplanned failures of one machine within MaxPauseFactor times FailurePause make it flapping, see flapping.go. One more: a
	// crash loop pauses the plan once more, for up to MaxPauseFactor times FailurePause; one less: a machine that fails, is restarted
	// by hand and fails again is not relied on for as long.
	FlapThreshold = 3
)

// machine is a line of the inventory with what the rules remember of it.
type machine struct {
	Machine
	Last   Status        `json:"last"`              // its last status but Unknown
	GoneAt time.Duration `json:"gone_at,omitempty"` // since when it is gone
	Settle time.Duration `json:"settle,omitempty"`  // until then an ended grant of its counts
	flapHistory
	live    *entry   // granted, acknowledged, out or returned
	pending []*entry // that wait, in the order of asking
}

// entry is an item with its place in the order of asking.
type entry struct {
	Item
	seq int
	req *request // what asked for it; its words outlive its withdrawal
}

type key struct{ request, machine string }

// request is one that is requested, with the agreed time at which it was first seen.
type request struct {
	Request
	FirstSeenAt time.Duration `json:"at"`
}

// State is the agreed order of work. It is not for use by two goroutines at once, not even to read.
type State struct {
	now time.Duration

	limits         Limits
	revision       int  // of the limits; 0: none yet
	needsInventory bool // the limits changed, and no complete inventory has come since

	requested RequestsBody
	requests  []*request
	byID      map[string]*request

	machines map[string]*machine
	list     []*machine // by name
	cells    map[int][]*machine

	open   []*entry       // in the order of asking
	ended  []*entry       // by the time of their end, then in the order of asking
	latest map[key]*entry // the latest of a machine in a request
	seq    int
	fence  uint64 // the highest of a grant

	load       float64
	loadKnown  bool
	loadAt     time.Duration // of the last observation whose load was known
	observedAt time.Duration // of the last observation
	observed   bool          // there was one

	pauseFrom, pauseUntil, pauseSpan time.Duration // W6
	pauseReason                      string

	sums      inventorySums // of the inventory, while fresh
	sumsValid bool
}

// New makes the empty state: no limits, so nothing may go.
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

func (p Phase) live() bool { return p == Granted || p == Acknowledged || p == Out || p == Returned }

func (p Phase) open() bool { return p == Pending || p.live() }

// Items are all that are remembered, in the order of asking, then by name. The slice is the caller's.
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

// Open are the items that are not ended, in the order of asking. The slice is the caller's.
func (s *State) Open() []Item {
	out := make([]Item, len(s.open))
	for i, e := range s.open {
		out[i] = e.Item
	}
	return out
}

// ActiveItem is the live one of a machine: granted, acknowledged, out or returned.
func (s *State) ActiveItem(name string) (Item, bool) {
	if m := s.machines[name]; m != nil && m.live != nil {
		return m.live.Item, true
	}
	return Item{}, false
}

// Machines is the inventory by name. The slice is the caller's.
func (s *State) Machines() []Machine {
	out := make([]Machine, len(s.list))
	for i, m := range s.list {
		out[i] = m.Machine
	}
	return out
}

// Machine is one line of the inventory.
func (s *State) Machine(name string) (Machine, bool) {
	if m := s.machines[name]; m != nil {
		return m.Machine, true
	}
	return Machine{}, false
}

// InventoryDigest is one of the complete inventory, equal for equal ones.
func (s *State) InventoryDigest() string {
	h := sha256.New()
	e := json.NewEncoder(h)
	for _, m := range s.list {
		if e.Encode(m.Machine) != nil {
			return "" // a size that is no number, which valid refuses
		}
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Limits in force and their revision; 0 while there are none.
func (s *State) Limits() (Limits, int) { return s.limits, s.revision }

// Requests is what the operators ask for, as it was last accepted.
func (s *State) Requests() RequestsBody {
	a := s.requested
	a.Requests = append([]Request(nil), a.Requests...)
	return a
}

// ObservedLoad is the load last seen, in mean replicas kept busy, when it was seen, and whether the last observation knew
// it.
func (s *State) ObservedLoad() (load float64, at time.Duration, known bool) {
	return s.load, s.loadAt, s.loadKnown
}

// ObservedAt is the agreed time of the last observation; false before the first.
func (s *State) ObservedAt() (time.Duration, bool) { return s.observedAt, s.observed }

// NeedsCompleteInventory says that nothing is granted until a complete inventory was observed: there was none yet, or the limits
// changed.
func (s *State) NeedsCompleteInventory() bool { return s.needsInventory || !s.observed }

// Paused says whether nothing at all may be granted now, and why.
func (s *State) Paused(now time.Duration) (bool, string) {
	if err := s.checkPaused(max(now, s.now)); err != nil {
		return true, err.Error()
	}
	return false, ""
}

// add puts a machine into the inventory; nil if there is no room.
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

// listIndex gives a name's place in the list.
func (s *State) listIndex(name string) int {
	return sort.Search(len(s.list), func(i int) bool { return s.list[i].Name >= name })
}

// addToCell notes a replica with its cell, in the order of names.
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

// dropGone makes room in the inventory for one: the longest gone that nothing is open for.
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

// machinesWithOpenItems are the machines with an open item.
func (s *State) machinesWithOpenItems() map[string]bool {
	b := make(map[string]bool, len(s.open))
	for _, e := range s.open {
		b[e.Machine] = true
	}
	return b
}
