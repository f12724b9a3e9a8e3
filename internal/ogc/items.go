package ogc

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/exchange"
	"birchcart/internal/feature"
	"birchcart/internal/placement"
	"birchcart/internal/route"
)

// page is what one request asks of the readers.
type page struct {
	c       *collection
	p       *params
	req     *feature.Request
	shards  []int // asked, rising
	next    int   // the shard that a further page begins with, -1 if these are the last
	isWhole bool  // begins at the beginning and covers all that the query is about
	rawOnly bool  // the answer shows features as the readers gave them
}

// answer is what a page came to.
type answer struct {
	features []feature.Feature
	missing  []int // shards whose part is not in, or could not be used
	matched  int   // in all, -1 if that is not known
	next     *cursor
}

// failure is a query that has no answer.
type failure struct {
	status int
	title  string
	after  time.Duration
}

func (f *failure) Error() string { return f.title }

// plan maps what is asked to the shards of one query, the first of them in shard order where they are too many.
func (s *snapshot) plan(c *collection, p *params) *page {
	pg := &page{c: c, p: p, req: p.request(c), next: -1, isWhole: true}
	squares, shards := byShard(c.touching(p))
	if cur := p.page; cur != nil {
		pg.isWhole = false
		pg.req.Shard, pg.req.After = cur.Shard, cur.After
		shards = slices.DeleteFunc(shards, func(shard int) bool {
			return shard < cur.Shard || len(cur.Only) > 0 && !slices.Contains(cur.Only, shard)
		})
	}
	if len(shards) > s.maxParts {
		pg.next, shards, pg.isWhole = shards[s.maxParts], shards[:s.maxParts], false
	}
	pg.shards = shards
	for _, shard := range shards {
		pg.req.Squares[shard] = squares[shard]
	}
	return pg
}

func newIDs() string { return fmt.Sprintf("f%012x-", rand.Uint64()>>16) }

// ask submits a page as one query and waits for its one answer, or for its client to leave. The call has its turn to put the page
// together then.
func (c *call) ask(pg *page, tenant int) (*answer, error) {
	if len(pg.shards) == 0 {
		return &answer{matched: 0}, nil // nothing that could be asked: empty is the whole answer
	}
	if err := c.reserveParts(len(pg.shards)); err != nil {
		return nil, err
	}
	q := c.s.newQuery(c.r, pg, tenant)
	reply, err := c.s.submit(c.r, q)
	if err != nil {
		return nil, err
	}
	if reply.Status == exchange.Served {
		if err := c.beginAssembly(c.r.Context(), q.Due); err != nil {
			return nil, err
		}
	}
	return c.s.answer(pg, reply)
}

// newQuery returns the query of a page.
func (s *Server) newQuery(r *http.Request, pg *page, tenant int) *exchange.Query {
	now := time.Now()
	q := &exchange.Query{
		ID: s.ids + strconv.FormatUint(s.lastID.Add(1), 10), Class: pg.c.class, Tenant: tenant,
		Retry: r.Header.Get("X-Retried") == "1", Front: route.Features, Header: r.Header.Get, Client: clientOf(r), Received: now, Due: now.Add(waits(r, pg.c.wait)), Text: pg.req.Encode(),
	}
	if end := s.lastReplyBy.Load(); end != nil && q.Due.After(*end) {
		q.Due = *end
	}
	for _, shard := range pg.shards {
		q.Parts = append(q.Parts, exchange.Part{Shard: shard, Weight: 1 / float64(len(pg.shards))})
	}
	return q
}

// submit passes a query to the exchange and waits for its reply. It returns an error if the client disconnects first.
func (s *Server) submit(r *http.Request, q *exchange.Query) (exchange.Reply, error) {
	replies := make(chan exchange.Reply, 1) // the one answer finds room, whoever still waits for it
	q.Reply = func(r exchange.Reply) { replies <- r }
	ctx, disconnect := context.WithCancelCause(r.Context())
	defer disconnect(nil)
	conn := connOf(r)
	conn.watchClient(disconnect)
	defer conn.unwatchClient()
	if conn.awaitInput(ctx); ctx.Err() != nil {
		return exchange.Reply{}, context.Cause(ctx)
	}
	s.sink.Submit(q)
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		s.sink.ClientGone(q)
		return exchange.Reply{}, context.Cause(ctx)
	}
}

