// Package feature is what travels between a co-ordinator and its readers when a feature query is asked: the request,
// which is the text of each part, and the value that a reader gives for its shard. docs/protocols/features.md has both
// forms. It is pure; every size is the caller's to bound before.
package feature

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/paulmach/orb"
	"github.com/paulmach/orb/geojson"

	"birchcart/internal/cql"
)

// ValueMost bounds a value, in bytes: a frame holds it with room for its head. A reader that has more gives what fits
// and says so.
const ValueMost = 60 << 10

// Request asks the features of some squares. All geometry is CRS84.
type Request struct {
	Collection string           `json:"collection"`
	Squares    map[int][]string `json:"squares"` // by shard, rising
	BBox       *[4]float64      `json:"bbox,omitempty"`
	From       string           `json:"from,omitempty"` // RFC 3339; absent: open
	To         string           `json:"to,omitempty"`
	Filter     string           `json:"filter,omitempty"` // CQL2 text
	Shard      int              `json:"shard"`            // a page that goes on begins in this shard
	After      string           `json:"after,omitempty"`  // behind the feature of this id
	ID         string           `json:"id,omitempty"`     // this feature alone
	Limit      int              `json:"limit"`            // features of one shard, at most
}

// Encode writes the text of a part.
func (r *Request) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic("feature: a request that can't be written: " + err.Error())
	}
	return b
}

// Decode reads the text of a part.
func Decode(text []byte) (*Request, error) {
	var r Request
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, fmt.Errorf("feature request: %w", err)
	}
	if r.Collection == "" || r.Limit < 1 {
		return nil, errors.New("feature request: no collection or no limit")
	}
	return &r, nil
}

// Start is the id behind which a shard's features begin.
func (r *Request) Start(shard int) string {
	if shard == r.Shard {
		return r.After
	}
	return ""
}

// SquareOf tells the square that a feature's id names: ids are SQUARE.REST.
func SquareOf(id string) (string, bool) {
	i := strings.IndexByte(id, '.')
	if i <= 0 || i == len(id)-1 {
		return "", false
	}
	return id[:i], true
}

// Value is what a reader gives for one shard: features in the order of their ids, as GeoJSON objects.
type Value struct {
	Features []Feature
	More     bool // there are some behind the last
	Matched  int  // how many match in all, -1 if that is not told
}

// Feature is one, with its bytes as the reader gave them.
type Feature struct {
	ID         string
	Geometry   orb.Geometry
	Properties map[string]any
	Raw        json.RawMessage
}

type valueForm struct {
	Features []json.RawMessage `json:"features"`
	More     bool              `json:"more"`
	Matched  *int              `json:"matched"`
}

type featureForm struct {
	Type       string          `json:"type"`
	ID         *string         `json:"id"`
	Geometry   json.RawMessage `json:"geometry"`
	Properties map[string]any  `json:"properties"`
}

// Encode writes a value.
func (v *Value) Encode() []byte {
	form := valueForm{Features: []json.RawMessage{}, More: v.More}
	for i := range v.Features {
		form.Features = append(form.Features, v.Features[i].Raw)
	}
	if v.Matched >= 0 {
		form.Matched = &v.Matched
	}
	b, err := json.Marshal(form)
	if err != nil {
		panic("feature: a value that can't be written: " + err.Error())
	}
	return b
}

// Read reads the value of a shard and checks that it answers the request: features of the squares that were asked
// and no others, in order, each once, no more than the limit. What is wrong makes the whole value unfit.
func Read(raw []byte, r *Request, shard int) (*Value, error) {
	var form valueForm
	if err := json.Unmarshal(raw, &form); err != nil {
		return nil, fmt.Errorf("feature value: %w", err)
	}
	if form.Features == nil {
		return nil, errors.New("feature value: no features")
	}
	v := &Value{More: form.More, Matched: -1}
	if form.Matched != nil {
		v.Matched = *form.Matched
	}
	for _, raw := range form.Features {
		f, err := Parse(raw)
		if err != nil {
			return nil, err
		}
		v.Features = append(v.Features, *f)
	}
	return v, v.check(r, shard)
}

