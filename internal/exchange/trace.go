package exchange

import (
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/policy"
)

// stallLogThreshold is how late a timer must be for a stall to be logged. It is well over the delay of timers on a busy machine. It
// is below the shortest grace period of a draining replica, so that the log can tell work sent after the grace period from work that
// a stall delayed.
const stallLogThreshold = 100 * time.Millisecond

// outcomeNames names the outcomes of attempts in logs.
var outcomeNames = map[policy.Outcome]string{
	policy.OK: "ok", policy.Failed: "failed", policy.Rejected: "rejected", policy.TimedOut: "timed out",
	policy.Unreachable: "unreachable", policy.ConnectionBroken: "connection broken", policy.Cancelled: "cancelled", policy.NotSent: "not sent",
}

// debug reports whether single queries and attempts are to be logged.
func (e *Exchange) debug() bool { return e.log.Logger.IsLevelEnabled(logrus.DebugLevel) }

// traceAttempt logs the start of an attempt at debug level.
func (e *Exchange) traceAttempt(a *Attempt) {
	if !e.debug() {
		return
	}
	e.log.WithFields(logrus.Fields{
		"part": a.ID, "attempt": a.number, "replica": e.replicaName(a.replica), "list": e.listIndex,
		"wait": a.Due.Sub(e.turnAt).Round(time.Millisecond),
	}).Debug("attempt started")
}

// traceAttemptEnd logs the outcome of an attempt at debug level.
func (e *Exchange) traceAttemptEnd(a *Attempt, o policy.Outcome) {
	if !e.debug() {
		return
	}
	e.log.WithFields(logrus.Fields{
		"part": a.ID, "attempt": a.number, "replica": e.replicaName(a.replica), "list": e.listIndex, "outcome": outcomeNames[o],
	}).Debug("attempt ended")
}

// replicaName returns the name of a replica, "" if it has been forgotten.
func (e *Exchange) replicaName(id uint64) string {
	if r := e.replicasByID[id]; r != nil {
		return r.Name
	}
	return ""
}

// logStall logs a turn that comes late because the process got no processor time.
func (e *Exchange) logStall() {
	if len(e.timers) == 0 {
		return
	}
	if late := e.turnAt.Sub(e.timers[0].at); late >= stallLogThreshold {
		e.limitedLog.Warn("the process was stalled", logrus.Fields{"late": late.Round(time.Millisecond), "list": e.listIndex})
	}
}
