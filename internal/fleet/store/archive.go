package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// Archive moves the raft group's files in dir to a new subdirectory, so that no voter opens them again. The files are kept. The
// subdirectory is called name, or name-2 and so on if that exists.
func Archive(dir, name string) error {
	to := filepath.Join(dir, name)
	for i := 2; ; i++ {
		err := os.Mkdir(to, 0o700)
		if err == nil {
			break
		}
		if !errors.Is(err, fs.ErrExist) || i > MaxArchives {
			return err
		}
		to = filepath.Join(dir, fmt.Sprintf("%s-%d", name, i))
	}
	for _, file := range []string{File, SnapshotDir} {
		if err := os.Rename(filepath.Join(dir, file), filepath.Join(to, file)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return nil
}

// MaxArchives limits the archives with the same name. Beyond it, Archive fails until an operator removes some.
const MaxArchives = 8
