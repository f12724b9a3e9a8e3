// Command fleetworld plays fleets in virtual time: many seeds at once, one again, or one that broke made smaller.
package main

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kong"

	"birchcart/internal/fleet/fleetsim"
	"birchcart/internal/fleet/fleetsim/clockwork"
)

type cli struct {
	Run    runCmd    `cmd:"" help:"Play the worlds of many seeds and say what they came to."`
	Replay replayCmd `cmd:"" help:"Play one world again, by its seed or its printed schedule."`
	Swap   swapCmd   `cmd:"" help:"Swap 200 replicas in a quiet fleet and print its figures."`
	Shrink shrinkCmd `cmd:"" help:"Look for a smaller schedule that breaks a promise too."`
	Search searchCmd `cmd:"" help:"Go through all states of a small fleet, by single faults or pairs of them."`
}

type runCmd struct{ clockwork.Seeds }

func (c *runCmd) Run() error {
	begin := time.Now()
	sum := fleetsim.Load(c.Seeds, func(seed uint64, r fleetsim.Result) {
		if r.Err != nil {
			fmt.Printf("seed %d: %v\n", seed, r.Err)
		}
	})
	fmt.Printf("%s; %v of virtual time\n", clockwork.Pace(sum.Worlds, begin), sum.Virtual.Round(time.Minute))
	sizes := make([]string, 0, len(sum.Sizes))
	for name, n := range sum.Sizes {
		sizes = append(sizes, fmt.Sprintf("%s co-ordinators: %d", name, n))
	}
	sort.Strings(sizes)
	fmt.Println(strings.Join(sizes, ", "))
	fmt.Printf("entries %d, leaders %d, grants %d, told %d, went %d, lapsed %d, failures %d, goes outside the plan %d, sends without a lease %d\n",
		sum.Entries, sum.Changes, sum.Grants, sum.Told, sum.Went, sum.Lapsed, sum.Failures, sum.Unplanned, sum.CutOffSends)
	fmt.Printf("grant to told, ms: p50 %d, p90 %d, p99 %d, most %d\n", sum.GrantToTold.ValueAtQuantile(50), sum.GrantToTold.ValueAtQuantile(90),
		sum.GrantToTold.ValueAtQuantile(99), sum.GrantToTold.Max())
	if n := len(sum.Broken); n > 0 {
		return fmt.Errorf("%d broken; the first again: fleetworld replay --seed %d", n, sum.Broken[0].Seed)
	}
	return nil
}

type which struct {
	Seed uint64 `help:"Its seed."`
	Size int    `help:"Co-ordinators; 0: as the seed says."`
	File string `type:"existingfile" help:"A printed schedule instead of a seed."`
}

func (w which) schedule() (*fleetsim.Schedule, error) {
	if w.File == "" {
		if w.Size == 0 {
			w.Size = fleetsim.Size(w.Seed)
		}
		return fleetsim.Draw(w.Seed, w.Size), nil
	}
	return clockwork.Read[fleetsim.Schedule](w.File)
}

type replayCmd struct {
	which
	Trace bool `help:"Print the whole history."`
}

func (c *replayCmd) Run() error {
	s, err := c.schedule()
	if err != nil {
		return err
	}
	w := fleetsim.New(s)
	if c.Trace {
		w.Trace = func(line string) { fmt.Println(line) }
	}
	return report(s, w.Run())
}

func report(s *fleetsim.Schedule, r fleetsim.Result) error {
	fmt.Println(s)
	fmt.Printf("digest %016x, %d lines, %d entries, %d leaders, %+v\n", r.Digest, r.Lines, r.Entries, r.Changes, r.Figures)
	if r.Err != nil {
		fmt.Println(strings.Join(r.Last, "\n"))
	}
	return r.Err
}

type shrinkCmd struct {
	which
	Most int `default:"400" help:"Worlds to play at most."`
}

func (c *shrinkCmd) Run() error {
	s, err := c.schedule()
	if err != nil {
		return err
	}
	small := fleetsim.Shrink(s, c.Most)
	return report(small, fleetsim.New(small).Run())
}

type searchCmd struct {
	Plan   string        `default:"r1" enum:",r1,c2,r0-r1" help:"What is asked for: r1, c2 (a voter), r0-r1, or, empty, r0 and its neighbours with longer times."`
	Pairs  bool          `help:"Each pair of faults instead of each alone."`
	Within time.Duration `default:"5m" help:"For each search, at most."`
}

func (c *searchCmd) Run() (err error) {
	fmt.Println("| faults | states | to depth | whole | took | broken |\n| --- | --- | --- | --- | --- | --- |")
	fleetsim.Splits(fleetsim.Plan(c.Plan), c.Pairs, c.Within, func(faults string, f fleetsim.Found) {
		broken := "0"
		if f.Err != nil {
			err = f.Err
			broken = fmt.Sprintf("%v: %s", f.Err, strings.Join(f.Trace, "; "))
		}
		fmt.Printf("| %s | %d | %d | %v | %v | %s |\n", faults, f.States, f.Depth, f.Whole, f.Took.Round(time.Second), broken)
	})
	return err
}

type swapCmd struct {
	Seed         uint64 `default:"1"`
	Coordinators int    `default:"300" help:"How many."`
	Zone         string `help:"Only the replicas of this zone, as z0."`
	OutMost      int    `default:"40" help:"Machines out at once, at most."`
	Lose         int    `default:"-1" help:"Lose all replicas and co-ordinators of the zone of this number half way, for a minute."`
}

func (c *swapCmd) Run() error {
	s := fleetsim.Swap(c.Seed, c.Coordinators, c.Zone, c.OutMost)
	if c.Lose >= 0 {
		fleetsim.LoseZone(s, c.Lose)
	}
	plan, err := fleetsim.Planned(s)
	if err != nil {
		return err
	}
	r := fleetsim.New(s).Run()
	told := hdrhistogram.New(1, 600_000, 3)
	for _, d := range r.Figures.GrantToTold {
		_ = told.RecordValue(d.Milliseconds()) // at most Until, which is within the range
	}
	f := r.Figures
	cycle := f.Cycles / time.Duration(max(f.Done, 1))
	took := f.LastDone - s.Asks[0].At
	fmt.Printf("plan: %s\n%d of them done in %v, mean from grant to done %v, bound %v (%d waves of that), over it by %.0f %%\n", plan, f.Done,
		took.Round(time.Second), cycle.Round(100*time.Millisecond), (cycle * time.Duration(plan.Bound)).Round(time.Second), plan.Bound,
		100*(float64(took)/float64(cycle*time.Duration(plan.Bound))-1))
	fmt.Printf("grant to told of %d, ms: p50 %d, p90 %d, p99 %d, most %d; %d entries, %d leaders\n", told.TotalCount(), told.ValueAtQuantile(50),
		told.ValueAtQuantile(90), told.ValueAtQuantile(99), told.Max(), r.Entries, r.Changes)
	return r.Err
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("fleetworld"), kong.Description("Fleets in virtual time."), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
