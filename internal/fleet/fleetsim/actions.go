package fleetsim

import (
	"fmt"
	"maps"
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/fleetsim/history"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/view"
)

// step lets a co-ordinator's view take news, on a copy of it, and carries out what it asks for.
func (s *small) step(i int, in ...view.Input) {
	n := &s.nodes[i]
	n.view, n.sum = deepCopy(n.view), 0
	for _, o := range n.view.Step(s.now, in) {
		switch o := o.(type) {
		case view.Drains:
			n.drains = map[string]bool{}
			for _, name := range o.Names {
				n.drains[name] = s.off != "drain"
			}
			s.sending(i)
		case view.Grants:
			n.file = o.Items
		case view.Poll:
			s.poll(i, o)
		}
	}
	if err := n.view.Check(); err != nil && s.err == nil && s.off == "" {
		s.err = fmt.Errorf("view of c%d: %w", i, err)
	}
}

func (s *small) sending(i int) {
	n := &s.nodes[i]
	for j := range s.rooms {
		name := fmt.Sprintf("r%d", j)
		s.tell(history.Event{Kind: history.Sends, By: fmt.Sprintf("c%d", i), Name: name,
			On: !n.drains[name] && n.list[j].Status == maintenance.Up})
	}
}

func (s *small) poll(i int, p view.Poll) {
	n := &s.nodes[i]
	sent := make(map[uint64]time.Duration, len(n.sent)+1)
	maps.Copy(sent, n.sent)
	sent[p.Sequence] = s.now
	n.sent, n.polled = sent, p.Sequence
	w := smallWord{From: i, To: n.knows, No: p.Sequence, Laid: p.Drains}
	if n.leads {
		w.To = i
	} else if n.fails++; n.fails > 2 { // no word of whom it knows: another
		n.knows, n.fails = (n.knows+1)%smallNodes, 0
		if n.knows == i {
			n.knows = (n.knows + 1) % smallNodes
		}
		w.To = n.knows
	}
	s.put(w)
}

func (s *small) put(w smallWord) {
	if s.open(w.From, w.To) {
		s.words = append(s.words[:len(s.words):len(s.words)], w)
	}
}

// deliver hands over a word. A poll is answered only by who leads and can show it by its voters.
func (s *small) deliver(k int) {
	w := s.words[k]
	s.words = append(append([]smallWord(nil), s.words[:k]...), s.words[k+1:]...)
	n := &s.nodes[w.To]
	if !w.Answer {
		if !n.leads || s.off != "confirm" && !s.quorum(w.To) {
			return
		}
		n.heard[w.From] = s.now
		laid := make(map[uint64]uint8, len(n.laid))
		for fence, by := range n.laid {
			laid[fence] = by &^ (1 << w.From)
		}
		for _, l := range w.Laid {
			if !l.Rejected {
				laid[l.Fence] |= 1 << w.From
			}
		}
		n.laid = laid
		s.put(smallWord{From: w.To, To: w.From, No: w.No, Answer: true, Index: n.applied, Term: n.term})
		return
	}
	sent, ok := n.sent[w.No]
	n.fails = 0
	n.applied = max(n.applied, w.Index)
	s.step(w.To, s.applied(w.To), view.PollAnswered{Sequence: w.No, Leader: fmt.Sprintf("c%d", w.From), Term: w.Term})
	if ok {
		lease := s.limits.Lease
		s.tell(history.Event{Kind: history.Leased, By: fmt.Sprintf("c%d", w.To), Until: sent + lease - lease/view.MaxDriftDivisor})
	}
}

// tick is a step of time: all views run, discovery's news of the step before arrives, and a leader with a majority has
// what it sees agreed.
func (s *small) tick() {
	s.now += smallStep
	list := s.list
	s.listed()
	for i := range s.nodes {
		n := &s.nodes[i]
		if n.leads && i != s.leader && s.leader >= 0 && s.both(i, s.leader) {
			n.leads = false
		}
		n.list = list
		s.sending(i)
	}
	s.observe()
	for i := range s.nodes {
		s.step(i, s.applied(i), view.ReplicaList{Replicas: list})
	}
}

