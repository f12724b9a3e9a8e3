package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"birchcart/internal/fleet/agreedstate"
	"birchcart/internal/fleet/fleetfile"

	"github.com/sirupsen/logrus"

	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/raftgroup"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/sessionctl"
	"birchcart/internal/fleet/statemachine"
)

// limits are what the section says, with the fleet's revision, lease and grace.
func (p *sessions) limits() session.Limits {
	f, s := p.n.fleetFile(), p.section
	return session.Limits{
		Revision: f.Revision, InFlight: s.Flight, PerMinute: s.Minute, OfferFor: fleetfile.Milliseconds(s.Offer), IdleFor: time.Duration(s.Idle * float64(time.Second)),
		Lease: fleetfile.Milliseconds(f.Lease), Grace: fleetfile.Milliseconds(f.Grace), SessionsMost: s.Most, StateMost: stateMost, Slots: s.Slots,
	}
}

// propose puts a command for the sessions to the raft group, beside the step. What comes to nothing is wanted again by who
// wants it. no is the steward's number; 0: another's.
func (p *sessions) propose(at time.Duration, id, kind string, body any, no uint64) {
	n := p.n
	raw, err := json.Marshal(body)
	if err == nil {
		raw, err = statemachine.Command{V: statemachine.Version, ID: id, Part: agreedstate.SessionsPart, Kind: kind, At: at, Body: raw}.Encode()
	}
	if err != nil {
		n.log.WithError(err).Error("a proposal for the sessions can't be written")
		p.finished(no, true)
		return
	}
	if n.raftGroup == nil || p.way.Load() >= ActsMost {
		p.finished(no, true) // it enters no log
		return
	}
	p.way.Add(1)
	go func(seat *raftgroup.Group) {
		defer p.way.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), ProposeTime)
		defer cancel()
		err := seat.Propose(ctx, raw)
		p.finished(no, !errors.Is(err, raftgroup.ErrOutcomeUnknown))
		if err != nil {
			level := logrus.DebugLevel // what came twice or late, mostly
			if kind == session.KindLimits {
				level = logrus.WarnLevel
			}
			n.log.WithError(err).WithFields(logrus.Fields{"kind": kind, "id": id}).Log(level, "a proposal for the sessions came to nothing")
		}
		n.nudge()
	}(n.raftGroup)
}

// fits is how many acts go in one message, and so in one entry of the log; the others come again from who wants them.
func fits(acts []session.Act) int {
	bytes := 0
	for i := range acts {
		a := &acts[i]
		if bytes += actBytes; a.Fence+a.Seq > 0 || a.Why != "" {
			bytes += actBytes + len(a.Why) + len(a.State)*4/3
		}
		if i == session.ActsMost || bytes > peerproto.MaxEntrySize && i > 0 {
			return i
		}
	}
	return len(acts)
}

// finished notes the end of a proposal of the steward's.
func (p *sessions) finished(no uint64, known bool) {
	if no == 0 {
		return
	}
	p.mu.Lock()
	p.done = append(p.done, sessionctl.Done{No: no, Known: known})
	p.mu.Unlock()
}
