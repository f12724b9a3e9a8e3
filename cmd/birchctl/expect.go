package main

import (
	"context"
	"encoding/xml"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jstemmer/go-junit-report/v2/junit"
	"golang.org/x/term"

	"birchcart/internal/expect"
)

type expectCommand struct {
	files
	Paths []string      `arg:"" optional:"" help:"Files of expectations, or folders of them; the folder expect beside the operators' file if absent." type:"path"`
	List  bool          `help:"List the expectations and stop."`
	Match string        `name:"run" help:"Only those whose name matches." placeholder:"REGEXP"`
	Seed  *uint64       `help:"This seed alone."`
	Seeds int           `help:"So many seeds each, whatever is written."`
	Jobs  int           `help:"How many run at once; one a processor if absent."`
	JUnit string        `name:"junit" help:"Write the results there too, as JUnit XML." placeholder:"FILE" type:"path"`
	Find  time.Duration `name:"search" help:"After that, search for so long for situations beyond what is written that break a rule, or a claim that says it holds whatever comes." placeholder:"DURATION"`
}

// outcome is an expectation's result as printed.
type outcome struct {
	Name   string   `json:"name"`
	Place  string   `json:"place"`
	State  string   `json:"state"` // held, broken or vacuous
	Seeds  int      `json:"seeds"`
	Broken int      `json:"broken_seeds"`
	Sends  int      `json:"parts_sent"`
	Faults []fault  `json:"faults,omitempty"`
	Found  *found   `json:"found,omitempty"` // by the search
	Took   duration `json:"-"`
}

type duration = time.Duration

type fault struct {
	Claim string   `json:"claim"`
	Text  string   `json:"text"`
	Seed  uint64   `json:"seed"`
	Line  []string `json:"time_line,omitempty"`
}

type found struct {
	fault
	Steps []string `json:"steps"`
}

func (c *expectCommand) Run(ctx context.Context, p *printer) error {
	l, err := c.load(ctx)
	if err != nil {
		return err
	}
	if len(c.Paths) == 0 {
		if c.Operator == "" {
			return errors.New("no expectations: neither a path nor --operator is given")
		}
		c.Paths = []string{filepath.Join(filepath.Dir(c.Operator), "expect")}
	}
	all, err := c.expectations(ctx, l, c.Paths)
	if err != nil {
		return err
	}
	if all, err = c.matching(all); err != nil {
		return err
	}
	if c.List {
		return c.list(p, all)
	}
	began := time.Now()
	results, err := c.judge(ctx, l.deployment(), all)
	if err != nil {
		return err
	}
	if c.Find > 0 {
		c.search(ctx, l.deployment(), all, results)
	}
	if c.JUnit != "" {
		if err := c.writeJUnit(results); err != nil {
			return err
		}
	}
	held, runs := 0, 0
	for _, r := range results {
		if r.State == "held" {
			held++
		}
		runs += r.Seeds
	}
	if done, err := p.value(results); done {
		if err != nil {
			return err
		}
	} else {
		for _, r := range results {
			r.print(p)
		}
		fmt.Fprintf(p.out, "%d of %d expectations held, %d runs in %v\n", held, len(results), runs, time.Since(began).Round(time.Millisecond))
	}
	if held < len(results) {
		return errNotHeld
	}
	return nil
}

func (c *expectCommand) matching(all []located) ([]located, error) {
	if c.Match == "" {
		return all, nil
	}
	re, err := regexp.Compile(c.Match)
	if err != nil {
		return nil, fmt.Errorf("--run: %w", err)
	}
	var out []located
	for _, e := range all {
		if re.MatchString(e.Name) {
			out = append(out, e)
		}
	}
	if len(out) == 0 { // nothing checked must not look like all held
		return nil, fmt.Errorf("--run: no expectation's name matches %q", c.Match)
	}
	return out, nil
}

func (c *expectCommand) list(p *printer, all []located) error {
	type line struct {
		Name  string `json:"name"`
		Place string `json:"place"`
		Seeds int    `json:"seeds"`
		Note  string `json:"note"`
	}
	var lines []line
	var rows [][]any
	for i := range all {
		e := &all[i]
		lines = append(lines, line{e.Name, e.place(), e.Seeds, e.Note})
		rows = append(rows, []any{e.Name, e.place(), e.Seeds})
	}
	if done, err := p.value(lines); done {
		return err
	}
	p.table([]any{"expectation", "place", "seeds"}, rows)
	return nil
}

// judge runs every expectation at every seed, spread over the processors; the result does not depend on how.
func (c *expectCommand) judge(ctx context.Context, d *expect.Deployment, all []located) ([]*outcome, error) {
	type job struct {
		e    int
		seed uint64
	}
	verdicts := make([][]expect.Verdict, len(all))
	total := 0
	for i := range all {
		n := all[i].Seeds
		if c.Seeds > 0 {
			n = c.Seeds
		}
		if c.Seed != nil || len(all[i].Load) == 0 { // with no queries nothing is drawn
			n = 1
		}
		verdicts[i] = make([]expect.Verdict, n)
		total += n
	}
	jobs := make(chan job, 64)
	var done atomic.Int64
	var wg sync.WaitGroup
	for range c.workers() {
		wg.Go(func() {
			for j := range jobs {
				seed := j.seed
				if c.Seed != nil {
					seed = *c.Seed
				}
				verdicts[j.e][j.seed] = expect.Judge(d, all[j.e].Expectation, seed)
				done.Add(1)
			}
		})
	}
	stop := progress(&done, total)
	for i := range all {
		for s := range verdicts[i] {
			if ctx.Err() == nil {
				jobs <- job{i, uint64(s)}
			}
		}
	}
	close(jobs)
	wg.Wait()
	stop()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	var out []*outcome
	for i := range all {
		s := expect.Sum(all[i].Expectation, verdicts[i])
		out = append(out, result(&all[i], &s))
	}
	return out, nil
}

