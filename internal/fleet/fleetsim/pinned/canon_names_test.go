package pinned

import (
	"reflect"
	"testing"

	"birchcart/internal/fleet/fleetsim/canontest"
)

// TestCanonNamesExist fails for a field that the canonical form or the copier names and that is not there, as after a rename.
func TestCanonNamesExist(t *testing.T) {
	names := canontest.Reachable(reflect.TypeFor[small]())
	for field := range fields {
		if !names.Fields[field] {
			t.Errorf("fields: there is no field %s", field)
		}
	}
	for field := range apart {
		if !names.Fields[field] {
			t.Errorf("apart: there is no field %s", field)
		}
	}
	for field := range groups {
		if !names.Fields[field] {
			t.Errorf("groups: there is no field %s", field)
		}
	}
}
