package loadshed

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/fleet/lanes"
)

// summary is what was told last.
type summary struct {
	at     time.Duration
	counts lanes.Counts
	set    *laneconfig.Set
	level  bool // it was over 0, as told at turned
	turned time.Duration
	wrong  int // letters that could not be read since
	why    string
}

// TurnEvery is between lines that say that shedding begins or ends.
const TurnEvery = 2 * time.Second

// say logs when the fleet begins to shed and when it ends, and a summary each TellEvery while queries come.
func (s *Shed) say(now time.Duration, level float64) {
	t := &s.told
	if on := level > 0; on != t.level && now >= t.turned+TurnEvery {
		t.level, t.turned = on, now
		text := "sheds no more"
		if on {
			text = "the fleet sheds load by lanes"
		}
		s.o.Log.WithFields(s.figures(level)).Info(text)
	}
	if now < t.at+TellEvery || s.set == nil {
		return
	}
	s.mu.Lock()
	counts := s.gate.Counts()
	s.mu.Unlock()
	if t.wrong > 0 {
		s.o.Log.WithFields(logrus.Fields{"letters": t.wrong, "newest": t.why}).Info("letters of lanes are left out")
	}
	was, same := t.counts, t.set != nil && len(t.set.Lanes) == len(s.set.Lanes)
	t.at, t.counts, t.set, t.wrong = now, counts, s.set, 0
	all := 0.0
	for j := range s.set.Lanes {
		f := logrus.Fields{"lane": s.set.Lanes[j].Name}
		asked, admitted, refused := 0.0, 0.0, 0.0
		for r := range lanes.Reasons {
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
				f[keys[r]] = figure(cost)
			}
		}
		if asked == 0 {
			continue
		}
		f["asked"], f["admitted"], f["refused"] = figure(asked), figure(admitted), figure(refused)
		s.o.Log.WithFields(f).Info("lane")
		all += asked
	}
	if all > 0 || level > 0 {
		s.o.Log.WithFields(s.figures(level)).Info("the lanes")
	}
}

// sayStep logs at debug what the level of this step was found by.
func (s *Shed) sayStep(level float64) {
	if s.set == nil || !s.o.Log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	estimate := s.control.Estimate()
	s.o.Log.WithFields(s.figures(level)).WithFields(logrus.Fields{
		"own_asked": figure(s.own.Asked), "own_in_time": figure(s.own.InTime), "own_done": figure(s.own.Done),
		"estimate": figure(estimate.Bears), "asked": figure(estimate.Asked), "comes_back": figure(estimate.ComesBack),
		"peak_back": figure(estimate.PeakBack), "knee": figure(estimate.Knee), "storm": estimate.Storm,
	}).Debug("a step of the lanes")
}

// keys of the summary, by reason.
var keys = [lanes.Reasons]string{"free", "guaranteed", "floor", "class_floor", "borrowed", "refused_cut", "refused_over_most"}

func (s *Shed) figures(level float64) logrus.Fields {
	f := logrus.Fields{
		"shed_level": figure(level), "own_pressure": figure(s.own.Pressure), "own_known": s.own.Known, "fleet_known": s.fleet.Known,
		"fresh": s.fleet.Fresh, "members": s.fleet.Members, "bears": figure(s.control.Bears()),
	}
	if s.fleet.Known {
		f["fleet_pressure"], f["fleet_asked"], f["fleet_in_time"] = figure(s.fleet.Pressure), figure(s.fleet.Asked), figure(s.fleet.InTime)
		f["fleet_level"], f["news_age"] = figure(s.fleet.Level), s.fleet.Age.Round(time.Millisecond)
	}
	if s.set != nil {
		f["revision"] = s.set.Revision
	}
	return f
}

func figure(v float64) float64 { return math.Round(v*1000) / 1000 }
