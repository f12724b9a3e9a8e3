package main

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"birchcart/internal/operator"
	"birchcart/internal/route"
	"birchcart/internal/schema"
	"birchcart/internal/settings"
	"birchcart/internal/template"
	"birchcart/policy"
)

type routeCommand struct {
	Explain routeExplain `cmd:"" help:"Show which route a query takes, and every limit of it."`
	Diff    routeDiff    `cmd:"" help:"Say whose limits change from one operators' file to another."`
}

type routeExplain struct {
	files
	Class  string            `help:"Class of query." required:""`
	Front  string            `help:"users or features." default:"users" enum:"users,features"`
	Tenant string            `help:"Tenant, where the deployment has some."`
	Retry  bool              `help:"Marked as asked before."`
	Shard  []int             `help:"Shards of its parts."`
	Square string            `help:"A square or section instead."`
	Header map[string]string `help:"Headers of a feature query." placeholder:"NAME=VALUE"`
}

// limitLine is one resolved limit and where it comes from.
type limitLine struct {
	Limit string `json:"limit"`
	Value string `json:"value"`
	From  string `json:"from"`
}

type explainedRoute struct {
	Route  string      `json:"route"`
	Place  string      `json:"place"`
	Limits []limitLine `json:"limits"`
}

func (c *routeExplain) Run(ctx context.Context, p *printer) error {
	l, err := c.load(ctx)
	if err != nil {
		return err
	}
	if l.Routes == nil {
		return fmt.Errorf("%s has no routes: the settings alone hold for every query", c.Operator)
	}
	names := l.Config.Names
	q := route.Query{Class: settings.Place(names.Classes, c.Class), Tenant: -1, Retry: c.Retry, Front: route.Front(slices.Index(route.FrontNames, c.Front))}
	if q.Class < 0 {
		return fmt.Errorf("--class: %s", schema.Unknown(c.Class, names.Classes))
	}
	if len(names.Tenants) > 0 {
		if q.Tenant = settings.Place(names.Tenants, c.Tenant); q.Tenant < 0 {
			return fmt.Errorf("--tenant: %s", schema.Unknown(c.Tenant, names.Tenants))
		}
	}
	shards := c.Shard
	if c.Square != "" {
		var ok bool
		if shards, ok = l.Operator.Shards(c.Square); !ok {
			return fmt.Errorf("--square: %s", schema.Unknown(c.Square, l.deployment().Areas))
		}
	}
	if len(shards) > 0 {
		q.Shards = slices.Values(shards)
	}
	if len(c.Header) > 0 {
		q.Header = func(name string) string {
			for have, value := range c.Header {
				if strings.EqualFold(have, name) {
					return value
				}
			}
			return ""
		}
	}
	i := l.Routes.Find(&q)
	r := &l.Routes.Routes[i]
	place := fmt.Sprintf("%s $.routes[%d]", c.Operator, i)
	res := explainedRoute{r.Name, place, resolved(&l.Config.Policy, q.Class, r, place)}
	if done, err := p.value(res); done {
		return err
	}
	rows := [][]any{}
	for _, x := range res.Limits {
		rows = append(rows, []any{x.Limit, x.Value, x.From})
	}
	fmt.Fprintf(p.out, "route %q, %s\n", res.Route, res.Place)
	p.table([]any{"limit", "value", "from"}, rows)
	return nil
}

