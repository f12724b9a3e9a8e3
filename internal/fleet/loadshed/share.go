package loadshed

import (
	"math"
	"time"

	"birchcart/internal/fleet/shares"
)

// accountDemand is the smoothed demand of the accounts that had queries recently.
type accountDemand struct {
	rates         []float64 // cost per second, by account
	costSinceStep []float64 // by account
	active        []bool    // by account: whether it is in accounts
	accounts      []int32   // accounts with a rate above 0, in the order in which they became active
}

// minDemandRate is the rate below which an account counts as idle.
const minDemandRate = 0.01

func (d *accountDemand) reset(accounts int) {
	*d = accountDemand{rates: make([]float64, accounts), costSinceStep: make([]float64, accounts), active: make([]bool, accounts)}
}

// collectDemand takes over the cost offered since the last step. The caller holds s.mu.
func (s *Shedder) collectDemand() {
	d := &s.accountDemand
	for _, a := range s.offeredAccounts {
		d.costSinceStep[a], s.offered[a] = s.offered[a], 0
		if !d.active[a] {
			d.active[a] = true
			d.accounts = append(d.accounts, a)
		}
	}
	s.offeredAccounts = s.offeredAccounts[:0]
}

// stepShares makes a step of the shares with the messages received and the current demand, and returns its outputs.
func (s *Shedder) stepShares(now time.Duration, membership Membership) []shares.Output {
	received := s.shareInputs
	s.shareInputs = nil
	if s.set == nil {
		return nil
	}
	inputs := []shares.Input{shares.Config{Revision: s.set.Revision, Accounts: len(s.set.Accounts)}, shares.Membership{Agreed: membership.AgreedCount, Live: membership.Live}}
	smoothing, capacity := 1-math.Exp(-float64(StepInterval)/float64(DemandTimeConstant)), s.control.Capacity()
	d := &s.accountDemand
	stillActive := d.accounts[:0]
	for _, a := range d.accounts {
		d.rates[a] += (d.costSinceStep[a]/StepInterval.Seconds() - d.rates[a]) * smoothing
		d.costSinceStep[a] = 0
		if d.rates[a] < minDemandRate {
			d.rates[a], d.active[a] = 0, false
		} else {
			stillActive = append(stillActive, a)
		}
		if guarantee := s.set.Accounts[a].Guarantee; guarantee > 0 && capacity > 0 {
			inputs = append(inputs, shares.Demand{Account: uint32(a), Want: int64(min(1, d.rates[a]/(guarantee*capacity)) * shares.GuaranteeUnits)})
		}
	}
	d.accounts = stillActive
	return s.shares.Step(now, append(inputs, received...))
}

// sharesPerLock is the maximum number of shares that are set at the gate before the lock is released.
const sharesPerLock = 256

// accountShare is the share of the fleet's capacity that this co-ordinator may use for an account.
type accountShare struct {
	account int
	share   float64
}

// applyShares sets at the gate which share of each guarantee this co-ordinator may use.
func (s *Shedder) applyShares(now time.Duration, outputs []shares.Output) {
	var updates []accountShare
	add := func(account uint32, amount int64) {
		if int(account) < len(s.set.Accounts) { // a merged set of the same revision, in force before, may have had more accounts
			updates = append(updates, accountShare{int(account), s.set.Accounts[account].Guarantee * float64(amount) / shares.GuaranteeUnits})
		}
	}
	for _, o := range outputs {
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
	for len(updates) > 0 {
		n := min(len(updates), sharesPerLock)
		s.mu.Lock()
		for _, u := range updates[:n] {
			s.gate.SetShare(now, u.account, u.share)
		}
		s.mu.Unlock()
		updates = updates[n:]
	}
}
