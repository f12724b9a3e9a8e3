package pressure

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MinFreshShare is the minimum share of members with a fresh report for an estimate to be known, and minFreshReports the minimum
	// number of fresh reports (in a small fleet: all members but one).
	MinFreshShare   = 0.04
	minFreshReports = 3
	// TrimShare is the share of the total weight at each end of the sorted values for which the nearest value inside is used instead
	// (see winsorizedMean).
	TrimShare = 0.3
	// A report is weighted by its rate, capped at this quantile of all rates, so that the busiest half of the members has equal
	// weights. The cap bounds the influence of false reports: a share x of members that claims arbitrary rates holds at most
	// x/(1-weightCapQuantile) of the total weight, so up to TrimShare*(1-weightCapQuantile) of the reports, 15 %, may be false.
	weightCapQuantile = 0.5
	// sumClipShare is the share of reports, those with the highest rates, that are clipped in sums to the next lower rate. That rate is
	// at most maxMedianMultiple times the median rate.
	sumClipShare      = 0.25
	maxMedianMultiple = 3
	// MaxZones is the maximum number of zones that are estimated separately.
	MaxZones = 16
)

// FleetLoad is the load of all co-ordinators, estimated from their fresh reports. Rates are totals of the fleet, in cost per
// second.
type FleetLoad struct {
	Known          bool // enough members have fresh reports
	Pressure       float64
	RecentPressure float64 // Pressure by the most recent reports; it reacts sooner but is easier to falsify. Without enough of them: Pressure
	Offered        float64 // see LocalLoad for this and the next four
	InTime         float64
	Completed      float64
	Guaranteed     float64
	ByLane         [MaxLanes]float64
	Level          float64 // winsorized mean of the members' shed levels
	FreshReports   int     // number of fresh reports
	Members        int
	MeanAge        time.Duration // of the fresh reports
	ByZone         []Zone        // sorted by name
}

// Zone is the estimate for one zone.
type Zone struct {
	Name         string
	Pressure     float64
	Offered      float64 // sum of its fresh reports, not scaled to all its members
	FreshReports int
}

type weightedValue struct{ value, weight float64 }

// scratch holds the buffers that Estimate reuses.
type scratch struct {
	fresh    []int // indexes of the entries with fresh reports
	rates    []float64
	weighted []weightedValue
}

// Estimate returns the load of the fleet at now, by the reports that are not older than FreshWindow.
func (r *Reports) Estimate(now time.Duration) (fl FleetLoad) {
	s := &r.scratch
	s.fresh, s.rates = s.fresh[:0], s.rates[:0]
	fl.Members = len(r.entries)
	for i := range r.entries {
		if e := &r.entries[i]; e.present && now-e.measuredAt <= FreshWindow {
			s.fresh = append(s.fresh, i)
			fl.MeanAge += max(0, now-e.measuredAt)
			if e.Known {
				s.rates = append(s.rates, e.Offered)
			}
		}
	}
	fl.FreshReports = len(s.fresh)
	if fl.FreshReports == 0 {
		return fl
	}
	fl.MeanAge /= time.Duration(fl.FreshReports)
	fl.Known = float64(fl.FreshReports) >= max(MinFreshShare*float64(fl.Members), float64(min(minFreshReports, fl.Members-1))) && len(s.rates) > 0
	if len(s.rates) == 0 {
		return fl
	}
	slices.Sort(s.rates)
	weightCap := s.rates[int(weightCapQuantile*float64(len(s.rates)))]
	robustMean := func(value func(e *receivedReport) float64) float64 {
		s.weighted = s.weighted[:0]
		for _, i := range s.fresh {
			if e := &r.entries[i]; e.Known {
				s.weighted = append(s.weighted, weightedValue{value(e), min(e.Offered, weightCap)})
			}
		}
		return winsorizedMean(s.weighted)
	}
	fl.Pressure = robustMean(func(e *receivedReport) float64 { return e.Pressure })
	if fl.RecentPressure = fl.Pressure; r.collectRecent(now, weightCap) >= minFreshReports {
		fl.RecentPressure = winsorizedMean(s.weighted)
	}
	shareOfOffered := func(rate float64, e *receivedReport) float64 { return min(2, rate/max(e.Offered, minRate)) }
	inTimeShare := robustMean(func(e *receivedReport) float64 { return shareOfOffered(e.InTime, e) })
	completedShare := robustMean(func(e *receivedReport) float64 { return shareOfOffered(e.Completed, e) })
	clipRate := r.sumRates(&fl)
	fl.InTime, fl.Completed = inTimeShare*fl.Offered, completedShare*fl.Offered
	s.weighted = s.weighted[:0]
	for _, i := range s.fresh {
		s.weighted = append(s.weighted, weightedValue{r.entries[i].Level, 1})
	}
	fl.Level = winsorizedMean(s.weighted)
	r.estimateZones(&fl, weightCap, clipRate)
	return fl
}

