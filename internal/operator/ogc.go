package operator

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"

	"github.com/paulmach/orb"

	"birchcart/internal/cql"
	"birchcart/internal/placement"
	"birchcart/internal/schema"
	"birchcart/internal/settings"
	"birchcart/policy"
)

// OGC is the front for feature queries (OGC API - Features).
type OGC struct {
	Listen      string                `json:"listen" need:"true"` // HOST:PORT
	URL         string                `json:"url"`                // under which clients reach it; as they ask for it if absent
	Title       string                `json:"title"`
	Description string                `json:"description"`
	CursorKey   string                `json:"cursor_key"`                                      // hex, 16 bytes at least; alike on all co-ordinators. Absent: drawn at start
	PartsMost   int                   `json:"parts_most" min:"1" max:"1000" unit:"shards"`     // of one query; 24 if absent
	LimitUsual  int                   `json:"limit_usual" min:"1" max:"10000" unit:"features"` // of a page; 100 if absent
	LimitMost   int                   `json:"limit_most" min:"1" max:"10000" unit:"features"`  // 1,000 if absent
	KeyHeader   string                `json:"key_header"`                                      // with an API key
	Keys        map[string]string     `json:"keys"`                                            // API key to tenant
	Tenant      string                `json:"tenant"`                                          // of those without a key; absent: they are refused
	Forward     bool                  `json:"forward"`                                         // replicas of type ogc on the list are asked by HTTP
	Collections map[string]Collection `json:"collections" need:"true" len:"1"`
}

// Collection is one set of features.
type Collection struct {
	Title       string            `json:"title"`
	Description string            `json:"description"`
	Class       string            `json:"class" need:"true"` // of its queries: their promise, worth, effect and share that must be in
	Time        string            `json:"time"`              // the property that is a feature's time
	Properties  map[string]string `json:"properties"`        // to text, number, boolean or time
	Squares     []string          `json:"squares"`           // all that have bounds if absent
}

const (
	keyBytes   = 16 // of a cursor's key: 128 bits
	partsUsual = 24
	limitUsual = 100
	limitMost  = 1000
)

var kinds = map[string]cql.Kind{"text": cql.Text, "number": cql.Number, "boolean": cql.Boolean, "time": cql.Time}

// Reserved properties: every feature has them.
var reserved = map[string]cql.Kind{"id": cql.Text, "square": cql.Text, "geometry": cql.Geometry}

// Kinds are the properties that a filter may use.
func (c *Collection) Kinds() map[string]cql.Kind {
	out := maps.Clone(reserved)
	for name, kind := range c.Properties {
		out[name] = kinds[kind]
	}
	return out
}

// Index is the collection's squares, by name.
func (f *File) Index(c *Collection) *placement.Index {
	names := c.Squares
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(f.Squares))
	}
	var squares []placement.Square
	for _, name := range names {
		if sq := f.Squares[name]; len(sq.Bounds) == 4 {
			b := sq.Bounds
			squares = append(squares, placement.Square{
				Name: name, Shards: sq.Shards, Bound: orb.Bound{Min: orb.Point{b[0], b[1]}, Max: orb.Point{b[2], b[3]}},
			})
		}
	}
	return placement.NewIndex(squares)
}

