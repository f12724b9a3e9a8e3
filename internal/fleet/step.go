package fleet

import (
	"encoding/json"
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
	"birchcart/internal/fleet/view"
)

// writtenGrants is the content from which the grants file was last written.
type writtenGrants struct {
	initialized bool
	cutOff      bool
	leader      string
	items       []maintenance.Item
	grants      []view.Grant
}

// stepResult is the output of the view and the drain controller, with the agreed state that they saw.
type stepResult struct {
	view             []view.Output
	controller       []drainctl.Output
	grants           grantsfile.File
	limitsRevision   int // of the agreed limits
	requestsRevision int // of the agreed requests
}

// step passes all events since the last step to the view and the drain controller, and carries out their outputs.
func (n *Node) step() {
	now, wall := n.now(), time.Duration(time.Now().UnixNano())
	n.collectInputs()
	n.feedController(now)
	var r stepResult
	n.state.WithLock(func() { r = n.stepLocked(now, wall) })
	n.viewInputs, n.controllerInputs = n.viewInputs[:0], n.controllerInputs[:0]
	for _, o := range r.view {
		n.execute(o)
	}
	n.drains.DropPrevious(n.now(), n.caughtUp)
	n.drains.Retry(now)
	for _, o := range r.controller {
		n.executeController(o)
	}
	if n.sessions != nil {
		n.sessions.Step(n.sessionTurn(now))
		if fence, leaves := n.sessions.MayLeaveNow(n.agreedTime); leaves {
			n.shutdownForMaintenance(fence)
		}
	}
	if n.lanes != nil {
		n.lanes.Step(lanepart.StepInput{Now: now, Term: n.term, Group: n.raftGroup})
	}
	n.agreedRevision = r.limitsRevision
	n.reportFile(now, r.limitsRevision, r.requestsRevision)
	n.reconcileVoters(now)
	n.writeGrants(now, r.grants)
	n.verifyLeadership(n.now())
	n.logSummary(now)
}

// stepLocked steps the view and the drain controller; the caller's lock keeps commands from being applied meanwhile.
func (n *Node) stepLocked(now, wall time.Duration) (r stepResult) {
	machine, order := n.state.Machine, n.state.Maintenance
	if err := machine.Halted(); err != nil && !n.halted {
		n.halted = true
		n.viewInputs = append(n.viewInputs, view.Halted{Err: err})
		n.controllerInputs = append(n.controllerInputs, drainctl.Deposed{})
	}
	if machine.Index() != n.index || machine.Epoch() != n.epoch || !n.stepped {
		n.index, n.epoch, n.stepped = machine.Index(), machine.Epoch(), true
		n.viewInputs = append(n.viewInputs, view.Applied{State: order, Index: n.index, AgreedTime: machine.Now(), Epoch: n.epoch})
		n.controllerInputs = append(n.controllerInputs, drainctl.Applied{State: order, Index: n.index, Now: machine.Now(), Epoch: n.epoch})
		r.grants.Items = order.Items()
	}
	var complete, notInInventory bool // of the pending reply
	if a := n.pendingAnswer; a != nil {
		a.Truncated = a.Truncated || n.index < n.pendingAnswerIndex
		n.viewInputs, n.pendingAnswer, complete = append(n.viewInputs, *a), nil, !a.Truncated
		notInInventory = a.NotInInventory
	}
	if n.sessions != nil {
		n.viewInputs = append(n.viewInputs, n.sessions.Urgency(n.now()))
	}
	n.agreedTime = machine.Now()
	r.view = n.view.Step(now, n.viewInputs)
	// A reply that is handled after its lease has expired makes the view apply nothing: the drains of the previous
	// process stay, and the reply does not count as catching up.
	n.caughtUp = n.caughtUp || complete && (notInInventory || !n.view.CutOff(now))
	if !n.halted {
		r.controller = n.controller.Step(now, wall, n.controllerInputs)
	}
	r.grants.Index, r.grants.Now = n.index, machine.Now()
	_, r.limitsRevision = order.Limits()
	r.requestsRevision = order.Requests().Revision
	n.messageLog.warnIfFileDiffers(n)
	return r
}

// executeController carries out an output of the drain controller.
func (n *Node) executeController(o drainctl.Output) {
	switch o := o.(type) {
	case drainctl.Propose:
		n.propose(o.Command)
	case drainctl.TransferLeadership:
		go n.transferLeadership()
	case drainctl.Log:
		n.log.Info(o.Text)
	}
}

