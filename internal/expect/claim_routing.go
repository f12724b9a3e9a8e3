package expect

import (
	"math"
	"slices"

	"birchcart/internal/placement"
	"birchcart/policy"
)

func (j *judge) goesTo(c *GoesTo) Finding {
	p := j.pick(&c.Where)
	only := slices.Concat(c.Exactly, c.OneOf)
	got := map[string]bool{}
	n := 0
	for i := range j.rec.sends {
		s := &j.rec.sends[i]
		if !j.takes(&p, s) {
			continue
		}
		n++
		r := j.d.Ring.Replicas()[s.reader]
		got[r.Name] = true
		switch {
		case len(only) > 0 && !slices.Contains(only, r.Name):
			return broken(s.at, "a part for shard %d went to %s", s.shard, r.Name)
		case slices.Contains(c.Never, r.Name):
			return broken(s.at, "a part for shard %d went to %s", s.shard, r.Name)
		case c.DataCentre != "" && r.DataCentre != c.DataCentre:
			return broken(s.at, "a part for shard %d went to %s in data centre %s", s.shard, r.Name, r.DataCentre)
		case c.NeverIn != "" && r.DataCentre == c.NeverIn:
			return broken(s.at, "a part for shard %d went to %s in data centre %s", s.shard, r.Name, r.DataCentre)
		}
	}
	if n == 0 {
		return vacuous("no part was sent that the claim speaks of")
	}
	for _, name := range c.Exactly {
		if !got[name] {
			return broken(never, "none of %d parts went to %s", n, name)
		}
	}
	// That something never gets a part says little unless it could have: it holds a shard that was asked.
	for _, name := range c.Never {
		if !j.couldHave(&p, func(r placement.Replica) bool { return r.Name == name }) {
			return vacuous("%s holds none of the shards that were asked", name)
		}
	}
	if c.NeverIn != "" && !j.couldHave(&p, func(r placement.Replica) bool { return r.DataCentre == c.NeverIn }) {
		return vacuous("data centre %s holds none of the shards that were asked", c.NeverIn)
	}
	return held()
}

func (j *judge) couldHave(p *picked, is func(placement.Replica) bool) bool {
	seen := map[int]bool{}
	for i := range j.rec.sends {
		s := &j.rec.sends[i]
		if !seen[s.shard] && j.takes(p, s) {
			seen[s.shard] = true
			if slices.ContainsFunc(j.d.Ring.AllHolders(s.shard), is) {
				return true
			}
		}
	}
	return false
}

func (j *judge) spread(c *Spread) Finding {
	p := j.pick(&c.Where)
	counts := map[int]map[int]int{} // by shard, then reader
	for i := range j.rec.sends {
		if s := &j.rec.sends[i]; j.takes(&p, s) {
			if counts[s.shard] == nil {
				counts[s.shard] = map[int]int{}
			}
			counts[s.shard][s.reader]++
		}
	}
	judged := 0
	for shard := range j.d.Ring.Shards() {
		holders := j.d.Ring.Holders(shard)
		n := 0
		for _, k := range counts[shard] {
			n += k
		}
		mean := float64(n) / float64(max(1, len(holders)))
		if mean < spreadMost || len(holders) < 2 {
			continue
		}
		judged++
		for _, h := range holders {
			k := counts[shard][j.place(h.Name)]
			if off := math.Abs(float64(k)-mean) / mean; off > c.Within {
				return broken(never, "of %d parts for shard %d %s got %d; even would be %.0f", n, shard, h.Name, k, mean)
			}
		}
	}
	if judged == 0 {
		return vacuous("no shard had %d parts a holder: too few to tell", spreadMost)
	}
	return held()
}

// nothingNew goes by what the module was told, however late, twice or out of order the news was.
func (j *judge) nothingNew(c *NothingNew) Finding {
	after := j.d.Config.DrainGrace * 1000
	if c.After != nil {
		after = *c.After
	}
	me := j.place(c.Reader)
	type window struct{ from, to float64 }
	var closed []window
	open := never
	for _, t := range j.rec.tells {
		if t.reader != me {
			continue
		}
		switch {
		case t.state == policy.Up && !math.IsNaN(open):
			closed = append(closed, window{open, t.at})
			open = never
		case t.state != policy.Up && math.IsNaN(open):
			open = t.at
		}
	}
	if !math.IsNaN(open) {
		closed = append(closed, window{open, math.Inf(1)})
	}
	if len(closed) == 0 {
		return vacuous("%s is never told of as draining or gone", c.Reader)
	}
	mine := func(shard int) bool {
		return slices.ContainsFunc(j.d.Ring.AllHolders(shard), func(r placement.Replica) bool { return r.Name == c.Reader })
	}
	before, later, others := 0, 0, 0
	for i := range j.rec.sends {
		s := &j.rec.sends[i]
		if !mine(s.shard) {
			continue
		}
		in := false
		for _, w := range closed {
			if s.at > w.from+after+timeSlip && s.at < w.to-timeSlip {
				in = true
				if s.reader == me {
					return broken(s.at, "a part for shard %d went to %s %.1f ms after it was told to be draining or gone", s.shard, c.Reader, s.at-w.from)
				}
			}
		}
		switch {
		case in:
			others++
		case s.reader != me:
		case s.at < closed[0].from:
			before++
		case s.at >= closed[len(closed)-1].to:
			later++
		}
	}
	if others == 0 {
		return vacuous("no part for a shard of %s was sent while it was told of as draining or gone", c.Reader)
	}
	if c.OnlyThen {
		if before == 0 {
			return broken(never, "%s had no part before the drain either", c.Reader)
		}
		if later == 0 {
			return broken(never, "%s had no part once it was back either", c.Reader)
		}
	}
	return held()
}

func (j *judge) firstParts(c *FirstParts) Finding {
	p := j.pick(&c.Where)
	counts := make([]int, len(j.rec.queries))
	for i := range j.rec.sends {
		if s := &j.rec.sends[i]; s.attempt == 0 && s.step == 1 && s.turn == j.rec.queries[s.query].turn {
			counts[s.query]++
		}
	}
	n := 0
	for i := range j.rec.queries {
		q := &j.rec.queries[i]
		if !j.asked(&p, q) || q.ended && q.end == policy.Refuse && q.endAt <= q.at+timeSlip {
			continue // refused on arrival: none was to go
		}
		n++
		if k := counts[i]; k < c.From || k > c.To {
			return broken(q.at, "%d parts of a query over %d shards went at first", k, len(q.shards))
		}
	}
	if n == 0 {
		return vacuous("no query was planned that the claim speaks of")
	}
	return held()
}
