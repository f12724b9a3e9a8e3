// Command sessionplots simulates rolling swaps of co-ordinators in virtual time, with the planner and with baselines that know
// less, prints a table of the results and draws plots.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/alecthomas/kong"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"birchcart/internal/fleet/migrate"
	"birchcart/internal/fleet/migrate/baseline"
	"birchcart/internal/fleet/migrate/swap"
)

var flags struct {
	Out   string `default:"docs/plots" help:"Folder for the drawings."`
	Sizes []int  `default:"10,30,100,300" help:"Numbers of co-ordinators."`
	Large bool   `help:"Play 100,000 sessions beside 2,000: some minutes of CPU more."`
	Only  string `help:"Draw this site alone."`
	Procs int    `default:"2" help:"Swaps played at once."`
}

// strategy is a way of choosing a receiver.
type strategy struct {
	name   string
	prefer migrate.Prefer
}

var strategies = []strategy{
	{"planner", nil},
	{"emptiest, no look ahead", baseline.Emptiest},
	{"random", baseline.Random(1)},
	{"next in the ring", baseline.Ring},
}

// scenario is one plot: a number of sessions and their layout.
type scenario struct {
	name, title string
	configure   func(*swap.Settings)
	large       bool
}

var scenarios = []scenario{
	{"even-2000", "2,000 sessions, even, one out at a time", func(*swap.Settings) {}, false},
	{"uneven-2000", "2,000 sessions, uneven, one out at a time", func(s *swap.Settings) { s.Uneven = true }, false},
	{"tenth-2000", "2,000 sessions, uneven, a tenth out at a time", func(s *swap.Settings) { s.Uneven, s.WaveSize = true, s.Coordinators/10 }, false},
	{"uneven-100000", "100,000 sessions, uneven, one out at a time", func(s *swap.Settings) {
		s.Uneven, s.Sessions, s.InFlight, s.PerMinute = true, 100_000, 1000, 20_000
	}, true},
}

func main() {
	kong.Parse(&flags)
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	fmt.Println("| site | co-ordinators | way | moves a session | lower bound | took | stay in their zone |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, s := range scenarios {
		if flags.Only != "" && s.name != flags.Only || flags.Only == "" && s.large && !flags.Large {
			continue
		}
		results, err := runScenario(s)
		if err != nil {
			return err
		}
		for i, n := range flags.Sizes {
			for k, w := range strategies {
				r := results[i*len(strategies)+k]
				fmt.Printf("| %s | %d | %s | %.3f | %.3f | %v | %.0f %% |\n", s.title, n, w.name, r.MovesPerSession, lowerBound(r), r.Duration, 100*zoneShare(r))
			}
		}
		if err := draw(s, "moves", "moves a session", results, func(r swap.Result) float64 { return r.MovesPerSession }); err != nil {
			return err
		}
		if err := draw(s, "time", "minutes", results, func(r swap.Result) float64 { return r.Duration.Minutes() }); err != nil {
			return err
		}
	}
	return nil
}

// lowerBound returns the lower bound on moves per session.
func lowerBound(r swap.Result) float64 { return float64(r.Bound) / float64(r.Sessions) }

// zoneShare returns the share of sessions that end in the zone where they began.
func zoneShare(r swap.Result) float64 { return float64(r.SameZone) / float64(r.Sessions) }

// runScenario returns the results of a scenario by number of co-ordinators, then by strategy.
func runScenario(s scenario) ([]swap.Result, error) {
	results, errs := make([]swap.Result, len(flags.Sizes)*len(strategies)), make([]error, len(flags.Sizes)*len(strategies))
	var runs sync.WaitGroup
	semaphore := make(chan struct{}, max(1, flags.Procs))
	for i := range results {
		settings := swap.Settings{Coordinators: flags.Sizes[i/len(strategies)], Sessions: 2000, CapacityFactor: 2, WaveSize: 1, Zones: 3, Outage: 30 * time.Second,
			InFlight: 200, PerMinute: 6000, IdlePercent: 60, Prefer: strategies[i%len(strategies)].prefer}
		s.configure(&settings)
		runs.Go(func() {
			semaphore <- struct{}{}
			results[i], errs[i] = swap.Run(settings)
			<-semaphore
		})
	}
	runs.Wait()
	for i, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("%s, %d co-ordinators, %s: %w", s.title, flags.Sizes[i/len(strategies)], strategies[i%len(strategies)].name, err)
		}
	}
	return results, nil
}

// sizeTicks puts the ticks of the axis at the simulated numbers of co-ordinators.
type sizeTicks []int

func (s sizeTicks) Ticks(_, _ float64) []plot.Tick {
	out := make([]plot.Tick, len(s))
	for i, n := range s {
		out[i] = plot.Tick{Value: float64(n), Label: strconv.Itoa(n)}
	}
	return out
}

func draw(s scenario, what, axis string, results []swap.Result, value func(swap.Result) float64) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = s.title, "co-ordinators", axis
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, sizeTicks(flags.Sizes)
	p.Legend.Top, p.Legend.Left = true, true
	if what == "moves" {
		p.Y.Min, p.Y.Max = 0.9, 2.6
	} else {
		p.Y.Min = 0
	}
	p.Add(plotter.NewGrid())
	line := func(i int, name string, of func(row int) float64) error {
		points := make(plotter.XYs, len(flags.Sizes))
		for row, n := range flags.Sizes {
			points[row] = plotter.XY{X: float64(n), Y: of(row)}
		}
		l, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		l.Color, l.Dashes, l.Width = plotutil.Color(i), plotutil.Dashes(i), vg.Points(1.5)
		marks.Color, marks.Shape = plotutil.Color(i), plotutil.Shape(i)
		p.Add(l, marks)
		p.Legend.Add(name, l, marks)
		return nil
	}
	for k, w := range strategies {
		if err := line(k, w.name, func(row int) float64 { return value(results[row*len(strategies)+k]) }); err != nil {
			return err
		}
	}
	if what == "moves" {
		if err := line(len(strategies), "lower bound", func(row int) float64 { return lowerBound(results[row*len(strategies)]) }); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(flags.Out, 0o755); err != nil {
		return err
	}
	return p.Save(6*vg.Inch, 4*vg.Inch, filepath.Join(flags.Out, fmt.Sprintf("session-%s-%s.svg", what, s.name)))
}
