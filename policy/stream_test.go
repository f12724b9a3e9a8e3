package policy_test

import (
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"runtime"
	"testing"

	. "birchcart/policy"
)

// streams are the digests of all actions of seeded runs, one for each seed and with it one for each configuration
// (see randomConfig). They were recorded before the decisions were split into files by stage.
var streams = []string{
	"3b5704dab9b57809332f4b864a546a42", "02d2702306bfbaaf6d927734da927edb", "37d788bf1d22c72e985cb31d2960290c",
	"ded445f29fc93bf38e596129e1c7bbe1", "9bce1097cce130a709f309cb793ad1a5", "3a62a551d9788d2fece13b105640238a",
	"d50c4a626898083fb7c2ae860dad3599", "464ae436bc243b2b299db866a9c1f038", "1deb064bd84b0993240a5b8d6e29e4d0",
	"ce709109bf4e27378dd719d0b61346b3", "e0dc9b01a49d313ac2500cdc6921d220", "327e212587e74ea0b34b665c945387b0",
	"971a6b9dc73859369e89dd0c60bcb3b2", "ccb728b30a22e99373dfbf870ace51f6", "85aa379ff59342fff2071bcf8546b24d",
	"25cea3a7c6431eea70eb46b64dfe7c98", "4a3f594d4f6d05dae7dccfc2730de362", "d925cda5b7a5f735699f227af76acc32",
	"60385437161b5cadd5ccd63e9ab44f37", "31f2cb9ed3406d91ba7969175a81879b", "883af264d0dd8243b5b3fdba99f38763",
	"9837da7ff1900b0e6f79d4e75f0df61c", "e7f102745f34a7ed76e53f988cf6e2ee", "36ec48e1b8e57c2af4e20dd020d03e44",
}

var narrowed = []*Limits{
	{Time: 1, TryFor: 0.4, Attempts: 2}, {Step: 0.6, NoCopies: true, Yield: true}, {CopyAfter: 0.5, Share: 0.3, ComeBack: 0.1, Floor: 0.9},
}

// routesAndWork gives most queries a route with limits, and parts a hint of their work.
func routesAndWork(ev *Event) {
	switch ev.Kind {
	case QueryArrived:
		if ev.Route = int(ev.Query % 4); ev.Route > 0 {
			ev.Limits = narrowed[ev.Route-1]
		}
	case PartArrived:
		ev.Work = float64(1 + ev.Part%7)
	}
}

// A change that is meant to change no decision leaves each stream of actions as it was, byte for byte. One that is
// meant to change some records anew what this test prints, and says so.
func TestSeededStreamsStayTheSame(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("recorded on amd64: others may fuse products and sums, which rounds otherwise")
	}
	seen := map[Verb]int{}
	for seed := range uint64(24) {
		sum := fnv.New128a()
		w := newWorld(5000+seed, func(a Action) Action {
			seen[a.Verb]++
			fmt.Fprintln(sum, a)
			return a
		})
		if seed%2 > 0 {
			w.dress = routesAndWork
		}
		for i := range 1000 {
			w.step()
			fmt.Fprintln(sum, i)
			if i%150 == 149 {
				w.turn([]Event{{Kind: ListFailed}})
			}
			if i%300 == 299 { // the instance stands still
				w.now += 0.4
			}
		}
		got := hex.EncodeToString(sum.Sum(nil))
		if seed >= uint64(len(streams)) || got != streams[seed] {
			t.Errorf("seed %d: the stream of actions has digest %q", seed, got)
		}
	}
	for _, v := range []Verb{Send, Cancel, Answer, Refuse, Fail, Timer, Watch, Log} {
		if seen[v] < 20 {
			t.Errorf("%d actions of verb %d: too few to tell anything", seen[v], v)
		}
	}
}