// resolved is every limit that holds for a class by a route, with the place that it comes from.
func resolved(cfg *policy.Config, class int, r *route.Spec, place string) []limitLine {
	c, l := &cfg.Classes[class], &r.Limits
	ms := func(s float64) string { return fmt.Sprintf("%g ms", s*1000) }
	var out []limitLine
	add := func(limit string, own bool, value, key, other, otherFrom string) {
		if own {
			out = append(out, limitLine{limit, value, place + ".limits." + key})
		} else {
			out = append(out, limitLine{limit, other, otherFrom})
		}
	}
	add("time for the query", l.Timeout > 0, ms(l.Timeout), "time_ms", ms(c.GiveUp), "settings: give_up_s; the client's own if less")
	add("time for a step", l.StepTimeout > 0, ms(l.StepTimeout), "step_ms", "none", "")
	add("time for an attempt", l.AttemptTimeout > 0, ms(l.AttemptTimeout), "attempt_ms", "as long as the query", "")
	add("attempts for a part", l.MaxAttempts > 0, fmt.Sprint(l.MaxAttempts), "attempts", fmt.Sprint(cfg.MaxAttempts), "settings: attempts_cap")
	add("second copies", l.NoCopies || r.Copies, fmt.Sprint(!l.NoCopies), "copies", fmt.Sprint(cfg.SecondCopies), "settings: second_copies")
	add("a copy not before", l.CopyAfter > 0, ms(l.CopyAfter), "copy_after_ms", "the part is late", "the decisions")
	add("share of the budget", l.BudgetShare > 0, fmt.Sprint(l.BudgetShare), "budget_share", "1", "")
	add("floor of an answer", l.Floor > c.Floor, fmt.Sprint(l.Floor), "floor", fmt.Sprint(c.Floor), "settings: floor_by_class")
	add("yields when nearly full", l.Yield, "true", "yields", "false", "")
	add("longest time to come back", l.MaxRetryAfter > 0, ms(l.MaxRetryAfter), "come_back_ms", ms(cfg.MaxRetryAfter), "settings: max_retry_after_s")
	room := func(limit string, has bool, value any, key string) {
		if has {
			out = append(out, limitLine{limit, fmt.Sprint(value), place + ".room." + key})
		} else {
			out = append(out, limitLine{limit, "none", ""})
		}
	}
	room("open queries", r.Room.Queries > 0, r.Room.Queries, "queries")
	room("queries a second by tenant", r.Room.Rate > 0, r.Room.Rate, "rate_per_s")
	room("retries a second by client", r.Room.RetryRate > 0, r.Room.RetryRate, "retry_rate_per_s")
	return out
}

type routeDiff struct {
	Old    string            `arg:"" help:"The operators' file as it is." type:"path"`
	New    string            `arg:"" help:"The operators' file as it would be." type:"path"`
	Config string            `help:"The platform's configuration; the one that the new file names if absent." type:"path"`
	Var    map[string]string `help:"External variables of the templates." placeholder:"NAME=VALUE"`
}

// change is one limit that differs for some queries.
type change struct {
	Whose string `json:"whose"`
	Limit string `json:"limit"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Run goes over every front, class, tenant and mark, and tells each limit that would be another. Status 1 if any is.
func (c *routeDiff) Run(ctx context.Context, p *printer) error {
	next, err := (&files{Operator: c.New, Config: c.Config, Var: c.Var}).load(ctx)
	if err != nil {
		return err
	}
	raw, err := template.Render(ctx, template.Source{Path: c.Old, Vars: c.Var})
	if err != nil {
		return err
	}
	old, err := operator.Read(raw)
	if err != nil {
		return in(c.Old, err)
	}
	names, cfg := next.Config.Names, &next.Config.Policy
	before, err := old.Table(names, cfg.Shards)
	if err != nil {
		return in(c.Old, err)
	}
	tenants := []int{-1}
	if len(names.Tenants) > 0 {
		tenants = nil
		for t := range names.Tenants {
			tenants = append(tenants, t)
		}
	}
	limits := func(t *route.Table, q *route.Query) []limitLine {
		if t == nil {
			return resolved(cfg, q.Class, &route.Spec{}, "")
		}
		return resolved(cfg, q.Class, &t.Routes[t.Find(q)], "")
	}
	changes := []change{}
	for front := range route.FrontNames {
		for class := range cfg.Classes {
			for _, tenant := range tenants {
				for _, retry := range []bool{false, true} {
					q := &route.Query{Front: route.Front(front), Class: class, Tenant: tenant, Retry: retry}
					whose := names.Classes[class] + " from " + route.FrontNames[front]
					if tenant >= 0 {
						whose += " of " + names.Tenants[tenant]
					}
					if retry {
						whose += ", retried"
					}
					a, b := limits(before, q), limits(next.Routes, q)
					for i := range a {
						if a[i].Value != b[i].Value {
							changes = append(changes, change{whose, a[i].Limit, a[i].Value, b[i].Value})
						}
					}
				}
			}
		}
	}
	if done, err := p.value(changes); !done {
		rows := [][]any{}
		for _, x := range changes {
			rows = append(rows, []any{x.Whose, x.Limit, x.Old, x.New})
		}
		p.table([]any{"whose", "limit", "old", "new"}, rows)
		fmt.Fprintf(p.out, "%d limits change; routes by shards and headers are not gone into\n", len(changes))
	} else if err != nil {
		return err
	}
	if len(changes) > 0 {
		return errNotHeld
	}
	return nil
}
