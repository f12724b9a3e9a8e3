package expect

import (
	"fmt"
	"slices"

	"birchcart/internal/schema"
	"birchcart/internal/settings"
)

// check finds what is written and can't be meant.
type check struct {
	d  *Deployment
	e  *Expectation
	ms *schema.Mistakes
}

func (c *check) add(path, found, format string, args ...any) {
	c.ms.Add(c.e.Path+"."+path, found, format, args...)
}

func (c *check) all() {
	e := c.e
	if e.Seeds == 0 {
		e.Seeds = seedsUsual
	}
	if e.For == 0 {
		e.For = spanUsual
	}
	if e.Readers == nil {
		e.Readers = &Speed{leastUsual, meanUsual}
	}
	for i := range e.Load {
		c.load(&e.Load[i], fmt.Sprintf("load[%d]", i))
	}
	for i := range e.Timeline {
		c.step(&e.Timeline[i], fmt.Sprintf("timeline[%d]", i))
	}
	for i := range e.Claims {
		c.claim(&e.Claims[i], fmt.Sprintf("claims[%d]", i))
	}
}

func (c *check) load(l *Load, path string) {
	c.class(l.Class, path+".class")
	c.tenant(l.Tenant, path+".tenant")
	n := 0
	for _, said := range []bool{l.Square != "", len(l.Shards) > 0, l.Parts > 0} {
		if said {
			n++
		}
	}
	if n != 1 {
		c.add(path, "", "exactly one of square, shards and parts says which shards are asked")
	}
	c.area(l.Square, l.Shards, path)
	if l.Parts > c.d.Ring.Shards() {
		c.add(path+".parts", fmt.Sprint(l.Parts), "there are %d shards", c.d.Ring.Shards())
	}
	c.span(l.From, l.To, path)
}

func (c *check) step(s *Step, path string) {
	n := 0
	for _, said := range []bool{s.Reader != "", s.DataCentre != "", s.Cell != nil, s.Share > 0, s.All} {
		if said {
			n++
		}
	}
	if want := 1; s.Peers != "" && n != 0 || s.Peers == "" && n != want {
		c.add(path, "", "exactly one of reader, data_centre, cell, share and all says whom it befalls; with peers none")
	}
	if s.Is == "" && s.Answers == "" && s.Slow == 0 && s.Peers == "" {
		c.add(path, "", "nothing happens: is, answers, slow or peers says what")
	}
	if s.Is == "" && (s.Late > 0 || len(s.Again) > 0 || s.ToldOnly || s.Untold) {
		c.add(path, "", "late_ms, again_ms, told_only and untold go with is")
	}
	if s.ToldOnly && s.Untold {
		c.add(path, "", "told_only and untold can't both be")
	}
	if s.Class != "" {
		c.class(s.Class, path+".class")
	}
	c.reader(s.Reader, path+".reader")
	c.dataCentre(s.DataCentre, path+".data_centre")
	if s.Cell != nil && *s.Cell >= c.d.Config.Cells {
		c.add(path+".cell", fmt.Sprint(*s.Cell), "there are cells 0 to %d", c.d.Config.Cells-1)
	}
	if s.At >= c.e.For {
		c.add(path+".at_ms", fmt.Sprint(s.At), "it would never happen: the situation ends at for_ms, %g", c.e.For)
	}
}

