package ogc

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"maps"
	"slices"
	"strings"

	"github.com/paulmach/orb"

	"birchcart/internal/feature"
)

//go:embed page.html.tmpl
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{"plain": plain}).Parse(pageText))

// pageForm is what the page shows of any document.
type pageForm struct {
	View     string
	Base     string
	Form     any
	Features []feature.Feature
	Columns  []string
	Map      template.HTML
	JSON     string
}

const (
	mapWidth, mapHeight = 720.0, 440.0 // px
	mapEdge             = 12.0
	columnsMost         = 12
	shownMost           = 80 // bytes of a property
)

// render writes a document as a page with no script. Maps are drawn here, as SVG.
func render(view, base string, form any, features []feature.Feature) ([]byte, error) {
	p := pageForm{View: view, Base: base, Form: form, Features: features, Map: drawMap(features)}
	seen := map[string]bool{}
	for i := range features {
		for name := range features[i].Properties {
			seen[name] = true
		}
	}
	p.Columns = slices.Sorted(maps.Keys(seen))
	p.Columns = p.Columns[:min(columnsMost, len(p.Columns))]
	if features == nil {
		raw, err := json.MarshalIndent(form, "", "  ")
		if err != nil {
			return nil, err
		}
		p.JSON = string(raw)
	}
	var b bytes.Buffer
	err := pageTemplate.Execute(&b, p)
	return b.Bytes(), err
}

func plain(v any) string {
	if v == nil {
		return ""
	}
	s := fmt.Sprint(v)
	if len(s) > shownMost {
		s = strings.ToValidUTF8(s[:shownMost], "") + "..."
	}
	return s
}

// drawMap draws geometries in plate carrée. Only numbers of ours and escaped ids go into it.
func drawMap(features []feature.Feature) template.HTML {
	bound, any := orb.Bound{}, false
	for i := range features {
		if g := features[i].Geometry; g != nil {
			if !any {
				bound, any = g.Bound(), true
			}
			bound = bound.Union(g.Bound())
		}
	}
	if !any {
		return ""
	}
	bound = bound.Pad(max(0.01, 0.05*max(bound.Max[0]-bound.Min[0], bound.Max[1]-bound.Min[1])))
	scale := min((mapWidth-2*mapEdge)/(bound.Max[0]-bound.Min[0]), (mapHeight-2*mapEdge)/(bound.Max[1]-bound.Min[1]))
	at := func(p orb.Point) (float64, float64) {
		return mapEdge + (p[0]-bound.Min[0])*scale, mapHeight - mapEdge - (p[1]-bound.Min[1])*scale
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg viewBox="0 0 %g %g" role="img" aria-label="map of the features">`, mapWidth, mapHeight)
	path := func(points []orb.Point, closed bool) {
		for i, p := range points {
			x, y := at(p)
			fmt.Fprintf(&b, "%c%.2f %.2f", "ML"[min(i, 1)], x, y)
		}
		if closed {
			b.WriteByte('Z')
		}
	}
	for i := range features {
		f := &features[i]
		if f.Geometry == nil {
			continue
		}
		fmt.Fprintf(&b, `<g><title>%s</title>`, template.HTMLEscapeString(f.ID))
		draw(f.Geometry, func(p orb.Point) {
			x, y := at(p)
			fmt.Fprintf(&b, `<circle cx="%.2f" cy="%.2f" r="4"/>`, x, y)
		}, func(points []orb.Point, closed bool) {
			b.WriteString(`<path d="`)
			path(points, closed)
			b.WriteString(`"/>`)
		})
		b.WriteString("</g>")
	}
	b.WriteString("</svg>")
	return template.HTML(b.String())
}

// draw takes a geometry apart into points and lines.
func draw(g orb.Geometry, point func(orb.Point), line func([]orb.Point, bool)) {
	switch g := g.(type) {
	case orb.Point:
		point(g)
	case orb.MultiPoint:
		for _, p := range g {
			point(p)
		}
	case orb.LineString:
		line(g, false)
	case orb.MultiLineString:
		for _, l := range g {
			line(l, false)
		}
	case orb.Polygon:
		for _, r := range g {
			line(r, true)
		}
	case orb.MultiPolygon:
		for _, p := range g {
			draw(p, point, line)
		}
	case orb.Collection:
		for _, x := range g {
			draw(x, point, line)
		}
	}
}
