package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/statemachine"
	"birchcart/internal/schema"
	"birchcart/internal/settings"
)

// explainedSession is what there is to say of a session's key.
type explainedSession struct {
	ID      string         `json:"id"`
	Header  string         `json:"header"`
	Classes []string       `json:"classes"`
	Routes  []string       `json:"routes,omitempty"` // none: all
	Lane    int            `json:"lane"`             // the lower, the earlier it moves
	Agreed  *agreedSession `json:"agreed,omitempty"` // by the snapshot
	Phases  []toldInPhase  `json:"phases"`
}

type agreedSession struct {
	Phase string `json:"phase"`
	Owner string `json:"owner,omitempty"`
	To    string `json:"to,omitempty"`
	Epoch uint64 `json:"epoch"`
	Seq   uint64 `json:"sequence"`
	Why   string `json:"why,omitempty"`
}

// toldInPhase is what a client is told.
type toldInPhase struct {
	Phase string `json:"phase"`
	Owner string `json:"at_the_owner"`
	Other string `json:"elsewhere"`
}

// session says what a key comes to by the operators' file, and by a snapshot if one is given.
func (c *explainCommand) session(l *loaded, p *printer) error {
	if l.Operator == nil || l.Operator.Fleet == nil || l.Operator.Fleet.Sessions == nil {
		return errors.New("--session: the operators' file has no section fleet.sessions, so nothing is pinned")
	}
	s, tenant := l.Operator.Fleet.Sessions, -1
	if c.Tenant != "" {
		if tenant = settings.Place(l.Config.Names.Tenants, c.Tenant); tenant < 0 {
			return fmt.Errorf("--tenant: %s", schema.Unknown(c.Tenant, l.Config.Names.Tenants))
		}
	} else if len(l.Config.Names.Tenants) > 0 {
		return errors.New("--tenant is needed: a session is its tenant's")
	}
	id := session.IDOf(tenant, []byte(c.Session))
	res := &explainedSession{ID: id.String(), Header: s.Header, Classes: s.Classes, Routes: s.Routes, Lane: len(s.Premium), Phases: told(s.Owner)}
	if i := settings.Place(s.Premium, c.Tenant); i >= 0 {
		res.Lane = i
	}
	if c.Snapshot != "" {
		raw, err := os.ReadFile(c.Snapshot)
		if err != nil {
			return err
		}
		b := session.New()
		if err := statemachine.New(map[string]statemachine.Part{"takeout": maintenance.New(), "sessions": b, laneconfig.Part: laneconfig.New()}).Load(raw); err != nil {
			return fmt.Errorf("--snapshot: %w", err)
		}
		r, _ := b.Get(id)
		res.Agreed = &agreedSession{Phase: r.Phase.String(), Owner: r.Owner, To: r.To, Epoch: r.Epoch, Seq: r.Seq, Why: r.Reason}
	}
	if done, err := p.value(res); done {
		return err
	}
	routes := "all routes"
	if len(s.Routes) > 0 {
		routes = "routes " + strings.Join(s.Routes, ", ")
	}
	fmt.Fprintf(p.out, "session %s: header %s, classes %s, %s, lane %d\n", res.ID, s.Header, strings.Join(s.Classes, ", "), routes, res.Lane)
	if a := res.Agreed; a != nil {
		fmt.Fprintf(p.out, "by the snapshot: %s, owner %q, to %q, epoch %d, sequence %d %s\n", a.Phase, a.Owner, a.To, a.Epoch, a.Seq, a.Why)
	}
	var rows [][]any
	for _, t := range res.Phases {
		rows = append(rows, []any{t.Phase, t.Owner, t.Other})
	}
	p.table([]any{"agreed", "a query at its owner", "a query at another one"}, rows)
	return nil
}

// told lists what the keeper does with a query, by what is agreed.
func told(ownerHeader string) []toldInPhase {
	named := ""
	if ownerHeader != "" {
		named = ", " + ownerHeader + " names the owner"
	}
	const waits = "waits a quarter of its time at most, then refused"
	elsewhere := "refused at once" + named
	return []toldInPhase{
		{"free", waits + "; begins once the claim is agreed", "there is no owner: whoever is asked claims it; one that leaves refuses at once"},
		{"pinned", "begins in its turn; one that ran before and must not run twice: failed at once", elsewhere},
		{"offered", waits + "; what is open comes to its end, or is recalled: refused, or failed if it may have run", elsewhere},
		{"handed", waits + "; begins once the new owner has adopted it", elsewhere},
		{"no lease", "refused at once; what may have run and must not run twice: failed", "the same"},
	}
}
