package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"golang.org/x/term"

	"birchcart/internal/standin"
)

type ogcCommand struct {
	Collections ogcCollections `cmd:"" help:"List the collections of a feature server."`
	Query       ogcQuery       `cmd:"" help:"Fetch features, page by page, as one GeoJSON collection or a table."`
	Validate    ogcValidate    `cmd:"" help:"Check a feature server against what Part 1 asks of every one."`
	Demo        ogcDemo        `cmd:"" help:"Start stand-in readers with made-up counts, a co-ordinator and the front."`
}

func (c *ogcCollections) Run(ctx context.Context, p *printer) error {
	var form struct {
		Collections []ogcCollection `json:"collections"`
	}
	if _, err := c.get(ctx, c.base()+"/collections", &form); err != nil {
		return err
	}
	if done, err := p.value(form.Collections); done {
		return err
	}
	var rows [][]any
	for _, col := range form.Collections {
		rows = append(rows, []any{col.ID, col.Title, fmt.Sprint(col.Extent.Spatial.BBox)})
	}
	p.table([]any{"collection", "title", "extent"}, rows)
	return nil
}

type ogcQuery struct {
	remote
	Collection string            `arg:"" help:"The collection."`
	BBox       string            `name:"bbox" help:"west,south,east,north"`
	Datetime   string            `help:"A time, or two with a slash between."`
	Filter     string            `help:"A filter as CQL2 text."`
	Property   map[string]string `help:"Features whose property has this value." placeholder:"NAME=VALUE"`
	Limit      int               `help:"Features of a page." default:"100"`
	Most       int               `help:"Features in all." default:"1000"`
}

type ogcItems struct {
	Features []struct {
		ID         json.RawMessage `json:"id"`
		Properties map[string]any  `json:"properties"`
	} `json:"features"`
	Raw      []json.RawMessage `json:"-"`
	Links    []ogcLink         `json:"links"`
	Complete *bool             `json:"complete"`
	Missing  []string          `json:"missingSquares"`
	Matched  *int              `json:"numberMatched"`
	Returned *int              `json:"numberReturned"`
}

// Run follows the pages. An answer that is not complete is printed and ends with status 1: what is missing is told.
func (c *ogcQuery) Run(ctx context.Context, p *printer) error {
	q := url.Values{"limit": {fmt.Sprint(c.Limit)}}
	for name, value := range map[string]string{"bbox": c.BBox, "datetime": c.Datetime, "filter": c.Filter} {
		if value != "" {
			q.Set(name, value)
		}
	}
	for name, value := range c.Property {
		q.Set(name, value)
	}
	next := c.base() + "/collections/" + url.PathEscape(c.Collection) + "/items?" + q.Encode()
	features := []json.RawMessage{}
	var rows [][]any
	complete, missing := true, []string(nil)
	shows := term.IsTerminal(int(os.Stderr.Fd()))
	for next != "" && len(features) < c.Most {
		var raw struct {
			Features []json.RawMessage `json:"features"`
		}
		var form ogcItems
		var text json.RawMessage
		if _, err := c.get(ctx, next, &text); err != nil {
			return err
		}
		if err := errors.Join(json.Unmarshal(text, &raw), json.Unmarshal(text, &form)); err != nil {
			return fmt.Errorf("%s: %w", next, err)
		}
		features = append(features, raw.Features...)
		for _, f := range form.Features {
			rows = append(rows, []any{string(f.ID), fmt.Sprint(f.Properties)})
		}
		if shows {
			fmt.Fprintf(os.Stderr, "\r%d features", len(features))
		}
		if form.Complete != nil && !*form.Complete {
			complete, missing = false, form.Missing
		}
		next = ""
		for _, l := range form.Links {
			if l.Rel == "next" {
				next = l.Href
			}
		}
	}
	if shows {
		fmt.Fprint(os.Stderr, "\r\033[K")
	}
	features = features[:min(len(features), c.Most)]
	if done, err := p.value(map[string]any{"type": "FeatureCollection", "features": features, "complete": complete, "missingSquares": missing}); done {
		if err != nil {
			return err
		}
	} else {
		p.table([]any{"id", "properties"}, rows[:min(len(rows), c.Most)])
		fmt.Fprintf(p.out, "%d features, complete: %v\n", len(features), complete)
		if !complete {
			fmt.Fprintln(p.out, "missing:", strings.Join(missing, ", "))
		}
	}
	if !complete {
		return errNotHeld
	}
	return nil
}

type ogcDemo struct {
	Listen    string        `help:"Where the feature front listens." default:"127.0.0.1:9081"`
	Readers   int           `help:"Stand-in readers." default:"6"`
	Squares   int           `help:"Squares with made-up counts." default:"30"`
	Birchcart string        `help:"The co-ordinator's program; beside this one if absent." type:"path"`
	For       time.Duration `help:"End by itself after so long; 0: when told." default:"0"`
}

// Run starts the fleet in this process and the co-ordinator as its child.
func (c *ogcDemo) Run(ctx context.Context, p *printer) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.For > 0 {
		var end context.CancelFunc
		ctx, end = context.WithTimeout(ctx, c.For)
		defer end()
	}
	if c.Readers < 3 || c.Squares < 1 || c.Squares > 1000 {
		return errors.New("at least 3 readers and from 1 to 1,000 squares")
	}
	places := make([]standin.Place, c.Squares)
	for i := range places {
		places[i] = standin.PlaceOf(i)
	}
	counts := standin.MakeCounts(2026, places, 40)
	fleet, err := standin.NewFleet(standin.FleetShape{
		Replicas: c.Readers, Cells: c.Readers, Reach: 3, Shards: c.Squares, Classes: []standin.FleetClass{
			{Name: "counts", Promise: 1, GiveUp: 3, Semantics: "repeatable", Need: 1, Floor: 0.5},
		},
	}, counts.Does)
	if err != nil {
		return err
	}
	defer fleet.Close()
	dir, err := os.MkdirTemp("", "birchcart-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	config, op := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.json")
	if err := errors.Join(os.WriteFile(config, fleet.Config("127.0.0.1:0"), 0o600), os.WriteFile(op, fleet.Operator(c.Listen), 0o600)); err != nil {
		return err
	}
	if c.Birchcart == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		c.Birchcart = filepath.Join(filepath.Dir(self), "birchcart")
	}
	cmd := exec.Command(c.Birchcart, "serve", "--config", config, "--operator", op)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("the co-ordinator (make build makes it): %w", err)
	}
	fmt.Fprintf(p.out, "%d readers with %d squares of made-up counts; see http://%s/collections/counts/items?f=html\n", c.Readers, c.Squares, c.Listen)
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		return fmt.Errorf("the co-ordinator ended: %w", err)
	case <-ctx.Done():
	}
	cmd.Process.Signal(syscall.SIGTERM)
	return <-ended
}
