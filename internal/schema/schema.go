// Package schema reads a tree of JSON into a typed value and tells every mistake in it at once, each with its path,
// what stands there and what would be right. What may stand where is said by the fields of the Go types.
//
// It owns the checks of one value by itself: keys, types, units, ranges, choices. What holds between values is for
// the package that owns the types. It never fills in what is absent and never stops at the first mistake.
//
// Tags of a field, all optional but json:
//
//	json:"name"         the key; a field without it is left out
//	need:"true"         the key must be there
//	min:"1" max:"10"    bounds of a number, both taken in; of each number where the field is a list
//	unit:"ms"           the unit, told in messages; by custom the key ends in it too
//	enum:"a,b"          the texts that are allowed
//	len:"1"             the least length of a text, a list or an object
package schema

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"
)

const (
	depthMost   = 64  // levels of nesting: no file of ours has ten, and a stack is not bounded otherwise
	mistakeMost = 200 // mistakes told of one file: more help nobody, and a file of 1 MB may hold as many
	shownMost   = 60  // bytes of a value that a message shows
	nearest     = 3   // edits up to which a known key counts as meant
)

// Mistake is one thing wrong in a file.
type Mistake struct {
	Path  string `json:"path"`  // as $.process.log.level
	Found string `json:"found"` // what stands there
	Right string `json:"right"` // what would be right
}

func (m Mistake) Error() string {
	if m.Found == "" {
		return fmt.Sprintf("%s: %s", m.Path, m.Right)
	}
	return fmt.Sprintf("%s: %s stands there; %s", m.Path, m.Found, m.Right)
}

// Mistakes are all that is wrong in a file; as an error they are a line each.
type Mistakes []Mistake

func (ms Mistakes) Error() string {
	lines := make([]string, len(ms))
	for i, m := range ms {
		lines[i] = m.Error()
	}
	return strings.Join(lines, "\n")
}

// Add notes one more, up to a bound.
func (ms *Mistakes) Add(path, found, format string, args ...any) {
	if len(*ms) < mistakeMost {
		*ms = append(*ms, Mistake{path, found, fmt.Sprintf(format, args...)})
	}
}

// Err is the mistakes as an error, nil if there are none.
func (ms Mistakes) Err() error {
	if len(ms) == 0 {
		return nil
	}
	return ms
}

// Tree parses exactly one JSON value; numbers stay as they are written.
func Tree(raw []byte) (any, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var tree any
	if err := dec.Decode(&tree); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, errors.New("the text ends within a JSON value: unexpected end")
		}
		var se *json.SyntaxError
		if errors.As(err, &se) {
			line := 1 + bytes.Count(raw[:min(len(raw), int(se.Offset))], []byte("\n"))
			return nil, fmt.Errorf("line %d: not JSON: %w", line, err)
		}
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, errors.New("something follows the JSON value")
	}
	return tree, nil
}

// Decode decodes a node of Tree's into the struct that into points to, and adds what is wrong to ms.
func Decode(tree any, path string, into any, ms *Mistakes) {
	d := decoder{ms}
	d.value(tree, path, reflect.ValueOf(into).Elem(), "", 0)
}

type decoder struct{ ms *Mistakes }

func (d *decoder) value(node any, path string, to reflect.Value, tag reflect.StructTag, depth int) {
	if depth > depthMost {
		d.ms.Add(path, "", "nested deeper than %d levels", depthMost)
		return
	}
	if to.Kind() == reflect.Pointer {
		to.Set(reflect.New(to.Type().Elem()))
		d.value(node, path, to.Elem(), tag, depth+1)
		return
	}
	ok := true
	switch to.Kind() {
	case reflect.Struct:
		var x map[string]any
		if x, ok = node.(map[string]any); ok {
			d.object(x, path, to, depth)
		}
	case reflect.Map:
		var x map[string]any
		if x, ok = node.(map[string]any); ok {
			m := reflect.MakeMapWithSize(to.Type(), len(x))
			for _, name := range sorted(x) {
				el := reflect.New(to.Type().Elem()).Elem()
				d.value(x[name], path+"."+quoted(name), el, "", depth+1)
				m.SetMapIndex(reflect.ValueOf(name), el)
			}
			to.Set(m)
			d.length(len(x), path, tag)
		}
	case reflect.Slice:
		var x []any
		if x, ok = node.([]any); ok {
			s := reflect.MakeSlice(to.Type(), len(x), len(x))
			for i := range x {
				d.value(x[i], fmt.Sprintf("%s[%d]", path, i), s.Index(i), tag, depth+1)
			}
			to.Set(s)
			d.length(len(x), path, tag)
		}
	case reflect.String:
		var x string
		if x, ok = node.(string); ok {
			to.SetString(x)
			d.text(x, path, tag)
		}
	case reflect.Bool:
		var x bool
		if x, ok = node.(bool); ok {
			to.SetBool(x)
		}
	case reflect.Int, reflect.Int64, reflect.Float64:
		ok = d.number(node, path, to, tag)
	default:
		panic("schema: no such field type: " + to.Type().String())
	}
	if !ok {
		d.ms.Add(path, Shown(node), "%s belongs there", kind(to.Type(), tag))
	}
}

