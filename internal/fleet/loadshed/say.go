package loadshed

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/fleet/lanes"
)

// logState is what was told last.
type logState struct {
	loggedAt   time.Duration
	counts     lanes.Counts
	set        *laneconfig.Set
	shedding   bool // it was over 0, as told at turned
	changedAt  time.Duration
	unreadable int // messages that could not be read since
	lastError  string
}

// TransitionLogInterval is between lines that say that shedding begins or ends.
const TransitionLogInterval = 2 * time.Second

// logSummary logs when the fleet begins to shed and when it ends, and a summary each SummaryInterval while queries come.
func (s *Shedder) logSummary(now time.Duration, level float64) {
	t := &s.logState
	if on := level > 0; on != t.shedding && now >= t.changedAt+TransitionLogInterval {
		t.shedding, t.changedAt = on, now
		text := "sheds no more"
		if on {
			text = "the fleet sheds load by lanes"
		}
		s.options.Log.WithFields(s.logFields(level)).Info(text)
	}
	if now < t.loggedAt+SummaryInterval || s.set == nil {
		return
	}
	s.mu.Lock()
	counts := s.gate.Counts()
	s.mu.Unlock()
	if t.unreadable > 0 {
		s.options.Log.WithFields(logrus.Fields{"letters": t.unreadable, "newest": t.lastError}).Info("letters of lanes are left out")
	}
	was, same := t.counts, t.set != nil && len(t.set.Lanes) == len(s.set.Lanes)
	t.loggedAt, t.counts, t.set, t.unreadable = now, counts, s.set, 0
	all := 0.0
	for j := range s.set.Lanes {
		f := logrus.Fields{"lane": s.set.Lanes[j].Name}
		asked, admitted, refused := 0.0, 0.0, 0.0
		for r := range lanes.NumReasons {
			cost := counts.Cost[j][r]
			if same {
				cost -= was.Cost[j][r]
			}
			if asked += cost; r.Refused() {
				refused += cost
			} else {
				admitted += cost
			}
			if cost > 0 {
				f[reasonKeys[r]] = rounded(cost)
			}
		}
		if asked == 0 {
			continue
		}
		f["asked"], f["admitted"], f["refused"] = rounded(asked), rounded(admitted), rounded(refused)
		s.options.Log.WithFields(f).Info("lane")
		all += asked
	}
	if all > 0 || level > 0 {
		s.options.Log.WithFields(s.logFields(level)).Info("the lanes")
	}
}

// logStep logs at debug what the level of this step was found by.
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

// reasonKeys of the summary, by reason.
var reasonKeys = [lanes.NumReasons]string{"free", "guaranteed", "floor", "class_floor", "borrowed", "refused_cut", "refused_over_most"}

func (s *Shedder) logFields(level float64) logrus.Fields {
	f := logrus.Fields{
		"shed_level": rounded(level), "own_pressure": rounded(s.local.Pressure), "own_known": s.local.Known, "fleet_known": s.fleet.Known,
		"fresh": s.fleet.FreshReports, "members": s.fleet.Members, "bears": rounded(s.control.Capacity()),
	}
	if s.fleet.Known {
		f["fleet_pressure"], f["fleet_asked"], f["fleet_in_time"] = rounded(s.fleet.Pressure), rounded(s.fleet.Offered), rounded(s.fleet.InTime)
		f["fleet_level"], f["news_age"] = rounded(s.fleet.Level), s.fleet.MeanAge.Round(time.Millisecond)
	}
	if s.set != nil {
		f["revision"] = s.set.Revision
	}
	return f
}

func rounded(v float64) float64 { return math.Round(v*1000) / 1000 }
