package harness

import (
	"slices"
	"strconv"
	"strings"
	"syscall"

	"birchcart/internal/fleet/maintenance"
)

// step waits until it is due and does it.
func (c *Cluster) step(st *Step) {
	if st.After == afterMoved || st.After == afterGoing {
		c.awaitMove(st.After)
	} else if st.After != "" {
		seen := c.fences()
		c.files.Until(stepMost, func() bool { return c.reached(maintenance.Phase(st.After), seen) })
	}
	if !c.sleep(st.At) {
		return
	}
	c.note("%s %v %v %v %+v", st.Do, st.Who, st.From, st.To, st.Fault)
	from, to := c.ends(st.From), c.ends(st.To)
	switch st.Do {
	case DoFault:
		for _, i := range from {
			for _, j := range to {
				if i != j {
					c.fault(i, j, *st.Fault)
				}
			}
		}
	case DoReset:
		for _, i := range from {
			for _, j := range to {
				c.net.Links.Reset(Link{i, j})
			}
		}
	case DoHeal:
		c.heal()
	case DoNever, DoRename, DoEarly, DoSlow:
		c.mu.Lock()
		c.pending[st.Do]++
		c.mu.Unlock()
	case DoFail:
		c.work.Go(c.fail)
	case DoRate:
		c.stream.Quicken(st.Rate)
	case DoHerd:
		c.pinned.Herd()
	case DoProve:
		c.prove()
	case DoZone, DoZoneBack, DoHit:
		c.stormy(st)
	case DoVoter:
		for _, i := range c.places(st.Who) {
			if err := c.replace(i); err != nil {
				c.note("%s %d: %v", st.Do, i, err)
			}
		}
	default:
		for _, i := range c.places(st.Who) {
			if err := c.act(st.Do, i); err != nil {
				c.note("%s %d: %v", st.Do, i, err)
			}
		}
	}
}

// act does something to one process.
func (c *Cluster) act(do Act, i int) error {
	p := c.procs[i]
	switch do {
	case DoAsk, DoAsk2, DoAskAll, DoVoter, DoMove:
		if err := c.operator(i, do); err != nil {
			return err
		}
		return p.Signal(syscall.SIGHUP)
	case DoKill:
		c.mu.Lock()
		c.expected[i] = false
		c.last["killed"] = append(c.last["killed"], i)
		c.mu.Unlock()
		c.begin(c.h.Down, i, "killed")
		c.begin(c.h.Disturbed, i, "killed")
		return p.Kill()
	case DoStart:
		return c.startAgain(i)
	case DoLose:
		return p.LoseDisk()
	case DoTear:
		if err := p.Tear(); err != nil {
			return err
		}
		c.mu.Lock()
		c.last["torn"] = append(c.last["torn"], i)
		c.mu.Unlock()
	case DoStop:
		c.mu.Lock()
		c.last["stopped"] = append(c.last["stopped"], i)
		c.mu.Unlock()
		c.begin(c.h.Stopped, i, "stopped")
		c.begin(c.h.Disturbed, i, "stopped")
		return p.Signal(syscall.SIGSTOP)
	case DoCont:
		c.cont(i)
	case DoFull:
		c.mu.Lock()
		c.last["full"] = append(c.last["full"], i)
		c.mu.Unlock()
		c.begin(c.h.Disturbed, i, "full")
		return p.FullDisk(fullSize)
	case DoOld, DoFalse:
		c.mu.Lock()
		c.last["lied to"] = append(c.last["lied to"], i)
		c.mu.Unlock()
		return c.lie(i, do == DoFalse)
	case DoTrue:
		return c.truth(i)
	case DoRoom:
		c.finish(c.h.Disturbed, i, "full")
		return p.FullDisk(0)
	}
	return nil
}

func (c *Cluster) startAgain(i int) error {
	if c.procs[i].Running() {
		return nil
	}
	err := c.start(i)
	c.up(i, func() {
		for _, what := range []string{"killed", "full"} {
			c.finish(c.h.Down, i, what)
			c.finish(c.h.Disturbed, i, what)
		}
	})
	c.mu.Lock()
	c.last["killed"] = slices.DeleteFunc(c.last["killed"], func(x int) bool { return x == i })
	c.mu.Unlock()
	return err
}

func (c *Cluster) cont(i int) {
	c.procs[i].Signal(syscall.SIGCONT)
	c.finish(c.h.Stopped, i, "stopped")
	c.finish(c.h.Disturbed, i, "stopped")
	c.mu.Lock()
	c.last["stopped"] = slices.DeleteFunc(c.last["stopped"], func(x int) bool { return x == i })
	c.mu.Unlock()
}

// fault lays a fault on a link. Where it cuts or stops, either end may not hear of a grant, but the leader does.
func (c *Cluster) fault(from, to string, f Fault) {
	c.net.Links.Set(Link{from, to}, f)
	for _, name := range []string{from, to} {
		i := c.place(name)
		switch {
		case i < 0:
		case from == listEnd || to == listEnd:
			c.begin(c.h.Deaf, i, "link")
			if from == listEnd && (f.Stop || f.Cut) {
				c.begin(c.h.Silent, i, "link")
			}
		case (f.Cut || f.Stop) && (c.storm != nil || i != c.Leader()):
			c.begin(c.h.Disturbed, i, "link")
		}
	}
}

// heal takes all faults off the links.
func (c *Cluster) heal() {
	for i := range c.procs {
		c.finishIn(c.h.Silent, i, "link", 0)
	}
	c.net.Links.Heal()
	for i := range c.procs {
		c.finish(c.h.Disturbed, i, "link")
		c.finish(c.h.Deaf, i, "link")
	}
}

// fences lists those seen up to now.
func (c *Cluster) fences() map[uint64]bool {
	out := map[uint64]bool{}
	if s := c.files.Newest(); s != nil {
		for _, it := range s.Items {
			out[it.Fence] = true
		}
	}
	return out
}

// reached tells whether a machine is in a phase by a grant that was not there before.
func (c *Cluster) reached(p maintenance.Phase, before map[uint64]bool) bool {
	s := c.files.Newest()
	return s != nil && slices.ContainsFunc(s.Items, func(it maintenance.Item) bool { return it.Phase == p && !before[it.Fence] })
}

// places finds the processes that a step names.
func (c *Cluster) places(names []string) []int {
	var out []int
	lead := -2 // not yet looked for
	leader := func() int {
		if lead == -2 {
			lead = c.Leader()
		}
		return lead
	}
	for _, name := range names {
		i, err := strconv.Atoi(name)
		switch {
		case err == nil:
		case name == "leader":
			i = leader()
		case name == "follower":
			i = len(c.procs) - 1
		case name == "next seat":
			i = c.nextSeat()
		case strings.HasPrefix(name, "voter"):
			nth := 0
			if strings.HasSuffix(name, "2") {
				nth = 1
			}
			i = -1
			for v := range c.procs {
				if c.sits(v) && v != leader() && c.procs[v].Running() {
					if nth == 0 {
						i = v
						break
					}
					nth--
				}
			}
		default:
			c.mu.Lock()
			out = append(out, c.last[name]...)
			c.mu.Unlock()
			continue
		}
		if i >= 0 && i < len(c.procs) && !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	return out
}
