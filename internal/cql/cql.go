// Package cql reads and evaluates the part of CQL2 text (OGC 21-065) that feature queries here may use: comparisons,
// AND, OR, NOT, IN, BETWEEN, LIKE, IS NULL, S_INTERSECTS with a BBOX, POINT or POLYGON, and T_INTERSECTS with an instant
// or an interval. It is pure; time and memory are bounded by the length of the text, and depth by a constant.
//
// What an unknown makes of a comparison is false, also under NOT of that comparison's operator: an absent property
// matches nothing but IS NULL.
package cql

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/paulmach/orb"
)

// Bounds of a filter.
const (
	TextMost  = 8 << 10 // bytes of a filter; the longest seen of a person's making is under 1 KB
	depthMost = 32      // parentheses and NOTs within each other
	itemsMost = 1000    // of an IN list, or points of a polygon
)

// Kind of a property.
type Kind uint8

// Kinds of a property.
const (
	Text Kind = iota
	Number
	Boolean
	Time
	Geometry
)

// Error is a mistake in a filter with its place.
type Error struct {
	At   int // byte, from 0
	Text string
}

func (e *Error) Error() string { return fmt.Sprintf("at byte %d: %s", e.At, e.Text) }

// Values gives a feature's values. Text: string; Number: float64; Boolean: bool; Time: time.Time; Geometry:
// orb.Geometry. nil for what is absent.
type Values func(property string) any

// Filter is one that was read.
type Filter struct {
	root node
	text string
}

// String is the text that it was read from.
func (f *Filter) String() string { return f.text }

// Match tells whether a feature matches. A nil filter matches all.
func (f *Filter) Match(v Values) bool { return f == nil || f.root.match(v) }

// Bound is a box outside of which nothing matches, and false if the filter says of none.
func (f *Filter) Bound() (orb.Bound, bool) {
	if f == nil {
		return orb.Bound{}, false
	}
	return f.root.bound()
}

// Parse reads a filter over these properties.
func Parse(text string, properties map[string]Kind) (*Filter, error) {
	if len(text) > TextMost {
		return nil, &Error{TextMost, fmt.Sprintf("longer than %d bytes", TextMost)}
	}
	p := &parser{text: text, properties: properties}
	p.next()
	root := p.or(0)
	if p.err == nil && p.kind != end {
		p.fail("%q is not expected here", p.word)
	}
	if p.err != nil {
		return nil, p.err
	}
	return &Filter{root, text}, nil
}

// Nodes.

type node interface {
	match(Values) bool
	bound() (orb.Bound, bool)
}

type and []node
type or []node
type not struct{ node }

func (n and) match(v Values) bool {
	for _, x := range n {
		if !x.match(v) {
			return false
		}
	}
	return true
}

func (n and) bound() (b orb.Bound, ok bool) {
	for _, x := range n {
		if c, has := x.bound(); has && ok {
			b = meet(b, c)
		} else if has {
			b, ok = c, true
		}
	}
	return b, ok
}

// meet is what lies in both; where nothing does it is empty at a point of the first's, which touches little.
func meet(a, b orb.Bound) orb.Bound {
	m := orb.Bound{
		Min: orb.Point{max(a.Min[0], b.Min[0]), max(a.Min[1], b.Min[1])},
		Max: orb.Point{min(a.Max[0], b.Max[0]), min(a.Max[1], b.Max[1])},
	}
	if m.Min[0] > m.Max[0] || m.Min[1] > m.Max[1] {
		return orb.Bound{Min: a.Min, Max: a.Min}
	}
	return m
}

func (n or) match(v Values) bool {
	for _, x := range n {
		if x.match(v) {
			return true
		}
	}
	return false
}

func (n or) bound() (b orb.Bound, ok bool) {
	for i, x := range n {
		c, has := x.bound()
		if !has {
			return orb.Bound{}, false
		}
		if i == 0 {
			b = c
		} else {
			b = b.Union(c)
		}
	}
	return b, true
}

func (n not) match(v Values) bool        { return !n.node.match(v) }
func (n not) bound() (orb.Bound, bool)   { return orb.Bound{}, false }
func (compare) bound() (orb.Bound, bool) { return orb.Bound{}, false }
func (in) bound() (orb.Bound, bool)      { return orb.Bound{}, false }
func (between) bound() (orb.Bound, bool) { return orb.Bound{}, false }
func (like) bound() (orb.Bound, bool)    { return orb.Bound{}, false }
func (null) bound() (orb.Bound, bool)    { return orb.Bound{}, false }
func (during) bound() (orb.Bound, bool)  { return orb.Bound{}, false }

