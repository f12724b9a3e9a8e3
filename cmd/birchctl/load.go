package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"birchcart/internal/config"
	"birchcart/internal/deployment"
	"birchcart/internal/expect"
	"birchcart/internal/operator"
	"birchcart/internal/template"
)

// files says which deployment is meant.
type files struct {
	Operator string            `help:"The operators' file, Jsonnet or JSON." placeholder:"FILE" type:"path"`
	Config   string            `help:"The platform's configuration, JSON; the one that the operators' file names if absent." placeholder:"FILE" type:"path" env:"EDGE_CONFIG"`
	Var      map[string]string `help:"External variables of the templates." placeholder:"NAME=VALUE"`
}

// loaded is a deployment as read.
type loaded struct {
	*deployment.Deployment
	path string // of the configuration
}

// load reads the files and checks them, each by itself and then together; the error tells what is wrong in all.
func (f *files) load(ctx context.Context) (*loaded, error) {
	var op *operator.File
	var wrong []error
	path := f.Config
	if f.Operator != "" {
		raw, err := template.Render(ctx, template.Source{Path: f.Operator, Vars: f.Var})
		if err != nil {
			return nil, err
		}
		if op, err = operator.Read(raw); err != nil {
			wrong = append(wrong, in(f.Operator, err))
		}
		if path == "" && op != nil && op.Config != "" {
			path = filepath.Join(filepath.Dir(f.Operator), op.Config)
		}
	}
	if path == "" {
		wrong = append(wrong, errors.New("no configuration: --config names none, nor does an operators' file given by --operator"))
		return nil, errors.Join(wrong...)
	}
	cfg, err := config.Load(config.Source{Path: path})
	if err != nil {
		return nil, errors.Join(append(wrong, in(path, err))...)
	}
	d, err := deployment.Check(cfg, nil)
	if err != nil {
		wrong = append(wrong, in(path, err))
	}
	if len(wrong) == 0 && op != nil {
		if d, err = deployment.Check(cfg, op); err != nil {
			wrong = append(wrong, in(f.Operator, err))
		}
	}
	return &loaded{d, path}, errors.Join(wrong...)
}

// in puts the file before each line of an error.
func in(path string, err error) error {
	lines := strings.Split(err.Error(), "\n")
	for i := range lines {
		lines[i] = path + ": " + lines[i]
	}
	return errors.New(strings.Join(lines, "\n"))
}

// deployment is what expectations are checked against.
func (l *loaded) deployment() *expect.Deployment {
	return &expect.Deployment{
		Config: l.Config.Policy, Names: l.Config.Names, Ring: l.Ring, Routes: l.Routes, Area: l.Operator.Shards,
		Areas: slices.Concat(slices.Sorted(maps.Keys(l.Operator.Squares)), slices.Sorted(maps.Keys(l.Operator.Sections))),
	}
}

// expectations reads files, and all of those in folders.
func (f *files) expectations(ctx context.Context, l *loaded, paths []string) ([]located, error) {
	var names []string
	for _, p := range paths {
		info, err := os.Stat(p)
		switch {
		case err != nil:
			return nil, err
		case !info.IsDir():
			names = append(names, p)
			continue
		}
		before := len(names)
		err = filepath.WalkDir(p, func(path string, e fs.DirEntry, err error) error {
			if err == nil && !e.IsDir() && strings.HasSuffix(path, ".jsonnet") {
				names = append(names, path)
			}
			return err
		})
		if err != nil {
			return nil, err
		}
		if len(names) == before {
			return nil, fmt.Errorf("%s: no .jsonnet file in it", p)
		}
	}
	d := l.deployment()
	var out []located
	var wrong []error
	for _, name := range names {
		raw, err := template.Render(ctx, template.Source{Path: name, Root: f.root(name), Vars: f.Var})
		if err != nil {
			wrong = append(wrong, err)
			continue
		}
		file, err := expect.Read(raw, d)
		if err != nil {
			wrong = append(wrong, in(name, err))
			continue
		}
		text, _ := os.ReadFile(name)
		for _, e := range file.Expectations {
			out = append(out, located{e, name, lineOf(string(text), e.Name)})
		}
	}
	return out, errors.Join(wrong...)
}

// root is the folder that a file of expectations may import from: that of the operators' file, if it lies below.
func (f *files) root(name string) string {
	dir := filepath.Dir(f.Operator)
	if rel, err := filepath.Rel(dir, name); f.Operator != "" && err == nil && filepath.IsLocal(rel) {
		return dir
	}
	return ""
}

// located is an expectation with its place.
type located struct {
	*expect.Expectation
	file string
	line int // 0 if a template made its name up
}

func (l *located) place() string {
	if l.line == 0 {
		return l.file
	}
	return fmt.Sprintf("%s:%d", l.file, l.line)
}

// lineOf finds where a name is written. A template may put it together: then the line that has its longest beginning.
func lineOf(text, name string) int {
	for least := len(name); least >= 6; least-- {
		for _, quote := range []string{"'", `"`} {
			if i := strings.Index(text, quote+name[:least]); i >= 0 {
				return 1 + strings.Count(text[:i], "\n")
			}
		}
	}
	return 0
}
