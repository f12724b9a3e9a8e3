package council

// Verify asks a majority whether this seat still leads. With nil it did after the call began, so no other led before
// then; it takes one round to the voters, and LeaseMost at the most.
func (c *Council) Verify() error {
	if err := c.raft.VerifyLeader().Error(); err != nil {
		return c.explain(err)
	}
	return nil
}
