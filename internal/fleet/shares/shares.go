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

// GuaranteeUnits is the whole of one account's guarantee; all amounts are parts of it.
const GuaranteeUnits = 1_000_000

// Times and bounds.
const (
	// LoanDuration is how long a loan lasts for its borrower.
	LoanDuration = 10 * time.Second
	// DriftDivisor is by how much two clocks may run apart: one part of so many.
	DriftDivisor = 100
	// RequestInterval is between asks for one account.
	RequestInterval = 250 * time.Millisecond
	// PeersPerRound are asked each time.
	PeersPerRound = 2
	// LendDivisor: of its home part each lends at most one part of so many, in all. More would leave a new process, which may not use it
	// while old loans last, too little; less moves less to where traffic lands.
	LendDivisor = 2
	// LoanDivisor: one loan is at most one part of so many of the home part.
	LoanDivisor = 4
	// ReserveDivisor is left to a lender above its own use of late: one part of so many of it.
	ReserveDivisor = 4
	// GrowAfter is how long fewer co-ordinators are agreed before home parts grow.
	GrowAfter = LoanDuration
	// MaxRequestsPerPeer accounts are asked for in one message, the shortest first.
	MaxRequestsPerPeer = 64
	// MaxLoans are kept as a lender, and as many as a borrower; further ones are not made.
	MaxLoans = 65_536
)

// Options of one co-ordinator's part.
type Options struct {
	Name        string
	Incarnation uint64 // of the process, greater than that of any process before of the same name
	FleetSize   int    // co-ordinators of the settings, until Members says what is agreed
	Seed        uint64 // of whom it asks
}

// loan is one of ours to a peer, or of a peer's to us.
type loan struct {
	peer        string
	incarnation uint64 // of the borrower's process
	account     uint32
	seq         uint64 // of the ask
	amount      int64
	expiresAt   time.Duration
}

type loanKey struct {
	peer    string
	account uint32
}

// pendingRequest is an ask of ours that may still be answered.
type pendingRequest struct {
	seq     uint64
	sentAt  time.Duration
	account uint32
}

// Shares is one co-ordinator's part. Not for several goroutines at once.
type Shares struct {
	options         Options
	rng             *rand.Rand
	recoveringSince time.Duration
	stepped         bool
	now             time.Duration
	revision        int // of the lanes in force; messages of another are passed over
	accounts        int

	members          int // by which home parts are counted
	minMembers       int // by which they were counted ever: loans of then may last
	pendingMembers   int // agreed since pendingMembersAt, and to be counted by from GrowAfter on; 0: none
	pendingMembersAt time.Duration
	peers            []string
	lastSeq          uint64 // number of the newest ask
	pending          map[loanKey]pendingRequest
	wanted           map[uint32]int64 // of late, by account
	lastRoundAt      time.Duration
	lent             map[loanKey]*loan
	lentTotal        map[uint32]int64
	borrowed         map[loanKey]*loan
	borrowedTotal    map[uint32]int64 // of borrowed, as of now
	out              []Output
	reported         map[uint32]int64 // what the gate was last told, where it is not the home part
}

// New makes it. Without a Set it holds no account.
func New(o Options) *Shares {
	h := fnv.New64a()
	h.Write([]byte(o.Name)) // or all would ask the same two
	return &Shares{options: o, rng: rand.New(rand.NewPCG(o.Seed^h.Sum64(), o.Incarnation)), members: max(1, o.FleetSize), minMembers: max(1, o.FleetSize), pending: map[loanKey]pendingRequest{}, wanted: map[uint32]int64{},
		lent: map[loanKey]*loan{}, lentTotal: map[uint32]int64{}, borrowed: map[loanKey]*loan{}, borrowedTotal: map[uint32]int64{}, reported: map[uint32]int64{}}
}

// HomeShare is the own even part of each account, before loans.
func (s *Shares) HomeShare() int64 { return GuaranteeUnits / int64(s.members) }

// unlendableShare is what of a home part is never lent and what a new process may use, while loans of the one before may last.
func (s *Shares) unlendableShare() int64 { return s.HomeShare() - s.HomeShare()/LendDivisor }

// recovering says that loans of the process before this one may last. Its lender's side ended them LoanDuration and the drift after it
// was heard; their borrowers began to count before that.
func (s *Shares) recovering() bool {
	return s.now < s.recoveringSince+LoanDuration+LoanDuration/DriftDivisor
}

// Usable is what this co-ordinator may use of an account's guarantee now.
func (s *Shares) Usable(account uint32) int64 {
	if account >= uint32(s.accounts) {
		return 0
	}
	usable := s.HomeShare() - s.lentTotal[account]
	if s.recovering() {
		usable = min(usable, s.unlendableShare())
	}
	return max(0, usable) + s.borrowedTotal[account]
}

