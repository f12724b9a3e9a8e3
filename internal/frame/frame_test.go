package frame

import (
	"bufio"
	"bytes"
	"errors"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
)

func TestCall(t *testing.T) {
	b := AppendCall(nil, []Part{
		{ID: "9b1f03aa5c7e2d41.3", Shard: 3, Wait: 240, Text: []byte("c41e77d0")},
		{ID: "9b1f03aa5c7e2d41.9.load", Shard: 9, Wait: 10, From: []int{3, 5, 9}, Whole: true, Text: []byte("x")},
	})
	want := "A9b1f03aa5c7e2d41.3 3 d=240 8\nc41e77d09b1f03aa5c7e2d41.9.load 9 d=10,from=3+5+9,whole=1 1\nx"
	if string(b[4:]) != want || b[0] != 0 || b[1] != 0 || b[2] != 0 || int(b[3]) != len(want) {
		t.Errorf("got %q", b)
	}
	b = AppendProbe(AppendGiveUp(nil, "a.1"), Load)
	if string(b) != "\x00\x00\x00\x04Ba.1\x00\x00\x00\x01D" {
		t.Errorf("got %q", b)
	}
}

func TestAnswer(t *testing.T) {
	r, err := ParseAnswer([]byte("9b.3 hit 1840277719 inflight=7,util=0.61\nva\nlue"))
	if err != nil || string(r.ID) != "9b.3" || string(r.End) != Hit || r.Score != 1840277719 || string(r.Value) != "va\nlue" {
		t.Fatalf("%+v %v", r, err)
	}
	report, err := ParseReport(r.Report, []string{"cpu", "active", "rps"})
	if err != nil || !slices.Equal(report, []float64{0.61, 7, 0}) {
		t.Errorf("%v %v", report, err)
	}
	if r, err = ParseAnswer([]byte("9b.3 overload - -\n")); err != nil || r.Report != nil || len(r.Value) != 0 {
		t.Errorf("%+v %v", r, err)
	}
	for _, bad := range []string{"", "9b.3 hit 1 -", "9b.3 hit 1\n", " hit 1 -\n", "9b.3 maybe 1 -\n", "9b.3 hit x -\n", "9b.3 hit 1 -\na\x00b", "9b.3 hit 1 -\n\xff"} {
		if _, err := ParseAnswer([]byte(bad)); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
	if _, err := ParseReport([]byte("util"), []string{"cpu"}); err == nil {
		t.Error("a report without a value was taken")
	}
}

func frames(text string, oneByte bool) (out []string, err error) {
	var in *bufio.Scanner
	if r := strings.NewReader(text); oneByte {
		in = bufio.NewScanner(iotest.OneByteReader(r))
	} else {
		in = bufio.NewScanner(r)
	}
	in.Split(Split(20))
	for in.Scan() {
		out = append(out, in.Text())
	}
	return out, in.Err()
}

func TestSplit(t *testing.T) {
	got, err := frames("\x00\x00\x00\x01C\x00\x00\x00\x04Eabc", true)
	if err != nil || !slices.Equal(got, []string{"C", "Eabc"}) {
		t.Errorf("%q %v", got, err)
	}
	for text, want := range map[string]error{
		"\x00\x00\x00\x00":    ErrLength,
		"\x00\x00\x00\x15":    ErrLength,
		"\xff\xff\xff\xff":    ErrLength,
		"\x00\x00\x00\x04Eab": ErrCut,
		"\x00\x00":            ErrCut,
	} {
		if _, err := frames(text, false); !errors.Is(err, want) {
			t.Errorf("%q: %v, want %v", text, err, want)
		}
	}
}

// However the bytes are cut the frames are the same, and no frame passes the limit.
func FuzzSplit(f *testing.F) {
	f.Add("\x00\x00\x00\x01C\x00\x00\x00\x04Eabc")
	f.Add("\xb2\xd0\x5e\x00Ev\x00\x00\x00\x00")
	f.Fuzz(func(t *testing.T, text string) {
		a, e1 := frames(text, false)
		b, e2 := frames(text, true)
		if !slices.Equal(a, b) || (e1 == nil) != (e2 == nil) {
			t.Fatalf("%q, %v and %q, %v", a, e1, b, e2)
		}
		for _, s := range a {
			if len(s) == 0 || len(s) > 20 {
				t.Fatalf("frame %q", s)
			}
		}
	})
}

func FuzzAnswer(f *testing.F) {
	f.Add([]byte("9b.3 hit 1840277719 inflight=7,util=0.61\nvalue"))
	f.Add([]byte("9b.3 hit 1 util=nan,=,%%%\nv\x00\x00\x00\x109b.4 hit 1 -\nv"))
	f.Add([]byte("9b.3 ? -99999999999999999999 -\n\xff"))
	f.Fuzz(func(t *testing.T, rest []byte) {
		r, err := ParseAnswer(rest)
		if err != nil {
			return
		}
		if !bytes.HasSuffix(rest, r.Value) || len(r.ID) == 0 {
			t.Fatalf("%+v", r)
		}
		ParseReport(r.Report, []string{"cpu"})
	})
}
