package ogc

import (
	"errors"
	"fmt"
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/paulmach/orb"
	"github.com/paulmach/orb/project"

	"birchcart/internal/cql"
	"birchcart/internal/feature"
)

// Co-ordinate reference systems.
const (
	crs84    = "http://www.opengis.net/def/crs/OGC/1.3/CRS84"
	mercator = "http://www.opengis.net/def/crs/EPSG/0/3857"
)

const mercatorMost = 20037508.342789244 // m: half of the world's circumference on EPSG:3857

// badParameter is a mistake of the client's, in one parameter.
type badParameter struct {
	name, why string
}

func (b *badParameter) Error() string { return b.name + ": " + b.why }

func bad(name, format string, args ...any) error {
	return &badParameter{name, fmt.Sprintf(format, args...)}
}

// params are those of an items request.
type params struct {
	bound    *orb.Bound // CRS84
	from, to time.Time  // zero: open
	limit    int
	crs      string
	filter   *cql.Filter
	page     *cursor
	bare     url.Values // as asked, without the cursor, for links
}

// parseParams reads the query part of an items request; unknown parameters are mistakes, as Part 1 asks.
func (s *snapshot) parseParams(c *collection, query url.Values) (*params, error) {
	p := &params{limit: s.op.LimitUsual, crs: crs84, bare: url.Values{}}
	for name, values := range query {
		if len(values) != 1 {
			return nil, bad(name, "it stands %d times; once is right", len(values))
		}
		if name != "cursor" {
			p.bare[name] = values
		}
	}
	var filters []string
	for name, values := range query {
		value := values[0]
		var err error
		switch name {
		case "bbox":
			p.bound, err = parseBBox(value, query.Get("bbox-crs"))
		case "bbox-crs":
			if !query.Has("bbox") {
				err = bad(name, "it goes with bbox")
			}
		case "datetime":
			p.from, p.to, err = parseDatetime(value)
		case "limit":
			p.limit, err = parseLimit(value, s.op.LimitMost)
		case "crs":
			if p.crs = value; value != crs84 && value != mercator {
				err = bad(name, "%s or %s is right", crs84, mercator)
			}
		case "filter-lang":
			if value != "cql2-text" {
				err = bad(name, "cql2-text is right")
			}
		case "filter-crs":
			if value != crs84 {
				err = bad(name, "%s is right", crs84)
			}
		case "filter":
			if _, err = cql.Parse(value, c.kinds); err != nil {
				err = bad(name, "%v", err)
			}
			filters = append(filters, value)
		case "f":
			if value != "json" && value != "html" {
				err = bad(name, "json or html is right")
			}
		case "cursor": // below, once the rest is known
		default:
			kind, ok := c.kinds[name]
			if !ok || kind == cql.Geometry {
				err = bad(name, "there is no such parameter, nor a property of that name")
			} else {
				var text string
				text, err = equality(name, value, kind)
				filters = append(filters, text)
			}
		}
		if err != nil {
			return nil, err
		}
	}
	if len(filters) > 0 {
		text := strings.Join(filters, ") AND (")
		if len(filters) > 1 {
			text = "(" + text + ")"
		}
		var err error
		if p.filter, err = cql.Parse(text, c.kinds); err != nil {
			return nil, bad("filter", "%v", err)
		}
	}
	if text := query.Get("cursor"); query.Has("cursor") {
		var err error
		if p.page, err = s.readCursor(text, c.name, p.bare); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// equality is the filter that a property's own parameter stands for.
func equality(name, value string, kind cql.Kind) (string, error) {
	switch kind {
	case cql.Number:
		if x, err := strconv.ParseFloat(value, 64); err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			return "", bad(name, "a number is right")
		}
	case cql.Boolean:
		if value != "true" && value != "false" {
			return "", bad(name, "true or false is right")
		}
		value = strings.ToUpper(value)
	case cql.Time:
		if _, _, err := cql.Instant(value); err != nil {
			return "", bad(name, "a time as in RFC 3339 is right")
		}
		word := "TIMESTAMP"
		if len(value) == len(time.DateOnly) {
			word = "DATE"
		}
		value = word + "('" + value + "')"
	default:
		if len(value) > cql.TextMost/4 {
			return "", bad(name, "longer than %d bytes", cql.TextMost/4)
		}
		value = "'" + strings.ReplaceAll(value, "'", "''") + "'"
	}
	return `"` + name + `" = ` + value, nil
}

func parseLimit(value string, most int) (int, error) {
	n, err := strconv.Atoi(value)
	if errors.Is(err, strconv.ErrRange) && !strings.HasPrefix(value, "-") {
		return most, nil
	}
	if err != nil || n < 1 {
		return 0, bad("limit", "a whole number of at least 1 is right")
	}
	return min(n, most), nil // Part 1: what is over the most is taken for the most
}

// parseBBox reads four numbers, or six, of which the heights are passed over. It looks no further than it must.
func parseBBox(value, crs string) (*orb.Bound, error) {
	switch crs {
	case "", crs84, mercator:
	default:
		return nil, bad("bbox-crs", "%s or %s is right", crs84, mercator)
	}
	const numberMost = 400 // bytes of a number that anybody means
	var x []float64
	for part := range strings.SplitSeq(value, ",") {
		if len(x) == 6 {
			return nil, bad("bbox", "more than 6 numbers")
		}
		if len(part) > numberMost {
			return nil, bad("bbox", "number %d has %d characters", len(x)+1, len(part))
		}
		f, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
		if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
			return nil, bad("bbox", "number %d is none that can be used", len(x)+1)
		}
		x = append(x, f)
	}
	switch len(x) {
	case 4:
	case 6:
		if x[2] > x[5] {
			return nil, bad("bbox", "the least height is over the most")
		}
		x = []float64{x[0], x[1], x[3], x[4]}
	default:
		return nil, bad("bbox", "%d numbers; 4 or 6 are right", len(x))
	}
	b := orb.Bound{Min: orb.Point{x[0], x[1]}, Max: orb.Point{x[2], x[3]}}
	if crs == mercator {
		for _, v := range x {
			if math.Abs(v) > mercatorMost+1 {
				return nil, bad("bbox", "outside of EPSG:3857, which ends at %.0f m", mercatorMost)
			}
		}
		if x[0] > x[2] || x[1] > x[3] {
			return nil, bad("bbox", "the least is over the most")
		}
		b = project.Bound(b, project.Mercator.ToWGS84)
		return &b, nil
	}
	if math.Abs(x[0]) > 180 || math.Abs(x[2]) > 180 || math.Abs(x[1]) > 90 || math.Abs(x[3]) > 90 {
		return nil, bad("bbox", "outside of CRS84: longitudes end at 180, latitudes at 90")
	}
	if x[1] > x[3] {
		return nil, bad("bbox", "the least latitude is over the most")
	}
	if x[0] > x[2] {
		return nil, bad("bbox", "the west is over the east; a box across the antimeridian is to be asked as two")
	}
	return &b, nil
}

