// Package drainstore applies the view's drains to the exchange's endpoint list and writes them to disk before they are reported,
// so that a process that replaces this one starts with them before it takes its first query.
package drainstore

import (
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/fleet/agreedstate"
	"birchcart/internal/fleet/atomicfile"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/view"
)

// RetryInterval is the time between attempts to write drains after a failed write. Twice as long would delay the acknowledgement
// of a grant by that much once the disk has space again; half as long would double the attempts on a full disk.
const RetryInterval = time.Second

// Options configures a store. Its functions must not block.
type Options struct {
	Dir   string // as configured at the start: a change in the operators' file takes effect at the next start
	State *agreedstate.Copy
	Log   *logrus.Entry
	// Apply makes the exchange use a set of drains. The exchange confirms it by a call of Applied in the store's goroutine.
	Apply func(machines []string)
	// Warn logs a line. The number of lines is limited.
	Warn func(text string)
}

// Store applies and saves the drains of a node. It is used by one goroutine, which receives from Saved and calls HandleSaved.
type Store struct {
	options Options
	saved   chan error // outcomes of writes

	wanted   []string // machines that the view wants drained
	pending  int      // unconfirmed applications and unfinished writes
	previous []drain  // drains of the previous process, until this one has caught up
	onDisk   []drain  // latest set that was written
	writing  []drain  // latest set whose write was started, at writeAt
	writeAt  time.Duration
	unsaved  bool // a drain was withheld from a report because it is not on disk
}

// New returns an empty store.
func New(o Options) *Store { return &Store{options: o, saved: make(chan error, 1)} }

// Path returns the path of the file.
func (s *Store) Path() string { return filepath.Join(s.options.Dir, FileName) }

// Busy reports whether a set is not applied or written yet. The owner must not step meanwhile.
func (s *Store) Busy() bool { return s.pending > 0 }

// Applied records the exchange's confirmation that it uses the latest set.
func (s *Store) Applied() { s.pending-- }

// Saved returns the channel that delivers the outcome of each write, for HandleSaved.
func (s *Store) Saved() <-chan error { return s.saved }

// Restore applies the drains of the previous process until this one knows the agreed state.
func (s *Store) Restore() {
	previous, err := read(s.Path(), time.Duration(time.Now().UnixNano()))
	if err != nil {
		s.options.Log.WithError(err).Warn("cannot read the drains of the previous process")
	}
	if s.previous = previous; len(previous) > 0 {
		s.options.Log.WithField("drains", len(previous)).Info("the drains of the process before stay until this one knows what was agreed")
		s.pending++
		s.options.Apply(s.withPrevious(nil))
	}
}

// Set makes the exchange use a set of drains and writes it to disk. The owner must not step before both have been tried. Drains
// that cannot be written are applied all the same, but not reported as applied.
func (s *Store) Set(now time.Duration, machines []string) {
	s.wanted = machines
	s.pending += 2
	s.options.Apply(s.withPrevious(machines))
	f := file{Version: Version, Drains: s.grantsOf(machines)}
	s.writing, s.writeAt, s.unsaved = f.Drains, now, false
	path := s.Path()
	go func() {
		err := os.MkdirAll(filepath.Dir(path), 0o700)
		if err == nil {
			err = atomicfile.WriteJSON(path, f)
		}
		s.saved <- err
	}()
}

// grantsOf returns the machines' drains with their grants, and the drains of the previous process.
func (s *Store) grantsOf(machines []string) []drain {
	drains := []drain{}
	s.options.State.WithLock(func() {
		for _, name := range machines {
			if it, ok := s.options.State.Maintenance.ActiveItem(name); ok {
				drains = append(drains, drain{name, it.Until, s.options.State.Machine.Epoch(), it.StartedAt, it.Fence})
			} else if i := slices.IndexFunc(s.writing, func(d drain) bool { return d.Machine == name }); i >= 0 {
				drains = append(drains, s.writing[i]) // granted in an earlier epoch
			}
		}
	})
	return append(drains, s.previous...)
}

// HandleSaved processes the outcome of a write.
func (s *Store) HandleSaved(err error) {
	s.pending--
	if err != nil { // the previous file may or may not still exist
		s.onDisk = nil
		s.options.Warn("the drains can't be kept on disk, and are not reported as applied: " + err.Error())
		return
	}
	s.onDisk = s.writing
}

// Reportable removes the drains that must not be reported as applied because they are not on disk yet and a restart would lose
// them.
func (s *Store) Reportable(statuses []view.DrainStatus) []view.DrainStatus {
	return slices.DeleteFunc(statuses, func(status view.DrainStatus) bool {
		unsaved := !status.Rejected && slices.Contains(s.wanted, status.Machine) && !slices.ContainsFunc(s.onDisk, func(d drain) bool {
			return d.Machine == status.Machine && d.fence == status.Fence
		})
		s.unsaved = s.unsaved || unsaved
		return unsaved
	})
}

// Retry writes the drains again after a failed write.
func (s *Store) Retry(now time.Duration) {
	if s.unsaved && s.pending == 0 && now >= s.writeAt+RetryInterval {
		s.Set(now, s.wanted)
	}
}

// DropPrevious drops the drains of the previous process once this one has caught up with the agreed state, or once they have
// expired.
func (s *Store) DropPrevious(now time.Duration, caughtUp bool) {
	if len(s.previous) == 0 || s.pending > 0 {
		return
	}
	wall := time.Duration(time.Now().UnixNano())
	remaining := slices.DeleteFunc(slices.Clone(s.previous), func(d drain) bool {
		return caughtUp && s.canDrop(d) || d.Until <= wall
	})
	if len(remaining) != len(s.previous) {
		s.previous = remaining
		s.Set(now, s.wanted)
	}
}

// canDrop reports whether the drain may be dropped: the agreed state knows its grant, or its machine has returned. The current
// raft group cannot decide when a drain of an earlier epoch may end.
func (s *Store) canDrop(d drain) (over bool) {
	state := s.options.State
	state.WithLock(func() {
		m, ok := state.Maintenance.Machine(d.Machine)
		over = max(d.Epoch, 1) >= state.Machine.Epoch() || ok && m.Status == maintenance.Up && m.Started > d.Start
	})
	return over
}

// withPrevious returns the machines together with those of the previous process's drains.
func (s *Store) withPrevious(machines []string) []string {
	all := slices.Clone(machines)
	for _, d := range s.previous {
		all = append(all, d.Machine)
	}
	slices.Sort(all)
	return slices.Compact(all)
}
