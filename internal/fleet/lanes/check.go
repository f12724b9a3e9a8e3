package lanes

import (
	"fmt"
	"time"

	"birchcart/internal/fleet/pressure"
)

// auditor checks the gate's decisions independently and keeps the first violation of a rule. It tracks the allowance of each floor and
// guarantee from its rate and the admitted queries, and does not read the gate's buckets.
type auditor struct {
	lanes       [pressure.MaxLanes]allowance
	accounts    []allowance
	indexByName map[string]int
	admitted    uint64
	refused     uint64
	violation   error
}

// allowance is the unused cost that has accrued at a rate, limited to a burst.
type allowance struct {
	rate, remaining float64
	ofGuarantee     bool // the rate is an account's guarantee
	updatedAt       time.Duration
}

// tolerance is the rounding error allowed between two sums of the same amounts.
const tolerance = 1e-6

func (a *allowance) refill(now time.Duration) {
	if now > a.updatedAt {
		limit := max(1, BurstSeconds*a.rate)
		if a.ofGuarantee {
			limit = max(limit, min(MinGuaranteeBurst, MinGuaranteeBurstSeconds*a.rate))
		}
		a.remaining = min(limit, a.remaining+a.rate*(now-a.updatedAt).Seconds())
		a.updatedAt = now
	}
}

func (au *auditor) configure(now time.Duration, g *Gate) {
	set := g.set
	first := au.indexByName == nil
	accounts, names := make([]allowance, len(set.Accounts)), make(map[string]int, len(set.Accounts))
	for i := range accounts {
		name := set.Accounts[i].Name
		names[name] = i
		if j, ok := au.indexByName[name]; ok {
			accounts[i] = au.accounts[j]
			accounts[i].refill(now)
		} else {
			accounts[i] = allowance{remaining: MinGuaranteeBurst, ofGuarantee: true, updatedAt: now}
		}
		accounts[i].rate = g.accounts[i].share * g.capacity
	}
	au.accounts, au.indexByName = accounts, names
	for j := range au.lanes {
		if first {
			au.lanes[j] = allowance{remaining: 1, updatedAt: now}
		}
	}
}

// updateRates applies the rates of floors and guarantees that hold from now on.
func (au *auditor) updateRates(now time.Duration, g *Gate) {
	for j := range au.lanes {
		au.lanes[j].refill(now)
		au.lanes[j].rate = g.lanes[j].floorRate
	}
	for i := range au.accounts {
		au.accounts[i].refill(now)
		au.accounts[i].rate = g.accounts[i].share * g.capacity
	}
}

// observe records a decision and checks it if it is a refusal.
func (au *auditor) observe(now time.Duration, g *Gate, q *Query, d *Decision) {
	l := &au.lanes[d.Lane]
	l.refill(now)
	var a *allowance
	if q.Account >= 0 && q.Account < len(au.accounts) {
		a = &au.accounts[q.Account]
		a.refill(now)
	}
	if !d.Admitted {
		au.refused++
		au.checkRefusal(g, q, d, l, a)
		return
	}
	au.admitted++
	if d.Reason == Guaranteed {
		a.remaining -= q.Cost
	} else if g.level > 0 {
		lowest := min(l.remaining, 0)
		if d.Reason == Floor {
			lowest = -q.Cost
		}
		l.remaining = max(l.remaining-q.Cost, lowest)
	}
}

func (au *auditor) checkRefusal(g *Gate, q *Query, d *Decision, l, a *allowance) {
	if au.violation != nil {
		return
	}
	name := g.set.Lanes[d.Lane].Name
	switch {
	case g.level == 0:
		au.violation = fmt.Errorf("L6: query of cost %.2f in lane %s was refused (%s) at level 0", q.Cost, name, d.Reason)
	case d.Reason == Shed && l.remaining > tolerance:
		au.violation = fmt.Errorf("L1: query of cost %.2f in lane %s was refused with %.3f unused of the lane's floor of %.3f/s",
			q.Cost, name, l.remaining, l.rate)
	case a != nil && a.rate > 0 && a.remaining > tolerance && !g.stale(g.now):
		au.violation = fmt.Errorf("L2: query of cost %.2f of account %s was refused (%s) with %.3f unused of its guarantee of %.3f/s", q.Cost,
			g.set.Accounts[q.Account].Name, d.Reason, a.remaining, a.rate)
	case d.RetryAfter < 0 || d.RetryAfter > MaxRetryAfter:
		au.violation = fmt.Errorf("L3: refused query in lane %s has invalid retry time %v", name, d.RetryAfter)
	}
}

// Check returns the first violation of one of these rules, with its evidence. L1: no lane is refused while its floor is not used up.
// L2: no account is refused within its guarantee. L3: a refusal is immediate and has no effect other than being counted.
// L6: nothing is refused at level 0.
func (g *Gate) Check() error {
	if g.auditor.violation != nil {
		return g.auditor.violation
	}
	admitted, refused := uint64(0), uint64(0)
	for j := range g.counts.Queries {
		for r, n := range g.counts.Queries[j] {
			if Reason(r).Refused() {
				refused += n
			} else {
				admitted += n
			}
		}
	}
	if admitted != g.auditor.admitted || refused != g.auditor.refused {
		return fmt.Errorf("L3: %d admitted and %d refused in the counts by reason, %d and %d by the auditor",
			admitted, refused, g.auditor.admitted, g.auditor.refused)
	}
	return nil
}
