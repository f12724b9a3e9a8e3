package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// Archive moves the raft group's files into a folder of that name beside them, so that no voter opens them again. They are kept.
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

// MaxArchives of one name; one more needs an operator to remove them.
const MaxArchives = 8
