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
		t.Errorf("%+v came of %+v", got, w)
	}
	long := Report{From: strings.Repeat("n", 200), Incarnation: math.MaxUint64, Seq: math.MaxUint64, Age: time.Hour, Zone: strings.Repeat("z", 200), Revision: math.MaxInt,
		LocalLoad: LocalLoad{Pressure: math.NaN(), Offered: math.Inf(1), InTime: -1, ByLane: [MaxLanes]float64{7: math.Inf(1)}}, Level: 7}
	if b = long.Append(nil); len(b) > MaxReportSize {
		t.Errorf("%d bytes of a word, %d at most", len(b), MaxReportSize)
	}
	if got, _, err = DecodeReport(b); err != nil || got.Pressure != 0 || got.Level != 1 || !near(got.Offered, MaxRate, 1e-3) || got.InTime != 0 {
		t.Errorf("%+v, %v", got, err)
	}
	b[0]++
	if _, _, err = DecodeReport(b); err == nil || !strings.Contains(err.Error(), "version 2") {
		t.Error(err)
	}
}

// FuzzDecodeReport: whatever comes is refused or is a word within bounds, that goes on as it came, and no figure of it is beyond them.
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
			t.Fatalf("%+v, then %+v: %v", w, again, err)
		}
		var n Reports
		n.SetMembers([]string{w.From, "x", "y"})
		if !n.Add(time.Minute, w) {
			t.Fatalf("%+v is no news", w)
		}
		fl := n.Estimate(time.Minute)
		if !(fl.Pressure >= 0 && fl.Pressure <= 1 && fl.Level >= 0 && fl.Level <= 1 && fl.Offered >= 0 && fl.Offered <= 3*MaxRate*1.001) {
			t.Fatalf("%+v of %+v", fl, w)
		}
	})
}

func memberNames(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("c%03d", i))
	}
	return out
}

// Whatever up to Trim*(1-weightCapQuantile) of the words say, figures lie between what honest ones say; sums within what the busiest honest one,
// and all but the liars, make.
func TestFalseReportsStayWithinHonestRange(t *testing.T) {
	any := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{0, 1, -1, 1e9, 1e300, math.NaN(), math.Inf(1), math.Inf(-1)}))
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(7, 60).Draw(t, "n")
		liars := rapid.IntRange(0, int(TrimShare*(1-weightCapQuantile)*float64(n))).Draw(t, "liars")
		var news Reports
		news.SetMembers(memberNames(n))
		low, high := Report{LocalLoad: LocalLoad{Pressure: 1, Offered: 1e9, InTime: 1e9}, Level: 1}, Report{}
		least, most, sum := 1e9, 0.0, 0.0
		for i, name := range memberNames(n) {
			w := Report{From: name, Seq: 1}
			w.Known = true
			if i < liars {
				w.Pressure, w.Offered, w.InTime, w.Completed, w.Guaranteed, w.Level = any.Draw(t, "p"), any.Draw(t, "asked"), any.Draw(t, "in"), any.Draw(t, "done"), any.Draw(t, "sure"), any.Draw(t, "level")
				for j := range w.ByLane {
					w.ByLane[j] = any.Draw(t, "lane")
				}
			} else {
				w.Pressure, w.Level, w.Offered = rapid.Float64Range(0, 0.3).Draw(t, "p"), rapid.Float64Range(0.2, 0.4).Draw(t, "level"), rapid.Float64Range(10, 50).Draw(t, "asked")
				part := rapid.Float64Range(0.5, 1).Draw(t, "part")
				w.InTime, w.Completed = part*w.Offered, part*w.Offered
				low.Pressure, high.Pressure = min(low.Pressure, w.Pressure), max(high.Pressure, w.Pressure)
				low.Level, high.Level = min(low.Level, w.Level), max(high.Level, w.Level)
				low.InTime, high.InTime = min(low.InTime, part), max(high.InTime, part)
				least, most, sum = min(least, w.Offered), max(most, w.Offered), sum+w.Offered
			}
			news.Add(time.Minute, w)
		}
		fl := news.Estimate(time.Minute)
		const e = 1e-9
		if !fl.Known || fl.Pressure < low.Pressure-e || fl.Pressure > high.Pressure+e || fl.RecentPressure > high.Pressure+e || fl.Level < low.Level-e || fl.Level > high.Level+e {
			t.Fatalf("%+v, honest ones from %+v to %+v", fl, low, high)
		}
		if part := fl.InTime / fl.Offered; part < low.InTime-e || part > high.InTime+e {
			t.Fatalf("%.3f in time, honest ones from %.3f to %.3f", part, low.InTime, high.InTime)
		}
		if fl.Offered > float64(n)*most+e || fl.Offered < float64(n-liars)*least-e {
			t.Fatalf("asked %.1f, honest ones make %.1f, from %.1f to %.1f", fl.Offered, sum, least, most)
		}
	})
}

