package fleet

import (
	"fmt"

	"birchcart/internal/fleet/store"
)

// wireEpoch returns an epoch as it is sent. The first epoch is sent as 0, which is also what programs without epochs send.
func wireEpoch(epoch uint64) uint64 {
	if epoch <= 1 {
		return 0
	}
	return epoch
}

// supersede closes the local voter when a restored raft group of a newer epoch has replaced its raft group; the state of the
// old group is no longer valid. This co-ordinator then follows the new group and is added to it like any new voter.
func (n *Node) supersede(from string, epoch uint64) {
	if n.superseded || n.raftGroup == nil || n.raftGroup.LastIndex() == 0 {
		return // a voter that was only just added holds no log of an earlier group
	}
	n.superseded = true
	n.log.WithField("from", from).WithField("era", epoch).Warn("a raft group of a newer epoch replaced the one of this voter: its log is obsolete and is put aside")
	if n.term != 0 {
		n.stepDown()
	}
	n.closeVoter()
}

// archiveLog moves the files of a superseded voter to an archive folder, so that no voter opens them again. They are not deleted.
func (n *Node) archiveLog() {
	if !n.superseded {
		return
	}
	n.superseded = false
	dir := n.file.Fleet.Dir
	if err := store.Archive(dir, fmt.Sprintf("era-%d", n.state.Epoch())); err != nil {
		n.storeLost = true
		n.log.WithError(err).Error("archiving the obsolete raft log failed: this co-ordinator follows without a vote")
		return
	}
	n.storeLost = false
}
