// Package shares manages one co-ordinator's shares of the guarantees that lanes give to accounts. A guarantee holds for the whole fleet,
// but traffic is uneven. Each co-ordinator therefore has an even share of each account's guarantee, its home share, and those
// that need more borrow for a while what others leave unused.
//
// The package is pure: the time of the co-ordinator's monotonic clock, the received messages and the recent demand are passed in, and the
// messages to send are returned.
//
// Lost, late, repeated or reordered messages never raise the sum of all shares over the guarantee, for these reasons. A lender counts a
// loan from granting it, its borrower from sending the request, and the lender counts longer to allow for clock drift. The sequence number
// of a request ensures that a loan takes effect only once. After a restart, a lender does not know the loans of its previous process and
// uses only what is never lent, for as long as such loans may last. The sum can exceed the guarantee only because of how
// co-ordinators are counted, see Membership.
package shares

import (
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// GuaranteeUnits is the number of units that make up one account's guarantee; all amounts are in these units.
const GuaranteeUnits = 1_000_000

// Times and limits.
const (
	// LoanDuration is how long a loan lasts for its borrower.
	LoanDuration = 10 * time.Second
	// DriftDivisor bounds the drift between two clocks to 1/DriftDivisor of the elapsed time.
	DriftDivisor = 100
	// RequestInterval is the time between two rounds of requests.
	RequestInterval = 250 * time.Millisecond
	// PeersPerRound is how many peers are asked in each round.
	PeersPerRound = 2
	// LendDivisor limits all loans of an account together to 1/LendDivisor of the home share. Lending more would leave too little to a
	// new process, which may not use that part while old loans last; lending less would move less to where the traffic is.
	LendDivisor = 2
	// LoanDivisor limits one loan to 1/LoanDivisor of the home share.
	LoanDivisor = 4
	// ReserveDivisor sets the reserve that a lender keeps beyond its recent demand: 1/ReserveDivisor of that demand.
	ReserveDivisor = 4
	// GrowAfter is how long a lower number of co-ordinators must be agreed before home shares grow.
	GrowAfter = LoanDuration
	// MaxRequestsPerPeer is how many accounts are requested from one peer in a round, the largest shortages first, and how many loans
	// are renewed in a round.
	MaxRequestsPerPeer = 64
	// MaxLoans is the maximum number of loans as a lender, and also as a borrower. No further loans are made.
	MaxLoans = 65_536
)

// Options configures one co-ordinator.
type Options struct {
	Name        string
	Incarnation uint64 // of the process, greater than that of any earlier process of the same name
	FleetSize   int    // configured number of co-ordinators, used until Membership gives the agreed one
	Seed        uint64 // for the random choice of peers
}

// loan is a loan to a peer, or from a peer.
type loan struct {
	peer        string
	incarnation uint64 // of the borrower's process
	account     uint32
	seq         uint64 // of the request
	amount      int64
	expiresAt   time.Duration
}

type loanKey struct {
	peer    string
	account uint32
}

// pendingRequest is a request to a peer that may still be answered.
type pendingRequest struct {
	seq     uint64
	sentAt  time.Duration
	account uint32
}

// Shares holds one co-ordinator's shares and loans. It is not safe for concurrent use.
type Shares struct {
	options         Options
	rng             *rand.Rand
	recoveringSince time.Duration
	stepped         bool
	now             time.Duration
	revision        int // of the lanes in force; messages of other revisions are ignored
	accounts        int

	members          int // number of co-ordinators that home shares are computed from
	minMembers       int // lowest value of members so far: loans made then may still last
	pendingMembers   int // lower number agreed since pendingMembersAt, to be applied GrowAfter later; 0: none
	pendingMembersAt time.Duration
	peers            []string
	lastSeq          uint64 // number of the newest request
	pending          map[loanKey]pendingRequest
	wanted           map[uint32]int64 // recent demand by account
	lastRoundAt      time.Duration
	lent             map[loanKey]*loan
	lentTotal        map[uint32]int64
	borrowed         map[loanKey]*loan
	borrowedTotal    map[uint32]int64 // usable amount of borrowed, at now
	out              []Output
	reported         map[uint32]int64 // last share reported to the gate, of accounts whose share is not the default one
}

// New returns the shares of one co-ordinator. They have no accounts until a Config.
func New(o Options) *Shares {
	h := fnv.New64a()
	h.Write([]byte(o.Name)) // otherwise all co-ordinators would ask the same peers
	return &Shares{options: o, rng: rand.New(rand.NewPCG(o.Seed^h.Sum64(), o.Incarnation)),
		members: max(1, o.FleetSize), minMembers: max(1, o.FleetSize), pending: map[loanKey]pendingRequest{}, wanted: map[uint32]int64{},
		lent: map[loanKey]*loan{}, lentTotal: map[uint32]int64{}, borrowed: map[loanKey]*loan{}, borrowedTotal: map[uint32]int64{},
		reported: map[uint32]int64{}}
}

// HomeShare returns this co-ordinator's even share of each account's guarantee, before loans.
func (s *Shares) HomeShare() int64 { return GuaranteeUnits / int64(s.members) }

// unlendableShare returns the part of a home share that is never lent. A new process may use it while loans of the previous one may last.
func (s *Shares) unlendableShare() int64 { return s.HomeShare() - s.HomeShare()/LendDivisor }

// recovering reports whether loans that this process does not know of may still last. The previous process granted them before this one
// started, and their borrowers began to count even earlier. All have expired LoanDuration plus the drift after the start.
func (s *Shares) recovering() bool {
	return s.now < s.recoveringSince+LoanDuration+LoanDuration/DriftDivisor
}

// Usable returns what this co-ordinator may use of an account's guarantee now.
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

// updateBorrowedTotal adds up the usable loans from peers by account. A loan fades in its last third, so that a borrower that is cut off
// returns to its home share gradually.
func (s *Shares) updateBorrowedTotal() {
	clear(s.borrowedTotal)
	for _, l := range s.borrowed {
		s.borrowedTotal[l.account] += l.usable(s.now)
	}
}

func (l *loan) usable(now time.Duration) int64 {
	return l.amount * int64(max(0, min(l.expiresAt-now, LoanDuration/3))) / int64(LoanDuration/3)
}

// Step handles input at time now of the co-ordinator's monotonic clock and returns the messages to send and the shares to report. If now is
// before the last step, the time of the last step is used. The result is valid until the next call.
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

// applyConfig drops all state when the revision changes because account numbers then stand for other accounts. Borrowers that do not know
// the new revision yet still use what was lent, so the co-ordinator limits its own use as after a restart.
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

// applyMembership applies the agreed number of co-ordinators: a higher one lowers home shares at once, a lower one raises them later.
func (s *Shares) applyMembership(i Membership) {
	s.peers = slices.DeleteFunc(slices.Clone(i.Live), func(name string) bool { return name == s.options.Name })
	switch n := max(1, i.Agreed); {
	case i.Agreed <= 0: // not known: unchanged
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

// expire drops expired loans and requests, and applies a lower number of members once GrowAfter has passed.
func (s *Shares) expire() {
	if s.pendingMembers > 0 && s.now >= s.pendingMembersAt+GrowAfter {
		s.members, s.pendingMembers = s.pendingMembers, 0
		s.minMembers = min(s.minMembers, s.members)
	}
	for k, l := range s.lent { // the order does not matter: loans are independent
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

// reportShares reports the default share, and each account's share if it changed since it was last reported. An account that has the
// default share again is reported with UseDefault.
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
