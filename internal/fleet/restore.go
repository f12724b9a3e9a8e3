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

// Restore creates a raft group of one voter from that voter's store, after the disks of a majority were lost for good. The voter
// must not be running. Once started it leads, and adds the other voters of its file one at a time after they have started with
// empty folders. Entries that only the lost disks held are gone.
//
// The restored group begins a new epoch: all other copies replace their state by the new group's, even if their index is higher,
// and all grants of the old group end. stopped is a time by which all voters of the old group had stopped: the current
// time, if they have stopped by now. Nothing is granted until every grant that the old group may have given by then has expired.
func Restore(name string, f *operator.File, stopped time.Time, log *logrus.Entry) error {
	if f == nil || f.Fleet == nil {
		return errors.New("operators' file: no fleet section")
	}
	own, ok := f.Fleet.Voters[name]
	if !ok {
		return fmt.Errorf("operators' file: $.fleet.voters: %s is not among them", name)
	}
	// Opening would create a missing store, and the next start would take it for one that was never lost.
	if _, err := os.Stat(filepath.Join(f.Fleet.Dir, store.File)); err != nil {
		return fmt.Errorf("operators' file: $.fleet.dir: %s holds no raft group: %w", f.Fleet.Dir, err)
	}
	return raftgroup.Restore(raftgroup.Options{
		Name: name, Dir: f.Fleet.Dir, Bind: bindAddress(f.Fleet, own), Advertise: own.Address, Machine: &agreedstate.Restored{Copy: agreedstate.New(), StoppedBy: stopped}, Log: log,
	}, nil, 0)
}
