package shares

import (
	"cmp"
	"slices"
)

// handleRequest lends to a peer from the unused part of the home share and replies to its request.
func (s *Shares) handleRequest(request LoanRequest) {
	if request.Revision != s.revision || request.Account >= uint32(s.accounts) ||
		request.From == s.options.Name || request.From == "" || request.Want <= 0 {
		return
	}
	k := loanKey{request.From, request.Account}
	reply := LoanReply{From: s.options.Name, To: request.From, Incarnation: request.Incarnation, Seq: request.Seq,
		Revision: s.revision, Account: request.Account}
	l := s.lent[k]
	switch {
	case l == nil:
		amount := min(request.Want, s.HomeShare()/LoanDivisor, s.lendable(request.Account))
		if amount > 0 && len(s.lent) < MaxLoans {
			l = &loan{peer: request.From, incarnation: request.Incarnation, account: request.Account, seq: request.Seq,
				amount: amount, expiresAt: s.now + lenderLoanDuration}
			s.lent[k] = l
			s.lentTotal[request.Account] += amount
			reply.Amount = amount
		}
	case request.Incarnation != l.incarnation: // an earlier process of the borrower may hold the loan, and this one does not know of it
	case request.Seq < l.seq: // late: a newer request was answered
		return
	case request.Seq == l.seq: // repeated: the same loan, which expires when it did before
		reply.Amount = l.amount
	case s.lendable(request.Account) >= 0: // renewed, as long as the amount is not needed here
		l.seq, l.expiresAt = request.Seq, s.now+lenderLoanDuration
		reply.Amount = l.amount
	}
	s.out = append(s.out, SendReply{To: request.From, Reply: reply})
}

// lendable returns how much more of an account may be lent. It leaves the co-ordinator's own demand plus a reserve, and keeps the sum of
// loans within the lendable fraction of the home share. A negative result means that some of what is lent is needed here.
func (s *Shares) lendable(account uint32) int64 {
	wanted := s.wanted[account]
	lent := s.lentTotal[account]
	free := min(s.HomeShare()/LendDivisor-lent, s.HomeShare()-lent-wanted-wanted/ReserveDivisor)
	if s.recovering() {
		return min(free, 0) // only the unlendable share is certain to be available
	}
	return free
}

func (s *Shares) removeLent(k loanKey, l *loan) {
	delete(s.lent, k)
	if s.lentTotal[l.account] -= l.amount; s.lentTotal[l.account] == 0 {
		delete(s.lentTotal, l.account)
	}
}

// handleReply records what a peer lent, if it answers a request that is still pending. The loan's time counts from the sending of that
// request.
func (s *Shares) handleReply(reply LoanReply) {
	k := loanKey{reply.From, reply.Account}
	request, ok := s.pending[k]
	if !ok || reply.To != s.options.Name || reply.Incarnation != s.options.Incarnation || reply.Revision != s.revision ||
		reply.Seq != request.seq || reply.Account != request.account {
		return
	}
	delete(s.pending, k)
	if reply.Amount <= 0 || reply.Amount > GuaranteeUnits || request.sentAt+borrowerLoanDuration <= s.now {
		return
	}
	if l := s.borrowed[k]; l != nil {
		l.seq, l.expiresAt, l.amount = reply.Seq, request.sentAt+borrowerLoanDuration, reply.Amount
	} else if len(s.borrowed) < MaxLoans {
		s.borrowed[k] = &loan{peer: reply.From, account: reply.Account, seq: reply.Seq, amount: reply.Amount,
			expiresAt: request.sentAt + borrowerLoanDuration}
	}
	s.updateBorrowedTotal()
}

// shortage is the amount by which the demand for an account exceeds what may be used.
type shortage struct {
	account uint32
	amount  int64
}

// requestLoans renews loans that are still needed and requests more from randomly chosen peers, once per RequestInterval.
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

// renewLoans requests loans that are still needed again before they fade.
func (s *Shares) renewLoans() {
	var expiring []loanKey
	for k, l := range s.borrowed {
		request, waiting := s.pending[k]
		if s.now < l.expiresAt-borrowerLoanDuration/2 || waiting && s.now < request.sentAt+requestTimeout ||
			s.wanted[k.account] <= s.HomeShare()-s.lentTotal[k.account] {
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
	s.out = append(s.out, SendRequest{To: k.peer, Request: LoanRequest{From: s.options.Name, Incarnation: s.options.Incarnation,
		Seq: s.lastSeq, Revision: s.revision, Account: k.account, Want: min(amount, GuaranteeUnits)}})
}
