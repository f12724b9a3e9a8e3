// Package discovery keeps the list of replicas up to date: it reads the full list, then watches its changes.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"birchcart/internal/exchange"
	"birchcart/policy"
)

// listMessage is the list, or changes of it, as discovery writes them.
type listMessage struct {
	Index     *int64     `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

type endpoint struct {
	Name    string   `json:"name"`
	Address string   `json:"address"`
	Zone    string   `json:"zone"`
	Type    string   `json:"type"`
	Group   int      `json:"group"`
	Status  string   `json:"status"`
	Weight  *float64 `json:"weight"`
	Since   int64    `json:"since_ms"`
}

var readinessByStatus = map[string]policy.Readiness{
	"Ready": policy.Up, "Terminating": policy.Draining, "Gone": policy.Removed,
}

// Parse reads one object of discovery's. Guards against one odd entry that would hold back the changes of all the
// others: an entry that can't be used is passed over, one of an unknown status is taken to want nothing new,
// and odd names both.
func Parse(raw []byte) (list exchange.ReplicaList, index int64, problems []string, err error) {
	var message listMessage
	if err := json.Unmarshal(raw, &message); err != nil {
		return list, 0, nil, fmt.Errorf("discovery: %w", err)
	}
	if message.Index == nil {
		return list, 0, nil, errors.New("discovery: no index")
	}
	list.Full, list.Index = message.Snapshot, *message.Index
	for i := range message.Endpoints {
		ep := &message.Endpoints[i]
		state, known := readinessByStatus[ep.Status]
		if !known {
			state = policy.Draining
			problems = append(problems, fmt.Sprintf("%s: status %q", ep.Name, ep.Status))
		}
		if _, _, err := net.SplitHostPort(ep.Address); ep.Name == "" || err != nil && state != policy.Removed {
			problems = append(problems, fmt.Sprintf("%s: address %q", ep.Name, ep.Address))
			continue
		}
		e := exchange.Endpoint{
			Name: ep.Name, Address: ep.Address, Zone: ep.Zone, Kind: ep.Type, Cell: ep.Group, State: state, Size: 1,
		}
		if ep.Weight != nil {
			e.Size = *ep.Weight
		}
		if ep.Since > 0 {
			e.Started = time.UnixMilli(ep.Since)
		}
		list.Entries = append(list.Entries, e)
	}
	return list, *message.Index, problems, nil
}
