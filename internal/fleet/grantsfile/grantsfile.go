// Package grantsfile writes the file of maintenance grants that the site's tools read.
package grantsfile

import (
	"slices"
	"sync"
	"time"

	"birchcart/internal/fleet/atomicfile"

	"github.com/sirupsen/logrus"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/view"
)

const (
	// Version is the format version of the file.
	Version = 1
	// MaxItems is the maximum number of items in the file; the items that ended longest ago are left out first.
	MaxItems = 4096
	// ItemRetention is how long, in agreed time, an ended item stays in the file. Twice as long doubles the file at the
	// end of a large swap; with half, tools that read it every few minutes miss ended items.
	ItemRetention = 10 * time.Minute
	// WriteInterval is the minimum time between writes. Twice as long delays grants by as much; half doubles the fsyncs.
	WriteInterval = 100 * time.Millisecond
)

// File is the content of the file. Grants are those whose work may begin; Items show the state of all work.
type File struct {
	Version int                `json:"version"`
	Name    string             `json:"name"`             // of the co-ordinator that wrote it
	Leader  string             `json:"leader,omitempty"` // last known leader
	CutOff  bool               `json:"cut_off"`          // no reply of the raft group for the length of the lease: no grants are listed
	Index   uint64             `json:"index"`            // index of the agreed state
	Now     time.Duration      `json:"now"`              // agreed time
	Grants  []Grant            `json:"grants"`
	Items   []maintenance.Item `json:"items"`
}

// Grant allows work on one machine until Until, if the work begins before StartBefore.
type Grant struct {
	Machine     string    `json:"machine"`
	Fence       uint64    `json:"fence"` // increases with each grant of a machine: a tool that saw a higher fence of that machine must not act on a lower one
	Request     string    `json:"request"`
	Reason      string    `json:"reason"`
	StartBefore time.Time `json:"start_before"`
	Until       time.Time `json:"until"`
}

// NewGrant converts a grant of the view to its form in the file.
func NewGrant(g view.Grant, reason string) Grant {
	return Grant{
		Machine: g.Machine, Fence: g.Fence, Request: g.Request, Reason: reason,
		StartBefore: time.Unix(0, int64(g.StartBefore)).UTC(), Until: time.Unix(0, int64(g.Until)).UTC(),
	}
}

// RecentItems returns the items for the file: the open ones and those that ended within ItemRetention, MaxItems at most.
func RecentItems(items []maintenance.Item, now time.Duration) []maintenance.Item {
	out := slices.DeleteFunc(items, func(it maintenance.Item) bool { return it.EndedAt > 0 && now-it.EndedAt > ItemRetention })
	for i := 0; len(out) > MaxItems && i < len(out); {
		if out[i].EndedAt > 0 {
			out = slices.Delete(out, i, i+1)
		} else {
			i++
		}
	}
	return out[:min(len(out), MaxItems)]
}

// Writer replaces the grants file in a separate goroutine. If several contents wait, only the newest is written.
type Writer struct {
	path string
	log  *logrus.Entry
	next chan File
	done sync.WaitGroup
}

// NewWriter returns a writer of the file at path; with an empty path it writes nothing.
func NewWriter(path string, log *logrus.Entry) *Writer {
	w := &Writer{path: path, log: log, next: make(chan File, 1)}
	if path != "" {
		w.done.Go(w.run)
	}
	return w
}

// Put queues a content to be written, without blocking. Only one goroutine may call it.
func (w *Writer) Put(f File) {
	if w.path == "" {
		return
	}
	select {
	case <-w.next:
	default:
	}
	w.next <- f
}

// Close waits until the newest content is written. Put must not be called after it.
func (w *Writer) Close() {
	close(w.next)
	w.done.Wait()
}

func (w *Writer) run() {
	failed := false
	for f := range w.next {
		err := atomicfile.WriteJSON(w.path, f)
		if err != nil && !failed {
			w.log.WithError(err).Error("the grants file can't be written; the next change retries it")
		}
		failed = err != nil
		time.Sleep(WriteInterval)
	}
}
