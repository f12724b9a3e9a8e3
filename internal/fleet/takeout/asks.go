package takeout

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// applyAsks puts what the operators ask for in force: items for what is new, an end, as far as it may be, to what is
// no more asked for.
func (s *State) applyAsks(b AsksBody) error {
	if b.Revision < s.asks.Revision || b.Revision < 1 {
		return fmt.Errorf("asks of revision %d, %d is in force", b.Revision, s.asks.Revision)
	}
	if b.Revision == s.asks.Revision {
		if !same(b, s.asks) {
			return fmt.Errorf("other requests of the same revision %d", b.Revision)
		}
		return nil
	}
	if len(b.Requests) > RequestsMost {
		return fmt.Errorf("%d requests, %d are allowed", len(b.Requests), RequestsMost)
	}
	next := make([]*request, len(b.Requests))
	byID := make(map[string]*request, len(b.Requests))
	for i, r := range b.Requests {
		if err := r.valid(); err != nil {
			return err
		}
		if byID[r.ID] != nil {
			return fmt.Errorf("request %s is there twice", r.ID)
		}
		next[i] = &request{Request: r, At: s.now}
		if old := s.byID[r.ID]; old != nil {
			if !same(old.Request, r) {
				return fmt.Errorf("request %s says something else than in revision %d", r.ID, s.asks.Revision)
			}
			next[i] = old
		}
		byID[r.ID] = next[i]
	}
	s.asks, s.requests, s.byID = b, next, byID
	for _, e := range s.open {
		if req := byID[e.Request]; req != nil {
			if e.CalledOff {
				e.CalledOff, e.Why = false, ""
			}
			e.req = req
			continue
		}
		e.CalledOff = true
		if e.Phase == Asked || e.Phase == Granted {
			s.end(e, Withdrawn, "withdrawn by the operators")
		} else {
			e.Why = "withdrawn by the operators after it was told: stays until it is done"
		}
	}
	s.tidy()
	s.match()
	return nil
}

func same(a, b any) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

func (r Request) valid() error {
	switch {
	case r.ID == "" || len(r.ID) > NameMost || len(r.Reason) > NameMost:
		return fmt.Errorf("request %q: an id has 1 to %d bytes, a reason at most as many", clip(r.ID), NameMost)
	case len(r.Names) == 0 && r.Kind == "" && r.Zone == "" && r.Prefix == "":
		return fmt.Errorf("request %s names nothing", r.ID)
	case len(r.Names) > 0 && (r.Kind != "" || r.Zone != "" || r.Prefix != ""):
		return fmt.Errorf("request %s has names and a rule", r.ID)
	case r.Kind != "" && r.Kind != Replica && r.Kind != Coordinator:
		return fmt.Errorf("request %s: kind %q is not known", r.ID, r.Kind)
	case r.For <= 0 || r.For > ForMost:
		return fmt.Errorf("request %s: out for %v, it has to be over 0 and at most %v", r.ID, r.For, ForMost)
	case r.Earliest < 0 || r.Latest < 0 || r.Latest > 0 && r.Latest < r.Earliest:
		return fmt.Errorf("request %s: from %s to %s", r.ID, clock(r.Earliest), clock(r.Latest))
	case r.Priority != Routine && r.Priority != Urgent:
		return fmt.Errorf("request %s: priority %d is not known", r.ID, r.Priority)
	}
	return nil
}

// rules says whether a request without names takes a machine in. It takes those that had been started when it was
// first seen: a swap in which machines come back under new names would never end otherwise.
func (r *request) rules(m *machine) bool {
	return (r.Kind == "" || r.Kind == m.Kind) && (r.Zone == "" || r.Zone == m.Zone) &&
		strings.HasPrefix(m.Name, r.Prefix) && m.Started <= r.At
}

// match makes the items that are missing, requests in the order of the file, machines by name.
func (s *State) match() {
	for _, r := range s.requests {
		if len(r.Names) == 0 {
			for _, m := range s.list {
				if r.rules(m) {
					s.ask(r, m, false)
				}
			}
			continue
		}
		names := append([]string(nil), r.Names...)
		sort.Strings(names)
		for _, name := range names {
			if m := s.machines[name]; m != nil {
				s.ask(r, m, false)
			}
		}
	}
}

// ask makes the item of a machine in a request, unless there is one. One that the operators withdrew, and now ask for
// once more, is made anew; so is one whose grant ended before it was told, if it is to be tried again.
func (s *State) ask(r *request, m *machine, again bool) {
	k := key{r.ID, m.Name}
	old := s.last[k]
	if old != nil && !again && (old.Phase != Withdrawn || !old.CalledOff) || r.Latest > 0 && r.Latest < s.now {
		return
	}
	if len(s.open)+len(s.ended) >= ItemsMost && !s.dropEnded() {
		return
	}
	e := &entry{Item: Item{Request: r.ID, Machine: m.Name, Phase: Asked, AskedAt: s.now}, seq: s.seq, req: r}
	if again {
		e.Try = old.Try + 1
	}
	s.seq++
	s.last[k] = e
	s.open = append(s.open, e)
	m.asked = append(m.asked, e)
}

// retry asks anew for the machine of a grant that ended before it was told, at the end of the order.
func (s *State) retry(e *entry) {
	r, m := s.byID[e.Request], s.machines[e.Machine]
	if r != nil && m != nil && e.ToldAt == 0 && e.Try+1 < AgainMost && (e.Phase == Lapsed || e.Phase == Withdrawn) {
		s.ask(r, m, true)
	}
}

// dropEnded makes room for an item: the oldest ended one whose request is no more asked for, or that was tried again.
func (s *State) dropEnded() bool {
	for i, e := range s.ended {
		k := key{e.Request, e.Machine}
		if s.byID[e.Request] != nil && s.last[k] == e {
			continue
		}
		if s.last[k] == e {
			delete(s.last, k)
		}
		s.ended = append(s.ended[:i], s.ended[i+1:]...)
		return true
	}
	return false
}
