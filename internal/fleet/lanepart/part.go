// Package lanepart runs load shedding by lanes at one co-ordinator. It selects the lane configuration that is in force by the
// agreed state, proposes that of the operators' file while this co-ordinator is the leader, and connects package loadshed with the
// exchange and the gossip.
package lanepart

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/exchange"
	"birchcart/internal/fleet/agreedstate"
	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/fleet/loadshed"
	"birchcart/internal/fleet/member"
	"birchcart/internal/fleet/raftgroup"
	"birchcart/internal/fleet/statemachine"
	"birchcart/internal/operator"
	"birchcart/internal/settings"
	"birchcart/policy"
)

// MessageKind is the first byte of the messages between co-ordinators that Receive takes.
const MessageKind = loadshed.MessageKind

// Host holds what Part uses of the node. Its functions must not block.
type Host struct {
	Name, Zone string
	StartTime  time.Time // zero of the local monotonic time
	State      *agreedstate.Copy
	Names      *settings.Names
	Policy     *policy.Config
	Log        *logrus.Entry
	// MayPropose returns the agreed time for a command, and false while nothing may be proposed.
	MayPropose func() (time.Duration, bool)
	// Members returns the gossip membership.
	Members func() []member.Member
	// Send sends a message to another co-ordinator.
	Send func(to string, raw []byte) error
	// Wake requests a step of the node's loop soon.
	Wake func()
}

// StepInput is the input of a step of the node's loop.
type StepInput struct {
	Now   time.Duration    // local monotonic time
	Term  uint64           // raft term in which this co-ordinator is the leader; 0: it is not
	Group *raftgroup.Group // nil: this co-ordinator has no vote
}

// Part is the load shedding by lanes of one co-ordinator. The fields that mu does not protect belong to the node's loop.
type Part struct {
	host          Host
	shedder       *loadshed.Shedder
	sequence      uint64        // of the newest proposal in term
	term          uint64        // of the newest proposal
	notBefore     time.Duration // local time before which nothing is proposed
	loggedInForce string        // checksum of the configuration that was logged as in force

	mu          sync.Mutex
	fileSection *laneconfig.SetBody // of the file; nil if it cannot be encoded, which was logged
	selector    *laneconfig.Selector
	routes      []string // that selector was made for
	pending     bool     // a proposal is in progress
	rejected    bool     // the newest proposal was rejected by the state machine
	warning     string
}

// Validate rejects a file whose lanes section is too large or cannot be compiled.
func Validate(f *operator.File, names *settings.Names) error {
	l := f.Fleet.Lanes
	if l == nil {
		return nil
	}
	_, err := laneconfig.NewSetBody(l, f.Fleet.Revision)
	if err == nil {
		_, err = laneconfig.Compile(l, f.Fleet.Revision, names, routeNames(f))
	}
	if err != nil {
		return fmt.Errorf("$.fleet.lanes: %w", err)
	}
	return nil
}

func routeNames(f *operator.File) (names []string) {
	for i := range f.Routes {
		names = append(names, f.Routes[i].Name)
	}
	return names
}

// New returns the Part for a file that has a lanes section.
func New(h Host, f *operator.File) *Part {
	p := &Part{host: h}
	p.Reload(f)
	return p
}

// Attach passes the exchange's queries through the lanes. It must be called before the exchange runs. Run runs the load shedding.
func (p *Part) Attach(e *exchange.Exchange) {
	cache := &membershipCache{host: &p.host}
	p.shedder = loadshed.New(loadshed.Options{
		Name: p.host.Name, Zone: p.host.Zone, Incarnation: uint64(p.host.StartTime.UnixMilli()), StartTime: p.host.StartTime,
		FleetSize: p.host.Policy.Coordinators, Seed: p.host.Policy.Seed, Policy: p.host.Policy, Log: p.host.Log,
		CurrentSet: p.inForce, Membership: cache.current, AgreedTime: p.agreedTime,
		Send: func(to string, raw []byte) {
			if err := p.host.Send(to, raw); err != nil {
				p.host.Log.WithError(err).Debug("a lane message was not sent")
			}
		},
	})
	e.SetLaneGate(p.shedder)
}

// Run runs the load shedding until ctx ends.
func (p *Part) Run(ctx context.Context) { p.shedder.Run(ctx) }

// Receive takes a message of another co-ordinator. It may be called by any goroutine.
func (p *Part) Receive(from string, raw []byte) { p.shedder.Receive(from, raw) }

func (p *Part) agreedTime() (at time.Duration) {
	p.host.State.WithLock(func() { at = p.host.State.Machine.Now() })
	return at
}

