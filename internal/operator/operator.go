// Package operator is the operators' own file as one typed value: what the platform's file has no place for.
//
// It reads rendered JSON; rendering templates is package template's, so that a co-ordinator does not carry a template
// language. It owns the keys and every check of what they hold, alone (Read) and against the deployment that the file
// goes with (Against). It decides nothing about queries.
package operator

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"birchcart/internal/placement"
	"birchcart/internal/schema"
	"birchcart/internal/settings"
	"birchcart/policy"
)

// File is the whole file. Sections that are absent are as their zero values say.
type File struct {
	Version   int                `json:"version" need:"true" min:"1" max:"1"`
	Config    string             `json:"config"` // the platform's file that this one goes with, relative to it
	Process   Process            `json:"process"`
	Placement Placement          `json:"placement"`
	Squares   map[string]Square  `json:"squares"`
	Sections  map[string]Section `json:"sections"`

	Routes  []Route  `json:"routes"`
	Fronts  Fronts   `json:"fronts"`
	Fleet   *Fleet   `json:"fleet"`
	Members struct{} `json:"members"` // room for what is to come
}

// Fronts are the ways in beside the users' protocol; each is off without its section.
type Fronts struct {
	OGC *OGC `json:"ogc"`
}

// Process is about the process itself.
type Process struct {
	Log Log `json:"log"`
}

// Log is where log lines wait and how they look.
type Log struct {
	Format string `json:"format" enum:"text,json"`
	Level  string `json:"level" enum:"debug,info,warn,error"`
	Queue  int    `json:"queue" min:"16" max:"65536" unit:"lines"` // lines that wait for a slow reader; 0: the default
}

// Placement is what the operators ask of the ring: a list under which it does not hold is not to be served with.
type Placement struct {
	HoldersLeast     int     `json:"holders_least" min:"1" max:"1000"`         // replicas that are up, for each shard
	DataCentresLeast int     `json:"data_centres_least" min:"1" max:"1000"`    // different ones among them
	DrainTime        float64 `json:"drain_ms" min:"0" max:"3600000" unit:"ms"` // for which a draining reader lives on; 0: not known
}

// Square is a survey square and the shards that hold its records.
type Square struct {
	Shards []int     `json:"shards" need:"true" len:"1" min:"0"`
	Bounds []float64 `json:"bounds" min:"-180" max:"180" unit:"degrees"` // west, south, east, north; feature queries need them
}

// Section names several squares.
type Section struct {
	Squares []string `json:"squares" need:"true" len:"1"`
}

// Read reads the rendered file. Its error is schema.Mistakes with all that is wrong, or says why it is no JSON.
func Read(raw []byte) (*File, error) {
	tree, err := schema.Tree(raw)
	if err != nil {
		return nil, err
	}
	var f File
	var ms schema.Mistakes
	schema.Decode(tree, "$", &f, &ms)
	f.check(&ms)
	return &f, ms.Err()
}

// check finds contradictions between keys.
func (f *File) check(ms *schema.Mistakes) {
	f.checkOGC(ms)
	f.checkFleet(ms)
	p := f.Placement
	if p.HoldersLeast > 0 && p.DataCentresLeast > p.HoldersLeast {
		ms.Add("$.placement.data_centres_least", fmt.Sprint(p.DataCentresLeast),
			"so many data centres need as many holders, and placement.holders_least is %d", p.HoldersLeast)
	}
	for _, name := range slices.Sorted(maps.Keys(f.Squares)) {
		if i, twice := repeated(f.Squares[name].Shards); twice {
			ms.Add(fmt.Sprintf("$.squares.%s.shards[%d]", name, i), fmt.Sprint(f.Squares[name].Shards[i]), "each shard once")
		}
		if _, also := f.Sections[name]; also {
			ms.Add("$.sections."+name, "", "a square has this name already; a query could mean either")
		}
	}
	known := slices.Collect(maps.Keys(f.Squares))
	for _, name := range slices.Sorted(maps.Keys(f.Sections)) {
		squares := f.Sections[name].Squares
		if i, twice := repeated(squares); twice {
			ms.Add(fmt.Sprintf("$.sections.%s.squares[%d]", name, i), schema.Shown(squares[i]), "each square once")
		}
		for i, sq := range squares {
			if _, ok := f.Squares[sq]; !ok {
				ms.Add(fmt.Sprintf("$.sections.%s.squares[%d]", name, i), schema.Shown(sq), "%s", schema.Unknown(sq, known))
			}
		}
	}
}

// AgainstNames checks the file against settings: shards, classes and tenants that exist. Its error is schema.Mistakes.
func (f *File) AgainstNames(names *settings.Names, cfg *policy.Config) error {
	var ms schema.Mistakes
	f.againstNames(names, cfg, &ms)
	return ms.Err()
}

func (f *File) againstNames(names *settings.Names, cfg *policy.Config, ms *schema.Mistakes) {
	f.againstOGC(names, cfg, ms)
	f.againstRoutes(names, cfg, ms)
	f.againstFleet(names, cfg, ms)
	for _, name := range slices.Sorted(maps.Keys(f.Squares)) {
		for i, s := range f.Squares[name].Shards {
			if s >= cfg.Shards {
				ms.Add(fmt.Sprintf("$.squares.%s.shards[%d]", name, i), fmt.Sprint(s), "the deployment has shards 0 to %d", cfg.Shards-1)
			}
		}
	}
}

// Against checks the file against the deployment that it goes with, as AgainstNames does, and whether the ring gives
// what the placement section asks for. Its error is schema.Mistakes.
func (f *File) Against(ring *placement.Ring, names *settings.Names, cfg *policy.Config) error {
	var ms schema.Mistakes
	f.againstNames(names, cfg, &ms)
	f.floor(ring, "holders_least", f.Placement.HoldersLeast, "replicas that are up", func(s int) int {
		return len(ring.Holders(s))
	}, &ms)
	f.floor(ring, "data_centres_least", f.Placement.DataCentresLeast, "data centres", func(s int) int {
		return len(ring.DataCentres(s))
	}, &ms)
	return ms.Err()
}

func (f *File) floor(ring *placement.Ring, key string, least int, what string, of func(int) int, ms *schema.Mistakes) {
	var short []string
	worst := least
	for s := range ring.Shards() {
		if n := of(s); n < least {
			short = append(short, fmt.Sprint(s))
			worst = min(worst, n)
		}
	}
	if len(short) > 0 {
		ms.Add("$.placement."+key, fmt.Sprint(least), "not so for shards %s: down to %d %s hold them",
			strings.Join(short, ", "), worst, what)
	}
}

// Shards tells the shards of a square or a section, rising, and false if there is neither.
func (f *File) Shards(name string) ([]int, bool) {
	if sq, ok := f.Squares[name]; ok {
		return slices.Sorted(slices.Values(sq.Shards)), true
	}
	sec, ok := f.Sections[name]
	if !ok {
		return nil, false
	}
	var all []int
	for _, sq := range sec.Squares {
		all = append(all, f.Squares[sq].Shards...)
	}
	slices.Sort(all)
	return slices.Compact(all), true
}

func repeated[T comparable](list []T) (int, bool) {
	seen := map[T]bool{}
	for i, x := range list {
		if seen[x] {
			return i, true
		}
		seen[x] = true
	}
	return 0, false
}
