package harness

import (
	"fmt"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/standin"
)

const (
	toolsEvery = 40 * time.Millisecond
	drainTime  = 400 * time.Millisecond // between a replica's "Terminating" and its end
	goMost     = 600 * time.Millisecond // from "told" to going, at most
	slowTime   = 2500 * time.Millisecond
	awayLeast  = 400 * time.Millisecond
	awayMost   = 800 * time.Millisecond // beyond the least
	failTime   = 2 * time.Second        // for which a replica that failed is away
	busyEvery  = 5 * time.Millisecond
	busyLate   = 40 * time.Millisecond // this machine has kept eight cores' work waiting
	busyAround = time.Second           // what it kept waiting besides the harness
	leaveMost  = 30 * time.Second
	far        = 365 * 24 * time.Hour
)

// tools plays the site's tools: it reads the grants files as any tool would, one of them for each look, and takes out
// what was told. It also sees processes that end without anybody's doing.
func (c *Cluster) tools() {
	for n := 0; c.sleep(toolsEvery); n++ {
		c.watchProcesses()
		s := c.files.Last(n % len(c.procs))
		if s == nil {
			continue
		}
		for _, it := range s.Items {
			if it.Phase == maintenance.Granted && c.place(it.Machine) < 0 && c.early(it) {
				c.work.Go(func() { c.takeOut(it.Machine, 0, 0) })
			}
		}
		for _, g := range s.May {
			c.mu.Lock()
			first := time.Now().Before(g.StartBefore) && g.Fence > c.handled[g.Machine]
			if first {
				c.handled[g.Machine] = g.Fence
			}
			c.mu.Unlock()
			if i := c.place(g.Machine); first && i >= 0 {
				c.work.Go(func() { c.swapProcess(i) })
			} else if first {
				c.work.Go(func() { c.takeOut(g.Machine, g.Fence, c.delay(g.StartBefore)) })
			}
		}
	}
}

// delay is how long the tools wait before they use a grant.
func (c *Cluster) delay(before time.Time) time.Duration {
	wait := c.luck(goMost)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[DoSlow] > 0 {
		wait += slowTime
	}
	return min(wait, time.Until(before)/2)
}

// early tells whether a machine is to go before it is told.
func (c *Cluster) early(it maintenance.Item) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[DoEarly] == 0 || it.Fence <= c.handled[it.Machine] {
		return false
	}
	c.pending[DoEarly]--
	c.handled[it.Machine] = it.Fence
	delete(c.wanted, it.Machine)
	return true
}

// watchMachine notes when this machine does not keep up: a timer of the harness itself is late.
func (c *Cluster) watchMachine() {
	for {
		began := time.Now()
		if !c.sleep(busyEvery) {
			return
		}
		if now := time.Now(); now.Sub(began) > busyEvery+busyLate {
			c.mu.Lock()
			c.h.Busy = append(c.h.Busy, Span{began.Add(-busyAround), now.Add(busyAround), "busy"})
			c.mu.Unlock()
		}
	}
}

// place of a co-ordinator by name; -1 for replicas.
func (c *Cluster) place(machine string) int {
	for i, p := range c.procs {
		if p.Name == machine {
			return i
		}
	}
	return -1
}

func (c *Cluster) watchProcesses() {
	for i, p := range c.procs {
		c.mu.Lock()
		lost := c.expected[i] && !p.Running()
		if lost {
			c.expected[i] = false
		}
		c.mu.Unlock()
		if lost {
			c.wrong("process %d ended by itself:\n%s", i, c.tail(i))
		}
	}
}

// takeOut plays the work on a replica. With fence 0 it goes without having been told.
func (c *Cluster) takeOut(machine string, fence uint64, after time.Duration) {
	if !c.sleep(after) {
		return
	}
	c.mu.Lock()
	gone := c.h.outAt(machine, time.Now())
	c.mu.Unlock()
	if gone {
		c.note("%s was to go by fence %d, and has failed", machine, fence)
		return
	}
	c.note("%s goes, fence %d", machine, fence)
	at := c.outage(Outage{Machine: machine, Fence: fence, From: time.Now()})
	c.fleet.Discovery.Set(machine, func(e *standin.Endpoint) { e.Status = "Terminating" })
	if !c.sleep(drainTime) {
		return
	}
	r := c.replica(machine)
	r.Crash()
	c.change(at, func(o *Outage) { o.Dead = time.Now() })
	c.fleet.Discovery.Set(machine, func(e *standin.Endpoint) { e.Status = "Gone" })
	c.mu.Lock()
	never, rename := fence > 0 && c.pending[DoNever] > 0, fence > 0 && c.pending[DoRename] > 0
	switch {
	case never:
		c.pending[DoNever]--
	case rename:
		c.pending[DoRename]--
	}
	if never || rename {
		delete(c.wanted, machine)
	}
	c.mu.Unlock()
	if never || !c.sleep(awayLeast+c.luck(awayMost)) {
		c.note("%s stays away", machine)
		return
	}
	c.back(r, machine, at, rename)
}

