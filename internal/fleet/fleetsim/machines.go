package fleetsim

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/fleetsim/history"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/view"
)

// Odd ways of a machine, beside going when it is told and coming back cold by a newer start.
const (
	wayEarly   = "early"   // goes as soon as it is granted
	waySlow    = "slow"    // goes after its time
	wayNever   = "never"   // stays away
	wayRenamed = "renamed" // comes back under a new name
	wayLong    = "long"    // is out for longer than it asked for
	wayDeaf    = "deaf"    // never goes
)

// machine is a replica as it truly is.
type machine struct {
	name   string
	zone   string
	cell   int
	status maintenance.Status
	start  time.Duration // since the Unix epoch, as discovery tells it
	acted  uint64        // highest number that the site's tool has acted on
	way    string
	times  int // that it rose
	away   bool
}

// lists are discovery's, one for each change; a co-ordinator stands at one of them.
type lists struct{ all [][]maintenance.Machine }

func (l *lists) newest() int                    { return len(l.all) - 1 }
func (l *lists) at(i int) []maintenance.Machine { return l.all[i] }

// changed makes a new list and lets it reach each co-ordinator when its news does.
func (w *World) listChanged() {
	list := make([]maintenance.Machine, 0, len(w.machines))
	for _, name := range w.machineNames {
		m := w.machines[name]
		list = append(list, maintenance.Machine{Name: m.name, Kind: maintenance.Replica, Zone: m.zone, Cell: m.cell, Size: 1,
			Status: m.status, Started: m.start})
	}
	w.lists.all = append(w.lists.all, list)
	version := w.lists.newest()
	for _, n := range w.nodes {
		w.After(50*time.Millisecond+time.Duration(w.rng.Int64N(int64(time.Second))), func() { n.news(version) })
	}
}

func (n *node) news(version int) {
	if !n.up || n.stuck > 0 || version <= n.list {
		return
	}
	if n.stalled {
		if len(n.held) < heldMost {
			n.held = append(n.held, heldWord{-1, func(n *node) { n.news(version) }})
		}
		return
	}
	n.list = version
	n.stepView(view.ReplicaList{Replicas: n.w.lists.at(n.list)})
	n.sending()
}

// sending tells the history to which machines a part would go from now on: those that the own list has as up, but for
// the drains.
func (n *node) sending() {
	for _, m := range n.w.lists.at(n.list) {
		if skip := m.Status != maintenance.Up || n.drained(m.Name); skip != n.skips[m.Name] {
			n.skips[m.Name] = skip
			n.w.tell(history.Event{Kind: history.Sends, By: n.name, Name: m.Name, On: !skip})
		}
	}
}

func (w *World) addMachine(m *machine, warm time.Duration) {
	w.machines[m.name] = m
	w.machineNames = append(w.machineNames, m.name)
	sort.Strings(w.machineNames)
	w.tell(history.Event{Kind: history.Joined, Name: m.name, Warm: warm,
		Machine: history.Machine{Zone: m.zone, Cell: m.cell, Size: 1, Replica: true}})
}

// siteTool is the operators' own: it reads the file at one co-ordinator and takes out what was told.
func (w *World) siteTool() {
	w.After(toolEvery, w.siteTool)
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if !n.up { // the file of a co-ordinator that is stopped can still be read
		return
	}
	for _, g := range n.grants {
		if m := w.toolMachine(g.Item); m != nil && m.way != wayDeaf {
			m.acted = g.Fence
			left := g.StartBefore - w.toolWall() // it keeps to the time in the file, but for the slow one
			wait := time.Duration(w.rng.Int64N(int64(3 * time.Second)))
			if m.way == waySlow {
				wait = max(0, left) + time.Duration(w.rng.Int64N(int64(60*time.Second)))
			} else if wait+toolMargin > left {
				continue
			}
			w.After(wait, func() { w.takeOut(m, g.Item) })
		}
	}
	if w.s.Odd == 0 {
		return
	}
	for _, item := range n.book.out.Items() { // one who saw it in a log and did not wait for the file
		if item.Phase == maintenance.Granted {
			if m := w.toolMachine(item); m != nil && m.way == wayEarly {
				m.acted = item.Fence
				w.After(0, func() { w.takeOut(m, item) })
			}
		}
	}
}