type compare struct {
	property, op string
	value        any
}

func (n compare) match(v Values) bool {
	c, ok := order(v(n.property), n.value)
	if !ok {
		return false
	}
	switch n.op {
	case "=":
		return c == 0
	case "<>":
		return c != 0
	case "<":
		return c < 0
	case "<=":
		return c <= 0
	case ">":
		return c > 0
	}
	return c >= 0
}

// order compares values of one kind; ok is false for others and for what is absent.
func order(a, b any) (c int, ok bool) {
	switch x := a.(type) {
	case string:
		y, ok := b.(string)
		return cmp.Compare(x, y), ok
	case float64:
		y, ok := b.(float64)
		return cmp.Compare(x, y), ok
	case bool:
		y, ok := b.(bool)
		if x == y {
			return 0, ok
		}
		return 1, ok
	case time.Time:
		y, ok := b.(time.Time)
		return x.Compare(y), ok
	}
	return 0, false
}

type in struct {
	property string
	values   []any
	not      bool
}

func (n in) match(v Values) bool {
	have := v(n.property)
	if have == nil {
		return false
	}
	for _, x := range n.values {
		if c, ok := order(have, x); ok && c == 0 {
			return !n.not
		}
	}
	return n.not
}

type between struct {
	property  string
	low, high any
	not       bool
}

func (n between) match(v Values) bool {
	have := v(n.property)
	a, ok := order(have, n.low)
	b, also := order(have, n.high)
	return ok && also && (a >= 0 && b <= 0) != n.not
}

type like struct {
	property, pattern string
	not               bool
}

func (n like) match(v Values) bool {
	s, ok := v(n.property).(string)
	return ok && wild(s, n.pattern) != n.not
}

// wild matches % to any run and _ to one character, in time of the product of the lengths at the most.
func wild(s, pattern string) bool {
	text, pat := []rune(s), []rune(pattern)
	i, j, star, mark := 0, 0, -1, 0
	for i < len(text) {
		switch {
		case j < len(pat) && pat[j] == '%':
			star, mark = j, i
			j++
		case j < len(pat) && (pat[j] == '_' || pat[j] == text[i]):
			i++
			j++
		case star >= 0:
			mark++
			i, j = mark, star+1
		default:
			return false
		}
	}
	for j < len(pat) && pat[j] == '%' {
		j++
	}
	return j == len(pat)
}

type null struct {
	property string
	not      bool
}

func (n null) match(v Values) bool { return (v(n.property) == nil) != n.not }

// during is T_INTERSECTS; a zero end is open.
type during struct {
	property string
	from, to time.Time
}

func (n during) match(v Values) bool {
	t, ok := v(n.property).(time.Time)
	return ok && (n.from.IsZero() || !t.Before(n.from)) && (n.to.IsZero() || !t.After(n.to))
}

type intersects struct {
	property string
	geometry orb.Geometry
}

func (n intersects) match(v Values) bool {
	g, ok := v(n.property).(orb.Geometry)
	return ok && Intersects(g, n.geometry)
}

func (n intersects) bound() (orb.Bound, bool) { return n.geometry.Bound(), true }

// Parser.

type token uint8

const (
	end token = iota
	name
	number
	quoted
	sign
)

type parser struct {
	text       string
	at, start  int
	kind       token
	word       string // as written; of a quoted text what it stands for
	upper      string // of a name
	properties map[string]Kind
	err        error
}

func (p *parser) fail(format string, args ...any) {
	if p.err == nil {
		p.err = &Error{p.start, fmt.Sprintf(format, args...)}
	}
	p.kind, p.word, p.upper, p.at = end, "", "", len(p.text)
}

func letter(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}
func digit(c byte) bool { return c >= '0' && c <= '9' }

