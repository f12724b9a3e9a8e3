// Command pinnedworld plays fleets with pinned sessions in virtual time: many seeds at once, or one again.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"runtime/pprof"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/fleetsim/pinned"
	"birchcart/internal/fleet/migrate"
	"birchcart/internal/fleet/migrate/baseline"
)

type cli struct {
	Run    runCmd    `cmd:"" help:"Play the worlds of many seeds and say what they came to."`
	Swap   swapCmd   `cmd:"" help:"Swap all co-ordinators of a quiet fleet and print its figures."`
	Search searchCmd `cmd:"" help:"Search the small world, with all guards or without one."`
	Replay replayCmd `cmd:"" help:"Play one world again, by its seed or its printed schedule."`
}

type runCmd struct{ clockwork.Seeds }

func (c *runCmd) Run() error {
	debug.SetGCPercent(800) // worlds are small and short-lived
	begin := time.Now()
	sum := pinned.Load(c.Seeds, func(seed uint64, r pinned.Result) {
		if r.Err != nil {
			fmt.Printf("seed %d: %v\n", seed, r.Err)
		}
	})
	fmt.Printf("%s; %v of virtual time; %d entries, %d leaders, %d lines of history\n", clockwork.Pace(sum.Worlds, begin),
		sum.Virtual.Round(time.Minute), sum.Entries, sum.Changes, sum.Lines)
	fmt.Printf("%+v\n", sum.Figures)
	if n := len(sum.Broken); n > 0 {
		return fmt.Errorf("%d broken; the first again: pinnedworld replay --seed %d", n, sum.Broken[0])
	}
	return nil
}

type swapCmd struct {
	Seed         uint64        `default:"1" help:"Seed."`
	Coordinators int           `default:"300" help:"How many."`
	Sessions     int           `default:"100000" help:"How many."`
	Replicas     int           `default:"200" help:"How many."`
	Abreast      int           `default:"15" help:"Co-ordinators that go together."`
	Every        time.Duration `default:"10s" help:"Mean between two queries of a session."`
	Faults       bool          `help:"Words are lost, late and come twice, and co-ordinators are stopped for a while meanwhile."`
	Profile      string        `help:"Where to write what took CPU."`
	Within       time.Duration `help:"Give up after so long."`
	Prefer       string        `default:"" enum:",random,ring,emptiest" help:"A baseline instead of the planner's own choice."`
}

func (c *swapCmd) Run() error {
	debug.SetGCPercent(400)
	s := pinned.Swap(c.Seed, c.Coordinators, c.Sessions, c.Replicas, c.Abreast, c.Every)
	if c.Faults {
		s.Trouble()
	}
	w := pinned.New(s)
	end, err := c.watch(w)
	if err != nil {
		return err
	}
	defer end()
	w.Measure()
	w.Prefer = map[string]migrate.Prefer{"random": baseline.Random(1), "ring": baseline.Ring, "emptiest": baseline.Emptiest}[c.Prefer]
	begin := time.Now()
	r := w.Run()
	f := w.Figures
	fmt.Printf("%d co-ordinators, %d sessions, %d replicas, %d abreast, %q: in %v\n", c.Coordinators, c.Sessions, c.Replicas, c.Abreast, c.Prefer,
		time.Since(begin).Round(time.Second))
	fmt.Printf("at %v; swap done %v, stopped %v, took %v; %d moves, %.3f a session; forecast %v\n", w.Now.Round(time.Second), f.SwapDone, f.SwapStopped,
		(f.SwapEnd - f.SwapBegin).Round(time.Second), f.Moved, float64(f.Moved)/float64(c.Sessions), f.First)
	fmt.Printf("pause, ms, of %d: p50 %d, p90 %d, p99 %d, p99.9 %d, most %d\n", f.Pause.TotalCount(), f.Pause.ValueAtQuantile(50),
		f.Pause.ValueAtQuantile(90), f.Pause.ValueAtQuantile(99), f.Pause.ValueAtQuantile(99.9), f.Pause.Max())
	fmt.Printf("sessions that moved %d, without an error at a client %d (%.5f)\n", f.Sessions, f.Clean, float64(f.Clean)/float64(max(1, f.Sessions)))
	fmt.Printf("queries %d, lost %d, errors %d; served, ms: p50 %d, p99 %d, p99.9 %d, most %d\n", f.Queries, f.Lost, f.Errors,
		f.Latency.ValueAtQuantile(50), f.Latency.ValueAtQuantile(99), f.Latency.ValueAtQuantile(99.9), f.Latency.Max())
	fmt.Printf("%d entries, %d leaders, %d lines, %+v\n", r.Entries, r.Changes, r.Lines, r.Figures)
	return r.Err
}

// watch writes a profile, and ends what takes too long.
func (c *swapCmd) watch(w *pinned.World) (end func(), err error) {
	end = func() {}
	if c.Profile != "" {
		f, err := os.Create(c.Profile)
		if err != nil {
			return end, err
		}
		if err := pprof.StartCPUProfile(f); err != nil {
			return end, err
		}
		end = pprof.StopCPUProfile
	}
	if c.Within > 0 {
		w.Until = time.Now().Add(c.Within)
	}
	return end, nil
}

type searchCmd struct {
	Off   string `help:"The guard that is left out; all: each in turn; none: all guards are there."`
	Depth int    `default:"14" help:"Moves at most."`
	Most  int    `default:"200000" help:"States at most."`
	Rest  int    `default:"100" help:"Each so many-th state is brought to rest, too."`
}

func (c *searchCmd) Run() error {
	debug.SetGCPercent(1000) // copies are short-lived
	if c.Off == "" {
		f := pinned.Search("", c.Depth, c.Most, c.Rest, nil)
		fmt.Println(f)
		return f.Err
	}
	missed := 0
	for _, off := range pinned.Offs {
		if c.Off != "all" && c.Off != string(off) {
			continue
		}
		rest := 0
		if off == pinned.OffLeader {
			rest = 1
		}
		f := pinned.Search(off, c.Depth, c.Most, rest, pinned.ScopeOf(off))
		fmt.Printf("without %s: %v\n", off, f)
		if f.Err == nil {
			missed++
		}
	}
	if missed > 0 {
		return fmt.Errorf("%d of the guards are not missed", missed)
	}
	return nil
}

type replayCmd struct {
	Seed  uint64 `help:"Its seed."`
	File  string `type:"existingfile" help:"A printed schedule instead of a seed."`
	Trace bool   `help:"Print the whole history."`
}

func (c *replayCmd) Run() error {
	s := pinned.Draw(c.Seed)
	if c.File != "" {
		var err error
		if s, err = clockwork.Read[pinned.Schedule](c.File); err != nil {
			return err
		}
	}
	w := pinned.New(s)
	if c.Trace {
		w.Trace = func(line string) { fmt.Println(line) }
	}
	r := w.Run()
	fmt.Println(s)
	fmt.Printf("digest %016x, %d lines, %d entries, %d leaders, %+v\n", r.Digest, r.Lines, r.Entries, r.Changes, r.Figures)
	if r.Err != nil && !c.Trace {
		fmt.Println(strings.Join(r.Last, "\n"))
	}
	return r.Err
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("pinnedworld"), kong.Description("Fleets with pinned sessions in virtual time."), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
