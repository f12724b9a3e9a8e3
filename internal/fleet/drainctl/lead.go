// Package drainctl is the leader's step: from what it sees and hears it proposes commands for the agreed order of work.
// Pure: time and news come in, proposals go out. Whatever it proposes is checked again when it is applied, so a stale or
// wrong leader cannot let go what the agreed state forbids. At rest, with nothing asked for, it proposes nothing.
package drainctl

import (
	"errors"
	"fmt"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/statemachine"
)

// Times and bounds of a leader.
const (
	// Drift is by how much two clocks may run apart, one part of so many: silence is counted longer by it. Half as much
	// drift allowed for: a co-ordinator with a slow clock may keep its lease after it is counted as silent.
	Drift = 100
	// ProposeMost is the proposals whose end is not known. Twice as many: more that are refused since the state moved
	// meanwhile; half: a slow council holds up words that need not wait for each other. A new one waits for room.
	ProposeMost = 8
	// GrantMost is the grants among them.
	GrantMost = 4
	// RepeatAfter is until a proposal of which nothing came is proposed again, by the same bytes, so that it acts once.
	// Twice as long: a lost one costs as much more; half: a slow raft group's log has most of them twice.
	RepeatAfter = 3 * time.Second
	// RepeatMost is how often. After that it is given up, and what is wanted then is decided anew.
	RepeatMost = 3
	// RefusedWait is until the same is proposed again after a refusal. Half as long: twice the refused entries in the log.
	RefusedWait = 2 * time.Second
	// MistakeEvery is between attempts at, and lines about, what a file says wrongly. Half as long: twice the lines of
	// which one is enough; twice: a mended leader's state takes the file so much later.
	MistakeEvery = time.Minute
	// ObserveSoonest is between two observations. Twice as long: a machine that went is known so much later; half as
	// long: a flapping machine fills the log twice as fast.
	ObserveSoonest = 500 * time.Millisecond
	// TickLive is between commands while a grant lives, as its ends are found by agreed time; TickAsked while something
	// only waits. Twice as long: ends are found so much later; half: twice the entries at rest of a plan.
	TickLive  = time.Second
	TickAsked = 10 * time.Second
	// PartMost is the bytes of machines in one observation; more are told one part after the other, ObserveSoonest apart. Twice
	// as much: a link between voters is held for longer by one entry; half: an inventory of 10,000 takes twice as long to tell.
	PartMost = 384 << 10
	// TellSlack is how long, after the time in which any co-ordinator has either polled or is silent for long, a live one
	// may take to say that it laid a drain. Then the grant is withdrawn. Half as long: a slow list costs a grant.
	TellSlack = 10 * time.Second
	// GoWithin is how long the site's tools have to begin, once a machine is told. Twice as long: a place in the plan is
	// held so much longer by who does not come; half as long: tools that look once a minute miss their turn.
	GoWithin = 3 * time.Minute
	// HoldLeast is until a machine whose grant ended before it was told is granted again, doubled each time after. Half
	// as long: a cause that passes, as a list that is slow, uses up all the times that it is asked for anew.
	HoldLeast = 15 * time.Second
	// MissingFor is how long after the election a co-ordinator without any news counts as unknown, not as gone: a
	// leader that has just started does not know all members yet. Half as long: a false failure may pause the plan.
	MissingFor = 10 * time.Second
	// LateMost is within how long a poll of a lower number is one that was overtaken; later it is of a new process whose
	// clock went back. Twice as long: such a one is believed so much later; half: a very late poll is taken for the newest.
	LateMost = 3 * time.Second
	// HeardMost is the co-ordinators whose polls are remembered; the one silent for longest goes first.
	HeardMost = 2048
	// CatchUp: while the own wall's clock is behind agreed time, that goes on slower than the own monotonic clock, by one
	// part of so many, so that the wall catches up though the monotonic one be fast by the drift. At its full pace it
	// would carry agreed time ever further ahead, and machines would count as warm before they are; twice as slow, ends
	// are found later by so much more.
	CatchUp = Drift / 2
	// LoadShare is the least share of the live co-ordinators that have told of their load lately, for it to be known.
	LoadShare = 0.8
)

// Part is the name of the order of work in the state machine.
const Part = "takeout"

// Member is a co-ordinator by the members' news.
type Member struct {
	Name      string
	Zone      string
	Status    maintenance.Status
	Started   time.Duration // since the Unix epoch; 0: not told
	Voter     bool
	Load      float64 // mean replicas that it keeps busy, if LoadKnown
	LoadKnown bool
	LoadAge   time.Duration
}

