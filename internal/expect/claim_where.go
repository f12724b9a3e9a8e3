package expect

import (
	"math"
	"slices"

	"birchcart/internal/placement"
	"birchcart/internal/settings"
)

// picked is a Where, resolved.
type picked struct {
	class, tenant int // -1 for all
	shards        []int
	from, to      float64
	first         bool
}

func (j *judge) pick(w *Where) picked {
	p := picked{
		class: settings.Place(j.d.Names.Classes, w.Class), tenant: settings.Place(j.d.Names.Tenants, w.Tenant),
		shards: j.d.of(w.Square, w.Shards), from: w.From, to: w.To, first: w.First,
	}
	if p.to == 0 {
		p.to = math.Inf(1)
	}
	return p
}

func (j *judge) takes(p *picked, s *sent) bool {
	q := &j.rec.queries[s.query]
	return s.at >= p.from && s.at < p.to && (p.class < 0 || q.class == p.class) && (p.tenant < 0 || q.tenant == p.tenant) &&
		(p.shards == nil || slices.Contains(p.shards, s.shard)) && (!p.first || s.attempt == 0)
}

func (j *judge) asked(p *picked, q *asked) bool {
	return q.at >= p.from && q.at < p.to && (p.class < 0 || q.class == p.class) && (p.tenant < 0 || q.tenant == p.tenant) &&
		(p.shards == nil || slices.ContainsFunc(q.shards, func(s int) bool { return slices.Contains(p.shards, s) }))
}

func (j *judge) name(reader int) string { return j.d.Ring.Replicas()[reader].Name }

func (j *judge) place(name string) int {
	return slices.IndexFunc(j.d.Ring.Replicas(), func(r placement.Replica) bool { return r.Name == name })
}
