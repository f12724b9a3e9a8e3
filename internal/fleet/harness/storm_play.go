package harness

import (
	"slices"
	"strconv"
	"time"

	"birchcart/internal/standin"
)

// StormResult is what a storm came to.
type StormResult struct {
	*StormVerdict
	Schedule *Schedule
	Took     time.Duration
	Events   []string
	Tally    Tally
}

// Failed tells whether a rule was broken.
func (r *StormResult) Failed() bool { return len(r.Broken) > 0 }

// Report is all that a failure is to be looked into with.
func (r *StormResult) Report() string {
	return (&Result{Verdict: &Verdict{Broken: r.Broken}, Schedule: r.Schedule, Events: r.Events, Tally: r.Tally}).Report()
}

// PlayStorm runs a calm, a storm with the schedule's faults in it, and a calm, with fresh processes, and judges what came of it.
func PlayStorm(opt Options, s *Schedule) (*StormResult, error) {
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
	c.work.Go(c.watchMachine)
	c.work.Go(func() {
		for c.sleep(toolsEvery) {
			c.watchProcesses()
		}
	})
	c.storm.Up = func(i int) bool { return c.procs[i].Running() }
	h := &StormHistory{History: &c.h, Payers: c.storm.Payers, Capacity: c.storm.Capacity, Laneless: opt.Laneless, Case: s.Case}
	c.storm.Start(calmShare / stormLoad)
	h.Calm = time.Now()
	c.sleep(calmFor)
	c.storm.Load(1)
	h.Storm = time.Now()
	c.note("storm")
	steps := make(chan struct{})
	c.work.Go(func() {
		defer close(steps)
		for i := range s.Steps {
			c.step(&s.Steps[i])
			if s.Steps[i].Do == DoMove {
				h.Moves = append(h.Moves, time.Now())
			}
		}
	})
	c.sleep(time.Until(h.Storm.Add(s.Terms.Storm)))
	c.storm.Load(calmShare / stormLoad)
	h.After = time.Now()
	c.note("calm")
	<-steps
	if s.Case != "cut off from each other in the calm" {
		c.recover()
		c.zoneBack()
	}
	c.sleep(time.Until(h.After.Add(afterFor)))
	h.End = time.Now()
	h.Laned, h.Kept = c.storm.Stop()
	close(c.dead)
	c.work.Wait()
	h.Worked = c.queues.worked
	c.mu.Lock()
	defer c.mu.Unlock()
	return &StormResult{
		StormVerdict: h.Check(), Schedule: s, Took: time.Since(began), Events: slices.Clone(c.events), Tally: c.net.Links.Tally(),
	}, nil
}

// stormy does what only storms do.
func (c *Cluster) stormy(st *Step) {
	switch st.Do {
	case DoHit:
		c.storm.hit.Store(-1)
		for _, i := range c.places(st.Who) {
			c.storm.hit.Store(int64(i))
		}
	case DoZone:
		for _, who := range st.Who {
			zone, _ := strconv.Atoi(who)
			for i, r := range c.fleet.Replicas {
				if i%len(zones) == zone {
					c.mu.Lock()
					c.last["zone"] = append(c.last["zone"], i)
					c.mu.Unlock()
					c.drop(r)
				}
			}
		}
	case DoZoneBack:
		c.zoneBack()
	}
}

func (c *Cluster) drop(r *standin.Replica) {
	c.outage(Outage{Machine: r.Name, From: time.Now(), Dead: time.Now()})
	r.Crash()
	c.fleet.Discovery.Set(r.Name, func(e *standin.Endpoint) { e.Status = "Gone" })
}

// zoneBack starts those anew that are away, cold.
func (c *Cluster) zoneBack() {
	c.mu.Lock()
	away := c.last["zone"]
	c.last["zone"] = nil
	c.mu.Unlock()
	for _, i := range away {
		r := c.fleet.Replicas[i]
		if err := r.Restart(); err != nil {
			c.wrong("harness: %s can't listen again: %v", r.Name, err)
			continue
		}
		now := time.Now()
		c.queues.back(r.Name, now)
		c.outage(Outage{Machine: r.Name, From: now, Dead: now, Warm: now.Add(coldFor)})
		c.fleet.Discovery.Set(r.Name, func(e *standin.Endpoint) { e.Status, e.Since = "Ready", now.UnixMilli() })
		c.note("%s is back, cold", r.Name)
	}
}
