package fleetsim

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/fleetsim/history"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/statemachine"
	"birchcart/internal/fleet/view"
)

// The small world that is searched through: 3 co-ordinators, all voters, with their true views and ledgers; 4 replicas on
// a ring of 4 cells, two holders to a shard; 2 requests. Its leader is a wrong one: it grants whatever is asked for,
// whenever it can, and only keeps to the truth in whom it has heard. Time moves by whole steps.
const (
	smallNodes    = 3
	smallReplicas = 4
	smallStep     = time.Second
)

// Off names the guards that are left out in a search.
type Off string

// small is one state of the search. What is behind a pointer and never changed is shared between states: books.
type small struct {
	now     time.Duration
	plan    Plan
	off     Off
	limits  maintenance.Limits
	books   []*book // after each entry of the agreed log
	leader  int     // of the newest term; -1: none
	term    uint64
	nodes   [smallNodes]smallNode
	words   []smallWord
	rooms   [smallReplicas]smallRoom
	list    []maintenance.Machine // discovery's, as the co-ordinators will have it after the next step of time
	load    float64
	checker *history.Checker
	orders  map[order]maintenance.Item // as told to the checker
	cut     [2]int                     // one way; equal: none; the other -1: from all, both ways
	left    budget
	memo    *memo
	grants  []smallGrant // commands that were agreed, oldest first
	err     error

	ownChecker bool   // not shared with the state before
	sum        uint64 // digest of the checker, at sumAt
	sumAt      time.Duration
}

// order is one item that is asked for.
type order struct {
	request, machine string
	asked            time.Duration
	try              int
}

type smallGrant struct {
	at          time.Duration
	raw         []byte
	id, machine string
}

type budget struct{ Crash, Cut, Lose, Late, Repeat, Fail, Elect, Again, Withdraw int }

type smallNode struct {
	view    *view.View // not changed in place: each Step makes a copy
	sum     uint64     // digest of it, at sumAt
	sumAt   time.Duration
	polled  uint64 // number of its newest poll
	knows   int    // whom it polls
	fails   int    // polls in a row that went unanswered
	sent    map[uint64]time.Duration
	applied int
	leads   bool
	term    uint64 // of the leader that it heard of
	since   time.Duration
	heard   [smallNodes]time.Duration // own time
	laid    map[uint64]uint8          // by fence: co-ordinators that said so, as bits
	drains  map[string]bool
	file    []view.Grant
	list    []maintenance.Machine
}

// smallWord is in flight: a poll, or an answer.
type smallWord struct {
	From, To int
	No       uint64
	Laid     []view.DrainStatus
	Answer   bool
	Index    int
	Term     uint64
}

type smallRoom struct {
	status maintenance.Status
	start  time.Duration
	acted  uint64
}

func newSmall(plan Plan, off Off, left budget) *small {
	s := &small{now: smallBegin, plan: plan, off: off, limits: smallLimits(off, plan), left: left, leader: 0, term: 1, checker: history.New(), orders: map[order]maintenance.Item{},
		load: 1, ownChecker: true, memo: &memo{books: map[memoKey]memoBook{}}}
	if off == "W3" { // a load that two warm replicas do not bear
		s.load = 2
	}
	l := s.limits
	s.books = []*book{newBook()}
	s.books[0].canon()
	s.tell(history.Event{Kind: history.Limits, Rules: history.Rules{Cells: l.Cells, Reach: l.Reach, Shards: l.Shards,
		HoldersLeast: l.MinHolders,
		OutByZone:    l.MaxOutPerZone, OutMost: l.MaxOut, VotersLeast: l.MinVoters, PassedMost: l.MaxPassedOver, Settle: l.SettleTime, Calm: l.FailurePause,
		Load: s.load, Headroom: l.Headroom, Slack: 2 * smallStep}})
	for i := range s.rooms {
		s.rooms[i] = smallRoom{status: maintenance.Up, start: clockwork.Epoch - time.Hour}
		name := fmt.Sprintf("r%d", i)
		s.tell(history.Event{Kind: history.Joined, Name: name,
			Machine: history.Machine{Zone: smallZone(name), Cell: i, Size: 1, Replica: true}})
	}
	for i := range s.nodes {
		name := fmt.Sprintf("c%d", i)
		s.tell(history.Event{Kind: history.Joined, Name: name, Machine: history.Machine{Zone: smallZone(name), Voter: true}})
	}
	s.listed()
	for i := range s.nodes {
		s.start(i)
	}
	s.nodes[0].leads, s.nodes[0].since = true, s.now
	for i := range s.nodes {
		s.nodes[i].list = s.list
	}
	s.propose("limits", "l", maintenance.LimitsBody{Revision: 1, Limits: l})
	s.propose("asks", "a", maintenance.RequestsBody{Revision: 1, Requests: smallRequests(off, plan)})
	s.observe()
	for range 2 { // all have applied that, and have a lease
		s.second(wordFault{})
	}
	return s
}

// own makes a copy of what is still shared with the state before.
func (s *small) own() {
	if !s.ownChecker {
		s.checker, s.ownChecker = deepCopy(s.checker), true
		next := make(map[order]maintenance.Item, len(s.orders))
		maps.Copy(next, s.orders)
		s.orders = next
	}
}

