package expect

import (
	"cmp"
	"fmt"
	"math"
	"slices"

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