// Input is news for a Step.
type Input interface{ input() }

type (
	// Elected says that this process, by the name Own, leads in the term, with its own copy caught up with all before it.
	Elected struct {
		Term uint64
		Own  string
	}
	// Deposed says that it no longer does, or may not.
	Deposed struct{}
	// Polled is a poll that was received while leading. No orders those of one co-ordinator; 0: not told. Wall is what its
	// sender's clock showed when it was sent, since the Unix epoch; 0: not told.
	Polled struct {
		From  string
		No    uint64
		Index uint64
		Laid  []peerproto.Laid
		Wall  time.Duration
	}
	// Members is the members' news, whole and with the own name, as they are now.
	Members struct{ List []Member }
	// Listed is the list of replicas as discovery last confirmed it, so long ago. It must come again when confirmed,
	// though nothing changed: what is not confirmed grows old and grants nothing.
	Listed struct {
		List []maintenance.Machine
		Age  time.Duration
	}
	// Asks is what an operators' file says, the own one or a follower's. The newest revision of either counts; of two
	// that differ under one number, the agreed one, and a line tells.
	Asks struct {
		Limits maintenance.LimitsBody
		Asks   maintenance.RequestsBody
	}
	// Applied is the own copy of the agreed state. It is read in this Step and those after it.
	Applied struct {
		State *maintenance.State
		Index uint64
		Now   time.Duration
		Era   uint64 // of the log; an index of another era says nothing
	}
	// Ended says what came of a proposal: nil, or why it was refused or failed.
	Ended struct {
		ID  string
		Err error
	}
)

func (Elected) input() {}
func (Deposed) input() {}
func (Polled) input()  {}
func (Members) input() {}
func (Listed) input()  {}
func (Asks) input()    {}
func (Applied) input() {}
func (Ended) input()   {}

// Output is something to be done.
type Output interface{ output() }

type (
	// Propose is a command for the raft group's log. One that comes again has the same bytes.
	Propose struct{ Command statemachine.Command }
	// Log is a line for the log.
	Log struct{ Text string }
)

func (Propose) output() {}
func (Log) output()     {}

// Order gives the items that may be asked about, in the order in which they should go. The first that may go is granted.
type Order func(s *maintenance.State, now time.Duration) []maintenance.Item

// Lead is a leader's, or one that may become it. Not for use by several goroutines at once.
type Lead struct {
	order Order
	out   []Output

	leading bool
	may     bool // propose, as of the last Step
	own     string
	term    uint64
	since   time.Duration // own time of the election
	seq     uint64        // of the newest proposal in the term

	state  *maintenance.State
	index  uint64
	era    uint64
	agreed time.Duration // as applied
	now    time.Duration // own monotonic, of this Step
	time   time.Duration // agreed time as far as known: the wall's, or while that is behind, base and most of what passed since
	base   time.Duration // the newest agreed time that was applied or proposed, first at the own time baseAt
	baseAt time.Duration

	list      []maintenance.Machine // by name, each once
	listed    bool
	merged    []maintenance.Machine // of list and members, by name; nil: one of both came since
	listAt    time.Duration         // own time at which it was confirmed
	members   []Member              // by name, each once
	membersAt time.Duration
	known     bool // members came
	limits    maintenance.LimitsBody
	asks      maintenance.RequestsBody
	sameAsks  int // revision under which asks says what was agreed; 0: not compared yet

	wrong           bool // the own wall's clock is ahead of the others', since wrongAt
	wrongAt, handAt time.Duration
	unsure          bool // too few others' clocks are known, since unsureAt
	unsureAt        time.Duration
	behind          bool // the own wall's clock is behind the others', since behindAt; a line says so
	behindAt        time.Duration
	behindSaid      bool

	heard    map[string]*heard
	granted  map[uint64]time.Duration // by fence, own time since when a granted item is known in this term
	waiting  []proposal               // those whose end is not known
	refused  map[string]time.Duration // what was refused, by what it is, and until when it is not proposed again
	looked   bool                     // an observation was proposed in this term, at lookedAt
	lookedAt time.Duration
	news     bool // lists, members or the agreed state came since the inventories were compared
	passed   mark // of the last search for a grant that found none
}

type mark struct {
	index uint64
	at    time.Duration
	set   bool
}

// New makes one. Without an order, reserved ones go first, then urgent ones, then by asking.
func New(order Order) *Lead {
	if order == nil {
		order = ByAsking
	}
	return &Lead{order: order}
}

