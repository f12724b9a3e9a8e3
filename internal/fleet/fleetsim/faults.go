package fleetsim

import (
	"slices"
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/fleetsim/history"
)

// play lets one fault begin, and lays its end.
func (w *World) play(step clockwork.Step) {
	if step.A >= len(w.nodes) && step.Kind != stepMachine && step.Kind != stepFlap && step.Kind != stepZone {
		return
	}
	switch step.Kind {
	case stepStall:
		w.stall(w.nodes[step.A], step.For)
	case stepCrash, stepLose:
		w.kill(w.nodes[step.A], step.For, step.Kind == stepLose && w.mayLose(w.nodes[step.A]))
	case stepFull:
		w.fill(w.nodes[step.A], step.For)
	case stepCut:
		w.cutFor(step.For, [][2]int{{step.A, step.B}})
	case stepAlone, stepDeaf, stepMute:
		w.cutAll(step.A, step.Kind, step.For)
	case stepHalves:
		w.halves(step)
	case stepLate:
		w.late(w.nodes[step.A], step.For)
	case stepLeader, stepFreeze, stepDepose:
		w.atLeader(step)
	case stepClock:
		w.leap(w.nodes[step.A], time.Duration(step.B)*time.Second, step.For)
	case stepSeven:
		for _, n := range w.nodes {
			if w.rng.IntN(10) < 7 {
				w.kill(n, time.Duration(w.rng.Int64N(int64(5*time.Second))), false)
			}
		}
	case stepMachine:
		w.breakDown(w.machines[w.machineNames[step.A%len(w.machineNames)]], step.For)
	case stepFlap:
		m := w.machines[w.machineNames[step.A%len(w.machineNames)]]
		for i := range 4 {
			w.After(time.Duration(i)*step.For/4, func() { w.breakDown(m, step.For/8+time.Millisecond) })
		}
	case stepZone:
		for _, name := range w.machineNames {
			if m := w.machines[name]; m.zone == zone(step.A, w.s.Zones) {
				w.breakDown(m, step.For)
			}
		}
		for _, n := range w.nodes {
			if zone(n.id, w.s.Zones) == zone(step.A, w.s.Zones) {
				w.kill(n, step.For, false)
			}
		}
	case stepNoVotes:
		for _, id := range w.voters[:len(w.voters)/2+1] {
			w.kill(w.nodes[id], step.For, false)
		}
	}
}

// mayLose says that the log outlives the loss of this disk: a majority of the voters has all that is agreed without it.
// More than that is no fault to be borne: the raft group is then set up anew from a snapshot.
func (w *World) mayLose(n *node) bool {
	if n.v == nil {
		return true
	}
	whole := 0
	for _, id := range w.voters {
		v := w.nodes[id].v
		if id == n.id || v.mute {
			continue
		}
		last := len(w.agreed.entries)
		if t, has := v.termOf(last); v.base >= last || has && t == w.agreed.entries[last-1].term {
			whole++
		}
	}
	return whole*2 > len(w.voters) && len(w.agreed.entries) > 0
}

func (w *World) stall(n *node, lasts time.Duration) {
	if !n.runs() {
		return
	}
	n.stalled = true
	inc := n.inc
	w.After(lasts, func() {
		if n.inc != inc || !n.up {
			return
		}
		n.stalled = false
		held := n.held
		n.held = nil
		first := w.rng.IntN(2) == 0 // its own timers, or what waited at its sockets
		if first {
			n.turn()
		}
		order := w.rng.Perm(len(w.nodes) + 1) // whose socket is read first; the words of one stay in order
		slices.SortStableFunc(held, func(a, b heldWord) int { return order[a.from+1] - order[b.from+1] })
		for _, word := range held {
			if n.runs() && n.inc == inc {
				word.do(n)
			}
		}
		if !first && n.runs() && n.inc == inc {
			n.turn()
		}
	})
}

// leap sets one wall's clock off. Of two that are wrong at once a fleet of three voters can't tell which is right.
func (w *World) leap(n *node, by, lasts time.Duration) {
	if w.leapt {
		return
	}
	w.leapt = true
	n.clock.offset += by
	if by > 0 && len(n.before) > 0 && n.up {
		w.tell(history.Event{Kind: history.Serving, By: n.name, On: true, Lost: true})
	}
	w.After(lasts, func() {
		w.leapt = false
		n.clock.offset -= by
	})
}

func (w *World) cutFor(lasts time.Duration, pairs [][2]int) {
	for _, p := range pairs {
		w.links.cut(p[0], p[1], 1)
	}
	w.majority()
	w.After(lasts, func() {
		for _, p := range pairs {
			w.links.cut(p[0], p[1], -1)
		}
		w.majority()
	})
}

func (w *World) cutAll(id int, kind string, lasts time.Duration) {
	var pairs [][2]int
	for other := range w.nodes {
		if other == id {
			continue
		}
		if kind != stepDeaf {
			pairs = append(pairs, [2]int{id, other})
		}
		if kind != stepMute {
			pairs = append(pairs, [2]int{other, id})
		}
	}
	w.cutFor(lasts, pairs)
}

func (w *World) halves(step clockwork.Step) {
	var pairs [][2]int
	for a := range w.nodes {
		for b := range w.nodes {
			if (a < step.A) != (b < step.A) {
				pairs = append(pairs, [2]int{a, b})
			}
		}
	}
	w.cutFor(step.For, pairs)
}

func (w *World) late(n *node, lasts time.Duration) {
	n.stuck++
	w.After(lasts, func() {
		n.stuck--
		if n.stuck == 0 && n.runs() {
			n.news(w.lists.newest())
		}
	})
}

func (w *World) atLeader(step clockwork.Step) {
	for _, id := range w.voters {
		n := w.nodes[id]
		if !n.runs() || !n.v.leads {
			continue
		}
		switch step.Kind {
		case stepLeader:
			w.kill(n, step.For, false)
		case stepFreeze:
			w.stall(n, step.For)
		case stepDepose:
			w.cutAll(n.id, stepMute, step.For)
		}
		return
	}
}
