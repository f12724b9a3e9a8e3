package sessiongate

import (
	"context"
	"time"

	"birchcart/internal/exchange"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/sessionowner"
)

// Run steps the keeper until ctx ends.
func (p *Pins) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
		}
		if p.step() {
			timer.Reset(StepBusy)
		} else {
			timer.Reset(StepIdle)
		}
	}
}

// step gives the keeper all news, and carries out what it wants. It says whether something waits or runs.
func (p *Pins) step() (busy bool) {
	p.mu.Lock()
	in := p.in
	p.in = p.spare[:0]
	if p.moved {
		in = append(in, sessionowner.Applied{Book: p.o.Book, Index: p.index, Agreed: p.agreed, Era: p.era})
	}
	lent, leaves, ended := p.lent, p.leaves, len(p.ended)
	if p.news {
		in = append(in, lent)
	}
	p.moved, p.news = false, false
	p.mu.Unlock()
	p.given = in
	p.o.Look(p.look)
	out := p.words
	clear(in) // what it holds is not needed any more
	var acts []session.Act
	for _, o := range out { // refusals and recalls before the lease is published, releases after it: Begin looks at both
		switch o := o.(type) {
		case sessionowner.Act:
			acts = append(acts, o.Act)
		case sessionowner.Run:
		default:
			p.do(o)
		}
	}
	until := time.Duration(0)
	now := p.now()
	if lent.Sure {
		until = lent.Until
	}
	p.lease.Store(int64(until))
	for _, o := range out {
		if r, ok := o.(sessionowner.Run); ok {
			p.do(r)
		}
	}
	if len(acts) > 0 {
		p.o.Propose(acts)
	}
	sums := p.keeper.Sums()
	if now >= p.checked+CheckEvery {
		p.checked = now
		if err := p.keeper.Check(); err != nil {
			p.o.Log.WithError(err).Error("a rule of the pinned sessions does not hold")
		}
	}
	var unsafe []peerproto.UnsafeQuery
	asked := now >= p.askedAt+IdleEvery
	if asked {
		p.askedAt, p.opened = now, p.keeper.Unsafe(p.opened[:0], peerproto.MaxUnsafeQueries)
		for _, o := range p.opened {
			unsafe = append(unsafe, peerproto.UnsafeQuery(o))
		}
	}
	var idle []session.ID
	if leaves && now >= p.idledAt+IdleEvery {
		p.idledAt = now
		p.keeper.Idle(func(id session.ID, _ time.Duration) bool {
			idle = append(idle, id)
			return len(idle) < peerproto.MaxIdleSessions
		})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if asked {
		p.unsafe, p.openAt = unsafe, now
	}
	if idle != nil && p.leaves {
		p.idle = idle
	}
	if cap(in) <= spareMost {
		p.spare = in
	}
	for i, n := range p.ended[:ended] {
		n.q = nil
		if len(p.free) < spareMost {
			p.free = append(p.free, n)
		}
		p.ended[i] = nil
	}
	p.ended = p.ended[:copy(p.ended, p.ended[ended:])]
	p.sums, p.busy = sums, len(acts) > 0 || sums.Waiting > 0
	p.waits = p.busy || leaves
	if p.waits && len(p.ended) > 0 { // they came meanwhile
		p.nudge()
	}
	return sums.Waiting > 0 || sums.Open > 0 || len(acts) > 0
}

// do carries out one word of the keeper's.
func (p *Pins) do(o sessionowner.Output) {
	find := func(token uint64) *pin {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.tokens[token]
	}
	switch o := o.(type) {
	case sessionowner.Run:
		if n := find(o.Token); n != nil {
			p.o.Exchange.Release(n.q)
		}
	case sessionowner.Refuse:
		p.turn(find(o.Token), exchange.Reply{Status: exchange.Refused, After: p.after(o.After), Owner: o.Owner})
	case sessionowner.Recall:
		p.turn(find(o.Token), exchange.Reply{Status: exchange.Refused, After: p.after(o.After), Owner: o.Owner})
	case sessionowner.Fail:
		p.turn(find(o.Token), exchange.Reply{Status: exchange.Failed})
	case sessionowner.Log:
		p.o.Log.Info(o.Text)
	}
}

// turn ends a query by the keeper's word. From here on no served answer of it is given.
func (p *Pins) turn(n *pin, r exchange.Reply) {
	if n == nil {
		return
	}
	n.told.Store(true)
	p.o.Exchange.TurnAway(n.q, r)
}
