package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/fleet/raftgroup"
	"birchcart/internal/fleet/statemachine"
	"birchcart/internal/operator"
	"birchcart/internal/settings"
)

// lanes is one co-ordinator's part in which configuration of lanes is in force. What is not under mu belongs to the node's
// run.
type lanes struct {
	n     *Node
	no    uint64        // of the newest proposal in this term
	term  uint64        // of it
	after time.Duration // own time before which nothing is proposed
	said  string        // in force, as the log has it

	mu      sync.Mutex
	own     *laneconfig.SetBody // of the file; nil: it can't be put in words, which was told
	mix     *laneconfig.Mix
	routes  []string // that it was made for
	way     bool     // a proposal is
	refused bool     // the newest one was, for good
	note    string
}

// fitsLanes refuses a section that can't be agreed on, since it is too large.
func fitsLanes(f *operator.File, names *settings.Names) error {
	l := f.Fleet.Lanes
	if l == nil {
		return nil
	}
	_, err := laneconfig.Body(l, f.Fleet.Revision)
	if err == nil {
		_, err = laneconfig.Of(l, f.Fleet.Revision, names, routeNames(f))
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

// openLanes begins the part, if the section is there.
func (n *Node) openLanes() {
	if n.file.Fleet.Lanes == nil {
		return
	}
	n.lanes = &lanes{n: n}
	n.lanes.reload(n.file)
}

// reload takes a file that was read again.
func (p *lanes) reload(f *operator.File) {
	b, err := laneconfig.Body(f.Fleet.Lanes, f.Fleet.Revision)
	if err != nil {
		p.n.log.WithError(err).Error("the section of lanes can't be agreed on")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if names := routeNames(f); p.mix == nil || !slices.Equal(names, p.routes) { // queries come with places in this list
		p.mix, p.routes = laneconfig.NewMix(p.n.s.Config.Names, names), names
	}
	if p.own == nil || p.own.Revision != b.Revision || p.own.Sum != b.Sum {
		p.own, p.after = &b, 0
	}
}

// set is what this co-ordinator goes by now, whether that is another one than at the last call, and the revision that was
// applied here, 0 for none. heard is the highest one that others say they have applied. Any goroutine may call it.
func (p *lanes) set(now time.Duration, heard int) (set *laneconfig.Set, changed bool, applied int) {
	look := laneconfig.Look{Now: now, Heard: heard}
	p.n.state.WithLock(func() {
		look.Agreed = p.n.state.Machine.Now()
		look.Force, look.Before = p.n.state.Lanes.InForce(look.Agreed)
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	look.Own = p.own
	set, changed, note := p.mix.Step(look)
	if note != "" && note != p.note {
		p.n.log.Warn(note)
	}
	p.note = note
	if look.Force != nil {
		applied = look.Force.Revision
	}
	return set, changed, applied
}

// say logs what came in force.
func (p *lanes) say() {
	var force *laneconfig.Version
	p.n.state.WithLock(func() { force, _ = p.n.state.Lanes.InForce(p.n.state.Machine.Now()) })
	if force == nil || force.Sum == p.said {
		return
	}
	p.said = force.Sum
	p.n.log.WithFields(logrus.Fields{"revision": force.Revision, "sum": force.Sum[:8]}).Info("lanes are in force")
}

// step proposes the own file's section while this co-ordinator leads and a lower revision is in force.
func (p *lanes) step(now time.Duration) {
	n := p.n
	p.say()
	at, may := n.lead.Time()
	if n.term == 0 || !may || n.raftGroup == nil {
		return
	}
	if p.term != n.term {
		p.term, p.no, p.after = n.term, 0, 0
	}
	p.mu.Lock()
	own, way, refused := p.own, p.way, p.refused
	p.refused = false
	p.mu.Unlock()
	if refused {
		p.after = now + drainctl.ConfigErrorInterval
	}
	if own == nil || way || now < p.after {
		return
	}
	var takes, differs bool
	n.state.WithLock(func() {
		takes = n.state.Lanes.Takes(own.Revision, at)
		force, _ := n.state.Lanes.InForce(at)
		differs = force != nil && force.Revision == own.Revision && force.Sum != own.Sum
	})
	if differs {
		p.after = now + drainctl.ConfigErrorInterval
		n.log.WithField("revision", own.Revision).Warn("the file's lanes differ from those agreed under the same revision: give them a higher one")
	}
	if !takes {
		return
	}
	p.no++
	p.after = now + drainctl.ProposalTimeout
	raw, err := laneCommand(fmt.Sprintf("l-%d-%d", n.term, p.no), at, *own)
	if err != nil {
		p.after = now + drainctl.ConfigErrorInterval
		n.log.WithError(err).Error("the section of lanes can't be proposed")
		return
	}
	p.mu.Lock()
	p.way = true
	p.mu.Unlock()
	go p.propose(n.raftGroup, raw, own.Revision)
}

func laneCommand(id string, at time.Duration, b laneconfig.SetBody) ([]byte, error) {
	body, err := json.Marshal(b)
	if err != nil {
		return nil, err
	}
	return statemachine.Command{V: statemachine.Version, ID: id, Part: laneconfig.Part, Kind: laneconfig.KindSet, At: at, Body: body}.Encode()
}

// propose puts a command to the raft group, beside the step. One of which nothing came is proposed anew: applied twice, the
// second is of no higher revision.
func (p *lanes) propose(seat *raftgroup.Group, raw []byte, revision int) {
	ctx, cancel := context.WithTimeout(context.Background(), ProposeTime)
	defer cancel()
	err := seat.Propose(ctx, raw)
	e := p.n.log.WithField("revision", revision)
	switch {
	case err == nil:
		e.Info("the file's lanes were agreed on")
	case errors.Is(err, statemachine.ErrRejected):
		e.WithError(err).Warn("the file's lanes were refused")
	default:
		e.WithError(err).Debug("a proposal of lanes came to nothing")
	}
	p.mu.Lock()
	p.way, p.refused = false, errors.Is(err, statemachine.ErrRejected)
	p.mu.Unlock()
	p.n.nudge()
}

// tell is this part of the summary.
func (p *lanes) tell(f logrus.Fields) {
	p.n.state.WithLock(func() {
		force, before := p.n.state.Lanes.InForce(p.n.state.Machine.Now())
		if force != nil {
			f["lanes_revision"] = force.Revision
		}
		if before != nil {
			f["lanes_with"] = before.Revision
		}
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.note != "" {
		f["lanes_note"] = p.note
	}
}
