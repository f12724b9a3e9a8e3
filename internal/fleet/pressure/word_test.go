package pressure

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func exampleReport(name string) Report {
	return Report{From: name, Incarnation: uint64(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano()), Seq: 1 << 20, Age: 750 * time.Millisecond, Zone: "zone-b",
		LocalLoad: LocalLoad{Known: true, Pressure: 0.25, Offered: 1234, InTime: 900, Completed: 950, Guaranteed: 100, ByLane: [MaxLanes]float64{100, 400, 600}}, Level: 0.3, Revision: 17}
}

func TestReportRoundTripAndSize(t *testing.T) {
	w := exampleReport("aggregator-123")
	b := w.Append(nil)
	if len(b) > 80 {
		t.Errorf("%d bytes", len(b))
	}
	got, rest, err := DecodeReport(append(b, 7))
	if err != nil || len(rest) != 1 {
		t.Fatal(err, rest)
	}
	near := func(a, b, by float64) bool { return math.Abs(a-b) <= by*max(1, b) }
	if got.From != w.From || got.Zone != w.Zone || got.Incarnation != w.Incarnation || got.Seq != w.Seq || got.Age != w.Age || got.Revision != w.Revision || !got.Known ||
		!near(got.Pressure, w.Pressure, 1e-4) || !near(got.Level, w.Level, 1e-4) || !near(got.Offered, w.Offered, 1e-3) || !near(got.InTime, w.InTime, 1e-3) ||
		!near(got.Completed, w.Completed, 1e-3) || !near(got.Guaranteed, w.Guaranteed, 1e-3) || !near(got.ByLane[1], w.ByLane[1], 0.01) || got.ByLane[3] != 0 {
		t.Errorf("decoded %+v, want %+v", got, w)
	}
	long := Report{From: strings.Repeat("n", 200), Incarnation: math.MaxUint64, Seq: math.MaxUint64, Age: time.Hour, Zone: strings.Repeat("z", 200), Revision: math.MaxInt,
		LocalLoad: LocalLoad{Pressure: math.NaN(), Offered: math.Inf(1), InTime: -1, ByLane: [MaxLanes]float64{7: math.Inf(1)}}, Level: 7}
	if b = long.Append(nil); len(b) > MaxReportSize {
		t.Errorf("report of %d bytes, the limit is %d", len(b), MaxReportSize)
	}
	if got, _, err = DecodeReport(b); err != nil || got.Pressure != 0 || got.Level != 1 || !near(got.Offered, MaxRate, 1e-3) || got.InTime != 0 {
		t.Errorf("%+v, %v", got, err)
	}
	b[0]++
	if _, _, err = DecodeReport(b); err == nil || !strings.Contains(err.Error(), "version 2") {
		t.Error(err)
	}
}

// Any input is rejected, or decodes to a report within bounds that encodes to the same report again. An estimate from it is within
// bounds too.
func FuzzDecodeReport(f *testing.F) {
	w := exampleReport("a")
	f.Add(w.Append(nil))
	f.Add([]byte{reportVersion, 17, 1, 'a', 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		w, rest, err := DecodeReport(b)
		if err != nil {
			return
		}
		if len(rest) > len(b) || w.From == "" || len(w.From) > MaxNameLength || w.Age < 0 || w.Age > MaxAge || w.Revision < 0 {
			t.Fatalf("%+v", w)
		}
		for _, v := range append([]float64{w.Pressure, w.Level, w.Offered / MaxRate, w.InTime / MaxRate, w.Completed / MaxRate, w.Guaranteed / MaxRate}, w.ByLane[:]...) {
			if !(v >= 0 && v <= MaxRate*1.001) {
				t.Fatalf("%+v", w)
			}
		}
		again, _, err := DecodeReport(w.Append(nil))
		if err != nil || again != w {
			t.Fatalf("%+v, decoded again %+v: %v", w, again, err)
		}
		var reports Reports
		reports.SetMembers([]string{w.From, "x", "y"})
		if !reports.Add(time.Minute, w) {
			t.Fatalf("%+v was not accepted", w)
		}
		fl := reports.Estimate(time.Minute)
		if !(fl.Pressure >= 0 && fl.Pressure <= 1 && fl.Level >= 0 && fl.Level <= 1 && fl.Offered >= 0 && fl.Offered <= 3*MaxRate*1.001) {
			t.Fatalf("estimate %+v from report %+v", fl, w)
		}
	})
}

