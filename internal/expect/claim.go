package expect

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"birchcart/internal/placement"
	"birchcart/internal/settings"
	"birchcart/policy"
)

const (
	shareSlip  = 1e-9 // shares are quotients of counts
	timeSlip   = 1e-6 // ms
	spreadMost = 30   // parts a holder, on average, from which chance is a smaller part of a spread than what is claimed
	linesMost  = 8    // of a time line
)

// State of a claim at one seed.
type State uint8

// States of a claim.
const (
	Held    State = iota
	Broken        // what happened is not what is claimed
	Vacuous       // nothing happened that could have broken it
)

// Finding is what one claim came to at one seed.
type Finding struct {
	Claim int // place in the expectation; -1 for the six rules
	Kind  string
	State State
	Text  string   // what happened instead, or what was missing
	Line  []string // a short time line, of what is broken
	At    float64  // ms, where there is a moment; NaN if not
}

// Verdict is what an expectation came to at one seed.
type Verdict struct {
	Seed     uint64
	Findings []Finding // one a claim, and one for each broken rule
	Sends    int
}

// Broken tells whether any claim or rule is.
func (v *Verdict) Broken() bool {
	return slices.ContainsFunc(v.Findings, func(f Finding) bool { return f.State == Broken })
}

// Judge plays an expectation at one seed and judges every claim of it.
func Judge(d *Deployment, e *Expectation, seed uint64) Verdict {
	v := Verdict{Seed: seed}
	var rec *record
	if len(e.Load) > 0 {
		rec = newWorld(d, e, seed).play()
		v.Sends = len(rec.sends)
	} else {
		rec = &record{}
	}
	j := judge{d, e, rec}
	for i := range e.Claims {
		f := j.claim(&e.Claims[i])
		f.Claim, f.Kind = i, e.Claims[i].Kind()
		if f.State == Broken {
			f.Line = j.line(f.At)
		}
		v.Findings = append(v.Findings, f)
	}
	for i, fault := range rec.faults {
		if i == 3 { // one is enough to know
			break
		}
		at := (fault.At - epoch) * 1000
		v.Findings = append(v.Findings, Finding{
			Claim: -1, Kind: fmt.Sprint("rule ", fault.Rule), State: Broken, Text: fault.Text, At: at, Line: j.line(at),
		})
	}
	if len(rec.happened) < len(e.Timeline) && len(e.Load) > 0 {
		v.Findings = append(v.Findings, Finding{Claim: -1, Kind: "timeline", State: Vacuous, Text: "not all of the time line came about"})
	}
	return v
}

// judge judges one run.
type judge struct {
	d   *Deployment
	e   *Expectation
	rec *record
}

var never = math.NaN()

func held() Finding { return Finding{State: Held, At: never} }

func broken(at float64, format string, args ...any) Finding {
	return Finding{State: Broken, Text: fmt.Sprintf(format, args...), At: at}
}

func vacuous(format string, args ...any) Finding {
	return Finding{State: Vacuous, Text: fmt.Sprintf(format, args...), At: never}
}

func (j *judge) claim(c *Claim) Finding {
	switch {
	case c.GoesTo != nil:
		return j.goesTo(c.GoesTo)
	case c.Spread != nil:
		return j.spread(c.Spread)
	case c.NothingNew != nil:
		return j.nothingNew(c.NothingNew)
	case c.FirstParts != nil:
		return j.firstParts(c.FirstParts)
	case c.Further != nil:
		return j.further(c.Further)
	case c.Ends != nil:
		return j.ends(c.Ends)
	case c.AtMost != nil:
		return j.atMost(c.AtMost)
	case c.Holds != nil:
		return j.holds(c.Holds)
	}
	return j.loss(c.Loss)
}

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
			if slices.ContainsFunc(j.d.Ring.All(s.shard), is) {
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
		return slices.ContainsFunc(j.d.Ring.All(shard), func(r placement.Replica) bool { return r.Name == c.Reader })
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

func (j *judge) holds(c *Holds) Finding {
	shards := j.d.of(c.Square, c.Shards)
	if shards == nil {
		for s := range j.d.Ring.Shards() {
			shards = append(shards, s)
		}
	}
	if len(shards) == 0 {
		return vacuous("there are no shards")
	}
	var few, near, other []int
	var who []string
	for _, s := range shards {
		if len(j.d.Ring.Holders(s)) < c.Holders {
			few = append(few, s)
		}
		if len(j.d.Ring.DataCentres(s)) < c.DataCentres {
			near = append(near, s)
		}
		if len(c.By) > 0 {
			var names []string
			for _, r := range j.d.Ring.Holders(s) {
				names = append(names, r.Name)
			}
			if !sameSet(names, c.By) {
				other, who = append(other, s), names
			}
		}
	}
	switch {
	case len(few) > 0:
		return broken(never, "shards %s have fewer than %d holders", placement.Ranges(few), c.Holders)
	case len(near) > 0:
		return broken(never, "the holders of shards %s lie in fewer than %d data centres", placement.Ranges(near), c.DataCentres)
	case len(other) > 0:
		return broken(never, "shards %s are held by others, the last by %s", placement.Ranges(other), strings.Join(who, ", "))
	}
	return held()
}

func sameSet(a, b []string) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}

