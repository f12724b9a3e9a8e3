package discovery

import (
	"fmt"
)

// scanResult tells what objectScanner.scan has found.
type scanResult int

const (
	needMore       scanResult = iota // the piece ends before an object or a heartbeat is complete
	foundHeartbeat                   // an empty line
	foundObject                      // the object field holds a complete object
)

// objectScanner splits a response body into JSON objects. An object may span several lines, share a line with others and
// arrive in several pieces. The scanner finds only where an object ends; Parse validates it. The scanner keeps its state between
// pieces, so each byte is scanned once.
type objectScanner struct {
	object        []byte // bytes of the current object; kept until the next object begins
	maxSize       int    // limit on the bytes of one object
	depth         int    // number of open braces and brackets, 0 between objects
	inString      bool
	escaped       bool
	lineHasObject bool // the line holds an object or part of one, so its newline is not a heartbeat
}

// scan reads a piece up to the first object end or heartbeat, and returns the number of bytes read.
func (o *objectScanner) scan(piece []byte) (n int, result scanResult, err error) {
	start := 0 // where the bytes of the object begin in the piece
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

// advance updates the nesting depth and the string state by one byte of an object.
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

// append adds bytes to the current object, up to the size limit.
func (o *objectScanner) append(bytes []byte) error {
	if o.object = append(o.object, bytes...); len(o.object) > o.maxSize {
		return fmt.Errorf("discovery: JSON object exceeds %d bytes", o.maxSize)
	}
	return nil
}
