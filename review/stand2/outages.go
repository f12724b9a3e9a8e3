package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"birchcart/internal/faultinject"
	"birchcart/internal/standin"
	"birchcart/internal/testproc"
)

// platform is one co-ordinator with its discovery agent, its replicas and its clients.
type platform struct {
	agent    *faultinject.Agent
	replicas *faultinject.Replicas
	traffic  *faultinject.Traffic
	stood    *testproc.Standstills
	process  *process
	listen   string
	env      string
}

const (
	outageReplicas = 8
	outageShards   = 4
)

func (s *stage) newPlatform() (*platform, error) {
	p := &platform{stood: testproc.WatchStandstills()}
	var err error
	if p.replicas, err = faultinject.NewReplicas(outageReplicas, 5*time.Millisecond, 3); err != nil {
		return nil, err
	}
	s.later = append(s.later, p.replicas.Close)
	if p.agent, err = faultinject.NewAgent(p.replicas.Endpoints()); err != nil {
		return nil, err
	}
	s.later = append(s.later, p.agent.Close)
	shape := standin.FleetShape{
		Replicas: outageReplicas, Cells: p.replicas.Cells(), Reach: 1, Shards: outageShards,
		Classes: []standin.FleetClass{
			{Name: "species-search", Promise: 0.5, GiveUp: 1, Semantics: "repeatable", Need: 1, Floor: 1},
			{Name: "tally-submit", Promise: 0.5, GiveUp: 1, Semantics: "once", Need: 1, Floor: 1},
		},
	}
	if p.listen, err = freePort(); err != nil {
		return nil, err
	}
	path := filepath.Join(s.dir, "config.json")
	known := standin.List{Index: 1, Snapshot: true, Endpoints: p.replicas.Endpoints()}
	if err := os.WriteFile(path, shape.Config(p.listen, p.agent.Address(), known), 0o600); err != nil {
		return nil, err
	}
	p.env = "EDGE_CONFIG=" + path
	p.traffic = &faultinject.Traffic{
		Address: p.listen, Shards: outageShards, Connections: 16, Think: 5 * time.Millisecond, Wait: time.Second,
		SafeClass: "species-search", UnsafeClass: "tally-submit", UnsafeShare: 0.2, Seed: 3,
	}
	return p, s.startCoordinator(p, "co-ordinator")
}

func (s *stage) startCoordinator(p *platform, name string) error {
	command, err := s.runCommand()
	if err != nil {
		return err
	}
	if p.process, err = s.start(name, command, p.env); err != nil {
		return err
	}
	return awaitReady(p.process, p.listen)
}

// judgeDrains ends the traffic and holds the parts that replicas got to the rule on drains.
func (s *stage) judgeDrains(p *platform) error {
	requests, served := p.traffic.Stop(), p.traffic.Served()
	drains, parts := p.agent.Drains(), p.replicas.Parts()
	s.note("%d requests, %d served, %d parts, %d drains", len(requests), served, len(parts), len(drains))
	for _, d := range drains {
		s.note("%s wants nothing new: counts as told at %.3f", d.Replica, d.Counts.Sub(s.began).Seconds())
	}
	if served < len(requests)/2 || len(drains) == 0 {
		return fmt.Errorf("too few queries were served, or nothing drained")
	}
	found := faultinject.CheckDrains(drains, parts, p.stood)
	for i, v := range found {
		if i < 10 || i >= len(found)-3 {
			s.note("%v", v)
		}
	}
	if len(found) > 0 {
		return broken("%d parts came to replicas that drain or are gone, later than the grace after that counted as told", len(found))
	}
	return nil
}

// drainAfterShortOutage: discovery is down for less than the time between two heartbeats, and the watch from before stays open and
// silent. Soon after its return the agent has a drain and a removal.
func drainAfterShortOutage(s *stage) error {
	p, err := s.newPlatform()
	if err != nil {
		return err
	}
	p.traffic.Start()
	time.Sleep(2300 * time.Millisecond) // the watch has had a heartbeat
	if s.trouble {
		p.agent.Down()
		s.note("discovery is down")
		time.Sleep(600 * time.Millisecond)
		p.agent.UpWithSilentWatches()
		s.note("discovery is back; the agent answers calls and new watches, the watch from before stays silent")
	} else {
		time.Sleep(600 * time.Millisecond)
	}
	time.Sleep(180 * time.Millisecond)
	p.agent.SetStatus("s-0", "Terminating")
	p.agent.SetStatus("s-1", "Gone")
	s.note("the agent has: s-0 drains, s-1 is gone")
	time.Sleep(3 * time.Second)
	return s.judgeDrains(p)
}
