package drainstore

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"birchcart/internal/fleet/atomicfile"
)

// Drains of the previous process are read until they expire; another version and a truncated file are reported as errors.
func TestReadUnexpiredDrains(t *testing.T) {
	path := filepath.Join(t.TempDir(), "laid.json")
	if got, err := read(path, 0); err != nil || len(got) > 0 {
		t.Errorf("%v %v", got, err)
	}
	if err := atomicfile.WriteJSON(path, file{Version, []drain{{Machine: "a", Until: 10}, {Machine: "b", Until: 20, Epoch: 2}}}); err != nil {
		t.Fatal(err)
	}
	if got, err := read(path, 10); err != nil || !reflect.DeepEqual(got, []drain{{Machine: "b", Until: 20, Epoch: 2}}) {
		t.Errorf("%v %v", got, err)
	}
	for _, text := range []string{`{"version":2}`, `{"version":1,`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := read(path, 0); err == nil {
			t.Errorf("%s was read", text)
		}
	}
}

// A file written by an earlier version (7c55f5a) is read, and is written in the same form.
func TestFileFormatOfEarlierVersion(t *testing.T) {
	path := filepath.Join(t.TempDir(), FileName)
	old := `{
 "version": 1,
 "drains": [
  {
   "machine": "r1",
   "until": 30,
   "era": 2,
   "start": 5
  }
 ]
}
`
	if err := os.WriteFile(path, []byte(old), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := read(path, 0); err != nil || !reflect.DeepEqual(got, []drain{{Machine: "r1", Until: 30, Epoch: 2, Start: 5}}) {
		t.Errorf("%v %v", got, err)
	}
	again := filepath.Join(t.TempDir(), FileName)
	if err := atomicfile.WriteJSON(again, file{Version, []drain{{Machine: "r1", Until: 30, Epoch: 2, Start: 5, fence: 9}}}); err != nil {
		t.Fatal(err)
	}
	if raw, err := os.ReadFile(again); err != nil || string(raw) != old {
		t.Errorf("written as %s, %v", raw, err)
	}
}
