package takeout

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"time"

	"birchcart/internal/fleet/statemachine"
)

// Version of what Save gives. Another one is refused. 2 has the machines' failures: a copy that took them for none, from
// a state of version 1, would grant and pause otherwise than one that applied the same log.
const Version = 2

type saved struct {
	V         int             `json:"v"`
	Now       time.Duration   `json:"now"`
	Limits    Limits          `json:"limits"`
	Revision  int             `json:"revision"`
	Stale     bool            `json:"stale,omitempty"`
	Asks      AsksBody        `json:"asks"`
	AskedAt   []time.Duration `json:"asked_at,omitempty"`
	Machines  []machine       `json:"machines,omitempty"`
	Items     []savedItem     `json:"items,omitempty"`
	Fence     uint64          `json:"fence"`
	Load      float64         `json:"load"`
	LoadKnown bool            `json:"load_known"`
	LoadAt    time.Duration   `json:"load_at"`
	ListAt    time.Duration   `json:"list_at"`
	Listed    bool            `json:"listed"`
	PauseFrom time.Duration   `json:"pause_from"`
	PauseTo   time.Duration   `json:"pause_to"`
	PauseSpan time.Duration   `json:"pause_span"`
	PauseWhy  string          `json:"pause_why,omitempty"`
}

type savedItem struct {
	Item
	Off *request `json:"off,omitempty"` // the request, if it is no more asked for and the item is open
}

// Save implements statemachine.Part: the same bytes for the same state.
func (s *State) Save() ([]byte, error) {
	v := saved{V: Version, Now: s.now, Limits: s.limits, Revision: s.revision, Stale: s.stale, Asks: s.asks,
		Fence: s.fence, Load: s.load, LoadKnown: s.loadKnown, LoadAt: s.loadAt, ListAt: s.listAt, Listed: s.listed,
		PauseFrom: s.pauseFrom, PauseTo: s.pauseUntil, PauseSpan: s.pauseSpan, PauseWhy: s.pauseWhy}
	for _, r := range s.requests {
		v.AskedAt = append(v.AskedAt, r.At)
	}
	for _, m := range s.list {
		v.Machines = append(v.Machines, *m)
	}
	all := append(append([]*entry(nil), s.open...), s.ended...)
	sort.Slice(all, func(i, j int) bool { return all[i].seq < all[j].seq })
	for _, e := range all {
		it := savedItem{Item: e.Item}
		if e.Phase.open() && s.byID[e.Request] == nil {
			it.Off = e.req
		}
		v.Items = append(v.Items, it)
	}
	return json.Marshal(v)
}

// Load implements statemachine.Part: all of raw is taken, or nothing and the reason is told.
func (s *State) Load(raw []byte) error {
	var head struct {
		V int `json:"v"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return fmt.Errorf("takeout: saved state can not be read: %w", err)
	}
	if head.V != Version {
		return fmt.Errorf("takeout: saved state of version %d, this program reads %d: %w", head.V, Version, statemachine.ErrUnknown)
	}
	var v saved
	if err := statemachine.Strict(raw, &v); err != nil {
		return fmt.Errorf("takeout: saved state can not be read: %w", err)
	}
	n := New()
	if err := n.restore(v); err != nil {
		return fmt.Errorf("takeout: saved state: %w", err)
	}
	*s = *n
	return nil
}

func (s *State) restore(v saved) error {
	if len(v.AskedAt) != len(v.Asks.Requests) || len(v.Machines) > MachinesMost || len(v.Items) > ItemsMost {
		return errors.New("its lists do not fit")
	}
	s.now, s.limits, s.revision, s.stale, s.asks = v.Now, v.Limits, v.Revision, v.Stale, v.Asks
	s.fence, s.load, s.loadKnown, s.loadAt = v.Fence, v.Load, v.LoadKnown, v.LoadAt
	s.listAt, s.listed = v.ListAt, v.Listed
	s.pauseFrom, s.pauseUntil, s.pauseSpan, s.pauseWhy = v.PauseFrom, v.PauseTo, v.PauseSpan, v.PauseWhy
	for i, r := range v.Asks.Requests {
		n := &request{Request: r, At: v.AskedAt[i]}
		s.requests = append(s.requests, n)
		s.byID[r.ID] = n
	}
	for i := range v.Machines {
		m := &v.Machines[i]
		if s.machines[m.Name] != nil || i > 0 && v.Machines[i-1].Name > m.Name {
			return fmt.Errorf("machine %s is out of order", m.Name)
		}
		if err := m.flap.valid(); err != nil {
			return fmt.Errorf("machine %s: %w", m.Name, err)
		}
		s.machines[m.Name] = m
		s.list = append(s.list, m)
		s.place(m)
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
	s.last[key{it.Request, it.Machine}] = e // the latest comes last
	if !e.Phase.open() {
		s.ended = append(s.ended, e)
		return nil
	}
	if it.Off != nil {
		e.req = it.Off
	}
	m := s.machines[it.Machine]
	if m == nil || e.req == nil {
		return fmt.Errorf("open item of %s in request %s: one of both is not there", it.Machine, it.Request)
	}
	s.open = append(s.open, e)
	if e.Phase.live() {
		m.live = e
	} else {
		m.asked = append(m.asked, e)
	}
	return nil
}
