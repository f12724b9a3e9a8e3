package raftgroup

// Verify asks a majority whether this voter still leads. With nil it did after the call began, so no other led before
// then; it takes one round to the voters, and LeaderLeaseTimeout at the most.
func (c *Group) Verify() error {
	if err := c.raft.VerifyLeader().Error(); err != nil {
		return c.explain(err)
	}
	return nil
}
