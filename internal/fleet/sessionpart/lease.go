package sessionpart

import (
	"fmt"
	"time"

	"birchcart/internal/fleet/fleetfile"
	"birchcart/internal/operator"
	"birchcart/internal/settings"
	"birchcart/policy"
)

// leaseSlack is how much of a lease may have passed when a query arrives: leases are renewed by polls, one a second, plus their
// time on the network.
const leaseSlack = 1500 * time.Millisecond

// Validate rejects pinned classes that are not safe to repeat and whose query timeout is longer than the time that a lease and its
// grace period are certain to have left. Such a query begins only if it must end before another co-ordinator may act for its session.
func Validate(f *operator.Fleet, names *settings.Names, cfg *policy.Config) error {
	if f.Sessions == nil {
		return nil
	}
	remaining := fleetfile.Milliseconds(f.Lease) + fleetfile.Milliseconds(f.Grace) - leaseSlack
	for i, name := range f.Sessions.Classes {
		c := settings.Place(names.Classes, name)
		if c < 0 || cfg.Classes[c].Effect == policy.Safe {
			continue
		}
		if timeout := time.Duration(cfg.Classes[c].GiveUp * float64(time.Second)); timeout > remaining {
			return fmt.Errorf("$.fleet.sessions.classes[%d]: %q stands there; its queries may take up to %v, but lease_ms and grace_ms leave only %v when a query arrives: increase lease_ms",
				i, name, timeout, remaining)
		}
	}
	return nil
}

// leaseUntil returns the local time until which this co-ordinator's lease is valid for the gate; 0 without a lease. A process that
// was restarted knows neither the order nor the slots of the queries that its predecessor sent to replicas. It therefore gets no
// lease until these have ended, which is the case when a silent predecessor would be released. Whether there may be any is decided
// by the agreed state at the first complete reply, because each of them ran with held slots. Deciding at the first lease would be
// too late: it may come after this process was given slots of its own.
func (p *Part) leaseUntil(t Turn) time.Duration {
	if (t.LeaseUntil > 0 || t.CaughtUp) && !p.checkedPreviousProcess {
		p.checkedPreviousProcess = true
		p.setWaitForPreviousProcess()
		if p.previousProcessUntil > t.Now {
			p.host.Log.WithField("after", p.previousProcessUntil-t.Now).Info("pinned queries wait until those of the previous process have ended")
		}
	}
	if t.Now < p.previousProcessUntil {
		return 0
	}
	return t.LeaseUntil
}

// setWaitForPreviousProcess sets the time until which queries of the previous process may run at replicas, if the agreed state has
// sessions or slots of this co-ordinator.
func (p *Part) setWaitForPreviousProcess() {
	state := p.host.State
	state.WithLock(func() {
		sessions := state.Sessions
		ownsAny := sessions.Owned(p.host.Name) > 0
		for _, r := range sessions.Pool().Replicas() {
			ownsAny = ownsAny || sessions.Pool().Held(p.host.Name, r) > 0
		}
		if limits, _ := sessions.Limits(); ownsAny {
			p.previousProcessUntil = limits.SilentFor()
		}
	})
}
