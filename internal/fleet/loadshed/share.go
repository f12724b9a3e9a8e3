package loadshed

import (
	"math"
	"time"

	"birchcart/internal/fleet/shares"
)

// accountDemand are what was asked of late by account, smoothed: of those that were used.
type accountDemand struct {
	rates         []float64 // costModel a second
	costSinceStep []float64 // costModel since the last step
	active        []bool
	accounts      []int32 // accounts whose rate counts, in the order of coming
}

// minDemandRate is the rate below which an account counts as idle.
const minDemandRate = 0.01

func (w *accountDemand) reset(accounts int) {
	*w = accountDemand{rates: make([]float64, accounts), costSinceStep: make([]float64, accounts), active: make([]bool, accounts)}
}

// collectDemand takes what was asked since the last step. It holds the lock.
func (s *Shedder) collectDemand() {
	w := &s.accountDemand
	for _, a := range s.offeredAccounts {
		w.costSinceStep[a], s.offered[a] = s.offered[a], 0
		if !w.active[a] {
			w.active[a] = true
			w.accounts = append(w.accounts, a)
		}
	}
	s.offeredAccounts = s.offeredAccounts[:0]
}

// stepShares steps the shares with what came and what was asked.
func (s *Shedder) stepShares(now time.Duration, crew Membership) []shares.Output {
	in := s.shareInputs
	s.shareInputs = nil
	if s.set == nil {
		return nil
	}
	news := []shares.Input{shares.Config{Revision: s.set.Revision, Accounts: len(s.set.Accounts)}, shares.Membership{Agreed: crew.AgreedCount, Live: crew.Live}}
	by, bears := 1-math.Exp(-float64(StepInterval)/float64(DemandTimeConstant)), s.control.Capacity()
	w := &s.accountDemand
	keep := w.accounts[:0]
	for _, a := range w.accounts {
		w.rates[a] += (w.costSinceStep[a]/StepInterval.Seconds() - w.rates[a]) * by
		w.costSinceStep[a] = 0
		if w.rates[a] < minDemandRate {
			w.rates[a], w.active[a] = 0, false
		} else {
			keep = append(keep, a)
		}
		if g := s.set.Accounts[a].Guarantee; g > 0 && bears > 0 {
			news = append(news, shares.Demand{Account: uint32(a), Want: int64(min(1, w.rates[a]/(g*bears)) * shares.GuaranteeUnits)})
		}
	}
	w.accounts = keep
	return s.shares.Step(now, append(news, in...))
}

// sharesPerLock are told to the gate under one lock.
const sharesPerLock = 256

// accountShare is what may be used of one account.
type accountShare struct {
	account int
	share   float64
}

// applyShares tells the gate what it may use of each guarantee.
func (s *Shedder) applyShares(now time.Duration, out []shares.Output) {
	var list []accountShare
	add := func(account uint32, amount int64) {
		if int(account) < len(s.set.Accounts) { // a mixed set has some more
			list = append(list, accountShare{int(account), s.set.Accounts[account].Guarantee * float64(amount) / shares.GuaranteeUnits})
		}
	}
	for _, o := range out {
		switch o := o.(type) {
		case shares.DefaultShare:
			if o.Share != s.evenShare {
				s.evenShare = o.Share
				for a := range s.set.Accounts {
					add(uint32(a), s.shares.Usable(uint32(a)))
				}
			}
		case shares.AccountShare:
			if o.Share == shares.UseDefault {
				o.Share = s.evenShare
			}
			add(o.Account, o.Share)
		}
	}
	for len(list) > 0 {
		n := min(len(list), sharesPerLock)
		s.mu.Lock()
		for _, p := range list[:n] {
			s.gate.SetShare(now, p.account, p.share)
		}
		s.mu.Unlock()
		list = list[n:]
	}
}
