package fleetsim

import (
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/fleetsim/history"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/statemachine"
	"birchcart/internal/fleet/waveplan"
)

// World is one fleet in virtual time, played by a schedule.
type World struct {
	clockwork.Queue
	s      *Schedule
	rng    *rand.Rand
	links  *links
	nodes  []*node
	byName map[string]*node
	voters []int // ids of the voters

	machines     map[string]*machine
	machineNames []string
	lists        lists
	leaving      map[int]uint64

	shared  bool // copies of the agreed state are shared between nodes that stand at the same entry
	top     *book
	topAt   int
	shelf   []*sharedBook
	agreed  agreed
	decoded []statemachine.Command // of the agreed entries, 1, ...
	storeAt map[storeKey]time.Duration
	was     map[wasKey]maintenance.Item
	polls   map[pollKey]time.Duration // when it was sent
	changes int                       // of leaders
	leapt   bool                      // a clock is off by more than the offset of all
	results map[int]error             // of entries refused when they were applied
	order   drainctl.Order            // the planner's

	checker *history.Checker
	digest  hash.Hash64
	newest  [newestMost]history.Event // of the history, but for the many; the told-th goes to told modulo newestMost
	told    int
	line    []byte // of the newest event, for the digest
	lines   int
	err     error
	// Loose takes single guards of the wiring out, to see the checker find what they are for.
	Loose Loose
	// Trace is handed each line of the history.
	Trace func(string)
}

// Loose names guards of the emulated wiring that are left out.
type Loose struct {
	Unconfirmed bool // a leader answers polls without asking its voters whether it still leads
	Unkept      bool // a drain is said as laid though the disk does not have it
	AnyClock    bool // a leader hears of nobody's clock, so that it goes by its own
}

type (
	storeKey struct {
		index int
		term  uint64
	}
	wasKey struct {
		request, machine string
		asked            time.Duration
		try              int
	}
	pollKey struct {
		id int
		no uint64
	}
)

// Result of one world.
type Result struct {
	Err     error
	Digest  uint64 // of the whole history
	Lines   int
	Entries int
	Changes int // of leaders
	Figures history.Figures
	Last    []string // the newest lines before the failure
}

// New builds a world at time 0.
func New(s *Schedule) *World {
	w := &World{s: s, byName: map[string]*node{}, machines: map[string]*machine{}, leaving: map[int]uint64{},
		was: map[wasKey]maintenance.Item{}, polls: map[pollKey]time.Duration{}, results: map[int]error{},
		storeAt: map[storeKey]time.Duration{}, checker: history.New(), digest: fnv.New64a(),
		shared: s.Coordinators > sharedOver || s.Seed%ownEvery != 0}
	w.rng = clockwork.Rand(s.Seed, "world")
	w.links = newLinks(s.Coordinators, s.Link, clockwork.Rand(s.Seed, "links"))
	w.top, w.order = newBook(), waveplan.Order
	return w
}

// sharedOver is the fleet's size over which equal copies of the agreed state are shared; under it each has its own.
// Of smaller ones it is so in all but each ownEvery-th.
const (
	sharedOver = 24
	ownEvery   = 16
)

func zone(i, zones int) string { return fmt.Sprintf("z%d", i%zones) }

func (w *World) populate() {
	s := w.s
	w.tell(history.Event{Kind: history.Limits, Rules: history.Rules{Cells: s.Limits.Cells, Reach: s.Limits.Reach, Shards: s.Limits.Shards,
		HoldersLeast: s.Limits.MinHolders, OutByZone: s.Limits.MaxOutPerZone, OutMost: s.Limits.MaxOut, VotersLeast: s.Limits.MinVoters,
		PassedMost: s.Limits.MaxPassedOver, Overtake: 2*s.Limits.MaxOut + 8, Load: s.Load, Headroom: s.Limits.Headroom, Calm: s.Limits.FailurePause,
		Skew: s.Offset, Settle: s.Limits.SettleTime, Slack: s.Limits.MaxInventoryAge + 10*time.Second}})
	for i := range s.Replicas {
		m := &machine{name: fmt.Sprintf("r%03d", i), cell: i % s.Limits.Cells, status: maintenance.Up, start: clockwork.Epoch - time.Hour}
		m.zone = zone(i/s.Limits.Cells+i, s.Zones)
		w.addMachine(m, 0)
	}
	for i := range s.Voters {
		w.voters = append(w.voters, i)
	}
	clocks := clockwork.Rand(s.Seed, "clocks")
	for i := range s.Coordinators {
		n := &node{w: w, id: i, name: fmt.Sprintf("c%03d", i), skips: map[string]bool{}, drains: map[string]bool{}}
		n.clock = clock{1 + s.Drift*(2*clocks.Float64()-1), time.Duration((2*clocks.Float64() - 1) * float64(s.Offset))}
		if i < s.Voters {
			n.v = &voter{at: i, leader: -1}
		}
		w.nodes, w.byName[n.name] = append(w.nodes, n), n
		w.tell(history.Event{Kind: history.Joined, Name: n.name, Machine: history.Machine{Zone: zone(i, s.Zones), Voter: i < s.Voters}})
	}
	w.listChanged()
	for _, n := range w.nodes {
		n.start()
	}
	w.After(toolEvery, w.siteTool)
	for _, ask := range s.Asks {
		w.At(ask.At, func() {
			for _, id := range ask.By {
				if id < len(w.nodes) {
					w.nodes[id].asks = &ask
				}
			}
		})
	}
	for _, step := range s.Steps {
		w.At(step.At, func() { w.play(step) })
	}
}