// collectInputs passes on the endpoint list and the operators' file if they changed since the last step.
func (n *Node) collectInputs() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.inputsChanged {
		return
	}
	n.inputsChanged = false
	if n.replicas != nil {
		n.viewInputs = append(n.viewInputs, view.ReplicaList{Replicas: inventory.Machines(n.replicas)})
		n.hasReplicas = true
		if n.sessions != nil {
			n.sessions.SetReplicas(n.replicas)
		}
		n.replicasFedAt = time.Time{}
	}
	if n.sessions != nil {
		n.sessions.Reload(n.file.Fleet.Sessions)
	}
	if n.lanes != nil {
		n.lanes.Reload(n.file)
	}
	n.fileReport = peerproto.FileReport{From: n.name, Limits: fleetfile.Limits(n.file, &n.host.Config.Policy), Requests: fleetfile.Requests(n.file)}
	n.fileReportAt, n.messageLog.differsRevision = 0, 0
	n.controllerInputs = append(n.controllerInputs, drainctl.MaintenanceFile{Limits: n.fileReport.Limits, Requests: n.fileReport.Requests})
}

// sampleLoad measures the local load every FeedInterval and publishes it by gossip.
func (n *Node) sampleLoad(now time.Duration) {
	if now < n.ownLoad.At+FeedInterval {
		return
	}
	if mean, ok := n.load.Mean(); ok {
		n.mu.Lock()
		bears := n.file.Fleet.Bears
		n.mu.Unlock()
		n.ownLoad = inventory.LoadReport{Load: mean / bears, Known: true, At: now, Epoch: n.epoch}
		n.member.SetRecord(member.Record{Load: n.ownLoad.Load, Voter: n.raftGroup != nil, Version: n.version})
	}
}

// feedController passes the endpoint list and the members to the leader's drain controller every FeedInterval.
func (n *Node) feedController(now time.Duration) {
	n.sampleLoad(now)
	if n.term == 0 || n.controllerFedAt > 0 && now < n.controllerFedAt+FeedInterval {
		return
	}
	n.controllerFedAt = now
	n.loads[n.name] = n.ownLoad
	maps.DeleteFunc(n.loads, func(_ string, l inventory.LoadReport) bool { return now-l.At > LoadRetention })
	n.controllerInputs = append(n.controllerInputs, drainctl.Membership{Members: inventory.Coordinators(n.member.Members(), n.loads, n.voters, now)})
	n.mu.Lock()
	list, known := n.replicas, n.replicas != nil && !n.replicasStale
	n.mu.Unlock()
	if confirmedAt := n.host.ListConfirmedAt(); known && confirmedAt.After(n.replicasFedAt) {
		n.replicasFedAt = confirmedAt
		n.controllerInputs = append(n.controllerInputs, drainctl.ReplicaList{Replicas: inventory.Machines(list), Age: max(time.Since(confirmedAt), 0)})
	}
}

// execute carries out an output of the view.
func (n *Node) execute(o view.Output) {
	switch o := o.(type) {
	case view.Drains:
		n.drains.Set(n.now(), o.Names)
	case view.Poll:
		n.sendPoll(o)
	case view.Grants:
		n.grants = slices.Clone(o.Items)
	case view.MayLeave:
		n.leave(o.Fence)
	case view.Log:
		n.log.Info(o.Text)
	}
}

// leave shuts this co-ordinator down for maintenance if the file says so; otherwise it only logs that the site's tools may.
func (n *Node) leave(fence uint64) {
	n.mu.Lock()
	self := n.file.Fleet.Self
	n.mu.Unlock()
	if !self {
		n.log.WithField("fence", fence).Info("this co-ordinator may go for work; the site's tools have to stop it")
		return
	}
	if n.sessions != nil {
		n.sessions.Leave(fence)
		return
	}
	n.shutdownForMaintenance(fence)
}

// shutdownForMaintenance transfers the leadership and then shuts this co-ordinator down as SIGTERM does.
func (n *Node) shutdownForMaintenance(fence uint64) {
	n.log.WithField("fence", fence).Info("this co-ordinator goes for work")
	go func() {
		n.transferLeadership()
		n.host.Shutdown()
	}()
}

// writeGrants has the grants file replaced if its content changed.
func (n *Node) writeGrants(now time.Duration, f grantsfile.File) {
	w := &n.written
	cutOff := n.view.CutOff(now)
	same := w.initialized && cutOff == w.cutOff && n.leader == w.leader && slices.Equal(n.grants, w.grants)
	if f.Items != nil || !w.initialized {
		items := grantsfile.RecentItems(f.Items, f.Now)
		same = same && slices.Equal(items, w.items)
		w.items = items
	}
	if same {
		return
	}
	w.initialized, w.cutOff, w.leader, w.grants = true, cutOff, n.leader, n.grants
	f.Version, f.Name, f.Leader, f.CutOff, f.Items = grantsfile.Version, n.name, n.leader, cutOff, w.items
	reasons := map[string]string{}
	for _, r := range n.fileReport.Requests.Requests {
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

// sameRequests compares the JSON encodings, as the state machine does. Without requests, a nil list and an empty one are equal.
func sameRequests(a, b maintenance.RequestsBody) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && slices.Equal(x, y) ||
		len(a.Requests)+len(b.Requests) == 0 && a.Paused == b.Paused && a.Revision == b.Revision
}
