package peerproto

// SnapshotCache caches the newest snapshot as Reply.SetSnapshot prepares it, so that a large snapshot is compressed once for
// all followers that need it.
type SnapshotCache struct {
	Index, Epoch uint64
	reply        Reply
	err          error
}

// SetSnapshot puts the snapshot raw, taken at the given index and epoch, into a reply. It prepares raw only if the cache
// holds the snapshot of another index or epoch.
func (s *SnapshotCache) SetSnapshot(r *Reply, raw []byte, index, epoch uint64) error {
	if s.Index != index || s.Epoch != epoch {
		*s = SnapshotCache{Index: index, Epoch: epoch}
		s.err = s.reply.SetSnapshot(raw)
	}
	r.After, r.Index, r.Snapshot, r.Packed = 0, index, s.reply.Snapshot, s.reply.Packed
	return s.err
}