// back starts a replica anew, under its name or another.
func (c *Cluster) back(r *standin.Replica, machine string, at int, rename bool) {
	if err := r.Restart(); err != nil {
		c.wrong("harness: %s can't listen again: %v", machine, err)
		return
	}
	now := time.Now()
	if !rename {
		c.fleet.Discovery.Set(machine, func(e *standin.Endpoint) { e.Status, e.Since = "Ready", now.UnixMilli() })
		c.change(at, func(o *Outage) { o.Warm = now.Add(warmUp) })
		c.note("%s is back", machine)
		return
	}
	name := machine + "-new"
	c.mu.Lock()
	m, _ := c.h.machine(machine)
	m.Name = name
	c.h.Machines = append(c.h.Machines, m)
	c.mu.Unlock()
	for i, x := range c.fleet.Replicas {
		if x == r {
			c.fleet.SetScript(i, c.script(name))
		}
	}
	c.outage(Outage{Machine: name, Dead: now, Warm: now.Add(warmUp)})
	c.fleet.Discovery.Add(standin.Endpoint{
		Name: name, Address: c.address(r), Zone: m.Zone, Type: "std", Group: m.Cell, Status: "Ready", Weight: 1, Since: now.UnixMilli(),
	})
	c.note("%s is back as %s", machine, name)
}

// fail plays a replica that ends without a word and is back after a while.
func (c *Cluster) fail() {
	machine := c.fleet.Replicas[c.luck(time.Duration(len(c.fleet.Replicas)))].Name
	c.mu.Lock()
	out := c.h.outAt(machine, time.Now())
	c.mu.Unlock()
	if out {
		return
	}
	c.note("%s fails", machine)
	at := c.outage(Outage{Machine: machine, From: time.Now(), Dead: time.Now()})
	c.replica(machine).Crash()
	c.fleet.Discovery.Set(machine, func(e *standin.Endpoint) { e.Status = "Gone" })
	if c.sleep(failTime) {
		c.back(c.replica(machine), machine, at, false)
	}
}

func (c *Cluster) replica(machine string) *standin.Replica {
	for _, r := range c.fleet.Replicas {
		if r.Name == machine || r.Name+"-new" == machine {
			return r
		}
	}
	panic(fmt.Sprintf("no replica %s", machine))
}

func (c *Cluster) outage(o Outage) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.Dead.IsZero() {
		o.Dead = o.From.Add(far)
	}
	c.h.Outages = append(c.h.Outages, o)
	return len(c.h.Outages) - 1
}

func (c *Cluster) change(at int, how func(*Outage)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	how(&c.h.Outages[at])
}

// swapProcess plays the work on a co-ordinator: it ends by itself once it was told, or is asked to, and starts again.
func (c *Cluster) swapProcess(i int) {
	p := c.procs[i]
	c.note("process %d is told to go", i)
	c.mu.Lock()
	c.expected[i], c.swapping[i] = false, true
	c.mu.Unlock()
	c.begin(c.h.Ending, i, "swap")
	c.begin(c.h.Disturbed, i, "swap")
	limit := 3 * time.Second
	if c.pinned != nil {
		limit = leaveMost // it hands its sessions on first
	}
	if !c.until(limit, func() bool { return !p.Running() }) {
		if err := p.Terminate(endTime); err != nil {
			c.wrong("%v", err)
		}
	}
	c.note("process %d has ended", i)
	if !c.sleep(awayLeast + c.luck(awayMost)) {
		return
	}
	if err := c.start(i); err != nil {
		c.note("process %d: %v", i, err)
	}
	c.mu.Lock()
	c.swapping[i] = false
	c.mu.Unlock()
	c.up(i, func() {
		c.finish(c.h.Ending, i, "swap")
		c.finish(c.h.Disturbed, i, "swap")
	})
}

// up has something done once a process that was started is ready, on a busy machine seconds later.
func (c *Cluster) up(i int, then func()) {
	c.work.Go(func() {
		if c.ready(i, startTime) {
			then()
			return
		}
		select {
		case <-c.dead: // the run is over
		default:
			if c.procs[i].Running() {
				c.wrong("process %d is not ready %v after its start:\n%s", i, startTime, c.tail(i))
			}
		}
	})
}

// begin opens a span of a process.
func (c *Cluster) begin(of [][]Span, i int, what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	of[i] = append(of[i], Span{time.Now(), time.Now().Add(far), what})
}

// finish ends the open spans of that kind, some time from now.
func (c *Cluster) finish(of [][]Span, i int, what string) { c.finishIn(of, i, what, upTime) }

func (c *Cluster) finishIn(of [][]Span, i int, what string, later time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for j := range of[i] {
		if s := &of[i][j]; s.What == what && s.To.After(time.Now().Add(far/2)) {
			s.To = time.Now().Add(later)
		}
	}
}
