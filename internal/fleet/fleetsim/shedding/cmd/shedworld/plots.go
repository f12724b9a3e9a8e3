package main

import (
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"birchcart/internal/fleet/fleetsim/shedding"
)

type plotsCmd struct {
	N     int       `default:"100" help:"Co-ordinators."`
	Loads []float64 `default:"1.5,4"`
	Seed  uint64    `default:"1"`
	Out   string    `default:"docs/plots" help:"Folder for the drawings."`
	Procs int       `default:"2"`
}

func (c *plotsCmd) Run() error {
	var plans []shedding.Plan
	for _, load := range c.Loads {
		for _, way := range shedding.Ways {
			p := shedding.New(c.N, load, c.Seed)
			p.Way = way
			plans = append(plans, p)
		}
	}
	worlds, err := all(plans, c.Procs)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	for i, load := range c.Loads {
		of := worlds[i*len(shedding.Ways) : (i+1)*len(shedding.Ways)]
		name := func(what string) string {
			return filepath.Join(c.Out, fmt.Sprintf("lanes-%s-%d-%.1f.svg", what, c.N, load))
		}
		title := fmt.Sprintf("%d co-ordinators, %.1f x of capacity from 14 to 36 s (emulated)", c.N, load)
		lanes := of[0].History()
		if err := draw(name("level"), title, "level", []series{
			{"mean", lanes, func(m shedding.Moment) float64 { return m.Level }},
			{"lowest", lanes, func(m shedding.Moment) float64 { return m.Low }},
			{"highest", lanes, func(m shedding.Moment) float64 { return m.High }},
		}); err != nil {
			return err
		}
		var first, whole []series
		for k, way := range shedding.Ways {
			first = append(first, series{string(way), of[k].History(), func(m shedding.Moment) float64 { return m.InTime[0] }})
			whole = append(whole, series{string(way), of[k].History(), func(m shedding.Moment) float64 { return m.InTime[0] + m.InTime[1] + m.InTime[2] }})
		}
		if err := draw(name("premium"), title, "premium in time, of capacity", first); err != nil {
			return err
		}
		if err := draw(name("worth"), title, "in time, of capacity", whole); err != nil {
			return err
		}
	}
	return nil
}

type series struct {
	name  string
	of    []shedding.Moment
	value func(shedding.Moment) float64
}

// draw draws means over a second.
func draw(file, title, axis string, all []series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", axis
	p.Y.Min, p.Legend.Top = 0, true
	p.Add(plotter.NewGrid())
	for i, s := range all {
		var points plotter.XYs
		for k := 0; k+4 <= len(s.of); k += 4 {
			sum := 0.0
			for _, m := range s.of[k : k+4] {
				sum += s.value(m) / 4
			}
			points = append(points, plotter.XY{X: s.of[k+3].At, Y: sum})
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		l.Color, l.Dashes, l.Width = plotutil.Color(i), plotutil.Dashes(i), vg.Points(1.2)
		p.Add(l)
		p.Legend.Add(s.name, l)
	}
	return p.Save(6*vg.Inch, 3.5*vg.Inch, file)
}
