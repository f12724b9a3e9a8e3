package agreedstate

import (
	"time"

	"birchcart/internal/fleet/drainctl"
)

// Restored is a copy that begins a new epoch when it is saved. A restored raft group starts from that snapshot.
type Restored struct {
	*Copy
	StoppedBy time.Time // time by which all voters of the replaced raft group had stopped
}

// Apply implements the state machine of package raftgroup.
func (r *Restored) Apply(index uint64, raw []byte) error { return r.Machine.Apply(index, raw) }

// Load implements the state machine of package raftgroup.
func (r *Restored) Load(raw []byte) error { return r.Machine.Load(raw) }

// Save implements the state machine of package raftgroup. It begins the new epoch, in which nothing is granted until all grants of
// the old epoch have expired.
func (r *Restored) Save() ([]byte, error) {
	limits, _ := r.Maintenance.Limits()
	now := time.Duration(time.Now().UnixNano())
	until := max(now, time.Duration(r.StoppedBy.UnixNano())+drainctl.MaxGrantDuration(limits)+limits.SettleTime)
	if err := r.Machine.Renew(now, until); err != nil {
		return nil, err
	}
	return r.Machine.Save()
}
