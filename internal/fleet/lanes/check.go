package lanes

import (
	"fmt"
	"time"

	"birchcart/internal/fleet/pressure"
)

// books follow what the gate does by counts of their own, and keep the first rule that was broken. They know what each floor and
// guarantee brings, and what was admitted; the gate's buckets they don't look at.
type books struct {
	lanes    [pressure.MaxLanes]due
	accounts []due
	names    map[string]int
	admitted uint64
	refused  uint64
	broken   error
}

// due is what a rate has brought and nobody used, up to a burst.
type due struct {
	rate, left float64
	sure       bool // of a guarantee
	at         time.Duration
}

// slack is by how much two sums of the same may differ.
const slack = 1e-6

func (d *due) until(now time.Duration) {
	if now > d.at {
		most := max(1, BurstFor*d.rate)
		if d.sure {
			most = max(most, min(SureLeast, SureFor*d.rate))
		}
		d.left = min(most, d.left+d.rate*(now-d.at).Seconds())
		d.at = now
	}
}

func (b *books) set(now time.Duration, g *Gate) {
	set := g.set
	first := b.names == nil
	accounts, names := make([]due, len(set.Accounts)), make(map[string]int, len(set.Accounts))
	for i := range accounts {
		name := set.Accounts[i].Name
		names[name] = i
		if j, ok := b.names[name]; ok {
			accounts[i] = b.accounts[j]
			accounts[i].until(now)
		} else {
			accounts[i] = due{left: SureLeast, sure: true, at: now}
		}
		accounts[i].rate = g.accounts[i].share * g.bears
	}
	b.accounts, b.names = accounts, names
	for j := range b.lanes {
		if first {
			b.lanes[j] = due{left: 1, at: now}
		}
	}
}

// level takes the rates of floors from now on.
func (b *books) level(now time.Duration, g *Gate) {
	for j := range b.lanes {
		b.lanes[j].until(now)
		b.lanes[j].rate = g.lanes[j].floorRate
	}
	for i := range b.accounts {
		b.accounts[i].until(now)
		b.accounts[i].rate = g.accounts[i].share * g.bears
	}
}

// seen looks at a verdict.
func (b *books) seen(now time.Duration, g *Gate, q *Ask, v *Verdict) {
	l := &b.lanes[v.Lane]
	l.until(now)
	var a *due
	if q.Account >= 0 && q.Account < len(b.accounts) {
		a = &b.accounts[q.Account]
		a.until(now)
	}
	if !v.Admitted {
		b.refused++
		b.look(g, q, v, l, a)
		return
	}
	b.admitted++
	if v.How == Guaranteed {
		a.left -= q.Cost
	} else if g.level > 0 {
		low := min(l.left, 0)
		if v.How == Floor {
			low = -q.Cost
		}
		l.left = max(l.left-q.Cost, low)
	}
}

func (b *books) look(g *Gate, q *Ask, v *Verdict, l, a *due) {
	if b.broken != nil {
		return
	}
	name := g.set.Lanes[v.Lane].Name
	switch {
	case g.level == 0:
		b.broken = fmt.Errorf("L6: a query of cost %.2f in lane %s is %s at level 0", q.Cost, name, v.How)
	case v.How == Cut && l.left > slack:
		b.broken = fmt.Errorf("L1: a query of cost %.2f in lane %s is refused with %.3f left of its floor of %.3f/s", q.Cost, name, l.left, l.rate)
	case a != nil && a.rate > 0 && a.left > slack && !g.stale(g.now):
		b.broken = fmt.Errorf("L2: a query of cost %.2f of account %s is %s with %.3f left of its guarantee of %.3f/s", q.Cost,
			g.set.Accounts[q.Account].Name, v.How, a.left, a.rate)
	case v.After < 0 || v.After > AfterMost:
		b.broken = fmt.Errorf("L3: a query in lane %s is told to come back in %v", name, v.After)
	}
}

// Check names the first of L1 (no lane refused with its floor not used up), L2 (no account within its guarantee), L3 (refused at
// once and for nothing: a refusal is counted, and no more) and L6 (none at level 0) that did not hold, with the evidence.
func (g *Gate) Check() error {
	if g.books.broken != nil {
		return g.books.broken
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
	if admitted != g.books.admitted || refused != g.books.refused {
		return fmt.Errorf("L3: %d admitted and %d refused by reason, %d and %d by verdict", admitted, refused, g.books.admitted, g.books.refused)
	}
	return nil
}