// next reads the next token; a mistake ends the text.
func (p *parser) next() {
	for p.at < len(p.text) && strings.IndexByte(" \t\r\n", p.text[p.at]) >= 0 {
		p.at++
	}
	p.start, p.word, p.upper = p.at, "", ""
	if p.at >= len(p.text) {
		p.kind = end
		return
	}
	take := func(more func(byte) bool) string {
		from := p.at
		for p.at++; p.at < len(p.text) && more(p.text[p.at]); p.at++ {
		}
		return p.text[from:p.at]
	}
	switch c := p.text[p.at]; {
	case letter(c):
		p.kind, p.word = name, take(func(c byte) bool { return letter(c) || digit(c) || c == '.' || c == ':' })
		p.upper = strings.ToUpper(p.word)
	case c == '"':
		i := strings.IndexByte(p.text[p.at+1:], '"')
		if i < 0 {
			p.fail("a name in quotes does not end")
			return
		}
		p.kind, p.word = name, p.text[p.at+1:p.at+1+i]
		p.at += i + 2
	case digit(c) || c == '-' || c == '+' || c == '.':
		p.kind, p.word = number, take(func(c byte) bool { return digit(c) || strings.IndexByte(".eE+-", c) >= 0 })
	case c == '\'':
		var b strings.Builder
		for p.at++; ; p.at++ {
			if p.at >= len(p.text) {
				p.fail("a text in quotes does not end")
				return
			}
			if p.text[p.at] == '\'' {
				if p.at+1 < len(p.text) && p.text[p.at+1] == '\'' {
					p.at++
				} else {
					break
				}
			}
			b.WriteByte(p.text[p.at])
		}
		p.at++
		p.kind, p.word = quoted, b.String()
	case strings.IndexByte("(),=", c) >= 0:
		p.kind, p.word = sign, string(c)
		p.at++
	case c == '<' || c == '>':
		p.kind, p.word = sign, string(c)
		if p.at++; p.at < len(p.text) && (p.text[p.at] == '=' || c == '<' && p.text[p.at] == '>') {
			p.word += string(p.text[p.at])
			p.at++
		}
	default:
		p.fail("%q means nothing here", c)
	}
}

// is tells whether the next token is this sign or word, and takes it if so.
func (p *parser) is(word string) bool {
	if p.kind == sign && p.word == word || p.kind == name && p.upper == word {
		p.next()
		return true
	}
	return false
}

func (p *parser) need(word string) {
	if !p.is(word) {
		p.fail("%s belongs here, not %q", word, p.word)
	}
}

func (p *parser) or(depth int) node {
	all := or{p.and(depth)}
	for p.is("OR") {
		all = append(all, p.and(depth))
	}
	if len(all) == 1 {
		return all[0]
	}
	return all
}

func (p *parser) and(depth int) node {
	all := and{p.factor(depth)}
	for p.is("AND") {
		all = append(all, p.factor(depth))
	}
	if len(all) == 1 {
		return all[0]
	}
	return all
}

func (p *parser) factor(depth int) node {
	if depth >= depthMost {
		p.fail("nested deeper than %d", depthMost)
		return and{}
	}
	if p.is("NOT") {
		return not{p.factor(depth + 1)}
	}
	if p.is("(") {
		n := p.or(depth + 1)
		p.need(")")
		return n
	}
	return p.predicate()
}

func (p *parser) predicate() node {
	switch {
	case p.is("S_INTERSECTS"):
		p.need("(")
		prop := p.property(Geometry)
		p.need(",")
		n := intersects{prop, p.geometry()}
		p.need(")")
		if n.geometry == nil {
			return and{}
		}
		return n
	case p.is("T_INTERSECTS"):
		p.need("(")
		n := during{property: p.property(Time)}
		p.need(",")
		n.from, n.to = p.temporal()
		p.need(")")
		return n
	}
	kind := p.properties[p.word]
	prop := p.property()
	if p.err != nil {
		return and{}
	}
	if kind == Geometry {
		p.fail("a geometry takes S_INTERSECTS")
		return and{}
	}
	if p.is("IS") {
		n := null{prop, p.is("NOT")}
		p.need("NULL")
		return n
	}
	negated := p.is("NOT")
	switch {
	case p.is("IN"):
		n := in{property: prop, not: negated}
		p.need("(")
		for p.err == nil {
			if n.values = append(n.values, p.scalar(kind)); len(n.values) > itemsMost {
				p.fail("more than %d values", itemsMost)
			}
			if !p.is(",") {
				break
			}
		}
		p.need(")")
		return n
	case p.is("BETWEEN"):
		n := between{property: prop, not: negated, low: p.scalar(kind)}
		p.need("AND")
		n.high = p.scalar(kind)
		return n
	case p.is("LIKE"):
		if kind != Text {
			p.fail("LIKE takes a text")
		}
		pattern, _ := p.scalar(Text).(string)
		return like{prop, pattern, negated}
	case negated:
		p.fail("IN, BETWEEN or LIKE belongs behind NOT")
		return and{}
	}
	for _, op := range []string{"=", "<>", "<=", ">=", "<", ">"} {
		if p.kind == sign && p.word == op {
			p.next()
			if kind == Boolean && op != "=" && op != "<>" {
				p.fail("true and false have no order")
			}
			return compare{prop, op, p.scalar(kind)}
		}
	}
	p.fail("a comparison belongs here, not %q", p.word)
	return and{}
}

