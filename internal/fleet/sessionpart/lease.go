package sessionpart

import (
	"fmt"
	"time"

	"birchcart/internal/fleet/fleetfile"
	"birchcart/internal/operator"
	"birchcart/internal/settings"
	"birchcart/policy"
)

// leaseSlack of a lease may be gone when a query comes: a poll a second, and its way.
const leaseSlack = 1500 * time.Millisecond

// Validate rejects classes that must not run twice and whose clients may wait for longer than a lease surely has left: a query of
// theirs begins only if its time is over before others may act for its session.
func Validate(f *operator.Fleet, names *settings.Names, cfg *policy.Config) error {
	if f.Sessions == nil {
		return nil
	}
	left := fleetfile.Milliseconds(f.Lease) + fleetfile.Milliseconds(f.Grace) - leaseSlack
	for i, name := range f.Sessions.Classes {
		c := settings.Place(names.Classes, name)
		if c < 0 || cfg.Classes[c].Effect == policy.Safe {
			continue
		}
		if wait := time.Duration(cfg.Classes[c].GiveUp * float64(time.Second)); wait > left {
			return fmt.Errorf("$.fleet.sessions.classes[%d]: %q stands there; its clients wait for up to %v, and of lease_ms and grace_ms at least %v are left when a query comes: a longer lease_ms is right",
				i, name, wait, left)
		}
	}
	return nil
}

// leaseUntil is the own lease as the gate gets it, valid until that own time; 0: none. A process acts only once what the one before
// it had out is over at the replicas, by when that one would be released, were there none: it knows neither the order of those
// queries nor their slots. What is agreed when the first complete reply comes tells whether there may be any, as each ran with
// slots that were held; the first lease may come later, with slots of its own.
func (p *Part) leaseUntil(t Turn) time.Duration {
	if (t.LeaseUntil > 0 || t.CaughtUp) && !p.checkedPreviousProcess {
		p.checkedPreviousProcess = true
		p.setWaitForPreviousProcess()
		if p.previousProcessUntil > t.Now {
			p.host.Log.WithField("after", p.previousProcessUntil-t.Now).Info("pinned queries wait here for what a process before this one may have out")
		}
	}
	if t.Now < p.previousProcessUntil {
		return 0
	}
	return t.LeaseUntil
}

// setWaitForPreviousProcess sets until when what a process before this one may have out can run, if anything is agreed to be its own.
func (p *Part) setWaitForPreviousProcess() {
	state := p.host.State
	state.WithLock(func() {
		sessions := state.Sessions
		held := sessions.Owned(p.host.Name) > 0
		for _, r := range sessions.Pool().Replicas() {
			held = held || sessions.Pool().Held(p.host.Name, r) > 0
		}
		if l, _ := sessions.Limits(); held {
			p.previousProcessUntil = l.SilentFor()
		}
	})
}
