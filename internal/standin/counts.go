package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/paulmach/orb"

	"birchcart/internal/cql"
	"birchcart/internal/feature"
)

var species = []string{
	"greater flamingo", "marbled duck", "slender-billed gull", "northern bald ibis", "ruddy shelduck", "black-winged stilt",
	"pied avocet", "red-crested pochard", "osprey", "spoonbill", "audouin's gull", "white-headed duck",
}

// CountKinds are the kinds of the properties of made-up counts.
var CountKinds = map[string]cql.Kind{
	"id": cql.Text, "square": cql.Text, "geometry": cql.Geometry, "species": cql.Text, "count": cql.Number, "observed": cql.Time,
	"verified": cql.Boolean,
}

// Counts are made-up bird counts, by square, each in the order of ids.
type Counts map[string][]feature.Feature

// Place is a square for which counts are made up.
type Place struct {
	Name  string
	Bound orb.Bound
}

// MakeCounts makes up so many counts for each square, alike for the same seed.
func MakeCounts(seed uint64, places []Place, each int) Counts {
	c := Counts{}
	for i, p := range places {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		for n := range each {
			x := p.Bound.Min[0] + rng.Float64()*(p.Bound.Max[0]-p.Bound.Min[0])
			y := p.Bound.Min[1] + rng.Float64()*(p.Bound.Max[1]-p.Bound.Min[1])
			raw, err := json.Marshal(map[string]any{
				"type": "Feature", "id": fmt.Sprintf("%s.%05d", p.Name, n),
				"geometry": map[string]any{"type": "Point", "coordinates": []float64{x, y}},
				"properties": map[string]any{
					"species": species[rng.IntN(len(species))], "count": 1 + rng.IntN(400), "verified": rng.IntN(3) > 0,
					"observed": time.Date(2026, 1, 1+rng.IntN(31), rng.IntN(24), rng.IntN(60), 0, 0, time.UTC).Format(time.RFC3339),
				},
			})
			if err != nil {
				panic(err)
			}
			f, err := feature.Parse(raw)
			if err != nil {
				panic(err)
			}
			c[p.Name] = append(c[p.Name], *f)
		}
	}
	return c
}

// Answer is what a sound reader gives for a shard.
func (c Counts) Answer(r *feature.Request, shard int) (*feature.Value, error) {
	var filter *cql.Filter
	if r.Filter != "" {
		var err error
		if filter, err = cql.Parse(r.Filter, CountKinds); err != nil {
			return nil, err
		}
	}
	v := &feature.Value{}
	for _, sq := range r.Squares[shard] {
		for i := range c[sq] {
			f := &c[sq][i]
			if (r.ID == "" || f.ID == r.ID) && r.Match(f, filter, CountKinds, "observed") {
				v.Matched++
				if f.ID > r.Start(shard) {
					v.Features = append(v.Features, *f)
				}
			}
		}
	}
	sort.Slice(v.Features, func(i, j int) bool { return v.Features[i].ID < v.Features[j].ID })
	if v.More = len(v.Features) > r.Limit; v.More {
		v.Features = v.Features[:r.Limit]
	}
	room := feature.ValueMost - 100
	for i := range v.Features {
		if room -= len(v.Features[i].Raw) + 1; room < 0 {
			v.Features, v.More = v.Features[:i], true
			break
		}
	}
	return v, nil
}

// Does answers a part that is a feature request, and others with their id.
func (c Counts) Does(a Asked) Does {
	r, err := feature.Decode(a.Text)
	if err != nil {
		return Does{Value: []byte("v-" + a.ID)}
	}
	v, err := c.Answer(r, a.Shard)
	if err != nil {
		return Does{Trouble: Fault}
	}
	return Does{Value: v.Encode()}
}