var units = map[string]placement.Unit{
	"replica": placement.ReplicaUnit, "cell": placement.CellUnit, "data_centre": placement.DataCentreUnit,
}

func (j *judge) loss(c *LossClaim) Finding {
	losses := j.d.Ring.Losses(units[c.Of], max(1, c.Count))
	if len(losses) == 0 {
		return vacuous("there are not so many to lose")
	}
	need, parts := 1.0, c.Parts
	if class := settings.Place(j.d.Names.Classes, c.Class); class >= 0 {
		need = j.d.Config.Classes[class].Need
	}
	if parts == 0 {
		parts = j.d.Ring.Shards()
	}
	var breaks []string
	for i := range losses {
		l := &losses[i]
		reach := 1.0
		if c.Class != "" {
			if reach = l.Reach(parts, need); reach < 1-shareSlip {
				breaks = append(breaks, strings.Join(l.Lost, "+"))
			}
		}
		switch {
		case l.Least < c.Holders:
			return broken(never, "%s", l)
		case c.Gone != nil && len(l.Gone) > *c.Gone:
			return broken(never, "%s", l)
		case c.Whole != nil && reach < *c.Whole-shareSlip:
			return broken(never, "%s: %.2f of the queries of class %s over %d shards can be whole", l, reach, c.Class, parts)
		}
	}
	if c.Breaks != nil && !sameSet(breaks, c.Breaks) {
		slices.Sort(breaks)
		told := strings.Join(breaks, ", ")
		if told == "" {
			told = "none"
		}
		return broken(never, "queries of class %s suffer from the loss of %s", c.Class, told)
	}
	return held()
}

// line is what led to a moment: news and steps, and the parts sent last before it.
func (j *judge) line(at float64) []string {
	type entry struct {
		at   float64
		text string
	}
	var news, sends []entry
	for _, s := range j.rec.happened {
		if !(s.At > at) {
			news = append(news, entry{s.At, s.String()})
		}
	}
	for _, t := range j.rec.tells {
		if !(t.at > at) {
			what := [...]string{"ready", "draining", "gone"}[t.state]
			if t.cold && t.state == policy.Up {
				what = "started anew"
			}
			news = append(news, entry{t.at, fmt.Sprintf("%.1f ms: the list tells that %s is %s", t.at, j.name(t.reader), what)})
		}
	}
	slices.SortStableFunc(news, func(a, b entry) int { return cmp.Compare(a.at, b.at) })
	if len(news) > linesMost-3 {
		news = append(news[:1:1], news[len(news)-(linesMost-4):]...)
	}
	if !math.IsNaN(at) {
		for i := range j.rec.sends {
			s := &j.rec.sends[i]
			if s.at > at {
				break
			}
			sends = append(sends, entry{s.at, fmt.Sprintf("%.1f ms: shard %d, attempt %d, class %s, to %s", s.at, s.shard, s.attempt+1,
				j.d.Names.Classes[j.rec.queries[s.query].class], j.name(s.reader))})
		}
		sends = sends[max(0, len(sends)-3):]
	}
	all := append(news, sends...)
	slices.SortStableFunc(all, func(a, b entry) int { return cmp.Compare(a.at, b.at) })
	var out []string
	for _, e := range all {
		out = append(out, e.text)
	}
	return out
}

// Summary is what an expectation came to over all its seeds.
type Summary struct {
	Expectation *Expectation
	Seeds       int
	BrokenSeeds int
	First       *Verdict  // the first broken one, by seed
	Vacuous     []Finding // claims that no seed put to the test
	Sends       int
}

// State tells the whole: broken if any seed broke it, vacuous if some claim was never put to the test.
func (s *Summary) State() State {
	switch {
	case s.BrokenSeeds > 0:
		return Broken
	case len(s.Vacuous) > 0:
		return Vacuous
	}
	return Held
}

// Sum puts together the verdicts of all seeds, in any order.
func Sum(e *Expectation, verdicts []Verdict) Summary {
	s := Summary{Expectation: e, Seeds: len(verdicts)}
	empty := map[string]int{}
	found := map[string]Finding{}
	for i := range verdicts {
		v := &verdicts[i]
		s.Sends += v.Sends
		if v.Broken() {
			s.BrokenSeeds++
			if s.First == nil || v.Seed < s.First.Seed {
				s.First = v
			}
		}
		for _, f := range v.Findings {
			if f.State == Vacuous {
				key := fmt.Sprint(f.Claim, f.Kind)
				empty[key]++
				found[key] = f
			}
		}
	}
	for key, n := range empty {
		if n == len(verdicts) {
			s.Vacuous = append(s.Vacuous, found[key])
		}
	}
	slices.SortFunc(s.Vacuous, func(a, b Finding) int { return a.Claim - b.Claim })
	return s
}
