package main

import (
	"fmt"
	"sync"
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/fleetsim/shedding"
)

// all plays plans, some at once, and gives each world in their order.
func all(plans []shedding.Plan, procs int) ([]*shedding.World, error) {
	worlds, errs := make([]*shedding.World, len(plans)), make([]error, len(plans))
	var wg sync.WaitGroup
	places := make(chan struct{}, max(1, procs))
	for i := range plans {
		places <- struct{}{}
		wg.Go(func() {
			worlds[i], errs[i] = shedding.Play(plans[i])
			<-places
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return worlds, nil
}

type figuresCmd struct {
	Sizes []int         `default:"10,100,300"`
	Loads []float64     `default:"1.2,1.5,2,4"`
	Ways  []string      `default:"lanes,each,quotas,even"`
	Seed  uint64        `default:"1"`
	Ramp  time.Duration `help:"Over which the load comes."`
	Procs int           `default:"2"`
}

func (c *figuresCmd) Run() error {
	var plans []shedding.Plan
	for _, n := range c.Sizes {
		for _, load := range c.Loads {
			for _, way := range c.Ways {
				p := shedding.New(n, load, c.Seed)
				p.Ramp = c.Ramp
				p.Way = shedding.Way(way)
				plans = append(plans, p)
			}
		}
	}
	return table(plans, c.Procs, func(p shedding.Plan) string { return "" })
}

// table prints a row of each plan, then what else is known of those by lanes.
func table(plans []shedding.Plan, procs int, name func(shedding.Plan) string) error {
	worlds, err := all(plans, procs)
	if err != nil {
		return err
	}
	fmt.Println(head)
	fmt.Println(line)
	for i, w := range worlds {
		fmt.Println(row(plans[i], w.Figures()), name(plans[i]))
	}
	fmt.Println("\n| co-ordinators | load | case | level | right after, s | gone after, s | swings a minute | levels differ by | spread over fifths, by lane | an account's | bytes of words a second | least of floors | most refused within guarantees |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for i, w := range worlds {
		if p, f := plans[i], w.Figures(); p.Way == shedding.Lanes {
			fmt.Printf("| %d | %.1f | %s | %.2f | %.2f | %.2f | %.1f | %.2f | %.2f, %.2f, %.2f | %.2f | %.0f | %.2f | %.3f |\n", p.Coordinators, p.Load, name(p), f.Level, f.Reaction,
				f.Recovery, f.Swings, f.Differ, f.Spread[0], f.Spread[1], f.Spread[2], f.Account, f.Bytes, f.WorstFloor, f.WorstSure)
		}
	}
	for i, w := range worlds {
		for _, b := range w.Broken {
			fmt.Printf("broken: %s %s: %s\n", plans[i], name(plans[i]), b)
		}
	}
	return nil
}

type casesCmd struct {
	N     int           `default:"30" help:"Co-ordinators."`
	Load  float64       `default:"2" help:"In the storm, of capacity."`
	Seed  uint64        `default:"1"`
	Ramp  time.Duration `help:"Over which the load comes."`
	Procs int           `default:"2"`
	Only  string        `help:"This case alone."`
	Ways  []string      `default:"lanes,each"`
}

func (c *casesCmd) Run() error {
	var plans []shedding.Plan
	var names []string
	for _, k := range shedding.Cases {
		if c.Only != "" && c.Only != k.Name {
			continue
		}
		for _, way := range c.Ways {
			p := shedding.New(c.N, c.Load, c.Seed)
			p.Ramp = c.Ramp
			p.Way = shedding.Way(way)
			k.Set(&p)
			plans, names = append(plans, p), append(names, k.Name)
		}
	}
	return table(plans, c.Procs, func(p shedding.Plan) string {
		for i := range plans {
			if clockwork.Print(plans[i]) == clockwork.Print(p) {
				return names[i]
			}
		}
		return ""
	})
}

type sweepCmd struct {
	N     int           `default:"30" help:"Co-ordinators."`
	Load  float64       `default:"2" help:"In the storm, of capacity."`
	Seed  uint64        `default:"1"`
	Lost  []int         `default:"0,30,50,70,80,90,95,98,100" help:"Hundredths of words lost."`
	Ramp  time.Duration `help:"Over which the load comes."`
	Procs int           `default:"2"`
}

func (c *sweepCmd) Run() error {
	base := shedding.New(c.N, c.Load, c.Seed)
	base.Way, base.Ramp = shedding.Each, c.Ramp
	plans := []shedding.Plan{base}
	for _, lost := range c.Lost {
		p := shedding.New(c.N, c.Load, c.Seed)
		p.Ramp = c.Ramp
		p.Steps = []clockwork.Step{{At: 2 * time.Second, For: p.For, Kind: shedding.Lose, A: lost}}
		plans = append(plans, p)
	}
	return table(plans, c.Procs, func(p shedding.Plan) string {
		if len(p.Steps) == 0 {
			return "each for itself"
		}
		return fmt.Sprintf("%d %% of words lost", p.Steps[0].A)
	})
}