func memberNames(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("c%03d", i))
	}
	return out
}

// Guards against false reports that mislead the fleet: as long as at most TrimShare*(1-weightCapQuantile) of the reports are false,
// estimates lie within the range of the honest reports, and the sum of the rates lies between the lowest honest rate times the
// number of honest members and the highest honest rate times the number of all members.
func TestFalseReportsStayWithinHonestRange(t *testing.T) {
	anyValue := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{0, 1, -1, 1e9, 1e300, math.NaN(), math.Inf(1), math.Inf(-1)}))
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(7, 60).Draw(t, "n")
		falseCount := rapid.IntRange(0, int(TrimShare*(1-weightCapQuantile)*float64(n))).Draw(t, "false reports")
		var reports Reports
		reports.SetMembers(memberNames(n))
		low, high := Report{LocalLoad: LocalLoad{Pressure: 1, Offered: 1e9, InTime: 1e9}, Level: 1}, Report{}
		minOffered, maxOffered, sum := 1e9, 0.0, 0.0
		for i, name := range memberNames(n) {
			w := Report{From: name, Seq: 1}
			w.Known = true
			if i < falseCount {
				w.Pressure, w.Offered, w.InTime, w.Completed, w.Guaranteed, w.Level = anyValue.Draw(t, "p"), anyValue.Draw(t, "offered"), anyValue.Draw(t, "in time"), anyValue.Draw(t, "completed"), anyValue.Draw(t, "guaranteed"), anyValue.Draw(t, "level")
				for j := range w.ByLane {
					w.ByLane[j] = anyValue.Draw(t, "lane")
				}
			} else {
				w.Pressure, w.Level, w.Offered = rapid.Float64Range(0, 0.3).Draw(t, "p"), rapid.Float64Range(0.2, 0.4).Draw(t, "level"), rapid.Float64Range(10, 50).Draw(t, "offered")
				inTimeShare := rapid.Float64Range(0.5, 1).Draw(t, "in time share")
				w.InTime, w.Completed = inTimeShare*w.Offered, inTimeShare*w.Offered
				low.Pressure, high.Pressure = min(low.Pressure, w.Pressure), max(high.Pressure, w.Pressure)
				low.Level, high.Level = min(low.Level, w.Level), max(high.Level, w.Level)
				low.InTime, high.InTime = min(low.InTime, inTimeShare), max(high.InTime, inTimeShare)
				minOffered, maxOffered, sum = min(minOffered, w.Offered), max(maxOffered, w.Offered), sum+w.Offered
			}
			reports.Add(time.Minute, w)
		}
		fl := reports.Estimate(time.Minute)
		const e = 1e-9
		if !fl.Known || fl.Pressure < low.Pressure-e || fl.Pressure > high.Pressure+e || fl.RecentPressure > high.Pressure+e || fl.Level < low.Level-e || fl.Level > high.Level+e {
			t.Fatalf("estimate %+v, honest reports from %+v to %+v", fl, low, high)
		}
		if inTimeShare := fl.InTime / fl.Offered; inTimeShare < low.InTime-e || inTimeShare > high.InTime+e {
			t.Fatalf("share in time %.3f, honest reports from %.3f to %.3f", inTimeShare, low.InTime, high.InTime)
		}
		if fl.Offered > float64(n)*maxOffered+e || fl.Offered < float64(n-falseCount)*minOffered-e {
			t.Fatalf("offered %.1f, honest reports add up to %.1f, each from %.1f to %.1f", fl.Offered, sum, minOffered, maxOffered)
		}
	})
}

