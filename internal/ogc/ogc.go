// Package ogc is the front for feature queries, OGC API - Features Part 1 (17-069r4) with the CQL2 text filters that
// package cql reads. It turns a request into one exchange.Query like any other and its one answer into features.
//
// The front decides nothing: what is refused, sent again or left out stays with the decisions, and every query goes
// through the same Submit and ClientGone as those of the users' protocol. It stands on net/http, within config.Limits.
//
// Files follow the stages: accept, listener, conn, readahead and evict (server, limits, connections), params and cursor (what is
// asked), items (the query and its answer), pagememory (what pages may take), documents, openapi and html (what is shown), drain
// (the shutdown).
package ogc

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/paulmach/orb"

	"birchcart/internal/config"
	"birchcart/internal/cql"
	"birchcart/internal/operator"
	"birchcart/internal/placement"
	"birchcart/internal/settings"
)

// snapshot is what one operators' file says; a request goes by one from its beginning to its end.
type snapshot struct {
	op          *operator.OGC
	collections map[string]*collection
	names       []string // of collections, in order
	key         []byte
	digest      []byte // of the squares
	tenant      int    // of clients without a key; -1: none is needed
	keyless     bool   // whether such clients are served
	tenants     map[string]int
	maxParts    int // of one query
}

type collection struct {
	operator.Collection
	name   string
	class  int
	wait   time.Duration // the longest that a query is held
	kinds  map[string]cql.Kind
	index  *placement.Index
	square map[string]placement.Square
}

// noClassTime bounds a query whose class names no time after which clients give up.
const noClassTime = 30 * time.Second

// newSnapshot compiles a file that was checked against the deployment. key is used where the file has none.
func newSnapshot(f *operator.File, cfg *config.Config, key []byte) *snapshot {
	o := f.Fronts.OGC
	s := &snapshot{op: o, collections: map[string]*collection{}, key: key, tenant: -1, keyless: true, tenants: map[string]int{}}
	if o.CursorKey != "" {
		s.key, _ = hex.DecodeString(o.CursorKey) // it was checked when read
	}
	squares, err := json.Marshal(f.Squares)
	if err != nil {
		panic("ogc: squares that can't be written: " + err.Error())
	}
	s.digest = digest(string(squares))
	if len(cfg.Names.Tenants) > 0 {
		s.keyless = o.Tenant != ""
		s.tenant = settings.Place(cfg.Names.Tenants, o.Tenant)
		for key, name := range o.Keys {
			s.tenants[key] = settings.Place(cfg.Names.Tenants, name)
		}
	}
	s.names = slices.Sorted(maps.Keys(o.Collections))
	for _, name := range s.names {
		c := &collection{Collection: o.Collections[name], name: name, square: map[string]placement.Square{}}
		c.class = settings.Place(cfg.Names.Classes, c.Class)
		c.kinds, c.index = c.Kinds(), f.Index(&c.Collection)
		for _, sq := range c.index.Squares() {
			c.square[sq.Name] = sq
		}
		c.wait = noClassTime
		if up := cfg.Policy.Classes[c.class].GiveUp; up > 0 {
			c.wait = time.Duration(up * float64(time.Second))
		}
		s.collections[name] = c
	}
	return s
}

func randomKey() []byte {
	key := make([]byte, 32)
	rand.Read(key) // never fails, or ends the process
	return key
}

func (c *collection) title() string {
	if c.Title != "" {
		return c.Title
	}
	return c.name
}

// touching lists the squares that may hold what is asked, by box and filter.
func (c *collection) touching(p *params) []placement.Square {
	b := c.index.Bound()
	if p.bound != nil {
		b = *p.bound
	}
	found := c.index.Intersecting(b)
	if fb, ok := p.filter.Bound(); ok {
		found = slices.DeleteFunc(found, func(s placement.Square) bool { return !s.Bound.Intersects(fb) })
	}
	return found
}

// byShard are the names of squares by the shards that hold them.
func byShard(squares []placement.Square) (map[int][]string, []int) {
	m := map[int][]string{}
	for _, sq := range squares {
		for _, s := range sq.Shards {
			m[s] = append(m[s], sq.Name)
		}
	}
	return m, slices.Sorted(maps.Keys(m))
}

func extent(b orb.Bound) []float64 { return []float64{b.Min[0], b.Min[1], b.Max[0], b.Max[1]} }
