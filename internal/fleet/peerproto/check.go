package peerproto

import (
	"errors"
	"fmt"
	"math"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/session"
)

func named(what, s string) error {
	if s == "" {
		return fmt.Errorf("%s has no name", what)
	}
	return short(what, s)
}

func short(what, s string) error {
	if len(s) > NameMost {
		return fmt.Errorf("%s has %d bytes, %d at most", what, len(s), NameMost)
	}
	return nil
}

func (p Poll) check() error {
	if len(p.Laid) > LaidMost {
		return fmt.Errorf("a poll tells of %d drains, %d at most", len(p.Laid), LaidMost)
	}
	if p.No == 0 {
		return errors.New("a poll has no number")
	}
	if math.IsNaN(p.Load) || p.Load < 0 || math.IsInf(p.Load, 0) {
		return fmt.Errorf("a poll tells of a load of %v", p.Load)
	}
	if p.Wall < 0 {
		return fmt.Errorf("a poll tells of a clock at %v", p.Wall)
	}
	if x := p.Pinned; x != nil && (x.Owned < 0 || x.Open < 0 || x.Queries < 0 || x.Memory < 0 || len(x.Idle) > IdleMost) {
		return fmt.Errorf("a poll tells of sessions %d, open %d of %d, %d bytes, %d idle; %d of those at most", x.Owned, x.Open, x.Queries, x.Memory, len(x.Idle), IdleMost)
	}
	if x := p.Pinned; x != nil {
		if len(x.Unsafe) > UnsafeMost {
			return fmt.Errorf("a poll tells of %d unsafe queries, %d at most", len(x.Unsafe), UnsafeMost)
		}
		for _, o := range x.Unsafe {
			if o.Left <= 0 || o.Left > OpenMost {
				return fmt.Errorf("a poll tells of an unsafe query of %s that is open for %v", o.ID, o.Left)
			}
		}
	}
	for _, l := range p.Laid {
		if l.Fence == 0 {
			return fmt.Errorf("a drain of %.40q has no fence", l.Machine)
		}
		if err := errors.Join(named("a drain's machine", l.Machine), short("a refusal", l.Why)); err != nil {
			return err
		}
	}
	return named("the sender", p.From)
}

func (w Word) check() error {
	if w.No == 0 {
		return errors.New("a word answers no poll")
	}
	whole := len(w.Snapshot) > 0 || len(w.Packed) > 0
	if len(w.Entries) > 0 && whole || len(w.Snapshot) > 0 && len(w.Packed) > 0 {
		return errors.New("a word has more than one of entries, a snapshot and a packed one")
	}
	if !w.Led && (len(w.Entries) > 0 || whole) {
		return errors.New("a word of one that does not lead has entries or a snapshot")
	}
	if !w.Led && w.Unlisted {
		return errors.New("a word of one that does not lead tells who is in the inventory")
	}
	if len(w.Entries) > EntryCount {
		return fmt.Errorf("a word has %d entries, %d at most", len(w.Entries), EntryCount)
	}
	if len(w.Snapshot) > SnapshotMost {
		return fmt.Errorf("a snapshot has %d bytes, %d at most", len(w.Snapshot), SnapshotMost)
	}
	if len(w.Packed) > PackedMost {
		return fmt.Errorf("a packed snapshot has %d bytes, %d at most", len(w.Packed), PackedMost)
	}
	total, before := 0, w.Since
	for _, e := range w.Entries {
		if e.Index <= before || e.Index > w.Index {
			return fmt.Errorf("entry %d does not lie after %d and up to %d", e.Index, before, w.Index)
		}
		before = e.Index
		total += len(e.Raw)
	}
	if most := EntriesMost; total > most {
		if len(w.Entries) == 1 {
			most = EntryMost
		}
		if total > most {
			return fmt.Errorf("entries have %d bytes, %d at most", total, most)
		}
	}
	return errors.Join(named("the sender", w.From), short("the leader", w.Leader))
}

func (a Ask) check() error {
	if len(a.Asks.Requests) > RequestsMost {
		return fmt.Errorf("an ask has %d requests, %d at most", len(a.Asks.Requests), RequestsMost)
	}
	for _, r := range a.Asks.Requests {
		if err := checkRequest(r); err != nil {
			return err
		}
	}
	return named("the sender", a.From)
}

func checkRequest(r maintenance.Request) error {
	if len(r.Names) > NamesMost {
		return fmt.Errorf("request %.40q has %d names, %d at most", r.ID, len(r.Names), NamesMost)
	}
	for _, n := range r.Names {
		if err := named("a machine that is asked for", n); err != nil {
			return err
		}
	}
	return errors.Join(named("a request", r.ID), short("a reason", r.Reason), short("a zone", r.Zone), short("a prefix", r.Prefix))
}

func (a Acts) check() error {
	if a.No == 0 {
		return errors.New("a message of acts has no number")
	}
	if n := len(a.Acts); n == 0 || n > session.ActsMost {
		return fmt.Errorf("a message of %d acts, 1 to %d are right", n, session.ActsMost)
	}
	for _, x := range a.Acts {
		if len(x.State) > session.StateMost {
			return fmt.Errorf("an act carries a state of %d bytes, %d at most", len(x.State), session.StateMost)
		}
		if err := short("the reason of an act", x.Why); err != nil {
			return err
		}
	}
	return named("the sender", a.From)
}
