package discovery

import (
	"fmt"
)

// scanResult is what a piece of a watch comes to.
type scanResult int

const (
	needMore       scanResult = iota // more is needed
	foundHeartbeat                   // an empty line
	foundObject                      // raw holds one
)

// objectScanner cuts a body into its JSON objects, which may be laid out over lines, share one and come in pieces. Whether one
// is sound is for the parser to say. It keeps its place, so that no byte is looked at twice.
type objectScanner struct {
	object        []byte // what has come of the object, until the next one begins
	maxSize       int    // bytes of one
	depth         int    // of the braces and brackets that are open, 0 between objects
	inString      bool
	escaped       bool
	lineHasObject bool // the line holds an object or the end of one: its end is no empty line
}

// scan reads a piece up to what it finds first, and tells how far that is.
func (o *objectScanner) scan(piece []byte) (n int, result scanResult, err error) {
	start := 0 // of the object's bytes
	for i, b := range piece {
		if o.depth == 0 {
			switch b {
			case '{':
				o.object, o.depth, o.lineHasObject, start = o.object[:0], 1, true, i
			case '\n':
				heartbeat := !o.lineHasObject
				if o.lineHasObject = false; heartbeat {
					return i + 1, foundHeartbeat, nil
				}
			case ' ', '\t', '\r':
			default:
				return i, needMore, errNotObject
			}
			continue
		}
		if o.advance(b); o.depth == 0 {
			return i + 1, foundObject, o.append(piece[start : i+1])
		}
	}
	if o.depth > 0 {
		err = o.append(piece[start:])
	}
	return len(piece), needMore, err
}

// advance takes a byte of an object.
func (o *objectScanner) advance(b byte) {
	switch {
	case o.escaped:
		o.escaped = false
	case o.inString:
		o.escaped, o.inString = b == '\\', b != '"'
	case b == '"':
		o.inString = true
	case b == '{' || b == '[':
		o.depth++
	case b == '}' || b == ']':
		o.depth--
	}
}

func (o *objectScanner) append(bytes []byte) error {
	if o.object = append(o.object, bytes...); len(o.object) > o.maxSize {
		return fmt.Errorf("discovery: an object over %d bytes", o.maxSize)
	}
	return nil
}
