// Package maintenance holds the agreed state of the maintenance controller: the requests for machine maintenance, the grants, and
// the rules W1 to W7, which every command is checked against when it is applied. It is a part of the replicated state machine:
// deterministic, without a clock, goroutines or I/O. All times are agreed times: durations since the Unix epoch by the leader's
// clock.
//
// A command that the state does not allow is rejected and changes nothing. The rules are:
//
//	W1  Each shard of a granted replica keeps MinHolders holders that are up, warm and not in maintenance.
//	W2  At most MaxOutPerZone machines per zone, MaxOut in total and one voter are out, and MinVoters voters stay up.
//	W3  The warm capacity that remains covers the load with headroom; inventory and load must be recent.
//	W4  A machine has at most one live grant; each grant has a fence of its own, and fences increase.
//	W5  A request that was passed over MaxPassedOver times reserves what it needs.
//	W6  New grants are paused after an unplanned failure.
//	W7  A grant ends by its deadline.
package maintenance

import "time"

// Kind is the kind of a machine.
type Kind string

// Kinds of machines.
const (
	Replica     Kind = "replica"
	Coordinator Kind = "co-ordinator"
)

// Status is the last status of a machine, as reported by discovery or, for a co-ordinator, by gossip.
type Status string

// Statuses of a machine.
const (
	Up          Status = "up"
	Terminating Status = "terminating" // accepts no new work
	Gone        Status = "gone"
	Unknown     Status = "unknown" // never counts as healthy
)

// Machine is a line of the agreed inventory.
type Machine struct {
	Name    string        `json:"name"`
	Kind    Kind          `json:"kind"`
	Zone    string        `json:"zone,omitempty"`
	Cell    int           `json:"cell,omitempty"` // position of a replica on the ring
	Size    float64       `json:"size,omitempty"` // capacity of a replica, in mean replicas; 0 counts as 1
	Status  Status        `json:"status"`
	Started time.Duration `json:"started,omitempty"` // last start, as reported by discovery; 0: long ago
	Voter   bool          `json:"voter,omitempty"`   // whether the machine is a voter of the raft group
}

// Limits are the limits that the operators set, in their file and in the settings of the platform.
type Limits struct {
	Cells           int           `json:"cells"` // size of the ring: shard s is held by the cells (s+j) mod Cells, 0 <= j < Reach
	Reach           int           `json:"reach"`
	Shards          int           `json:"shards"`
	MinHolders      int           `json:"holders_least"` // W1: holders that each shard keeps
	MaxOutPerZone   int           `json:"out_by_zone"`   // W2: machines granted, acknowledged, out or warming up at once in a zone
	MaxOut          int           `json:"out_most"`      // W2: as above, in total
	Headroom        float64       `json:"headroom"`      // W3: spare capacity, as a fraction of the observed load, such as 0.25
	MaxLoadAge      time.Duration `json:"load_age"`      // W3: a load older than this counts as unknown
	MaxInventoryAge time.Duration `json:"list_age"`      // W3: nothing is granted on an inventory older than this
	WarmUp          time.Duration `json:"warm_up"`       // time after its start for which a replica is cold
	Lease           time.Duration `json:"lease"`         // lease of a co-ordinator's membership in the fleet
	Grace           time.Duration `json:"grace"`         // from the end of its lease, or the start of a drain, until it sends nothing new
	SettleTime      time.Duration `json:"settle"`        // time after the end of a grant for which its machine still counts as out
	FailurePause    time.Duration `json:"calm"`          // W6: time without an unplanned failure before grants resume; see flapping.go
	MaxPassedOver   int           `json:"passed_most"`   // W5: number of times passed over after which a request reserves its turn
	MinVoters       int           `json:"voters_least"`  // W2: voters that must stay up: a majority plus one
}

// Priority is the priority of a request.
type Priority int

// Priorities of a request.
const (
	Routine Priority = 0
	Urgent  Priority = 1 // takes precedence over routine requests, but is subject to W1 to W3
)

// Request asks to take machines out for maintenance. Its ID is a digest of its content, so the same file at several instances
// makes one request. Machines that are not in the inventory yet are matched once they are added.
type Request struct {
	ID        string        `json:"id"`
	Names     []string      `json:"names,omitempty"`  // either these machines
	Kind      Kind          `json:"kind,omitempty"`   // or all machines of a kind,
	Zone      string        `json:"zone,omitempty"`   // in a zone
	Prefix    string        `json:"prefix,omitempty"` // whose names have a prefix; empty fields do not restrict
	Reason    string        `json:"reason"`
	MaxOutage time.Duration `json:"for"`                // maximum outage of a machine
	Earliest  time.Duration `json:"earliest,omitempty"` // 0: no earliest time
	Latest    time.Duration `json:"latest,omitempty"`   // not granted after it; 0: no latest time
	Priority  Priority      `json:"priority,omitempty"`
}

// Phase is the phase of a machine in a request.
type Phase string

// Phases of a machine in a request.
const (
	Pending      Phase = "asked"
	Granted      Phase = "granted"   // co-ordinators drain the machine: they apply the grant to their endpoint lists
	Acknowledged Phase = "told"      // no live co-ordinator sends new work; the site's tools may proceed
	Out          Phase = "out"       // observed terminating, gone or restarted after the acknowledgement
	Returned     Phase = "back"      // observed up after a newer start, still cold
	Done         Phase = "done"      // warm again
	Expired      Phase = "lapsed"    // deadline missed or machine failed; it counts as out for SettleTime more; final
	Withdrawn    Phase = "withdrawn" // by the operators, or by the leader before it was acknowledged
	Rejected     Phase = "refused"   // can never be granted as requested; Reason says why
)

