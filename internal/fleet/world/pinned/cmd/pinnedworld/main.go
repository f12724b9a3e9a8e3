// Command pinnedworld plays fleets with pinned sessions in virtual time: many seeds at once, or one again.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"birchcart/internal/fleet/world/pinned"
)

type cli struct {
	Run    runCmd    `cmd:"" help:"Play the worlds of many seeds and say what they came to."`
	Replay replayCmd `cmd:"" help:"Play one world again, by its seed or its printed schedule."`
}

type runCmd struct {
	First  uint64        `default:"1" help:"First seed."`
	Count  int           `default:"1000" help:"How many."`
	Within time.Duration `help:"Stop after so long."`
}

func (c *runCmd) Run() error {
	debug.SetGCPercent(800) // worlds are small and short-lived
	begin := time.Now()
	sum := pinned.Load(c.First, c.Count, c.Within, func(seed uint64, r pinned.Result) {
		if r.Err != nil {
			fmt.Printf("seed %d: %v\n", seed, r.Err)
		}
	})
	took := time.Since(begin)
	fmt.Printf("%d worlds in %v, %.1f a second; %v of virtual time; %d entries, %d leaders, %d lines of history\n", sum.Worlds,
		took.Round(time.Second), float64(sum.Worlds)/took.Seconds(), sum.Virtual.Round(time.Minute), sum.Entries, sum.Changes, sum.Lines)
	fmt.Printf("%+v\n", sum.Figures)
	if n := len(sum.Broken); n > 0 {
		return fmt.Errorf("%d broken; the first again: pinnedworld replay --seed %d", n, sum.Broken[0])
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
		raw, err := os.ReadFile(c.File)
		if err != nil {
			return err
		}
		s = &pinned.Schedule{}
		if err := json.Unmarshal(raw, s); err != nil {
			return fmt.Errorf("%s: %w", c.File, err)
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
