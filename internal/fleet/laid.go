package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"birchcart/internal/fleet/atomicfile"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/view"
)

const (
	// LaidVersion of the file with the drains that are laid; another one is not read.
	LaidVersion = 1
	laidFile    = "laid.json"
	// LaidMost bytes of it; far more than all that may be out at once.
	LaidMost = 4 << 20
	// KeepEvery is between attempts to have the disk keep drains that it did not take. Twice as long: a grant is told so
	// much later once the disk has room again; half: twice the attempts at a full one.
	KeepEvery = time.Second
)

// laidDrains is what this co-ordinator keeps from new parts, on disk before it says so: a process that takes its place
// starts with them, before it takes its first query.
type laidDrains struct {
	Version int        `json:"version"`
	Drains  []laidLine `json:"drains"`
}

type laidLine struct {
	Machine string        `json:"machine"`
	Until   time.Duration `json:"until"` // agreed time; past it the drain is not taken over
	Era     uint64        `json:"era,omitempty"`
	Start   time.Duration `json:"start,omitempty"` // of the machine, when it was granted
	fence   uint64
}

// laidPath is in the folder of the start: another one in the file counts at the next.
func (n *Node) laidPath() string { return filepath.Join(n.dir, laidFile) }

// keepLaid lays what the process before had laid, until this one knows what was agreed.
func (n *Node) keepLaid() {
	kept, err := readLaid(n.laidPath(), time.Duration(time.Now().UnixNano()))
	if err != nil {
		n.log.WithError(err).Warn("the drains of the process before can't be read")
	}
	if n.kept = kept; len(kept) > 0 {
		n.log.WithField("drains", len(kept)).Info("the drains of the process before stay until this one knows what was agreed")
		n.laying++
		n.s.Exchange.Narrow(n.all(nil))
	}
}

func readLaid(path string, wall time.Duration) ([]laidLine, error) {
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var f laidDrains
	if len(raw) > LaidMost {
		return nil, fmt.Errorf("%s has %d bytes, %d at most", path, len(raw), LaidMost)
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if f.Version != LaidVersion {
		return nil, fmt.Errorf("%s is of version %d, known is %d", path, f.Version, LaidVersion)
	}
	return slices.DeleteFunc(f.Drains, func(l laidLine) bool { return l.Until <= wall }), nil
}

// lay has the exchange go by a set of drains, and the disk keep it. No step is made before both were tried. What the disk
// did not take is laid all the same, but not said as laid.
func (n *Node) lay(names []string) {
	n.drains = names
	n.laying += 2
	n.s.Exchange.Narrow(n.all(names))
	f := laidDrains{Version: LaidVersion, Drains: []laidLine{}}
	n.state.WithLock(func() {
		for _, name := range names {
			if it, ok := n.state.Maintenance.ActiveItem(name); ok {
				f.Drains = append(f.Drains, laidLine{name, it.Until, n.state.Machine.Epoch(), it.StartedAt, it.Fence})
			} else if i := slices.IndexFunc(n.keeping, func(k laidLine) bool { return k.Machine == name }); i >= 0 {
				f.Drains = append(f.Drains, n.keeping[i]) // of an era before
			}
		}
	})
	f.Drains = append(f.Drains, n.kept...)
	n.keeping, n.keepAt, n.unkept = f.Drains, n.now(), false
	path := n.laidPath()
	go func() {
		err := os.MkdirAll(filepath.Dir(path), 0o700)
		if err == nil {
			err = atomicfile.WriteJSON(path, f)
		}
		n.saved <- err
	}()
}

// sayable leaves out of what may be said as laid what would be lost by a restart: the disk does not have it yet.
func (n *Node) sayable(laid []view.DrainStatus) []view.DrainStatus {
	return slices.DeleteFunc(laid, func(l view.DrainStatus) bool {
		lost := !l.Rejected && slices.Contains(n.drains, l.Machine) && !slices.ContainsFunc(n.onDisk, func(k laidLine) bool {
			return k.Machine == l.Machine && k.fence == l.Fence
		})
		n.unkept = n.unkept || lost
		return lost
	})
}

// keepAgain has the disk asked again for what it did not take.
func (n *Node) keepAgain(now time.Duration) {
	if n.unkept && n.laying == 0 && now >= n.keepAt+KeepEvery {
		n.lay(n.drains)
	}
}

// all is a set of drains with those of the process before.
func (n *Node) all(names []string) []string {
	out := slices.Clone(names)
	for _, l := range n.kept {
		out = append(out, l.Machine)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (n *Node) savedLaid(err error) {
	n.laying--
	if err != nil { // the file of before may be there still, or not
		n.onDisk = nil
		n.lines.limited(n, n.now(), "the drains can't be kept on disk, and are not said as laid: "+err.Error())
		return
	}
	n.onDisk = n.keeping
}

// caughtUp lets the drains of the process before go once what was agreed is known, or their time is over.
func (n *Node) caughtUp() {
	if len(n.kept) == 0 || n.laying > 0 {
		return
	}
	wall := time.Duration(time.Now().UnixNano())
	left := slices.DeleteFunc(slices.Clone(n.kept), func(l laidLine) bool {
		back := false // one of an era before: the raft group of now can't say when its drain may go
		n.state.WithLock(func() {
			m, ok := n.state.Maintenance.Machine(l.Machine)
			back = max(l.Era, 1) >= n.state.Machine.Epoch() || ok && m.Status == maintenance.Up && m.Started > l.Start
		})
		return n.caught && back || l.Until <= wall
	})
	if len(left) != len(n.kept) {
		n.kept = left
		n.lay(n.drains)
	}
}
