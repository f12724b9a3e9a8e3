// Package maintenance is the agreed state of the maintenance controller: the requests for machine maintenance, the grants, and
// the rules W1 to W7 that every change is checked against when it is applied. It is a part of the replicated state machine: pure,
// without clock, goroutine or I/O. All times are agreed time, since the Unix epoch by the leader's clock.
package maintenance

import "time"

// Kind of a machine.
type Kind string

// Kinds of machines.
const (
	Replica     Kind = "replica"
	Coordinator Kind = "co-ordinator"
)

// Status is what discovery, or for a co-ordinator the gossip, last said of a machine.
type Status string

// Statuses of a machine.
const (
	Up          Status = "up"
	Terminating Status = "terminating" // wants nothing new
	Gone        Status = "gone"
	Unknown     Status = "unknown" // never taken for healthy
)

// Machine is one line of the agreed inventory.
type Machine struct {
	Name    string        `json:"name"`
	Kind    Kind          `json:"kind"`
	Zone    string        `json:"zone,omitempty"`
	Cell    int           `json:"cell,omitempty"` // of a replica
	Size    float64       `json:"size,omitempty"` // of a replica, in mean ones; 0 counts as 1
	Status  Status        `json:"status"`
	Started time.Duration `json:"started,omitempty"` // its last start, as discovery tells it; 0: long ago
	Voter   bool          `json:"voter,omitempty"`   // of the raft group
}

// Limits is what the operators allow. All of it comes from the operators' file and the platform's settings.
type Limits struct {
	Cells           int           `json:"cells"` // the ring: shard s is held by the cells (s+j) mod Cells, j < Reach
	Reach           int           `json:"reach"`
	Shards          int           `json:"shards"`
	MinHolders      int           `json:"holders_least"` // W1
	MaxOutPerZone   int           `json:"out_by_zone"`   // W2: machines granted, acknowledged, out or warming up at once in a zone
	MaxOut          int           `json:"out_most"`      // W2: in all
	Headroom        float64       `json:"headroom"`      // W3: share of the load seen that stays free, as 0.25
	MaxLoadAge      time.Duration `json:"load_age"`      // W3: a load older than this is unknown
	MaxInventoryAge time.Duration `json:"list_age"`      // an inventory older than this grants nothing
	WarmUp          time.Duration `json:"warm_up"`       // a replica is cold for so long after its start
	Lease           time.Duration `json:"lease"`         // of a co-ordinator's part in the fleet
	Grace           time.Duration `json:"grace"`         // after its lease, or after a drain was laid, until nothing new is sent
	SettleTime      time.Duration `json:"settle"`        // after a grant's end, until its machine counts as staying
	FailurePause    time.Duration `json:"calm"`          // W6: without an unplanned failure for so long, plans go on; see flapping.go
	MaxPassedOver   int           `json:"passed_most"`   // W5: passed over so many times, a request reserves its turn
	MinVoters       int           `json:"voters_least"`  // W2: voters that stay up: a majority and one to spare
}

// Priority of a request.
type Priority int

// Priorities of a request.
const (
	Routine Priority = 0
	Urgent  Priority = 1 // passes routine ones, not W1 to W3
)

// Request asks for machines to go out for work. Its ID is a digest of what it says, so the same file at several
// instances makes one request. Machines that match no line of the inventory yet are kept and matched later.
type Request struct {
	ID        string        `json:"id"`
	Names     []string      `json:"names,omitempty"`  // these, or
	Kind      Kind          `json:"kind,omitempty"`   // all of a kind,
	Zone      string        `json:"zone,omitempty"`   // narrowed to a zone
	Prefix    string        `json:"prefix,omitempty"` // or to names that begin so
	Reason    string        `json:"reason"`
	MaxOutage time.Duration `json:"for"`                // how long one is out, at most
	Earliest  time.Duration `json:"earliest,omitempty"` // 0: at once
	Latest    time.Duration `json:"latest,omitempty"`   // 0: no end; not granted after it
	Priority  Priority      `json:"priority,omitempty"`
}

// Phase of one machine in one request.
type Phase string

// Phases of a machine in a request.
const (
	Pending      Phase = "asked"
	Granted      Phase = "granted"   // drain: co-ordinators apply it to their endpoint lists
	Acknowledged Phase = "told"      // every live co-ordinator sends nothing new; the site's tools may go on
	Out          Phase = "out"       // seen terminating, gone or started anew after it was acknowledged
	Returned     Phase = "back"      // seen up again by a newer start, still cold
	Done         Phase = "done"      // warm again
	Expired      Phase = "lapsed"    // not gone by its time; counts as possibly going for SettleTime more; never revived
	Withdrawn    Phase = "withdrawn" // by the operators, or by the leader before it was acknowledged
	Rejected     Phase = "refused"   // can never be granted as asked, with the reason
)

