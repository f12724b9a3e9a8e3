// Package expect checks what operators expect of a deployment with no traffic: where queries go, what a draining
// reader gets, how many attempts a part has, what a loss leaves.
//
// It does not model the decisions. An expectation's situation is played to policy.Policy itself through its
// interface, by an in-memory world of replies on the expectation's own clock, and the claims are judged from what the
// module did; every run goes past the checker of the six rules as well. A run is a pure function of deployment,
// expectation and seed. The world answers each attempt by itself: it has no queues and measures no performance.
//
// Files follow the stages: expect (what is written), world (what happens), claim (what is judged), search (what may
// happen beyond what is written).
package expect

import (
	"fmt"

	"birchcart/internal/placement"
	"birchcart/internal/route"
	"birchcart/internal/schema"
	"birchcart/internal/settings"
	"birchcart/policy"
)

// Deployment is what expectations are checked against.
type Deployment struct {
	Config policy.Config
	Names  *settings.Names
	Ring   *placement.Ring
	Area   func(name string) (shards []int, ok bool) // of a named square or section; nil: there are none
	Areas  []string                                  // their names
	Routes *route.Table                              // nil: no query has one
}

// File is a rendered file of expectations.
type File struct {
	Expectations []*Expectation `json:"expectations" need:"true" len:"1"`
}

// Expectation is a situation and what is claimed of it. Times are in milliseconds from its start.
type Expectation struct {
	Name           string  `json:"name" need:"true" len:"1"`
	Note           string  `json:"note"`
	Seeds          int     `json:"seeds" min:"1" max:"100000"`               // draws over which it must hold; 10 if absent
	For            float64 `json:"for_ms" min:"1" max:"600000" unit:"ms"`    // 2,000 if absent
	Readers        *Speed  `json:"readers"`                                  // how soon readers answer
	Load           []Load  `json:"load"`                                     // what clients ask
	Timeline       []Step  `json:"timeline"`                                 // what happens
	Claims         []Claim `json:"claims" need:"true" len:"1"`               // all must hold
	WhateverComes  bool    `json:"whatever_comes"`                           // the claims hold with any further steps: search tries
	ReaderCapacity float64 `json:"reader_capacity" min:"0.1" unit:"parts/s"` // of a warm reader, for rule 4; unchecked if absent

	Path string `json:"-"` // where it stands, as $.expectations[3]
}

// Speed is how soon a reader answers: the least and, beyond it, an exponential part.
type Speed struct {
	Least float64 `json:"least_ms" min:"0" max:"600000" unit:"ms"`
	Mean  float64 `json:"mean_ms" min:"0" max:"600000" unit:"ms"` // of the part beyond the least
}

// Load is one stream of equal queries at even gaps; its phase is drawn by the seed.
type Load struct {
	Class   string  `json:"class" need:"true"`
	Every   float64 `json:"every_ms" need:"true" min:"0.01" max:"600000" unit:"ms"`
	Square  string  `json:"square"`                    // a named square or section, or
	Shards  []int   `json:"shards" min:"0"`            // these, or
	Parts   int     `json:"parts" min:"1" max:"10000"` // so many, drawn for each query
	Tenant  string  `json:"tenant"`
	Timeout float64 `json:"timeout_ms" min:"1" max:"600000" unit:"ms"` // the class's give-up time if absent
	Retry   bool    `json:"retry"`                                     // marked as asked before
	Work    float64 `json:"work" min:"0"`                              // hint on each part
	From    float64 `json:"from_ms" min:"0" unit:"ms"`
	To      float64 `json:"to_ms" min:"0" unit:"ms"` // to the end if absent
}

// Step is one thing that happens, to one reader or several.
type Step struct {
	At         float64 `json:"at_ms" min:"0" unit:"ms"`
	Reader     string  `json:"reader"`
	DataCentre string  `json:"data_centre"`
	Cell       *int    `json:"cell" min:"0"`
	Share      float64 `json:"share" min:"0.001" max:"1"` // of all readers, drawn by the seed
	All        bool    `json:"all"`

	Is       string    `json:"is" enum:"ready,draining,gone,started"`                      // what becomes of it
	Late     float64   `json:"late_ms" min:"0" unit:"ms"`                                  // until the list tells
	Again    []float64 `json:"again_ms" min:"0" unit:"ms"`                                 // and tells once more, so long after
	ToldOnly bool      `json:"told_only"`                                                  // the list says so and it is not so
	Untold   bool      `json:"untold"`                                                     // it is so and the list never says it
	Answers  string    `json:"answers" enum:"ok,silent,fault,overload,unreachable,broken"` // from now on
	Slow     float64   `json:"slow" min:"0.01" max:"10000"`                                // times its usual time, from now on
	Class    string    `json:"class"`                                                      // answers and slow for this class alone
	Peers    string    `json:"peers" enum:"restart"`                                       // a peer restarts: its clients come to us, marked retry
	For      float64   `json:"for_ms" min:"0" unit:"ms"`                                   // of answers, slow and peers; to the end if absent
}

// Claim has exactly one of these.
type Claim struct {
	GoesTo     *GoesTo     `json:"goes_to"`
	Spread     *Spread     `json:"spread"`
	NothingNew *NothingNew `json:"nothing_new"`
	FirstParts *FirstParts `json:"first_parts"`
	Further    *Further    `json:"further"`
	Ends       *Ends       `json:"ends"`
	AtMost     *AtMost     `json:"at_most"`
	Holds      *Holds      `json:"holds"`
	Loss       *LossClaim  `json:"loss"`
}

