package policy_test

import (
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"runtime"
	"testing"

	. "birchcart/policy"
)

// streamDigests holds the digest of all actions of each seeded run, one for each seed. Each seed has its own configuration
// (see randomConfig). The digests were recorded before the decisions were split into files by stage.
var streamDigests = []string{
	"4effe4e42ed09ab47ddea6effcf20f27", "02d2702306bfbaaf6d927734da927edb", "7bfd4e53e9107a38615a6076c6474001",
	"6aa01d72ed554f21fb3b08d621586a60", "6c547cb3c80ac9387e1f8da2e8a2c2c7", "0ced1a9e7c14c94fef2963c651abcb4f",
	"4e35f1c5325b043b5c4155042da92960", "b611d82e0d8575b7e895576948f7e3fa", "0799b0b76a1cfedaf74a0dba340f3049",
	"98ea85bff7b0a6b191f631357d2be599", "91ffb052e40123a98ea85ab7a04ee3d9", "deb9402c02405a274b02a9984b755919",
	"cc4247da0c8854758bc88b3b5d2dfaa3", "345fc6f9e2e09d1343aaef655e3f3fe5", "cedc6f2f9005c1437c6ccacf8aee9590",
	"d8deae84a73fb851d2c002dc8a271ab6", "87f2346c4853f4e82f21c0457fd5b74c", "c7cf308ed70eb0db661a0a7a44892ed8",
	"f5c9739d07ea9ab6df420f525c727d11", "dbcf5ddd2d2bbc41ac7e717bad255ff2", "4d8351178c45506e4934f0053508f591",
	"586e546e97a6f0c212dfaf6451d2472e", "517dabda3cbe28f0d51cfea251785d0b", "c46a0f622816e14414eeb447415bdd61",
}

// routeLimits holds the limits of routes 1 to 3.
var routeLimits = []*Limits{
	{Timeout: 1, AttemptTimeout: 0.4, MaxAttempts: 2}, {StepTimeout: 0.6, NoCopies: true, Yield: true}, {CopyAfter: 0.5, BudgetShare: 0.3, MaxRetryAfter: 0.1, Floor: 0.9},
}

// addRoutesAndWork gives most queries a route with limits, and each part a work hint.
func addRoutesAndWork(ev *Event) {
	switch ev.Kind {
	case QueryArrived:
		if ev.Route = int(ev.Query % 4); ev.Route > 0 {
			ev.Limits = routeLimits[ev.Route-1]
		}
	case PartArrived:
		ev.Work = float64(1 + ev.Part%7)
	}
}

// recordedForm returns an action in the form in which the streams were recorded. It has no Reason: that field was added
// later, for the log only.
func recordedForm(a Action) any {
	return struct {
		Verb                         Verb
		Full                         bool
		Query, Part, Replica, Handle uint64
		Attempt                      int
		TryFor, After                float64
		Text                         string
	}{a.Verb, a.Complete, a.Query, a.Part, a.Replica, a.Handle, a.Attempt, a.AttemptTimeout, a.After, a.Text}
}

// Guards against unintended changes of decisions: a change that is meant to alter none leaves each stream of actions the
// same, byte for byte. A change that is meant to alter some updates the digests to those that this test prints, and its
// commit says so.
func TestSeededStreamsStayTheSame(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("recorded on amd64: other architectures may fuse multiplications and additions, which rounds differently")
	}
	seen := map[Verb]int{}
	for seed := range uint64(24) {
		sum := fnv.New128a()
		sim := newSimulation(5000+seed, func(a Action) Action {
			seen[a.Verb]++
			fmt.Fprintln(sum, recordedForm(a))
			return a
		})
		if seed%2 > 0 {
			sim.decorate = addRoutesAndWork
		}
		for i := range 1000 {
			sim.step()
			fmt.Fprintln(sum, i)
			if i%150 == 149 {
				sim.handle([]Event{{Kind: ListFailed}})
			}
			if i%300 == 299 { // the instance stalls
				sim.now += 0.4
			}
		}
		got := hex.EncodeToString(sum.Sum(nil))
		if seed >= uint64(len(streamDigests)) || got != streamDigests[seed] {
			t.Errorf("seed %d: the stream of actions has the unexpected digest %q", seed, got)
		}
	}
	for _, v := range []Verb{Send, Cancel, Answer, Refuse, Fail, Timer, Watch, Log} {
		if seen[v] < 20 {
			t.Errorf("%d actions of verb %d: too few for the streams to cover it", seen[v], v)
		}
	}
}
