package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"time"

	"birchcart/internal/fleet/statemachine"
)

// Version is the format version of the bytes that Save returns; Load rejects any other. Version 2 added the failure history of
// machines. A copy loaded from version 1 without that history would grant and pause differently from one that applied the same
// log.
const Version = 2

// savedState is the stored form of State.
type savedState struct {
	V              int             `json:"v"`
	Now            time.Duration   `json:"now"`
	Limits         Limits          `json:"limits"`
	Revision       int             `json:"revision"`
	NeedsInventory bool            `json:"stale,omitempty"`
	Requests       RequestsBody    `json:"asks"`
	RequestedAt    []time.Duration `json:"asked_at,omitempty"`
	Machines       []machine       `json:"machines,omitempty"`
	Items          []savedItem     `json:"items,omitempty"`
	Fence          uint64          `json:"fence"`
	Load           float64         `json:"load"`
	LoadKnown      bool            `json:"load_known"`
	LoadAt         time.Duration   `json:"load_at"`
	ObservedAt     time.Duration   `json:"list_at"`
	Observed       bool            `json:"listed"`
	PauseFrom      time.Duration   `json:"pause_from"`
	PauseUntil     time.Duration   `json:"pause_to"`
	PauseSpan      time.Duration   `json:"pause_span"`
	PauseReason    string          `json:"pause_why,omitempty"`
}

// savedItem is the stored form of an item.
type savedItem struct {
	Item
	Cancelled *request `json:"off,omitempty"` // the request of an open item, if the operators have removed it
}

// Save implements statemachine.Part. Equal states give equal bytes.
func (s *State) Save() ([]byte, error) {
	v := savedState{V: Version, Now: s.now, Limits: s.limits, Revision: s.revision, NeedsInventory: s.needsInventory, Requests: s.requested,
		Fence: s.fence, Load: s.load, LoadKnown: s.loadKnown, LoadAt: s.loadAt, ObservedAt: s.observedAt, Observed: s.observed,
		PauseFrom: s.pauseFrom, PauseUntil: s.pauseUntil, PauseSpan: s.pauseSpan, PauseReason: s.pauseReason}
	for _, r := range s.requests {
		v.RequestedAt = append(v.RequestedAt, r.FirstSeenAt)
	}
	for _, m := range s.list {
		v.Machines = append(v.Machines, *m)
	}
	all := append(append([]*entry(nil), s.open...), s.ended...)
	sort.Slice(all, func(i, j int) bool { return all[i].seq < all[j].seq })
	for _, e := range all {
		it := savedItem{Item: e.Item}
		if e.Phase.open() && s.byID[e.Request] == nil {
			it.Cancelled = e.req
		}
		v.Items = append(v.Items, it)
	}
	return json.Marshal(v)
}

// Load implements statemachine.Part. If it returns an error, the state is unchanged.
func (s *State) Load(raw []byte) error {
	var head struct {
		V int `json:"v"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return fmt.Errorf("maintenance: cannot decode saved state: %w", err)
	}
	if head.V != Version {
		return fmt.Errorf("maintenance: saved state has version %d, this program reads version %d: %w", head.V, Version, statemachine.ErrUnknown)
	}
	var v savedState
	if err := statemachine.DecodeStrict(raw, &v); err != nil {
		return fmt.Errorf("maintenance: cannot decode saved state: %w", err)
	}
	n := New()
	if err := n.restore(v); err != nil {
		return fmt.Errorf("maintenance: saved state: %w", err)
	}
	*s = *n
	return nil
}

func (s *State) restore(v savedState) error {
	if len(v.RequestedAt) != len(v.Requests.Requests) || len(v.Machines) > MaxMachines || len(v.Items) > MaxItems {
		return errors.New("list lengths are inconsistent or over their limits")
	}
	s.now, s.limits, s.revision, s.needsInventory, s.requested = v.Now, v.Limits, v.Revision, v.NeedsInventory, v.Requests
	s.fence, s.load, s.loadKnown, s.loadAt = v.Fence, v.Load, v.LoadKnown, v.LoadAt
	s.observedAt, s.observed = v.ObservedAt, v.Observed
	s.pauseFrom, s.pauseUntil, s.pauseSpan, s.pauseReason = v.PauseFrom, v.PauseUntil, v.PauseSpan, v.PauseReason
	for i, r := range v.Requests.Requests {
		n := &request{Request: r, FirstSeenAt: v.RequestedAt[i]}
		s.requests = append(s.requests, n)
		s.byID[r.ID] = n
	}
	for i := range v.Machines {
		m := &v.Machines[i]
		if s.machines[m.Name] != nil || i > 0 && v.Machines[i-1].Name > m.Name {
			return fmt.Errorf("machine %s is out of order", m.Name)
		}
		if err := m.flapHistory.validate(); err != nil {
			return fmt.Errorf("machine %s: %w", m.Name, err)
		}
		s.machines[m.Name] = m
		s.list = append(s.list, m)
		s.addToCell(m)
	}
	for _, it := range v.Items {
		if err := s.restoreItem(it); err != nil {
			return err
		}
	}
	sort.SliceStable(s.ended, func(i, j int) bool { return s.ended[i].EndedAt < s.ended[j].EndedAt })
	return s.Check()
}

func (s *State) restoreItem(it savedItem) error {
	e := &entry{Item: it.Item, seq: s.seq, req: s.byID[it.Request]}
	s.seq++
	s.latest[key{it.Request, it.Machine}] = e // items are saved in request order, so the latest one wins
	if !e.Phase.open() {
		s.ended = append(s.ended, e)
		return nil
	}
	if it.Cancelled != nil {
		e.req = it.Cancelled
	}
	m := s.machines[it.Machine]
	if m == nil || e.req == nil {
		return fmt.Errorf("open item of %s in request %s: the machine or the request is missing", it.Machine, it.Request)
	}
	s.open = append(s.open, e)
	if e.Phase.live() {
		m.live = e
	} else {
		m.pending = append(m.pending, e)
	}
	return nil
}
