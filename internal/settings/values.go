// Package settings turns the settings of a deployment into the configuration of the decisions. It is the one
// place that does: the bench's adapter and the co-ordinator on sockets both come here.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

// wholeMost is the largest count that is read: up to it each whole number is a float64's.
const wholeMost = 1 << 53

// Values holds settings by path, as text. A plain list is one entry with several texts; a list of objects
// has its length under .count and its items under .0, .1 and so on.
type Values map[string][]string

// FromPairs reads path, value, path, value; the items of a plain list are set apart by commas.
func FromPairs(pairs []string) Values {
	v := make(Values, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		v[pairs[i]] = strings.Split(pairs[i+1], ",")
	}
	return v
}

// FromJSON reads a nested object.
func FromJSON(raw []byte) (Values, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var tree map[string]any
	if err := dec.Decode(&tree); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	v := Values{}
	v.add("", tree)
	return v, nil
}

func (v Values) add(path string, node any) {
	switch x := node.(type) {
	case nil:
	case map[string]any:
		if path != "" {
			path += "."
		}
		for name, child := range x {
			v.add(path+name, child)
		}
	case []any:
		items := []string{}
		for i, child := range x {
			switch child.(type) {
			case map[string]any, []any:
				v.add(path+"."+strconv.Itoa(i), child)
				v[path+".count"] = []string{strconv.Itoa(len(x))}
			default:
				items = append(items, fmt.Sprint(child))
			}
		}
		v[path] = items
	default:
		v[path] = []string{fmt.Sprint(x)}
	}
}

// Reader reads typed values and keeps the first error.
type Reader struct {
	Values Values
	Err    error
	read   map[string]bool // the paths that were read, if Track was called
}

// Track notes from now on which paths are read.
func (r *Reader) Track() { r.read = map[string]bool{} }

// Unread lists the paths that hold something and were not read since Track, rising.
func (r *Reader) Unread() []string {
	var out []string
	for path, x := range r.Values {
		if len(x) > 0 && !r.read[path] {
			out = append(out, path)
		}
	}
	slices.Sort(out)
	return out
}

// Read lists the paths that were read, rising; whether they hold something or not.
func (r *Reader) Read() []string { return slices.Sorted(maps.Keys(r.read)) }

func (r *Reader) at(path string) ([]string, bool) {
	if r.read != nil {
		r.read[path] = true
	}
	x, ok := r.Values[path]
	return x, ok
}

func (r *Reader) fail(path, want string) {
	if r.Err == nil {
		r.Err = fmt.Errorf("setting %q is not %s: %q", path, want, strings.Join(r.Values[path], ","))
	}
}

// Text returns a plain value, "" if it is absent.
func (r *Reader) Text(path string) string {
	if x, _ := r.at(path); len(x) > 0 {
		return x[0]
	}
	return ""
}

// Float returns a finite number.
func (r *Reader) Float(path string, absent float64) float64 {
	if _, ok := r.at(path); !ok {
		return absent
	}
	x, err := finite(r.Text(path))
	if err != nil {
		r.fail(path, "a number")
	}
	return x
}

// Int returns a whole number.
func (r *Reader) Int(path string, absent int) int {
	return r.whole(path, r.Float(path, float64(absent)))
}

func (r *Reader) whole(path string, x float64) int {
	if x != math.Trunc(x) || math.Abs(x) > wholeMost {
		r.fail(path, "a whole number")
		return 0
	}
	return int(x)
}

// finite reads a number; NaN and the infinities, which the standard library reads too, are none.
func finite(text string) (float64, error) {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, strconv.ErrRange
	}
	return x, nil
}

// Bool returns a truth value, false if it is absent.
func (r *Reader) Bool(path string) bool {
	switch r.Text(path) {
	case "true", "1":
		return true
	case "", "false", "0":
		return false
	}
	r.fail(path, "true or false")
	return false
}

// List returns the items of a plain list.
func (r *Reader) List(path string) []string {
	if x, _ := r.at(path); len(x) != 1 || x[0] != "" {
		return x
	}
	return nil
}

// Row reads the i-th number of a list that is given for each class.
func (r *Reader) Row(path string, i int, absent float64) float64 {
	items := r.List(path)
	if i >= len(items) {
		return absent
	}
	x, err := finite(items[i])
	if err != nil {
		r.fail(path, "a row of numbers")
	}
	return x
}

// WholeRow reads the i-th whole number of a list that is given for each class.
func (r *Reader) WholeRow(path string, i, absent int) int {
	return r.whole(path, r.Row(path, i, float64(absent)))
}
