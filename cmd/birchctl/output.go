package main

import (
	"encoding/json"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
)

// printer prints results the one way or the other.
type printer struct {
	json bool
	out  io.Writer
}

// value prints v as JSON, if that is asked for, and tells whether it was.
func (p *printer) value(v any) (bool, error) {
	if !p.json {
		return false, nil
	}
	enc := json.NewEncoder(p.out)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	return true, enc.Encode(v)
}

// table prints rows under a head.
func (p *printer) table(head []any, rows [][]any) {
	t := table.NewWriter()
	t.SetOutputMirror(p.out)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(head)
	for _, r := range rows {
		t.AppendRow(r)
	}
	t.Render()
}
