package agreedstate

import (
	"time"

	"birchcart/internal/fleet/drainctl"
)

// Restored is a copy whose snapshot, the one that a restored raft group goes on from, begins a new epoch.
type Restored struct {
	*Copy
	StoppedBy time.Time // when the voters of the raft group before had stopped at the latest
}

// Apply implements raftgroup's machine.
func (r *Restored) Apply(index uint64, raw []byte) error { return r.Machine.Apply(index, raw) }

// Load implements raftgroup's machine.
func (r *Restored) Load(raw []byte) error { return r.Machine.Load(raw) }

// Save implements raftgroup's machine: nothing is granted in the new epoch before all that was granted in the old one is over.
func (r *Restored) Save() ([]byte, error) {
	limits, _ := r.Maintenance.Limits()
	now := time.Duration(time.Now().UnixNano())
	until := max(now, time.Duration(r.StoppedBy.UnixNano())+drainctl.MaxGrantDuration(limits)+limits.SettleTime)
	if err := r.Machine.Renew(now, until); err != nil {
		return nil, err
	}
	return r.Machine.Save()
}