// Words that come in any order, twice or not at all change nothing but what is not known.
func TestReportOrderAndDuplicatesDoNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var words []Report
		for range rapid.IntRange(1, 40).Draw(t, "words") {
			w := Report{From: rapid.SampledFrom(memberNames(8)).Draw(t, "from"), Incarnation: rapid.Uint64Range(1, 2).Draw(t, "life"), Seq: rapid.Uint64Range(1, 5).Draw(t, "seq")}
			w.Known, w.Offered, w.Pressure = true, float64(10*w.Seq+w.Incarnation), float64(w.Seq)/10 // what it says is by its number
			w.Age = time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond
			words = append(words, w)
		}
		hear := func(words []Report) FleetLoad {
			var n Reports
			n.SetMembers(memberNames(8))
			for _, w := range words {
				n.Add(time.Minute, w)
			}
			return n.Estimate(time.Minute)
		}
		first := hear(words)
		again := rapid.Permutation(append(words, words[:len(words)/2]...)).Draw(t, "again")
		if got := hear(again); fmt.Sprint(got) != fmt.Sprint(first) {
			t.Fatalf("%+v, in another order %+v", first, got)
		}
		kept := map[string]Report{}
		for _, w := range words {
			if k, ok := kept[w.From]; !ok || w.Incarnation > k.Incarnation || w.Incarnation == k.Incarnation && (w.Seq > k.Seq || w.Seq == k.Seq && w.Age < k.Age) {
				kept[w.From] = w
			}
		}
		var newest []Report
		for _, w := range kept {
			newest = append(newest, w)
		}
		if got := hear(newest); fmt.Sprint(got) != fmt.Sprint(first) {
			t.Fatalf("%+v, of the newest alone %+v", first, got)
		}
	})
}

func TestEstimateUnknownWithTooFewFreshReports(t *testing.T) {
	var n Reports
	n.SetMembers(memberNames(100))
	for i, name := range memberNames(4) {
		if fl := n.Estimate(0); fl.Known {
			t.Errorf("known by %d of 100", i)
		}
		n.Add(0, Report{From: name, LocalLoad: LocalLoad{Known: true, Offered: 10}})
	}
	if fl := n.Estimate(FreshWindow); !fl.Known || fl.FreshReports != 4 || math.Abs(fl.Offered-1000) > 1e-6 {
		t.Errorf("%+v", fl)
	}
	if fl := n.Estimate(FreshWindow + 1); fl.Known {
		t.Error("known by old words")
	}
	if n.Add(0, Report{From: "stranger"}) || n.Add(0, Report{From: "c000"}) {
		t.Error("a stranger's, or the same again, is news")
	}
	n.SetMembers(memberNames(2))
	if fl := n.Estimate(0); !fl.Known || fl.Members != 2 {
		t.Errorf("%+v", fl)
	}
}

func TestReportsAreForwardedTwiceWhileRecent(t *testing.T) {
	var n Reports
	n.SetMembers(memberNames(10))
	for _, name := range memberNames(10) {
		w := exampleReport(name)
		w.Age = 0
		n.Add(0, w)
	}
	sent := map[string]int{}
	for range 10 {
		for _, w := range n.SelectForForwarding(500*time.Millisecond, "c000", 3) {
			sent[w.From]++
			if w.Age != 500*time.Millisecond {
				t.Fatal(w.Age)
			}
		}
	}
	if len(sent) != 9 || sent["c001"] != maxForwards || sent["c000"] != 0 || len(n.SelectForForwarding(2*time.Second, "x", 3)) != 0 {
		t.Error(sent)
	}
}

func TestNewestRevisionNeedsTwoReports(t *testing.T) {
	var n Reports
	n.SetMembers(memberNames(10))
	for i, r := range []int{4, 9, 4} {
		n.Add(0, Report{From: memberNames(10)[i], Revision: r})
	}
	if n.NewestRevision(0) != 4 {
		t.Error(n.NewestRevision(0))
	}
}
