package pressure

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func sample(name string) Word {
	return Word{From: name, Incarnation: uint64(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano()), Seq: 1 << 20, Age: 750 * time.Millisecond, Zone: "zone-b",
		Own: Own{Known: true, Pressure: 0.25, Asked: 1234, InTime: 900, Done: 950, Sure: 100, ByLane: [LanesMost]float64{100, 400, 600}}, Level: 0.3, Revision: 17}
}

func TestWordComesAsItWentAndIsSmall(t *testing.T) {
	w := sample("aggregator-123")
	b := w.Append(nil)
	if len(b) > 80 {
		t.Errorf("%d bytes", len(b))
	}
	got, rest, err := Take(append(b, 7))
	if err != nil || len(rest) != 1 {
		t.Fatal(err, rest)
	}
	near := func(a, b, by float64) bool { return math.Abs(a-b) <= by*max(1, b) }
	if got.From != w.From || got.Zone != w.Zone || got.Incarnation != w.Incarnation || got.Seq != w.Seq || got.Age != w.Age || got.Revision != w.Revision || !got.Known ||
		!near(got.Pressure, w.Pressure, 1e-4) || !near(got.Level, w.Level, 1e-4) || !near(got.Asked, w.Asked, 1e-3) || !near(got.InTime, w.InTime, 1e-3) ||
		!near(got.Done, w.Done, 1e-3) || !near(got.Sure, w.Sure, 1e-3) || !near(got.ByLane[1], w.ByLane[1], 0.01) || got.ByLane[3] != 0 {
		t.Errorf("%+v came of %+v", got, w)
	}
	long := Word{From: strings.Repeat("n", 200), Incarnation: math.MaxUint64, Seq: math.MaxUint64, Age: time.Hour, Zone: strings.Repeat("z", 200), Revision: math.MaxInt,
		Own: Own{Pressure: math.NaN(), Asked: math.Inf(1), InTime: -1, ByLane: [LanesMost]float64{7: math.Inf(1)}}, Level: 7}
	if b = long.Append(nil); len(b) > WordMost {
		t.Errorf("%d bytes of a word, %d at most", len(b), WordMost)
	}
	if got, _, err = Take(b); err != nil || got.Pressure != 0 || got.Level != 1 || !near(got.Asked, RateMost, 1e-3) || got.InTime != 0 {
		t.Errorf("%+v, %v", got, err)
	}
	b[0]++
	if _, _, err = Take(b); err == nil || !strings.Contains(err.Error(), "version 2") {
		t.Error(err)
	}
}

// FuzzTake: whatever comes is refused or is a word within bounds, that goes on as it came, and no figure of it is beyond them.
func FuzzTake(f *testing.F) {
	w := sample("a")
	f.Add(w.Append(nil))
	f.Add([]byte{wordVersion, 17, 1, 'a', 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		w, rest, err := Take(b)
		if err != nil {
			return
		}
		if len(rest) > len(b) || w.From == "" || len(w.From) > NameMost || w.Age < 0 || w.Age > AgeMost || w.Revision < 0 {
			t.Fatalf("%+v", w)
		}
		for _, v := range append([]float64{w.Pressure, w.Level, w.Asked / RateMost, w.InTime / RateMost, w.Done / RateMost, w.Sure / RateMost}, w.ByLane[:]...) {
			if !(v >= 0 && v <= RateMost*1.001) {
				t.Fatalf("%+v", w)
			}
		}
		again, _, err := Take(w.Append(nil))
		if err != nil || again != w {
			t.Fatalf("%+v, then %+v: %v", w, again, err)
		}
		var n News
		n.Members([]string{w.From, "x", "y"})
		if !n.Hear(time.Minute, w) {
			t.Fatalf("%+v is no news", w)
		}
		fl := n.Fleet(time.Minute)
		if !(fl.Pressure >= 0 && fl.Pressure <= 1 && fl.Level >= 0 && fl.Level <= 1 && fl.Asked >= 0 && fl.Asked <= 3*RateMost*1.001) {
			t.Fatalf("%+v of %+v", fl, w)
		}
	})
}

func names(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("c%03d", i))
	}
	return out
}

