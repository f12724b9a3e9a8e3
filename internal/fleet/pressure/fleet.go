package pressure

import (
	"cmp"
	"slices"
	"time"
)

const (
	// FreshLeast is of which share of the members there must be fresh words, freshWords how many at least (of a small fleet: all but
	// one).
	FreshLeast = 0.04
	freshWords = 3
	// Trim is the share of weight at either end whose figures count as the first that is within.
	Trim = 0.3
	// capAt is the share of members, by traffic, that weigh the same, the busiest; rates above are counted as theirs. It is what
	// bounds a word: a share x of liars that claim any traffic holds at most x/(1-capAt) of all weight, so that up to Trim*(1-capAt)
	// of the words, three in twenty, may be false.
	capAt = 0.5
	// sumTrim is the share of words, the busiest, whose rates are cut down in sums to that of the next one, and sumMost how many
	// times the median's rate that may be.
	sumTrim = 0.25
	sumMost = 3
	// ZonesMost is how many zones are told apart.
	ZonesMost = 16
)

// Fleet is what is known of all co-ordinators from the fresh words.
type Fleet struct {
	Known    bool // of enough of them
	Pressure float64
	Young    float64 // the same of the youngest words alone: sooner, and easier to mislead; of too few it is Pressure
	Asked    float64 // all co-ordinators', as all rates here
	InTime   float64
	Done     float64
	Sure     float64
	ByLane   [LanesMost]float64
	Level    float64 // the middle of what they shed at
	Fresh    int     // words
	Members  int
	Age      time.Duration // of the words, on the mean
	ByZone   []Zone        // in order
}

// Zone is the same of one zone.
type Zone struct {
	Name     string
	Pressure float64
	Asked    float64 // from its fresh words alone
	Fresh    int
}

type figure struct{ value, weight float64 }

type scratch struct {
	fresh []int
	rates []float64
	f     []figure
}

// Fleet works out the figures of now from words not older than FreshFor.
func (n *News) Fleet(now time.Duration) (fl Fleet) {
	s := &n.scratch
	s.fresh, s.rates = s.fresh[:0], s.rates[:0]
	fl.Members = len(n.words)
	for i := range n.words {
		if h := &n.words[i]; h.has && now-h.at <= FreshFor {
			s.fresh = append(s.fresh, i)
			fl.Age += max(0, now-h.at)
			if h.Known {
				s.rates = append(s.rates, h.Asked)
			}
		}
	}
	fl.Fresh = len(s.fresh)
	if fl.Fresh == 0 {
		return fl
	}
	fl.Age /= time.Duration(fl.Fresh)
	fl.Known = float64(fl.Fresh) >= max(FreshLeast*float64(fl.Members), float64(min(freshWords, fl.Members-1))) && len(s.rates) > 0
	if len(s.rates) == 0 {
		return fl
	}
	slices.Sort(s.rates)
	even := s.rates[int(capAt*float64(len(s.rates)))]
	weigh := func(of func(h *heard) float64) float64 {
		s.f = s.f[:0]
		for _, i := range s.fresh {
			if h := &n.words[i]; h.Known {
				s.f = append(s.f, figure{of(h), min(h.Asked, even)})
			}
		}
		return middle(s.f)
	}
	fl.Pressure = weigh(func(h *heard) float64 { return h.Pressure })
	if fl.Young = fl.Pressure; n.young(now, even) >= freshWords {
		fl.Young = middle(s.f)
	}
	part := func(of float64, h *heard) float64 { return min(2, of/max(h.Asked, rateUnit)) }
	inTime := weigh(func(h *heard) float64 { return part(h.InTime, h) })
	done := weigh(func(h *heard) float64 { return part(h.Done, h) })
	most := n.sums(&fl)
	fl.InTime, fl.Done = inTime*fl.Asked, done*fl.Asked
	s.f = s.f[:0]
	for _, i := range s.fresh {
		s.f = append(s.f, figure{n.words[i].Level, 1})
	}
	fl.Level = middle(s.f)
	n.zones(&fl, even, most)
	return fl
}

// young gathers the pressure that the youngest words tell of.
func (n *News) young(now time.Duration, even float64) int {
	s := &n.scratch
	s.f = s.f[:0]
	for _, i := range s.fresh {
		if h := &n.words[i]; h.Known && now-h.at <= youngFor {
			s.f = append(s.f, figure{h.Pressure, min(h.Asked, even)})
		}
	}
	return len(s.f)
}

// sums are rates over all words, each cut down to what the busiest fourth of them have, and scaled to all members.
func (n *News) sums(fl *Fleet) (most float64) {
	s := &n.scratch
	s.rates = s.rates[:0]
	for _, i := range s.fresh {
		s.rates = append(s.rates, n.words[i].Asked)
	}
	slices.Sort(s.rates)
	most = min(s.rates[len(s.rates)-1-int(sumTrim*float64(len(s.rates)))], sumMost*s.rates[len(s.rates)/2])
	scale := float64(fl.Members) / float64(len(s.fresh))
	for _, i := range s.fresh {
		h := &n.words[i]
		by := scale
		if h.Asked > most {
			by *= most / h.Asked
		}
		fl.Asked += by * h.Asked
		fl.Sure += by * min(h.Sure, h.Asked)
		for j := range fl.ByLane {
			fl.ByLane[j] += by * h.ByLane[j]
		}
	}
	return most
}

func (n *News) zones(fl *Fleet, even, most float64) {
	s := &n.scratch
	for _, i := range s.fresh {
		h := &n.words[i]
		k, ok := slices.BinarySearchFunc(fl.ByZone, h.Zone, func(z Zone, name string) int { return cmp.Compare(z.Name, name) })
		if !ok {
			if len(fl.ByZone) == ZonesMost {
				continue
			}
			fl.ByZone = slices.Insert(fl.ByZone, k, Zone{Name: h.Zone})
		}
		fl.ByZone[k].Asked += min(h.Asked, most)
		fl.ByZone[k].Fresh++
	}
	for k := range fl.ByZone {
		s.f = s.f[:0]
		for _, i := range s.fresh {
			if h := &n.words[i]; h.Known && h.Zone == fl.ByZone[k].Name {
				s.f = append(s.f, figure{h.Pressure, min(h.Asked, even)})
			}
		}
		fl.ByZone[k].Pressure = middle(s.f)
	}
}

// middle is the mean by weight, with what is in the lowest and highest Trim of the weight taken as the first value within. As
// long as false figures hold at most Trim of the weight it lies between the lowest and the highest of the true ones, whatever
// they are: the value at either end of the middle is a true one, or has true ones on both sides.
func middle(f []figure) float64 {
	all := 0.0
	for _, x := range f {
		all += x.weight
	}
	if all <= 0 {
		return 0
	}
	slices.SortFunc(f, func(a, b figure) int { return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(a.weight, b.weight)) })
	low, high, seen := f[0].value, f[len(f)-1].value, 0.0
	lowSet, highSet := false, false
	for _, x := range f {
		seen += x.weight
		if !lowSet && seen > Trim*all*(1+1e-9) {
			low, lowSet = x.value, true
		}
		if !highSet && seen >= (1-Trim)*all*(1-1e-9) {
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
