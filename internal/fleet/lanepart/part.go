// Package lanepart is one co-ordinator's part in shedding load by lanes: which configuration of lanes is in force by the agreed
// state, its proposal by the leader, and the connection of load shedding with the exchange and the gossip.
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

// Host is what this part needs of the node. Functions must not block.
type Host struct {
	Name, Zone string
	StartTime  time.Time // of the own monotonic time
	State      *agreedstate.Copy
	Names      *settings.Names
	Policy     *policy.Config
	Log        *logrus.Entry
	// MayPropose is the agreed time for a command; false while nothing may be proposed.
	MayPropose func() (time.Duration, bool)
	// Members is the gossip membership.
	Members func() []member.Member
	// Send sends a message to another co-ordinator.
	Send func(to string, raw []byte) error
	// Wake has the node's loop make a step soon.
	Wake func()
}

// StepInput is what a step of the node's loop goes by.
type StepInput struct {
	Now   time.Duration    // fileSection monotonic
	Term  uint64           // in which this co-ordinator leads; 0: it does not
	Group *raftgroup.Group // nil: without a vote
}

// Part is one co-ordinator's part. What is not under mu belongs to the node's loop.
type Part struct {
	host          Host
	shed          *loadshed.Shedder
	sequence      uint64        // of the newest proposal in this term
	term          uint64        // of it
	notBefore     time.Duration // fileSection time before which nothing is proposed
	loggedInForce string        // sum of the configuration that was logged as in force

	mu          sync.Mutex
	fileSection *laneconfig.SetBody // of the file; nil: it can't be encoded, which was logged
	selector    *laneconfig.Selector
	routes      []string // that it was made for
	pending     bool     // a proposal is under way
	rejected    bool     // the newest one was, for good
	warning     string
}

// Validate rejects a section that can't be agreed on, since it is too large.
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

// New makes the part of a file that has the section.
func New(h Host, f *operator.File) *Part {
	p := &Part{host: h}
	p.Reload(f)
	return p
}

// Attach has the exchange's queries go through the lanes. It comes before the exchange runs; Run runs the load shedding.
func (p *Part) Attach(e *exchange.Exchange) {
	r := &membershipCache{host: &p.host}
	p.shed = loadshed.New(loadshed.Options{
		Name: p.host.Name, Zone: p.host.Zone, Incarnation: uint64(p.host.StartTime.UnixMilli()), StartTime: p.host.StartTime,
		FleetSize: p.host.Policy.Coordinators, Seed: p.host.Policy.Seed, Policy: p.host.Policy, Log: p.host.Log,
		CurrentSet: p.inForce, Membership: r.current, AgreedTime: p.agreedTime,
		Send: func(to string, raw []byte) {
			if err := p.host.Send(to, raw); err != nil {
				p.host.Log.WithError(err).Debug("a letter of lanes is not sent")
			}
		},
	})
	e.SetLaneGate(p.shed)
}

// Run runs the load shedding until ctx ends.
func (p *Part) Run(ctx context.Context) { p.shed.Run(ctx) }

// Receive takes a message of another co-ordinator. Any goroutine may call it.
func (p *Part) Receive(from string, raw []byte) { p.shed.Receive(from, raw) }

func (p *Part) agreedTime() (at time.Duration) {
	p.host.State.WithLock(func() { at = p.host.State.Machine.Now() })
	return at
}

