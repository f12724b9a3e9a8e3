package main

import (
	"errors"
	"fmt"
	"strings"

	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/schema"
	"birchcart/internal/settings"
)

// explainedLane is what the lanes of the operators' file give a query. Shares are of the fleet's capacity; 0 is none.
type explainedLane struct {
	Account   string     `json:"account,omitempty"` // none: by its tenant, in the last lane
	By        string     `json:"by"`
	Lane      string     `json:"lane"`
	Guarantee float64    `json:"guarantee"`
	Home      float64    `json:"guarantee_here"` // of each co-ordinator, before loans
	Most      float64    `json:"most"`
	Come      *bool      `json:"come_back,omitempty"`   // a refusal names a time, where settings allow; of --class
	ClassLeft float64    `json:"class_floor,omitempty"` // of --class
	ShedOrder []shedLane `json:"shed"`                  // who gives way first
	Sure      float64    `json:"promised"`              // guarantees and floors of all
}

type shedLane struct {
	Lane      string  `json:"lane"`
	Floor     float64 `json:"floor"`
	Most      float64 `json:"most"`
	Lend      bool    `json:"lend"`
	Guarantee float64 `json:"guaranteed"` // of its accounts
}

// lanes says what account and lane a query is of by the operators' file, and what these keep while the fleet sheds.
func (c *explainCommand) lanes(l *loaded, p *printer) error {
	if l.Operator == nil || l.Operator.Fleet == nil || l.Operator.Fleet.Lanes == nil {
		return errors.New("--lanes: the operators' file has no section fleet.lanes, so there are none")
	}
	var routes []string
	for i := range l.Operator.Routes {
		routes = append(routes, l.Operator.Routes[i].Name)
	}
	place := func(flag, name string, known []string) (int, error) {
		at := settings.Place(known, name)
		if name != "" && at < 0 {
			return -1, fmt.Errorf("--%s: %s", flag, schema.Unknown(name, known))
		}
		return at, nil
	}
	names := l.Config.Names
	tenant, err1 := place("tenant", c.Tenant, names.Tenants)
	route, err2 := place("route", c.Route, routes)
	class, err3 := place("class", c.Class, names.Classes)
	if err := errors.Join(err1, err2, err3); err != nil {
		return err
	}
	s, err := laneconfig.Compile(l.Operator.Fleet.Lanes, l.Operator.Fleet.Revision, names, routes)
	if err != nil {
		return err
	}
	at := s.AccountOf(tenant, route, c.Mark)
	res := &explainedLane{Lane: s.Lanes[s.LaneOf(at)].Name, By: "nothing: it is in no account"}
	if at >= 0 {
		a := s.Accounts[at]
		res.Account, res.Guarantee, res.Most, res.Home = a.Name, a.Guarantee, a.MaxShare, a.Guarantee/float64(max(1, l.Config.Policy.Coordinators))
		switch at {
		case s.AccountOf(-1, -1, c.Mark):
			res.By = "its mark"
		case s.AccountOf(-1, route, ""):
			res.By = "its route"
		default:
			res.By = "its tenant"
		}
	}
	if class >= 0 {
		res.Come, res.ClassLeft = &s.Classes[class].SendRetryAfter, s.Classes[class].Floor
	}
	for i := len(s.Lanes) - 1; i >= 0; i-- {
		one := shedLane{s.Lanes[i].Name, s.Lanes[i].Floor, s.Lanes[i].MaxShare, s.Lanes[i].Lend, 0}
		for _, a := range s.Accounts {
			if a.Lane == i {
				one.Guarantee += a.Guarantee
			}
		}
		res.Sure += one.Floor + one.Guarantee
		res.ShedOrder = append(res.ShedOrder, one)
	}
	for _, k := range s.Classes {
		res.Sure += k.Floor
	}
	if done, err := p.value(res); done {
		return err
	}
	c.printLanes(p, res)
	return nil
}

func (c *explainCommand) printLanes(p *printer, res *explainedLane) {
	account := "of no account"
	if res.Account != "" {
		account = "of account " + res.Account
	}
	fmt.Fprintf(p.out, "%s, by %s; lane %s\n", account, res.By, res.Lane)
	said := []string{"nothing is guaranteed"}
	if res.Guarantee > 0 {
		said = []string{fmt.Sprintf("guaranteed %.4g of the fleet, %.4g of it at each co-ordinator before loans", res.Guarantee, res.Home)}
	}
	if res.Most > 0 {
		said = append(said, fmt.Sprintf("refused first beyond %.4g", res.Most))
	}
	if res.Come != nil {
		back := "a refusal names no time to come back"
		if *res.Come {
			back = "a refusal names a time to come back, where settings allow"
		}
		said = append(said, fmt.Sprintf("its class keeps %.4g in all lanes", res.ClassLeft), back)
	}
	fmt.Fprintln(p.out, strings.Join(said, "; "))
	var rows [][]any
	for _, l := range res.ShedOrder {
		rows = append(rows, []any{l.Lane, l.Floor, l.Guarantee, l.Most, l.Lend})
	}
	p.table([]any{"gives way, first to last", "floor", "guaranteed to its accounts", "most", "lends"}, rows)
	fmt.Fprintf(p.out, "promised in all: %.4g of the fleet\n", res.Sure)
}
