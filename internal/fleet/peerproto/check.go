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
		return errors.New("a poll has no sequence number")
	}
	if math.IsNaN(p.Load) || p.Load < 0 || math.IsInf(p.Load, 0) {
		return fmt.Errorf("a poll reports a load of %v", p.Load)
	}
	if p.Wall < 0 {
		return fmt.Errorf("a poll reports a clock at %v", p.Wall)
	}
	if x := p.Sessions; x != nil && (x.Owned < 0 || x.Open < 0 || x.Queries < 0 || x.Memory < 0 || len(x.Idle) > MaxIdleSessions) {
		return fmt.Errorf("a poll has invalid session counts: owned %d, open %d of %d, memory %d bytes, idle %d of at most %d", x.Owned, x.Open, x.Queries, x.Memory, len(x.Idle), MaxIdleSessions)
	}
	if x := p.Sessions; x != nil {
		if len(x.Unsafe) > MaxUnsafeQueries {
			return fmt.Errorf("a poll reports %d unsafe queries, %d at most", len(x.Unsafe), MaxUnsafeQueries)
		}
		for _, o := range x.Unsafe {
			if o.TimeLeft <= 0 || o.TimeLeft > MaxOpenTime {
				return fmt.Errorf("a poll reports an unsafe query of %s that may be open for %v", o.ID, o.TimeLeft)
			}
		}
	}
	for _, l := range p.Drains {
		if l.Fence == 0 {
			return fmt.Errorf("a drain of %.40q has no fencing number", l.Machine)
		}
		if err := errors.Join(checkName("a drain's machine", l.Machine), checkLength("the reason of a rejected drain", l.Reason)); err != nil {
			return err
		}
	}
	return checkName("the sender", p.From)
}

func (r Reply) check() error {
	if r.Sequence == 0 {
		return errors.New("a reply has no sequence number of a poll")
	}
	hasState := len(r.Snapshot) > 0 || len(r.Packed) > 0
	if len(r.Entries) > 0 && hasState || len(r.Snapshot) > 0 && len(r.Packed) > 0 {
		return errors.New("a reply has more than one of entries, a snapshot and a compressed snapshot")
	}
	if !r.FromLeader && (len(r.Entries) > 0 || hasState) {
		return errors.New("a reply of a co-ordinator that does not lead has entries or a snapshot")
	}
	if !r.FromLeader && r.NotInInventory {
		return errors.New("a reply of a co-ordinator that does not lead says that the sender of the poll is not in the inventory")
	}
	if len(r.Entries) > MaxEntries {
		return fmt.Errorf("a reply has %d entries, %d at most", len(r.Entries), MaxEntries)
	}
	if len(r.Snapshot) > MaxSnapshotSize {
		return fmt.Errorf("a snapshot has %d bytes, %d at most", len(r.Snapshot), MaxSnapshotSize)
	}
	if len(r.Packed) > MaxCompressedSize {
		return fmt.Errorf("a compressed snapshot has %d bytes, %d at most", len(r.Packed), MaxCompressedSize)
	}
	total, before := 0, r.After
	for _, e := range r.Entries {
		if e.Index <= before || e.Index > r.Index {
			return fmt.Errorf("index of entry %d is not after %d and up to %d", e.Index, before, r.Index)
		}
		before = e.Index
		total += len(e.Raw)
	}
	if limit := MaxEntriesSize; total > limit {
		if len(r.Entries) == 1 {
			limit = MaxEntrySize
		}
		if total > limit {
			return fmt.Errorf("entries have %d bytes, %d at most", total, limit)
		}
	}
	return errors.Join(checkName("the sender", r.From), checkLength("the leader", r.Leader))
}

func (f FileReport) check() error {
	if len(f.Requests.Requests) > MaxRequests {
		return fmt.Errorf("a file report has %d requests, %d at most", len(f.Requests.Requests), MaxRequests)
	}
	for _, r := range f.Requests.Requests {
		if err := checkRequest(r); err != nil {
			return err
		}
	}
	return checkName("the sender", f.From)
}

func checkRequest(r maintenance.Request) error {
	if len(r.Names) > MaxNames {
		return fmt.Errorf("request %.40q has %d names, %d at most", r.ID, len(r.Names), MaxNames)
	}
	for _, n := range r.Names {
		if err := checkName("a requested machine", n); err != nil {
			return err
		}
	}
	return errors.Join(checkName("a request", r.ID), checkLength("a reason", r.Reason), checkLength("a zone", r.Zone), checkLength("a prefix", r.Prefix))
}

func (a SessionActions) check() error {
	if a.Sequence == 0 {
		return errors.New("a message of session actions has no sequence number")
	}
	if n := len(a.Actions); n == 0 || n > session.MaxActs {
		return fmt.Errorf("a message has %d session actions, 1 to %d are allowed", n, session.MaxActs)
	}
	for _, x := range a.Actions {
		if len(x.State) > session.MaxStateBytes {
			return fmt.Errorf("a session action has a state of %d bytes, %d at most", len(x.State), session.MaxStateBytes)
		}
		if err := checkLength("the reason of a session action", x.Reason); err != nil {
			return err
		}
	}
	return checkName("the sender", a.From)
}
