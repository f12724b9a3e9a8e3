// Package legal is the solver for routes: it reads settings and routes and refutes every route under which a rule
// could break, or a limit could never come to hold, and shows the case as a short time line. It is pure; what it
// passes is proved by playing fault scripts past the checker of the rules, what it refutes by the time line.
//
// A route narrows what the decisions may do, so it can't make them break a rule. It can ask for what a rule forbids,
// or leave a query no way to end well; both are refused before traffic, not found in it.
package legal

import (
	"fmt"
	"math"
	"strings"

	"birchcart/internal/route"
	"birchcart/internal/settings"
	"birchcart/policy"
)

// Refutation is one thing that can't be.
type Refutation struct {
	Route int    // place; -1 for all together
	Key   string // under the route
	Class string // "" where it is not one class's
	Why   string
	Line  []string // the case, as a time line
}

func (r Refutation) String() string {
	text := r.Why
	if r.Class != "" {
		text = "for class " + r.Class + ": " + text
	}
	if len(r.Line) > 0 {
		text += " [" + strings.Join(r.Line, "; ") + "]"
	}
	return text
}

const (
	turns = 2.0 // turns that an end and its consequence take
	eps   = 1e-9
)

// solver goes over routes and the classes that can come by them.
type solver struct {
	t     *route.Table
	names *settings.Names
	cfg   *policy.Config
	drain float64 // s for which a draining replica lives on; 0: not known
	out   []Refutation
}

// Check returns all refutations, none for a legal table.
func Check(t *route.Table, names *settings.Names, cfg *policy.Config, drain float64) []Refutation {
	s := &solver{t: t, names: names, cfg: cfg, drain: drain}
	for i := range t.Routes {
		s.alone(i)
		for class := range cfg.Classes {
			if m := t.Routes[i].Match.Class; m == "" || m == names.Classes[class] {
				s.class(i, class)
			}
		}
	}
	s.together()
	return s.out
}

func (s *solver) refute(i int, key string, class int, line []string, format string, args ...any) {
	name := ""
	if class >= 0 {
		name = s.names.Classes[class]
	}
	s.out = append(s.out, Refutation{i, key, name, fmt.Sprintf(format, args...), line})
}

func at(t float64, format string, args ...any) string {
	return fmt.Sprintf("%.0f ms: ", t*1000) + fmt.Sprintf(format, args...)
}