// Reload takes a file that was read again.
func (p *Part) Reload(f *operator.File) {
	b, err := laneconfig.NewSetBody(f.Fleet.Lanes, f.Fleet.Revision)
	if err != nil {
		p.host.Log.WithError(err).Error("the section of lanes can't be agreed on")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if names := routeNames(f); p.selector == nil || !slices.Equal(names, p.routes) { // queries come with places in this list
		p.selector, p.routes = laneconfig.NewSelector(p.host.Names, names), names
	}
	if p.fileSection == nil || p.fileSection.Revision != b.Revision || p.fileSection.Sum != b.Sum {
		p.fileSection, p.notBefore = &b, 0
	}
}

// inForce is the configuration to go by now, whether that is another one than at the last call, and the revision that was applied
// here, 0 for none. heard is the highest one that others say they have applied. Any goroutine may call it.
func (p *Part) inForce(now time.Duration, heard int) (set *laneconfig.Set, changed bool, applied int) {
	look := laneconfig.SelectorInput{Now: now, PeerRevision: heard}
	state := p.host.State
	state.WithLock(func() {
		look.AgreedTime = state.Machine.Now()
		look.Current, look.Previous = state.Lanes.InForce(look.AgreedTime)
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	look.FileSection = p.fileSection
	set, changed, note := p.selector.Select(look)
	if note != "" && note != p.warning {
		p.host.Log.Warn(note)
	}
	p.warning = note
	if look.Current != nil {
		applied = look.Current.Revision
	}
	return set, changed, applied
}

// logInForce logs what came in force.
func (p *Part) logInForce() {
	var force *laneconfig.Version
	state := p.host.State
	state.WithLock(func() { force, _ = state.Lanes.InForce(state.Machine.Now()) })
	if force == nil || force.Sum == p.loggedInForce {
		return
	}
	p.loggedInForce = force.Sum
	p.host.Log.WithFields(logrus.Fields{"revision": force.Revision, "sum": force.Sum[:8]}).Info("lanes are in force")
}

// Step proposes the own file's section while this co-ordinator leads and a lower revision is in force.
func (p *Part) Step(t StepInput) {
	p.logInForce()
	at, may := p.host.MayPropose()
	if t.Term == 0 || !may || t.Group == nil {
		return
	}
	if p.term != t.Term {
		p.term, p.sequence, p.notBefore = t.Term, 0, 0
	}
	own := p.sectionToPropose(t.Now)
	if own == nil || !p.stateAccepts(t.Now, at, own) {
		return
	}
	p.sequence++
	p.notBefore = t.Now + drainctl.ProposalTimeout
	raw, err := encodeCommand(fmt.Sprintf("l-%d-%d", t.Term, p.sequence), at, *own)
	if err != nil {
		p.notBefore = t.Now + drainctl.ConfigErrorInterval
		p.host.Log.WithError(err).Error("the section of lanes can't be proposed")
		return
	}
	p.mu.Lock()
	p.pending = true
	p.mu.Unlock()
	go p.propose(t.Group, raw, own.Revision)
}

// sectionToPropose is the own section if it may be proposed now, else nil.
func (p *Part) sectionToPropose(now time.Duration) *laneconfig.SetBody {
	p.mu.Lock()
	own, pending, rejected := p.fileSection, p.pending, p.rejected
	p.rejected = false
	p.mu.Unlock()
	if rejected {
		p.notBefore = now + drainctl.ConfigErrorInterval
	}
	if own == nil || pending || now < p.notBefore {
		return nil
	}
	return own
}

// stateAccepts says whether the agreed state would take the own section, and logs one that differs under the same revision.
func (p *Part) stateAccepts(now, at time.Duration, own *laneconfig.SetBody) bool {
	var takes, differs bool
	state := p.host.State
	state.WithLock(func() {
		takes = state.Lanes.Accepts(own.Revision, at)
		force, _ := state.Lanes.InForce(at)
		differs = force != nil && force.Revision == own.Revision && force.Sum != own.Sum
	})
	if differs {
		p.notBefore = now + drainctl.ConfigErrorInterval
		p.host.Log.WithField("revision", own.Revision).Warn("the file's lanes differ from those agreed under the same revision: give them a higher one")
	}
	return takes
}

func encodeCommand(id string, at time.Duration, b laneconfig.SetBody) ([]byte, error) {
	body, err := json.Marshal(b)
	if err != nil {
		return nil, err
	}
	return statemachine.Command{V: statemachine.Version, ID: id, Part: laneconfig.Part, Kind: laneconfig.KindSet, At: at, Body: body}.Encode()
}

// propose puts a command to the raft group, beside the step. One of which nothing came is proposed anew: applied twice, the
// second is of no higher revision.
func (p *Part) propose(group *raftgroup.Group, raw []byte, revision int) {
	err := group.ProposeWithin(raw)
	e := p.host.Log.WithField("revision", revision)
	switch {
	case err == nil:
		e.Info("the file's lanes were agreed on")
	case errors.Is(err, statemachine.ErrRejected):
		e.WithError(err).Warn("the file's lanes were refused")
	default:
		e.WithError(err).Debug("a proposal of lanes came to nothing")
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
		force, before := state.Lanes.InForce(state.Machine.Now())
		if force != nil {
			f["lanes_revision"] = force.Revision
		}
		if before != nil {
			f["lanes_with"] = before.Revision
		}
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.warning != "" {
		f["lanes_note"] = p.warning
	}
}