// The estimate depends only on the newest report of each sender, not on the order of reports, duplicates or lost older reports.
func TestReportOrderAndDuplicatesDoNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var received []Report
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			w := Report{From: rapid.SampledFrom(memberNames(8)).Draw(t, "from"), Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"), Seq: rapid.Uint64Range(1, 5).Draw(t, "seq")}
			w.Known, w.Offered, w.Pressure = true, float64(10*w.Seq+w.Incarnation), float64(w.Seq)/10 // the values identify the report
			w.Age = time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond
			received = append(received, w)
		}
		estimate := func(received []Report) FleetLoad {
			var reports Reports
			reports.SetMembers(memberNames(8))
			for _, w := range received {
				reports.Add(time.Minute, w)
			}
			return reports.Estimate(time.Minute)
		}
		first := estimate(received)
		again := rapid.Permutation(append(received, received[:len(received)/2]...)).Draw(t, "again")
		if got := estimate(again); fmt.Sprint(got) != fmt.Sprint(first) {
			t.Fatalf("estimate %+v, in another order %+v", first, got)
		}
		newestBySender := map[string]Report{}
		for _, w := range received {
			if old, ok := newestBySender[w.From]; !ok || w.Incarnation > old.Incarnation || w.Incarnation == old.Incarnation && (w.Seq > old.Seq || w.Seq == old.Seq && w.Age < old.Age) {
				newestBySender[w.From] = w
			}
		}
		var newest []Report
		for _, w := range newestBySender {
			newest = append(newest, w)
		}
		if got := estimate(newest); fmt.Sprint(got) != fmt.Sprint(first) {
			t.Fatalf("estimate %+v, from the newest reports alone %+v", first, got)
		}
	})
}

func TestEstimateUnknownWithTooFewFreshReports(t *testing.T) {
	var reports Reports
	reports.SetMembers(memberNames(100))
	for i, name := range memberNames(4) {
		if fl := reports.Estimate(0); fl.Known {
			t.Errorf("known with %d reports of 100 members", i)
		}
		reports.Add(0, Report{From: name, LocalLoad: LocalLoad{Known: true, Offered: 10}})
	}
	if fl := reports.Estimate(FreshWindow); !fl.Known || fl.FreshReports != 4 || math.Abs(fl.Offered-1000) > 1e-6 {
		t.Errorf("%+v", fl)
	}
	if fl := reports.Estimate(FreshWindow + 1); fl.Known {
		t.Error("known by reports that are too old")
	}
	if reports.Add(0, Report{From: "stranger"}) || reports.Add(0, Report{From: "c000"}) {
		t.Error("a report of a non-member or a duplicate was accepted as new")
	}
	reports.SetMembers(memberNames(2))
	if fl := reports.Estimate(0); !fl.Known || fl.Members != 2 {
		t.Errorf("%+v", fl)
	}
}

func TestReportsAreForwardedTwiceWhileRecent(t *testing.T) {
	var reports Reports
	reports.SetMembers(memberNames(10))
	for _, name := range memberNames(10) {
		w := exampleReport(name)
		w.Age = 0
		reports.Add(0, w)
	}
	forwards := map[string]int{}
	for range 10 {
		for _, w := range reports.SelectForForwarding(500*time.Millisecond, "c000", 3) {
			forwards[w.From]++
			if w.Age != 500*time.Millisecond {
				t.Fatal(w.Age)
			}
		}
	}
	if len(forwards) != 9 || forwards["c001"] != maxForwards || forwards["c000"] != 0 || len(reports.SelectForForwarding(2*time.Second, "x", 3)) != 0 {
		t.Error(forwards)
	}
}

func TestNewestRevisionNeedsTwoReports(t *testing.T) {
	var reports Reports
	reports.SetMembers(memberNames(10))
	for i, r := range []int{4, 9, 4} {
		reports.Add(0, Report{From: memberNames(10)[i], Revision: r})
	}
	if reports.NewestRevision(0) != 4 {
		t.Error(reports.NewestRevision(0))
	}
}