// wordFault happens to one word of a second.
type wordFault struct {
	of     int // the poll's sender
	answer bool
	how    string // empty: none
}

// second is a step of time with a round of words: what came late, the polls, and their answers.
func (s *small) second(f wordFault) {
	switch f.how {
	case "is lost":
		s.left.Lose--
	case "comes a second late":
		s.left.Late--
	case "comes twice":
		s.left.Repeat--
	}
	s.tick()
	var later []smallWord
	for len(s.words) > 0 {
		w := s.words[0]
		if of := w.From; f.how != "" && w.Answer == f.answer && (f.answer && w.To == f.of || !f.answer && of == f.of) {
			how := f.how
			f.how = ""
			if how != "comes twice" {
				s.words = append([]smallWord(nil), s.words[1:]...)
			}
			if how != "is lost" {
				later = append(later, w)
			}
			if how != "comes twice" {
				continue
			}
		}
		s.deliver(0)
	}
	s.words = later
}

// silent is how long the leader has not heard of a co-ordinator: since its poll, or its own election.
func (s *small) silent(i, of int) time.Duration {
	n := &s.nodes[i]
	if s.off == "election" {
		return s.now - n.heard[of]
	}
	return s.now - max(n.heard[of], n.since)
}

// told is a leader's honest word that all sends to a machine have ended.
func (s *small) told(item maintenance.Item) bool {
	n := &s.nodes[s.leader]
	need := s.limits.Lease + s.limits.Grace
	body := maintenance.AcknowledgeBody{Machine: item.Machine, Fence: item.Fence}
	for i := range s.nodes {
		name := fmt.Sprintf("c%d", i)
		switch silent := s.silent(s.leader, i); {
		case n.laid[item.Fence]&(1<<i) != 0 || i == s.leader && s.nodes[i].drains[item.Machine]:
			body.Acknowledged = append(body.Acknowledged, name)
		case silent > need+need/view.MaxDriftDivisor, s.off == "told":
			body.Silent = append(body.Silent, maintenance.Silent{Name: name, Duration: silent + 1})
		default:
			return false
		}
	}
	return s.propose("told", fmt.Sprintf("t%d", item.Fence), body)
}

func (s *small) elect(j int) {
	n := &s.nodes[j]
	s.term++
	s.leader = j
	n.leads, n.term, n.since, n.heard, n.laid = true, s.term, s.now, [smallNodes]time.Duration{}, map[uint64]uint8{}
	n.applied = len(s.books) - 1
	s.step(j, s.applied(j))
}

func (s *small) crash(i int) {
	var rest []smallWord
	for _, w := range s.words {
		if w.To != i {
			rest = append(rest, w)
		}
	}
	s.words = rest
	if s.leader == i {
		s.leader = -1
	}
	s.tell(history.Event{Kind: history.Serving, By: fmt.Sprintf("c%d", i)})
	s.start(i)
}

// action is one step of the search: do changes a copy of the state, and says whether it did.
type action struct {
	name string
	do   func(*small) bool
}

func always(f func(*small)) func(*small) bool { return func(s *small) bool { f(s); return true } }

