package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"birchcart/internal/standin"
)

// fleetSite is three co-ordinators of a fleet, all of them voters, with the readers and the discovery of one deployment.
type fleetSite struct {
	fleet  *standin.Fleet
	serve  []string
	procs  []*process
	relays []*relay // before each reader
	args   []string
	logs   []string
	grants []string // the grants file of each co-ordinator
}

const fleetSize = 3

// startFleet starts the fleet and waits until it is ready and has a leader. more has keys of the section `fleet` of the operators'
// file; its other values are those of deploy/fleet.jsonnet.
func (r *caseRun) startFleet(classes []standin.FleetClass, more map[string]any, script func(reader int, a standin.Asked) standin.Does) (*fleetSite, error) {
	s := &fleetSite{}
	var err error
	if s.fleet, err = standin.NewFleet(standin.FleetShape{Replicas: 12, Cells: 12, Reach: 2, Shards: 24, Classes: classes}, nil); err != nil {
		return nil, err
	}
	r.atEnd(s.fleet.Close)
	for i := range s.fleet.Replicas {
		s.fleet.SetScript(i, func(a standin.Asked) standin.Does { return script(i, a) })
		l, err := newRelay(s.fleet.Replicas[i].Address())
		if err != nil {
			return nil, err
		}
		r.atEnd(l.close)
		s.relays = append(s.relays, l)
		s.fleet.Discovery.Set(s.fleet.Replicas[i].Name, func(e *standin.Endpoint) { e.Address = l.address() })
	}
	var gossip, council []string
	for range fleetSize {
		serve, err1 := freeAddress()
		g, err2 := freeAddress()
		c, err3 := freeAddress()
		if err1 != nil || err2 != nil || err3 != nil {
			return nil, fmt.Errorf("no free address: %v %v %v", err1, err2, err3)
		}
		s.serve, gossip, council = append(s.serve, serve), append(gossip, g), append(council, c)
	}
	keys := filepath.Join(r.dir, "keys")
	if err := os.WriteFile(keys, []byte(base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{7}, 32))+"\n"), 0o600); err != nil {
		return nil, err
	}
	voters := map[string]any{}
	for i := range fleetSize {
		voters[fmt.Sprint("n", i)] = map[string]any{"address": council[i], "zone": standin.DataCentres[i]}
	}
	for i := range fleetSize {
		var config map[string]any
		if err := json.Unmarshal(s.fleet.Config(s.serve[i]), &config); err != nil {
			return nil, err
		}
		config["name"], config["limits"] = fmt.Sprint("n", i), map[string]any{"cores": 1, "memory_mb": 512, "sockets": 2048}
		set := config["settings"].(map[string]any)
		set["fleet_size"], set["ordinal"], set["zone"] = fleetSize, i, standin.DataCentres[i]
		section := map[string]any{
			"revision": 1, "voters": voters, "council": map[string]any{"found": true},
			"gossip": map[string]any{"bind": gossip[i], "join": gossip}, "keys_file": keys, "dir": filepath.Join(r.dir, fmt.Sprint("disk", i)),
			"lease_ms": 10000, "grace_ms": 1000, "settle_ms": 30000, "calm_ms": 60000, "out_by_zone": 1, "out_most": 2, "headroom": 0.25,
			"parts_per_replica": 40, "grants_file": filepath.Join(r.dir, fmt.Sprint("grants", i)),
		}
		maps.Copy(section, more)
		s.grants = append(s.grants, section["grants_file"].(string))
		paths := []string{filepath.Join(r.dir, fmt.Sprint("config", i)), filepath.Join(r.dir, fmt.Sprint("operator", i))}
		for j, form := range []any{config, map[string]any{"version": 1, "placement": map[string]any{"holders_least": 1}, "fleet": section}} {
			raw, err := json.Marshal(form)
			if err == nil {
				err = os.WriteFile(paths[j], raw, 0o600)
			}
			if err != nil {
				return nil, err
			}
		}
		if err := os.MkdirAll(filepath.Join(r.dir, fmt.Sprint("disk", i)), 0o700); err != nil {
			return nil, err
		}
		s.args = append(s.args, "--config "+paths[0]+" --operator "+paths[1])
		s.logs = append(s.logs, filepath.Join(r.dir, fmt.Sprintf("n%d.log", i)))
		p, err := r.program(fmt.Sprint("n", i), "exec bin/birchcart-fleet serve "+s.args[i])
		if err != nil {
			return nil, err
		}
		s.procs = append(s.procs, p)
	}
	for _, at := range s.serve {
		if err := awaitReady(at); err != nil {
			return nil, err
		}
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		for _, path := range s.logs {
			if text, err := os.ReadFile(path); err == nil && strings.Contains(string(text), "leads the raft group") {
				return s, nil
			}
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("no leader after 20 s")
		}
	}
}

// sessionQuery is a query of a session about one section.
func (s *fleetSite) sessionQuery(to int, class, session, id string, section int, wait time.Duration, body string) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.serve[to]+"/"+class,
		strings.NewReader(fmt.Sprintf(`{"buckets":[{"bucket":%d,"part":1}],"body":%q}`, section, body)))
	if err != nil {
		panic(err)
	}
	req.Header.Set("X-Request-ID", id)
	req.Header.Set("X-Timeout-Ms", fmt.Sprint(wait.Milliseconds()))
	req.Header.Set("X-Session", session)
	return req
}
