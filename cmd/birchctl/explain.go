package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"birchcart/internal/expect"
	"birchcart/internal/schema"
	"birchcart/internal/settings"
	"birchcart/policy"
)

type explainCommand struct {
	files
	Class    string   `help:"Class of query; or --session."`
	Session  string   `help:"A session's key: what it pins, and what its clients are told." placeholder:"KEY"`
	Lanes    bool     `help:"What the lanes say of a query of --class, --tenant, --route and --mark, any of them."`
	Tenant   string   `help:"The tenant of --session or --lanes."`
	Route    string   `help:"The route of --lanes."`
	Mark     string   `help:"The mark of --lanes, as it stands in the lanes' header."`
	Snapshot string   `help:"A snapshot of the agreed state, for --session." placeholder:"FILE" type:"path"`
	Shard    int      `help:"Shard; or --square." default:"-1"`
	Square   string   `help:"A named square or section; its first shard is shown."`
	Parts    int      `help:"Parts of the query, for the part count." default:"4"`
	At       string   `help:"A moment of an expectation's situation, as 'NAME@MS'; without it all is quiet." placeholder:"NAME@MS"`
	Seed     uint64   `help:"Seed of the situation."`
	Expect   []string `help:"Files or folders of expectations that --at looks in." placeholder:"PATH" type:"path"`
}

type explained struct {
	Class      string          `json:"class"`
	Shard      int             `json:"shard"`
	Happened   []string        `json:"happened"`
	Holders    []explainHolder `json:"holders"`
	Delta      float64         `json:"delta_s"`
	Spread     float64         `json:"inverse_mu_s"`
	LateAfter  float64         `json:"late_after_s"`
	InFlight   int             `json:"parts_out"`
	Share      float64         `json:"share_l"`
	Backlog    float64         `json:"backlog"`
	Need       int             `json:"m"`
	Parts      int             `json:"k"`
	First      int             `json:"s"`
	Thresholds []string        `json:"thresholds"` // Q_m to Q_(k-1); +Inf: one more part costs nothing
}

type explainHolder struct {
	Reader     string   `json:"reader"`
	DataCentre string   `json:"data_centre"`
	Calls      int      `json:"calls_out"`
	Candidate  bool     `json:"candidate"`
	Why        []string `json:"why"`
}

func (c *explainCommand) Run(ctx context.Context, p *printer) error {
	l, err := c.load(ctx)
	if err != nil {
		return err
	}
	if c.Session != "" {
		return c.session(l, p)
	}
	if c.Lanes {
		return c.lanes(l, p)
	}
	d := l.deployment()
	class := settings.Place(l.Config.Names.Classes, c.Class)
	if class < 0 {
		return fmt.Errorf("--class: %s", schema.Unknown(c.Class, l.Config.Names.Classes))
	}
	shard := c.Shard
	if c.Square != "" {
		shards, ok := l.Operator.Shards(c.Square)
		if !ok {
			return fmt.Errorf("--square: %s", schema.Unknown(c.Square, d.Areas))
		}
		shard = shards[0]
	}
	if shard < 0 || shard >= l.Ring.Shards() {
		return fmt.Errorf("--shard: from 0 to %d is right, or --square", l.Ring.Shards()-1)
	}
	if c.Parts < 1 || c.Parts > l.Ring.Shards() {
		return fmt.Errorf("--parts: from 1 to %d is right", l.Ring.Shards())
	}
	e, at := &expect.Expectation{For: 1, Readers: &expect.Speed{}}, 1.0
	if c.At != "" {
		if e, at, err = c.situation(ctx, l); err != nil {
			return err
		}
	}
	snap := expect.At(d, e, c.Seed, at, class, shard, c.Parts)
	res := c.explained(l, &snap, shard)
	if done, err := p.value(res); done {
		return err
	}
	c.print(p, res)
	return nil
}

