package pressure

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MinFreshShare is of which share of the members there must be fresh words, minFreshReports how many at least (of a small fleet: all but
	// one).
	MinFreshShare   = 0.04
	minFreshReports = 3
	// TrimShare is the share of weight at either end whose figures count as the first that is within.
	TrimShare = 0.3
	// weightCapQuantile is the share of members, by traffic, that weigh the same, the busiest; rates above are counted as theirs. It is what
	// bounds a word: a share x of liars that claim any traffic holds at most x/(1-weightCapQuantile) of all weight, so that up to Trim*(1-weightCapQuantile)
	// of the words, three in twenty, may be false.
	weightCapQuantile = 0.5
	// sumClipShare is the share of words, the busiest, whose rates are cut down in sums to that of the next one, and maxMedianMultiple how many
	// times the median's rate that may be.
	sumClipShare      = 0.25
	maxMedianMultiple = 3
	// MaxZones is how many zones are told apart.
	MaxZones = 16
)

// Estimate is what is known of all co-ordinators from the fresh words.
type FleetLoad struct {
	Known          bool // of enough of them
	Pressure       float64
	RecentPressure float64 // the same of the youngest words alone: sooner, and easier to mislead; of too few it is Pressure
	Offered        float64 // totalCost co-ordinators', as all rates here
	InTime         float64
	Completed      float64
	Guaranteed     float64
	ByLane         [MaxLanes]float64
	Level          float64 // the middle of what they shed at
	FreshReports   int     // words
	Members        int
	MeanAge        time.Duration // of the words, on the mean
	ByZone         []Zone        // in order
}

// Zone is the same of one zone.
type Zone struct {
	Name         string
	Pressure     float64
	Offered      float64 // bucketStart its fresh words alone
	FreshReports int
}

type weightedValue struct{ value, weight float64 }

type scratch struct {
	fresh    []int
	rates    []float64
	weighted []weightedValue
}

// Estimate works out the figures of now from words not older than FreshWindow.
func (n *Reports) Estimate(now time.Duration) (fl FleetLoad) {
	s := &n.scratch
	s.fresh, s.rates = s.fresh[:0], s.rates[:0]
	fl.Members = len(n.entries)
	for i := range n.entries {
		if h := &n.entries[i]; h.present && now-h.measuredAt <= FreshWindow {
			s.fresh = append(s.fresh, i)
			fl.MeanAge += max(0, now-h.measuredAt)
			if h.Known {
				s.rates = append(s.rates, h.Offered)
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
	even := s.rates[int(weightCapQuantile*float64(len(s.rates)))]
	weigh := func(of func(h *receivedReport) float64) float64 {
		s.weighted = s.weighted[:0]
		for _, i := range s.fresh {
			if h := &n.entries[i]; h.Known {
				s.weighted = append(s.weighted, weightedValue{of(h), min(h.Offered, even)})
			}
		}
		return winsorizedMean(s.weighted)
	}
	fl.Pressure = weigh(func(h *receivedReport) float64 { return h.Pressure })
	if fl.RecentPressure = fl.Pressure; n.collectRecent(now, even) >= minFreshReports {
		fl.RecentPressure = winsorizedMean(s.weighted)
	}
	part := func(of float64, h *receivedReport) float64 { return min(2, of/max(h.Offered, minRate)) }
	inTime := weigh(func(h *receivedReport) float64 { return part(h.InTime, h) })
	done := weigh(func(h *receivedReport) float64 { return part(h.Completed, h) })
	most := n.sumRates(&fl)
	fl.InTime, fl.Completed = inTime*fl.Offered, done*fl.Offered
	s.weighted = s.weighted[:0]
	for _, i := range s.fresh {
		s.weighted = append(s.weighted, weightedValue{n.entries[i].Level, 1})
	}
	fl.Level = winsorizedMean(s.weighted)
	n.estimateZones(&fl, even, most)
	return fl
}

// collectRecent gathers the pressure that the youngest words tell of.
func (n *Reports) collectRecent(now time.Duration, even float64) int {
	s := &n.scratch
	s.weighted = s.weighted[:0]
	for _, i := range s.fresh {
		if h := &n.entries[i]; h.Known && now-h.measuredAt <= recentWindow {
			s.weighted = append(s.weighted, weightedValue{h.Pressure, min(h.Offered, even)})
		}
	}
	return len(s.weighted)
}

// sumRates are rates over all words, each cut down to what the busiest fourth of them have, and scaled to all members.
func (n *Reports) sumRates(fl *FleetLoad) (most float64) {
	s := &n.scratch
	s.rates = s.rates[:0]
	for _, i := range s.fresh {
		s.rates = append(s.rates, n.entries[i].Offered)
	}
	slices.Sort(s.rates)
	most = min(s.rates[len(s.rates)-1-int(sumClipShare*float64(len(s.rates)))], maxMedianMultiple*s.rates[len(s.rates)/2])
	scale := float64(fl.Members) / float64(len(s.fresh))
	for _, i := range s.fresh {
		h := &n.entries[i]
		by := scale
		if h.Offered > most {
			by *= most / h.Offered
		}
		fl.Offered += by * h.Offered
		fl.Guaranteed += by * min(h.Guaranteed, h.Offered)
		for j := range fl.ByLane {
			fl.ByLane[j] += by * h.ByLane[j]
		}
	}
	return most
}

func (n *Reports) estimateZones(fl *FleetLoad, even, most float64) {
	s := &n.scratch
	for _, i := range s.fresh {
		h := &n.entries[i]
		k, ok := slices.BinarySearchFunc(fl.ByZone, h.Zone, func(z Zone, name string) int { return cmp.Compare(z.Name, name) })
		if !ok {
			if len(fl.ByZone) == MaxZones {
				continue
			}
			fl.ByZone = slices.Insert(fl.ByZone, k, Zone{Name: h.Zone})
		}
		fl.ByZone[k].Offered += min(h.Offered, most)
		fl.ByZone[k].FreshReports++
	}
	for k := range fl.ByZone {
		s.weighted = s.weighted[:0]
		for _, i := range s.fresh {
			if h := &n.entries[i]; h.Known && h.Zone == fl.ByZone[k].Name {
				s.weighted = append(s.weighted, weightedValue{h.Pressure, min(h.Offered, even)})
			}
		}
		fl.ByZone[k].Pressure = winsorizedMean(s.weighted)
	}
}

// winsorizedMean is the mean by weight, with what is in the lowest and highest Trim of the weight taken as the first value within. As
// long as false figures hold at most Trim of the weight it lies between the lowest and the highest of the true ones, whatever
// they are: the value at either end of the middle is a true one, or has true ones on both sides.
func winsorizedMean(f []weightedValue) float64 {
	all := 0.0
	for _, x := range f {
		all += x.weight
	}
	if all <= 0 {
		return 0
	}
	slices.SortFunc(f, func(a, b weightedValue) int {
		return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(a.weight, b.weight))
	})
	low, high, seen := f[0].value, f[len(f)-1].value, 0.0
	lowSet, highSet := false, false
	for _, x := range f {
		seen += x.weight
		if !lowSet && seen > TrimShare*all*(1+1e-9) {
			low, lowSet = x.value, true
		}
		if !highSet && seen >= (1-TrimShare)*all*(1-1e-9) {
			high, highSet = x.value, true
		}
	}
	high = max(low, high)
	sum := 0.0
	for _, x := range f {
		sum += x.weight * min(high, max(low, x.value))
	}
	return sum / all
}
