// Package shares holds one co-ordinator's part of what the lanes guarantee to accounts. A guarantee is the fleet's; traffic
// lands unevenly. So each co-ordinator has an even part of each account's guarantee, its home part, and those that need more
// than theirs borrow for a while what others leave idle. Pure: time comes in by the own monotonic clock, messages and what is
// used of late too; what is to be sent comes out.
//
// The sum of what all may use never grows over the guarantee by words that are lost, late, repeated or out of order: a lender
// counts a loan from its making and for longer, by the drift, than its borrower, which counts it from the sending of its ask; a
// loan acts once by its number; and a new process of a lender, which knows nothing of the loans of the one before, uses no more
// than what is never lent, for as long as such loans may last. What is over it comes of counting co-ordinators only, see Members.
package shares

import (
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Whole is the whole of one account's guarantee; all amounts are parts of it.
const Whole = 1_000_000

// Times and bounds.
const (
	// LoanFor is how long a loan lasts for its borrower.
	LoanFor = 10 * time.Second
	// Drift is by how much two clocks may run apart: one part of so many.
	Drift = 100
	// AskEvery is between asks for one account.
	AskEvery = 250 * time.Millisecond
	// AskPeers are asked each time.
	AskPeers = 2
	// LendPart: of its home part each lends at most one part of so many, in all. More would leave a new process, which may not use it
	// while old loans last, too little; less moves less to where traffic lands.
	LendPart = 2
	// StepPart: one loan is at most one part of so many of the home part.
	StepPart = 4
	// Spare is left to a lender above its own use of late: one part of so many of it.
	Spare = 4
	// RaiseAfter is how long fewer co-ordinators are agreed before home parts grow.
	RaiseAfter = LoanFor
	// ShortMost accounts are asked for in one message, the shortest first.
	ShortMost = 64
	// LoansMost are kept as a lender, and as many as a borrower; further ones are not made.
	LoansMost = 65_536
)

// Options of one co-ordinator's part.
type Options struct {
	Name        string
	Incarnation uint64 // of the process, greater than that of any process before of the same name
	Fleet       int    // co-ordinators of the settings, until Members says what is agreed
	Seed        uint64 // of whom it asks
}

// loan is one of ours to a peer, or of a peer's to us.
type loan struct {
	peer        string
	incarnation uint64 // of the borrower's process
	account     uint32
	no          uint64 // of the ask
	amount      int64
	until       time.Duration
}

type key struct {
	peer    string
	account uint32
}

// asked is an ask of ours that may still be answered.
type asked struct {
	no      uint64
	at      time.Duration
	account uint32
}

// Shares is one co-ordinator's part. Not for several goroutines at once.
type Shares struct {
	o        Options
	rng      *rand.Rand
	began    time.Duration
	stepped  bool
	now      time.Duration
	revision int // of the lanes in force; messages of another are passed over
	accounts int

	members  int // by which home parts are counted
	fewest   int // by which they were counted ever: loans of then may last
	fewer    int // agreed since fewerAt, and to be counted by from RaiseAfter on; 0: none
	fewerAt  time.Duration
	peers    []string
	last     uint64 // number of the newest ask
	asks     map[key]asked
	want     map[uint32]int64 // of late, by account
	askedAt  time.Duration
	lent     map[key]*loan
	lentSum  map[uint32]int64
	borrowed map[key]*loan
	hasSum   map[uint32]int64 // of borrowed, as of now
	out      []Output
	told     map[uint32]int64 // what the gate was last told, where it is not the home part
}

// New makes it. Without a Set it holds no account.
func New(o Options) *Shares {
	h := fnv.New64a()
	h.Write([]byte(o.Name)) // or all would ask the same two
	return &Shares{o: o, rng: rand.New(rand.NewPCG(o.Seed^h.Sum64(), o.Incarnation)), members: max(1, o.Fleet), fewest: max(1, o.Fleet), asks: map[key]asked{}, want: map[uint32]int64{},
		lent: map[key]*loan{}, lentSum: map[uint32]int64{}, borrowed: map[key]*loan{}, hasSum: map[uint32]int64{}, told: map[uint32]int64{}}
}

// Home is the own even part of each account, before loans.
func (s *Shares) Home() int64 { return Whole / int64(s.members) }

// free is what of a home part is never lent and what a new process may use, while loans of the one before may last.
func (s *Shares) free() int64 { return s.Home() - s.Home()/LendPart }

// young says that loans of the process before this one may last. Its lender's side ended them LoanFor and the drift after it
// was heard; their borrowers began to count before that.
func (s *Shares) young() bool { return s.now < s.began+LoanFor+LoanFor/Drift }

// Use is what this co-ordinator may use of an account's guarantee now.
func (s *Shares) Use(account uint32) int64 {
	if account >= uint32(s.accounts) {
		return 0
	}
	use := s.Home() - s.lentSum[account]
	if s.young() {
		use = min(use, s.free())
	}
	return max(0, use) + s.hasSum[account]
}

// sumUp adds up what is borrowed of each account. In its last third a loan fades, so that one that is cut off comes back to its
// home part by steps.
func (s *Shares) sumUp() {
	clear(s.hasSum)
	for _, l := range s.borrowed {
		s.hasSum[l.account] += l.worth(s.now)
	}
}

func (l *loan) worth(now time.Duration) int64 {
	return l.amount * int64(max(0, min(l.until-now, LoanFor/3))) / int64(LoanFor/3)
}

// Step takes news at the own monotonic time and says what is to be sent and told. A time before the last one counts as the
// last one. The result holds until the next call.
func (s *Shares) Step(now time.Duration, in []Input) []Output {
	if !s.stepped {
		s.stepped, s.began = true, now
	}
	s.now, s.out = max(now, s.now), s.out[:0]
	s.age()
	for _, i := range in {
		switch i := i.(type) {
		case Set:
			s.set(i)
		case Members:
			s.count(i)
		case Demand:
			s.demand(i)
		case Ask:
			s.lend(i)
		case Lent:
			s.take(i)
		}
	}
	s.ask()
	s.tell()
	return s.out
}

// set begins anew with other accounts: numbers of accounts mean others from now on. What was lent is still in use by borrowers
// that have not heard of it, which a young process bears in mind.
func (s *Shares) set(i Set) {
	if i.Revision == s.revision {
		return
	}
	lends := len(s.lent) > 0
	s.revision, s.accounts = i.Revision, i.Accounts
	clear(s.asks)
	clear(s.want)
	clear(s.lent)
	clear(s.lentSum)
	clear(s.borrowed)
	clear(s.hasSum)
	clear(s.told)
	if lends {
		s.began = s.now
	}
}

// count takes the agreed number of co-ordinators: more of them lower the home parts at once, fewer raise them later.
func (s *Shares) count(i Members) {
	s.peers = slices.DeleteFunc(slices.Clone(i.Live), func(name string) bool { return name == s.o.Name })
	switch n := max(1, i.Agreed); {
	case i.Agreed <= 0: // not known: as it was
	case n >= s.members:
		s.members, s.fewer = n, 0
	case s.fewer == 0 || n > s.fewer:
		s.fewer, s.fewerAt = n, s.now
	}
}

func (s *Shares) demand(i Demand) {
	if i.Account >= uint32(s.accounts) || i.Want <= 0 {
		delete(s.want, i.Account)
		return
	}
	s.want[i.Account] = min(i.Want, Whole)
}

// age ends what is over.
func (s *Shares) age() {
	if s.fewer > 0 && s.now >= s.fewerAt+RaiseAfter {
		s.members, s.fewer = s.fewer, 0
		s.fewest = min(s.fewest, s.members)
	}
	for k, l := range s.lent { // in any order: each is on its own
		if s.now >= l.until {
			s.unlend(k, l)
		}
	}
	for k, l := range s.borrowed {
		if s.now >= l.until {
			delete(s.borrowed, k)
		}
	}
	for k, a := range s.asks {
		if s.now >= a.at+LoanFor {
			delete(s.asks, k)
		}
	}
	s.sumUp()
}

// tell has the gate know the part of most accounts, and of each of which it is another.
func (s *Shares) tell() {
	even := s.Home()
	if s.young() {
		even = s.free()
	}
	s.out = append(s.out, Even{Part: even})
	named := map[uint32]bool{}
	for _, loans := range []map[key]*loan{s.lent, s.borrowed} {
		for k := range loans {
			named[k.account] = true
		}
	}
	for a := range s.told {
		named[a] = true
	}
	for _, a := range slices.Sorted(maps.Keys(named)) {
		use := s.Use(a)
		was, told := s.told[a]
		switch {
		case use == even && told:
			delete(s.told, a)
			s.out = append(s.out, Part{Account: a, Part: Evenly})
		case use != even && (!told || was != use):
			s.told[a] = use
			s.out = append(s.out, Part{Account: a, Part: use})
		}
	}
}
