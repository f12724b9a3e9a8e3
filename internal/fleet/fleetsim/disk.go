package fleetsim

import (
	"time"

	"birchcart/internal/fleet/fleetsim/history"
	"birchcart/internal/fleet/view"
)

// keepEvery is between attempts to have a disk keep drains that it did not take, as of the program.
const keepEvery = time.Second

// disk is what a co-ordinator's disk has of its drains (laid.json), and what its process knows of that.
type disk struct {
	full   int                 // reasons for which it takes nothing
	file   map[string]laidLine // by machine
	onDisk map[string]laidLine // the newest set that it took from this process; nil: none
	before map[string]laidLine // drains of the process before, until this one has caught up
	unkept bool                // something is not said as laid, since the disk does not have it
	keepAt time.Duration       // own time of the newest attempt
}

type laidLine struct {
	fence uint64
	until time.Duration
}

// fill lets a co-ordinator's disk take nothing for a while. A voter's log stops: it stores nothing, votes for nobody and
// leads no more; its process serves on.
func (w *World) fill(n *node, lasts time.Duration) {
	n.full++
	w.After(lasts, func() { n.full-- })
}

// booted is a new process upon the disk's drains.
func (n *node) booted() {
	n.before, n.onDisk, n.unkept = n.file, nil, false
}

// keep writes the drains to the disk. If that does not take them, the file of before stays.
func (n *node) keep() {
	n.keepAt, n.unkept = n.mono(), false
	if n.full > 0 {
		n.onDisk = nil
		return
	}
	file := make(map[string]laidLine, len(n.drains)+len(n.before))
	for name, line := range n.before {
		file[name] = line
	}
	for name := range n.drains {
		if it, ok := n.book.out.ActiveItem(name); ok {
			file[name] = laidLine{it.Fence, it.Until}
		}
	}
	n.file, n.onDisk = file, file
}

// keepAgain tries again what the disk did not take.
func (n *node) keepAgain() {
	if n.unkept && n.mono() >= n.keepAt+keepEvery {
		n.keep()
	}
}

// caughtUp lets the drains of the process before go.
func (n *node) caughtUp() {
	if len(n.before) > 0 {
		n.before = nil
		n.keep()
		n.sending()
	}
}

// drained says that the co-ordinator sends nothing new to the machine.
func (n *node) drained(name string) bool {
	line, before := n.before[name]
	return n.drains[name] || before && n.wall() < line.until
}

// sayable says whether a drain may be said as laid: not if a restart would lose it.
func (n *node) sayable(l view.DrainStatus) bool {
	if l.Rejected || !n.drains[l.Machine] {
		return true
	}
	if line, ok := n.onDisk[l.Machine]; n.w.Loose.Unkept || ok && line.fence == l.Fence {
		n.w.tell(history.Event{Kind: history.Said, By: n.name, Name: l.Machine, Fence: l.Fence})
		return true
	}
	n.unkept = true
	return false
}