// Where narrows a claim to some of what happens.
type Where struct {
	Class  string  `json:"class"`
	Tenant string  `json:"tenant"`
	Square string  `json:"square"`
	Shards []int   `json:"shards" min:"0"`
	First  bool    `json:"first"` // first attempts only
	From   float64 `json:"from_ms" min:"0" unit:"ms"`
	To     float64 `json:"to_ms" min:"0" unit:"ms"`
}

// GoesTo claims where parts go. Exactly: there only, and to each of them. OneOf: there only. Never: not there.
type GoesTo struct {
	Exactly    []string `json:"exactly"`
	OneOf      []string `json:"one_of"`
	Never      []string `json:"never"`
	DataCentre string   `json:"data_centre"`       // there only
	NeverIn    string   `json:"never_data_centre"` // not there
	Where      Where    `json:"where"`
}

// Spread claims that the parts of each shard are spread evenly over its holders.
type Spread struct {
	Within float64 `json:"within" need:"true" min:"0.01" max:"1"` // of the mean, each holder's count
	Where  Where   `json:"where"`
}

// NothingNew claims that a reader told of as draining or gone gets nothing new from the grace on until it is back.
type NothingNew struct {
	Reader   string   `json:"reader" need:"true"`
	After    *float64 `json:"after_ms" min:"0" unit:"ms"` // the settings' grace if absent
	OnlyThen bool     `json:"only_then"`                  // and it does get some before and once it is back
}

// FirstParts claims how many parts of a query go in the turn in which it is planned.
type FirstParts struct {
	From  int   `json:"from" need:"true" min:"0"`
	To    int   `json:"to" need:"true" min:"0"`
	Where Where `json:"where"`
}

// Further claims how many attempts follow a part's first, and where they go.
type Further struct {
	PerPart *int     `json:"most_per_part" min:"0"`
	Share   *float64 `json:"share_most" min:"0"` // of the parts sent
	Least   int      `json:"least" min:"0"`      // in all: some must follow
	To      []string `json:"to"`                 // there only
	Where   Where    `json:"where"`
}

// Ends claims how queries end, as shares of those that came.
type Ends struct {
	Answered *float64 `json:"answered_least" min:"0" max:"1"`
	Whole    *float64 `json:"whole_least" min:"0" max:"1"`
	Short    *float64 `json:"short_least" min:"0" max:"1"` // answered and not whole
	Refused  *float64 `json:"refused_most" min:"0" max:"1"`
	Failed   *float64 `json:"failed_most" min:"0" max:"1"`
	RefusedL *float64 `json:"refused_least" min:"0" max:"1"`
	FailedL  *float64 `json:"failed_least" min:"0" max:"1"`
	By       float64  `json:"by_ms" min:"0" unit:"ms"` // all ends, after arrival
	ComeBack bool     `json:"come_back"`               // each refusal names a time
	Where    Where    `json:"where"`
}

// AtMost claims that a reader gets at most so many parts in any span.
type AtMost struct {
	Reader string  `json:"reader" need:"true"`
	Parts  int     `json:"parts" min:"0"`
	Within float64 `json:"within_ms" need:"true" min:"1" unit:"ms"`
	Where  Where   `json:"where"`
}

// Holds claims what the ring gives, with no situation.
type Holds struct {
	Holders     int      `json:"holders_least" min:"0"`
	DataCentres int      `json:"data_centres_least" min:"0"`
	By          []string `json:"by"`     // exactly these replicas hold the shards
	Square      string   `json:"square"` // of a square or section, or
	Shards      []int    `json:"shards" min:"0"`
}

// LossClaim claims what is left when units are lost, over all such losses.
type LossClaim struct {
	Of      string   `json:"of" need:"true" enum:"replica,cell,data_centre"`
	Count   int      `json:"count" min:"1" max:"2"` // 1 if absent
	Holders int      `json:"holders_least" min:"0"`
	Gone    *int     `json:"shards_gone_most" min:"0"`
	Class   string   `json:"class"`
	Parts   int      `json:"parts" min:"1"`               // of a query of the class; all shards if absent
	Whole   *float64 `json:"whole_least" min:"0" max:"1"` // share of such queries that can still be whole
	Breaks  []string `json:"breaks"`                      // exactly these losses leave some query of the class unable to be whole
}

const (
	seedsUsual = 10
	spanUsual  = 2000.0 // ms
	leastUsual = 10.0   // ms: of an answer; with the mean a tenth of a promise of half a second
	meanUsual  = 30.0   // ms
)

// Read decodes a rendered file and checks each expectation against the deployment. Its error is schema.Mistakes with
// all that is wrong, or says why it is no JSON.
func Read(raw []byte, d *Deployment) (*File, error) {
	tree, err := schema.Tree(raw)
	if err != nil {
		return nil, err
	}
	var f File
	var ms schema.Mistakes
	schema.Decode(tree, "$", &f, &ms)
	if len(ms) > 0 {
		return nil, ms // what was not understood would be told again below
	}
	seen := map[string]int{}
	for i, e := range f.Expectations {
		e.Path = fmt.Sprintf("$.expectations[%d]", i)
		if j, twice := seen[e.Name]; twice {
			ms.Add(e.Path+".name", schema.Shown(e.Name), "$.expectations[%d] has this name already", j)
		}
		seen[e.Name] = i
		c := check{d, e, &ms}
		c.all()
	}
	return &f, ms.Err()
}

func (d *Deployment) shards(area string) ([]int, bool) {
	if d.Area == nil {
		return nil, false
	}
	return d.Area(area)
}

// of lists the shards that a square or a list names, nil for all.
func (d *Deployment) of(square string, shards []int) []int {
	if square != "" {
		shards, _ = d.shards(square)
	}
	return shards
}