// clientOf names a client for its budget of retries: by its address, without the port.
func clientOf(r *http.Request) string {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	return host
}

// waits is for how long a client waits: as the class's clients do, or less if it says so (RFC 7240).
func waits(r *http.Request, most time.Duration) time.Duration {
	for _, header := range r.Header.Values("Prefer") {
		for item := range strings.SplitSeq(header, ",") {
			if text, ok := strings.CutPrefix(strings.TrimSpace(item), "wait="); ok {
				if n, err := strconv.ParseFloat(text, 64); err == nil && n > 0 && n < most.Seconds() {
					return time.Duration(n * float64(time.Second))
				}
			}
		}
	}
	return most
}

// answer puts together what is in, in shard order. A value that can't be used is a part that is missing; where that
// leaves less than the class's least share there is no answer.
func (s *Server) answer(pg *page, reply exchange.Reply) (*answer, error) {
	switch reply.Status {
	case exchange.Rejected:
		return nil, &failure{http.StatusServiceUnavailable, "refused: coming again is harmless", reply.RetryAfter}
	case exchange.Served:
	default:
		return nil, &failure{http.StatusGatewayTimeout, "the readers did not answer in time, or failed", 0}
	}
	values := map[int]*shardValue{}
	for _, found := range reply.Values {
		v, err := pg.read(found)
		if err != nil {
			s.log.Warn("a value of features can't be used", logrus.Fields{"shard": found.Shard, "error": err})
			continue
		}
		values[found.Shard] = v
	}
	a := &answer{}
	a.merge(pg, values)
	floor := s.cfg.Policy.Classes[pg.c.class].Floor
	if in := float64(len(values)) / float64(len(pg.shards)); in < floor-1e-9 {
		return nil, &failure{http.StatusBadGateway, "too few readers gave what can be used", 0}
	}
	return a, nil
}

// shardValue is a shard's value, reduced to what the page needs of it.
type shardValue struct {
	feature.Value
	matches []bool // by feature: whether it is one that the page asks for
}

// read reads a shard's value. Where the page shows features as the readers gave them, nothing but these bytes is kept: what is
// read of them takes several times as much memory.
func (pg *page) read(found exchange.Value) (*shardValue, error) {
	v, err := feature.Read(found.Item, pg.req, found.Shard)
	if err != nil {
		return nil, err
	}
	value := &shardValue{Value: *v}
	for i := range v.Features {
		f := &v.Features[i]
		value.matches = append(value.matches, pg.req.Match(f, pg.p.filter, pg.c.kinds, pg.c.Time))
		if pg.rawOnly {
			f.Geometry, f.Properties = nil, nil
		}
	}
	return value, nil
}

// merge takes the features in the order of shard and id, each id once, up to the limit. Shards behind the page's end
// are asked again by the next, so one of them that is missing takes nothing from this one.
func (a *answer) merge(pg *page, values map[int]*shardValue) {
	seen := map[string]bool{}
	var last cursor
	cut := false // something that matches lies behind the page
	total := 0   // that match; -1 where that is not known
	for _, shard := range pg.shards {
		if v := values[shard]; v == nil || v.Matched < 0 {
			total = -1
			break
		} else {
			total += v.Matched
		}
	}
	for _, shard := range pg.shards {
		if cut {
			break
		}
		v := values[shard]
		if v == nil {
			a.missing = append(a.missing, shard)
			continue
		}
		for i := range v.Features {
			f := &v.Features[i]
			if seen[f.ID] || !v.matches[i] {
				total = -1 // a feature of two shards, or one that the reader should have left out
				last = cursor{Shard: shard, After: f.ID}
				continue
			}
			if cut = len(a.features) == pg.p.limit; cut {
				break
			}
			seen[f.ID] = true
			a.features = append(a.features, *f)
			last = cursor{Shard: shard, After: f.ID}
		}
		cut = cut || v.More
	}
	a.matched = -1
	switch {
	case len(a.missing) > 0: // a further page would pass over what is missing
	case cut:
		a.next = &last
	case pg.next >= 0:
		a.next = &cursor{Shard: pg.next}
	}
	if a.next != nil && pg.p.page != nil {
		a.next.Only = pg.p.page.Only
	}
	if pg.isWhole && len(a.missing) == 0 {
		if a.matched = total; !cut {
			a.matched = len(a.features)
		}
	}
}

