package operator

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"birchcart/internal/schema"
	"birchcart/internal/settings"
	"birchcart/policy"
)

// sharesSlack is what sums of shares as they are written may be over 1.
const sharesSlack = 1e-9

// checkLanes finds what the section contradicts itself in.
func (f *Fleet) checkLanes(ms *schema.Mistakes) {
	l := f.Lanes
	if l == nil {
		return
	}
	l.defaults()
	f.checkMark(ms)
	if len(l.Lanes) > LanesMost {
		ms.Add(lanesAt+".lanes", fmt.Sprintf("a list of %d", len(l.Lanes)), "%d at most", LanesMost)
	}
	if len(l.Accounts) > AccountsMost {
		ms.Add(lanesAt+".accounts", fmt.Sprintf("a list of %d", len(l.Accounts)), "%d at most", AccountsMost)
		return
	}
	used := l.checkAccounts(ms)
	seen := map[string]int{}
	for i := range l.Lanes {
		lane, path := &l.Lanes[i], fmt.Sprintf("%s.lanes[%d]", lanesAt, i)
		laneName(ms, path+".name", lane.Name)
		if j, twice := seen[lane.Name]; twice {
			ms.Add(path+".name", schema.Shown(lane.Name), "that is the name of lanes[%d]", j)
			continue
		}
		seen[lane.Name] = i
		in := used[lane.Name]
		if in == nil && i < len(l.Lanes)-1 {
			ms.Add(path, schema.Shown(lane.Name), "no account is in it; only the last lane is everybody else's")
		}
		if lane.Most > 0 && lane.Most < lane.Floor {
			ms.Add(path+".most", fmt.Sprint(lane.Most), "at least its floor, %g", lane.Floor)
		}
		if in != nil && lane.Most > 0 && lane.Most < in.guaranteed-sharesSlack {
			ms.Add(path+".most", fmt.Sprint(lane.Most), "at least what its accounts are guaranteed, %.6g", in.guaranteed)
		}
	}
	if sum := l.shares(); sum > 1+sharesSlack {
		ms.Add(lanesAt, "", "guarantees and floors make %.6g of the fleet; 1 at most", sum)
	}
}

// checkMark looks at the header of marks, which must be no one's yet.
func (f *Fleet) checkMark(ms *schema.Mistakes) {
	l, path := f.Lanes, lanesAt+".header"
	if l.Header == "" {
		for i := range l.Accounts {
			if len(l.Accounts[i].Marks) > 0 {
				ms.Add(path, "", "is missing; accounts[%d] has marks, which come in it", i)
				return
			}
		}
		return
	}
	if strings.ContainsFunc(l.Header, notToken) {
		ms.Add(path, schema.Shown(l.Header), "the name of a header is right: letters, digits and hyphens")
	}
	if slices.ContainsFunc(takenHeaders, func(t string) bool { return strings.EqualFold(t, l.Header) }) {
		ms.Add(path, schema.Shown(l.Header), "that header has a meaning already")
	}
	if s := f.Sessions; s != nil && (strings.EqualFold(s.Header, l.Header) || strings.EqualFold(s.Owner, l.Header)) {
		ms.Add(path, schema.Shown(l.Header), "that header is of pinned sessions")
	}
}

// inLane is what the accounts of one lane come to.
type inLane struct{ guaranteed float64 }

// checkAccounts looks at each account and tells what lanes they use.
func (l *Lanes) checkAccounts(ms *schema.Mistakes) map[string]*inLane {
	used := map[string]*inLane{}
	var lanes []string
	for i := range l.Lanes {
		lanes = append(lanes, l.Lanes[i].Name)
	}
	named := map[string]int{}
	keys, total := map[string]int{}, 0 // kind and name, to the account
	for i := range l.Accounts {
		a, path := &l.Accounts[i], fmt.Sprintf("%s.accounts[%d]", lanesAt, i)
		laneName(ms, path+".name", a.Name)
		if j, twice := named[a.Name]; !twice {
			named[a.Name] = i
		} else if l.Accounts[j].Lane != a.Lane {
			ms.Add(path+".lane", schema.Shown(a.Lane), "%s is in lane %s already, by accounts[%d]; an account is in one", schema.Shown(a.Name), l.Accounts[j].Lane, j)
		} else {
			ms.Add(path+".name", schema.Shown(a.Name), "that is the name of accounts[%d]", j)
		}
		if !slices.Contains(lanes, a.Lane) {
			ms.Add(path+".lane", schema.Shown(a.Lane), "%s", schema.Unknown(a.Lane, lanes))
		} else {
			if used[a.Lane] == nil {
				used[a.Lane] = &inLane{}
			}
			used[a.Lane].guaranteed += a.Guarantee
		}
		if a.Most > 0 && a.Most < a.Guarantee {
			ms.Add(path+".most", fmt.Sprint(a.Most), "at least its guarantee, %g", a.Guarantee)
		}
		if len(a.Tenants)+len(a.Marks)+len(a.Routes) == 0 {
			ms.Add(path, schema.Shown(a.Name), "nobody is in it; tenants, marks or routes belong there")
		}
		for _, k := range a.keys() {
			total += len(k.list)
			for n, name := range k.list {
				at := fmt.Sprintf("%s.%s[%d]", path, k.key, n)
				if j, twice := keys[k.key+" "+name]; twice {
					ms.Add(at, schema.Shown(name), "it is in accounts[%d] already", j)
				}
				keys[k.key+" "+name] = i
				if k.key == "marks" && !markRight(name) {
					ms.Add(at, schema.Shown(name), "1 to %d bytes that a header's value can hold are right, without spaces around", MarkMost)
				}
			}
		}
	}
	if total > KeysMost {
		ms.Add(lanesAt+".accounts", fmt.Sprintf("%d tenants, marks and routes", total), "%d at most", KeysMost)
	}
	return used
}