func (c *explainCommand) situation(ctx context.Context, l *loaded) (*expect.Expectation, float64, error) {
	i := strings.LastIndex(c.At, "@")
	if i < 0 {
		return nil, 0, fmt.Errorf("--at: %q has no @; 'NAME@MS' is right", c.At)
	}
	ms, err := strconv.ParseFloat(c.At[i+1:], 64)
	if err != nil || ms < 0 {
		return nil, 0, fmt.Errorf("--at: %q is no time in ms", c.At[i+1:])
	}
	if len(c.Expect) == 0 {
		return nil, 0, fmt.Errorf("--expect names no file in which %q could stand", c.At[:i])
	}
	all, err := c.expectations(ctx, l, c.Expect)
	if err != nil {
		return nil, 0, err
	}
	var names []string
	for _, e := range all {
		if e.Name == c.At[:i] {
			if ms > e.For {
				return nil, 0, fmt.Errorf("--at: the situation of %q ends at %g ms", e.Name, e.For)
			}
			return e.Expectation, ms, nil
		}
		names = append(names, e.Name)
	}
	return nil, 0, fmt.Errorf("--at: %s", schema.Unknown(c.At[:i], names))
}

func (c *explainCommand) explained(l *loaded, snap *expect.Snapshot, shard int) *explained {
	v := &snap.View
	res := &explained{
		Class: c.Class, Shard: shard, Happened: snap.Steps, Delta: v.Delta, Spread: v.Spread, LateAfter: v.LateAfter,
		InFlight: v.InFlight, Share: v.Share, Backlog: v.Backlog, Need: v.Need, Parts: v.Parts, First: v.First,
	}
	for _, q := range v.Thresholds {
		res.Thresholds = append(res.Thresholds, strconv.FormatFloat(q, 'g', 4, 64))
	}
	for _, h := range v.Holders {
		r, _ := l.Ring.Find(snap.Replica[h.Replica-1])
		eh := explainHolder{Reader: r.Name, DataCentre: r.DataCentre, Calls: h.Calls, Candidate: h.Candidate}
		for _, why := range []struct {
			so   bool
			text string
		}{
			{h.State == policy.Draining, "draining: the list says so"}, {h.State == policy.Removed, "gone: the list says so"},
			{h.Unavailable, "took nothing when last tried"}, {h.Suspect && !h.Unavailable, "suspect for this class: bad outcomes of late"},
			{h.ColdLimited, "cold, and has had what it may take by now"}, {h.Cold && !h.ColdLimited, "cold"},
			{h.Candidate, "fewest of our calls out among the fittest"},
		} {
			if why.so {
				eh.Why = append(eh.Why, why.text)
			}
		}
		if len(eh.Why) == 0 {
			eh.Why = append(eh.Why, "more of our calls out than another's")
		}
		res.Holders = append(res.Holders, eh)
	}
	return res
}

func (c *explainCommand) print(p *printer, res *explained) {
	for _, s := range res.Happened {
		fmt.Fprintln(p.out, s)
	}
	var rows [][]any
	for _, h := range res.Holders {
		mark := ""
		if h.Candidate {
			mark = "yes"
		}
		rows = append(rows, []any{h.Reader, h.DataCentre, h.Calls, mark, strings.Join(h.Why, "; ")})
	}
	p.table([]any{"holder of shard " + strconv.Itoa(res.Shard), "data centre", "calls out", "candidate", "why"}, rows)
	fmt.Fprintf(p.out, "class %s: Δ %.4g s, 1/μ %.4g s, late after %.4g s\n", res.Class, res.Delta, res.Spread, res.LateAfter)
	fmt.Fprintf(p.out, "part count: %d parts out, L %.4g, backlog %.4g queries; m %d, k %d, thresholds Q_m.. %s: s = %d go at first\n",
		res.InFlight, res.Share, res.Backlog, res.Need, res.Parts, "["+strings.Join(res.Thresholds, " ")+"]", res.First)
}
