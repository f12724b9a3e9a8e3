package expect

import (
	"slices"

	"birchcart/internal/placement"
	"birchcart/policy"
)

func (j *judge) further(c *Further) Finding {
	p := j.pick(&c.Where)
	parts, more := 0, 0
	for i := range j.rec.sends {
		s := &j.rec.sends[i]
		if !j.takes(&p, s) {
			continue
		}
		if s.attempt == 0 {
			parts++
			continue
		}
		more++
		if c.PerPart != nil && s.attempt > *c.PerPart {
			return broken(s.at, "a part for shard %d was sent %d times", s.shard, s.attempt+1)
		}
		if len(c.To) > 0 && !slices.Contains(c.To, j.name(s.reader)) {
			return broken(s.at, "attempt %d of a part for shard %d went to %s", s.attempt+1, s.shard, j.name(s.reader))
		}
	}
	if parts == 0 {
		return vacuous("no part was sent that the claim speaks of")
	}
	if c.Share != nil && float64(more) > *c.Share*float64(parts)+shareSlip {
		return broken(never, "%d further attempts of %d parts", more, parts)
	}
	if more < c.Least {
		return broken(never, "%d further attempts of %d parts", more, parts)
	}
	if len(c.To) > 0 && more == 0 {
		return vacuous("no further attempt was made")
	}
	return held()
}

func (j *judge) ends(c *Ends) Finding {
	p := j.pick(&c.Where)
	var n, answered, whole, refused, failed float64
	slowest := asked{}
	for i := range j.rec.queries {
		q := &j.rec.queries[i]
		if !j.asked(&p, q) {
			continue
		}
		n++
		if !q.ended {
			continue // rule 1 tells of it
		}
		switch q.end {
		case policy.Answer:
			answered++
			if q.whole {
				whole++
			}
		case policy.Refuse:
			refused++
			if c.ComeBack && q.comeBack <= 0 {
				return broken(q.endAt, "a refusal named no time to come back")
			}
		case policy.Fail:
			failed++
		}
		if q.endAt-q.at > slowest.endAt-slowest.at {
			slowest = *q
		}
	}
	if n == 0 {
		return vacuous("no query came that the claim speaks of")
	}
	if c.By > 0 && slowest.endAt-slowest.at > c.By+timeSlip {
		return broken(slowest.endAt, "a query ended %.1f ms after it came", slowest.endAt-slowest.at)
	}
	for _, x := range []struct {
		bound *float64
		have  float64
		most  bool
		what  string
	}{
		{c.Answered, answered, false, "answered"}, {c.Whole, whole, false, "answered whole"},
		{c.Short, answered - whole, false, "answered short"}, {c.RefusedL, refused, false, "refused"}, {c.FailedL, failed, false, "failed"},
		{c.Refused, refused, true, "refused"}, {c.Failed, failed, true, "failed"},
	} {
		if x.bound == nil {
			continue
		}
		share := x.have / n
		if x.most && share > *x.bound+shareSlip || !x.most && share < *x.bound-shareSlip {
			return broken(never, "%.0f of %.0f queries were %s (%.0f answered, %.0f of them whole, %.0f refused, %.0f failed)",
				x.have, n, x.what, answered, whole, refused, failed)
		}
	}
	if c.ComeBack && refused == 0 {
		return vacuous("no query was refused")
	}
	return held()
}

func (j *judge) atMost(c *AtMost) Finding {
	p, me := j.pick(&c.Where), j.place(c.Reader)
	var at []float64
	others := false
	for i := range j.rec.sends {
		s := &j.rec.sends[i]
		if !j.takes(&p, s) {
			continue
		}
		others = true
		if s.reader != me {
			continue
		}
		at = append(at, s.at)
		for at[0] <= s.at-c.Within {
			at = at[1:]
		}
		if len(at) > c.Parts {
			return broken(s.at, "%d parts went to %s within %g ms", len(at), c.Reader, c.Within)
		}
	}
	if !others || !j.couldHave(&p, func(r placement.Replica) bool { return r.Name == c.Reader }) {
		return vacuous("no part was sent that %s could have had", c.Reader)
	}
	return held()
}
