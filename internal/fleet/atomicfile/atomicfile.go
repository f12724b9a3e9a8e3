// Package atomicfile replaces files atomically: a reader, or a start after a crash, sees either the old content or the new one.
package atomicfile

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
)

// WriteJSON atomically replaces a file by the JSON encoding of content: it writes a temporary file in the same folder, syncs and renames it.
func WriteJSON(path string, content any) error {
	raw, err := json.MarshalIndent(content, "", " ")
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // fails harmlessly after the rename
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
