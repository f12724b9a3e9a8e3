package expect

import (
	"slices"
	"strings"

	"birchcart/internal/placement"
	"birchcart/internal/settings"
)

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
		return broken(never, "shards %s have fewer than %d holders", placement.FormatRanges(few), c.Holders)
	case len(near) > 0:
		return broken(never, "the holders of shards %s lie in fewer than %d data centres", placement.FormatRanges(near), c.DataCentres)
	case len(other) > 0:
		return broken(never, "shards %s are held by others, the last by %s", placement.FormatRanges(other), strings.Join(who, ", "))
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
			if reach = l.CompletableShare(parts, need); reach < 1-shareSlip {
				breaks = append(breaks, strings.Join(l.LostUnits, "+"))
			}
		}
		switch {
		case l.MinHolders < c.Holders:
			return broken(never, "%s", l)
		case c.Gone != nil && len(l.UncoveredShards) > *c.Gone:
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
