// Package atomicfile replaces files as a whole, so that a reader or a crash sees the old content or the new one.
package atomicfile

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
)

// WriteJSON replaces a file by the JSON of content, as a whole or not at all: it writes beside it first, syncs, and renames.
func WriteJSON(path string, content any) error {
	raw, err := json.MarshalIndent(content, "", " ")
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // gone already if it took its place
	_, err = f.Write(append(raw, '\n'))
	err = errors.Join(err, f.Chmod(0o644), f.Sync(), f.Close())
	if err != nil {
		return err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
