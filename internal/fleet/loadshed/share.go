package loadshed

import (
	"math"
	"time"

	"birchcart/internal/fleet/shares"
)

// wants are what was asked of late by account, smoothed: of those that were used.
type wants struct {
	rates []float64 // cost a second
	since []float64 // cost since the last step
	there []bool
	list  []int32 // accounts whose rate counts, in the order of coming
}

// wantLeast is the rate below which an account counts as idle.
const wantLeast = 0.01

func (w *wants) reset(accounts int) {
	*w = wants{rates: make([]float64, accounts), since: make([]float64, accounts), there: make([]bool, accounts)}
}

// demand takes what was asked since the last step. It holds the lock.
func (s *Shed) demand() {
	w := &s.wants
	for _, a := range s.used {
		w.since[a], s.asked[a] = s.asked[a], 0
		if !w.there[a] {
			w.there[a] = true
			w.list = append(w.list, a)
		}
	}
	s.used = s.used[:0]
}

// share steps the shares with what came and what was asked.
func (s *Shed) share(now time.Duration, crew Crew) []shares.Output {
	in := s.in
	s.in = nil
	if s.set == nil {
		return nil
	}
	news := []shares.Input{shares.Set{Revision: s.set.Revision, Accounts: len(s.set.Accounts)}, shares.Members{Agreed: crew.Agreed, Live: crew.Live}}
	by, bears := 1-math.Exp(-float64(Every)/float64(WantSpan)), s.control.Bears()
	w := &s.wants
	keep := w.list[:0]
	for _, a := range w.list {
		w.rates[a] += (w.since[a]/Every.Seconds() - w.rates[a]) * by
		w.since[a] = 0
		if w.rates[a] < wantLeast {
			w.rates[a], w.there[a] = 0, false
		} else {
			keep = append(keep, a)
		}
		if g := s.set.Accounts[a].Guarantee; g > 0 && bears > 0 {
			news = append(news, shares.Demand{Account: uint32(a), Want: int64(min(1, w.rates[a]/(g*bears)) * shares.Whole)})
		}
	}
	w.list = keep
	return s.shares.Step(now, append(news, in...))
}

// partsAtOnce are told to the gate under one lock.
const partsAtOnce = 256

// part is what may be used of one account.
type part struct {
	account int
	share   float64
}

// parts tells the gate what it may use of each guarantee.
func (s *Shed) parts(now time.Duration, out []shares.Output) {
	var list []part
	add := func(account uint32, amount int64) {
		if int(account) < len(s.set.Accounts) { // a mixed set has some more
			list = append(list, part{int(account), s.set.Accounts[account].Guarantee * float64(amount) / shares.Whole})
		}
	}
	for _, o := range out {
		switch o := o.(type) {
		case shares.Even:
			if o.Part != s.even {
				s.even = o.Part
				for a := range s.set.Accounts {
					add(uint32(a), s.shares.Use(uint32(a)))
				}
			}
		case shares.Part:
			if o.Part == shares.Evenly {
				o.Part = s.even
			}
			add(o.Account, o.Part)
		}
	}
	for len(list) > 0 {
		n := min(len(list), partsAtOnce)
		s.mu.Lock()
		for _, p := range list[:n] {
			s.gate.Share(now, p.account, p.share)
		}
		s.mu.Unlock()
		list = list[n:]
	}
}
