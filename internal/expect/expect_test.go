package expect

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"birchcart/internal/placement"
	"birchcart/internal/settings"
	"birchcart/policy"
)

// ringOf is a deployment of so many replicas over three data centres, one a cell, each shard held by three.
func ringOf(replicas, coordinators int) *Deployment {
	var list []placement.Replica
	for i := range replicas {
		list = append(list, placement.Replica{Name: fmt.Sprint("r", i), DataCentre: string(rune('a' + i%3)), Cell: i, Up: true})
	}
	shape := placement.Shape{Cells: replicas, Reach: 3, Shards: 2 * replicas}
	ring, err := placement.New(shape, list)
	if err != nil {
		panic(err)
	}
	return &Deployment{
		Ring: ring, Names: &settings.Names{Classes: []string{"safe", "once"}, Zones: []string{"a", "b", "c"}},
		Config: policy.Config{
			Seed: 9, Resolution: 0.005, Coordinators: coordinators, MaxAttempts: 3, Cancel: true, SecondCopies: true, RetryAfter: true,
			MaxRetryAfter: 0.5, Cells: shape.Cells, Reach: shape.Reach, Shards: shape.Shards, MaxPartsPerCall: 1, AnswerSlack: 0.02,
			DrainGrace: 0.25, ColdCapacity: 0.25, WarmUp: 10, OverloadMultiple: 2, OverloadWindow: 1, OverShareValue: 1,
			Classes: []policy.Class{
				{Promise: 0.8, GiveUp: 3, LateValue: 0.1, Points: 1, Need: 0.75, Floor: 0.5, PartialValue: 0.8},
				{Promise: 1, GiveUp: 3, LateValue: 0.1, Points: 1, Need: 1, Floor: 1, Effect: policy.Unsafe},
			},
		},
	}
}

func read(t testing.TB, d *Deployment, text string) *Expectation {
	t.Helper()
	f, err := Read([]byte(`{"expectations":[{"name":"x",`+text+`}]}`), d)
	if err != nil {
		t.Fatal(err)
	}
	return f.Expectations[0]
}

const mixed = `"for_ms":1500,"load":[{"class":"safe","every_ms":20,"parts":4},{"class":"once","every_ms":30,"parts":1}],
	"timeline":[{"at_ms":300,"share":0.3,"answers":"silent","for_ms":400},{"at_ms":500,"reader":"r2","is":"draining","again_ms":[50]},
	{"at_ms":900,"reader":"r2","is":"started"},{"at_ms":1000,"peers":"restart","for_ms":300}],"claims":[{"nothing_new":{"reader":"r2"}}]`

// The same seed gives the same run, to the last send; another gives another.
func TestRunsAreReproducible(t *testing.T) {
	d := ringOf(9, 2)
	e := read(t, d, mixed)
	a, b, other := newWorld(d, e, 4).play(), newWorld(d, e, 4).play(), newWorld(d, e, 5).play()
	if !reflect.DeepEqual(a.sends, b.sends) || len(a.sends) < 200 {
		t.Error("the same seed gave another run")
	}
	if reflect.DeepEqual(a.sends, other.sends) {
		t.Error("another seed gave the same run")
	}
	if len(a.faults) > 0 || len(a.happened) != len(e.Timeline) {
		t.Errorf("faults %v, %d steps happened", a.faults, len(a.happened))
	}
}

