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

// actBytes bytes of an entry are one act, in JSON, and as many again one with numbers or a reason. Twice as many: more messages;
// half: an entry may be larger than the raft group takes, and comes to nothing each time.
const actBytes = 104

// limits are what the section says, with the fleet's revision, lease and grace.
func (p *Part) limits() session.Limits {
	f, s := p.host.Section(), p.section
	return session.Limits{
		Revision: f.Revision, InFlight: s.Flight, PerMinute: s.Minute, StepTimeout: fleetfile.Milliseconds(s.Offer),
		IdleTimeout: time.Duration(s.Idle * float64(time.Second)), Lease: fleetfile.Milliseconds(f.Lease), Grace: fleetfile.Milliseconds(f.Grace),
		MaxSessions: s.Most, MaxStateBytes: session.MaxStateBytes, Slots: s.Slots,
	}
}

// command is one for the agreed sessions.
type command struct {
	at             time.Duration // agreed time
	id, kind       string
	body           any    // the kind's body, as package session has it
	proposalNumber uint64 // the controller's number of it; 0: another's
}

// propose puts a command to the raft group, beside the step. What comes to nothing is wanted again by who wants it.
func (p *Part) propose(group *raftgroup.Group, c command) {
	raw, err := json.Marshal(c.body)
	if err == nil {
		raw, err = statemachine.Command{V: statemachine.Version, ID: c.id, Part: agreedstate.SessionsPart, Kind: c.kind, At: c.at, Body: raw}.Encode()
	}
	if err != nil {
		p.host.Log.WithError(err).Error("a proposal for the sessions can't be written")
		p.reportResult(c.proposalNumber, true)
		return
	}
	if group == nil || p.inFlight.Load() >= MaxInFlight {
		p.reportResult(c.proposalNumber, true) // it enters no log
		return
	}
	p.inFlight.Add(1)
	go func() {
		defer p.inFlight.Add(-1)
		err := group.ProposeWithin(raw)
		p.reportResult(c.proposalNumber, !errors.Is(err, raftgroup.ErrOutcomeUnknown))
		if err != nil {
			level := logrus.DebugLevel // what came twice or late, mostly
			if c.kind == session.KindLimits {
				level = logrus.WarnLevel
			}
			p.host.Log.WithError(err).WithFields(logrus.Fields{"kind": c.kind, "id": c.id}).Log(level, "a proposal for the sessions came to nothing")
		}
		p.host.Wake()
	}()
}

// finish notes the end of a proposal of the controller's. Any goroutine may call it.
func (p *Part) reportResult(controllerNo uint64, known bool) {
	if controllerNo == 0 {
		return
	}
	p.mu.Lock()
	p.results = append(p.results, sessionctl.Result{Number: controllerNo, OutcomeKnown: known})
	p.mu.Unlock()
}

// countFitting is how many acts go in one message, and so in one entry of the log; the others come again from who wants them.
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
