package fleetsim

import (
	"reflect"
	"testing"

	"birchcart/internal/fleet/fleetsim/canontest"
)

// TestCanonNamesExist fails for a type or field that the canonical form names and that is not there, as after a rename.
func TestCanonNamesExist(t *testing.T) {
	names := canontest.Reachable(reflect.TypeFor[small]())
	for field := range modes {
		if !names.Fields[field] {
			t.Errorf("modes: there is no field %s", field)
		}
	}
	for typ, briefs := range brief {
		if !names.Types[typ] {
			t.Errorf("brief: there is no type %s", typ)
		}
		for _, b := range briefs {
			for _, field := range b.fields {
				if !names.Fields[typ+"."+field] {
					t.Errorf("brief: %s has no field %s", typ, field)
				}
			}
		}
	}
	for _, typ := range []string{"view.pollState", "view.sentPoll"} { // told apart in canon.value
		if !names.Types[typ] {
			t.Errorf("canon.value: there is no type %s", typ)
		}
	}
}
