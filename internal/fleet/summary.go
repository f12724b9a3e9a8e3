package fleet

import (
	"time"

	"birchcart/internal/fleet/inventory"

	"github.com/sirupsen/logrus"

	"birchcart/internal/fleet/maintenance"
)

// LogInterval is the minimum time between log lines about messages. Twice as long logs a fault later; half doubles the lines of a
// lasting fault, of which one is enough.
const LogInterval = 10 * time.Second

// limitedLog limits the rate of log lines about messages of other co-ordinators.
type limitedLog struct {
	loggedAt        time.Duration
	logged          bool
	suppressed      int // lines left out since the last one
	differsRevision int // revision for which a differing file was already logged
}

// info logs a line, unless one was logged less than LogInterval ago.
func (l *limitedLog) info(n *Node, now time.Duration, text string) {
	if l.logged && now < l.loggedAt+LogInterval {
		l.suppressed++
		return
	}
	e := n.log
	if l.suppressed > 0 {
		e = e.WithField("left_out", l.suppressed)
	}
	e.Info(text)
	l.loggedAt, l.logged, l.suppressed = now, true, 0
}

// warnIfFileDiffers warns once per revision if the local file differs from what was agreed under the same revision. The caller holds
// the lock of the agreed state.
func (l *limitedLog) warnIfFileDiffers(n *Node) {
	limits, revision := n.state.Maintenance.Limits()
	own := n.fileReport
	if revision == 0 || own.Limits.Revision != revision || l.differsRevision == revision {
		return
	}
	requests := n.state.Maintenance.Requests()
	if requests.Revision != revision {
		return
	}
	l.differsRevision = revision
	if own.Limits.Limits != limits || !sameRequests(own.Requests, requests) {
		n.log.WithField("revision", revision).Warn("the operators' file differs from what was agreed under the same revision; raise its revision")
	}
}

// logSummary logs the state of the fleet in one line, as often as the summary of the serving, and checks the invariants.
func (n *Node) logSummary(now time.Duration) {
	if now < n.summaryAt+n.host.Config.Limits.TellEvery {
		return
	}
	n.summaryAt = now
	f := logrus.Fields{
		"age": n.view.Age(now).Round(time.Millisecond), "cut_off": n.view.CutOff(now), "leader": n.leader, "leads": n.term != 0,
		"votes": n.raftGroup != nil, "dropped": n.mailbox.Dropped.Load() + n.member.Dropped(),
	}
	var violation error
	n.state.WithLock(func() {
		f["index"] = n.state.Machine.Index()
		for _, it := range n.state.Maintenance.Items() {
			if k := string(it.Phase); it.Phase != "" {
				count, _ := f[k].(int)
				f[k] = count + 1
			}
		}
		if paused, reason := n.state.Maintenance.Paused(n.state.Machine.Now()); paused {
			f["paused"] = reason
		}
		violation = n.state.Machine.Check()
	})
	if violation == nil {
		violation = n.view.Check()
	}
	if violation != nil {
		n.log.WithError(violation).Error("an invariant of the fleet does not hold")
	}
	up, all := 0, 0
	for _, m := range n.member.Members() {
		all++
		if inventory.MemberStatus[m.State] == maintenance.Up {
			up++
		}
	}
	f["members"], f["members_up"] = all, up
	if n.sessions != nil {
		n.sessions.AddSummary(f)
	}
	if n.lanes != nil {
		n.lanes.AddSummary(f)
	}
	n.log.WithFields(f).Info("fleet summary")
}
