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
	// Version is the version of the file format; files of other versions are rejected.
	Version = 1
	// FileName is the name of the file in the node's directory. It is stored, so it keeps the name of earlier versions.
	FileName = "laid.json"
	// MaxSize is the maximum size of the file in bytes, far more than all drains that may be active at once need.
	MaxSize = 4 << 20
)

// file is the content of the file.
type file struct {
	Version int     `json:"version"`
	Drains  []drain `json:"drains"`
}

// drain is a replica that gets no new requests, and the grant that it is drained for.
type drain struct {
	Machine string        `json:"machine"`
	Until   time.Duration `json:"until"` // agreed time after which the drain is not restored
	Epoch   uint64        `json:"era,omitempty"`
	Start   time.Duration `json:"start,omitempty"` // start time of the machine when the grant was made
	fence   uint64
}

// read returns the drains in the file that have not expired by the wall clock, and none if there is no file.
func read(path string, wall time.Duration) ([]drain, error) {
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if len(raw) > MaxSize {
		return nil, fmt.Errorf("%s has %d bytes, at most %d are allowed", path, len(raw), MaxSize)
	}
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if f.Version != Version {
		return nil, fmt.Errorf("%s has version %d, supported is version %d", path, f.Version, Version)
	}
	return slices.DeleteFunc(f.Drains, func(d drain) bool { return d.Until <= wall }), nil
}
