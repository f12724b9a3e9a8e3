package raftgroup

// Verify asks a majority whether this voter is still the leader. If it returns nil, this voter led at some time after the call
// began, so no other voter had replaced it before that. It takes one round trip to the voters and at most LeaderLeaseTimeout.
func (g *Group) Verify() error {
	if err := g.raft.VerifyLeader().Error(); err != nil {
		return g.wrapRaftError(err)
	}
	return nil
}