// Item is one machine of one request. Order of items is that of asking, then by name.
type Item struct {
	Request        string        `json:"request"`
	Machine        string        `json:"machine"`
	Phase          Phase         `json:"phase"`
	Fence          uint64        `json:"fence,omitempty"` // W4: of its grant; only grows
	RequestedAt    time.Duration `json:"asked_at"`
	GrantedAt      time.Duration `json:"granted_at,omitempty"`
	Until          time.Duration `json:"until,omitempty"` // to have gone by; while out: to be back by
	AcknowledgedAt time.Duration `json:"told_at,omitempty"`
	OutAt          time.Duration `json:"out_at,omitempty"`
	ReturnedAt     time.Duration `json:"back_at,omitempty"`
	EndedAt        time.Duration `json:"ended_at,omitempty"`
	PassedOver     int           `json:"passed,omitempty"` // grants to later requests while this one waited; see W5
	HoldersLeft    int           `json:"left,omitempty"`   // the fewest holders left to a shard of its, when it was granted
	Reason         string        `json:"why,omitempty"`    // what keeps it, or what ended it

	// Cancelled: the operators ask for it no more, but it was acknowledged already and stays until it is done.
	Cancelled bool `json:"called_off,omitempty"`
	// Attempt counts the grants of this machine for this request that ended before they were acknowledged; see MaxAttempts.
	Attempt int `json:"try,omitempty"`
	// The evidence of its grant, which Check reads: what the machine was, the revision of the limits, what W1 wanted to be
	// left beside Left, what W3 had left over load and headroom, and the machine's start, against which a newer one is
	// told. For is how long it may be out.
	Zone          string        `json:"zone,omitempty"`
	Voter         bool          `json:"voter,omitempty"`
	Revision      int           `json:"revision,omitempty"`
	MinHolders    int           `json:"wanted,omitempty"`
	SpareCapacity float64       `json:"room,omitempty"`
	StartedAt     time.Duration `json:"start,omitempty"`
	MaxOutage     time.Duration `json:"for,omitempty"`
}

// Bodies of the commands, by kind. Each is refused, and changes nothing, unless the state allows it.
type (
	// LimitsBody ("limits") puts limits in force. A lower revision is refused; the same with other limits too.
	LimitsBody struct {
		Revision int    `json:"revision"`
		Limits   Limits `json:"limits"`
	}
	// RequestsBody ("asks") is all that the operators ask for now: what is missing is withdrawn as far as it may be. A
	// lower revision is refused; the same with other requests too; the same again changes nothing.
	RequestsBody struct {
		Revision int       `json:"revision"`
		Paused   bool      `json:"paused,omitempty"`
		Requests []Request `json:"requests"`
	}
	// ObserveBody ("observe") is what the leader sees: machines that changed, or with Complete all of them. An inventory that is
	// too large for one command is reported as changes first, and then as complete with Sum.
	ObserveBody struct {
		Complete  bool      `json:"whole,omitempty"`
		Machines  []Machine `json:"machines,omitempty"`
		Load      float64   `json:"load"`       // in mean replicas kept busy, by all co-ordinators
		LoadKnown bool      `json:"load_known"` // false: too few reported theirs lately
		// ObservedAt is the agreed time at which the leader looked; 0: that of the command. One older than the last is refused:
		// the observations of two leaders crossed.
		ObservedAt time.Duration `json:"seen,omitempty"`
		// InventoryDigest, with Complete and no machines: all is as the agreed inventory of this sum has it, see State.InventoryDigest. Another
		// one is refused: the observations of two leaders crossed.
		Digest string `json:"sum,omitempty"`
	}
	// GrantBody ("grant") lets one machine go. Checked against W1 to W6 as the state is when it is applied.
	GrantBody struct {
		Request string        `json:"request"`
		Machine string        `json:"machine"`
		Until   time.Duration `json:"until"`
	}
	// AcknowledgeBody ("told") says that every co-ordinator of the inventory applies the drain, or was silent for so long
	// that its lease and grace are over.
	AcknowledgeBody struct {
		Machine      string   `json:"machine"`
		Fence        uint64   `json:"fence"`
		Acknowledged []string `json:"said,omitempty"`
		Silent       []Silent `json:"silent,omitempty"`
	}
	// Silent is a co-ordinator that the leader has not heard of for so long, by its monotonic clock.
	Silent struct {
		Name     string        `json:"name"`
		Duration time.Duration `json:"for"`
	}
	// WithdrawBody ("withdraw") takes a grant back before it was acknowledged.
	WithdrawBody struct {
		Machine string `json:"machine"`
		Fence   uint64 `json:"fence"`
		Reason  string `json:"why"`
	}
	// TickBody ("tick") only moves agreed time on.
	TickBody struct{}
)
