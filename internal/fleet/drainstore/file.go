package drainstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"time"
)

const (
	// Version of the file; another one is not read.
	Version = 1
	// FileName in the node's folder. It is stored, so it keeps the name of earlier versions.
	FileName = "laid.json"
	// MaxSize of the file in bytes; far more than all that may be out at once.
	MaxSize = 4 << 20
)

// file is what is on disk.
type file struct {
	Version int     `json:"version"`
	Drains  []drain `json:"drains"`
}

// drain is one replica that gets nothing new, and the grant that it is for.
type drain struct {
	Machine string        `json:"machine"`
	Until   time.Duration `json:"until"` // agreed time; past it the drain is not taken over
	Epoch   uint64        `json:"era,omitempty"`
	Start   time.Duration `json:"start,omitempty"` // of the machine, when it was granted
	fence   uint64
}

// read gives the drains of the file whose time is not over by the wall's clock; no file, no drains.
func read(path string, wall time.Duration) ([]drain, error) {
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if len(raw) > MaxSize {
		return nil, fmt.Errorf("%s has %d bytes, %d at most", path, len(raw), MaxSize)
	}
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if f.Version != Version {
		return nil, fmt.Errorf("%s is of version %d, known is %d", path, f.Version, Version)
	}
	return slices.DeleteFunc(f.Drains, func(d drain) bool { return d.Until <= wall }), nil
}