// accountKeys is one list of what an account's queries are known by.
type accountKeys struct {
	key  string
	list []string
}

func (a *Account) keys() []accountKeys {
	return []accountKeys{{"tenants", a.Tenants}, {"marks", a.Marks}, {"routes", a.Routes}}
}

// shares is the sum of all that is promised.
func (l *Lanes) shares() (sum float64) {
	for i := range l.Lanes {
		sum += l.Lanes[i].Floor
	}
	for i := range l.Accounts {
		sum += l.Accounts[i].Guarantee
	}
	for _, name := range slices.Sorted(maps.Keys(l.Classes)) {
		sum += l.ClassOf(name).Floor
	}
	return sum
}

func laneName(ms *schema.Mistakes, path, name string) {
	if len(name) > LaneNameMost || strings.ContainsFunc(name, func(c rune) bool { return c < ' ' || c == 0x7f }) {
		ms.Add(path, schema.Shown(name), "at most %d bytes without control characters are right", LaneNameMost)
	}
}

func markRight(mark string) bool {
	return mark != "" && len(mark) <= MarkMost && strings.TrimSpace(mark) == mark &&
		!strings.ContainsFunc(mark, func(c rune) bool { return c < ' ' || c == 0x7f })
}

// againstLanes checks the section against settings and routes.
func (f *File) againstLanes(names *settings.Names, cfg *policy.Config, ms *schema.Mistakes) {
	l := f.Fleet.Lanes
	if l == nil || len(l.Accounts) > AccountsMost {
		return
	}
	known := map[string][]string{"tenants": names.Tenants}
	for i := range f.Routes {
		known["routes"] = append(known["routes"], f.Routes[i].Name)
	}
	there := map[string]bool{}
	for key, list := range known {
		for _, name := range list {
			there[key+" "+name] = true
		}
	}
	for i := range l.Accounts {
		for _, k := range l.Accounts[i].keys() {
			for n, name := range k.list {
				if k.key == "marks" || there[k.key+" "+name] {
					continue
				}
				why := "the settings or the file have none"
				if len(known[k.key]) > 0 {
					why = schema.Unknown(name, known[k.key])
				}
				ms.Add(fmt.Sprintf("%s.accounts[%d].%s[%d]", lanesAt, i, k.key, n), schema.Shown(name), "%s", why)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(l.Classes)) {
		if settings.Place(names.Classes, name) < 0 {
			ms.Add(lanesAt+".classes."+name, "", "%s", schema.Unknown(name, names.Classes))
		}
	}
	sum := l.shares()
	if sum <= 1+sharesSlack {
		for _, name := range names.Classes {
			if _, said := l.Classes[name]; !said {
				sum += LaneFloor
			}
		}
		if sum > 1+sharesSlack {
			ms.Add(lanesAt, "", "guarantees and floors make %.6g of the fleet, with %g for each class that is not named; 1 at most", sum, LaneFloor)
		}
	}
	f.floorsPass(names, cfg, ms)
}

// floorsPass finds floors that the largest query can't pass: over a slot they let less through than its parts, on the
// smallest fleet that holds all, a replica of size 1 in each cell, with all parts out that it bears and each answered just
// in time.
func (f *File) floorsPass(names *settings.Names, cfg *policy.Config, ms *schema.Mistakes) {
	l := f.Fleet.Lanes
	type class struct {
		name         string
		parts, bears float64 // of its largest query; of the fleet in a slot
	}
	var worst class
	for i, name := range names.Classes {
		c := cfg.Classes[i]
		if c.Promise <= 0 {
			continue
		}
		one := class{name, float64(cfg.Shards + c.FollowUp), f.Fleet.Bears * float64(cfg.Cells) / c.Promise * l.Slot}
		if worst.name == "" || one.parts*worst.bears > worst.parts*one.bears {
			worst = one
		}
		if floor := l.ClassOf(name).Floor; floor*one.bears < one.parts {
			ms.Add(lanesAt+".classes."+name+".floor", fmt.Sprint(floor),
				"its largest query has %g parts and can't pass: in a slot of %g s the fleet bears %g parts of it, of which the floor is %.4g; at least %.2g, or a longer slot_s",
				one.parts, l.Slot, one.bears, floor*one.bears, one.parts/one.bears)
		}
	}
	for i := range l.Lanes {
		if floor := l.Lanes[i].Floor; worst.name != "" && floor*worst.bears < worst.parts {
			ms.Add(fmt.Sprintf("%s.lanes[%d].floor", lanesAt, i), fmt.Sprint(floor),
				"the largest query of %s has %g parts and can't pass: in a slot of %g s the fleet bears %g parts of it, of which the floor is %.4g; at least %.2g, or a longer slot_s",
				worst.name, worst.parts, l.Slot, worst.bears, floor*worst.bears, worst.parts/worst.bears)
		}
	}
}
