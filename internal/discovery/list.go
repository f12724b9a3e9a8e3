// Package discovery keeps the list of replicas up to date: it reads the full list and then watches its changes.
//
// Discovery is deployed in one of two ways:
//   - An agent on this machine pushes changes into a watch. A change counts as delivered to this co-ordinator as soon as the
//     agent has it, whether or not a watch is open.
//   - Where policy.Config.MustSubscribe is set, all co-ordinators share one discovery service and the policy requests the
//     watches. A change that a broken watch missed counts as delivered after a limited time.
//
// The co-ordinator must act on a change from the moment at which it counts as delivered.
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

// listMessage is the JSON form of the full list or of a change of it.
type listMessage struct {
	Index     *int64     `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

// endpoint is the JSON form of one replica.
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

// readinessByStatus maps the status of an endpoint on the wire to the readiness of a replica.
var readinessByStatus = map[string]policy.Readiness{
	"Ready": policy.Up, "Terminating": policy.Draining, "Gone": policy.Removed,
}

// Parse decodes one JSON object from discovery. One invalid entry must not block the changes of the others: an entry without
// a name or a valid address is skipped, and an entry of unknown status is treated as draining. The returned problems name both.
func Parse(raw []byte) (list exchange.ReplicaList, index int64, problems []string, err error) {
	var message listMessage
	if err := json.Unmarshal(raw, &message); err != nil {
		return list, 0, nil, fmt.Errorf("discovery: invalid object: %w", err)
	}
	if message.Index == nil {
		return list, 0, nil, errors.New("discovery: object has no index")
	}
	list.Full, list.Index = message.Snapshot, *message.Index
	for i := range message.Endpoints {
		ep := &message.Endpoints[i]
		state, known := readinessByStatus[ep.Status]
		if !known {
			state = policy.Draining
			problems = append(problems, fmt.Sprintf("%s: unknown status %q", ep.Name, ep.Status))
		}
		if _, _, err := net.SplitHostPort(ep.Address); ep.Name == "" || err != nil && state != policy.Removed {
			problems = append(problems, fmt.Sprintf("%s: missing name or invalid address %q", ep.Name, ep.Address))
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