func (c *check) claim(cl *Claim, path string) {
	said := 0
	load := true
	if x := cl.GoesTo; x != nil {
		said++
		path := path + ".goes_to"
		c.where(&x.Where, path)
		n := 0
		for _, list := range [][]string{x.Exactly, x.OneOf, x.Never} {
			for i, name := range list {
				c.reader(name, fmt.Sprintf("%s[%d]", path, i))
			}
			if len(list) > 0 {
				n++
			}
		}
		c.dataCentre(x.DataCentre, path+".data_centre")
		c.dataCentre(x.NeverIn, path+".never_data_centre")
		for _, name := range []string{x.DataCentre, x.NeverIn} {
			if name != "" {
				n++
			}
		}
		if n != 1 {
			c.add(path, "", "exactly one of exactly, one_of, never, data_centre and never_data_centre")
		}
	}
	if x := cl.Spread; x != nil {
		said++
		c.where(&x.Where, path+".spread")
	}
	if x := cl.NothingNew; x != nil {
		said++
		c.reader(x.Reader, path+".nothing_new.reader")
	}
	if x := cl.FirstParts; x != nil {
		said++
		c.where(&x.Where, path+".first_parts")
		if x.From > x.To {
			c.add(path+".first_parts", "", "from %d is over to %d", x.From, x.To)
		}
	}
	if x := cl.Further; x != nil {
		said++
		c.where(&x.Where, path+".further")
		for i, name := range x.To {
			c.reader(name, fmt.Sprintf("%s.further.to[%d]", path, i))
		}
		if x.PerPart == nil && x.Share == nil && x.Least == 0 && len(x.To) == 0 {
			c.add(path+".further", "", "nothing is claimed: most_per_part, share_most, least or to")
		}
	}
	if x := cl.Ends; x != nil {
		said++
		c.where(&x.Where, path+".ends")
		if x.Answered == nil && x.Whole == nil && x.Short == nil && x.Refused == nil && x.Failed == nil &&
			x.RefusedL == nil && x.FailedL == nil && x.By == 0 && !x.ComeBack {
			c.add(path+".ends", "", "nothing is claimed")
		}
	}
	if x := cl.AtMost; x != nil {
		said++
		c.where(&x.Where, path+".at_most")
		c.reader(x.Reader, path+".at_most.reader")
	}
	if x := cl.Holds; x != nil {
		said++
		load = false
		c.area(x.Square, x.Shards, path+".holds")
		for i, name := range x.By {
			c.reader(name, fmt.Sprintf("%s.holds.by[%d]", path, i))
		}
		if x.Holders == 0 && x.DataCentres == 0 && len(x.By) == 0 {
			c.add(path+".holds", "", "nothing is claimed: holders_least, data_centres_least or by")
		}
	}
	if x := cl.Loss; x != nil {
		said++
		load = false
		if x.Class != "" {
			c.class(x.Class, path+".loss.class")
		} else if x.Whole != nil || x.Breaks != nil {
			c.add(path+".loss.class", "", "is missing: whether a query can be whole depends on its class")
		}
		if x.Holders == 0 && x.Gone == nil && x.Whole == nil && x.Breaks == nil {
			c.add(path+".loss", "", "nothing is claimed: holders_least, shards_gone_most, whole_least or breaks")
		}
	}
	if said != 1 {
		c.add(path, "", "a claim has exactly one kind; it has %d", said)
	}
	if load && len(c.e.Load) == 0 {
		c.add("load", "", "is missing: without queries %s would hold whatever the module does", path)
	}
}

func (c *check) where(w *Where, path string) {
	path += ".where"
	if w.Class != "" {
		c.class(w.Class, path+".class")
	}
	c.tenant(w.Tenant, path+".tenant")
	c.area(w.Square, w.Shards, path)
	c.span(w.From, w.To, path)
}

func (c *check) span(from, to float64, path string) {
	if from >= c.e.For {
		c.add(path+".from_ms", fmt.Sprint(from), "the situation ends at for_ms, %g", c.e.For)
	}
	if to > 0 && to <= from {
		c.add(path+".to_ms", fmt.Sprint(to), "after from_ms, %g, is right", from)
	}
}

func (c *check) area(square string, shards []int, path string) {
	if square != "" {
		if len(shards) > 0 {
			c.add(path, "", "square and shards can't both be")
		}
		if _, ok := c.d.shards(square); !ok {
			c.add(path+".square", schema.Shown(square), "%s", schema.Unknown(square, c.d.Areas))
		}
	}
	for i, s := range shards {
		if s >= c.d.Ring.Shards() {
			c.add(fmt.Sprintf("%s.shards[%d]", path, i), fmt.Sprint(s), "there are shards 0 to %d", c.d.Ring.Shards()-1)
		}
		if slices.Contains(shards[:i], s) {
			c.add(fmt.Sprintf("%s.shards[%d]", path, i), fmt.Sprint(s), "each shard once")
		}
	}
}

func (c *check) class(name, path string) {
	if settings.Place(c.d.Names.Classes, name) < 0 {
		c.add(path, schema.Shown(name), "%s", schema.Unknown(name, c.d.Names.Classes))
	}
}

func (c *check) tenant(name, path string) {
	if name != "" && settings.Place(c.d.Names.Tenants, name) < 0 {
		c.add(path, schema.Shown(name), "%s", schema.Unknown(name, c.d.Names.Tenants))
	}
}

func (c *check) reader(name, path string) {
	if name == "" {
		return
	}
	if _, ok := c.d.Ring.Find(name); !ok {
		var names []string
		for _, r := range c.d.Ring.Replicas() {
			names = append(names, r.Name)
		}
		c.add(path, schema.Shown(name), "%s", schema.Unknown(name, names))
	}
}

func (c *check) dataCentre(name, path string) {
	if all := c.d.Ring.AllDataCentres(); name != "" && !slices.Contains(all, name) {
		c.add(path, schema.Shown(name), "%s", schema.Unknown(name, all))
	}
}