// toolMachine is the machine of an item if the tool has not acted on that number yet.
func (w *World) toolMachine(item maintenance.Item) *machine {
	m := w.machines[item.Machine]
	if m == nil || m.status != maintenance.Up || item.Fence <= m.acted {
		return nil
	}
	if m.way == "" {
		m.way = w.drawWay()
	}
	return m
}

const (
	toolEvery  = time.Second     // between two looks of the site's tool into a file
	toolMargin = 4 * time.Second // before Until, at which the tool goes no more: its clock and the leader's may differ
)

// toolWall is the tool's clock, a right one.
func (w *World) toolWall() time.Duration { return clockwork.Epoch + w.Now }

func (w *World) drawWay() string {
	if w.rng.Float64() >= w.s.Odd {
		return "as asked"
	}
	ways := []string{wayEarly, waySlow, wayNever, wayRenamed, wayLong, wayDeaf}
	return ways[w.rng.IntN(len(ways))]
}

func (w *World) takeOut(m *machine, item maintenance.Item) {
	if m.status != maintenance.Up {
		return
	}
	w.tell(history.Event{Kind: history.Taken, Name: m.name, Fence: item.Fence})
	m.away = true
	work := time.Duration((0.2 + 0.5*w.rng.Float64()) * float64(w.s.workTime(item.Request)))
	switch m.way {
	case wayLong, waySlow:
		work *= 4
	case wayNever:
		work = -1
	}
	m.status = maintenance.Terminating
	w.listChanged()
	w.After(2*time.Second, func() {
		m.status = maintenance.Gone
		w.listChanged()
	})
	if work < 0 {
		return
	}
	w.After(2*time.Second+work, func() {
		if m.way == wayRenamed {
			fresh := &machine{name: fmt.Sprintf("%s-%d", m.name, m.times+2), zone: m.zone, cell: m.cell, way: "as asked"}
			w.addMachine(fresh, w.Now+w.s.Limits.WarmUp)
			w.rise(fresh)
			return
		}
		w.rise(m)
	})
}

// rise is a machine's new start: it takes requests, cold.
func (w *World) rise(m *machine) {
	m.status, m.start, m.away = maintenance.Up, clockwork.Epoch+w.Now, false
	m.times++
	m.way = "" // the next time it may be another
	w.tell(history.Event{Kind: history.Risen, Name: m.name, Warm: w.Now + w.s.Limits.WarmUp})
	w.listChanged()
}

// breakDown is a failure outside the plan.
func (w *World) breakDown(m *machine, lasts time.Duration) {
	if m.status == maintenance.Gone || m.away {
		return
	}
	m.status = maintenance.Gone
	w.tell(history.Event{Kind: history.Failed, Name: m.name})
	w.listChanged()
	w.After(lasts, func() {
		if m.status == maintenance.Gone && !m.away {
			w.rise(m)
		}
	})
}

// leave is a co-ordinator that goes out for work itself: it hands its leadership over, ends, and comes back later.
func (n *node) leave(fence uint64) {
	item, ok := n.book.out.ActiveItem(n.name)
	if !ok || item.Fence != fence || n.w.leaving[n.id] == fence {
		return
	}
	n.w.leaving[n.id] = fence
	inc := n.inc
	n.w.After(time.Second, func() {
		if n.inc != inc || !n.runs() {
			return
		}
		n.handOver()
		n.w.tell(history.Event{Kind: history.Taken, Name: n.name, Fence: fence})
		n.end(false)
		work := time.Duration((0.2 + 0.5*n.w.rng.Float64()) * float64(n.w.s.workTime(item.Request)))
		n.w.After(work, func() { n.w.restart(n) })
	})
}

// restart brings a co-ordinator's process up again.
func (w *World) restart(n *node) {
	if n.up {
		return
	}
	w.tell(history.Event{Kind: history.Risen, Name: n.name, Warm: w.Now})
	n.start()
	w.majority()
}

// kill ends a co-ordinator's process without a plan.
func (w *World) kill(n *node, lasts time.Duration, diskLost bool) {
	if !n.up {
		return
	}
	w.tell(history.Event{Kind: history.Failed, Name: n.name})
	n.end(diskLost)
	inc := n.inc
	w.After(lasts, func() {
		if n.inc == inc {
			w.restart(n)
		}
	})
}

func (w *World) place(id int) int { return slices.Index(w.voters, id) }