// alone is what a route's limits say whatever the class.
func (s *solver) alone(i int) {
	r := &s.t.Routes[i]
	l, room := &r.Limits, &r.Room
	tick := math.Max(s.cfg.Resolution, 0.001)
	for _, b := range []struct {
		key string
		x   float64
	}{{"limits.time_ms", l.Timeout}, {"limits.step_ms", l.StepTimeout}, {"limits.attempt_ms", l.AttemptTimeout}} {
		if x := b.x; x > 0 && x < turns*tick {
			s.refute(i, b.key, -1, nil, "%.1f ms are less than the %.0f turns of %.1f ms in which anything can end", x*1000, turns, tick*1000)
		}
	}
	if l.StepTimeout > 0 && l.Timeout > 0 && l.StepTimeout > l.Timeout {
		s.refute(i, "limits.step_ms", -1, nil, "a step of %.0f ms in a query of %.0f ms", l.StepTimeout*1000, l.Timeout*1000)
	}
	if l.AttemptTimeout > 0 && l.Timeout > 0 && l.AttemptTimeout > l.Timeout {
		s.refute(i, "limits.attempt_ms", -1, nil, "an attempt of %.0f ms in a query of %.0f ms", l.AttemptTimeout*1000, l.Timeout*1000)
	}
	if l.MaxAttempts > 0 && s.cfg.MaxAttempts > 0 && l.MaxAttempts > s.cfg.MaxAttempts {
		s.refute(i, "limits.attempts", -1, nil, "the settings allow %d; a route can only narrow", s.cfg.MaxAttempts)
	}
	if l.NoCopies && l.CopyAfter > 0 {
		s.refute(i, "limits.copy_after_ms", -1, nil, "copies: false leaves none that could wait")
	}
	if r.Copies && !s.cfg.SecondCopies {
		s.refute(i, "limits.copies", -1, nil, "the settings allow no second copies; a route can only narrow")
	}
	if r.Copies && l.MaxAttempts == 1 {
		s.refute(i, "limits.copies", -1, nil, "a second copy is a second attempt, and attempts is 1")
	}
	if (r.Copies || l.CopyAfter > 0) && l.AttemptTimeout > 0 && l.CopyAfter >= l.AttemptTimeout {
		s.refute(i, "limits.copy_after_ms", -1, []string{at(0, "a part goes"), at(l.AttemptTimeout, "its attempt is given up"), at(l.CopyAfter, "its copy would go")},
			"the first attempt is over before its copy may go")
	}
	if l.CopyAfter > 0 && l.Timeout > 0 && l.CopyAfter >= l.Timeout {
		s.refute(i, "limits.copy_after_ms", -1, nil, "the query is over before a copy may go")
	}
	if c := s.cfg; r.Copies && c.ExtraWindow > 0 && c.ExtraPerRequest == 0 {
		share := 1.0
		if l.BudgetShare > 0 {
			share = l.BudgetShare
		}
		if c.ExtraFree*share < 1 {
			s.refute(i, "limits.copies", -1, nil, "the budget earns %.2f further attempts, of which the route has %.2f: never one", c.ExtraFree, c.ExtraFree*share)
		}
	}
	if l.MaxRetryAfter > 0 && (!s.cfg.RetryAfter || l.MaxRetryAfter > s.cfg.MaxRetryAfter+eps) {
		s.refute(i, "limits.come_back_ms", -1, nil, "clients heed at most %.0f ms", s.cfg.MaxRetryAfter*1000*b2f(s.cfg.RetryAfter))
	}
	if room.Rate > 0 && room.Burst < 1 {
		s.refute(i, "room.burst", -1, nil, "a bucket that holds less than one query never admits any; with rate_per_s a burst of at least 1 is needed")
	}
	if room.Burst > 0 && room.Rate == 0 {
		s.refute(i, "room.burst", -1, nil, "there is no rate_per_s that it could go with")
	}
	if room.Borrow && room.Queries == 0 {
		s.refute(i, "room.borrow", -1, nil, "a route without a room of its own has no need to borrow")
	}
	if no := r.Match.Retry; room.RetryRate > 0 && no != nil && !*no {
		s.refute(i, "room.retry_rate_per_s", -1, nil, "the route takes no marked retries")
	}
}

