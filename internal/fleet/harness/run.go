package harness

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"birchcart/internal/fleet/maintenance"
)

const (
	// stepMost is how long a step waits for what it comes after; then it is done anyway.
	stepMost = 25 * time.Second
	// settleTime is for late parts, second answers and last files to be counted.
	settleTime = 500 * time.Millisecond
	busyMost   = 3    // limits, that a run may take on a machine that does not keep up
	fullSize   = 4096 // bytes beyond which no file grows on a full disk: every store is larger by then
)

// Result is what a run came to.
type Result struct {
	*Verdict
	Schedule *Schedule
	Took     time.Duration
	Events   []string
	Tally    Tally
	Done     int
	Ended    map[maintenance.Phase]int
}

// Failed tells whether a rule was broken.
func (r *Result) Failed() bool { return len(r.Broken) > 0 }

// Report is all that a failure is to be looked into with: what broke, the schedule, and what was done when.
func (r *Result) Report() string {
	return fmt.Sprintf("%s\nschedule: %s\nlinks: %+v\n%s", strings.Join(r.Broken, "\n"), r.Schedule.Encode(), r.Tally,
		strings.Join(r.Events, "\n"))
}

// Play runs a schedule with fresh processes and judges what came of it.
func Play(opt Options, s *Schedule) (*Result, error) {
	began := time.Now()
	opt.Terms = s.Terms
	c, err := NewCluster(opt, s.Processes, s.Seed)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := c.StartAll(); err != nil {
		return nil, err
	}
	c.stream.Start()
	if c.pinned != nil {
		c.pinned.Start()
	}
	c.work.Go(c.tools)
	c.work.Go(c.watchMachine)
	c.wants()
	for i := range s.Steps {
		c.step(&s.Steps[i])
	}
	c.recover()
	done := c.within(began, opt.Limit, c.complete)
	if !done {
		c.wrong("W5: not done after %v: %s", opt.Limit, c.left())
	}
	c.sleep(settleTime)
	close(c.dead)
	c.work.Wait()
	sent := c.stream.Stop()
	if c.pinned != nil {
		c.h.Asked = c.pinned.Stop()
		c.h.Runs = c.tally.runs
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var wrong []string
	c.h.Files, wrong = c.files.All()
	c.h.Wrong, c.h.Sent = append(c.h.Wrong, wrong...), sent
	r := &Result{
		Verdict: c.h.Check(), Schedule: s, Took: time.Since(began), Events: slices.Clone(c.events), Tally: c.net.Links.Tally(),
		Ended: map[maintenance.Phase]int{},
	}
	if last := c.files.Newest(); last != nil {
		for _, it := range last.Items {
			r.Ended[it.Phase]++
		}
	}
	r.Done = r.Ended[maintenance.Done]
	return r, nil
}

// within waits for a condition till a limit after a beginning, of which time counts in which this machine kept up;
// busyMost limits in all.
func (c *Cluster) within(began time.Time, limit time.Duration, holds func() bool) bool {
	for !c.files.Until(time.Second, holds) {
		c.mu.Lock()
		late := slices.Clone(c.h.Busy)
		c.mu.Unlock()
		late = slices.DeleteFunc(late, func(s Span) bool { return s.From.Before(began) })
		if took := time.Since(began); took-busyTime(late) > limit || took > busyMost*limit {
			return false
		}
	}
	return true
}

// busyTime is how long spans, in the order of their beginning, last together.
func busyTime(spans []Span) (sum time.Duration) {
	var end time.Time
	for _, s := range spans {
		if s.From.Before(end) {
			s.From = end
		}
		if s.To.After(s.From) {
			sum, end = sum+s.To.Sub(s.From), s.To
		}
	}
	return sum
}

// recover puts an end to all faults.
func (c *Cluster) recover() {
	c.heal()
	for i, p := range c.procs {
		c.mu.Lock()
		lied := c.open(c.h.Deaf[i])
		c.mu.Unlock()
		if lied {
			c.truth(i)
		}
		if p.Paused() {
			c.cont(i)
		}
		c.mu.Lock()
		swapped := c.swapping[i]
		c.mu.Unlock()
		if !p.Running() && !swapped {
			c.startAgain(i)
		}
	}
}

func (c *Cluster) open(spans []Span) bool {
	return slices.ContainsFunc(spans, func(s Span) bool { return s.To.After(time.Now().Add(far / 2)) })
}

// complete tells whether all that was asked for is done, as the newest file has it.
func (c *Cluster) complete() bool {
	s := c.files.Newest()
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == nil {
		return len(c.wanted) == 0
	}
	for machine := range c.wanted {
		if !slices.ContainsFunc(s.Items, func(it maintenance.Item) bool {
			return it.Machine == machine && (it.Phase == maintenance.Done || it.Phase == maintenance.Expired)
		}) {
			return false
		}
	}
	return !slices.ContainsFunc(s.Items, func(it maintenance.Item) bool {
		return (away(it.Phase) || it.Phase == maintenance.Pending) && c.wanted[it.Machine]
	})
}

// left says what is not done.
func (c *Cluster) left() string {
	s := c.files.Newest()
	if s == nil {
		return "there is no grants file"
	}
	var out []string
	for _, it := range s.Items {
		if it.Phase != maintenance.Done {
			out = append(out, fmt.Sprintf("%s %s (%s)", it.Machine, it.Phase, it.Reason))
		}
	}
	return strings.Join(out, ", ")
}