// collectRecent puts the pressures of the most recent reports into scratch.weighted and returns their number.
func (r *Reports) collectRecent(now time.Duration, weightCap float64) int {
	s := &r.scratch
	s.weighted = s.weighted[:0]
	for _, i := range s.fresh {
		if e := &r.entries[i]; e.Known && now-e.measuredAt <= recentWindow {
			s.weighted = append(s.weighted, weightedValue{e.Pressure, min(e.Offered, weightCap)})
		}
	}
	return len(s.weighted)
}

// sumRates adds up the rates of all fresh reports, with the highest ones clipped, and scales the sums to all members. It returns
// the clipping rate.
func (r *Reports) sumRates(fl *FleetLoad) (clipRate float64) {
	s := &r.scratch
	s.rates = s.rates[:0]
	for _, i := range s.fresh {
		s.rates = append(s.rates, r.entries[i].Offered)
	}
	slices.Sort(s.rates)
	clipRate = min(s.rates[len(s.rates)-1-int(sumClipShare*float64(len(s.rates)))], maxMedianMultiple*s.rates[len(s.rates)/2])
	scale := float64(fl.Members) / float64(len(s.fresh))
	for _, i := range s.fresh {
		e := &r.entries[i]
		factor := scale
		if e.Offered > clipRate {
			factor *= clipRate / e.Offered
		}
		fl.Offered += factor * e.Offered
		fl.Guaranteed += factor * min(e.Guaranteed, e.Offered)
		for j := range fl.ByLane {
			fl.ByLane[j] += factor * e.ByLane[j]
		}
	}
	return clipRate
}

// estimateZones estimates each zone by its own fresh reports.
func (r *Reports) estimateZones(fl *FleetLoad, weightCap, clipRate float64) {
	s := &r.scratch
	for _, i := range s.fresh {
		e := &r.entries[i]
		k, ok := slices.BinarySearchFunc(fl.ByZone, e.Zone, func(z Zone, name string) int { return cmp.Compare(z.Name, name) })
		if !ok {
			if len(fl.ByZone) == MaxZones {
				continue
			}
			fl.ByZone = slices.Insert(fl.ByZone, k, Zone{Name: e.Zone})
		}
		fl.ByZone[k].Offered += min(e.Offered, clipRate)
		fl.ByZone[k].FreshReports++
	}
	for k := range fl.ByZone {
		s.weighted = s.weighted[:0]
		for _, i := range s.fresh {
			if e := &r.entries[i]; e.Known && e.Zone == fl.ByZone[k].Name {
				s.weighted = append(s.weighted, weightedValue{e.Pressure, min(e.Offered, weightCap)})
			}
		}
		fl.ByZone[k].Pressure = winsorizedMean(s.weighted)
	}
}

// winsorizedMean returns the weighted mean, with the values in the lowest and in the highest TrimShare of the weight replaced by
// the nearest value inside. As long as false values hold at most TrimShare of the weight, the result lies between the lowest and
// the highest true value: each bound of the inner range is a true value or lies between true values.
func winsorizedMean(values []weightedValue) float64 {
	totalWeight := 0.0
	for _, x := range values {
		totalWeight += x.weight
	}
	if totalWeight <= 0 {
		return 0
	}
	slices.SortFunc(values, func(a, b weightedValue) int {
		return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(a.weight, b.weight))
	})
	low, high, cumulative := values[0].value, values[len(values)-1].value, 0.0
	lowSet, highSet := false, false
	for _, x := range values {
		cumulative += x.weight
		if !lowSet && cumulative > TrimShare*totalWeight*(1+1e-9) {
			low, lowSet = x.value, true
		}
		if !highSet && cumulative >= (1-TrimShare)*totalWeight*(1-1e-9) {
			high, highSet = x.value, true
		}
	}
	high = max(low, high)
	sum := 0.0
	for _, x := range values {
		sum += x.weight * min(high, max(low, x.value))
	}
	return sum / totalWeight
}
