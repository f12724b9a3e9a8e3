// Package config reads what a co-ordinator is told at its start.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"

	"birchcart/internal/boundedfile"
	"birchcart/internal/settings"
	"birchcart/policy"
)

// MaxFileBytes is the maximum size of a configuration or an operators' file: several times the largest list of replicas.
const MaxFileBytes = 4 << 20

// Config is everything that a co-ordinator is told.
type Config struct {
	Name, Listen, Discovery string

	Known  json.RawMessage // the list of replicas as last held, in discovery's form
	Policy policy.Config
	Names  *settings.Names
	Report string // how load is reported
	Limits Limits
}

// Source names the file and what overrides it; empty fields override nothing.
type Source struct{ Path, Name, Listen, Discovery string }

type file struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    machine         `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

type machine struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Load reads and checks the configuration.
func Load(src Source) (*Config, error) {
	if src.Path == "" {
		return nil, errors.New("no configuration: EDGE_CONFIG or --config names none")
	}
	raw, err := boundedfile.Read(src.Path, MaxFileBytes)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return Parse(raw, src)
}

// Reload reads the file again while the co-ordinator serves. Of the address of discovery the file's word counts:
// what overrode it at the start is from before the file was replaced.
func Reload(src Source) (*Config, error) {
	src.Discovery = ""
	return Load(src)
}

// Parse reads the text of the configuration.
func Parse(raw []byte, src Source) (*Config, error) {
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	for _, over := range []struct {
		to   *string
		from string
	}{{&f.Name, src.Name}, {&f.Listen, src.Listen}, {&f.Discovery, src.Discovery}} {
		if over.from != "" {
			*over.to = over.from
		}
	}
	for what, addr := range map[string]string{"listen": f.Listen, "discovery": f.Discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("configuration: %s: %w", what, err)
		}
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("configuration: no settings")
	}
	values, err := settings.FromJSON(f.Settings)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	for _, list := range []string{"classes", "tenants"} { // an object's own count would be taken for the length
		if _, counted := values[list+".count"]; counted && values[list] == nil {
			return nil, fmt.Errorf("configuration: settings.%s: a list belongs there", list)
		}
	}
	cfg := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Known: f.Known}
	if cfg.Policy, cfg.Names, err = settings.Config(values); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if len(cfg.Policy.Classes) == 0 {
		return nil, errors.New("configuration: the settings name no class")
	}
	if f.Seed != "" {
		if cfg.Policy.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("configuration: seed: %w", err)
		}
	}
	r := &settings.Reader{Values: values}
	cfg.Report = r.Text("reporting.how")
	cfg.Limits = limits(f.Limits, r)
	if r.Err != nil {
		return nil, fmt.Errorf("configuration: %w", r.Err)
	}
	if err := refuse(cfg, f.Limits, values); err != nil {
		return nil, err
	}
	return cfg, nil
}
