package takeout

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"time"
)

// The most that is kept, and what goes first.
const (
	// MachinesMost lines of the inventory. The one gone for longest goes first, if it has no open item; if there is none
	// such, the observation is refused.
	MachinesMost = 10_000
	// RequestsMost asked for at once; a file with more is refused.
	RequestsMost = 1_000
	// ItemsMost, open and ended. The first to go is the oldest ended one of a request that is no more asked for; an ended
	// one of a standing request stays, or its machine would be asked for again. If none can go, new ones wait.
	ItemsMost = 20_000
	// NameMost bytes in a name, id or reason.
	NameMost = 253
	// AgainMost times a machine is asked for anew after its grant ended before it was told (the leader died, a
	// co-ordinator refused): no fault of the site's. Each is a new grant with a new number. Twice as many: a machine whose
	// drain is always refused takes a place in the plan so much longer. Half: a few dead leaders in a row lose a request.
	AgainMost = 4
	// ForgetGone is how long a machine that is gone, with no open item, stays in the inventory. Shorter: a machine back
	// after a long repair is taken for a new one, with no harm but its history; longer: co-ordinators gone for good make
	// the leader account for their silence for so long.
	ForgetGone = time.Hour
	// GrantMost is the longest from a grant until its machine has to be gone: a leader that errs in its clock can not
	// hold a place in the plan for more. Half: sites whose tools need a day to come round lose their grants.
	GrantMost = 24 * time.Hour
	// ForMost is the longest that a machine may be out by one request. One that is away for longer is taken out of the
	// inventory and asked for once it is back; twice as long would hold its place in the plan for two months.
	ForMost = 30 * 24 * time.Hour
	// CalmMost times Limits.Calm is the longest pause after failures, and the span in which a machine's are counted.
	CalmMost = 8
	// FlapFails unplanned failures of one machine within CalmMost times Calm make it flapping, see flap.go. One more: a
	// crash loop pauses the plan once more, for up to CalmMost times Calm; one less: a machine that fails, is restarted
	// by hand and fails again is not relied on for as long.
	FlapFails = 3
)

// machine is a line of the inventory with what the rules remember of it.
type machine struct {
	Machine
	Last   Status        `json:"last"`              // its last status but Unknown
	GoneAt time.Duration `json:"gone_at,omitempty"` // since when it is gone
	Settle time.Duration `json:"settle,omitempty"`  // until then an ended grant of its counts
	flap
	live  *entry   // granted, told, out or back
	asked []*entry // that wait, in the order of asking
}

// entry is an item with its place in the order of asking.
type entry struct {
	Item
	seq int
	req *request // what asked for it; its words outlive its withdrawal
}

type key struct{ request, machine string }

// request is one that is asked for, with the agreed time at which it was first seen.
type request struct {
	Request
	At time.Duration `json:"at"`
}

// State is the agreed order of work. It is not for use by two goroutines at once, not even to read.
type State struct {
	now time.Duration

	limits   Limits
	revision int  // of the limits; 0: none yet
	stale    bool // the limits changed, and no whole inventory has come since

	asks     AsksBody
	requests []*request
	byID     map[string]*request

	machines map[string]*machine
	list     []*machine // by name
	cells    map[int][]*machine

	open  []*entry       // in the order of asking
	ended []*entry       // by the time of their end, then in the order of asking
	last  map[key]*entry // the latest of a machine in a request
	seq   int
	fence uint64 // the highest of a grant

	load      float64
	loadKnown bool
	loadAt    time.Duration // of the last observation whose load was known
	listAt    time.Duration // of the last observation
	listed    bool          // there was one

	pauseFrom, pauseUntil, pauseSpan time.Duration // W6
	pauseWhy                         string

	sums  sums // of the inventory, while fresh
	fresh bool
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
		last:     map[key]*entry{},
	}
}

func (p Phase) live() bool { return p == Granted || p == Told || p == Out || p == Back }

func (p Phase) open() bool { return p == Asked || p.live() }

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

// Item is the live one of a machine: granted, told, out or back.
func (s *State) Item(name string) (Item, bool) {
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

// Sum is one of the whole inventory, equal for equal ones.
func (s *State) Sum() string {
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

// Asks is what the operators ask for, as it was last accepted.
func (s *State) Asks() AsksBody {
	a := s.asks
	a.Requests = append([]Request(nil), a.Requests...)
	return a
}

// LoadSeen is the load last seen, in mean replicas kept busy, when it was seen, and whether the last observation knew
// it.
func (s *State) LoadSeen() (load float64, at time.Duration, known bool) {
	return s.load, s.loadAt, s.loadKnown
}

// ListAt is the agreed time of the last observation; false before the first.
func (s *State) ListAt() (time.Duration, bool) { return s.listAt, s.listed }

// WantsWhole says that nothing is granted until the inventory is told whole: there was none yet, or the limits
// changed.
func (s *State) WantsWhole() bool { return s.stale || !s.listed }

// Paused says whether nothing at all may be granted now, and why.
func (s *State) Paused(now time.Duration) (bool, string) {
	if err := s.paused(max(now, s.now)); err != nil {
		return true, err.Error()
	}
	return false, ""
}

// add puts a machine into the inventory; nil if there is no room.
func (s *State) add(m Machine) *machine {
	if len(s.list) >= MachinesMost && !s.dropGone() {
		return nil
	}
	n := &machine{Machine: m, Last: m.Status}
	if m.Status == Gone {
		n.GoneAt = s.now
	}
	s.machines[m.Name] = n
	i := s.find(m.Name)
	s.list = append(s.list, nil)
	copy(s.list[i+1:], s.list[i:])
	s.list[i] = n
	s.place(n)
	s.fresh = false
	return n
}

// find gives a name's place in the list.
func (s *State) find(name string) int {
	return sort.Search(len(s.list), func(i int) bool { return s.list[i].Name >= name })
}

// place notes a replica with its cell, in the order of names.
func (s *State) place(m *machine) {
	if m.Kind != Replica {
		return
	}
	in := s.cells[m.Cell]
	i := sort.Search(len(in), func(i int) bool { return in[i].Name > m.Name })
	in = append(in, nil)
	copy(in[i+1:], in[i:])
	in[i] = m
	s.cells[m.Cell] = in
}

func (s *State) displace(m *machine) {
	in := s.cells[m.Cell]
	for i := range in {
		if in[i] == m {
			s.cells[m.Cell] = append(in[:i:i], in[i+1:]...)
			return
		}
	}
}

func (s *State) remove(m *machine) {
	s.displace(m)
	delete(s.machines, m.Name)
	i := s.find(m.Name)
	s.list = append(s.list[:i], s.list[i+1:]...)
	s.fresh = false
}

// dropGone makes room in the inventory for one: the longest gone that nothing is open for.
func (s *State) dropGone() bool {
	busy := s.busy()
	var best *machine
	for _, m := range s.list {
		if m.Status == Gone && !busy[m.Name] && m.Settle <= s.now && (best == nil || m.GoneAt < best.GoneAt) {
			best = m
		}
	}
	if best == nil {
		return false
	}
	s.remove(best)
	return true
}

// busy are the machines with an open item.
func (s *State) busy() map[string]bool {
	b := make(map[string]bool, len(s.open))
	for _, e := range s.open {
		b[e.Machine] = true
	}
	return b
}