// actions are all that may come next.
func (s *small) actions() []action {
	all := []action{{"a second passes", always(func(s *small) { s.second(wordFault{}) })}}
	add := func(do func(*small) bool, format string, a ...any) {
		all = append(all, action{fmt.Sprintf(format, a...), do})
	}
	for i := range s.nodes {
		for _, answer := range []bool{false, true} {
			what := map[bool]string{false: "the poll of", true: "the answer to"}[answer]
			for k, how := range []string{"is lost", "comes a second late", "comes twice"} {
				if []int{s.left.Lose, s.left.Late, s.left.Repeat}[k] > 0 && !(s.nodes[i].leads && s.leader == i) {
					add(always(func(s *small) { s.second(wordFault{i, answer, how}) }), "a second passes, %s c%d %s", what, i, how)
				}
			}
		}
	}
	s.leaderActions(add)
	s.roomActions(add)
	for i := range s.nodes {
		if s.left.Crash > 0 {
			add(always(func(s *small) { s.left.Crash--; s.crash(i) }), "c%d crashes and starts again", i)
		}
		if s.left.Cut > 0 {
			add(always(func(s *small) { s.left.Cut--; s.cut = [2]int{i, -1} }), "c%d is cut off", i)
		}
		for j := range s.nodes {
			if i != j && s.left.Cut > 0 {
				add(always(func(s *small) { s.left.Cut--; s.cut = [2]int{i, j} }), "c%d to c%d is cut", i, j)
			}
		}
		third := 3 - i - max(s.leader, 0)
		if s.left.Elect > 0 && i != s.leader && (s.leader < 0 || !s.both(i, s.leader) && s.both(i, third) ||
			s.both(i, third) && !s.both(s.leader, third)) {
			add(always(func(s *small) { s.left.Elect--; s.elect(i) }), "c%d is elected", i)
		}
	}
	return all
}

// until is by when a machine granted now has to have gone: after the silence of whom is cut off, and some time for tools.
func (s *small) until() time.Duration {
	if s.plan == AllPlan {
		return 14 * time.Second
	}
	return 8 * time.Second
}

func (s *small) leaderActions(add func(func(*small) bool, string, ...any)) {
	if s.leader < 0 {
		return
	}
	items := s.books[len(s.books)-1].out.Open()
	for _, it := range items {
		switch it.Phase {
		case maintenance.Pending:
			add(func(s *small) bool {
				return s.propose("grant", fmt.Sprintf("g%d-%s-%s", len(s.grants), it.Request, it.Machine),
					maintenance.GrantBody{Request: it.Request, Machine: it.Machine, Until: clockwork.Epoch + s.now + s.until()})
			}, "c%d grants %s to %s", s.leader, it.Machine, it.Request)
		case maintenance.Granted:
			add(func(s *small) bool { return s.told(it) }, "c%d says that %s is told", s.leader, it.Machine)
			if s.left.Withdraw > 0 {
				add(func(s *small) bool {
					s.left.Withdraw--
					return s.propose("withdraw", fmt.Sprintf("w%d", it.Fence),
						maintenance.WithdrawBody{Machine: it.Machine, Fence: it.Fence, Reason: "wrong"})
				}, "c%d withdraws %s", s.leader, it.Machine)
			}
		}
	}
	if s.left.Again > 0 {
		for _, g := range s.grants {
			add(func(s *small) bool {
				s.left.Again--
				return s.append(g.raw, "grant", g.id, g.machine)
			}, "the grant of %s comes again", g.machine)
		}
	}
}

func (s *small) roomActions(add func(func(*small) bool, string, ...any)) {
	for j, r := range s.rooms {
		name := fmt.Sprintf("r%d", j)
		if r.status == maintenance.Gone {
			add(always(func(s *small) {
				s.rooms[j].status, s.rooms[j].start = maintenance.Up, clockwork.Epoch+s.now
				s.tell(history.Event{Kind: history.Risen, Name: name, Warm: s.now + s.limits.WarmUp})
			}), "%s is up again", name)
			continue
		}
		if s.left.Fail > 0 {
			add(always(func(s *small) {
				s.left.Fail--
				s.rooms[j].status = maintenance.Gone
				s.tell(history.Event{Kind: history.Failed, Name: name})
			}), "%s fails", name)
		}
		for i := range s.nodes {
			goes := false
			for _, g := range s.nodes[i].file {
				if g.Machine == name && g.Fence > r.acted && clockwork.Epoch+s.now < g.StartBefore {
					goes = true
					add(always(func(s *small) {
						s.rooms[j].status, s.rooms[j].acted = maintenance.Gone, g.Fence
						s.tell(history.Event{Kind: history.Taken, Name: name, Fence: g.Fence})
					}), "%s goes, by the file of c%d", name, i)
				}
			}
			if goes {
				break
			}
		}
	}
}