func (f *File) checkOGC(ms *schema.Mistakes) {
	for _, name := range slices.Sorted(maps.Keys(f.Squares)) {
		b := f.Squares[name].Bounds
		path := "$.squares." + name + ".bounds"
		switch {
		case b == nil:
		case len(b) != 4:
			ms.Add(path, fmt.Sprintf("length %d", len(b)), "west, south, east and north belong there")
		case b[0] > b[2] || b[1] > b[3]:
			ms.Add(path, "", "the least is over the most; a square across the antimeridian is two")
		case b[1] < -90 || b[3] > 90:
			ms.Add(path, "", "a latitude lies from -90 to 90 degrees")
		}
	}
	o := f.Fronts.OGC
	if o == nil {
		return
	}
	const at = "$.fronts.ogc"
	if o.PartsMost == 0 {
		o.PartsMost = partsUsual
	}
	if o.LimitUsual == 0 {
		o.LimitUsual = limitUsual
	}
	if o.LimitMost == 0 {
		o.LimitMost = max(limitMost, o.LimitUsual)
	}
	if _, _, err := net.SplitHostPort(o.Listen); err != nil {
		ms.Add(at+".listen", schema.Shown(o.Listen), "HOST:PORT is right")
	}
	if key, err := hex.DecodeString(o.CursorKey); o.CursorKey != "" && (err != nil || len(key) < keyBytes) {
		ms.Add(at+".cursor_key", fmt.Sprintf("length %d", len(o.CursorKey)), "%d hex digits or more", 2*keyBytes)
	}
	if o.LimitUsual > o.LimitMost {
		ms.Add(at+".limit_usual", fmt.Sprint(o.LimitUsual), "at most limit_most, %d", o.LimitMost)
	}
	if (o.KeyHeader == "") != (len(o.Keys) == 0) {
		ms.Add(at+".key_header", "", "goes with keys, and keys with it")
	}
	for _, name := range slices.Sorted(maps.Keys(o.Collections)) {
		c := o.Collections[name]
		path := at + ".collections." + name
		if strings.ContainsAny(name, "/?#% ") || name == "" {
			ms.Add(path, "", "a name that can stand in a path is right")
		}
		for prop, kind := range c.Properties {
			if _, ok := kinds[kind]; !ok {
				ms.Add(path+".properties."+prop, schema.Shown(kind), "%s", schema.Unknown(kind, slices.Collect(maps.Keys(kinds))))
			}
			if _, ok := reserved[prop]; ok {
				ms.Add(path+".properties."+prop, "", "every feature has this one already")
			}
		}
		if c.Time != "" && c.Properties[c.Time] != "time" {
			ms.Add(path+".time", schema.Shown(c.Time), "one of its properties, of kind time, is right")
		}
		for i, sq := range c.Squares {
			if s, ok := f.Squares[sq]; !ok {
				ms.Add(fmt.Sprintf("%s.squares[%d]", path, i), schema.Shown(sq), "%s", schema.Unknown(sq, slices.Collect(maps.Keys(f.Squares))))
			} else if s.Bounds == nil {
				ms.Add(fmt.Sprintf("%s.squares[%d]", path, i), schema.Shown(sq), "the square has no bounds")
			}
		}
		if len(f.Index(&c).Squares()) == 0 {
			ms.Add(path+".squares", "", "no square with bounds: nothing could be found")
		}
	}
}

func (f *File) againstOGC(names *settings.Names, cfg *policy.Config, ms *schema.Mistakes) {
	o := f.Fronts.OGC
	if o == nil {
		return
	}
	const at = "$.fronts.ogc"
	tenant := func(path, name string) {
		if settings.Place(names.Tenants, name) < 0 {
			ms.Add(path, schema.Shown(name), "%s", schema.Unknown(name, names.Tenants))
		}
	}
	if len(names.Tenants) > 0 {
		if o.Tenant == "" && len(o.Keys) == 0 {
			ms.Add(at+".tenant", "", "is missing; the deployment has tenants, so a query needs one by tenant or by keys")
		}
		if o.Tenant != "" {
			tenant(at+".tenant", o.Tenant)
		}
		for _, key := range slices.Sorted(maps.Keys(o.Keys)) {
			tenant(at+".keys."+key, o.Keys[key])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(o.Collections)) {
		class := o.Collections[name].Class
		path := at + ".collections." + name + ".class"
		i := settings.Place(names.Classes, class)
		switch {
		case i < 0:
			ms.Add(path, schema.Shown(class), "%s", schema.Unknown(class, names.Classes))
		case cfg.Classes[i].FollowUp > 0:
			ms.Add(path, schema.Shown(class), "a class without a second step is right: features are fetched in one")
		case cfg.Classes[i].Effect == policy.Keyed:
			ms.Add(path, schema.Shown(class), "feature queries carry no key; another class is right")
		}
	}
	if cfg.MaxOpen > 0 && o.PartsMost >= cfg.MaxOpen {
		ms.Add(at+".parts_most", fmt.Sprint(o.PartsMost), "under open_cap, %d: a query holds a place for itself and each part", cfg.MaxOpen)
	}
}