func (c *expectCommand) workers() int {
	if c.Jobs > 0 {
		return c.Jobs
	}
	return runtime.GOMAXPROCS(0)
}

// progress shows how far it is on a terminal, and nothing elsewhere.
func progress(done *atomic.Int64, total int) (stop func()) {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return func() {}
	}
	end := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-end:
				fmt.Fprint(os.Stderr, "\r\033[K")
				return
			case <-time.After(100 * time.Millisecond):
				fmt.Fprintf(os.Stderr, "\r%d of %d runs", done.Load(), total)
			}
		}
	})
	return func() { close(end); wg.Wait() }
}

func result(e *located, s *expect.Summary) *outcome {
	o := &outcome{
		Name: e.Name, Place: e.place(), Seeds: s.Seeds, Broken: s.BrokenSeeds, Sends: s.Sends,
		State: [...]string{"held", "broken", "vacuous"}[s.State()],
	}
	if s.First != nil {
		for _, f := range s.First.Findings {
			if f.State == expect.Broken {
				o.Faults = append(o.Faults, fault{claimName(&f), f.Text, s.First.Seed, f.Line})
			}
		}
	}
	for _, f := range s.Vacuous {
		o.Faults = append(o.Faults, fault{claimName(&f), "put to the test at no seed: " + f.Text, 0, nil})
	}
	return o
}

func claimName(f *expect.Finding) string {
	if f.Claim < 0 {
		return f.Kind
	}
	return fmt.Sprintf("claims[%d] %s", f.Claim, f.Kind)
}

func (o *outcome) print(p *printer) {
	if o.State == "held" {
		return
	}
	how := ""
	if o.Broken > 0 {
		how = fmt.Sprintf(" at %d of %d seeds", o.Broken, o.Seeds)
	}
	fmt.Fprintf(p.out, "%s: %s: %q%s\n", o.Place, o.State, o.Name, how)
	for _, f := range o.Faults {
		fmt.Fprintf(p.out, "    %s: %s", f.Claim, f.Text)
		if o.Broken > 0 && o.State == "broken" {
			fmt.Fprintf(p.out, " (--seed %d)", f.Seed)
		}
		fmt.Fprintln(p.out)
		for _, line := range f.Line {
			fmt.Fprintln(p.out, "        "+line)
		}
	}
	if o.Found != nil {
		fmt.Fprintf(p.out, "    found by the search: %s: %s (--seed %d), with these steps added:\n", o.Found.Claim, o.Found.Text, o.Found.Seed)
		for _, s := range o.Found.Steps {
			fmt.Fprintln(p.out, "        step "+s)
		}
		for _, line := range o.Found.Line {
			fmt.Fprintln(p.out, "        "+line)
		}
	}
}

// search draws situations for the time that is given; the first that breaks an expectation is kept for it.
func (c *expectCommand) search(ctx context.Context, d *expect.Deployment, all []located, results []*outcome) {
	ctx, stop := context.WithTimeout(ctx, c.Find)
	defer stop()
	base := uint64(1)
	if c.Seed != nil {
		base = *c.Seed
	}
	var mu sync.Mutex
	var tries atomic.Int64
	var wg sync.WaitGroup
	for n := range c.workers() {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(base, uint64(n)))
			for ctx.Err() == nil {
				i := rng.IntN(len(all))
				tries.Add(1)
				f := expect.Try(d, all[i].Expectation, rng)
				if f == nil {
					continue
				}
				mu.Lock()
				if r := results[i]; r.Found == nil || len(f.Expectation.Timeline) < len(r.Found.Steps)+len(all[i].Timeline) {
					r.State, r.Found = "broken", &found{fault: fault{claimName(&f.Finding), f.Finding.Text, f.Seed, f.Finding.Line}}
					for j := range f.Expectation.Timeline[len(all[i].Timeline):] {
						r.Found.Steps = append(r.Found.Steps, f.Expectation.Timeline[len(all[i].Timeline)+j].String())
					}
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	fmt.Fprintf(os.Stderr, "searched %d situations\n", tries.Load())
}

func (c *expectCommand) writeJUnit(results []*outcome) error {
	suite := junit.Testsuite{Name: "expectations", Time: "0"}
	for _, r := range results {
		tc := junit.Testcase{Name: r.Name, Classname: r.Place}
		if r.State != "held" {
			var text strings.Builder
			r.print(&printer{out: &text})
			res := &junit.Result{Message: r.State, Data: text.String()}
			if r.State == "vacuous" {
				tc.Error = res
			} else {
				tc.Failure = res
			}
		}
		suite.AddTestcase(tc)
	}
	var all junit.Testsuites
	all.AddSuite(suite)
	f, err := os.Create(c.JUnit)
	if err != nil {
		return err
	}
	err = func() error {
		if _, err := f.WriteString(xml.Header); err != nil {
			return err
		}
		return xml.NewEncoder(f).Encode(&all)
	}()
	return errors.Join(err, f.Close())
}
