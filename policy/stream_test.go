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
	"bb0b6423e1498c107f7491b64a5f9cce", "02d2702306bfbaaf6d927734da927edb", "e828e92c98abf69448605452615013f0",
	"8172114977b775d4f54e2e6f8a7f72e7", "f77f0a65176d1a4c7a873b20099706d7", "190e018b24cf7faa52135f413452463e",
	"5b93ad22180f5468a0f7ee1a7090d819", "37758b27a5f9f67b9384705b4f8e42d3", "cc5422235f990612da00861d9c0d9a50",
	"1ceccf177e0e445a31a30a5c35c7da71", "2fa78a0c8b01a83c048ec5f9cd90a6ff", "288711ac171bf0512cb83a8402a02a84",
	"e93348cdce058211e95f25b9241cc5ed", "bd76e361b6f1aa84f2dc03b3de3771da", "a6ffca4143f9ae981639cdcdd8ed2128",
	"029df8ea39cbf54c06c6ed3b1b2c4a7d", "377b39fc59385ef5a559f4abf2523f9e", "ee04cc656742bbc3c2caa777117258cc",
	"5d062c7b01e8e23559010664d614e723", "c743b327347e9e3eee5bef281c901500", "91487b3e08572771e9038f9b8b2bc60a",
	"a55e48addcb883c407aac26cad8b9407", "2b234c178b98bf250aaac2e1125ad3fd", "5ac8178c36870ed26694e2ff14596d39",
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

// recordedForm is an action in the form of the recorded streams, which is older than its reason: that is for the log alone.
func recordedForm(a Action) any {
	return struct {
		Verb                         Verb
		Full                         bool
		Query, Part, Replica, Handle uint64
		Attempt                      int
		TryFor, After                float64
		Text                         string
	}{a.Verb, a.Full, a.Query, a.Part, a.Replica, a.Handle, a.Attempt, a.TryFor, a.After, a.Text}
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
			fmt.Fprintln(sum, recordedForm(a))
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
