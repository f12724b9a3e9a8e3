package fleet

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/view"
)

const (
	// GrantsVersion of the grants file.
	GrantsVersion = 1
	// ItemsMost in the grants file; those that ended longest ago are left out first.
	ItemsMost = 4096
	// ItemsFor is how long, in agreed time, an ended item stays in the file. Twice as long: twice the file at the end of
	// a large swap; half: tools that look every few minutes miss an end.
	ItemsFor = 10 * time.Minute
	// GrantsEvery is between two writings. Twice as long: tools see a grant so much later; half: twice the fsyncs.
	GrantsEvery = 100 * time.Millisecond
)

// grantsFile is what the site's tools read. Grants are those that may be begun; Items tell how all stands.
type grantsFile struct {
	Version int                `json:"version"`
	Name    string             `json:"name"`             // of the co-ordinator that wrote it
	Leader  string             `json:"leader,omitempty"` // as far as it is known here
	CutOff  bool               `json:"cut_off"`          // nothing was heard of the raft group for the lease: no grants are told
	Index   uint64             `json:"index"`            // of what was agreed
	Now     time.Duration      `json:"now"`              // agreed time
	Grants  []grantLine        `json:"grants"`
	Items   []maintenance.Item `json:"items"`
}

// grantLine is one machine that may be worked on, once the work has begun before StartBefore.
type grantLine struct {
	Machine     string    `json:"machine"`
	Fence       uint64    `json:"fence"` // of one machine's grants it grows: a tool that saw a higher one of that machine must not act on a lower
	Request     string    `json:"request"`
	Reason      string    `json:"reason"`
	StartBefore time.Time `json:"start_before"`
	Until       time.Time `json:"until"`
}

func line(g view.Grant, reason string) grantLine {
	return grantLine{
		Machine: g.Machine, Fence: g.Fence, Request: g.Request, Reason: reason,
		StartBefore: time.Unix(0, int64(g.StartBefore)).UTC(), Until: time.Unix(0, int64(g.Until)).UTC(),
	}
}

// shown are the items for the file: the open ones and those that ended lately.
func shown(items []maintenance.Item, now time.Duration) []maintenance.Item {
	out := slices.DeleteFunc(items, func(it maintenance.Item) bool { return it.EndedAt > 0 && now-it.EndedAt > ItemsFor })
	for i := 0; len(out) > ItemsMost && i < len(out); {
		if out[i].EndedAt > 0 {
			out = slices.Delete(out, i, i+1)
		} else {
			i++
		}
	}
	return out[:min(len(out), ItemsMost)]
}

// writer replaces the grants file in a goroutine of its own: of several contents that wait the newest is written.
type writer struct {
	path string
	log  *logrus.Entry
	next chan grantsFile
	done sync.WaitGroup
}

func newWriter(path string, log *logrus.Entry) *writer {
	w := &writer{path: path, log: log, next: make(chan grantsFile, 1)}
	if path != "" {
		w.done.Go(w.run)
	}
	return w
}

// put has a content written; it does not wait. It is called by one goroutine.
func (w *writer) put(f grantsFile) {
	if w.path == "" {
		return
	}
	select {
	case <-w.next:
	default:
	}
	w.next <- f
}

func (w *writer) close() {
	close(w.next)
	w.done.Wait()
}

func (w *writer) run() {
	failed := false
	for f := range w.next {
		err := replace(w.path, f)
		if err != nil && !failed {
			w.log.WithError(err).Error("the grants file can't be written; it is tried again with the next change")
		}
		failed = err != nil
		time.Sleep(GrantsEvery)
	}
}

// replace writes a file whole or not at all: beside it first, to the disk, and then in its place.
func replace(path string, content any) error {
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
