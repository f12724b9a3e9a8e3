package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/paulmach/orb"

	"birchcart/internal/standin"
)

// example is the example deployment of the project, with addresses of this run.
type example struct {
	listen, features string
	readers          []*standin.Replica
	discovery        *standin.Discovery
}

// startExample starts the readers and the discovery of the example deployment, each reader as does says, and the co-ordinator.
func (r *caseRun) startExample(does func(reader int, a standin.Asked) standin.Does) (*example, error) {
	raw, err := os.ReadFile("deploy/counts.json")
	if err != nil {
		return nil, err
	}
	var config map[string]any
	if err := json.Unmarshal(raw, &config); err != nil {
		return nil, err
	}
	var known struct {
		Known standin.List `json:"known"`
	}
	if err := json.Unmarshal(raw, &known); err != nil {
		return nil, err
	}
	e := &example{}
	for i := range known.Known.Endpoints {
		p := &known.Known.Endpoints[i]
		reader, err := standin.NewReplica(p.Name, func(a standin.Asked) standin.Does { return does(i, a) })
		if err != nil {
			return nil, err
		}
		r.atEnd(reader.Close)
		p.Address = reader.Address()
		e.readers = append(e.readers, reader)
	}
	if e.discovery, err = standin.NewDiscovery(known.Known.Endpoints); err != nil {
		return nil, err
	}
	r.atEnd(e.discovery.Close)
	if e.listen, err = freeAddress(); err != nil {
		return nil, err
	}
	if e.features, err = freeAddress(); err != nil {
		return nil, err
	}
	config["listen"], config["discovery"], config["known"] = e.listen, e.discovery.Address(), e.discovery.List()
	configPath, operatorPath := filepath.Join(r.dir, "config.json"), filepath.Join(r.dir, "operator.json")
	if raw, err = json.Marshal(config); err != nil {
		return nil, err
	}
	if err := os.WriteFile(configPath, raw, 0o600); err != nil {
		return nil, err
	}
	if out, err := exec.Command("bin/birchctl", "render", "deploy/features.jsonnet", "--to", operatorPath).CombinedOutput(); err != nil {
		return nil, fmt.Errorf("birchctl render: %w: %s", err, out)
	}
	if raw, err = os.ReadFile(operatorPath); err != nil {
		return nil, err
	}
	var operator map[string]any
	if err := json.Unmarshal(raw, &operator); err != nil {
		return nil, err
	}
	operator["config"] = configPath
	operator["fronts"].(map[string]any)["ogc"].(map[string]any)["listen"] = e.features
	if raw, err = json.Marshal(operator); err != nil {
		return nil, err
	}
	if err := os.WriteFile(operatorPath, raw, 0o600); err != nil {
		return nil, err
	}
	line, err := command("--config " + configPath + " --operator " + operatorPath)
	if err != nil {
		return nil, err
	}
	if _, err := r.program("co-ordinator", line); err != nil {
		return nil, err
	}
	return e, awaitReady(e.listen)
}

// examplePlaces are the squares of deploy/squares.libsonnet.
func examplePlaces() (places []standin.Place) {
	for n := 1; n <= 40; n++ {
		x, y := -11+float64(n%8)*1.2, 28+float64(n/8)
		places = append(places, standin.Place{Name: fmt.Sprintf("MA-%02d", n), Bound: orb.Bound{Min: orb.Point{x, y}, Max: orb.Point{x + 1.1, y + 0.9}}})
	}
	return places
}
