package maintenance_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/statemachine"
)

const (
	replicaCount = 12 // there are a quarter as many co-ordinators
	second       = time.Second
)

// runRandomCommands applies seeded random commands, valid and invalid ones, to a state machine. Some steps repeat an earlier command
// or continue on a loaded snapshot. The invariants are checked after each command.
func runRandomCommands(t testing.TB, seed uint64, steps int) (digest uint64, grants int) {
	// Long: one loop draws all kinds of commands, so that a seed determines their order.
	rnd := rand.New(rand.NewPCG(seed, 1))
	s := maintenance.New()
	machine := statemachine.New(map[string]statemachine.Part{"takeout": s})
	now, index, commandNo := 1000*second, uint64(0), 0
	var log [][]byte
	apply := func(raw []byte) error {
		index++
		err := machine.Apply(index, raw)
		if e := machine.Check(); e != nil {
			t.Fatalf("seed %d, entry %d %.200s: %v", seed, index, raw, e)
		}
		return err
	}
	do := func(kind string, body any) error {
		b, _ := json.Marshal(body)
		commandNo++
		raw, err := statemachine.Command{V: 1, ID: fmt.Sprint(commandNo), Part: "takeout", Kind: kind, At: now, Body: b}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		log = append(log, raw)
		return apply(raw)
	}
	limits := maintenance.Limits{Cells: replicaCount / 2, Reach: 2, Shards: replicaCount / 2, MinHolders: 2, MaxOutPerZone: 2, MaxOut: 4,
		Headroom: .2, MaxLoadAge: 30 * second, MaxInventoryAge: 30 * second, WarmUp: 10 * second, Lease: 2 * second, Grace: second,
		SettleTime: 5 * second, FailurePause: 8 * second, MaxPassedOver: 3, MinVoters: 2}
	must(t, do("limits", maintenance.LimitsBody{Revision: 1, Limits: limits}))
	inventory := map[string]maintenance.Machine{}
	var names, coordinators []string
	for i := range replicaCount {
		n := fmt.Sprintf("r%02d", i)
		names = append(names, n)
		inventory[n] = maintenance.Machine{Name: n, Kind: maintenance.Replica, Zone: fmt.Sprint("z", i%3), Cell: i % limits.Cells,
			Status: maintenance.Up}
	}
	for i := range replicaCount / 4 {
		n := fmt.Sprintf("c%02d", i)
		names, coordinators = append(names, n), append(coordinators, n)
		inventory[n] = maintenance.Machine{Name: n, Kind: maintenance.Coordinator, Zone: fmt.Sprint("z", i), Status: maintenance.Up,
			Voter: true}
	}
	observe := func() {
		b := maintenance.ObserveBody{Complete: rnd.IntN(3) > 0, Load: 2, LoadKnown: rnd.IntN(20) > 0}
		for _, n := range names {
			b.Machines = append(b.Machines, inventory[n])
		}
		_ = do("observe", b)
	}
	observe()
	requests := maintenance.RequestsBody{}
	for range steps {
		now += time.Duration(rnd.Int64N(int64(2 * second)))
		name := names[rnd.IntN(len(names))]
		m := inventory[name]
		it, live := s.ActiveItem(name)
		switch k := rnd.IntN(40); {
		case k == 0:
			requests.Revision++
			requests.Requests = append([]maintenance.Request{{ID: fmt.Sprint("q", requests.Revision), Reason: "work",
				Prefix: []string{"r", "c", "r0", "c0"}[rnd.IntN(4)], MaxOutage: 20 * second,
				Priority: maintenance.Priority(rnd.IntN(2))}}, requests.Requests...)
			requests.Requests = requests.Requests[:min(len(requests.Requests), 1+rnd.IntN(4))]
			must(t, do("asks", requests))
		case k == 1 && rnd.IntN(3) == 0: // an unplanned failure
			m.Status, m.Started = maintenance.Gone, now
			inventory[name] = m
			observe()
		case k < 12: // acknowledged machines go out and return
			if live && (it.Phase == maintenance.Acknowledged || it.Phase == maintenance.Out) || m.Status != maintenance.Up {
				m.Status = []maintenance.Status{maintenance.Gone, maintenance.Up, maintenance.Up, maintenance.Unknown}[rnd.IntN(4)]
				m.Started = now
				inventory[name] = m
			}
			observe()
		case k < 22:
			if live && it.Phase == maintenance.Granted {
				// Rejected if the grant has expired.
				_ = do("told", maintenance.AcknowledgeBody{Machine: name, Fence: it.Fence, Acknowledged: coordinators})
			}
		case k == 22:
			_ = do("withdraw", maintenance.WithdrawBody{Machine: name, Fence: it.Fence, Reason: "test"})
		case k == 23:
			_ = apply(log[rnd.IntN(len(log))])
		case k == 24:
			raw, err := machine.Save()
			must(t, err)
			s = maintenance.New()
			other := statemachine.New(map[string]statemachine.Part{"takeout": s})
			must(t, other.Load(raw))
			if other.Digest() != machine.Digest() {
				t.Fatalf("seed %d: a loaded snapshot has a different digest", seed)
			}
			machine = other
		default:
			open := s.Open()
			if len(open) == 0 {
				continue
			}
			o := open[rnd.IntN(len(open))]
			must(t, do("tick", maintenance.TickBody{})) // ends items past their deadline, which MayGrant does not
			_, checkErr := s.MayGrant(now, o.Machine)
			err := do("grant", maintenance.GrantBody{Request: o.Request, Machine: o.Machine, Until: now + 10*second})
			if err == nil {
				grants++
			}
			if err == nil && checkErr != nil {
				t.Fatalf("seed %d: granted %s, but MayGrant returned %v", seed, o.Machine, checkErr)
			}
		}
	}
	return machine.Digest(), grants
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil && !errors.Is(err, statemachine.ErrDuplicate) {
		t.Fatal(err)
	}
}

