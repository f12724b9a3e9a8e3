package fleet

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/fleet/drainctl"
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
		Name: name, Dir: f.Fleet.Dir, Bind: bindOf(f.Fleet, own), Advertise: own.Address, Machine: &renewed{newCopy(), stopped}, Log: log,
	}, nil, 0)
}

// renewed is a copy whose snapshot, the one that the new council goes on from, is of a new era.
type renewed struct {
	*copied
	stopped time.Time
}

func (r *renewed) Apply(index uint64, raw []byte) error { return r.stateMachine.Apply(index, raw) }

func (r *renewed) Load(raw []byte) error { return r.stateMachine.Load(raw) }

func (r *renewed) Save() ([]byte, error) {
	limits, _ := r.order.Limits()
	now := time.Duration(time.Now().UnixNano())
	until := max(now, time.Duration(r.stopped.UnixNano())+drainctl.MaxGrantDuration(limits)+limits.SettleTime)
	if err := r.stateMachine.Renew(now, until); err != nil {
		return nil, err
	}
	return r.stateMachine.Save()
}
