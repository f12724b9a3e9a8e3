// Package boundedfile reads small files without trusting their size, which may be anything if the path leads to the wrong file.
package boundedfile

import (
	"fmt"
	"io"
	"os"
)

// Read returns the contents of a file, or an error that names the file if it is longer than limit bytes.
func Read(path string, limit int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(raw)) > limit {
		return nil, fmt.Errorf("%s is longer than %d bytes", path, limit)
	}
	return raw, nil
}