// Item is one machine of one request. Items are kept in request order: in the order in which they were requested, then by machine
// name.
type Item struct {
	Request        string        `json:"request"`
	Machine        string        `json:"machine"`
	Phase          Phase         `json:"phase"`
	Fence          uint64        `json:"fence,omitempty"` // W4: fencing number of the grant; increases with each grant
	RequestedAt    time.Duration `json:"asked_at"`
	GrantedAt      time.Duration `json:"granted_at,omitempty"`
	Until          time.Duration `json:"until,omitempty"` // deadline for going out; while out: deadline for the return
	AcknowledgedAt time.Duration `json:"told_at,omitempty"`
	OutAt          time.Duration `json:"out_at,omitempty"`
	ReturnedAt     time.Duration `json:"back_at,omitempty"`
	EndedAt        time.Duration `json:"ended_at,omitempty"`
	PassedOver     int           `json:"passed,omitempty"` // grants to later requests while this one waited; see W5
	HoldersLeft    int           `json:"left,omitempty"`   // smallest number of holders that a shard kept at the time of the grant
	Reason         string        `json:"why,omitempty"`    // why the item ended, or why it stays after its request was removed

	// Cancelled is set if the operators removed the request after the grant was acknowledged; the item then runs to its end.
	Cancelled bool `json:"called_off,omitempty"`
	// Attempt counts the earlier grants of this item that ended before they were acknowledged; see MaxAttempts.
	Attempt int `json:"try,omitempty"`
	// The remaining fields are the evidence of the grant, which Check reads: zone and voter status of the machine, the revision
	// of the limits, the minimum of HoldersLeft that W1 required, and the capacity left over load and headroom (W3). StartedAt is
	// the machine's start time, against which a restart is detected. MaxOutage is copied from the request.
	Zone          string        `json:"zone,omitempty"`
	Voter         bool          `json:"voter,omitempty"`
	Revision      int           `json:"revision,omitempty"`
	MinHolders    int           `json:"wanted,omitempty"`
	SpareCapacity float64       `json:"room,omitempty"`
	StartedAt     time.Duration `json:"start,omitempty"`
	MaxOutage     time.Duration `json:"for,omitempty"`
}

// Bodies of the commands, by kind.
type (
	// LimitsBody ("limits") puts limits in force. A lower revision is rejected, and so is the current revision with different
	// limits.
	LimitsBody struct {
		Revision int    `json:"revision"`
		Limits   Limits `json:"limits"`
	}
	// RequestsBody ("asks") is the complete set of current requests. Requests that are missing from it are withdrawn unless they
	// were already acknowledged. A lower revision is rejected, and so is the current revision with different requests; an exact
	// repetition changes nothing.
	RequestsBody struct {
		Revision int       `json:"revision"`
		Paused   bool      `json:"paused,omitempty"`
		Requests []Request `json:"requests"`
	}
	// ObserveBody ("observe") is the leader's observation: the machines that changed or, with Complete, all machines. An inventory
	// that is too large for one command is reported as changes first, and then confirmed as complete by its Digest.
	ObserveBody struct {
		Complete  bool      `json:"whole,omitempty"`
		Machines  []Machine `json:"machines,omitempty"`
		Load      float64   `json:"load"`       // total over all co-ordinators, in mean replicas kept busy
		LoadKnown bool      `json:"load_known"` // false: too few co-ordinators reported their load recently
		// ObservedAt is the agreed time of the observation; 0: the time of the command. An observation older than the last one is
		// rejected, because the observations of two leaders may arrive out of order.
		ObservedAt time.Duration `json:"seen,omitempty"`
		// Digest, with Complete and no machines, confirms that the agreed inventory with this digest is complete, see
		// State.InventoryDigest. Any other digest is rejected, because the observations of two leaders may arrive out of order.
		Digest string `json:"sum,omitempty"`
	}
	// GrantBody ("grant") grants one machine. It is checked against W1 to W6 in the state in which it is applied.
	GrantBody struct {
		Request string        `json:"request"`
		Machine string        `json:"machine"`
		Until   time.Duration `json:"until"`
	}
	// AcknowledgeBody ("told") states that every co-ordinator of the inventory applies the drain or has been silent for at least
	// its lease and grace.
	AcknowledgeBody struct {
		Machine      string   `json:"machine"`
		Fence        uint64   `json:"fence"`
		Acknowledged []string `json:"said,omitempty"`
		Silent       []Silent `json:"silent,omitempty"`
	}
	// Silent is a co-ordinator that the leader has not heard from for Duration, measured by its monotonic clock.
	Silent struct {
		Name     string        `json:"name"`
		Duration time.Duration `json:"for"`
	}
	// WithdrawBody ("withdraw") withdraws a grant before it is acknowledged.
	WithdrawBody struct {
		Machine string `json:"machine"`
		Fence   uint64 `json:"fence"`
		Reason  string `json:"why"`
	}
	// TickBody ("tick") only advances agreed time.
	TickBody struct{}
)
