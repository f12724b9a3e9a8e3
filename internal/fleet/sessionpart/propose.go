package sessionpart

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/fleet/agreedstate"
	"birchcart/internal/fleet/fleetfile"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/raftgroup"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/sessionctl"
	"birchcart/internal/fleet/statemachine"
)

// actBytes is the estimated size of an act in a log entry, in JSON. An act with a fence, a sequence number or a reason counts
// twice. A larger estimate makes more messages. With half of it an entry may exceed the raft group's limit and fail at each retry.
const actBytes = 104

// limits returns the limits of the sessions section, with the revision, lease and grace period of the fleet section.
func (p *Part) limits() session.Limits {
	f, s := p.host.Section(), p.section
	return session.Limits{
		Revision: f.Revision, InFlight: s.Flight, PerMinute: s.Minute, StepTimeout: fleetfile.Milliseconds(s.Offer),
		IdleTimeout: time.Duration(s.Idle * float64(time.Second)), Lease: fleetfile.Milliseconds(f.Lease), Grace: fleetfile.Milliseconds(f.Grace),
		MaxSessions: s.Most, MaxStateBytes: session.MaxStateBytes, Slots: s.Slots,
	}
}

// command is a command for the agreed sessions.
type command struct {
	at             time.Duration // agreed time
	id, kind       string
	body           any    // the body that package session defines for the kind
	proposalNumber uint64 // the controller's number of the proposal; 0 if it isn't the controller's
}

// propose proposes a command to the raft group in its own goroutine. It doesn't retry: the component that requested a failed
// command requests it again.
func (p *Part) propose(group *raftgroup.Group, c command) {
	raw, err := json.Marshal(c.body)
	if err == nil {
		raw, err = statemachine.Command{V: statemachine.Version, ID: c.id, Part: agreedstate.SessionsPart, Kind: c.kind, At: c.at, Body: raw}.Encode()
	}
	if err != nil {
		p.host.Log.WithError(err).Error("cannot encode a sessions proposal")
		p.reportResult(c.proposalNumber, true)
		return
	}
	if group == nil || p.inFlight.Load() >= MaxInFlight {
		p.reportResult(c.proposalNumber, true) // the proposal surely doesn't enter the log
		return
	}
	p.inFlight.Add(1)
	go func() {
		defer p.inFlight.Add(-1)
		err := group.ProposeWithin(raw)
		p.reportResult(c.proposalNumber, !errors.Is(err, raftgroup.ErrOutcomeUnknown))
		if err != nil {
			level := logrus.DebugLevel // most failures are duplicate or late commands
			if c.kind == session.KindLimits {
				level = logrus.WarnLevel
			}
			p.host.Log.WithError(err).WithFields(logrus.Fields{"kind": c.kind, "id": c.id}).Log(level, "sessions proposal failed")
		}
		p.host.Wake()
	}()
}

// reportResult records the end of one of the controller's proposals. It may be called from any goroutine.
func (p *Part) reportResult(number uint64, outcomeKnown bool) {
	if number == 0 {
		return
	}
	p.mu.Lock()
	p.results = append(p.results, sessionctl.Result{Number: number, OutcomeKnown: outcomeKnown})
	p.mu.Unlock()
}

// countFitting returns how many of the acts fit into one message, and so into one log entry. The owner sends the others again.
func countFitting(acts []session.Act) int {
	size := 0
	for i := range acts {
		a := &acts[i]
		if size += actBytes; a.Fence+a.Seq > 0 || a.Reason != "" {
			size += actBytes + len(a.Reason) + len(a.State)*4/3
		}
		if i == session.MaxActs || size > peerproto.MaxEntrySize && i > 0 {
			return i
		}
	}
	return len(acts)
}
