package discovery

import (
	"errors"
	"fmt"
)

var errNoObject = errors.New("discovery: something else than an object")

// found is what a piece of a watch comes to.
type found int

const (
	foundNothing found = iota // more is needed
	foundPulse                // an empty line
	foundObject               // raw holds one
)

// objects cuts a body into its JSON objects, which may be laid out over lines, share one and come in pieces. Whether one
// is sound is for the parser to say. It keeps its place, so that no byte is looked at twice.
type objects struct {
	raw     []byte // what has come of the object, until the next one begins
	most    int    // bytes of one
	depth   int    // of the braces and brackets that are open, 0 between objects
	quoted  bool
	escaped bool
	used    bool // the line holds an object or the end of one: its end is no empty line
}

// scan reads a piece up to what it finds first, and tells how far that is.
func (o *objects) scan(piece []byte) (n int, what found, err error) {
	from := 0 // of the object's bytes
	for i, b := range piece {
		if o.depth == 0 {
			switch b {
			case '{':
				o.raw, o.depth, o.used, from = o.raw[:0], 1, true, i
			case '\n':
				pulse := !o.used
				if o.used = false; pulse {
					return i + 1, foundPulse, nil
				}
			case ' ', '\t', '\r':
			default:
				return i, foundNothing, errNoObject
			}
			continue
		}
		if o.inside(b); o.depth == 0 {
			return i + 1, foundObject, o.keep(piece[from : i+1])
		}
	}
	if o.depth > 0 {
		err = o.keep(piece[from:])
	}
	return len(piece), foundNothing, err
}

// inside takes a byte of an object.
func (o *objects) inside(b byte) {
	switch {
	case o.escaped:
		o.escaped = false
	case o.quoted:
		o.escaped, o.quoted = b == '\\', b != '"'
	case b == '"':
		o.quoted = true
	case b == '{' || b == '[':
		o.depth++
	case b == '}' || b == ']':
		o.depth--
	}
}

func (o *objects) keep(bytes []byte) error {
	if o.raw = append(o.raw, bytes...); len(o.raw) > o.most {
		return fmt.Errorf("discovery: an object over %d bytes", o.most)
	}
	return nil
}