// updateBorrowedTotal adds up what is borrowed of each account. In its last third a loan fades, so that one that is cut off comes back to its
// home part by steps.
func (s *Shares) updateBorrowedTotal() {
	clear(s.borrowedTotal)
	for _, l := range s.borrowed {
		s.borrowedTotal[l.account] += l.usable(s.now)
	}
}

func (l *loan) usable(now time.Duration) int64 {
	return l.amount * int64(max(0, min(l.expiresAt-now, LoanDuration/3))) / int64(LoanDuration/3)
}

// Step takes news at the own monotonic time and says what is to be sent and told. A time before the last one counts as the
// last one. The result holds until the next call.
func (s *Shares) Step(now time.Duration, in []Input) []Output {
	if !s.stepped {
		s.stepped, s.recoveringSince = true, now
	}
	s.now, s.out = max(now, s.now), s.out[:0]
	s.expire()
	for _, i := range in {
		switch i := i.(type) {
		case Config:
			s.applyConfig(i)
		case Membership:
			s.applyMembership(i)
		case Demand:
			s.applyDemand(i)
		case LoanRequest:
			s.handleRequest(i)
		case LoanReply:
			s.handleReply(i)
		}
	}
	s.requestLoans()
	s.reportShares()
	return s.out
}

// applyConfig begins anew with other accounts: numbers of accounts mean others from now on. What was lent is still in use by borrowers
// that have not heard of it, which a young process bears in mind.
func (s *Shares) applyConfig(i Config) {
	if i.Revision == s.revision {
		return
	}
	hadLoans := len(s.lent) > 0
	s.revision, s.accounts = i.Revision, i.Accounts
	clear(s.pending)
	clear(s.wanted)
	clear(s.lent)
	clear(s.lentTotal)
	clear(s.borrowed)
	clear(s.borrowedTotal)
	clear(s.reported)
	if hadLoans {
		s.recoveringSince = s.now
	}
}

// applyMembership takes the agreed number of co-ordinators: more of them lower the home parts at once, fewer raise them later.
func (s *Shares) applyMembership(i Membership) {
	s.peers = slices.DeleteFunc(slices.Clone(i.Live), func(name string) bool { return name == s.options.Name })
	switch n := max(1, i.Agreed); {
	case i.Agreed <= 0: // not known: as it was
	case n >= s.members:
		s.members, s.pendingMembers = n, 0
	case s.pendingMembers == 0 || n > s.pendingMembers:
		s.pendingMembers, s.pendingMembersAt = n, s.now
	}
}

func (s *Shares) applyDemand(i Demand) {
	if i.Account >= uint32(s.accounts) || i.Want <= 0 {
		delete(s.wanted, i.Account)
		return
	}
	s.wanted[i.Account] = min(i.Want, GuaranteeUnits)
}

// expire ends what is over.
func (s *Shares) expire() {
	if s.pendingMembers > 0 && s.now >= s.pendingMembersAt+GrowAfter {
		s.members, s.pendingMembers = s.pendingMembers, 0
		s.minMembers = min(s.minMembers, s.members)
	}
	for k, l := range s.lent { // in any order: each is on its own
		if s.now >= l.expiresAt {
			s.removeLent(k, l)
		}
	}
	for k, l := range s.borrowed {
		if s.now >= l.expiresAt {
			delete(s.borrowed, k)
		}
	}
	for k, a := range s.pending {
		if s.now >= a.sentAt+LoanDuration {
			delete(s.pending, k)
		}
	}
	s.updateBorrowedTotal()
}

// reportShares has the gate know the part of most accounts, and of each of which it is another.
func (s *Shares) reportShares() {
	defaultShare := s.HomeShare()
	if s.recovering() {
		defaultShare = s.unlendableShare()
	}
	s.out = append(s.out, DefaultShare{Share: defaultShare})
	accounts := map[uint32]bool{}
	for _, loans := range []map[loanKey]*loan{s.lent, s.borrowed} {
		for k := range loans {
			accounts[k.account] = true
		}
	}
	for a := range s.reported {
		accounts[a] = true
	}
	for _, a := range slices.Sorted(maps.Keys(accounts)) {
		usable := s.Usable(a)
		previous, reported := s.reported[a]
		switch {
		case usable == defaultShare && reported:
			delete(s.reported, a)
			s.out = append(s.out, AccountShare{Account: a, Share: UseDefault})
		case usable != defaultShare && (!reported || previous != usable):
			s.reported[a] = usable
			s.out = append(s.out, AccountShare{Account: a, Share: usable})
		}
	}
}
