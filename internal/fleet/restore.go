package fleet

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"birchcart/internal/fleet/agreedstate"

	"github.com/sirupsen/logrus"

	"birchcart/internal/fleet/raftgroup"
	"birchcart/internal/fleet/store"
	"birchcart/internal/operator"
)

// Restore makes a raft group of one voter from what its store holds, after the disks of a majority were lost for good. The
// voter must not run. Started, it leads, and lets the other voters of its file in, one at a time, once they have started
// with empty folders. What only the lost disks held is gone.
//
// A new era begins with it: all other copies, ahead or not, take the new raft group's state in place of their own, and what
// was granted by the old one ends. The old raft group's voters must have stopped by stopped at the latest; it is now where
// the clock says so. Nothing is granted before what it may have granted then is over.
func Restore(name string, f *operator.File, stopped time.Time, log *logrus.Entry) error {
	if f == nil || f.Fleet == nil {
		return errors.New("operators' file: no fleet section")
	}
	own, ok := f.Fleet.Voters[name]
	if !ok {
		return fmt.Errorf("operators' file: $.fleet.voters: %s is none of them", name)
	}
	// Opening would make one where there is none, and the next start would take it for a store that was never lost.
	if _, err := os.Stat(filepath.Join(f.Fleet.Dir, store.File)); err != nil {
		return fmt.Errorf("operators' file: $.fleet.dir: %s holds no raft group: %w", f.Fleet.Dir, err)
	}
	return raftgroup.Restore(raftgroup.Options{
		Name: name, Dir: f.Fleet.Dir, Bind: bindAddress(f.Fleet, own), Advertise: own.Address, Machine: &agreedstate.Restored{Copy: agreedstate.New(), StoppedBy: stopped}, Log: log,
	}, nil, 0)
}
