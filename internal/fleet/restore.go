package fleet

import (
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"

	"birchcart/internal/fleet/council"
	"birchcart/internal/operator"
)

// Restore makes a council of one voter from what its store holds, after the disks of a majority were lost for good. The
// voter must not run. Started, it leads, and lets the other voters of its file in, one at a time, once they have started
// with empty folders. What only the lost disks held is gone.
func Restore(name string, f *operator.File, log *logrus.Entry) error {
	if f == nil || f.Fleet == nil {
		return errors.New("operators' file: no fleet section")
	}
	own, ok := f.Fleet.Voters[name]
	if !ok {
		return fmt.Errorf("operators' file: $.fleet.voters: %s is none of them", name)
	}
	return council.Restore(council.Options{
		Name: name, Dir: f.Fleet.Dir, Bind: bindOf(f.Fleet, own), Advertise: own.Address, Machine: newCopy().ledger, Log: log,
	}, nil, 0)
}