func b2f(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// class is what a route's limits mean for a class that can come by it.
func (s *solver) class(i, class int) {
	r, c := &s.t.Routes[i], &s.cfg.Classes[class]
	l := &r.Limits
	tick := math.Max(s.cfg.Resolution, 0.001)
	named := r.Match.Class != "" // what is asked of one class by name must make sense for it
	if l.Timeout > 0 && c.GiveUp > 0 && l.Timeout > c.GiveUp+eps {
		s.refute(i, "limits.time_ms", class, []string{at(0, "a query comes"), at(c.GiveUp, "its client leaves"), at(l.Timeout, "the route would end it")},
			"a time-out of %.0f ms outlasts the client, who waits %.0f ms", l.Timeout*1000, c.GiveUp*1000)
	}
	if l.Floor > c.Need+eps && (named || c.Need < 1) {
		s.refute(i, "limits.floor", class, nil, "a floor of %g over the need, %g: no whole answer could be given", l.Floor, c.Need)
	}
	if named && l.StepTimeout > 0 && c.FollowUp == 0 {
		s.refute(i, "limits.step_ms", class, nil, "it has one step; time_ms bounds it")
	}
	time := c.GiveUp
	if l.Timeout > 0 {
		time = math.Min(l.Timeout, orElse(c.GiveUp, l.Timeout))
	}
	attempts := s.cfg.MaxAttempts
	if l.MaxAttempts > 0 {
		attempts = l.MaxAttempts
	}
	if l.AttemptTimeout > 0 && l.MaxAttempts > 1 && c.Effect != policy.Unsafe && time > 0 && float64(l.MaxAttempts-1)*(l.AttemptTimeout+tick)+tick >= time {
		line := []string{at(0, "the first attempt goes")}
		for n := 1; n < l.MaxAttempts && n < 5; n++ {
			line = append(line, at(float64(n)*(l.AttemptTimeout+tick), "attempt %d would go", n+1))
		}
		s.refute(i, "limits.attempts", class, append(line, at(time, "the query is over")),
			"%d attempts of %.0f ms each can't fit in %.0f ms", l.MaxAttempts, l.AttemptTimeout*1000, time*1000)
	}
	switch c.Effect {
	case policy.Unsafe:
		if named && l.MaxAttempts > 1 && !r.IfNeverRan { // unnamed it is a cap
			s.refute(i, "limits.attempts", class, []string{at(0, "the part goes"), at(tick, "its reader fails it, and may have run it"), at(2*tick, "attempt 2 would run it twice")},
				"it must not run twice; only_if_never_ran: true says that further attempts are meant where the first is proved never to have run")
		}
		if named && r.Copies {
			s.refute(i, "limits.copies", class, []string{at(0, "the part goes"), at(l.CopyAfter, "its copy would run it twice")}, "a second copy of a part that is out would run it twice")
		}
		if l.AttemptTimeout > 0 && (time == 0 || l.AttemptTimeout < time-eps) {
			s.refute(i, "limits.attempt_ms", class, []string{at(0, "the part goes"), at(l.AttemptTimeout, "it is given up, and may have run"), at(l.AttemptTimeout+tick, "nothing may go again: the query fails, though its reader may answer")},
				"what is given up may have run and can't go again, so the query fails while there is time")
		}
	case policy.Keyed:
		if attempts != 1 && l.AttemptTimeout > 0 && l.AttemptTimeout+turns*tick >= c.Window {
			s.refute(i, "limits.attempt_ms", class, []string{at(0, "the part goes"), at(c.Window, "its key is forgotten"), at(l.AttemptTimeout, "attempt 2 would go beyond the window")},
				"a resend after %.0f ms comes behind the %.0f ms in which repeats are dropped", l.AttemptTimeout*1000, c.Window*1000)
		}
		if r.Copies && l.CopyAfter+turns*tick >= c.Window {
			s.refute(i, "limits.copy_after_ms", class, nil, "a copy after %.0f ms comes behind the %.0f ms in which repeats are dropped", l.CopyAfter*1000, c.Window*1000)
		}
	}
	if s.drain > 0 && c.Effect == policy.Unsafe {
		longest := time
		if l.AttemptTimeout > 0 {
			longest = math.Min(longest, l.AttemptTimeout)
		}
		if longest > s.drain+eps && l.Timeout > 0 {
			s.refute(i, "limits.time_ms", class, []string{at(0, "a part goes to a reader"), at(tick, "the reader is told to drain"), at(tick+s.drain, "it ends with the part"), at(longest, "the query was to end")},
				"a part may be out for %.0f ms, and a draining reader lives %.0f ms: its end leaves the part's fate unknown", longest*1000, s.drain*1000)
		}
	}
}

func orElse(x, other float64) float64 {
	if x > 0 {
		return x
	}
	return other
}

// together is what all routes come to.
func (s *solver) together() {
	places, queries := 0, 0
	for i := range s.t.Routes {
		queries += s.t.Routes[i].Room.Queries
		places += 2 * s.t.Routes[i].Room.Queries // a query holds a place for itself and one for each part, of which there is one at least
	}
	if s.cfg.MaxOpen > 0 && places > s.cfg.MaxOpen {
		s.refute(-1, "", -1, nil, "rooms for %d queries need %d places with one part each; the process holds %d (open_cap)", queries, places, s.cfg.MaxOpen)
	}
	share := 0.0
	for i := range s.t.Routes {
		share += s.t.Routes[i].Limits.BudgetShare
	}
	if share > 0 && share < 1-eps && !s.unshared() {
		s.refute(-1, "", -1, nil, "the routes' shares of the budget come to %.2f: the rest is nobody's", share)
	}
}

// unshared tells whether some route has all of the budget open to it.
func (s *solver) unshared() bool {
	for i := range s.t.Routes {
		if s.t.Routes[i].Limits.BudgetShare == 0 {
			return true
		}
	}
	return false
}
