// Package route finds the route of a query and the limits that go with it. It is pure: routes are compiled once, and a
// match for a query's front, class, tenant and mark costs the same whatever their number; only routes that ask for
// shards or headers are looked at one by one, those alone that could come first.
//
// A route bounds what the decisions may do for a query, and never decides itself. Whether a set of routes can keep the
// rules is package legal's.
package route

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"birchcart/internal/settings"
	"birchcart/policy"
)

// Front is a way in.
type Front uint8

// Fronts: the users' HTTP front and the front for feature queries.
const (
	Users Front = iota
	Features
	fronts
)

// FrontNames are the names of fronts in files.
var FrontNames = []string{"users", "features"}

// Spec is one route as written. A field of Match that is empty matches all.
type Spec struct {
	Name    string
	Match   Match
	Limits  policy.Limits
	Room    Room
	Default bool // matches what no other does; it stands last

	Copies     bool // second copies are asked for by name
	IfNeverRan bool // attempts of a class that must not run twice are meant for those proved never to have run
}

// Match says which queries are a route's.
type Match struct {
	Front   string
	Class   string
	Tenant  string
	Retry   *bool             // marked as asked before, or not
	Shards  []int             // all of the query's parts lie in these; nil for any
	Headers map[string]string // names in lower case; each must be there with this value
}

// Room is what stands before the decisions; 0 is no bound.
type Room struct {
	Queries   int     // open at once
	Borrow    bool    // idle room of others may be used
	Rate      float64 // queries a second, of one co-ordinator
	Burst     int
	RetryRate float64 // of marked retries, by client key, a second
}

// Query is what a route is found by.
type Query struct {
	Front         Front
	Class, Tenant int // Tenant: -1 for none
	Retry         bool
	Shards        func(yield func(int) bool)
	Header        func(name string) string // nil: there are none
}

// Table is a compiled list of routes.
type Table struct {
	Routes  []Spec
	tenants int
	classes int
	cells   [][]int32 // by front, class, tenant+1, retry: routes that may match, in order, the last for certain
	shards  [][]bool  // by route; nil for any
}

// Mistake is one thing wrong with a list of routes.
type Mistake struct {
	Route int // place in the list; -1 for the list itself
	Text  string
}

func (m Mistake) Error() string {
	if m.Route < 0 {
		return "routes: " + m.Text
	}
	return fmt.Sprintf("routes[%d]: %s", m.Route, m.Text)
}

