package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"birchcart/internal/config"
	"birchcart/internal/placement"
)

type lintCommand struct {
	files
	Strict bool `help:"Keys of the configuration that nothing reads are mistakes too."`
}

// lintResult is what a deployment comes to.
type lintResult struct {
	Unknown []string   `json:"unknown_keys"`
	Shards  int        `json:"shards"`
	Losses  []lossLine `json:"losses"`
}

type lossLine struct {
	Of      string             `json:"of"`
	Count   int                `json:"count"`
	Worst   string             `json:"worst"`
	Holders int                `json:"least_holders"`
	Gone    int                `json:"shards_gone"`
	Whole   map[string]float64 `json:"whole"` // by class, the share of queries over a fifth of the shards that can be
}

func (c *lintCommand) Run(ctx context.Context, p *printer) error {
	l, err := c.load(ctx)
	if err != nil {
		return err
	}
	res := lintResult{Shards: l.Ring.Shards()}
	raw, err := os.ReadFile(l.path)
	if err != nil {
		return err
	}
	if res.Unknown, err = config.Unknown(raw); err != nil {
		return in(l.path, err)
	}
	parts := max(1, l.Ring.Shards()/5)
	for _, u := range []placement.Unit{placement.ReplicaUnit, placement.CellUnit, placement.DataCentreUnit} {
		for count := 1; count <= 2; count++ {
			losses := l.Ring.Losses(u, count)
			if len(losses) == 0 {
				continue
			}
			w := &losses[0]
			line := lossLine{Of: u.String(), Count: count, Worst: strings.Join(w.LostUnits, " and "), Holders: w.MinHolders, Gone: len(w.UncoveredShards), Whole: map[string]float64{}}
			for i, class := range l.Config.Policy.Classes {
				line.Whole[l.Config.Names.Classes[i]] = w.CompletableShare(parts, class.Need)
			}
			res.Losses = append(res.Losses, line)
		}
	}
	if done, err := p.value(res); done {
		if err == nil && c.Strict && len(res.Unknown) > 0 {
			err = errNotHeld
		}
		return err
	}
	for _, u := range res.Unknown {
		fmt.Fprintln(p.out, "nothing reads", u)
	}
	rows := [][]any{}
	for _, r := range res.Losses {
		row := []any{r.Count, r.Of, r.Worst, r.Holders, r.Gone}
		for _, class := range l.Config.Names.Classes {
			row = append(row, fmt.Sprintf("%.2f", r.Whole[class]))
		}
		rows = append(rows, row)
	}
	head := []any{"lost", "of", "the worst", "least holders", "shards gone"}
	for _, class := range l.Config.Names.Classes {
		head = append(head, "whole "+class)
	}
	p.table(head, rows)
	fmt.Fprintf(p.out, "%d replicas, %d shards, %d squares, %d sections: no mistake found. Whole: share of the queries over %d shards that can be.\n",
		len(l.Ring.Replicas()), l.Ring.Shards(), len(l.Operator.Squares), len(l.Operator.Sections), parts)
	if c.Strict && len(res.Unknown) > 0 {
		return errNotHeld
	}
	return nil
}
