package pinned

import (
	"strings"
	"testing"
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
)

// Same seed, same bytes; and drawn worlds keep what is promised.
func TestWorlds(t *testing.T) {
	count := 40
	if testing.Short() {
		count = 8
	}
	sum := Load(clockwork.Seeds{First: 1, Count: count, Within: time.Minute}, func(seed uint64, r Result) {
		if r.Err != nil {
			t.Errorf("seed %d: %v\n%s", seed, r.Err, strings.Join(r.Last, "\n"))
		}
		if seed%5 != 1 {
			return
		}
		if again := New(Draw(seed)).Run(); again.Digest != r.Digest || again.Lines != r.Lines {
			t.Errorf("seed %d: %d lines with digest %x, and again %d with %x", seed, r.Lines, r.Digest, again.Lines, again.Digest)
		}
	})
	if f := sum.Figures; f.Served < 50*sum.Worlds || f.Moves < sum.Worlds/4 || f.Frees < sum.Worlds {
		t.Errorf("too little happens in %d worlds: %+v", sum.Worlds, f)
	}
}

// Worlds that broke by the emulator's or its checker's fault: an unsafe query that never ran, of one that stood still; a turn that came with the
// news that its client has gone.
func TestWorldsThatBroke(t *testing.T) {
	for _, seed := range []uint64{8417, 17380, 19129} {
		if r := New(Draw(seed)).Run(); r.Err != nil {
			t.Errorf("seed %d: %v", seed, r.Err)
		}
	}
}

// Two guards of the wiring are found missing by the checker within a few seeds, where processes end or are stopped often; the
// search finds them all.
func TestLoose(t *testing.T) {
	for name, c := range map[string]struct {
		loose Loose
		kind  string
	}{"answers without asking": {Loose{Unasked: true}, stepStall}, "acts at once": {Loose{Fresh: true}, stepCrash}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 40; seed++ {
				s := Draw(seed)
				s.Service, s.Every, s.Steps = 1500*time.Millisecond, 200*time.Millisecond, nil
				for i := range 4 {
					s.Steps = append(s.Steps, clockwork.Step{At: time.Duration(5+20*i) * time.Second, Kind: c.kind, A: i, For: 100 * time.Millisecond})
					if c.kind == stepStall {
						s.Steps[i].For = s.Limits.SilentFor() + 3*time.Second
					}
				}
				s.End = s.Healed() + QuietFor
				w := New(s)
				w.Loose = c.loose
				if r := w.Run(); r.Err != nil {
					t.Logf("seed %d: %v", seed, r.Err)
					return
				}
				if r := New(s).Run(); r.Err != nil {
					t.Errorf("seed %d, with all guards: %v", seed, r.Err)
				}
			}
			t.Errorf("nothing is broken in 40 seeds")
		})
	}
}

// Clients that ask once more what was served, while all co-ordinators go in turn: each is told at once, most often at the next owner, and
// nothing runs twice.
func TestRepeated(t *testing.T) {
	s := Swap(1, 5, 300, 4, 1, time.Second)
	s.Repeat, s.Steps[0].At = true, 8*time.Second
	w := New(s)
	r := w.Run()
	if f := w.Figures; r.Err != nil || !f.SwapDone || f.Repeated < 500 || f.Elsewhere < 30 {
		t.Errorf("%v: %d repeated, %d of them elsewhere, %d moves, done %t\n%s", r.Err, f.Repeated, f.Elsewhere, f.Moved, f.SwapDone, strings.Join(r.Last, "\n"))
	} else {
		t.Logf("%d repeated, %d of them elsewhere, %d moves", f.Repeated, f.Elsewhere, f.Moved)
	}
}
