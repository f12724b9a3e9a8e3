// Package grantsfile writes the file with grants that the site's tools read.
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
	// Version of the file.
	Version = 1
	// MaxItems in the file; those that ended longest ago are left out first.
	MaxItems = 4096
	// ItemRetention is how long, in agreed time, an ended item stays in the file. Twice as long: twice the file at the end of
	// a large swap; half: tools that look every few minutes miss an end.
	ItemRetention = 10 * time.Minute
	// WriteInterval is between two writings. Twice as long: tools see a grant so much later; half: twice the fsyncs.
	WriteInterval = 100 * time.Millisecond
)

// File is what the site's tools read. Grants are those that may be begun; Items show the state of all.
type File struct {
	Version int                `json:"version"`
	Name    string             `json:"name"`             // of the co-ordinator that wrote it
	Leader  string             `json:"leader,omitempty"` // as far as it is known here
	CutOff  bool               `json:"cut_off"`          // nothing was heard of the raft group for the lease: no grants are listed
	Index   uint64             `json:"index"`            // of what was agreed
	Now     time.Duration      `json:"now"`              // agreed time
	Grants  []Grant            `json:"grants"`
	Items   []maintenance.Item `json:"items"`
}

// Grant is one machine that may be worked on, once the work has begun before StartBefore.
type Grant struct {
	Machine     string    `json:"machine"`
	Fence       uint64    `json:"fence"` // of one machine's grants it grows: a tool that saw a higher one of that machine must not act on a lower
	Request     string    `json:"request"`
	Reason      string    `json:"reason"`
	StartBefore time.Time `json:"start_before"`
	Until       time.Time `json:"until"`
}

// NewGrant is the line of a grant.
func NewGrant(g view.Grant, reason string) Grant {
	return Grant{
		Machine: g.Machine, Fence: g.Fence, Request: g.Request, Reason: reason,
		StartBefore: time.Unix(0, int64(g.StartBefore)).UTC(), Until: time.Unix(0, int64(g.Until)).UTC(),
	}
}

// RecentItems are the items for the file: the open ones and those that ended lately.
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

// Writer replaces the grants file in a goroutine of its own: of several contents that wait the newest is written.
type Writer struct {
	path string
	log  *logrus.Entry
	next chan File
	done sync.WaitGroup
}

// NewWriter makes a writer of the file at a path; "" for none.
func NewWriter(path string, log *logrus.Entry) *Writer {
	w := &Writer{path: path, log: log, next: make(chan File, 1)}
	if path != "" {
		w.done.Go(w.run)
	}
	return w
}

// Put has a content written; it does not wait. It is called by one goroutine.
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

// Close waits until the newest content is written. Nothing may be put after it.
func (w *Writer) Close() {
	close(w.next)
	w.done.Wait()
}

func (w *Writer) run() {
	failed := false
	for f := range w.next {
		err := atomicfile.WriteJSON(w.path, f)
		if err != nil && !failed {
			w.log.WithError(err).Error("the grants file can't be written; it is tried again with the next change")
		}
		failed = err != nil
		time.Sleep(WriteInterval)
	}
}
