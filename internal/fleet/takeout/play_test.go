package takeout_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"birchcart/internal/fleet/statemachine"
	"birchcart/internal/fleet/takeout"
)

const (
	players = 12 // replicas, and a quarter as many co-ordinators
	second  = time.Second
)

// play runs seeded commands, sensible and senseless ones, through a state machine. On the way it loads snapshots of itself and
// repeats commands; the invariants are looked at after each.
func play(t testing.TB, seed uint64, steps int) (digest uint64, grants int) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	s := takeout.New()
	l := statemachine.New(map[string]statemachine.Part{"takeout": s})
	now, index, no := 1000*second, uint64(0), 0
	var log [][]byte
	apply := func(raw []byte) error {
		index++
		err := l.Apply(index, raw)
		if e := l.Check(); e != nil {
			t.Fatalf("seed %d, entry %d %.200s: %v", seed, index, raw, e)
		}
		return err
	}
	do := func(kind string, body any) error {
		b, _ := json.Marshal(body)
		no++
		raw, err := statemachine.Command{V: 1, ID: fmt.Sprint(no), Part: "takeout", Kind: kind, At: now, Body: b}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		log = append(log, raw)
		return apply(raw)
	}
	lim := takeout.Limits{Cells: players / 2, Reach: 2, Shards: players / 2, HoldersLeast: 2, OutByZone: 2, OutMost: 4,
		Headroom: .2, LoadAge: 30 * second, ListAge: 30 * second, WarmUp: 10 * second, Lease: 2 * second, Grace: second,
		Settle: 5 * second, Calm: 8 * second, PassedMost: 3, VotersLeast: 2}
	must(t, do("limits", takeout.LimitsBody{Revision: 1, Limits: lim}))
	world := map[string]takeout.Machine{}
	var names, said []string
	for i := range players {
		n := fmt.Sprintf("r%02d", i)
		names = append(names, n)
		world[n] = takeout.Machine{Name: n, Kind: takeout.Replica, Zone: fmt.Sprint("z", i%3), Cell: i % lim.Cells,
			Status: takeout.Up}
	}
	for i := range players / 4 {
		n := fmt.Sprintf("c%02d", i)
		names, said = append(names, n), append(said, n)
		world[n] = takeout.Machine{Name: n, Kind: takeout.Coordinator, Zone: fmt.Sprint("z", i), Status: takeout.Up,
			Voter: true}
	}
	observe := func() {
		b := takeout.ObserveBody{Whole: rnd.IntN(3) > 0, Load: 2, LoadKnown: rnd.IntN(20) > 0}
		for _, n := range names {
			b.Machines = append(b.Machines, world[n])
		}
		_ = do("observe", b)
	}
	observe()
	asks := takeout.AsksBody{}
	for range steps {
		now += time.Duration(rnd.Int64N(int64(2 * second)))
		name := names[rnd.IntN(len(names))]
		m := world[name]
		it, live := s.Item(name)
		switch k := rnd.IntN(40); {
		case k == 0:
			asks.Revision++
			asks.Requests = append([]takeout.Request{{ID: fmt.Sprint("q", asks.Revision), Reason: "work",
				Prefix: []string{"r", "c", "r0", "c0"}[rnd.IntN(4)], For: 20 * second,
				Priority: takeout.Priority(rnd.IntN(2))}}, asks.Requests...)
			asks.Requests = asks.Requests[:min(len(asks.Requests), 1+rnd.IntN(4))]
			must(t, do("asks", asks))
		case k == 1 && rnd.IntN(3) == 0: // outside the plan
			m.Status, m.Started = takeout.Gone, now
			world[name] = m
			observe()
		case k < 12: // what is told goes and comes
			if live && (it.Phase == takeout.Told || it.Phase == takeout.Out) || m.Status != takeout.Up {
				m.Status = []takeout.Status{takeout.Gone, takeout.Up, takeout.Up, takeout.Unknown}[rnd.IntN(4)]
				m.Started = now
				world[name] = m
			}
			observe()
		case k < 22:
			if live && it.Phase == takeout.Granted {
				_ = do("told", takeout.ToldBody{Machine: name, Fence: it.Fence, Said: said}) // refused if its time ended
			}
		case k == 22:
			_ = do("withdraw", takeout.WithdrawBody{Machine: name, Fence: it.Fence, Why: "test"})
		case k == 23:
			_ = apply(log[rnd.IntN(len(log))])
		case k == 24:
			raw, err := l.Save()
			must(t, err)
			s = takeout.New()
			other := statemachine.New(map[string]statemachine.Part{"takeout": s})
			must(t, other.Load(raw))
			if other.Digest() != l.Digest() {
				t.Fatalf("seed %d: a loaded snapshot is another state", seed)
			}
			l = other
		default:
			open := s.Open()
			if len(open) == 0 {
				continue
			}
			o := open[rnd.IntN(len(open))]
			must(t, do("tick", takeout.TickBody{})) // ends what is over, which MayGo does not
			_, may := s.MayGo(now, o.Machine)
			err := do("grant", takeout.GrantBody{Request: o.Request, Machine: o.Machine, Until: now + 10*second})
			if err == nil {
				grants++
			}
			if err == nil && may != nil {
				t.Fatalf("seed %d: granted %s, and MayGo: %v", seed, o.Machine, may)
			}
		}
	}
	return l.Digest(), grants
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil && !errors.Is(err, statemachine.ErrDuplicate) {
		t.Fatal(err)
	}
}

