package exchange

import (
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/policy"
)

// stallLogThreshold is how late a timer has to be for a log line: well over what a busy machine does to it, and under the least
// grace of a draining replica, so that work sent after the grace can be told from work that was held up.
const stallLogThreshold = 100 * time.Millisecond

var outcomeNames = map[policy.Outcome]string{
	policy.OK: "ok", policy.Failed: "failed", policy.Rejected: "rejected", policy.TimedOut: "timed out",
	policy.Unreachable: "unreachable", policy.ConnectionBroken: "connection broken", policy.Cancelled: "cancelled", policy.NotSent: "not sent",
}

// debug says whether lines for single queries and attempts are wanted.
func (e *Exchange) debug() bool { return e.log.Logger.IsLevelEnabled(logrus.DebugLevel) }

// traceAttempt logs an attempt that is handed to the replica side.
func (e *Exchange) traceAttempt(a *Attempt) {
	if !e.debug() {
		return
	}
	e.log.WithFields(logrus.Fields{
		"part": a.ID, "attempt": a.number, "replica": e.replicaName(a.replica), "list": e.listIndex,
		"wait": a.Due.Sub(e.turnAt).Round(time.Millisecond),
	}).Debug("an attempt begins")
}

// traceAttemptEnd logs what became of an attempt.
func (e *Exchange) traceAttemptEnd(a *Attempt, o policy.Outcome) {
	if !e.debug() {
		return
	}
	e.log.WithFields(logrus.Fields{
		"part": a.ID, "attempt": a.number, "replica": e.replicaName(a.replica), "list": e.listIndex, "outcome": outcomeNames[o],
	}).Debug("an attempt ended")
}

// replicaName is the name of a replica on the list, "" for one that was forgotten.
func (e *Exchange) replicaName(id uint64) string {
	if r := e.replicasByID[id]; r != nil {
		return r.Name
	}
	return ""
}

// logStall logs that this turn comes late because the process had no processor.
func (e *Exchange) logStall() {
	if len(e.timers) == 0 {
		return
	}
	if late := e.turnAt.Sub(e.timers[0].at); late >= stallLogThreshold {
		e.limitedLog.Warn("the process stood still", logrus.Fields{"late": late.Round(time.Millisecond), "list": e.listIndex})
	}
}