// Run plays the schedule to its end, or to the first promise that is broken.
func (w *World) Run() Result {
	w.populate()
	stop := func() bool { return w.err != nil }
	for w.Now < w.s.End && !stop() && !w.finished() {
		w.Play(min(w.Now+time.Second, w.s.End), stop)
	}
	w.tell(history.Event{Kind: history.Ended, Quiet: w.Now - w.s.Healed()})
	return Result{Err: w.err, Digest: w.digest.Sum64(), Lines: w.lines, Entries: len(w.agreed.entries), Changes: w.changes,
		Figures: w.checker.Figures, Last: append(w.last(), w.waits()...)}
}

// last are the newest lines.
func (w *World) last() (lines []string) {
	for i := max(0, w.told-newestMost); i < w.told; i++ {
		lines = append(lines, w.newest[i%newestMost].String())
	}
	return lines
}

// briefQuiet is how long a brief world goes on after its last fault, at least.
const briefQuiet = 10 * time.Second

// finished is a world in which all faults are healed and nothing is under way or waits that could go.
func (w *World) finished() bool {
	healed := w.s.Healed()
	if w.s.Brief {
		return w.Now >= healed+briefQuiet && !w.checker.Waiting()
	}
	return w.Now >= healed+30*time.Second && !w.checker.Waiting() || w.Now >= max(healed, w.checker.Moved())+history.StillFor
}

// waits says of each item that waits what keeps it, and what goes on.
func (w *World) waits() (lines []string) {
	for _, item := range w.top.out.Open() {
		why := ""
		if item.Phase == maintenance.Pending {
			if _, err := w.top.out.MayGrant(w.top.led.Now(), item.Machine); err != nil {
				why = err.Error()
			}
		}
		lines = append(lines, fmt.Sprintf("open: %s of %s is %s, fence %d, passed %d: %s", item.Machine, item.Request, item.Phase,
			item.Fence, item.PassedOver, why))
	}
	return lines
}

func (w *World) fail(err error) {
	if w.err == nil {
		w.err = err
	}
}

const newestMost = 40 // lines of the history that a Result keeps

// tell adds a line to the history and has it checked.
func (w *World) tell(e history.Event) {
	if w.err != nil {
		return
	}
	e.At = w.Now
	w.line = e.Append(w.line[:0])
	w.digest.Write(w.line)
	if e.Kind != history.Sends && e.Kind != history.Leased {
		w.newest[w.told%newestMost] = e
		w.told++
	}
	w.lines++
	if w.Trace != nil {
		w.Trace(e.String())
	}
	if err := w.checker.Add(e); err != nil {
		w.fail(err)
	}
}

func (w *World) send(from, to int, do func(*node)) {
	for _, d := range w.links.deliveries(from, to) {
		w.After(d, func() { w.deliver(from, to, do) })
	}
}

func (w *World) deliver(from, to int, do func(*node)) {
	n := w.nodes[to]
	switch {
	case !n.up || w.err != nil:
	case n.stalled:
		if len(n.held) < heldMost {
			n.held = append(n.held, heldWord{from, do})
		}
	default:
		do(n)
	}
}

// leased tells by when the answered poll was sent how long its lease holds for sure by true time.
func (w *World) leased(n *node, no uint64) {
	key := pollKey{n.id, no}
	sent, ok := w.polls[key]
	if !ok {
		return
	}
	delete(w.polls, key)
	lease := time.Duration(float64(w.s.Limits.Lease) * 0.97)
	w.tell(history.Event{Kind: history.Leased, By: n.name, Until: sent + lease})
}

// stored notes the first moment at which a majority had an entry.
func (w *World) stored(_ *node, v *voter) {
	for i := max(len(w.agreed.entries), v.base) + 1; i <= v.last(); i++ {
		term, _ := v.termOf(i)
		key := storeKey{i, term}
		if _, known := w.storeAt[key]; !known && w.storing(i, term)*2 > len(w.voters) {
			w.storeAt[key] = w.Now
		}
	}
}

func (w *World) storing(index int, term uint64) (n int) {
	for _, id := range w.voters {
		v := w.nodes[id].v
		if t, has := v.termOf(index); !v.mute && (has && t == term || index < v.base) {
			n++
		}
	}
	return n
}

// commit applies what a leader finds committed to the copy above all others and tells the history what changed.
func (w *World) commit(n *node, upTo int) {
	err := w.agreed.commit(n.v, upTo, w.Now, func(index int, e entry) {
		stored, known := w.storeAt[storeKey{index, e.term}]
		if !known {
			stored = w.Now
		}
		w.topAt = index
		if e.raw != nil {
			w.decode(index, e.raw)
			if err := w.top.led.Apply(uint64(index), e.raw); err != nil {
				w.results[index] = err
				if w.top.led.Halted() != nil {
					w.fail(err)
				}
			}
			if err := w.top.led.Check(); err != nil {
				w.fail(fmt.Errorf("after entry %d: %w", index, err))
			}
			voters := w.storing(index, e.term)
			if known { // one of them may have lost its disk since
				voters = max(voters, len(w.voters)/2+1)
			}
			w.differences(index, voters, stored)
		}
	})
	if err != nil {
		w.fail(err)
	}
}

// majority tells the history whenever that comes or goes.
func (w *World) majority() {
	best := 0
	for _, a := range w.voters {
		with := 0
		for _, b := range w.voters {
			if w.nodes[a].up && w.nodes[b].up && w.links.both(a, b) {
				with++
			}
		}
		best = max(best, with)
	}
	on := best*2 > len(w.voters)
	w.tell(history.Event{Kind: history.Majority, On: on})
}