func TestPlayIsTheSame(t *testing.T) {
	grants := 0
	for seed := range uint64(15) {
		was := runtime.GOMAXPROCS(1)
		one, n := play(t, seed, 400)
		runtime.GOMAXPROCS(4)
		four, _ := play(t, seed, 400)
		runtime.GOMAXPROCS(was)
		if one != four {
			t.Fatalf("seed %d: %x and %x", seed, one, four)
		}
		grants += n
	}
	if grants < 500 {
		t.Fatalf("%d grants only: the play tries too little", grants)
	}
}

// BenchmarkGrant is a grant at 200 replicas and 300 co-ordinators, with MayGo asked of all replicas before it.
func BenchmarkGrant(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		s, now := big(b)
		b.StartTimer()
		may := 0
		for i := range 200 {
			if _, err := s.MayGo(now, fmt.Sprintf("r%03d", i)); err == nil {
				may++
			}
		}
		body, _ := json.Marshal(takeout.GrantBody{Request: "all", Machine: "r000", Until: now + second})
		must(b, s.Apply(now, func() uint64 { return 1 }, "grant", body))
		if may != 200 {
			b.Fatal(may)
		}
	}
}

func big(t testing.TB) (*takeout.State, time.Duration) {
	s, now := takeout.New(), 1000*second
	do := func(kind string, body any) {
		raw, _ := json.Marshal(body)
		must(t, s.Apply(now, nil, kind, raw))
	}
	do("limits", takeout.LimitsBody{Revision: 1, Limits: takeout.Limits{Cells: 100, Reach: 4, Shards: 100, HoldersLeast: 4,
		OutByZone: 20, OutMost: 40, LoadAge: second, ListAge: second, Lease: second, PassedMost: 9}})
	var b takeout.ObserveBody
	for i := range 200 {
		m := takeout.Machine{Name: fmt.Sprintf("r%03d", i), Kind: takeout.Replica, Cell: i / 2, Status: takeout.Up}
		b.Machines = append(b.Machines, m)
	}
	for i := range 300 {
		b.Machines = append(b.Machines, takeout.Machine{Name: fmt.Sprintf("c%03d", i), Kind: takeout.Coordinator, Status: takeout.Up})
	}
	b.Whole, b.LoadKnown, b.Load = true, true, 10
	do("observe", b)
	do("asks", takeout.AsksBody{Revision: 1, Requests: []takeout.Request{{ID: "all", Kind: takeout.Replica, For: second}}})
	return s, now
}
