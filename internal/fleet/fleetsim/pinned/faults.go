package pinned

import (
	"maps"
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/sessionowner"
)

// play lets one fault begin, and lays its end.
func (w *World) play(step clockwork.Step) {
	n := len(w.cos)
	a, b := step.A%n, step.B%n
	switch step.Kind {
	case stepStall:
		w.cos[a].stall(step.For)
	case stepCrash:
		w.cos[a].stop(step.For)
	case stepCut:
		w.cut([][2]int{{a, b}}, step.For)
	case stepAlone, stepDeaf, stepMute:
		var pairs [][2]int
		for o := range n {
			if o != a && step.Kind != stepMute {
				pairs = append(pairs, [2]int{o, a})
			}
			if o != a && step.Kind != stepDeaf {
				pairs = append(pairs, [2]int{a, o})
			}
		}
		w.cut(pairs, step.For)
	case stepLeader, stepFreeze:
		if w.leader >= 0 && step.Kind == stepLeader {
			w.cos[w.leader].stop(step.For)
		} else if w.leader >= 0 {
			w.cos[w.leader].stall(step.For)
		}
	case stepDepose:
		w.elect()
	case stepNoVotes:
		for v := range w.s.Voters/2 + 1 {
			w.cos[v].stop(step.For)
		}
	case stepAll:
		for _, c := range w.cos {
			c.stop(clockwork.Between(w.rng, 0, step.For))
		}
	case stepReplica:
		w.replicas[step.A%len(w.replicas)].die(step.For)
	case stepParts:
		pair := [2]int{a, step.B % len(w.replicas)}
		w.parts[pair]++
		w.After(step.For, func() { w.parts[pair]-- })
	case stepCaps:
		l := w.limits
		l.Revision++
		l.Caps = maps.Clone(l.Caps)
		l.Caps[w.replicas[step.A%len(w.replicas)].name] = n + w.rng.IntN(3*n)
		w.limits = l
	case stepShift:
		w.shift(a, b)
	case stepMove:
		w.move(a, b)
	case stepSwap:
		w.swap()
	}
}

func (w *World) cut(pairs [][2]int, lasts time.Duration) {
	add := func(by int16) {
		for _, p := range pairs {
			w.cuts[p[0]*len(w.cos)+p[1]] += by
		}
	}
	add(1)
	w.After(lasts, func() { add(-1) })
}

// leaderNow is whoever leads and can propose, or nil.
func (w *World) leaderNow() *lead {
	if w.leader < 0 || !w.cos[w.leader].up {
		return nil
	}
	return w.cos[w.leader].lead
}

func (w *World) shift(a, b int) {
	l := w.leaderNow()
	if l == nil || a == b {
		return
	}
	r := w.replicas[w.rng.IntN(len(w.replicas))].name
	s := session.Shift{From: w.cos[a].name, To: w.cos[b].name, Replica: r, N: 1 + w.rng.IntN(2)}
	switch w.rng.IntN(3) {
	case 0:
		s.Until = w.top.led.Now() + clockwork.Between(w.rng, time.Second, 10*time.Second)
	case 1:
		s.To = ""
	}
	l.shifts = append(l.shifts, s)
}

// move offers some sessions of one co-ordinator to another, by hand.
func (w *World) move(a, b int) {
	l := w.leaderNow()
	if l == nil || a == b {
		return
	}
	n := 1 + w.rng.IntN(4)
	w.top.book.ByOwner(w.cos[a].name, func(r session.Record) bool {
		if r.Phase == session.Pinned {
			l.handMade = append(l.handMade, session.Offer{ID: r.ID, Epoch: r.Epoch, From: r.Owner, To: w.cos[b].name})
			n--
		}
		return n > 0
	})
}

// swap lets all co-ordinators go and come back in turn. One that can not get rid of its sessions stops it.
func (w *World) swap() {
	if len(w.order) > 0 {
		return
	}
	n, abreast := len(w.cos), w.s.Abreast
	waves := make([][]int, (n+abreast-1)/abreast)
	place := func(i, wave int) {
		for len(waves[wave%len(waves)]) == abreast {
			wave++
		}
		wave %= len(waves)
		waves[wave] = append(waves[wave], i)
		w.order[i] = wave
	}
	for i := range n { // voters come first, and one at a time as far as there are waves
		place(i, max(0, i-w.s.Voters)*len(waves)/n+min(i, w.s.Voters))
	}
	w.Figures.SwapBegin = w.Now
	w.swapNext(waves)
}

func (w *World) swapNext(waves [][]int) {
	if len(waves) == 0 {
		clear(w.order)
		w.Figures.SwapDone, w.Figures.SwapEnd = true, w.Now
		return
	}
	deadline, left := w.Now+w.s.Within, len(waves[0])
	for _, i := range waves[0] {
		c := w.cos[i]
		w.leaving[i] = w.top.led.Now() + w.s.Within
		if w.leader == i {
			w.elect() // it hands over before it goes
		}
		if c.up {
			c.deliver(c.inc, func() { c.step(sessionowner.Draining{}) })
		}
	}
	for _, i := range waves[0] {
		w.swapOne(i, deadline, func(gone bool) {
			if left--; !gone && left >= 0 { // it stops here: what has gone comes back, nobody else goes
				left = -1
				clear(w.order)
				clear(w.leaving)
				w.Figures.SwapStopped = true
			}
			if left == 0 {
				w.swapNext(waves[1:])
			}
		})
	}
}

func (w *World) swapOne(i int, deadline time.Duration, done func(bool)) {
	c := w.cos[i]
	if w.err != nil {
		return
	}
	switch {
	case !c.up || w.top.book.Owned(c.name) == 0 && len(c.conns) == 0:
		c.stop(w.s.Away)
		w.After(w.s.Away+GraceLeast+time.Second, func() {
			delete(w.leaving, i)
			delete(w.order, i)
			done(true)
		})
	case w.Now > deadline:
		done(false)
	default:
		w.After(20*time.Millisecond, func() { w.swapOne(i, deadline, done) })
	}
}
