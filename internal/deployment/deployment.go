// Package deployment puts together what the files say of one deployment, the platform's and the operators', and checks
// it as a whole: values that nothing can mean, a list that does not fit the ring, squares on shards that do not exist.
//
// It is for those who check files. A co-ordinator that serves takes what the platform gives it.
package deployment

import (
	"errors"
	"fmt"
	"strings"

	"birchcart/internal/config"
	"birchcart/internal/discovery"
	"birchcart/internal/operator"
	"birchcart/internal/placement"
	"birchcart/internal/route"
	"birchcart/policy"
)

// Deployment is one that was found sound.
type Deployment struct {
	Config   *config.Config
	Operator *operator.File // empty if there is none
	Ring     *placement.Ring
	Routes   *route.Table // nil if there are none
}

// Check checks a configuration and an operators' file, nil for none, together. The error has a line for each mistake.
func Check(cfg *config.Config, op *operator.File) (*Deployment, error) {
	if op == nil {
		op = &operator.File{}
	}
	ring, err := Ring(cfg)
	if err = errors.Join(config.Impossible(cfg), err); err != nil {
		return nil, err
	}
	if err := op.Against(ring, cfg.Names, &cfg.Policy); err != nil {
		return nil, err
	}
	if err := Room(cfg, op); err != nil {
		return nil, err
	}
	routes, err := op.Table(cfg.Names, cfg.Policy.Shards)
	if err != nil {
		return nil, err
	}
	return &Deployment{cfg, op, ring, routes}, nil
}

// Ring is the placement of the configuration's known list.
func Ring(cfg *config.Config) (*placement.Ring, error) {
	if len(cfg.Known) == 0 {
		return nil, errors.New("no known list of replicas")
	}
	list, _, odd, err := discovery.Parse(cfg.Known)
	if err != nil {
		return nil, fmt.Errorf("known list: %w", err)
	}
	if len(odd) > 0 {
		return nil, fmt.Errorf("known list: %s", strings.Join(odd, "\nknown list: "))
	}
	var replicas []placement.Replica
	for _, e := range list.Entries {
		replicas = append(replicas, placement.Replica{
			Name: e.Name, DataCentre: e.Zone, Cell: e.Cell, Up: e.State == policy.Up,
		})
	}
	p := &cfg.Policy
	ring, err := placement.New(placement.Shape{Cells: p.Cells, Reach: p.Reach, Shards: p.Shards}, replicas)
	if err != nil {
		return nil, fmt.Errorf("known list: %w", err)
	}
	return ring, nil
}

// Room tells whether the machine has room for what the operators' file runs beside the serving.
func Room(cfg *config.Config, op *operator.File) error {
	m := operator.Machine{Name: cfg.Name, Memory: cfg.Limits.Memory, Sockets: cfg.Limits.Sockets}
	if z := cfg.Policy.Zone; z >= 0 && z < len(cfg.Names.Zones) {
		m.Zone = cfg.Names.Zones[z]
	}
	return op.AgainstMachine(m)
}
