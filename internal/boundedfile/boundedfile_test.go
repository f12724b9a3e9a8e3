package boundedfile

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A file up to the limit is read whole; a longer one, also one without an end, is refused by its name.
func TestReadIsBounded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte("0123456789"), 0o600); err != nil {
		t.Fatal(err)
	}
	if raw, err := Read(path, 10); err != nil || string(raw) != "0123456789" {
		t.Errorf("a file as long as the limit: %q, %v", raw, err)
	}
	for _, tooLong := range []string{path, "/dev/zero"} {
		if raw, err := Read(tooLong, 9); err == nil || raw != nil || !strings.Contains(err.Error(), tooLong+" is longer than 9 bytes") {
			t.Errorf("%s: %q, %v", tooLong, raw, err)
		}
	}
	if _, err := Read(filepath.Join(t.TempDir(), "none"), 9); !os.IsNotExist(err) {
		t.Errorf("a missing file: %v", err)
	}
}