// Whatever up to Trim*(1-capAt) of the words say, figures lie between what honest ones say; sums within what the busiest honest one,
// and all but the liars, make.
func TestLiarsDoNotMoveFiguresBeyondHonestOnes(t *testing.T) {
	any := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{0, 1, -1, 1e9, 1e300, math.NaN(), math.Inf(1), math.Inf(-1)}))
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(7, 60).Draw(t, "n")
		liars := rapid.IntRange(0, int(Trim*(1-capAt)*float64(n))).Draw(t, "liars")
		var news News
		news.Members(names(n))
		low, high := Word{Own: Own{Pressure: 1, Asked: 1e9, InTime: 1e9}, Level: 1}, Word{}
		least, most, sum := 1e9, 0.0, 0.0
		for i, name := range names(n) {
			w := Word{From: name, Seq: 1}
			w.Known = true
			if i < liars {
				w.Pressure, w.Asked, w.InTime, w.Done, w.Sure, w.Level = any.Draw(t, "p"), any.Draw(t, "asked"), any.Draw(t, "in"), any.Draw(t, "done"), any.Draw(t, "sure"), any.Draw(t, "level")
				for j := range w.ByLane {
					w.ByLane[j] = any.Draw(t, "lane")
				}
			} else {
				w.Pressure, w.Level, w.Asked = rapid.Float64Range(0, 0.3).Draw(t, "p"), rapid.Float64Range(0.2, 0.4).Draw(t, "level"), rapid.Float64Range(10, 50).Draw(t, "asked")
				part := rapid.Float64Range(0.5, 1).Draw(t, "part")
				w.InTime, w.Done = part*w.Asked, part*w.Asked
				low.Pressure, high.Pressure = min(low.Pressure, w.Pressure), max(high.Pressure, w.Pressure)
				low.Level, high.Level = min(low.Level, w.Level), max(high.Level, w.Level)
				low.InTime, high.InTime = min(low.InTime, part), max(high.InTime, part)
				least, most, sum = min(least, w.Asked), max(most, w.Asked), sum+w.Asked
			}
			news.Hear(time.Minute, w)
		}
		fl := news.Fleet(time.Minute)
		const e = 1e-9
		if !fl.Known || fl.Pressure < low.Pressure-e || fl.Pressure > high.Pressure+e || fl.Young > high.Pressure+e || fl.Level < low.Level-e || fl.Level > high.Level+e {
			t.Fatalf("%+v, honest ones from %+v to %+v", fl, low, high)
		}
		if part := fl.InTime / fl.Asked; part < low.InTime-e || part > high.InTime+e {
			t.Fatalf("%.3f in time, honest ones from %.3f to %.3f", part, low.InTime, high.InTime)
		}
		if fl.Asked > float64(n)*most+e || fl.Asked < float64(n-liars)*least-e {
			t.Fatalf("asked %.1f, honest ones make %.1f, from %.1f to %.1f", fl.Asked, sum, least, most)
		}
	})
}

// Words that come in any order, twice or not at all change nothing but what is not known.
func TestOrderAndRepetitionChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var words []Word
		for range rapid.IntRange(1, 40).Draw(t, "words") {
			w := Word{From: rapid.SampledFrom(names(8)).Draw(t, "from"), Incarnation: rapid.Uint64Range(1, 2).Draw(t, "life"), Seq: rapid.Uint64Range(1, 5).Draw(t, "seq")}
			w.Known, w.Asked, w.Pressure = true, float64(10*w.Seq+w.Incarnation), float64(w.Seq)/10 // what it says is by its number
			w.Age = time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond
			words = append(words, w)
		}
		hear := func(words []Word) Fleet {
			var n News
			n.Members(names(8))
			for _, w := range words {
				n.Hear(time.Minute, w)
			}
			return n.Fleet(time.Minute)
		}
		first := hear(words)
		again := rapid.Permutation(append(words, words[:len(words)/2]...)).Draw(t, "again")
		if got := hear(again); fmt.Sprint(got) != fmt.Sprint(first) {
			t.Fatalf("%+v, in another order %+v", first, got)
		}
		kept := map[string]Word{}
		for _, w := range words {
			if k, ok := kept[w.From]; !ok || w.Incarnation > k.Incarnation || w.Incarnation == k.Incarnation && (w.Seq > k.Seq || w.Seq == k.Seq && w.Age < k.Age) {
				kept[w.From] = w
			}
		}
		var newest []Word
		for _, w := range kept {
			newest = append(newest, w)
		}
		if got := hear(newest); fmt.Sprint(got) != fmt.Sprint(first) {
			t.Fatalf("%+v, of the newest alone %+v", first, got)
		}
	})
}

func TestTooFewFreshWordsAreNotKnown(t *testing.T) {
	var n News
	n.Members(names(100))
	for i, name := range names(4) {
		if fl := n.Fleet(0); fl.Known {
			t.Errorf("known by %d of 100", i)
		}
		n.Hear(0, Word{From: name, Own: Own{Known: true, Asked: 10}})
	}
	if fl := n.Fleet(FreshFor); !fl.Known || fl.Fresh != 4 || math.Abs(fl.Asked-1000) > 1e-6 {
		t.Errorf("%+v", fl)
	}
	if fl := n.Fleet(FreshFor + 1); fl.Known {
		t.Error("known by old words")
	}
	if n.Hear(0, Word{From: "stranger"}) || n.Hear(0, Word{From: "c000"}) {
		t.Error("a stranger's, or the same again, is news")
	}
	n.Members(names(2))
	if fl := n.Fleet(0); !fl.Known || fl.Members != 2 {
		t.Errorf("%+v", fl)
	}
}

func TestWordsArePassedOnTwiceAndWhileTheyAreYoung(t *testing.T) {
	var n News
	n.Members(names(10))
	for _, name := range names(10) {
		w := sample(name)
		w.Age = 0
		n.Hear(0, w)
	}
	sent := map[string]int{}
	for range 10 {
		for _, w := range n.Some(500*time.Millisecond, "c000", 3) {
			sent[w.From]++
			if w.Age != 500*time.Millisecond {
				t.Fatal(w.Age)
			}
		}
	}
	if len(sent) != 9 || sent["c001"] != passMost || sent["c000"] != 0 || len(n.Some(2*time.Second, "x", 3)) != 0 {
		t.Error(sent)
	}
}

func TestWhoGoesByAnOldSetIsToldByTwo(t *testing.T) {
	var n News
	n.Members(names(10))
	for i, r := range []int{4, 9, 4} {
		n.Hear(0, Word{From: names(10)[i], Revision: r})
	}
	if n.Ahead(0) != 4 {
		t.Error(n.Ahead(0))
	}
}
