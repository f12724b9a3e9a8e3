package peerproto

// SnapshotCache keeps the newest snapshot as it is sent, for all followers that are behind alike.
type SnapshotCache struct {
	Index, Epoch uint64
	reply        Reply
	err          error
}

// SetSnapshot puts the snapshot of an index and epoch into a reply; raw is encoded only if it is not the one that is cached.
func (s *SnapshotCache) SetSnapshot(w *Reply, raw []byte, index, epoch uint64) error {
	if s.Index != index || s.Epoch != epoch {
		*s = SnapshotCache{Index: index, Epoch: epoch}
		s.err = s.reply.SetSnapshot(raw)
	}
	w.After, w.Index, w.Snapshot, w.Packed = 0, index, s.reply.Snapshot, s.reply.Packed
	return s.err
}
