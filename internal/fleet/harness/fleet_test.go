package harness

import (
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	runMost  = 150 * time.Second // of one run
	besides  = 4                 // runs at a time in the long form
	shortRun = 75 * time.Second  // of a run in CI
	shrinks  = 12                // runs at most to shrink a failure, where that is asked for
)

// program builds the co-ordinator once, as it is run.
var program = sync.OnceValues(func() (string, error) {
	if path := os.Getenv("BIRCHCART_FLEET_PROGRAM"); path != "" {
		return filepath.Abs(path)
	}
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "birchcart-fleet")
	if out, err := exec.Command("go", "build", "-o", path, "../../../cmd/birchcart-fleet").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w\n%s", err, out)
	}
	return path, nil
})

func play(t *testing.T, s *Schedule, opt Options) *Result {
	t.Helper()
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	opt.Program = path
	if opt.Dir, err = os.MkdirTemp("", "fleet-run"); err != nil {
		t.Fatal(err)
	}
	r, err := Play(opt, s)
	if err != nil {
		t.Fatalf("seed %d (%s), logs in %s: %v", s.Seed, s.Case, opt.Dir, err)
	}
	t.Logf("seed %d (%s): %v, %d grants, %d told, ended %v, %d parts of excused processes, queries %v, %.4f finished, %d met an end, slowest %v, %d late and %d unread on a busy machine, judged by load %d, turns %d, calm %d, links %+v",
		s.Seed, s.Case, r.Took.Round(time.Millisecond), r.Grants, r.Told, r.Ended, r.Late, r.Fates, r.Served, r.Closed,
		r.Slowest.Round(time.Millisecond), r.Busy, r.Unread, r.Loads, r.Turns, r.Calms, r.Tally)
	if r.Failed() {
		t.Logf("logs in %s", opt.Dir)
	} else {
		os.RemoveAll(opt.Dir)
	}
	return r
}

// The short form, which CI runs: a swap of all replicas in two of the hard cases.
func TestFleetShort(t *testing.T) {
	if testing.Short() {
		t.Skip("processes for over a minute")
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, seed := range []uint64{1, 4} {
		wg.Go(func() {
			s := NewSchedule(seed, 5)
			if r := play(t, s, Options{Replicas: true, Limit: shortRun}); r.Failed() {
				t.Errorf("replay with: make fleet SEED=%d\n%s", seed, r.Report())
			}
		})
	}
}

// seeds reads "7" or "1-48".
func seeds(text string) (out []uint64, err error) {
	first, last, ok := strings.Cut(text, "-")
	a, err := strconv.ParseUint(first, 10, 64)
	if err != nil || !ok {
		return []uint64{a}, err
	}
	b, err := strconv.ParseUint(last, 10, 64)
	for ; a <= b; a++ {
		out = append(out, a)
	}
	return out, err
}

// The long form (make fleet): seeded schedules on seven processes, each a swap of all machines under the stream. A
// failure is printed with its schedule; with BIRCHCART_FLEET_SHRINK it is shrunk first.
func TestFleet(t *testing.T) {
	text := os.Getenv("BIRCHCART_FLEET")
	if text == "" {
		t.Skip("make fleet runs it")
	}
	all, err := seeds(text)
	if err != nil {
		t.Fatal(err)
	}
	opt := Options{Replicas: true, Also: true, Limit: runMost}
	room := make(chan struct{}, besides)
	var mu sync.Mutex
	fates, failed := map[Fate]int{}, []uint64{}
	var toldIn []time.Duration
	grants, told, late, loads, turns, calms := 0, 0, 0, 0, 0, 0
	var wg sync.WaitGroup
	for _, seed := range all {
		wg.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			s := NewSchedule(seed, 7)
			r := play(t, s, opt)
			if r.Failed() && os.Getenv("BIRCHCART_FLEET_SHRINK") != "" {
				Shrink(s, shrinks, func(less *Schedule) bool {
					x := play(t, less, opt)
					if x.Failed() {
						r = x
					}
					return x.Failed()
				})
			}
			mu.Lock()
			defer mu.Unlock()
			if r.Failed() {
				failed = append(failed, seed)
				t.Errorf("replay with: make fleet SEED=%d\n%s", seed, r.Report())
			}
			for f, n := range r.Fates {
				fates[f] += n
			}
			grants, told, late, toldIn = grants+r.Grants, told+r.Told, late+r.Late, append(toldIn, r.ToldIn...)
			loads, turns, calms = loads+r.Loads, turns+r.Turns, calms+r.Calms
		})
	}
	wg.Wait()
	t.Logf("%d schedules, %d broken %v; %d grants, %d told, %d parts of excused processes; queries %v", len(all), len(failed), failed,
		grants, told, late, fates)
	t.Logf("granted to told: %s; judged by load %d, turns %d, calm %d", spread(toldIn), loads, turns, calms)
}

// spread tells of durations what is asked of them.
func spread(ds []time.Duration) string {
	if len(ds) == 0 {
		return "none"
	}
	slices.Sort(ds)
	at := func(q float64) time.Duration {
		return ds[min(len(ds)-1, int(q*float64(len(ds))))].Round(time.Millisecond)
	}
	return fmt.Sprintf("%d, least %v, p50 %v, p90 %v, p99 %v, most %v", len(ds), at(0), at(0.5), at(0.9), at(0.99), ds[len(ds)-1].Round(time.Millisecond))
}

// figures tells how many trials are wanted, if any.
func figures(t *testing.T) int {
	text := os.Getenv("BIRCHCART_FLEET_FIGURES")
	if text == "" {
		t.Skip("make fleet-figures runs it")
	}
	trials, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return trials
}

// From granted to told at several sizes, while nothing fails.
func TestFiguresTold(t *testing.T) {
	figures(t)
	in := map[int][]time.Duration{}
	for _, n := range []int{5, 15} {
		for seed := range uint64(2) {
			r := play(t, NewSchedule(seed*uint64(len(Cases)), n), Options{Replicas: true, Limit: runMost})
			if in[n] = append(in[n], r.ToldIn...); r.Failed() {
				t.Error(r.Report())
			}
		}
	}
	for _, n := range slices.Sorted(maps.Keys(in)) {
		t.Logf("granted to told at %d processes: %s", n, spread(in[n]))
	}
}

// Recovery after the leader's death.
func TestFiguresRecovery(t *testing.T) {
	trials := figures(t)
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	led, heard, err := Recoveries(Options{Program: path, Dir: t.TempDir()}, 7, trials)
	if err != nil {
		t.Error(err)
	}
	t.Logf("leader killed, until another leads: %s", spread(led))
	t.Logf("leader killed, until all living processes have heard of it: %s", spread(heard))
}
