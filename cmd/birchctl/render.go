package main

import (
	"context"
	"fmt"
	"os"

	"birchcart/internal/operator"
	"birchcart/internal/template"
)

type renderCommand struct {
	File string            `arg:"" help:"The operators' file." type:"path"`
	To   string            `help:"Write there, whole or not at all; to the standard output if absent." placeholder:"FILE" type:"path"`
	Var  map[string]string `help:"External variables of the templates." placeholder:"NAME=VALUE"`
}

func (c *renderCommand) Run(ctx context.Context) error {
	raw, err := template.Render(ctx, template.Source{Path: c.File, Vars: c.Var})
	if err != nil {
		return err
	}
	if _, err := operator.Read(raw); err != nil {
		return in(c.File, err)
	}
	if c.To == "" {
		_, err = os.Stdout.Write(raw)
		return err
	}
	// Beside it first: a co-ordinator that reads the file meanwhile sees the old or the new one.
	half := c.To + ".new"
	if err := os.WriteFile(half, raw, 0o644); err != nil {
		return err
	}
	if err := os.Rename(half, c.To); err != nil {
		os.Remove(half)
		return fmt.Errorf("%s is left as it was: %w", c.To, err)
	}
	return nil
}
