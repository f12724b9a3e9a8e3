package peerproto

import (
	"errors"
	"fmt"
	"math"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/session"
)

func checkName(what, s string) error {
	if s == "" {
		return fmt.Errorf("%s has no name", what)
	}
	return checkLength(what, s)
}

func checkLength(what, s string) error {
	if len(s) > MaxNameLength {
		return fmt.Errorf("%s has %d bytes, %d at most", what, len(s), MaxNameLength)
	}
	return nil
}

func (p Poll) check() error {
	if len(p.Drains) > MaxDrains {
		return fmt.Errorf("a poll reports %d drains, %d at most", len(p.Drains), MaxDrains)
	}
	if p.Sequence == 0 {
		return errors.New("a poll has no number")
	}
	if math.IsNaN(p.Load) || p.Load < 0 || math.IsInf(p.Load, 0) {
		return fmt.Errorf("a poll reports a load of %v", p.Load)
	}
	if p.Wall < 0 {
		return fmt.Errorf("a poll reports a clock at %v", p.Wall)
	}
	if x := p.Sessions; x != nil && (x.Owned < 0 || x.Open < 0 || x.Queries < 0 || x.Memory < 0 || len(x.Idle) > MaxIdleSessions) {
		return fmt.Errorf("a poll reports sessions %d, open %d of %d, %d bytes, %d idle; %d of those at most", x.Owned, x.Open, x.Queries, x.Memory, len(x.Idle), MaxIdleSessions)
	}
	if x := p.Sessions; x != nil {
		if len(x.Unsafe) > MaxUnsafeQueries {
			return fmt.Errorf("a poll reports %d unsafe queries, %d at most", len(x.Unsafe), MaxUnsafeQueries)
		}
		for _, o := range x.Unsafe {
			if o.TimeLeft <= 0 || o.TimeLeft > MaxOpenTime {
				return fmt.Errorf("a poll reports an unsafe query of %s that is open for %v", o.ID, o.TimeLeft)
			}
		}
	}
	for _, l := range p.Drains {
		if l.Fence == 0 {
			return fmt.Errorf("a drain of %.40q has no fence", l.Machine)
		}
		if err := errors.Join(checkName("a drain's machine", l.Machine), checkLength("a rejection", l.Reason)); err != nil {
			return err
		}
	}
	return checkName("the sender", p.From)
}

func (w Reply) check() error {
	if w.Sequence == 0 {
		return errors.New("a reply answers no poll")
	}
	hasState := len(w.Snapshot) > 0 || len(w.Packed) > 0
	if len(w.Entries) > 0 && hasState || len(w.Snapshot) > 0 && len(w.Packed) > 0 {
		return errors.New("a reply has more than one of entries, a snapshot and a packed one")
	}
	if !w.FromLeader && (len(w.Entries) > 0 || hasState) {
		return errors.New("a reply of one that does not lead has entries or a snapshot")
	}
	if !w.FromLeader && w.NotInInventory {
		return errors.New("a reply of one that does not lead says who is in the inventory")
	}
	if len(w.Entries) > MaxEntries {
		return fmt.Errorf("a reply has %d entries, %d at most", len(w.Entries), MaxEntries)
	}
	if len(w.Snapshot) > MaxSnapshotSize {
		return fmt.Errorf("a snapshot has %d bytes, %d at most", len(w.Snapshot), MaxSnapshotSize)
	}
	if len(w.Packed) > MaxCompressedSize {
		return fmt.Errorf("a packed snapshot has %d bytes, %d at most", len(w.Packed), MaxCompressedSize)
	}
	total, before := 0, w.After
	for _, e := range w.Entries {
		if e.Index <= before || e.Index > w.Index {
			return fmt.Errorf("entry %d does not lie after %d and up to %d", e.Index, before, w.Index)
		}
		before = e.Index
		total += len(e.Raw)
	}
	if limit := MaxEntriesSize; total > limit {
		if len(w.Entries) == 1 {
			limit = MaxEntrySize
		}
		if total > limit {
			return fmt.Errorf("entries have %d bytes, %d at most", total, limit)
		}
	}
	return errors.Join(checkName("the sender", w.From), checkLength("the leader", w.Leader))
}

func (a FileReport) check() error {
	if len(a.Requests.Requests) > MaxRequests {
		return fmt.Errorf("an ask has %d requests, %d at most", len(a.Requests.Requests), MaxRequests)
	}
	for _, r := range a.Requests.Requests {
		if err := checkRequest(r); err != nil {
			return err
		}
	}
	return checkName("the sender", a.From)
}

func checkRequest(r maintenance.Request) error {
	if len(r.Names) > MaxNames {
		return fmt.Errorf("request %.40q has %d names, %d at most", r.ID, len(r.Names), MaxNames)
	}
	for _, n := range r.Names {
		if err := checkName("a machine that is asked for", n); err != nil {
			return err
		}
	}
	return errors.Join(checkName("a request", r.ID), checkLength("a reason", r.Reason), checkLength("a zone", r.Zone), checkLength("a prefix", r.Prefix))
}

func (a SessionActions) check() error {
	if a.Sequence == 0 {
		return errors.New("a message of acts has no number")
	}
	if n := len(a.Actions); n == 0 || n > session.MaxActs {
		return fmt.Errorf("a message of %d acts, 1 to %d are right", n, session.MaxActs)
	}
	for _, x := range a.Actions {
		if len(x.State) > session.MaxStateBytes {
			return fmt.Errorf("an act carries a state of %d bytes, %d at most", len(x.State), session.MaxStateBytes)
		}
		if err := checkLength("the reason of an act", x.Reason); err != nil {
			return err
		}
	}
	return checkName("the sender", a.From)
}
