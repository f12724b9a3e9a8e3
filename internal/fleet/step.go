package fleet

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"birchcart/internal/fleet/lanepart"

	"birchcart/internal/fleet/fleetfile"
	"birchcart/internal/fleet/grantsfile"
	"birchcart/internal/fleet/inventory"

	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/member"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/statemachine"
	"birchcart/internal/fleet/view"
)

// written is what the grants file was last made of.
type written struct {
	ever   bool
	cut    bool
	leader string
	items  []maintenance.Item
	grants []view.Grant
}

// step gives all news to the pure parts and carries out what they want.
func (n *Node) step() {
	now, wall := n.now(), time.Duration(time.Now().UnixNano())
	n.taken()
	n.feed(now)
	var out []view.Output
	var propose []drainctl.Output
	var f grantsfile.File
	var limits, asks int     // revisions agreed
	var whole, unlisted bool // of an answer
	n.state.WithLock(func() {
		l := n.state.Machine
		if err := l.Halted(); err != nil && !n.halted {
			n.halted = true
			n.toView = append(n.toView, view.Halted{Err: err})
			n.toLead = append(n.toLead, drainctl.Deposed{})
		}
		if l.Index() != n.index || l.Epoch() != n.era || !n.stepped {
			n.index, n.era, n.stepped = l.Index(), l.Epoch(), true
			n.toView = append(n.toView, view.Applied{State: n.state.Maintenance, Index: n.index, AgreedTime: l.Now(), Epoch: n.era})
			n.toLead = append(n.toLead, drainctl.Applied{State: n.state.Maintenance, Index: n.index, Now: l.Now(), Epoch: n.era})
			f.Items = n.state.Maintenance.Items()
		}
		if a := n.answer; a != nil {
			a.Truncated = a.Truncated || n.index < n.answerAt
			n.toView, n.answer, whole = append(n.toView, *a), nil, !a.Truncated
			unlisted = a.NotInInventory
		}
		if n.sessions != nil {
			n.toView = append(n.toView, n.sessions.Urgency(n.now()))
		}
		n.agreedNow = l.Now()
		out = n.view.Step(now, n.toView)
		// One that was read after its lease is over had the view lay nothing: the drains of the process before stay.
		n.caught = n.caught || whole && (unlisted || !n.view.CutOff(now))
		if !n.halted {
			propose = n.lead.Step(now, wall, n.toLead)
		}
		f.Index, f.Now = n.index, l.Now()
		_, limits = n.state.Maintenance.Limits()
		asks = n.state.Maintenance.Requests().Revision
		n.lines.compare(n)
	})
	n.toView, n.toLead = n.toView[:0], n.toLead[:0]
	for _, o := range out {
		n.do(o)
	}
	n.drains.DropPrevious(n.now(), n.caught)
	n.drains.Retry(now)
	for _, o := range propose {
		switch o := o.(type) {
		case drainctl.Propose:
			n.propose(o.Command)
		case drainctl.TransferLeadership:
			go n.handOver()
		case drainctl.Log:
			n.log.Info(o.Text)
		}
	}
	if n.sessions != nil {
		n.sessions.Step(n.sessionTurn(now))
		if fence, leaves := n.sessions.MayLeaveNow(n.agreedNow); leaves {
			n.goForWork(fence)
		}
	}
	if n.lanes != nil {
		n.lanes.Step(lanepart.Turn{Now: now, Term: n.term, Group: n.raftGroup})
	}
	n.agreedRevision = limits
	n.hand(now, limits, asks)
	n.keepSeats(now)
	n.write(now, f)
	n.verify(n.now())
	n.tell(now)
}

// taken takes the list and the file that came since the last step.
func (n *Node) taken() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.news {
		return
	}
	n.news = false
	if n.list != nil {
		n.toView = append(n.toView, view.ReplicaList{Replicas: inventory.Machines(n.list)})
		n.hasList = true
		if n.sessions != nil {
			n.sessions.SetReplicas(n.list)
		}
		n.listFed = time.Time{}
	}
	if n.sessions != nil {
		n.sessions.Reload(n.file.Fleet.Sessions)
	}
	if n.lanes != nil {
		n.lanes.Reload(n.file)
	}
	n.asks = peerproto.FileReport{From: n.name, Limits: fleetfile.Limits(n.file, &n.s.Config.Policy), Requests: fleetfile.Requests(n.file)}
	n.askedAt, n.lines.differs = 0, 0
	n.toLead = append(n.toLead, drainctl.MaintenanceFile{Limits: n.asks.Limits, Requests: n.asks.Requests})
}

