package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"sync"

	"github.com/paulmach/orb"
)

// Fleet is a small deployment on loopback: replicas on a ring over data centres, and their discovery.
type Fleet struct {
	Replicas  []*Replica
	Discovery *Discovery
	Places    []Place // a square for each shard, S-00, S-01, ...
	shape     FleetShape

	mu      sync.Mutex
	scripts []Script
}

// FleetShape is how large a fleet is. Replica i is in cell i mod Cells and in data centre i mod 3.
type FleetShape struct {
	Replicas, Cells, Reach, Shards int
	Classes                        []FleetClass
	Tenants                        []string                 // with equal shares; none where it is empty
	Listen                         func(replica int) string // its address; nil: any free port of loopback
}

// FleetClass is one class of a fleet's settings.
type FleetClass struct {
	Name            string
	Promise, GiveUp float64 // s
	Semantics       string  // repeatable, once
	Need, Floor     float64
	FollowUp        int
}

// DataCentres are those of a fleet.
var DataCentres = []string{"rabat", "agadir", "oujda"}

// PlaceOf is the square of a shard, by a made-up grid over a country.
func PlaceOf(shard int) Place {
	x, y := -12+float64(shard%10), 28+float64(shard/10)
	return Place{fmt.Sprintf("S-%02d", shard), orb.Bound{Min: orb.Point{x, y}, Max: orb.Point{x + 0.98, y + 0.98}}}
}

// NewFleet starts a fleet in which every replica does as script says, until SetScript says otherwise.
func NewFleet(shape FleetShape, script Script) (*Fleet, error) {
	f := &Fleet{shape: shape}
	for s := range shape.Shards {
		f.Places = append(f.Places, PlaceOf(s))
	}
	var list []Endpoint
	for i := range shape.Replicas {
		f.scripts = append(f.scripts, script)
		address := "127.0.0.1:0"
		if shape.Listen != nil {
			address = shape.Listen(i)
		}
		r, err := NewReplicaAt(fmt.Sprintf("r%d", i), address, func(a Asked) Does {
			f.mu.Lock()
			do := f.scripts[i]
			f.mu.Unlock()
			return do(a)
		})
		if err != nil {
			f.Close()
			return nil, err
		}
		f.Replicas = append(f.Replicas, r)
		list = append(list, Endpoint{
			Name: r.Name, Address: r.Address(), Zone: DataCentres[i%3], Type: "std", Group: i % shape.Cells, Status: "Ready", Weight: 1,
		})
	}
	d, err := NewDiscovery(list)
	if err != nil {
		f.Close()
		return nil, err
	}
	f.Discovery = d
	return f, nil
}

// SetScript changes what a replica does from now on.
func (f *Fleet) SetScript(replica int, s Script) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scripts[replica] = s
}

// Holders are the places of the replicas that hold a shard.
func (f *Fleet) Holders(shard int) []int {
	var out []int
	for j := range f.shape.Reach {
		for i := range f.Replicas {
			if i%f.shape.Cells == (shard+j)%f.shape.Cells {
				out = append(out, i)
			}
		}
	}
	return out
}

// Close ends all.
func (f *Fleet) Close() {
	for _, r := range f.Replicas {
		r.Close()
	}
	if f.Discovery != nil {
		f.Discovery.Close()
	}
}

type object = map[string]any

func merged(a, b object) object {
	maps.Copy(a, b)
	return a
}

// Config is a co-ordinator's configuration for this fleet, as the platform writes it.
func (f *Fleet) Config(listen string) []byte {
	return f.shape.Config(listen, f.Discovery.Address(), f.Discovery.List())
}

// Config is a co-ordinator's configuration for a fleet of this shape, with this address of discovery and this known list.
func (s FleetShape) Config(listen, discovery string, known List) []byte {
	var classes []object
	var need, floor []float64
	var follow []int
	for _, c := range s.Classes {
		classes = append(classes, object{
			"name": c.Name, "promise_s": c.Promise, "give_up_s": c.GiveUp, "late_worth": 0.1, "points": 1, "semantics": c.Semantics,
		})
		need, floor, follow = append(need, c.Need), append(floor, c.Floor), append(follow, c.FollowUp)
	}
	settings := object{}
	var tenants []object
	for _, name := range s.Tenants {
		tenants = append(tenants, object{"name": name, "quota_rps": 1000, "share": 1 / float64(len(s.Tenants))})
	}
	if len(tenants) > 0 {
		settings["tenants"] = tenants
	}
	raw, err := json.MarshalIndent(object{
		"name": "n0", "listen": listen, "discovery": discovery, "seed": "5eed5eed5eed5eed",
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": known,
		"settings": merged(settings, object{
			"resolution_s": 0.005, "fleet_size": 1, "ordinal": 0, "zone": DataCentres[0], "failure_domains": DataCentres,
			"membership_mode": "automatic",
			"allowed": object{
				"attempts_cap": 3, "cancelling": true, "conn_idle_s": 20, "connect_timeout_s": 0.25, "max_retry_after_s": 0.5, "open_cap": 2000,
				"probes": true, "retry_after": true, "second_copies": true, "streams_per_conn": 16,
			},
			"classes": classes,
			"family_info": object{
				"cells": s.Cells, "reach": s.Reach, "shards": s.Shards, "per_call": 1, "need_by_class": need,
				"floor_by_class": floor, "follow_up": follow,
			},
			"invariants": object{
				"answer_slack_s": 0.04, "cold_from": 0.25, "drain_grace_s": 0.25, "fall_multiple": 2, "tip_after_s": 1, "warm_up_s": 15,
			},
			"reporting": object{"how": "off"},
		}),
	}, "", "  ")
	if err != nil {
		panic(err)
	}
	return raw
}

// Operator is an operators' file for this fleet, rendered: a collection for each class without a second step.
func (f *Fleet) Operator(listen string) []byte {
	squares, collections := object{}, object{}
	for s, p := range f.Places {
		squares[p.Name] = object{"shards": []int{s}, "bounds": []float64{p.Bound.Min[0], p.Bound.Min[1], p.Bound.Max[0], p.Bound.Max[1]}}
	}
	for _, c := range f.shape.Classes {
		if c.FollowUp == 0 {
			collections[c.Name] = object{
				"title": "Counts by " + c.Name, "class": c.Name, "time": "observed",
				"properties": object{"species": "text", "count": "number", "observed": "time", "verified": "boolean"},
			}
		}
	}
	raw, err := json.MarshalIndent(object{
		"version": 1, "squares": squares, "fronts": object{"ogc": object{
			"listen": listen, "title": "Made-up counts", "description": "Bird counts that were made up for a demonstration.", "collections": collections,
		}},
	}, "", "  ")
	if err != nil {
		panic(err)
	}
	return raw
}