func (d *decoder) object(x map[string]any, path string, to reflect.Value, depth int) {
	known := map[string]reflect.StructField{}
	var names []string
	for i := range to.NumField() {
		f := to.Type().Field(i)
		if name := f.Tag.Get("json"); name != "" && name != "-" {
			known[name] = f
			names = append(names, name)
		}
	}
	for _, name := range sorted(x) {
		f, ok := known[name]
		if !ok {
			d.ms.Add(path+"."+quoted(name), Shown(x[name]), "%s", Unknown(name, names))
			continue
		}
		if x[name] != nil { // null is the same as absent, so that a template can leave a key out
			d.value(x[name], path+"."+name, to.FieldByIndex(f.Index), f.Tag, depth+1)
		}
	}
	for _, name := range names {
		if known[name].Tag.Get("need") == "true" && x[name] == nil {
			d.ms.Add(path+"."+name, "", "is missing; %s belongs there", kind(known[name].Type, known[name].Tag))
		}
	}
}

func (d *decoder) number(node any, path string, to reflect.Value, tag reflect.StructTag) bool {
	n, ok := node.(json.Number)
	if !ok {
		return false
	}
	x, err := n.Float64()
	if err != nil || math.IsInf(x, 0) {
		d.ms.Add(path, Shown(node), "no number that can be held")
		return true
	}
	if to.Kind() != reflect.Float64 {
		if x != math.Trunc(x) || math.Abs(x) > 1<<53 {
			return false
		}
		to.SetInt(int64(x))
	} else {
		to.SetFloat(x)
	}
	low, hasLow := bound(tag, "min")
	high, hasHigh := bound(tag, "max")
	unit := ""
	if u := tag.Get("unit"); u != "" {
		unit = " " + u
	}
	switch {
	case hasLow && hasHigh && (x < low || x > high):
		d.ms.Add(path, Shown(node), "from %g to %g%s is right", low, high, unit)
	case hasLow && x < low:
		d.ms.Add(path, Shown(node), "at least %g%s is right", low, unit)
	case hasHigh && x > high:
		d.ms.Add(path, Shown(node), "at most %g%s is right", high, unit)
	}
	return true
}

func (d *decoder) text(x, path string, tag reflect.StructTag) {
	if choices := tag.Get("enum"); choices != "" {
		if all := strings.Split(choices, ","); !slices.Contains(all, x) {
			d.ms.Add(path, Shown(x), "%s", Unknown(x, all))
		}
	}
	d.length(len(x), path, tag)
}

func (d *decoder) length(n int, path string, tag reflect.StructTag) {
	if least, ok := bound(tag, "len"); ok && float64(n) < least {
		d.ms.Add(path, fmt.Sprintf("length %d", n), "at least %g is right", least)
	}
}

func bound(tag reflect.StructTag, name string) (float64, bool) {
	x, err := strconv.ParseFloat(tag.Get(name), 64)
	return x, err == nil
}

func kind(t reflect.Type, tag reflect.StructTag) string {
	unit := ""
	if u := tag.Get("unit"); u != "" {
		unit = " of " + u
	}
	switch t.Kind() {
	case reflect.Pointer:
		return kind(t.Elem(), tag)
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		if c := tag.Get("enum"); c != "" {
			return "one of " + strings.ReplaceAll(c, ",", ", ")
		}
		return "a text"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number" + unit
	}
	return "a number" + unit
}

// Unknown says of a name that is not among the known ones which is nearest, or which there are.
func Unknown(name string, known []string) string {
	best, at := "", nearest+1
	for _, k := range known {
		if n := levenshtein.ComputeDistance(strings.ToLower(name), strings.ToLower(k)); n < at && n < len(k) {
			best, at = k, n
		}
	}
	if best != "" {
		return fmt.Sprintf("%q is not known; is %q meant?", name, best)
	}
	shown := slices.Clone(known)
	slices.Sort(shown)
	if len(shown) > 12 {
		shown = append(shown[:12], "...")
	}
	return fmt.Sprintf("%q is not known; there are %s", name, strings.Join(shown, ", "))
}

// Shown is a value as messages show it, cut to a bound.
func Shown(node any) string {
	var text string
	switch x := node.(type) {
	case map[string]any:
		text = fmt.Sprintf("an object with %d keys", len(x))
	case []any:
		text = fmt.Sprintf("a list of %d", len(x))
	case string:
		text = strconv.Quote(x)
	case nil:
		text = "null"
	default:
		text = fmt.Sprint(x)
	}
	if len(text) > shownMost {
		text = text[:shownMost] + "..."
	}
	return text
}

func quoted(name string) string {
	for _, c := range name {
		if c != '_' && c != '-' && (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') {
			return strconv.Quote(name)
		}
	}
	return name
}

func sorted(x map[string]any) []string {
	names := make([]string, 0, len(x))
	for name := range x {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
