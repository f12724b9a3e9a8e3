// Package canontest checks, in tests of the simulators, that what a canonical form names by strings exists: a name that fits
// no type or field would be passed over in silence, as after a rename.
package canontest

import "reflect"

// Names are the types that can be reached from some roots by fields, elements and pointers, and their fields.
type Names struct {
	Types  map[string]bool // "package.Type"
	Fields map[string]bool // "package.Type.Field"
}

// Reachable collects the names from the roots. What stands behind an interface is reached only from a root of its own.
func Reachable(roots ...reflect.Type) Names {
	n := Names{Types: map[string]bool{}, Fields: map[string]bool{}}
	seen := map[reflect.Type]bool{}
	for _, t := range roots {
		n.add(t, seen)
	}
	return n
}

func (n Names) add(t reflect.Type, seen map[reflect.Type]bool) {
	if seen[t] {
		return
	}
	seen[t] = true
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		n.add(t.Elem(), seen)
	case reflect.Map:
		n.add(t.Key(), seen)
		n.add(t.Elem(), seen)
	case reflect.Struct:
		n.Types[t.String()] = true
		for i := range t.NumField() {
			n.Fields[t.String()+"."+t.Field(i).Name] = true
			n.add(t.Field(i).Type, seen)
		}
	}
}