// property takes the name of a known property, of these kinds if any are said.
func (p *parser) property(kinds ...Kind) string {
	if p.kind != name {
		p.fail("a property belongs here, not %q", p.word)
		return ""
	}
	kind, ok := p.properties[p.word]
	if !ok {
		p.fail("there is no property %q", p.word)
		return ""
	}
	if len(kinds) > 0 && kind != kinds[0] {
		p.fail("%q is of another kind", p.word)
		return ""
	}
	prop := p.word
	p.next()
	return prop
}

func (p *parser) scalar(kind Kind) any {
	switch kind {
	case Number:
		return p.number()
	case Boolean:
		if p.is("TRUE") {
			return true
		}
		if p.is("FALSE") {
			return false
		}
		p.fail("TRUE or FALSE belongs here")
	case Time:
		from, _ := p.instant()
		return from
	default:
		if p.kind != quoted {
			p.fail("a text in single quotes belongs here, not %q", p.word)
			return ""
		}
		s := p.word
		p.next()
		return s
	}
	return nil
}

func (p *parser) number() float64 {
	x, err := strconv.ParseFloat(p.word, 64)
	if p.kind != number || err != nil {
		p.fail("a number belongs here, not %q", p.word)
		return 0
	}
	p.next()
	return x
}

// instant reads a TIMESTAMP or a DATE, with the end of what it stands for.
func (p *parser) instant() (from, to time.Time) {
	date := p.upper == "DATE"
	if !p.is("DATE") && !p.is("TIMESTAMP") {
		p.fail("DATE('...') or TIMESTAMP('...') belongs here, not %q", p.word)
		return
	}
	p.need("(")
	from, to, err := Instant(p.word)
	if p.kind != quoted || err != nil || date != (len(p.word) == len(time.DateOnly)) {
		p.fail("%q is no such time", p.word)
		return
	}
	p.next()
	p.need(")")
	return from, to
}

// Instant reads an RFC 3339 time, or a date, which stands for the whole of its day in UTC.
func Instant(s string) (from, to time.Time, err error) {
	if len(s) == len(time.DateOnly) {
		from, err = time.Parse(time.DateOnly, s)
		return from, from.Add(24*time.Hour - time.Nanosecond), err
	}
	from, err = time.Parse(time.RFC3339Nano, s)
	return from, from, err
}

func (p *parser) temporal() (from, to time.Time) {
	if !p.is("INTERVAL") {
		return p.instant()
	}
	p.need("(")
	limit := func(upper bool) (t time.Time) {
		word := p.word
		if p.kind != quoted {
			p.fail("a time in single quotes belongs here, not %q", word)
			return t
		}
		p.next()
		if word == ".." {
			return t
		}
		a, b, err := Instant(word)
		if err != nil {
			p.fail("%q is no time", word)
		}
		if upper {
			return b
		}
		return a
	}
	from = limit(false)
	p.need(",")
	to = limit(true)
	p.need(")")
	if p.err == nil && !from.IsZero() && !to.IsZero() && to.Before(from) {
		p.fail("the interval ends before it begins")
	}
	return from, to
}

func (p *parser) geometry() orb.Geometry {
	switch {
	case p.is("BBOX"):
		p.need("(")
		var x [4]float64
		for i := range x {
			if i > 0 {
				p.need(",")
			}
			x[i] = p.number()
		}
		p.need(")")
		if p.err == nil && (x[0] > x[2] || x[1] > x[3]) {
			p.fail("the least of the box is over its most")
		}
		return orb.Bound{Min: orb.Point{x[0], x[1]}, Max: orb.Point{x[2], x[3]}}.ToPolygon()
	case p.is("POINT"):
		p.need("(")
		pt := orb.Point{p.number(), p.number()}
		p.need(")")
		return pt
	case p.is("POLYGON"):
		p.need("(")
		var poly orb.Polygon
		points := 0
		for p.err == nil {
			p.need("(")
			var ring orb.Ring
			for p.err == nil {
				ring = append(ring, orb.Point{p.number(), p.number()})
				if points++; points > itemsMost {
					p.fail("more than %d points", itemsMost)
				}
				if !p.is(",") {
					break
				}
			}
			p.need(")")
			if p.err == nil && (len(ring) < 4 || ring[0] != ring[len(ring)-1]) {
				p.fail("a ring has at least four points, the last like the first")
			}
			poly = append(poly, ring)
			if !p.is(",") {
				break
			}
		}
		p.need(")")
		return poly
	}
	p.fail("BBOX, POINT or POLYGON belongs here, not %q", p.word)
	return nil
}
