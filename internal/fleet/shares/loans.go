package shares

import (
	"cmp"
	"slices"
)

// lend answers a peer's ask out of what is idle of the home part.
func (s *Shares) lend(a Ask) {
	if a.Revision != s.revision || a.Account >= uint32(s.accounts) || a.From == s.o.Name || a.From == "" || a.Want <= 0 {
		return
	}
	k := key{a.From, a.Account}
	answer := Lent{From: s.o.Name, To: a.From, Incarnation: a.Incarnation, No: a.No, Revision: s.revision, Account: a.Account}
	l := s.lent[k]
	switch {
	case l == nil:
		amount := min(a.Want, s.Home()/StepPart, s.idle(a.Account))
		if amount > 0 && len(s.lent) < LoansMost {
			l = &loan{peer: a.From, incarnation: a.Incarnation, account: a.Account, no: a.No, amount: amount, until: s.now + lenderFor}
			s.lent[k] = l
			s.lentSum[a.Account] += amount
			answer.Amount = amount
		}
	case a.Incarnation != l.incarnation: // the process before may have it, and this one doesn't know
	case a.No < l.no: // late: a newer one was answered
		return
	case a.No == l.no: // repeated: it is the same loan, which ends when it did
		answer.Amount = l.amount
	case s.idle(a.Account) >= 0: // it goes on, as long as nothing of it is missed here
		l.no, l.until = a.No, s.now+lenderFor
		answer.Amount = l.amount
	}
	s.out = append(s.out, SendLent{To: a.From, Lent: answer})
}

// idle is what of an account may be lent beyond what is: what is neither in use here, with some to spare, nor more than the part
// of it that may be lent at all. Below 0: what is lent is missed.
func (s *Shares) idle(account uint32) int64 {
	want := s.want[account]
	lent := s.lentSum[account]
	left := min(s.Home()/LendPart-lent, s.Home()-lent-want-want/Spare)
	if s.young() {
		return min(left, 0) // its own half is all there is for sure
	}
	return left
}

func (s *Shares) unlend(k key, l *loan) {
	delete(s.lent, k)
	if s.lentSum[l.account] -= l.amount; s.lentSum[l.account] == 0 {
		delete(s.lentSum, l.account)
	}
}

// take notes what a peer lent, if it answers an ask that is still known. Its time counts from the sending of that ask.
func (s *Shares) take(r Lent) {
	k := key{r.From, r.Account}
	a, ok := s.asks[k]
	if !ok || r.To != s.o.Name || r.Incarnation != s.o.Incarnation || r.Revision != s.revision || r.No != a.no || r.Account != a.account {
		return
	}
	delete(s.asks, k)
	if r.Amount <= 0 || r.Amount > Whole || a.at+borrowerFor <= s.now {
		return
	}
	if l := s.borrowed[k]; l != nil {
		l.no, l.until, l.amount = r.No, a.at+borrowerFor, r.Amount
	} else if len(s.borrowed) < LoansMost {
		s.borrowed[k] = &loan{peer: r.From, account: r.Account, no: r.No, amount: r.Amount, until: a.at + borrowerFor}
	}
	s.sumUp()
}

// short is an account of which more is wanted than may be used.
type short struct {
	account uint32
	lacks   int64
}

// ask keeps what is borrowed and still wanted, and looks for more at peers drawn anew each time.
func (s *Shares) ask() {
	if s.stepped && s.askedAt > 0 && s.now < s.askedAt+AskEvery {
		return
	}
	s.askedAt = s.now
	var lacking []short
	for a, want := range s.want {
		if lacks := want - s.Use(a); lacks > 0 {
			lacking = append(lacking, short{a, lacks})
		}
	}
	slices.SortFunc(lacking, func(a, b short) int { return cmp.Or(cmp.Compare(b.lacks, a.lacks), cmp.Compare(a.account, b.account)) })
	lacking = lacking[:min(len(lacking), ShortMost)]
	s.renew()
	for range min(AskPeers, len(s.peers)) {
		peer := s.peers[s.rng.IntN(len(s.peers))]
		for _, l := range lacking {
			k := key{peer, l.account}
			if a, waits := s.asks[k]; s.borrowed[k] == nil && !(waits && s.now < a.at+askAgain) {
				s.send(k, l.lacks)
			}
		}
	}
}

// renew asks for what is borrowed before it fades, where it is wanted still.
func (s *Shares) renew() {
	var due []key
	for k, l := range s.borrowed {
		a, waits := s.asks[k]
		if s.now < l.until-borrowerFor/2 || waits && s.now < a.at+askAgain || s.want[k.account] <= s.Home()-s.lentSum[k.account] {
			continue
		}
		due = append(due, k)
	}
	slices.SortFunc(due, func(a, b key) int {
		return cmp.Or(cmp.Compare(s.borrowed[a].until, s.borrowed[b].until), cmp.Compare(a.peer, b.peer), cmp.Compare(a.account, b.account))
	})
	for _, k := range due[:min(len(due), ShortMost)] {
		s.send(k, s.borrowed[k].amount)
	}
}

func (s *Shares) send(k key, want int64) {
	s.last++
	s.asks[k] = asked{no: s.last, at: s.now, account: k.account}
	s.out = append(s.out, SendAsk{To: k.peer, Ask: Ask{From: s.o.Name, Incarnation: s.o.Incarnation, No: s.last, Revision: s.revision,
		Account: k.account, Want: min(want, Whole)}})
}