// Step takes news at the own monotonic time now, when the wall's clock shows wall since the Unix epoch, and returns what
// to propose. The result holds until the next call. The agreed state of the newest Applied must not change meanwhile.
func (l *Lead) Step(now, wall time.Duration, in []Input) []Output {
	l.out = l.out[:0]
	l.now = max(now, l.now)
	for _, i := range in {
		l.take(i)
	}
	pace := max(l.base+(l.now-l.baseAt)-(l.now-l.baseAt)/CatchUp, 0)
	wall, wait := l.goBy(wall, pace)
	l.time = max(wall, pace)
	if l.may = l.leading && l.state != nil && !wait && l.clockRight(wall, pace); !l.may {
		return l.out
	}
	l.tidy()
	l.putFile()
	limits, revision := l.state.Limits()
	if revision == 0 {
		return l.out
	}
	open := l.state.Open()
	l.putTold(limits, open)
	l.putObserve(limits, open)
	l.putGrant(limits, open)
	l.putTick(open)
	return l.out
}

func (l *Lead) take(in Input) {
	switch in := in.(type) {
	case Elected:
		if l.leading && in.Term <= l.term {
			return
		}
		if in.Term != l.term {
			l.seq = 0
		}
		l.reset()
		l.leading, l.term, l.own, l.since = true, in.Term, in.Own, l.now
		l.say("leads in term %d", in.Term)
	case Deposed:
		if l.leading {
			l.say("leads no more; %d proposals may still act", len(l.waiting))
		}
		l.leading = false
		l.reset()
	case Polled:
		if l.leading {
			l.hear(in)
		}
	case Members:
		l.members, l.membersAt, l.known, l.news = sortedMembers(in.List), l.now, true, true
		l.merged = nil
	case Listed:
		l.list, l.listAt, l.listed, l.news = sortedList(in.List), l.now-in.Age, true, true
		l.merged = nil
	case Asks:
		if in.Limits.Revision > 0 && in.Limits.Revision >= l.limits.Revision {
			l.limits = in.Limits
		}
		if in.Asks.Revision > 0 && in.Asks.Revision >= l.asks.Revision {
			l.asks, l.sameAsks = in.Asks, 0
		}
	case Applied:
		if in.State != nil && in.Era > l.era {
			l.era, l.index, l.agreed, l.base, l.baseAt, l.news = in.Era, 0, 0, 0, l.now, true
			l.passed = mark{}
		}
		if in.State != nil && in.Era == l.era && in.Index >= l.index {
			l.news = l.news || in.Index != l.index
			l.state, l.index, l.agreed = in.State, in.Index, max(l.agreed, in.Now)
			l.know(in.Now)
		}
	case Ended:
		l.ended(in)
	}
}

// know takes an agreed time that was applied or proposed.
func (l *Lead) know(agreed time.Duration) {
	if agreed > l.base {
		l.base, l.baseAt = agreed, l.now
	}
}

// reset forgets what holds for one term only.
func (l *Lead) reset() {
	l.heard = map[string]*heard{}
	l.granted = map[uint64]time.Duration{}
	l.refused = map[string]time.Duration{}
	l.waiting, l.looked, l.passed, l.news = nil, false, mark{}, true
	l.wrong, l.unsure, l.behind = false, false, false
}

func (l *Lead) say(format string, a ...any) {
	l.out = append(l.out, Log{fmt.Sprintf(format, a...)})
}

// Check names what does not hold: P1 one that does not lead waits for proposals or counts silence, P2 more proposals
// wait than may, P3 more polls are remembered than may, P4 a proposal's id is not of this term.
func (l *Lead) Check() error {
	if !l.leading && (len(l.waiting) > 0 || len(l.heard) > 0) {
		return fmt.Errorf("P1: leads no more, and waits for %d proposals and counts the silence of %d", len(l.waiting), len(l.heard))
	}
	if n := l.count("grant "); len(l.waiting) > ProposeMost || n > GrantMost {
		return fmt.Errorf("P2: %d proposals wait, %d of grants; %d and %d at most", len(l.waiting), n, ProposeMost, GrantMost)
	}
	if len(l.heard) > HeardMost {
		return fmt.Errorf("P3: the polls of %d are remembered, %d at most", len(l.heard), HeardMost)
	}
	for _, p := range l.waiting {
		if p.term != l.term {
			return errors.New("P4: proposal " + p.command.ID + " is not of this term")
		}
	}
	return nil
}