func TestRandomCommandsAreDeterministic(t *testing.T) {
	grants := 0
	for seed := range uint64(15) {
		previous := runtime.GOMAXPROCS(1)
		single, n := runRandomCommands(t, seed, 400)
		runtime.GOMAXPROCS(4)
		parallel, _ := runRandomCommands(t, seed, 400)
		runtime.GOMAXPROCS(previous)
		if single != parallel {
			t.Fatalf("seed %d: digests %x and %x differ", seed, single, parallel)
		}
		grants += n
	}
	if grants < 500 {
		t.Fatalf("only %d grants: the random commands cover too little", grants)
	}
}

// BenchmarkGrant measures a grant with 200 replicas and 300 co-ordinators, after MayGrant was called for every replica.
func BenchmarkGrant(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		s, now := newLargeState(b)
		b.StartTimer()
		allowed := 0
		for i := range 200 {
			if _, err := s.MayGrant(now, fmt.Sprintf("r%03d", i)); err == nil {
				allowed++
			}
		}
		body, _ := json.Marshal(maintenance.GrantBody{Request: "all", Machine: "r000", Until: now + second})
		must(b, s.Apply(now, func() uint64 { return 1 }, "grant", body))
		if allowed != 200 {
			b.Fatal(allowed)
		}
	}
}

func newLargeState(t testing.TB) (*maintenance.State, time.Duration) {
	s, now := maintenance.New(), 1000*second
	do := func(kind string, body any) {
		raw, _ := json.Marshal(body)
		must(t, s.Apply(now, nil, kind, raw))
	}
	do("limits", maintenance.LimitsBody{Revision: 1, Limits: maintenance.Limits{Cells: 100, Reach: 4, Shards: 100, MinHolders: 4,
		MaxOutPerZone: 20, MaxOut: 40, MaxLoadAge: second, MaxInventoryAge: second, Lease: second, MaxPassedOver: 9}})
	var b maintenance.ObserveBody
	for i := range 200 {
		m := maintenance.Machine{Name: fmt.Sprintf("r%03d", i), Kind: maintenance.Replica, Cell: i / 2, Status: maintenance.Up}
		b.Machines = append(b.Machines, m)
	}
	for i := range 300 {
		b.Machines = append(b.Machines, maintenance.Machine{Name: fmt.Sprintf("c%03d", i), Kind: maintenance.Coordinator, Status: maintenance.Up})
	}
	b.Complete, b.LoadKnown, b.Load = true, true, 10
	do("observe", b)
	do("asks", maintenance.RequestsBody{Revision: 1, Requests: []maintenance.Request{{ID: "all", Kind: maintenance.Replica, MaxOutage: second}}})
	return s, now
}