// sample measures the own load and tells it by gossip.
func (n *Node) sample(now time.Duration) {
	if now < n.own.At+FeedEvery {
		return
	}
	if mean, ok := n.load.Mean(); ok {
		n.mu.Lock()
		bears := n.file.Fleet.Bears
		n.mu.Unlock()
		n.own = inventory.LoadReport{Load: mean / bears, Known: true, At: now, Epoch: n.era}
		n.member.SetRecord(member.Record{Load: n.own.Load, Voter: n.raftGroup != nil, Version: n.version})
	}
}

// feed gives the leader the list and the members.
func (n *Node) feed(now time.Duration) {
	n.sample(now)
	if n.term == 0 || n.fedAt > 0 && now < n.fedAt+FeedEvery {
		return
	}
	n.fedAt = now
	n.loads[n.name] = n.own
	maps.DeleteFunc(n.loads, func(_ string, l inventory.LoadReport) bool { return now-l.At > LoadFor })
	n.toLead = append(n.toLead, drainctl.Membership{Members: inventory.Coordinators(n.member.Members(), n.loads, n.voters, now)})
	n.mu.Lock()
	list, known := n.list, n.list != nil && !n.stale
	n.mu.Unlock()
	if heard := n.s.ListConfirmedAt(); known && heard.After(n.listFed) {
		n.listFed = heard
		n.toLead = append(n.toLead, drainctl.ReplicaList{Replicas: inventory.Machines(list), Age: max(time.Since(heard), 0)})
	}
}

// do carries out what the view wants.
func (n *Node) do(o view.Output) {
	switch o := o.(type) {
	case view.Drains:
		n.drains.Set(n.now(), o.Names)
	case view.Poll:
		n.pollNow(o)
	case view.Grants:
		n.grants = slices.Clone(o.Items)
	case view.MayLeave:
		n.mayLeave(o.Fence)
	case view.Log:
		n.log.Info(o.Text)
	}
}

// mayLeave goes, if the file says so: the lead first, then the drain as by SIGTERM.
func (n *Node) mayLeave(fence uint64) {
	n.mu.Lock()
	self := n.file.Fleet.Self
	n.mu.Unlock()
	if !self {
		n.log.WithField("fence", fence).Info("this co-ordinator may go for work; the site's tools end it")
		return
	}
	if n.sessions != nil {
		n.sessions.Leave(fence)
		return
	}
	n.goForWork(fence)
}

// goForWork ends this co-ordinator as by SIGTERM, the lead first.
func (n *Node) goForWork(fence uint64) {
	n.log.WithField("fence", fence).Info("this co-ordinator goes for work")
	go func() {
		n.handOver()
		n.s.Shutdown()
	}()
}

// propose puts a command to the raft group, beside the step.
func (n *Node) propose(c statemachine.Command) {
	if n.raftGroup == nil || n.proposing >= ProposingMost {
		return
	}
	raw, err := c.Encode()
	if err != nil {
		n.log.WithError(err).Error("a proposal can't be written")
		n.toLead = append(n.toLead, drainctl.ProposalResult{ID: c.ID, Err: err})
		return
	}
	n.proposing++
	seat := n.raftGroup
	go func() {
		err := seat.ProposeWithin(raw)
		if errors.Is(err, statemachine.ErrDuplicate) {
			err = nil
		}
		e := drainctl.ProposalResult{}
		if err, known := outcome(err); known {
			e = drainctl.ProposalResult{ID: c.ID, Err: err}
		}
		n.ended <- e
	}()
}

// write has the grants file replaced, if it would say something else.
func (n *Node) write(now time.Duration, f grantsfile.File) {
	w := &n.written
	cut := n.view.CutOff(now)
	same := w.ever && cut == w.cut && n.leader == w.leader && slices.Equal(n.grants, w.grants)
	if f.Items != nil || !w.ever {
		items := grantsfile.RecentItems(f.Items, f.Now)
		same = same && slices.Equal(items, w.items)
		w.items = items
	}
	if same {
		return
	}
	w.ever, w.cut, w.leader, w.grants = true, cut, n.leader, n.grants
	f.Version, f.Name, f.Leader, f.CutOff, f.Items = grantsfile.Version, n.name, n.leader, cut, w.items
	reasons := map[string]string{}
	for _, r := range n.asks.Requests.Requests {
		reasons[r.ID] = r.Reason
	}
	f.Grants = make([]grantsfile.Grant, len(n.grants))
	for i, g := range n.grants {
		f.Grants[i] = grantsfile.NewGrant(g, reasons[g.Request])
	}
	if f.Items == nil {
		f.Items = []maintenance.Item{}
	}
	n.writer.Put(f)
}

// sameAsks compares by what is written, as the state machine does; no requests are no requests.
func sameAsks(a, b maintenance.RequestsBody) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && slices.Equal(x, y) ||
		len(a.Requests)+len(b.Requests) == 0 && a.Paused == b.Paused && a.Revision == b.Revision
}
