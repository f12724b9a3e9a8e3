package shares

import (
	"cmp"
	"slices"
)

// handleRequest answers a peer's ask out of what is idle of the home part.
func (s *Shares) handleRequest(request LoanRequest) {
	if request.Revision != s.revision || request.Account >= uint32(s.accounts) || request.From == s.options.Name || request.From == "" || request.Want <= 0 {
		return
	}
	k := loanKey{request.From, request.Account}
	reply := LoanReply{From: s.options.Name, To: request.From, Incarnation: request.Incarnation, Seq: request.Seq, Revision: s.revision, Account: request.Account}
	l := s.lent[k]
	switch {
	case l == nil:
		amount := min(request.Want, s.HomeShare()/LoanDivisor, s.lendable(request.Account))
		if amount > 0 && len(s.lent) < MaxLoans {
			l = &loan{peer: request.From, incarnation: request.Incarnation, account: request.Account, seq: request.Seq, amount: amount, expiresAt: s.now + lenderLoanDuration}
			s.lent[k] = l
			s.lentTotal[request.Account] += amount
			reply.Amount = amount
		}
	case request.Incarnation != l.incarnation: // the process before may have it, and this one doesn't know
	case request.Seq < l.seq: // late: a newer one was answered
		return
	case request.Seq == l.seq: // repeated: it is the same loan, which ends when it did
		reply.Amount = l.amount
	case s.lendable(request.Account) >= 0: // it goes on, as long as nothing of it is missed here
		l.seq, l.expiresAt = request.Seq, s.now+lenderLoanDuration
		reply.Amount = l.amount
	}
	s.out = append(s.out, SendReply{To: request.From, Reply: reply})
}

// lendable is what of an account may be lent beyond what is: what is neither in use here, with some to spare, nor more than the part
// of it that may be lent at all. Below 0: what is lent is missed.
func (s *Shares) lendable(account uint32) int64 {
	wanted := s.wanted[account]
	lent := s.lentTotal[account]
	free := min(s.HomeShare()/LendDivisor-lent, s.HomeShare()-lent-wanted-wanted/ReserveDivisor)
	if s.recovering() {
		return min(free, 0) // its own half is all there is for sure
	}
	return free
}

func (s *Shares) removeLent(k loanKey, l *loan) {
	delete(s.lent, k)
	if s.lentTotal[l.account] -= l.amount; s.lentTotal[l.account] == 0 {
		delete(s.lentTotal, l.account)
	}
}

// handleReply notes what a peer lent, if it answers an ask that is still known. Its time counts from the sending of that ask.
func (s *Shares) handleReply(reply LoanReply) {
	k := loanKey{reply.From, reply.Account}
	request, ok := s.pending[k]
	if !ok || reply.To != s.options.Name || reply.Incarnation != s.options.Incarnation || reply.Revision != s.revision || reply.Seq != request.seq || reply.Account != request.account {
		return
	}
	delete(s.pending, k)
	if reply.Amount <= 0 || reply.Amount > GuaranteeUnits || request.sentAt+borrowerLoanDuration <= s.now {
		return
	}
	if l := s.borrowed[k]; l != nil {
		l.seq, l.expiresAt, l.amount = reply.Seq, request.sentAt+borrowerLoanDuration, reply.Amount
	} else if len(s.borrowed) < MaxLoans {
		s.borrowed[k] = &loan{peer: reply.From, account: reply.Account, seq: reply.Seq, amount: reply.Amount, expiresAt: request.sentAt + borrowerLoanDuration}
	}
	s.updateBorrowedTotal()
}

// shortage is an account of which more is wanted than may be used.
type shortage struct {
	account uint32
	amount  int64
}

// requestLoans keeps what is borrowed and still wanted, and looks for more at peers drawn anew each time.
func (s *Shares) requestLoans() {
	if s.stepped && s.lastRoundAt > 0 && s.now < s.lastRoundAt+RequestInterval {
		return
	}
	s.lastRoundAt = s.now
	var shortages []shortage
	for a, wanted := range s.wanted {
		if missing := wanted - s.Usable(a); missing > 0 {
			shortages = append(shortages, shortage{a, missing})
		}
	}
	slices.SortFunc(shortages, func(a, b shortage) int {
		return cmp.Or(cmp.Compare(b.amount, a.amount), cmp.Compare(a.account, b.account))
	})
	shortages = shortages[:min(len(shortages), MaxRequestsPerPeer)]
	s.renewLoans()
	for range min(PeersPerRound, len(s.peers)) {
		peer := s.peers[s.rng.IntN(len(s.peers))]
		for _, l := range shortages {
			k := loanKey{peer, l.account}
			if request, waiting := s.pending[k]; s.borrowed[k] == nil && !(waiting && s.now < request.sentAt+requestTimeout) {
				s.sendRequest(k, l.amount)
			}
		}
	}
}

// renewLoans asks for what is borrowed before it fades, where it is wanted still.
func (s *Shares) renewLoans() {
	var expiring []loanKey
	for k, l := range s.borrowed {
		request, waiting := s.pending[k]
		if s.now < l.expiresAt-borrowerLoanDuration/2 || waiting && s.now < request.sentAt+requestTimeout || s.wanted[k.account] <= s.HomeShare()-s.lentTotal[k.account] {
			continue
		}
		expiring = append(expiring, k)
	}
	slices.SortFunc(expiring, func(a, b loanKey) int {
		return cmp.Or(cmp.Compare(s.borrowed[a].expiresAt, s.borrowed[b].expiresAt), cmp.Compare(a.peer, b.peer), cmp.Compare(a.account, b.account))
	})
	for _, k := range expiring[:min(len(expiring), MaxRequestsPerPeer)] {
		s.sendRequest(k, s.borrowed[k].amount)
	}
}

func (s *Shares) sendRequest(k loanKey, amount int64) {
	s.lastSeq++
	s.pending[k] = pendingRequest{seq: s.lastSeq, sentAt: s.now, account: k.account}
	s.out = append(s.out, SendRequest{To: k.peer, Request: LoanRequest{From: s.options.Name, Incarnation: s.options.Incarnation, Seq: s.lastSeq, Revision: s.revision,
		Account: k.account, Want: min(amount, GuaranteeUnits)}})
}
