package pressure

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxMembers is the maximum number of co-ordinators whose reports are kept.
	MaxMembers = 1024
	// FreshWindow is the age up to which a report counts in an estimate.
	FreshWindow = 2 * time.Second
	// recentWindow is the age up to which a report counts in FleetLoad.RecentPressure.
	recentWindow = time.Second
	// forwardWindow is the age up to which a report is forwarded, and maxForwards the number of times.
	forwardWindow = time.Second
	maxForwards   = 2
)

// receivedReport is the newest report of one member.
type receivedReport struct {
	Report
	measuredAt time.Duration // local time of the measurement
	present    bool          // false until a report is received
	forwards   int           // number of times it was forwarded
}

// Reports keeps the newest report of each co-ordinator of the fleet, including the local one.
type Reports struct {
	names   []string         // of the members, sorted
	entries []receivedReport // by index in names
	index   map[string]int   // index in names, by name

	scratch scratch
}

// SetMembers sets the members of the fleet, including the local one; reports of others are not accepted. The reports of members
// that remain are kept. Of more than MaxMembers names, the first in sorted order count.
func (r *Reports) SetMembers(names []string) {
	names = slices.Clone(names)
	slices.Sort(names)
	names = slices.Compact(names)
	names = names[:min(len(names), MaxMembers)]
	if slices.Equal(names, r.names) {
		return
	}
	entries, index := make([]receivedReport, len(names)), make(map[string]int, len(names))
	for i, name := range names {
		if j, ok := r.index[name]; ok {
			entries[i] = r.entries[j]
		}
		index[name] = i
	}
	r.names, r.entries, r.index = names, entries, index
}

// Add stores a report and returns whether it is newer, by incarnation and sequence number, than the stored one of its sender. A
// duplicate can only make the stored report younger. Values that are out of bounds are clamped, and a report with NaN is rejected.
func (r *Reports) Add(now time.Duration, report Report) bool {
	i, ok := r.index[report.From]
	if !ok || report.Age < 0 || report.Age > MaxAge || !report.clamp() {
		return false
	}
	e, measuredAt := &r.entries[i], now-report.Age
	if e.present {
		if c := cmp.Or(cmp.Compare(report.Incarnation, e.Incarnation), cmp.Compare(report.Seq, e.Seq)); c < 0 {
			return false
		} else if c == 0 {
			e.measuredAt = max(e.measuredAt, measuredAt)
			return false
		}
	}
	*e = receivedReport{Report: report, measuredAt: measuredAt, present: true}
	return true
}

// clamp brings all values within bounds. It returns false if one of them is NaN.
func (r *Report) clamp() bool {
	for _, v := range []*float64{&r.Pressure, &r.Level} {
		if *v != *v {
			return false
		}
		*v = min(1, max(0, *v))
	}
	for _, v := range []*float64{&r.Offered, &r.InTime, &r.Completed, &r.Guaranteed} {
		if *v != *v {
			return false
		}
		*v = min(MaxRate, max(0, *v))
	}
	for j := range r.ByLane {
		if r.ByLane[j] != r.ByLane[j] {
			return false
		}
		r.ByLane[j] = min(r.Offered, max(0, r.ByLane[j]))
	}
	return true
}

// SelectForForwarding returns at most limit reports of members other than self: those forwarded least often first, then the most
// recent. It counts them as forwarded.
func (r *Reports) SelectForForwarding(now time.Duration, self string, limit int) []Report {
	var candidates []int
	for i := range r.entries {
		if e := &r.entries[i]; e.present && e.forwards < maxForwards && now-e.measuredAt <= forwardWindow && e.From != self {
			candidates = append(candidates, i)
		}
	}
	slices.SortFunc(candidates, func(a, b int) int {
		x, y := &r.entries[a], &r.entries[b]
		return cmp.Or(cmp.Compare(x.forwards, y.forwards), cmp.Compare(y.measuredAt, x.measuredAt), cmp.Compare(a, b))
	})
	out := make([]Report, 0, min(limit, len(candidates)))
	for _, i := range candidates[:min(max(0, limit), len(candidates))] {
		e := &r.entries[i]
		e.forwards++
		report := e.Report
		report.Age = max(0, now-e.measuredAt)
		out = append(out, report)
	}
	return out
}

// NewestRevision returns the highest revision that at least two members have reached, or, of at most two members, the highest that
// one has reached. A co-ordinator with a lower revision is behind. A single false report has no effect.
func (r *Reports) NewestRevision(now time.Duration) int {
	first, second := 0, 0
	for i := range r.entries {
		e := &r.entries[i]
		if !e.present || now-e.measuredAt > MaxAge {
			continue
		}
		if e.Revision > first {
			first, second = e.Revision, first
		} else if e.Revision > second {
			second = e.Revision
		}
	}
	if len(r.entries) <= 2 {
		return first
	}
	return second
}