// parseDatetime reads an instant or an interval, of which one end may be open.
func parseDatetime(value string) (from, to time.Time, err error) {
	const longest = 100 // bytes: two times are half of that
	wrong := bad("datetime", "a time as in RFC 3339, or two with a slash between, one of which may be ..")
	if len(value) > longest {
		return from, to, wrong
	}
	a, b, interval := strings.Cut(value, "/")
	if !interval {
		if from, to, err = cql.Instant(value); err != nil {
			return from, to, wrong
		}
		return from, to, nil
	}
	open := func(s string) bool { return s == "" || s == ".." }
	if open(a) && open(b) {
		return from, to, wrong
	}
	if !open(a) {
		if from, _, err = cql.Instant(a); err != nil {
			return from, to, wrong
		}
	}
	if !open(b) {
		if _, to, err = cql.Instant(b); err != nil {
			return from, to, wrong
		}
	}
	if !open(a) && !open(b) && to.Before(from) {
		return from, to, bad("datetime", "the interval ends before it begins")
	}
	return from, to, nil
}

// request is what the readers are asked.
func (p *params) request(c *collection) *feature.Request {
	r := &feature.Request{Collection: c.name, Limit: p.limit, Squares: map[int][]string{}}
	if p.bound != nil {
		r.BBox = &[4]float64{p.bound.Min[0], p.bound.Min[1], p.bound.Max[0], p.bound.Max[1]}
	}
	if !p.from.IsZero() {
		r.From = p.from.UTC().Format(time.RFC3339Nano)
	}
	if !p.to.IsZero() {
		r.To = p.to.UTC().Format(time.RFC3339Nano)
	}
	if p.filter != nil {
		r.Filter = p.filter.String()
	}
	return r
}
