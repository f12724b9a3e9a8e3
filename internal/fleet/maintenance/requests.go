package maintenance

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// applyRequests puts the operators' requests in force. It adds items for new requests and withdraws the items of removed requests
// unless they were already acknowledged.
func (s *State) applyRequests(b RequestsBody) error {
	if b.Revision < s.requested.Revision || b.Revision < 1 {
		return fmt.Errorf("asks of revision %d rejected: revision %d is in force", b.Revision, s.requested.Revision)
	}
	if b.Revision == s.requested.Revision {
		if !sameJSON(b, s.requested) {
			return fmt.Errorf("revision %d is in force with different requests", b.Revision)
		}
		return nil
	}
	if len(b.Requests) > MaxRequests {
		return fmt.Errorf("%d requests, %d are allowed", len(b.Requests), MaxRequests)
	}
	next := make([]*request, len(b.Requests))
	byID := make(map[string]*request, len(b.Requests))
	for i, r := range b.Requests {
		if err := r.validate(); err != nil {
			return err
		}
		if byID[r.ID] != nil {
			return fmt.Errorf("request %s is listed twice", r.ID)
		}
		next[i] = &request{Request: r, FirstSeenAt: s.now}
		if old := s.byID[r.ID]; old != nil {
			if !sameJSON(old.Request, r) {
				return fmt.Errorf("request %s differs from the one in revision %d", r.ID, s.requested.Revision)
			}
			next[i] = old
		}
		byID[r.ID] = next[i]
	}
	s.requested, s.requests, s.byID = b, next, byID
	for _, e := range s.open {
		if req := byID[e.Request]; req != nil {
			if e.Cancelled {
				e.Cancelled, e.Reason = false, ""
			}
			e.req = req
			continue
		}
		e.Cancelled = true
		if e.Phase == Pending || e.Phase == Granted {
			s.endItem(e, Withdrawn, "withdrawn by the operators")
		} else {
			e.Reason = "withdrawn by the operators after it was told: stays until it is done"
		}
	}
	s.dropClosed()
	s.addMatchingItems()
	return nil
}

func sameJSON(a, b any) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

func (r Request) validate() error {
	switch {
	case r.ID == "" || len(r.ID) > MaxNameLength || len(r.Reason) > MaxNameLength:
		return fmt.Errorf("request %q: an id must have 1 to %d bytes, a reason at most as many", truncate(r.ID), MaxNameLength)
	case len(r.Names) == 0 && r.Kind == "" && r.Zone == "" && r.Prefix == "":
		return fmt.Errorf("request %s selects no machines", r.ID)
	case len(r.Names) > 0 && (r.Kind != "" || r.Zone != "" || r.Prefix != ""):
		return fmt.Errorf("request %s has both names and a selector", r.ID)
	case r.Kind != "" && r.Kind != Replica && r.Kind != Coordinator:
		return fmt.Errorf("request %s: unknown kind %q", r.ID, r.Kind)
	case r.MaxOutage <= 0 || r.MaxOutage > MaxOutage:
		return fmt.Errorf("request %s: outage of %v, must be positive and at most %v", r.ID, r.MaxOutage, MaxOutage)
	case r.Earliest < 0 || r.Latest < 0 || r.Latest > 0 && r.Latest < r.Earliest:
		return fmt.Errorf("request %s: invalid time window from %s to %s", r.ID, formatTime(r.Earliest), formatTime(r.Latest))
	case r.Priority != Routine && r.Priority != Urgent:
		return fmt.Errorf("request %s: unknown priority %d", r.ID, r.Priority)
	}
	return nil
}

// matches reports whether a request without names selects a machine. Only machines started before the request was first seen
// match: otherwise a replacement in which machines return under new names would never end.
func (r *request) matches(m *machine) bool {
	return (r.Kind == "" || r.Kind == m.Kind) && (r.Zone == "" || r.Zone == m.Zone) &&
		strings.HasPrefix(m.Name, r.Prefix) && m.Started <= r.FirstSeenAt
}

// addMatchingItems adds the missing items: requests in the order of the file, machines sorted by name.
func (s *State) addMatchingItems() {
	for _, r := range s.requests {
		if len(r.Names) == 0 {
			for _, m := range s.list {
				if r.matches(m) {
					s.addItem(r, m, false)
				}
			}
			continue
		}
		names := append([]string(nil), r.Names...)
		sort.Strings(names)
		for _, name := range names {
			if m := s.machines[name]; m != nil {
				s.addItem(r, m, false)
			}
		}
	}
}

// addItem adds the item of a machine in a request unless there is one already. A new item is made if the operators withdrew the
// request and now make it again, and for a retry of a grant that ended before it was acknowledged.
func (s *State) addItem(r *request, m *machine, isRetry bool) {
	k := key{r.ID, m.Name}
	old := s.latest[k]
	if old != nil && !isRetry && (old.Phase != Withdrawn || !old.Cancelled) || r.Latest > 0 && r.Latest < s.now {
		return
	}
	if len(s.open)+len(s.ended) >= MaxItems && !s.dropEnded() {
		return
	}
	e := &entry{Item: Item{Request: r.ID, Machine: m.Name, Phase: Pending, RequestedAt: s.now}, seq: s.seq, req: r}
	if isRetry {
		e.Attempt = old.Attempt + 1
	}
	s.seq++
	s.latest[k] = e
	s.open = append(s.open, e)
	m.pending = append(m.pending, e)
}

// retry adds a new item, at the end of the order, for a grant that ended before it was acknowledged.
func (s *State) retry(e *entry) {
	r, m := s.byID[e.Request], s.machines[e.Machine]
	if r != nil && m != nil && e.AcknowledgedAt == 0 && e.Attempt+1 < MaxAttempts && (e.Phase == Expired || e.Phase == Withdrawn) {
		s.addItem(r, m, true)
	}
}

// dropEnded makes room for an item: it drops the oldest ended item whose request was removed or that was retried. It returns
// false if there is none.
func (s *State) dropEnded() bool {
	for i, e := range s.ended {
		k := key{e.Request, e.Machine}
		if s.byID[e.Request] != nil && s.latest[k] == e {
			continue
		}
		if s.latest[k] == e {
			delete(s.latest, k)
		}
		s.ended = append(s.ended[:i], s.ended[i+1:]...)
		return true
	}
	return false
}