// Reload takes over a file that was read again.
func (p *Part) Reload(f *operator.File) {
	b, err := laneconfig.NewSetBody(f.Fleet.Lanes, f.Fleet.Revision)
	if err != nil {
		p.host.Log.WithError(err).Error("the lanes section cannot be encoded for a proposal")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if names := routeNames(f); p.selector == nil || !slices.Equal(names, p.routes) { // queries refer to routes by their index in this list
		p.selector, p.routes = laneconfig.NewSelector(p.host.Names, names), names
	}
	if p.fileSection == nil || p.fileSection.Revision != b.Revision || p.fileSection.Sum != b.Sum {
		p.fileSection, p.notBefore = &b, 0
	}
}

// inForce returns the lane set to apply now, whether it differs from that of the last call, and the revision that is in force here,
// 0 for none. peerRevision is the highest revision that other members report. It may be called by any goroutine.
func (p *Part) inForce(now time.Duration, peerRevision int) (set *laneconfig.Set, changed bool, applied int) {
	input := laneconfig.SelectorInput{Now: now, PeerRevision: peerRevision}
	state := p.host.State
	state.WithLock(func() {
		input.AgreedTime = state.Machine.Now()
		input.Current, input.Previous = state.Lanes.InForce(input.AgreedTime)
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	input.FileSection = p.fileSection
	set, changed, warning := p.selector.Select(input)
	if warning != "" && warning != p.warning {
		p.host.Log.Warn(warning)
	}
	p.warning = warning
	if input.Current != nil {
		applied = input.Current.Revision
	}
	return set, changed, applied
}

// logInForce logs a configuration that came into force.
func (p *Part) logInForce() {
	var current *laneconfig.Version
	state := p.host.State
	state.WithLock(func() { current, _ = state.Lanes.InForce(state.Machine.Now()) })
	if current == nil || current.Sum == p.loggedInForce {
		return
	}
	p.loggedInForce = current.Sum
	p.host.Log.WithFields(logrus.Fields{"revision": current.Revision, "sum": current.Sum[:8]}).Info("lanes are in force")
}

// Step proposes the lanes section of the local file while this co-ordinator is the leader and a lower revision is in force.
func (p *Part) Step(in StepInput) {
	p.logInForce()
	agreedTime, allowed := p.host.MayPropose()
	if in.Term == 0 || !allowed || in.Group == nil {
		return
	}
	if p.term != in.Term {
		p.term, p.sequence, p.notBefore = in.Term, 0, 0
	}
	section := p.sectionToPropose(in.Now)
	if section == nil || !p.stateAccepts(in.Now, agreedTime, section) {
		return
	}
	p.sequence++
	p.notBefore = in.Now + drainctl.ProposalTimeout
	raw, err := encodeCommand(fmt.Sprintf("l-%d-%d", in.Term, p.sequence), agreedTime, *section)
	if err != nil {
		p.notBefore = in.Now + drainctl.ConfigErrorInterval
		p.host.Log.WithError(err).Error("the lanes section cannot be proposed")
		return
	}
	p.mu.Lock()
	p.pending = true
	p.mu.Unlock()
	go p.propose(in.Group, raw, section.Revision)
}

// sectionToPropose returns the section of the local file, or nil if it may not be proposed now.
func (p *Part) sectionToPropose(now time.Duration) *laneconfig.SetBody {
	p.mu.Lock()
	section, pending, rejected := p.fileSection, p.pending, p.rejected
	p.rejected = false
	p.mu.Unlock()
	if rejected {
		p.notBefore = now + drainctl.ConfigErrorInterval
	}
	if section == nil || pending || now < p.notBefore {
		return nil
	}
	return section
}

// stateAccepts returns whether the agreed state would accept the section. It logs a section that differs from the one in force
// under the same revision.
func (p *Part) stateAccepts(now, agreedTime time.Duration, section *laneconfig.SetBody) bool {
	var accepts, differs bool
	state := p.host.State
	state.WithLock(func() {
		accepts = state.Lanes.Accepts(section.Revision, agreedTime)
		current, _ := state.Lanes.InForce(agreedTime)
		differs = current != nil && current.Revision == section.Revision && current.Sum != section.Sum
	})
	if differs {
		p.notBefore = now + drainctl.ConfigErrorInterval
		p.host.Log.WithField("revision", section.Revision).Warn("the file's lanes differ from those agreed under the same revision: give them a higher one")
	}
	return accepts
}

func encodeCommand(id string, at time.Duration, b laneconfig.SetBody) ([]byte, error) {
	body, err := json.Marshal(b)
	if err != nil {
		return nil, err
	}
	return statemachine.Command{V: statemachine.Version, ID: id, Part: laneconfig.Part, Kind: laneconfig.KindSet, At: at, Body: body}.Encode()
}

// propose proposes a command to the raft group, outside the node's loop. A proposal without a result is made again; if it was
// applied after all, the second one has no higher revision and is rejected.
func (p *Part) propose(group *raftgroup.Group, raw []byte, revision int) {
	err := group.ProposeWithin(raw)
	log := p.host.Log.WithField("revision", revision)
	switch {
	case err == nil:
		log.Info("the lanes section of the file was committed")
	case errors.Is(err, statemachine.ErrRejected):
		log.WithError(err).Warn("the lanes section of the file was rejected")
	default:
		log.WithError(err).Debug("a proposal of the lanes section failed")
	}
	p.mu.Lock()
	p.pending, p.rejected = false, errors.Is(err, statemachine.ErrRejected)
	p.mu.Unlock()
	p.host.Wake()
}

// AddSummary adds this part's fields to the node's summary.
func (p *Part) AddSummary(f logrus.Fields) {
	state := p.host.State
	state.WithLock(func() {
		current, previous := state.Lanes.InForce(state.Machine.Now())
		if current != nil {
			f["lanes_revision"] = current.Revision
		}
		if previous != nil {
			f["lanes_with"] = previous.Revision
		}
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.warning != "" {
		f["lanes_note"] = p.warning
	}
}
