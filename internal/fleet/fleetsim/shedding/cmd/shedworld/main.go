// Command shedworld plays fleets that shed load, in virtual time, by lanes and by ways that know less.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/fleetsim/shedding"
)

var cli struct {
	Run     runCmd     `cmd:"" help:"Play one history and tell its figures."`
	Replay  replayCmd  `cmd:"" help:"Play a printed plan again."`
	Cases   casesCmd   `cmd:"" help:"The hard cases."`
	Sweep   sweepCmd   `cmd:"" help:"How much news may be lost before lanes are worse than each for itself."`
	Figures figuresCmd `cmd:"" help:"Tables of sizes, loads and ways."`
	Plots   plotsCmd   `cmd:"" help:"Draw level and worth over time."`
}

func main() {
	ctx := kong.Parse(&cli)
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

type runCmd struct {
	N        int           `default:"10" help:"Co-ordinators."`
	Load     float64       `default:"1.5" help:"In the storm, of capacity."`
	Seed     uint64        `default:"1"`
	Way      shedding.Way  `default:"lanes" enum:"lanes,each,quotas,even"`
	Shape    string        `help:"Of the load: steps, hot, flood, all premium."`
	Replicas int           `help:"0: by the number of co-ordinators."`
	Premium  float64       `default:"0.8" help:"What the first lane asks, of its guarantees."`
	For      time.Duration `default:"46s" help:"Virtual time."`
	Ramp     time.Duration `help:"Over which the load comes."`
	History  bool          `help:"Print it."`
	Plan     bool          `help:"Print the plan alone."`
}

func (c *runCmd) plan() shedding.Plan {
	p := shedding.New(c.N, c.Load, c.Seed)
	p.Way, p.Shape, p.For, p.Premium, p.Ramp = c.Way, c.Shape, c.For, c.Premium, c.Ramp
	if c.Replicas > 0 {
		p.Replicas = c.Replicas
	}
	return p
}

func (c *runCmd) Run() error {
	if c.Plan {
		fmt.Println(clockwork.Print(c.plan()))
		return nil
	}
	return play(c.plan(), c.History)
}

type replayCmd struct {
	File    string `arg:"" type:"existingfile"`
	History bool   `help:"Print it."`
}

func (c *replayCmd) Run() error {
	p, err := clockwork.Read[shedding.Plan](c.File)
	if err != nil {
		return err
	}
	return play(*p, c.History)
}

func play(p shedding.Plan, history bool) error {
	begin := time.Now()
	w, err := shedding.Play(p)
	if err != nil {
		return err
	}
	if history {
		for _, h := range w.History() {
			fmt.Printf("%6.2f level %.3f [%.3f %.3f] asked %.2f %.2f %.2f in time %.2f %.2f %.2f shed %.2f refused %.2f bears %.2f pressure %.3f known %.2f\n", h.At,
				h.Level, h.Low, h.High, h.Asked[0], h.Asked[1], h.Asked[2], h.InTime[0], h.InTime[1], h.InTime[2], h.Shed, h.Refused, h.Bears, h.Pressure, h.Known)
		}
	}
	f := w.Figures()
	fmt.Println(p)
	fmt.Println(head)
	fmt.Println(line)
	fmt.Println(row(p, f))
	fmt.Printf("level %.3f, right after %.2f s, gone after %.2f s, swings %.1f a minute, differ %.3f, spread %.2f, an account's %.2f, %.0f bytes of words a second, L1 %.2f, L2 %.3f\n",
		f.Level, f.Reaction, f.Recovery, f.Swings, f.Differ, f.Spread, f.Account, f.Bytes, f.WorstFloor, f.WorstSure)
	for i, e := range f.Ends {
		fmt.Printf("lane %d: %+v\n", i, e)
	}
	for _, b := range w.Broken {
		fmt.Println("broken:", b)
	}
	fmt.Fprintf(os.Stderr, "%v\n", time.Since(begin).Round(time.Millisecond))
	return nil
}

const (
	head = "| co-ordinators | load | way | premium within its guarantee, of calm | from 5 s on | lanes in time of asked | of their floors | worth, of capacity | broken |"
	line = "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)

func row(p shedding.Plan, f shedding.Figures) string {
	return fmt.Sprintf("| %d | %.1f | %s | %.3f, %.3f | %.3f | %.2f, %.2f, %.2f | %.1f, %.1f, %.1f | %.3f | %d |", p.Coordinators, p.Load, p.Way,
		f.Premium, f.Premium/f.PremiumCalm, f.Settled, f.Lane[0], f.Lane[1], f.Lane[2], f.Floor[0], f.Floor[1], f.Floor[2], f.Worth, f.Broken)
}
