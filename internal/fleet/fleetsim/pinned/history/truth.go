package history

import (
	"fmt"
	"sort"
)

// acts is S1: whoever acts for a session runs, and owns it at that instant by the agreed log itself, in that epoch. So acts
// go from epoch to epoch and never back, with one co-ordinator in each, and none comes after the owner gave it away.
func (c *Checker) acts(r *request, e Event, what string) error {
	s, p := c.session(r.Session), c.peer(e.By)
	if s.agreed && s.owner == e.By && s.epoch == e.Epoch && !p.stopped && !p.ended {
		return nil
	}
	now := fmt.Sprintf("c%d owns it in epoch %d", s.owner, s.epoch)
	switch {
	case p.stopped || p.ended:
		now = "its process does not run"
	case !s.agreed:
		now = fmt.Sprintf("it is free after epoch %d", s.epoch)
	}
	return fmt.Errorf("S1: c%d %s request %d of s%d in epoch %d, and %s", e.By, what, r.Request, r.Session, e.Epoch, now)
}

func (c *Checker) owned(e Event) error {
	s := c.session(e.Session)
	switch {
	case e.Epoch < s.epoch || e.Epoch == s.epoch && s.epoch > 0 && (!s.agreed || e.By != s.owner):
		return fmt.Errorf("S1: s%d is agreed to be c%d's in epoch %d, after c%d's in epoch %d", e.Session, e.By, e.Epoch, s.owner, s.epoch)
	case e.Phase < Pinned || e.Phase > Handed:
		return fmt.Errorf("history: s%d is in phase %d", e.Session, e.Phase)
	}
	if s.agreed && e.By != s.owner {
		c.Figures.Moves++
	}
	if !s.agreed {
		s.seq = 0 // a life of its own
	}
	s.agreed, s.owner, s.epoch, s.phase, s.since = true, e.By, e.Epoch, e.Phase, e.At
	return nil
}

func (c *Checker) freed(e Event) error {
	s := c.session(e.Session)
	switch {
	case !s.agreed:
		return fmt.Errorf("history: s%d is freed, and was free", e.Session)
	case e.Why == "":
		return fmt.Errorf("S5: s%d of c%d ended in epoch %d without a reason", e.Session, s.owner, s.epoch)
	}
	c.Figures.Frees++
	s.agreed = false
	return nil
}

func (c *Checker) stopped(e Event) error {
	p := c.peer(e.By)
	switch {
	case e.Kind == Ended && e.On:
		p.ended, p.stopped, p.endedAt = true, false, e.At
		for _, id := range c.ids() {
			if r := c.requests[id]; r.By == e.By && r.place > 0 {
				c.orphan(r)
			}
		}
	case e.Kind == Ended:
		p.ended, p.wokeAt, p.began = false, e.At, e.At
	case e.On:
		p.stopped = true
	default:
		p.stopped, p.wokeAt = false, e.At
	}
	return nil
}

// orphan is a request whose process has ended. What of it runs ends by itself, and what is under way to a replica may
// still begin there; runs looks at the order of those.
func (c *Checker) orphan(r *request) {
	r.orphan = true
	s := c.session(r.Session)
	s.queued = without(s.queued, r)
	c.settle(r)
}

func (c *Checker) ids() []uint64 {
	ids := make([]uint64, 0, len(c.requests))
	for id := range c.requests {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// closed checks what must have come about once all is healed: S7, no session is under way between two, and each is at one
// that runs; S4, no client waits for what should have come.
func (c *Checker) closed(e Event) error {
	ids := make([]int32, 0, len(c.sessions))
	for id := range c.sessions {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids {
		s := c.sessions[id]
		switch {
		case !s.agreed:
		case s.phase != Pinned && e.Quiet > c.rules.OfferFor && e.At-s.since > c.rules.OfferFor:
			return fmt.Errorf("S7: s%d of c%d is still %s, %v after it came to be so and %v after all was healed", id, s.owner,
				phases[s.phase], e.At-s.since, e.Quiet)
		case c.peer(s.owner).ended && e.Quiet > c.rules.OfferFor && e.At-c.peer(s.owner).endedAt > c.rules.OfferFor:
			return fmt.Errorf("S7: s%d is c%d's, which ended %v ago", id, s.owner, e.At-c.peer(s.owner).endedAt)
		}
	}
	for _, id := range c.ids() {
		if r := c.requests[id]; !r.done && e.At > r.Due+c.rules.Slack && r.place > 0 && !c.excused(r, r.arrivedAt) {
			return fmt.Errorf("S4: request %d of s%d at c%d has no answer at the end, %v after its time", id, r.Session, r.By, e.At-r.Due)
		}
	}
	return nil
}

var phases = [...]string{"free", "pinned", "offered", "handed"}
