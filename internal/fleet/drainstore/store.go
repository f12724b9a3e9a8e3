// Package drainstore applies the view's drains to the exchange's endpoint list and keeps them on disk before they are reported, so
// that a process that takes this one's place starts with them, before it takes its first query.
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

// RetryInterval is between attempts to write drains that the disk did not take. Twice as long: a grant is acknowledged so much
// later once the disk has room again; half: twice the attempts at a full one.
const RetryInterval = time.Second

// Options of a store. Functions must not block.
type Options struct {
	Dir   string // of the start: another one in the operators' file counts at the next
	State *agreedstate.Copy
	Log   *logrus.Entry
	// Apply has the exchange go by a set of drains, which it confirms by a call of Applied in the store's goroutine.
	Apply func(machines []string)
	// Warn logs a line, a limited number of times.
	Warn func(text string)
}

// Store is used by one goroutine, which reads Saved and calls HandleSaved.
type Store struct {
	options Options
	saved   chan error // the newest set is on disk, or can't be

	wanted   []string // as the view wants them
	pending  int      // applications and writes without an end
	previous []drain  // of the process before, until this one has caught up
	onDisk   []drain  // the newest set that the disk took
	writing  []drain  // the set that it was asked for, at writeAt
	writeAt  time.Duration
	unsaved  bool // something may not be reported, since the disk does not have it
}

// New makes an empty store.
func New(o Options) *Store { return &Store{options: o, saved: make(chan error, 1)} }

// Path of the file.
func (s *Store) Path() string { return filepath.Join(s.options.Dir, FileName) }

// Busy says that a set is not applied or written yet. The owner makes no step meanwhile.
func (s *Store) Busy() bool { return s.pending > 0 }

// Applied is the exchange's confirmation that it goes by the newest set.
func (s *Store) Applied() { s.pending-- }

// Saved gives the outcome of each write, for HandleSaved.
func (s *Store) Saved() <-chan error { return s.saved }

// Restore applies what the process before had applied, until this one knows what was agreed.
func (s *Store) Restore() {
	previous, err := read(s.Path(), time.Duration(time.Now().UnixNano()))
	if err != nil {
		s.options.Log.WithError(err).Warn("the drains of the process before can't be read")
	}
	if s.previous = previous; len(previous) > 0 {
		s.options.Log.WithField("drains", len(previous)).Info("the drains of the process before stay until this one knows what was agreed")
		s.pending++
		s.options.Apply(s.withPrevious(nil))
	}
}

// Set has the exchange go by a set of drains, and the disk keep it. The owner makes no step before both were tried. What the disk
// did not take is applied all the same, but not reported as applied.
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

// grantsOf gives the machines' drains with their grants, and those of the process before.
func (s *Store) grantsOf(machines []string) []drain {
	drains := []drain{}
	s.options.State.WithLock(func() {
		for _, name := range machines {
			if it, ok := s.options.State.Maintenance.ActiveItem(name); ok {
				drains = append(drains, drain{name, it.Until, s.options.State.Machine.Epoch(), it.StartedAt, it.Fence})
			} else if i := slices.IndexFunc(s.writing, func(d drain) bool { return d.Machine == name }); i >= 0 {
				drains = append(drains, s.writing[i]) // of an earlier epoch
			}
		}
	})
	return append(drains, s.previous...)
}

// HandleSaved takes the outcome of a write.
func (s *Store) HandleSaved(err error) {
	s.pending--
	if err != nil { // the file of before may be there still, or not
		s.onDisk = nil
		s.options.Warn("the drains can't be kept on disk, and are not reported as applied: " + err.Error())
		return
	}
	s.onDisk = s.writing
}

// Reportable leaves out of what may be reported as applied what would be lost by a restart: the disk does not have it yet.
func (s *Store) Reportable(statuses []view.DrainStatus) []view.DrainStatus {
	return slices.DeleteFunc(statuses, func(status view.DrainStatus) bool {
		lost := !status.Rejected && slices.Contains(s.wanted, status.Machine) && !slices.ContainsFunc(s.onDisk, func(d drain) bool {
			return d.Machine == status.Machine && d.fence == status.Fence
		})
		s.unsaved = s.unsaved || lost
		return lost
	})
}

// Retry asks the disk again for what it did not take.
func (s *Store) Retry(now time.Duration) {
	if s.unsaved && s.pending == 0 && now >= s.writeAt+RetryInterval {
		s.Set(now, s.wanted)
	}
}

// DropPrevious lets the drains of the process before go once this one has caught up with what was agreed, or their time is over.
func (s *Store) DropPrevious(now time.Duration, caughtUp bool) {
	if len(s.previous) == 0 || s.pending > 0 {
		return
	}
	wall := time.Duration(time.Now().UnixNano())
	left := slices.DeleteFunc(slices.Clone(s.previous), func(d drain) bool {
		return caughtUp && s.canDrop(d) || d.Until <= wall
	})
	if len(left) != len(s.previous) {
		s.previous = left
		s.Set(now, s.wanted)
	}
}

// canDrop says that the agreed state knows of the drain's grant, or that its machine has come back. Of an earlier epoch the raft
// group of now can't say when its drain may go.
func (s *Store) canDrop(d drain) (over bool) {
	state := s.options.State
	state.WithLock(func() {
		m, ok := state.Maintenance.Machine(d.Machine)
		over = max(d.Epoch, 1) >= state.Machine.Epoch() || ok && m.Status == maintenance.Up && m.Started > d.Start
	})
	return over
}

// withPrevious is a set of drains with those of the process before.
func (s *Store) withPrevious(machines []string) []string {
	all := slices.Clone(machines)
	for _, d := range s.previous {
		all = append(all, d.Machine)
	}
	slices.Sort(all)
	return slices.Compact(all)
}
