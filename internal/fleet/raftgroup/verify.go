package raftgroup

// Verify asks a majority whether this voter still leads. With nil it did after the call began, so no other led before
// then; it takes one round to the voters, and LeaderLeaseTimeout at the most.
func (g *Group) Verify() error {
	if err := g.raft.VerifyLeader().Error(); err != nil {
		return g.wrapRaftError(err)
	}
	return nil
}
