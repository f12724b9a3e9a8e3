package fleet

import (
	"time"

	"birchcart/internal/fleet/inventory"

	"github.com/sirupsen/logrus"

	"birchcart/internal/fleet/maintenance"
)

// LineEvery is the least time between lines about messages, and between those about a file that differs from what was
// agreed. Twice as long: a fault is told of later; half: twice the lines of which one is enough.
const LineEvery = 10 * time.Second

// lines bounds what is logged of others' messages.
type lines struct {
	at      time.Duration
	ever    bool
	left    int
	differs int // revision for which it was said that the file differs
}

// limited logs a line, unless one was logged just now.
func (l *lines) limited(n *Node, now time.Duration, text string) {
	if l.ever && now < l.at+LineEvery {
		l.left++
		return
	}
	e := n.log
	if l.left > 0 {
		e = e.WithField("left_out", l.left)
	}
	e.Info(text)
	l.at, l.ever, l.left = now, true, 0
}

// compare says once that the own file differs from what was agreed under the same revision. It runs in a look.
func (l *lines) compare(n *Node) {
	limits, revision := n.state.Maintenance.Limits()
	own := n.asks
	if revision == 0 || own.Limits.Revision != revision || l.differs == revision {
		return
	}
	asks := n.state.Maintenance.Requests()
	if asks.Revision != revision {
		return
	}
	l.differs = revision
	if own.Limits.Limits != limits || !sameAsks(own.Requests, asks) {
		n.log.WithField("revision", revision).Warn("the operators' file differs from what was agreed under its revision; give it a higher one")
	}
}

// tell logs what an on-call reader wants to see at a glance, as often as the serving's summary.
func (n *Node) tell(now time.Duration) {
	if now < n.toldAt+n.s.Config.Limits.TellEvery {
		return
	}
	n.toldAt = now
	f := logrus.Fields{
		"age": n.view.Age(now).Round(time.Millisecond), "cut_off": n.view.CutOff(now), "leader": n.leader, "leads": n.term != 0,
		"votes": n.raftGroup != nil, "dropped": n.mailbox.Dropped.Load() + n.member.Dropped(),
	}
	var wrong error
	n.state.WithLock(func() {
		f["index"] = n.state.Machine.Index()
		for _, it := range n.state.Maintenance.Items() {
			if k := string(it.Phase); it.Phase != "" {
				count, _ := f[k].(int)
				f[k] = count + 1
			}
		}
		if stop, why := n.state.Maintenance.Paused(n.state.Machine.Now()); stop {
			f["paused"] = why
		}
		wrong = n.state.Machine.Check()
	})
	if wrong == nil {
		wrong = n.view.Check()
	}
	if wrong != nil {
		n.log.WithError(wrong).Error("a rule of the fleet does not hold")
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
	n.log.WithFields(f).Info("the fleet")
}