// check tells whether a value answers the request for a shard.
func (v *Value) check(r *Request, shard int) error {
	if len(v.Features) > r.Limit {
		return fmt.Errorf("feature value: %d features where %d were asked", len(v.Features), r.Limit)
	}
	last := r.Start(shard)
	for i := range v.Features {
		f := &v.Features[i]
		if sq, ok := SquareOf(f.ID); !ok || !slices.Contains(r.Squares[shard], sq) {
			return fmt.Errorf("feature value: feature %q is of a square that was not asked", f.ID)
		}
		if f.ID <= last {
			return fmt.Errorf("feature value: feature %q is out of order", f.ID)
		}
		if r.ID != "" && f.ID != r.ID {
			return fmt.Errorf("feature value: feature %q was not asked", f.ID)
		}
		last = f.ID
	}
	if v.More && len(v.Features) == 0 {
		return errors.New("feature value: more are said to follow none")
	}
	if v.Matched >= 0 && v.Matched < len(v.Features) {
		return errors.New("feature value: fewer match than are there")
	}
	return nil
}

// Parse reads one GeoJSON feature.
func Parse(raw json.RawMessage) (*Feature, error) {
	var form featureForm
	if err := json.Unmarshal(raw, &form); err != nil {
		return nil, fmt.Errorf("feature: %w", err)
	}
	if form.Type != "Feature" || form.ID == nil || *form.ID == "" {
		return nil, errors.New("feature: no feature, or one without an id")
	}
	f := &Feature{ID: *form.ID, Properties: form.Properties, Raw: raw}
	if len(form.Geometry) > 0 && !bytes.Equal(form.Geometry, []byte("null")) {
		g, err := geojson.UnmarshalGeometry(form.Geometry)
		if err != nil {
			return nil, fmt.Errorf("feature %q: geometry: %w", f.ID, err)
		}
		f.Geometry = g.Geometry()
	}
	return f, nil
}

// Values gives a feature's values to a filter. Properties of kind Time are read as such.
func (f *Feature) Values(kinds map[string]cql.Kind) cql.Values {
	return func(name string) any {
		kind, ok := kinds[name]
		if !ok {
			return nil
		}
		switch {
		case name == "id":
			return f.ID
		case name == "square":
			sq, _ := SquareOf(f.ID)
			return sq
		case kind == cql.Geometry:
			if f.Geometry == nil {
				return nil
			}
			return f.Geometry
		}
		v := f.Properties[name]
		if kind == cql.Time {
			s, _ := v.(string)
			t, _, err := cql.Instant(s)
			if err != nil {
				return nil
			}
			return t
		}
		return v
	}
}

// Span is the time that a request is about; a zero end is open.
func (r *Request) Span() (from, to time.Time, err error) {
	for _, end := range []struct {
		text string
		t    *time.Time
	}{{r.From, &from}, {r.To, &to}} {
		if end.text != "" {
			if *end.t, err = time.Parse(time.RFC3339Nano, end.text); err != nil {
				return from, to, err
			}
		}
	}
	return from, to, nil
}

// Match tells whether a feature is one that the request asks for, by box, time and filter; timeProperty names the
// property that is its time, "" for none.
func (r *Request) Match(f *Feature, filter *cql.Filter, kinds map[string]cql.Kind, timeProperty string) bool {
	if r.BBox != nil {
		b := orb.Bound{Min: orb.Point{r.BBox[0], r.BBox[1]}, Max: orb.Point{r.BBox[2], r.BBox[3]}}
		if f.Geometry == nil || !cql.Intersects(f.Geometry, b) {
			return false
		}
	}
	values := f.Values(kinds)
	if (r.From != "" || r.To != "") && timeProperty != "" {
		t, ok := values(timeProperty).(time.Time)
		from, to, err := r.Span()
		if !ok || err != nil || !from.IsZero() && t.Before(from) || !to.IsZero() && t.After(to) {
			return false
		}
	}
	return filter.Match(values)
}