// Each kind of claim: one that holds, one that breaks, and one that is never put to the test.
func TestClaims(t *testing.T) {
	d := ringOf(9, 2)
	const load = `"seeds":1,"load":[{"class":"safe","every_ms":20,"shards":[0]}],`
	const drain = load + `"timeline":[{"at_ms":500,"reader":"r1","is":"draining"},{"at_ms":1200,"reader":"r1","is":"ready"}],`
	for name, c := range map[string]struct {
		text string
		want State
	}{
		"goes to":            {load + `"claims":[{"goes_to":{"exactly":["r0","r1","r2"]}}]`, Held},
		"goes elsewhere":     {load + `"claims":[{"goes_to":{"one_of":["r0","r1"]}}]`, Broken},
		"not to each":        {load + `"claims":[{"goes_to":{"exactly":["r0","r1","r2","r3"]}}]`, Broken},
		"never to":           {drain + `"claims":[{"goes_to":{"never":["r1"],"where":{"from_ms":510,"to_ms":1190}}}]`, Held},
		"never could":        {load + `"claims":[{"goes_to":{"never":["r5"]}}]`, Vacuous},
		"no such time":       {load + `"claims":[{"goes_to":{"one_of":["r0"],"where":{"from_ms":1,"to_ms":1.5}}}]`, Vacuous},
		"data centre":        {load + `"claims":[{"goes_to":{"data_centre":"a"}}]`, Broken},
		"not data centre":    {drain + `"claims":[{"goes_to":{"never_data_centre":"b","where":{"from_ms":510,"to_ms":1190}}}]`, Held},
		"too few to spread":  {load + `"claims":[{"spread":{"within":0.5}}]`, Held},
		"spread too tight":   {load + `"claims":[{"spread":{"within":0.01}}]`, Broken},
		"spread of too few":  {load + `"claims":[{"spread":{"within":0.5,"where":{"to_ms":100}}}]`, Vacuous},
		"nothing new":        {drain + `"claims":[{"nothing_new":{"reader":"r1","after_ms":0,"only_then":true}}]`, Held},
		"never drains":       {load + `"claims":[{"nothing_new":{"reader":"r1"}}]`, Vacuous},
		"nothing else asked": {`"seeds":1,"load":[{"class":"safe","every_ms":20,"shards":[4]}],"timeline":[{"at_ms":5,"reader":"r1","is":"gone"}],"claims":[{"nothing_new":{"reader":"r1"}}]`, Vacuous},
		"not only then":      {`"seeds":1,"load":[{"class":"safe","every_ms":20,"shards":[0]}],"timeline":[{"at_ms":0,"reader":"r1","is":"gone"}],"claims":[{"nothing_new":{"reader":"r1","only_then":true}}]`, Broken},
		"first parts":        {load + `"claims":[{"first_parts":{"from":1,"to":1}}]`, Held},
		"more first parts":   {load + `"claims":[{"first_parts":{"from":2,"to":2}}]`, Broken},
		"further":            {drain + `"claims":[{"further":{"share_most":0.5}}]`, Held},
		"further least":      {load + `"claims":[{"further":{"least":50}}]`, Broken},
		"further to none":    {load + `"claims":[{"further":{"to":["r0"],"where":{"to_ms":100}}}]`, Vacuous},
		"ends":               {load + `"claims":[{"ends":{"whole_least":1,"by_ms":800,"failed_most":0}}]`, Held},
		"ends later":         {load + `"claims":[{"ends":{"by_ms":11}}]`, Broken},
		"none refused":       {load + `"claims":[{"ends":{"come_back":true}}]`, Vacuous},
		"no such class":      {load + `"claims":[{"ends":{"whole_least":1,"where":{"class":"once"}}}]`, Vacuous},
		"at most":            {load + `"claims":[{"at_most":{"reader":"r1","parts":60,"within_ms":1000}}]`, Held},
		"more than at most":  {load + `"claims":[{"at_most":{"reader":"r1","parts":3,"within_ms":1000}}]`, Broken},
		"holds":              {`"claims":[{"holds":{"holders_least":3,"data_centres_least":3}}]`, Held},
		"held by":            {`"claims":[{"holds":{"shards":[7],"by":["r0","r7","r8"]}}]`, Held},
		"held by others":     {`"claims":[{"holds":{"shards":[7],"by":["r7","r8"]}}]`, Broken},
		"loss":               {`"claims":[{"loss":{"of":"data_centre","count":2,"holders_least":1,"class":"once","breaks":[]}}]`, Held},
		"loss of three":      {`"claims":[{"loss":{"of":"replica","count":2,"holders_least":2}}]`, Broken},
		"loss breaks others": {`"claims":[{"loss":{"of":"data_centre","class":"once","breaks":["a"]}}]`, Broken},
	} {
		e := read(t, d, c.text)
		s := Sum(e, []Verdict{Judge(d, e, 0)})
		if s.State() != c.want {
			t.Errorf("%s: %d, want %d: %+v %+v", name, s.State(), c.want, s.First, s.Vacuous)
		}
	}
}

