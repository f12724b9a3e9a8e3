package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"birchcart/internal/record"
)

type recordCommand struct {
	Show      recordShow      `cmd:"" help:"Sum up a recording."`
	Cut       recordCut       `cmd:"" help:"Copy the records of a span of time."`
	Anonymise recordAnonymise `cmd:"" help:"Copy a recording without the names of tenants and of the node, and with its shards renumbered."`
}

// each reads a recording to its end.
func each(path string, do func(*record.Record) error) (skipped int64, err error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	r, err := record.NewReader(f)
	if err != nil {
		return 0, err
	}
	for {
		rec, err := r.Next()
		if err == io.EOF {
			return r.Skipped, nil
		}
		if err == nil {
			err = do(rec)
		}
		if err != nil {
			return r.Skipped, fmt.Errorf("%s: %w", path, err)
		}
	}
}

type recordShow struct {
	File string `arg:"" help:"The recording." type:"path"`
}

type recordSum struct {
	Node    string         `json:"node"`
	Start   string         `json:"start"`
	Seconds float64        `json:"seconds"`
	Queries map[string]int `json:"queries"` // by class
	Ends    map[string]int `json:"ends"`
	Parts   int            `json:"parts"`
	Lost    int            `json:"lost"`
	Skipped int64          `json:"damaged_bytes"`
}

// Run sums up; status 1 if records are lost or damaged.
func (c *recordShow) Run(p *printer) error {
	s := recordSum{Queries: map[string]int{}, Ends: map[string]int{}}
	var err error
	s.Skipped, err = each(c.File, func(r *record.Record) error {
		s.Seconds = max(s.Seconds, float64(r.Micros)/1e6)
		switch r.Kind {
		case "start":
			s.Node, s.Start = r.Node, r.At
		case "query":
			s.Queries[r.Class]++
			s.Parts += len(r.Shards)
		case "end":
			s.Ends[r.Status]++
		case "lost":
			s.Lost += r.Count
		}
		return nil
	})
	if err != nil {
		return err
	}
	done, err := p.value(s)
	if err != nil {
		return err
	}
	if !done {
		fmt.Fprintf(p.out, "node %s, from %s, %.1f s\n", s.Node, s.Start, s.Seconds)
		rows := [][]any{}
		for _, class := range slices.Sorted(maps.Keys(s.Queries)) {
			rows = append(rows, []any{"queries of " + class, s.Queries[class]})
		}
		for _, status := range slices.Sorted(maps.Keys(s.Ends)) {
			rows = append(rows, []any{"ended " + status, s.Ends[status]})
		}
		p.table([]any{"what", "how many"}, append(rows, []any{"parts", s.Parts}, []any{"records lost", s.Lost}, []any{"damaged bytes", s.Skipped}))
	}
	if s.Lost > 0 || s.Skipped > 0 {
		return errNotHeld
	}
	return nil
}

// copyRecords writes what change lets through to a new file.
func copyRecords(from, to string, node func(string) string, change func(*record.Record) bool) error {
	f, err := os.OpenFile(to, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	var w *record.Writer
	_, err = each(from, func(r *record.Record) error {
		if r.Kind == "start" {
			at, err := time.Parse(time.RFC3339Nano, r.At)
			if err == nil && w == nil {
				w = record.NewWriter(f, node(r.Node), at)
			}
			return err
		}
		if w == nil {
			return errors.New("its start is missing")
		}
		if change(r) {
			w.PutAll(*r)
		}
		return nil
	})
	if w != nil {
		err = errors.Join(err, w.Close(time.Minute))
	}
	return err
}

type recordCut struct {
	File string        `arg:"" help:"The recording." type:"path"`
	To   string        `arg:"" help:"The copy; it must not exist." type:"path"`
	From time.Duration `help:"From so long after the start."`
	For  time.Duration `help:"For so long." default:"1h"`
}

// Run keeps the queries that came in the span, with their ends whenever those are.
func (c *recordCut) Run() error {
	kept := map[uint64]bool{}
	return copyRecords(c.File, c.To, func(n string) string { return n }, func(r *record.Record) bool {
		at := time.Duration(r.Micros) * time.Microsecond
		within := at >= c.From && at < c.From+c.For
		switch r.Kind {
		case "query":
			if within {
				kept[r.Number] = true
			}
			return within
		case "end":
			has := kept[r.Number]
			delete(kept, r.Number)
			return has
		}
		return within
	})
}

type recordAnonymise struct {
	File string `arg:"" help:"The recording." type:"path"`
	To   string `arg:"" help:"The copy; it must not exist." type:"path"`
}

func (c *recordAnonymise) Run() error {
	most := 0
	if _, err := each(c.File, func(r *record.Record) error {
		for _, s := range r.Shards {
			most = max(most, s)
		}
		return nil
	}); err != nil {
		return err
	}
	shards := rand.Perm(most + 1) // drawn anew each time, and kept nowhere
	tenants := map[string]string{}
	return copyRecords(c.File, c.To, func(string) string { return "node" }, func(r *record.Record) bool {
		for i, s := range r.Shards {
			r.Shards[i] = shards[s]
		}
		if r.Tenant != "" {
			if tenants[r.Tenant] == "" {
				tenants[r.Tenant] = fmt.Sprintf("tenant-%d", len(tenants)+1)
			}
			r.Tenant = tenants[r.Tenant]
		}
		return true
	})
}
