package loadshed

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/fleet/lanes"
)

// logState is what was logged last.
type logState struct {
	loggedAt   time.Duration
	counts     lanes.Counts
	set        *laneconfig.Set
	shedding   bool // whether the level was above 0, as logged at changedAt
	changedAt  time.Duration
	unreadable int    // number of unreadable messages since the last summary
	lastError  string // of the newest one of them
}

// TransitionLogInterval is the minimum interval between the log lines that say that shedding starts or ends.
const TransitionLogInterval = 2 * time.Second

// logSummary logs when the fleet starts and stops shedding, and a summary every SummaryInterval while queries arrive.
func (s *Shedder) logSummary(now time.Duration, level float64) {
	state := &s.logState
	if shedding := level > 0; shedding != state.shedding && now >= state.changedAt+TransitionLogInterval {
		state.shedding, state.changedAt = shedding, now
		message := "the fleet no longer sheds load"
		if shedding {
			message = "the fleet sheds load by lanes"
		}
		s.options.Log.WithFields(s.logFields(level)).Info(message)
	}
	if now < state.loggedAt+SummaryInterval || s.set == nil {
		return
	}
	s.mu.Lock()
	counts := s.gate.Counts()
	s.mu.Unlock()
	if state.unreadable > 0 {
		s.options.Log.WithFields(logrus.Fields{"letters": state.unreadable, "newest": state.lastError}).Info("unreadable lane messages discarded")
	}
	previous, sameLanes := state.counts, state.set != nil && len(state.set.Lanes) == len(s.set.Lanes)
	state.loggedAt, state.counts, state.set, state.unreadable = now, counts, s.set, 0
	totalCost := 0.0
	for j := range s.set.Lanes {
		fields := logrus.Fields{"lane": s.set.Lanes[j].Name}
		offered, admitted, refused := 0.0, 0.0, 0.0
		for r := range lanes.NumReasons {
			cost := counts.Cost[j][r]
			if sameLanes {
				cost -= previous.Cost[j][r]
			}
			if offered += cost; r.Refused() {
				refused += cost
			} else {
				admitted += cost
			}
			if cost > 0 {
				fields[reasonKeys[r]] = rounded(cost)
			}
		}
		if offered == 0 {
			continue
		}
		fields["asked"], fields["admitted"], fields["refused"] = rounded(offered), rounded(admitted), rounded(refused)
		s.options.Log.WithFields(fields).Info("lane summary")
		totalCost += offered
	}
	if totalCost > 0 || level > 0 {
		s.options.Log.WithFields(s.logFields(level)).Info("load shedding summary")
	}
}

// logStep logs the inputs of the shed level of this step, at level debug.
func (s *Shedder) logStep(level float64) {
	if s.set == nil || !s.options.Log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	estimate := s.control.Estimate()
	s.options.Log.WithFields(s.logFields(level)).WithFields(logrus.Fields{
		"own_asked": rounded(s.local.Offered), "own_in_time": rounded(s.local.InTime), "own_done": rounded(s.local.Completed),
		"estimate": rounded(estimate.Capacity), "asked": rounded(estimate.Offered), "comes_back": rounded(estimate.Throughput),
		"peak_back": rounded(estimate.PeakThroughput), "knee": rounded(estimate.Knee), "storm": estimate.Overloaded,
	}).Debug("a step of the lanes")
}

// reasonKeys are the log field names of the reasons.
var reasonKeys = [lanes.NumReasons]string{"free", "guaranteed", "floor", "class_floor", "borrowed", "refused_cut", "refused_over_most"}

// logFields returns the fields that describe the state of load shedding.
func (s *Shedder) logFields(level float64) logrus.Fields {
	fields := logrus.Fields{
		"shed_level": rounded(level), "own_pressure": rounded(s.local.Pressure), "own_known": s.local.Known, "fleet_known": s.fleet.Known,
		"fresh": s.fleet.FreshReports, "members": s.fleet.Members, "bears": rounded(s.control.Capacity()),
	}
	if s.fleet.Known {
		fields["fleet_pressure"], fields["fleet_asked"], fields["fleet_in_time"] = rounded(s.fleet.Pressure), rounded(s.fleet.Offered), rounded(s.fleet.InTime)
		fields["fleet_level"], fields["news_age"] = rounded(s.fleet.Level), s.fleet.MeanAge.Round(time.Millisecond)
	}
	if s.set != nil {
		fields["revision"] = s.set.Revision
	}
	return fields
}

// rounded rounds to three decimal places.
func rounded(v float64) float64 { return math.Round(v*1000) / 1000 }