// A claim that holds by chance at one seed is judged over all, and told with the count.
func TestChanceIsJudgedOverAllSeeds(t *testing.T) {
	d := ringOf(9, 2)
	e := read(t, d, `"seeds":40,"for_ms":400,"load":[{"class":"safe","every_ms":300,"shards":[0]}],"claims":[{"goes_to":{"one_of":["r0"]}}]`)
	var all []Verdict
	for seed := range 40 {
		all = append(all, Judge(d, e, uint64(seed)))
	}
	s := Sum(e, all)
	if s.BrokenSeeds < 10 || s.BrokenSeeds > 39 || s.State() != Broken || !s.First.Broken() {
		t.Errorf("broken at %d of 40 seeds", s.BrokenSeeds)
	}
}

// What can't be meant is told with its path, all of it at once.
func TestWrongExpectations(t *testing.T) {
	d := ringOf(9, 2)
	_, err := Read([]byte(`{"expectations":[{"name":"a","for_ms":100,"load":[{"class":"sefa","every_ms":1}],
		"timeline":[{"at_ms":200,"reader":"r99","is":"gone"},{"at_ms":1,"reader":"r1","cell":2,"late_ms":4}],
		"claims":[{"goes_to":{}},{"first_parts":{"from":3,"to":2}},{}]},{"name":"a","claims":[{"loss":{"of":"cell"}}]}]}`), d)
	for _, want := range []string{
		`load[0].class: "sefa" stands there; "sefa" is not known; is "safe" meant?`, "load[0]: exactly one of square, shards and parts",
		`timeline[0].reader: "r99"`, "timeline[0].at_ms: 200 stands there; it would never happen", "timeline[1]: exactly one of",
		"timeline[1]: nothing happens", "timeline[1]: late_ms", "claims[0].goes_to: exactly one", "claims[1].first_parts: from 3 is over to 2",
		"claims[2]: a claim has exactly one kind; it has 0", `$.expectations[1].name: "a" stands there`, "$.expectations[1].claims[0].loss: nothing is claimed",
	} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("no %q in\n%v", want, err)
		}
	}
}

// The six rules hold whatever a search comes up with.
func TestSearchFindsNoBrokenRule(t *testing.T) {
	d := ringOf(9, 2)
	e := read(t, d, mixed)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		if f := Try(d, e, rng); f != nil {
			t.Fatalf("%+v after %v", f.Finding, f.Expectation.Timeline)
		}
	}
}

// What a view shows changes no later decision.
func TestLookingChangesNothing(t *testing.T) {
	d := ringOf(9, 2)
	e := read(t, d, mixed)
	plain, looked := newWorld(d, e, 3), newWorld(d, e, 3)
	plain.until(epoch + 1.5)
	for at := epoch; at < epoch+1.5; at += 0.05 {
		looked.until(at)
		for shard := range 4 {
			looked.p.View(0, shard, 4)
		}
	}
	looked.until(epoch + 1.5)
	if !reflect.DeepEqual(plain.rec.sends, looked.rec.sends) {
		t.Error("looking changed what was sent")
	}
}

func benchmark(b *testing.B, replicas, coordinators int) {
	d := ringOf(replicas, coordinators)
	e := read(b, d, `"for_ms":300,"load":[{"class":"safe","every_ms":20,"parts":4}],"timeline":[{"at_ms":100,"reader":"r1","is":"draining"}],
		"claims":[{"further":{"share_most":1}}]`)
	seed := uint64(0)
	for b.Loop() {
		seed++
		Judge(d, e, seed)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "runs/s")
}

func BenchmarkJudge(b *testing.B) {
	for _, size := range [][2]int{{12, 3}, {100, 10}, {300, 30}, {1000, 100}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) { benchmark(b, size[0], size[1]) })
	}
}
