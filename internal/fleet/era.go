package fleet

import (
	"fmt"

	"birchcart/internal/fleet/store"
)

// eraSent is an era as it is sent: the first is left out, as by programs that know of none.
func eraSent(era uint64) uint64 {
	if era <= 1 {
		return 0
	}
	return era
}

// outlive gives up a seat in a raft group that another one, set up anew, has taken the place of: what this one holds counts
// for nothing any more. It follows the new one then, and is let in as any new voter.
func (n *Node) outlive(from string, era uint64) {
	if n.outlived || n.raftGroup == nil || n.raftGroup.Last() == 0 {
		return // one that was only just let in has nothing of before
	}
	n.outlived = true
	n.log.WithField("from", from).WithField("era", era).Warn("the raft group was set up anew without this voter: its own log is of before, and is put aside")
	if n.term != 0 {
		n.depose()
	}
	n.giveUp()
}

// setAside puts the files of a seat that was outlived where no seat is opened upon them again. They are kept.
func (n *Node) setAside() {
	if !n.outlived {
		return
	}
	n.outlived = false
	dir := n.file.Fleet.Dir
	if err := store.Archive(dir, fmt.Sprintf("era-%d", n.state.Epoch())); err != nil {
		n.lost = true
		n.log.WithError(err).Error("the log of before can't be put aside: this co-ordinator follows without a vote")
		return
	}
	n.lost = false
}