// missingSquares names the squares that an answer lacks.
func (pg *page) missingSquares(missing []int) []string {
	var out []string
	for _, shard := range missing {
		out = append(out, pg.req.Squares[shard]...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// itemsForm is a FeatureCollection with what Part 1 adds, and whether it is complete.
type itemsForm struct {
	Type           string            `json:"type"`
	Features       []json.RawMessage `json:"features"`
	Links          []link            `json:"links"`
	TimeStamp      string            `json:"timeStamp"`
	NumberReturned int               `json:"numberReturned"`
	NumberMatched  *int              `json:"numberMatched,omitempty"`
	Complete       bool              `json:"complete"`
	Missing        []string          `json:"missingSquares,omitempty"`
	Warning        string            `json:"warning,omitempty"`
}

// form is the answer as GeoJSON.
func (s *snapshot) form(pg *page, a *answer, base string, at time.Time) (*itemsForm, error) {
	f := &itemsForm{
		Type: "FeatureCollection", Features: []json.RawMessage{}, TimeStamp: at.UTC().Format(time.RFC3339),
		NumberReturned: len(a.features), Complete: len(a.missing) == 0,
	}
	for i := range a.features {
		raw, err := project3857(&a.features[i], pg.p.crs)
		if err != nil {
			return nil, err
		}
		f.Features = append(f.Features, raw)
	}
	if a.matched >= 0 {
		f.NumberMatched = &a.matched
	}
	path := base + "/collections/" + pg.c.name + "/items"
	to := func(c *cursor) string {
		q := pg.p.bare.Encode()
		if c != nil {
			if q != "" {
				q += "&"
			}
			q += "cursor=" + s.writeCursor(*c, pg.c.name, pg.p.bare)
		}
		if q == "" {
			return path
		}
		return path + "?" + q
	}
	f.Links = append(f.Links, link{Href: to(pg.p.page), Rel: "self", Type: geoJSON}, link{Href: base + "/collections/" + pg.c.name, Rel: "collection", Type: plainJSON})
	if a.next != nil {
		f.Links = append(f.Links, link{Href: to(a.next), Rel: "next", Type: geoJSON, Title: "the features that follow"})
	}
	if !f.Complete {
		f.Missing = pg.missingSquares(a.missing)
		f.Warning = fmt.Sprintf("%d of %d parts are missing; there is no next page, which would pass over them", len(a.missing), len(pg.shards))
		f.Links = append(f.Links, link{Href: to(&cursor{Only: a.missing}), Rel: "missing", Type: geoJSON, Title: "the missing squares alone"})
	}
	return f, nil
}

// single plans the query for one feature; false if its id names no square of the collection.
func (s *snapshot) single(c *collection, id string) (*page, bool) {
	name, ok := feature.SquareOf(id)
	sq, known := c.square[name]
	if !ok || !known {
		return nil, false
	}
	p := &params{limit: 1, crs: crs84}
	pg := &page{c: c, p: p, req: p.request(c), next: -1}
	pg.req.ID = id
	pg.req.Squares, pg.shards = byShard([]placement.Square{sq})
	return pg, true
}
