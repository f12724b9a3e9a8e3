package fleet

import (
	"fmt"

	"birchcart/internal/fleet/store"
)

// wireEpoch is an epoch as it is sent: the first is left out, as by programs that know of none.
func wireEpoch(epoch uint64) uint64 {
	if epoch <= 1 {
		return 0
	}
	return epoch
}

// supersede closes a voter in a raft group that another one, set up anew, has replaced: what this one holds counts for
// nothing any more. It follows the new one then, and is added as any new voter.
func (n *Node) supersede(from string, epoch uint64) {
	if n.superseded || n.raftGroup == nil || n.raftGroup.LastIndex() == 0 {
		return // one that was only just added has nothing of an earlier group
	}
	n.superseded = true
	n.log.WithField("from", from).WithField("era", epoch).Warn("the raft group was set up anew without this voter: its own log is of before, and is put aside")
	if n.term != 0 {
		n.stepDown()
	}
	n.closeVoter()
}

// archiveLog moves the files of a superseded voter to where no voter opens them again. They are kept.
func (n *Node) archiveLog() {
	if !n.superseded {
		return
	}
	n.superseded = false
	dir := n.file.Fleet.Dir
	if err := store.Archive(dir, fmt.Sprintf("era-%d", n.state.Epoch())); err != nil {
		n.storeLost = true
		n.log.WithError(err).Error("the log of before can't be put aside: this co-ordinator follows without a vote")
		return
	}
	n.storeLost = false
}
