package operator

// Lanes say who keeps what while the whole fleet sheds load. Only birchcart-fleet serves with it; changes of all but
// header come with a higher fleet.revision.
type Lanes struct {
	Header   string               `json:"header"`                             // of a request: its mark; absent: none is read
	Slot     float64              `json:"slot_s" min:"1" max:"3600" unit:"s"` // for which the same accounts of a lane are cut; 10 if absent
	Lanes    []Lane               `json:"lanes" need:"true" len:"1"`          // in order: the first is shed last, the last is the standard one
	Accounts []Account            `json:"accounts"`                           // who is in none is in the last lane, by tenant
	Classes  map[string]LaneClass `json:"classes"`
}

// Lane is one of the ways through which queries come.
type Lane struct {
	Name  string  `json:"name" need:"true" len:"1"`
	Floor float64 `json:"floor" min:"0.001" max:"1"` // share of capacity that it keeps however hard the fleet sheds; 0.02 if absent
	Most  float64 `json:"most" min:"0.001" max:"1"`  // share beyond which its queries count as the last lane's; absent: none
	Lend  *bool   `json:"lend"`                      // what its accounts leave idle of their guarantees is others' meanwhile; true if absent
}

// Account is who pays: queries of any of its tenants, marks or routes, a mark before a route before a tenant.
type Account struct {
	Name      string   `json:"name" need:"true" len:"1"`
	Lane      string   `json:"lane" need:"true" len:"1"`
	Tenants   []string `json:"tenants"`
	Marks     []string `json:"marks"`
	Routes    []string `json:"routes"`
	Guarantee float64  `json:"guarantee" min:"0" max:"1"` // share of capacity that is its own under pressure; beyond it is of the last lane
	Most      float64  `json:"most" min:"0" max:"1"`      // share beyond which it is refused first; 0: none
}

// LaneClass is what holds for queries of a class in all lanes.
type LaneClass struct {
	Floor    float64 `json:"floor" min:"0.001" max:"1"` // share of capacity; 0.02 if absent
	ComeBack *bool   `json:"come_back"`                 // a refusal names a time to come back; true if absent, where settings allow
}

// Bounds of the lanes' section of the operators' file.
const (
	lanesAt = fleetAt + ".lanes"

	// LaneSlot is seconds. Twice as long: an account that is cut waits so much longer for the others' turn; half: it is cut
	// and taken back twice as often, and clocks that differ by a second matter twice as much.
	LaneSlot = 10
	// LaneFloor is a share of capacity. Twice as much: less is left to guarantee; half: a lane of large queries starves.
	LaneFloor = 0.02

	// LanesMost lanes, AccountsMost accounts, KeysMost tenants, marks and routes of all accounts together. What is over is
	// refused.
	LanesMost    = 8
	AccountsMost = 10_000
	KeysMost     = 40_000
	// LaneNameMost is bytes of a lane's or an account's name, MarkMost those of a mark.
	LaneNameMost = 64
	MarkMost     = 128

	// AccountMemory is bytes for one account: what is agreed of it, two compiled forms while a change comes, its counts and
	// leases.
	AccountMemory = 2 << 10
)

// Lends tells whether what the lane's accounts leave idle is others' meanwhile.
func (l *Lane) Lends() bool { return l.Lend == nil || *l.Lend }

// Names tells whether a refusal of the class names a time to come back.
func (c LaneClass) Names() bool { return c.ComeBack == nil || *c.ComeBack }

// ClassOf is what holds for a class, named or not.
func (l *Lanes) ClassOf(name string) LaneClass {
	c := l.Classes[name]
	if c.Floor == 0 {
		c.Floor = LaneFloor
	}
	return c
}

func (l *Lanes) defaults() {
	if l.Slot == 0 {
		l.Slot = LaneSlot
	}
	for i := range l.Lanes {
		if l.Lanes[i].Floor == 0 {
			l.Lanes[i].Floor = LaneFloor
		}
	}
}