func (s *small) tell(e history.Event) {
	s.own()
	e.At = s.now
	if err := s.checker.Add(e); err != nil && s.err == nil {
		s.err = err
	}
	s.checker.Figures, s.sum = history.Figures{}, 0
}

// start is a new process of a co-ordinator, with what its disk has.
func (s *small) start(i int) {
	n := &s.nodes[i]
	old := *n
	*n = smallNode{view: view.New(fmt.Sprintf("c%d", i), s.limits.Lease), applied: old.applied, knows: old.knows, list: s.list,
		sent: map[uint64]time.Duration{}, laid: map[uint64]uint8{}, drains: map[string]bool{}}
	n.polled = uint64(s.now)
	n.view.FirstSequence(n.polled)
	s.step(i, s.applied(i), view.ReplicaList{Replicas: s.list})
	s.tell(history.Event{Kind: history.Serving, By: fmt.Sprintf("c%d", i), On: true})
	for j := range s.rooms {
		s.tell(history.Event{Kind: history.Sends, By: fmt.Sprintf("c%d", i), Name: fmt.Sprintf("r%d", j), On: true})
	}
}

func (s *small) listed() {
	list := make([]maintenance.Machine, 0, smallReplicas)
	for i, r := range s.rooms {
		name := fmt.Sprintf("r%d", i)
		list = append(list, maintenance.Machine{Name: name, Kind: maintenance.Replica, Zone: smallZone(name), Cell: i, Size: 1,
			Status: r.status, Started: r.start})
	}
	s.list = list
}

func (s *small) open(from, to int) bool {
	if s.cut[1] < 0 && s.cut[0] != from && s.cut[0] != to {
		return true
	}
	return from == to || s.cut[0] == s.cut[1] || s.cut[1] >= 0 && s.cut != [2]int{from, to}
}

func (s *small) both(a, b int) bool { return s.open(a, b) && s.open(b, a) }

// quorum says that a leader of this term could still have an entry stored by a majority.
func (s *small) quorum(i int) bool {
	if i != s.leader {
		return false
	}
	with := 0
	for j := range s.nodes {
		if s.both(i, j) {
			with++
		}
	}
	return with*2 > smallNodes
}

// propose has the entry agreed and applied, if a majority can be reached, and says whether it changed anything. A
// refused one is not kept, so that states stay few: all that it moves is the index.
func (s *small) propose(kind, id string, body any) bool {
	raw, err := json.Marshal(body)
	if err != nil {
		s.err = err
		return false
	}
	c := statemachine.Command{V: statemachine.Version, ID: id, Part: "takeout", Kind: kind, At: clockwork.Epoch + s.now, Body: raw}
	enc, err := c.Encode()
	if err != nil {
		s.err = err
		return false
	}
	name := ""
	if g, ok := body.(maintenance.GrantBody); ok {
		name = g.Machine
	}
	return s.append(enc, kind, id, name)
}

func (s *small) append(enc []byte, kind, id, machine string) bool {
	voters := 2
	if s.leader >= 0 && !s.quorum(s.leader) {
		if s.off != "W7" {
			return false
		}
		voters = 1
	}
	next, check := s.memo.apply(s.books[len(s.books)-1], uint64(len(s.books)), enc, s.off, kind, machine)
	if next == nil {
		return false
	}
	if check != nil && s.err == nil && s.off == "" {
		s.err = check
	}
	s.books = append(s.books[:len(s.books):len(s.books)], next)
	if s.leader >= 0 {
		s.nodes[s.leader].applied = len(s.books) - 1
	}
	if kind == "grant" {
		s.grants = append(s.grants[:len(s.grants):len(s.grants)], smallGrant{s.now, enc, id, machine})
	}
	for place, item := range next.out.Items() {
		key := order{item.Request, item.Machine, item.RequestedAt, item.Attempt}
		if old, ok := s.orders[key]; ok && old.Phase == item.Phase && old.Fence == item.Fence && old.Until == item.Until {
			continue
		}
		s.own()
		s.orders[key] = item
		s.tell(history.Event{Kind: history.Committed, Index: len(s.books) - 1, Voters: voters, Of: smallNodes, Stored: s.now,
			Command: id, Item: history.Item{Request: item.Request, Asked: item.RequestedAt + time.Duration(item.Attempt),
				Machine: item.Machine, Phase: string(item.Phase), Fence: item.Fence, Order: place, Lapses: item.Until - clockwork.Epoch}})
	}
	return true
}

// observe is what the leader sees of all machines.
func (s *small) observe() bool {
	if s.leader < 0 {
		return false
	}
	machines := append([]maintenance.Machine(nil), s.nodes[s.leader].list...)
	for i := range s.nodes {
		name := fmt.Sprintf("c%d", i)
		machines = append(machines, maintenance.Machine{Name: name, Kind: maintenance.Coordinator, Zone: smallZone(name),
			Status: maintenance.Up, Voter: true})
	}
	return s.propose("observe", fmt.Sprintf("o%d", s.now),
		maintenance.ObserveBody{Complete: true, Machines: machines, Load: s.load, LoadKnown: true})
}

func (s *small) applied(i int) view.Applied {
	b := s.books[s.nodes[i].applied]
	return view.Applied{State: b.out, Index: uint64(s.nodes[i].applied), AgreedTime: b.led.Now()}
}