// Compile compiles routes in their order; the first that matches a query is its route. A route that none can reach,
// two that match the same, and a class that none matches are errors, all told at once.
func Compile(specs []Spec, names *settings.Names, shards int) (*Table, error) {
	t := &Table{Routes: slices.Clone(specs), tenants: len(names.Tenants), classes: len(names.Classes)}
	var errs []error
	wrong := func(i int, format string, args ...any) { errs = append(errs, Mistake{i, fmt.Sprintf(format, args...)}) }
	type fixed struct{ front, class, tenant int } // -1: any
	var match []fixed
	for i := range specs {
		m := &specs[i].Match
		f := fixed{-1, -1, -2}
		if m.Front != "" {
			if f.front = slices.Index(FrontNames, m.Front); f.front < 0 {
				wrong(i, "front %q is not known; there are %s", m.Front, strings.Join(FrontNames, ", "))
			}
		}
		if m.Class != "" {
			if f.class = settings.Place(names.Classes, m.Class); f.class < 0 {
				wrong(i, "class %q is not known; there are %s", m.Class, strings.Join(names.Classes, ", "))
			}
		}
		if m.Tenant != "" {
			if f.tenant = settings.Place(names.Tenants, m.Tenant); f.tenant < 0 {
				wrong(i, "tenant %q is not known; there are %s", m.Tenant, strings.Join(names.Tenants, ", "))
			}
		}
		if len(m.Headers) > 0 && m.Front != FrontNames[Features] {
			wrong(i, "headers are seen of feature queries only; front: %q goes with them", FrontNames[Features])
		}
		var in []bool
		if m.Shards != nil {
			in = make([]bool, shards)
			for _, s := range m.Shards {
				if s < 0 || s >= shards {
					wrong(i, "shard %d does not exist", s)
					continue
				}
				in[s] = true
			}
		}
		t.shards = append(t.shards, in)
		match = append(match, f)
		if specs[i].Default && i != len(specs)-1 {
			wrong(i, "the default stands last")
		}
		if specs[i].Default && !m.any() {
			wrong(i, "the default matches all; it has a match of its own")
		}
		for j := range i {
			if specs[j].Name == specs[i].Name {
				wrong(i, "%q is the name of routes[%d] already", specs[i].Name, j)
			}
			if same(&specs[j].Match, m) {
				wrong(i, "it ties with routes[%d]: both match the same", j)
			}
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	reached := make([]bool, len(specs))
	open := map[int]bool{}
	t.cells = make([][]int32, int(fronts)*t.classes*(t.tenants+1)*2)
	for front := range int(fronts) {
		for class := range t.classes {
			for tenant := -1; tenant < t.tenants; tenant++ {
				if tenant < 0 && t.tenants > 0 {
					continue // with tenants every query has one
				}
				for retry := range 2 {
					cell := t.cell(front, class, tenant, retry == 1)
					certain := false
					for i := range specs {
						f, m := match[i], &specs[i].Match
						if f.front >= 0 && f.front != front || f.class >= 0 && f.class != class || f.tenant > -2 && f.tenant != tenant ||
							m.Retry != nil && *m.Retry != (retry == 1) {
							continue
						}
						t.cells[cell] = append(t.cells[cell], int32(i))
						reached[i] = true
						if m.Shards == nil && len(m.Headers) == 0 {
							certain = true
							break
						}
					}
					if !certain {
						open[class] = true
					}
				}
			}
		}
	}
	for i, ok := range reached {
		if !ok && !specs[i].Default { // a default may stand for what is not there yet
			wrong(i, "no query can reach it: routes before it match all that it does")
		}
	}
	for class := range t.classes {
		if open[class] {
			wrong(-1, "some queries of class %q match no route; a last one with default: true takes the rest", names.Classes[class])
		}
	}
	return t, errors.Join(errs...)
}

func (m *Match) any() bool {
	return m.Front == "" && m.Class == "" && m.Tenant == "" && m.Retry == nil && m.Shards == nil && len(m.Headers) == 0
}

func same(a, b *Match) bool {
	if a.Front != b.Front || a.Class != b.Class || a.Tenant != b.Tenant || (a.Retry == nil) != (b.Retry == nil) ||
		a.Retry != nil && *a.Retry != *b.Retry || len(a.Headers) != len(b.Headers) || (a.Shards == nil) != (b.Shards == nil) {
		return false
	}
	for name, value := range a.Headers {
		if other, ok := b.Headers[name]; !ok || other != value {
			return false
		}
	}
	x, y := slices.Clone(a.Shards), slices.Clone(b.Shards)
	slices.Sort(x)
	slices.Sort(y)
	return slices.Equal(x, y)
}

func (t *Table) cell(front, class, tenant int, retry bool) int {
	i := ((front*t.classes+class)*(t.tenants+1) + tenant + 1) * 2
	if retry {
		i++
	}
	return i
}

// Find returns the place of a query's route. It allocates nothing.
func (t *Table) Find(q *Query) int {
	for _, i := range t.cells[t.cell(int(q.Front), q.Class, q.Tenant, q.Retry)] {
		if t.takes(int(i), q) {
			return int(i)
		}
	}
	return -1 // not for a table that was compiled without an error
}

func (t *Table) takes(i int, q *Query) bool {
	if in := t.shards[i]; in != nil {
		if q.Shards == nil {
			return false
		}
		if !within(in, q) {
			return false
		}
	}
	for name, value := range t.Routes[i].Match.Headers {
		if q.Header == nil || q.Header(name) != value {
			return false
		}
	}
	return true
}

// within stands apart so that a route without shards costs no closure.
func within(in []bool, q *Query) bool {
	for s := range q.Shards {
		if s < 0 || s >= len(in) || !in[s] {
			return false
		}
	}
	return true
}
