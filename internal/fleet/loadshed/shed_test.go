package loadshed

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/exchange"
	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/fleet/member"
	"birchcart/internal/operator"
	"birchcart/internal/settings"
	"birchcart/policy"
)

var startTime = time.Unix(1_800_000_000, 0)

var settingsNames = &settings.Names{Classes: []string{"q"}, Tenants: []string{"gold", "other"}}

func section(accounts int) *operator.Lanes {
	l := &operator.Lanes{Slot: 10, Lanes: []operator.Lane{{Name: "premium", Floor: 0.05}, {Name: "standard", Floor: 0.05}}}
	l.Accounts = []operator.Account{{Name: "gold", Lane: "premium", Tenants: []string{"gold"}, Marks: []string{"g"}, Guarantee: 0.3}}
	for i := 1; i < accounts; i++ {
		l.Accounts = append(l.Accounts, operator.Account{Name: fmt.Sprint("a", i), Lane: "premium", Marks: []string{fmt.Sprint("m", i)}, Guarantee: 0.4 / float64(accounts)})
	}
	return l
}

func compile(t testing.TB, l *operator.Lanes, revision int) *laneconfig.Set {
	s, err := laneconfig.Compile(l, revision, settingsNames, nil)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// testFleet is a fleet that runs in one goroutine with a simulated clock. Its replicas together serve a given capacity and reject
// the rest.
type testFleet struct {
	testing.TB
	now          time.Duration
	set          *laneconfig.Set
	shedders     []*Shedder
	names        []string
	bytes        []int               // sent by each node, with headers
	cut          func(i, j int) bool // whether the link from i to j is cut; nil: none is
	latency      func() time.Duration
	inFlight     []packet
	rng          *rand.Rand
	capacity     float64 // cost per second that the replicas serve
	capacityLeft float64 // of it now
	log          bytes.Buffer
}

type packet struct {
	arrivesAt time.Duration
	from, to  int
	raw       []byte
}

func newTestFleet(t testing.TB, n int, name string, set *laneconfig.Set) *testFleet {
	s := &testFleet{TB: t, set: set, rng: rand.New(rand.NewPCG(1, 2)), bytes: make([]int, n), now: time.Second}
	s.latency = func() time.Duration { return time.Duration(s.rng.Int64N(int64(50 * time.Millisecond))) }
	log := logrus.New()
	log.Out = &s.log
	index := map[string]int{}
	for i := range n {
		s.names = append(s.names, fmt.Sprintf(name, i))
		index[s.names[i]] = i
	}
	for i := range n {
		first := true
		shedder := newShedder(Options{
			Name: s.names[i], Zone: name[:min(len(name), 2)], Incarnation: 1, StartTime: startTime, FleetSize: n, Seed: 7, Log: logrus.NewEntry(log),
			Policy: &policy.Config{Classes: []policy.Class{{Promise: 1}}},
			CurrentSet: func(time.Duration, int) (*laneconfig.Set, bool, int) {
				changed := first || s.shedders[i].set != s.set
				first = false
				return s.set, changed, s.set.Revision
			},
			Membership: func() Membership { return Membership{AgreedCount: n, Names: s.names, Live: s.names} },
			AgreedTime: func() time.Duration { return 0 },
			WallTime:   func() time.Duration { return s.now },
			Send: func(to string, raw []byte) {
				j := index[to]
				s.bytes[i] += headerOverhead + len(s.names[i]) + len(raw)
				if len(raw) > MaxMessageSize {
					t.Fatalf("message of %d bytes", len(raw))
				}
				if s.cut == nil || !s.cut(i, j) {
					s.inFlight = append(s.inFlight, packet{s.now + s.latency(), i, j, raw})
				}
			},
		}, func() time.Duration { return s.now })
		s.shedders = append(s.shedders, shedder)
	}
	return s
}

// run simulates the fleet for a time span. rates gives the query rates of each node; the results count the admitted and all queries
// by node.
func (s *testFleet) run(span time.Duration, rates func(i int) (gold, other float64)) (gold, other [][2]int) {
	const tick = 10 * time.Millisecond
	n := len(s.shedders)
	gold, other = make([][2]int, n), make([][2]int, n)
	for end := s.now + span; s.now < end; s.now += tick {
		s.capacityLeft = min(s.capacityLeft+s.capacity*tick.Seconds(), 0.1*s.capacity+1)
		undelivered := s.inFlight[:0]
		for _, p := range s.inFlight {
			if p.arrivesAt <= s.now {
				s.shedders[p.to].Receive(s.names[p.from], p.raw)
			} else {
				undelivered = append(undelivered, p)
			}
		}
		s.inFlight = undelivered
		type arrival struct{ node, tenant int }
		var arrivals []arrival
		for i, p := range s.shedders {
			if (int(s.now/tick)+7*i)%25 == 0 {
				p.step(s.now)
			}
			if rates != nil {
				g, o := rates(i)
				for tenant, rate := range []float64{g, o} {
					for range s.randomRound(rate * tick.Seconds()) {
						arrivals = append(arrivals, arrival{i, tenant})
					}
				}
			}
		}
		s.rng.Shuffle(len(arrivals), func(i, j int) { arrivals[i], arrivals[j] = arrivals[j], arrivals[i] })
		for _, c := range arrivals {
			counts := &[][][2]int{gold, other}[c.tenant][c.node]
			if counts[1]++; s.query(s.shedders[c.node], c.tenant) {
				counts[0]++
			}
		}
	}
	return gold, other
}

// randomRound rounds up or down at random, so that the result has the given mean.
func (s *testFleet) randomRound(mean float64) (k int) {
	for k = int(mean); s.rng.Float64() < mean-float64(int(mean)); k++ {
		mean = float64(int(mean))
	}
	return k
}

// query makes a query at a node, and ends it at once according to the capacity left.
func (s *testFleet) query(p *Shedder, tenant int) (admitted bool) {
	at := startTime.Add(s.now)
	q := &exchange.Query{ID: fmt.Sprint(s.rng.Uint64()), Tenant: tenant, Parts: []exchange.Part{{}}, Received: at}
	if tenant > 0 {
		q.Tenant, q.Client = -1, fmt.Sprint("c", s.rng.IntN(1000))
	}
	verdict := p.Admit(at, q, -1)
	if verdict.Rejected {
		return false
	}
	outcome := exchange.LaneOutcome{Status: exchange.Served, Took: 100 * time.Millisecond}
	if s.capacityLeft < verdict.Cost {
		outcome = exchange.LaneOutcome{Status: exchange.Rejected}
	} else {
		s.capacityLeft -= verdict.Cost
	}
	p.QueryEnded(at, verdict, outcome)
	return true
}

func (s *testFleet) checkInvariantsHeld() {
	s.Helper()
	if text := s.log.String(); strings.Contains(text, "does not hold") {
		s.Error(text)
	}
}

func total(counts [][2]int) (admitted, offered int) {
	for _, x := range counts {
		admitted, offered = admitted+x[0], offered+x[1]
	}
	return admitted, offered
}

// A flood of standard queries at one co-ordinator overloads the whole fleet. All co-ordinators admit premium queries within the
// guarantee, shed at about the same level, and stop once the flood is over. The log has a summary of each lane, and no lines while
// no queries arrive.
func TestFloodIsShedAndPremiumIsAdmitted(t *testing.T) {
	s := newTestFleet(t, 5, "n%d", compile(t, section(1), 1))
	s.capacity = 450
	// Sums clip the rate of a node that has most of the traffic, so the guaranteed rate is computed from a lower total. Gold stays
	// below it.
	calm := func(int) (float64, float64) { return 8, 50 }
	gold, other := s.run(10*time.Second, calm)
	for _, of := range [][][2]int{gold, other} {
		if admitted, offered := total(of); admitted != offered {
			t.Errorf("before the flood: %d of %d admitted", admitted, offered)
		}
	}
	flood := func(i int) (float64, float64) {
		if i == 0 {
			return 8, 600
		}
		return 8, 50
	}
	s.run(20*time.Second, flood)
	gold, other = s.run(20*time.Second, flood)
	g, gAll := total(gold)
	o, oAll := total(other)
	low, high := 1.0, 0.0
	for _, p := range s.shedders {
		low, high = min(low, p.control.Level()), max(high, p.control.Level())
		if p.fleet.FreshReports != 5 {
			t.Errorf("%d fresh reports of 5", p.fleet.FreshReports)
		}
	}
	t.Logf("1.8 x: gold %d of %d, standard %d of %d, levels %.2f to %.2f", g, gAll, o, oAll, low, high)
	if float64(g) < 0.99*float64(gAll) || o > oAll*3/4 || o < oAll/8 || low < 0.25 || high-low > 0.15 {
		t.Error("during the flood: admissions or levels out of bounds")
	}
	text := s.log.String()
	for _, want := range []string{`msg="lane configuration applied"`, `msg="the fleet sheds load by lanes"`, "lane=premium", "lane=standard", "refused_cut=", "msg=\"load shedding summary\"", "fleet_pressure="} {
		if !strings.Contains(text, want) {
			t.Errorf("the log does not contain %s:\n%.3000s", want, text)
		}
	}
	s.run(30*time.Second, calm)
	_, other = s.run(5*time.Second, calm)
	if admitted, offered := total(other); admitted != offered {
		t.Errorf("after the flood: %d of %d admitted", admitted, offered)
	}
	s.run(12*time.Second, nil)
	s.log.Reset()
	s.run(30*time.Second, nil)
	if s.log.Len() > 0 {
		t.Errorf("logged without queries: %s", s.log.String())
	}
	s.checkInvariantsHeld()
}

// A co-ordinator without contact to the others sheds only what its own queries require, and keeps its even share of the guarantee.
func TestIsolatedNodeShedsByLocalLoad(t *testing.T) {
	s := newTestFleet(t, 5, "n%d", compile(t, section(1), 1))
	s.capacity = 500
	flood := func(int) (float64, float64) { return 20, 250 }
	s.run(15*time.Second, flood)
	if s.shedders[4].control.Level() < 0.3 {
		t.Fatalf("level %v", s.shedders[4].control.Level())
	}
	s.cut = func(i, j int) bool { return i == 4 || j == 4 }
	quiet := func(i int) (float64, float64) {
		if i == 4 {
			return 20, 30
		}
		return 20, 50
	}
	s.run(25*time.Second, quiet)
	gold, other := s.run(10*time.Second, quiet)
	p := s.shedders[4]
	t.Logf("isolated: gold %v, standard %v, level %.2f, fleet known %v", gold[4], other[4], p.control.Level(), p.fleet.Known)
	if p.fleet.Known || p.control.Level() > 0 || gold[4][0] != gold[4][1] || other[4][0] != other[4][1] {
		t.Error("the isolated node sheds load, or has fresh reports")
	}
	s.cut = nil
	s.run(5*time.Second, quiet)
	if !p.fleet.Known {
		t.Error("the fleet is not known after contact is back")
	}
	s.checkInvariantsHeld()
}

// An account that sends most of its guaranteed load to one co-ordinator is admitted there, because shares of the guarantee move
// with demand.
func TestGuaranteeMovesToDemand(t *testing.T) {
	s := newTestFleet(t, 5, "n%d", compile(t, section(1), 1))
	s.capacity = 500
	rates := func(i int) (float64, float64) {
		if i == 0 {
			return 70, 230
		}
		return 2, 230
	}
	s.run(25*time.Second, rates)
	gold, _ := s.run(20*time.Second, rates)
	t.Logf("%v admitted and offered, with an even share of 30 per second", gold[0])
	if gold[0][0] < gold[0][1]*85/100 {
		t.Errorf("%v admitted and offered, share %v, home share %v", gold[0], s.shedders[0].shares.Usable(0), s.shedders[0].shares.HomeShare())
	}
	s.checkInvariantsHeld()
}

// All queries of a client have one key, unless most of the traffic comes from its address: then it has one key per partition.
func TestHeavyClientIsShedInPartitions(t *testing.T) {
	set := compile(t, section(1), 1)
	var c shedKeys
	keys := map[string]map[uint64]bool{}
	for i := range 5000 {
		client := fmt.Sprint("c", i%50)
		if i%2 == 0 {
			client = "gateway"
		}
		if keys[client] == nil {
			keys[client] = map[uint64]bool{}
		}
		key := c.key(set, &exchange.Query{ID: fmt.Sprint(i), Tenant: -1, Client: client}, 1)
		if i > 500 {
			keys[client][key] = true
		}
		if i%100 == 0 {
			c.decay()
		}
	}
	if len(keys["gateway"]) != partitionCount || len(keys["c1"]) != 1 || len(keys["c49"]) != 1 {
		t.Error(len(keys["gateway"]), len(keys["c1"]), len(keys["c49"]))
	}
}

// Guards against replicas that idle while the fleet sheds: an account with most of the load is shed in partitions, so that the
// admitted load matches the level.
func TestHeavyAccountIsShedInPartitions(t *testing.T) {
	lanes := section(1)
	lanes.Accounts[0].Lane, lanes.Accounts[0].Guarantee = "standard", 0
	s := newTestFleet(t, 5, "n%d", compile(t, lanes, 1))
	s.capacity = 500
	overload := func(int) (float64, float64) { return 180, 20 } // twice the capacity
	s.run(15*time.Second, overload)
	const window = 5 * time.Second // half a slot
	for range 4 {
		gold, other := s.run(window, overload)
		g, gAll := total(gold)
		o, oAll := total(other)
		if float64(g+o) < 0.5*s.capacity*window.Seconds() {
			t.Errorf("%d of %d queries of the account and %d of %d others admitted, capacity %.0f", g, gAll, o, oAll, s.capacity*window.Seconds())
		}
	}
	s.checkInvariantsHeld()
}

// All co-ordinators change their configuration during overload: an account that moves to a lower lane is shed, and nothing else
// breaks.
func TestConfigurationChangeDuringOverload(t *testing.T) {
	s := newTestFleet(t, 5, "n%d", compile(t, section(1), 1))
	s.capacity = 500
	flood := func(int) (float64, float64) { return 20, 250 }
	s.run(15*time.Second, flood)
	next := section(3)
	next.Accounts[0].Lane, next.Accounts[0].Guarantee, next.Accounts[0].Name = "standard", 0, "gold2"
	s.set = compile(t, next, 2)
	s.run(time.Second, flood)
	gold, _ := s.run(10*time.Second, flood)
	if admitted, offered := total(gold); admitted > offered*9/10 {
		t.Errorf("%d of %d admitted of the account that moved to a lower lane", admitted, offered)
	}
	verdict := s.shedders[2].Admit(startTime.Add(s.now), &exchange.Query{Tenant: -1, LaneMark: "m1", Parts: make([]exchange.Part, 1)}, -1)
	if verdict.Rejected || verdict.Lane != 0 || verdict.Account != 1 {
		t.Errorf("an account that the new configuration adds: %+v", verdict)
	}
	s.set = compile(t, section(1), 3)
	s.run(15*time.Second, flood)
	gold, _ = s.run(10*time.Second, flood)
	if admitted, offered := total(gold); admitted < offered*98/100 {
		t.Errorf("%d of %d admitted of the account that moved to a higher lane", admitted, offered)
	}
	s.checkInvariantsHeld()
}

// Each of 300 co-ordinators keeps to its send rate limit, with long names and with hundreds of accounts that borrow shares, and
// still has enough fresh reports.
func TestSendRateOf300Coordinators(t *testing.T) {
	if raceOn {
		t.Skip("runs in one goroutine, and takes ten times as long with the race detector")
	}
	for _, name := range []string{"n%d", "eu-west-1a-coord-%03d"} {
		s := newTestFleet(t, 300, name, compile(t, section(400), 1))
		s.capacity = 1e6
		i := 0
		rates := func(int) (float64, float64) { return 4, 0 }
		for _, p := range s.shedders { // every node has more demand than its share of some accounts
			for range 100 {
				i++
				p.Admit(startTime.Add(s.now), &exchange.Query{Tenant: -1, LaneMark: fmt.Sprint("m", 1+i%399), Parts: make([]exchange.Part, 50)}, -1)
			}
		}
		s.run(1500*time.Millisecond, rates)
		clear(s.bytes)
		const span = 3
		s.run(span*time.Second, rates)
		maxBytes, minFresh := 0, 300
		for i, p := range s.shedders {
			maxBytes, minFresh = max(maxBytes, s.bytes[i]/span), min(minFresh, p.fleet.FreshReports)
			if !p.fleet.Known {
				t.Errorf("%s: the fleet is not known", s.names[i])
			}
		}
		t.Logf("%s: at most %d bytes per second, at least %d fresh reports", name, maxBytes, minFresh)
		if maxBytes > 2048 || minFresh < 13 {
			t.Error("too many bytes, or too few fresh reports")
		}
		s.checkInvariantsHeld()
	}
}

func TestLongestNameFitsMessage(t *testing.T) {
	if MaxMessageSize+2+member.MaxNameLength > member.MaxPacketMessage || MaxMessageSize < 1000 {
		t.Error(MaxMessageSize)
	}
}

// Run, the exchange's calls and received messages use a Shedder from different goroutines.
func TestShedderConcurrentUse(t *testing.T) {
	set, first := compile(t, section(20), 1), true
	messages := make(chan []byte, 100)
	p := New(Options{
		Name: "n0", Incarnation: 1, StartTime: time.Now(), FleetSize: 2, Policy: &policy.Config{Classes: []policy.Class{{Promise: 1}}},
		Log: logrus.NewEntry(logrus.New()), AgreedTime: func() time.Duration { return 0 },
		CurrentSet: func(time.Duration, int) (*laneconfig.Set, bool, int) {
			changed := first
			first = false
			return set, changed, 1
		},
		Membership: func() Membership { return Membership{Names: []string{"n0", "n1"}, Live: []string{"n1"}} },
		Send:       func(to string, raw []byte) { messages <- raw },
	})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan struct{})
	go func() { p.Run(ctx); close(ended) }()
	for got, i := 0, 0; got < 2; i++ {
		verdict := p.Admit(time.Now(), &exchange.Query{Tenant: i % 2, Parts: make([]exchange.Part, 1)}, -1)
		p.QueryEnded(time.Now(), verdict, exchange.LaneOutcome{})
		p.Receive("n1", encodeMessage(nil, exampleReport("n1")))
		select {
		case raw := <-messages:
			got++
			if reports, _, err := decodeMessage(raw, "n0", "n1"); err != nil || len(reports) == 0 || reports[0].From != "n0" {
				t.Error(reports, err)
			}
		case <-time.After(10 * time.Millisecond):
			if i > 2000 {
				t.Fatal("no message in 20 s")
			}
		}
	}
	stop()
	<-ended
}
