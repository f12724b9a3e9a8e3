package operator

import (
	"errors"
	"fmt"
	"strings"

	"birchcart/internal/route"
	"birchcart/internal/route/legal"
	"birchcart/internal/schema"
	"birchcart/internal/settings"
	"birchcart/policy"
)

// Route bounds what may be done for the queries that it matches. The first that matches a query is its route.
type Route struct {
	Name    string      `json:"name" need:"true" len:"1"`
	Default bool        `json:"default"` // the last, for what no other matches
	Match   RouteMatch  `json:"match"`
	Limits  RouteLimits `json:"limits"`
	Room    RouteRoom   `json:"room"`
}

// RouteMatch says which queries; what is absent matches all.
type RouteMatch struct {
	Front   string            `json:"front" enum:"users,features"`
	Class   string            `json:"class"`
	Tenant  string            `json:"tenant"`
	Square  string            `json:"square"` // all parts lie in this square or section
	Shards  []int             `json:"shards" min:"0"`
	Retry   *bool             `json:"retry"`
	Headers map[string]string `json:"headers"`
}

// RouteLimits narrow what rules and settings allow.
type RouteLimits struct {
	Time       float64 `json:"time_ms" min:"1" max:"3600000" unit:"ms"`
	Step       float64 `json:"step_ms" min:"1" max:"3600000" unit:"ms"`
	Attempt    float64 `json:"attempt_ms" min:"1" max:"3600000" unit:"ms"`
	Attempts   int     `json:"attempts" min:"1" max:"100"`
	IfNeverRan bool    `json:"only_if_never_ran"` // of a class that must not run twice, further attempts are meant for those
	Copies     *bool   `json:"copies"`
	CopyAfter  float64 `json:"copy_after_ms" min:"0" max:"3600000" unit:"ms"`
	Share      float64 `json:"budget_share" min:"0.001" max:"1"`
	Floor      float64 `json:"floor" min:"0" max:"1"`
	Yields     bool    `json:"yields"`
	ComeBack   float64 `json:"come_back_ms" min:"1" max:"3600000" unit:"ms"`
}

// RouteRoom stands before the decisions.
type RouteRoom struct {
	Queries   int     `json:"queries" min:"1" max:"1000000"`
	Borrow    bool    `json:"borrow"`
	Rate      float64 `json:"rate_per_s" min:"0.001" max:"1000000" unit:"queries/s"` // by tenant, of one co-ordinator
	Burst     int     `json:"burst" min:"1" max:"1000000"`
	RetryRate float64 `json:"retry_rate_per_s" min:"0.001" max:"1000000" unit:"queries/s"` // by client
}

// Table compiles the routes; nil if there are none. The error has a line for each mistake.
func (f *File) Table(names *settings.Names, shards int) (*route.Table, error) {
	if len(f.Routes) == 0 {
		return nil, nil
	}
	specs := make([]route.Spec, len(f.Routes))
	var errs []error
	for i := range f.Routes {
		r := &f.Routes[i]
		m := route.Match{
			Front: r.Match.Front, Class: r.Match.Class, Tenant: r.Match.Tenant, Retry: r.Match.Retry, Shards: r.Match.Shards,
			Headers: map[string]string{},
		}
		for name, value := range r.Match.Headers {
			m.Headers[strings.ToLower(name)] = value
		}
		if r.Match.Square != "" {
			area, ok := f.Shards(r.Match.Square)
			if !ok {
				errs = append(errs, route.Mistake{Route: i, Text: fmt.Sprintf("there is no square or section %q", r.Match.Square)})
			}
			if m.Shards != nil {
				errs = append(errs, route.Mistake{Route: i, Text: "square and shards can't both be"})
			}
			m.Shards = area
		}
		l := &r.Limits
		specs[i] = route.Spec{
			Name: r.Name, Match: m, Default: r.Default, Copies: l.Copies != nil && *l.Copies, IfNeverRan: l.IfNeverRan,
			Limits: policy.Limits{
				Timeout: l.Time / 1000, StepTimeout: l.Step / 1000, AttemptTimeout: l.Attempt / 1000, MaxAttempts: l.Attempts, NoCopies: l.Copies != nil && !*l.Copies,
				CopyAfter: l.CopyAfter / 1000, BudgetShare: l.Share, Floor: l.Floor, Yield: l.Yields, MaxRetryAfter: l.ComeBack / 1000,
			},
			Room: route.Room{Queries: r.Room.Queries, Borrow: r.Room.Borrow, Rate: r.Room.Rate, Burst: r.Room.Burst, RetryRate: r.Room.RetryRate},
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return route.Compile(specs, names, shards)
}

// againstRoutes compiles the routes and lets the solver prove that no rule and no setting is broken under them.
func (f *File) againstRoutes(names *settings.Names, cfg *policy.Config, ms *schema.Mistakes) {
	table, err := f.Table(names, cfg.Shards)
	if err != nil {
		for _, line := range strings.Split(err.Error(), "\n") {
			path, text, _ := strings.Cut(line, ": ")
			ms.Add("$."+path, "", "%s", text)
		}
		return
	}
	if table == nil {
		return
	}
	for _, r := range legal.Check(table, names, cfg, f.Placement.DrainTime/1000) {
		path := "$.routes"
		if r.Route >= 0 {
			path = fmt.Sprintf("$.routes[%d]", r.Route)
			if r.Key != "" {
				path += "." + r.Key
			}
		}
		ms.Add(path, "", "%s", r)
	}
}
