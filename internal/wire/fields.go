package wire

import (
	"fmt"
	"strconv"
	"strings"

	"birchcart/internal/settings"
)

// fields walks the name=value pairs of one line.
type fields struct {
	d    *Decoder
	rest string
	name string
	val  string
	err  error
}

func (f *fields) next() bool {
	if f.rest == "" || f.err != nil {
		return false
	}
	part, rest, _ := strings.Cut(f.rest, "\t")
	f.rest = rest
	var ok bool
	if f.name, f.val, ok = strings.Cut(part, "="); !ok {
		f.name = part
		f.fail("has no value")
		return false
	}
	return true
}

func (f *fields) fail(why string) {
	if f.err == nil {
		f.err = fmt.Errorf("line %d: field %q %s", f.d.line, f.name, why)
	}
}

func (f *fields) uint() uint64 {
	v, err := strconv.ParseUint(f.val, 10, 64)
	if err != nil {
		f.fail(fmt.Sprintf("is not a whole number: %q", f.val))
	}
	return v
}

func (f *fields) int() int {
	v, err := strconv.Atoi(f.val)
	if err != nil {
		f.fail(fmt.Sprintf("is not a whole number: %q", f.val))
	}
	return v
}

func (f *fields) float() float64 {
	v, err := strconv.ParseFloat(f.val, 64)
	if err != nil {
		f.fail(fmt.Sprintf("is not a number: %q", f.val))
	}
	return v
}

func (f *fields) bool() bool {
	switch f.val {
	case "1", "true":
		return true
	case "0", "false":
		return false
	}
	f.fail(fmt.Sprintf("is not 1 or 0: %q", f.val))
	return false
}

func (f *fields) floats() []float64 {
	if f.val == "" || f.val == "-" {
		return nil
	}
	items := strings.Split(f.val, ",")
	out := make([]float64, 0, len(items))
	for _, s := range items {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil {
			f.fail(fmt.Sprintf("is not a row of numbers: %q", f.val))
		}
		out = append(out, v)
	}
	return out
}

func (f *fields) place(names []string) int {
	if i := settings.Place(names, f.val); i >= 0 {
		return i
	}
	f.fail(fmt.Sprintf("names what the settings do not: %q", f.val))
	return -1
}
