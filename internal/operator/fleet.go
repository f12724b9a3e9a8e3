package operator

import "time"

// Fleet has co-ordinators settle among themselves which machine may go out for work, and when. Only birchcart-fleet
// serves with it.
type Fleet struct {
	Revision int              `json:"revision" need:"true" min:"1"`                  // of limits and work: a higher one takes the place of a lower
	Voters   map[string]Voter `json:"voters" need:"true" len:"1"`                    // the raft group, by the co-ordinators' names
	Council  FleetCouncil     `json:"council"`                                       // of a voter
	Gossip   FleetGossip      `json:"gossip" need:"true"`                            // of every co-ordinator
	Keys     string           `json:"keys_file" need:"true" len:"1"`                 // keys of the gossip, one a line in base64, the first is used to send
	Dir      string           `json:"dir" need:"true" len:"1"`                       // of the store: a voter's log, votes and snapshots
	Grants   string           `json:"grants_file"`                                   // replaced whole at each change; absent: none is written
	Self     bool             `json:"drain_self"`                                    // a co-ordinator that may go drains and ends, as by SIGTERM
	Lease    float64          `json:"lease_ms" min:"2000" max:"60000" unit:"ms"`     // 10,000 if absent
	Grace    float64          `json:"grace_ms" min:"100" max:"60000" unit:"ms"`      // 1,000
	Settle   float64          `json:"settle_ms" min:"100" max:"3600000" unit:"ms"`   // 30,000
	Calm     float64          `json:"calm_ms" min:"100" max:"3600000" unit:"ms"`     // 60,000
	LoadAge  float64          `json:"load_age_ms" min:"2000" max:"600000" unit:"ms"` // 15,000
	ListAge  float64          `json:"list_age_ms" min:"2000" max:"600000" unit:"ms"` // 15,000
	Zone     int              `json:"out_by_zone" need:"true" min:"1" max:"100000" unit:"machines"`
	Most     int              `json:"out_most" need:"true" min:"1" max:"100000" unit:"machines"`
	Headroom *float64         `json:"headroom" min:"0" max:"10"`                                           // share of the load; 0.25 if absent
	Passed   int              `json:"passed_most" min:"1" max:"1000"`                                      // 8 if absent
	Bears    float64          `json:"parts_per_replica" need:"true" min:"0.01" max:"1000000" unit:"parts"` // out at once, that a replica of size 1 bears
	Paused   bool             `json:"paused"`                                                              // nothing is granted
	Work     []Work           `json:"work"`
	Sessions *Sessions        `json:"sessions"` // pinned to one co-ordinator; absent: there are none
	Lanes    *Lanes           `json:"lanes"`    // who keeps what while the fleet sheds load; absent: it sheds by no lanes
}

// Voter is one of the raft group.
type Voter struct {
	Address string `json:"address" need:"true"` // HOST:PORT at which the others reach its log
	Zone    string `json:"zone"`                // of the settings' failure domains; needed where there are several
}

// FleetCouncil is where a voter listens for the others of the raft group.
type FleetCouncil struct {
	Bind string `json:"bind"` // HOST:PORT; the voter's own address if absent
	// Found lets a voter without a store make a new one: for the first start of a fleet, and to be taken out after it. A
	// voter whose store was lost and that found anew would forget what it voted and agreed to.
	Found bool `json:"found"`
}

// FleetGossip is where a co-ordinator talks with all others, by UDP and TCP on one port.
type FleetGossip struct {
	Bind      string   `json:"bind" need:"true"`         // HOST:PORT
	Advertise string   `json:"advertise"`                // HOST:PORT at which others reach it; as bind if absent
	Join      []string `json:"join" need:"true" len:"1"` // HOST:PORT of some others; its own does no harm
}

// Work asks for machines to go out: those of these names, or all of a kind, a zone or a prefix of names.
type Work struct {
	Names    []string `json:"names" len:"1"`
	Kind     string   `json:"kind" enum:"replica,co-ordinator"`
	Zone     string   `json:"zone"`
	Prefix   string   `json:"prefix"`
	Reason   string   `json:"reason" need:"true" len:"1"`
	For      float64  `json:"for_s" need:"true" min:"1" max:"2592000" unit:"s"` // that each is out, at most
	Earliest string   `json:"earliest"`                                         // as 2026-12-02T22:00:00Z; at once if absent
	Latest   string   `json:"latest"`                                           // not granted after it; no end if absent
	Priority string   `json:"priority" enum:"routine,urgent"`
}

// Times and counts where the file has none. Each is long against the polls that co-ordinators send once a second, and
// short against a machine's work.
const (
	fleetLease    = 10_000 // ms: nine polls may be lost; a dead co-ordinator holds a grant back for so long
	fleetGrace    = 1_000  // ms: what was being sent when a drain was laid is sent long before
	fleetSettle   = 30_000 // ms: what goes in spite of a lapsed grant has been seen to go
	fleetCalm     = 60_000 // ms: a failure's restart and what follows from it
	fleetAge      = 15_000 // ms: of load and list; observed every few seconds
	fleetHeadroom = 0.25
	fleetPassed   = 8

	// What the fleet takes beside the serving. Platforms whose co-ordinators may only listen where clients connect
	// give 192 MB and 1,024 descriptors at most, so that none of these can keep a fleet.
	servingMemory  = 192 << 20
	servingSockets = 1024
	// FleetMemory is bytes for log, gossip, store and copies of the agreed state. Twice as much refuses machines that
	// would do; half as much leaves no room for a snapshot of 16 MB that comes while one is written.
	FleetMemory = 64 << 20
	// FleetSockets is descriptors for listeners, links of the raft group, exchanges of gossip and files of the store.
	FleetSockets = 128

	// WorkMost is the requests of one file, and NamesMost the names of one. What is over is refused.
	WorkMost  = 1000
	NamesMost = 16384
	TextMost  = 253 // bytes of a reason
)

// Machine is what the platform gives a co-ordinator, and its place.
type Machine struct {
	Name, Zone string
	Memory     int64 // bytes
	Sockets    int
}

// Moment reads a time of the file; zero if it is absent.
func Moment(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	return time.Parse(time.RFC3339, text)
}

// defaults fills in what the file leaves out.
func (f *Fleet) defaults() {
	for _, d := range []struct {
		to    *float64
		usual float64
	}{
		{&f.Lease, fleetLease}, {&f.Grace, fleetGrace}, {&f.Settle, fleetSettle}, {&f.Calm, fleetCalm},
		{&f.LoadAge, fleetAge}, {&f.ListAge, fleetAge},
	} {
		if *d.to == 0 {
			*d.to = d.usual
		}
	}
	if f.Headroom == nil {
		usual := fleetHeadroom
		f.Headroom = &usual
	}
	if f.Passed == 0 {
		f.Passed = fleetPassed
	}
	if f.Gossip.Advertise == "" {
		f.Gossip.Advertise = f.Gossip.Bind
	}
}
