package council

import (
	"errors"
	"fmt"

	"github.com/hashicorp/raft"
)

// Errors of a change of voters.
var (
	ErrChanging = errors.New("council: another change of voters is under way")
	ErrMajority = errors.New("council: too few voters would answer")
	ErrSelf     = errors.New("council: the leader cannot replace itself, hand over first")
)

// Voters are the seats in the configuration that this one knows last.
func (c *Council) Voters() ([]Voter, error) {
	f := c.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return nil, fmt.Errorf("council: %w", err)
	}
	var out []Voter
	for _, s := range f.Configuration().Servers {
		if s.Suffrage == raft.Voter {
			out = append(out, Voter{string(s.ID), string(s.Address)})
		}
	}
	return out, nil
}

// Replace puts one voter in another's place: the new one comes in first and the old one goes then, or, if the old one is
// silent, the other way round. It is refused while another change runs, and where at any step a majority would not be
// left of those that answer now, without the new one (but a council of one only needs it to take a connection). An old
// one named "" adds a voter only, a new one with no name takes the old one out only. A call that was cut off half way
// is finished by calling it again.
func (c *Council) Replace(old string, with Voter) error {
	if !c.changing.TryLock() {
		return ErrChanging
	}
	defer c.changing.Unlock()
	if c.raft.State() != raft.Leader {
		return c.notLeader()
	}
	if old == c.o.Name {
		return ErrSelf
	}
	if err := c.raft.VerifyLeader().Error(); err != nil {
		return c.explain(err)
	}
	now, err := c.Voters()
	if err != nil {
		return err
	}
	names := map[string]string{}
	for _, v := range now {
		names[v.Name] = v.Addr
	}
	_, drop := names[old]
	addr, there := names[with.Name]
	add := with.Name != "" && !there
	if there && addr != with.Addr {
		return fmt.Errorf("council: %s is a voter at %s; give a new one a new name", with.Name, addr)
	}
	size := len(now)
	answer := 0
	c.mu.Lock()
	for name := range names {
		if !c.silent[name] {
			answer++
		}
	}
	oldSilent := c.silent[old]
	c.mu.Unlock()
	enough := func(size, answer int) error {
		if answer < size/2+1 {
			return fmt.Errorf("%w: %d of %d, %d are needed", ErrMajority, answer, size, size/2+1)
		}
		return nil
	}
	after := answer
	if drop && !oldSilent {
		after--
	}
	steps := []func() error{}
	addStep := func() error {
		return c.step(func(prev uint64) raft.IndexFuture {
			return c.raft.AddVoter(raft.ServerID(with.Name), raft.ServerAddress(with.Addr), prev, ChangeMost)
		})
	}
	dropStep := func() error {
		return c.step(func(prev uint64) raft.IndexFuture {
			return c.raft.RemoveServer(raft.ServerID(old), prev, ChangeMost)
		})
	}
	switch {
	case add && drop && oldSilent:
		err = errors.Join(enough(size-1, after), enough(size, after))
		steps = append(steps, dropStep, addStep)
	case add && drop:
		err = errors.Join(enough(size+1, answer), enough(size, after))
		steps = append(steps, addStep, dropStep)
	case add:
		if err = enough(size+1, answer); err != nil && enough(size+1, answer+1) == nil && c.answers(with.Addr) {
			err = nil // a council of one grows, and the new one is there
		}
		steps = append(steps, addStep)
	case drop:
		err = enough(size-1, after)
		steps = append(steps, dropStep)
	}
	if err != nil {
		return err
	}
	for _, s := range steps {
		if err := s(); err != nil {
			return err
		}
	}
	return nil
}

// answers says whether an address takes a connection now.
func (c *Council) answers(addr string) bool {
	conn, err := c.stream.Dial(raft.ServerAddress(addr), WireMost)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// step makes one change on top of the configuration that was committed last, and no other.
func (c *Council) step(change func(prev uint64) raft.IndexFuture) error {
	conf := c.raft.GetConfiguration()
	if err := conf.Error(); err != nil {
		return fmt.Errorf("council: %w", err)
	}
	if err := change(conf.Index()).Error(); err != nil {
		return c.explain(err)
	}
	return nil
}

// HandOver gives the lead to another voter, before this one leaves. One that does not lead has nothing to give. It takes
// ElectionMost at the most; if nobody can take it, this one leads on and says so.
func (c *Council) HandOver() error {
	if c.raft.State() != raft.Leader {
		return nil
	}
	if err := c.raft.LeadershipTransfer().Error(); err != nil {
		if c.raft.State() != raft.Leader {
			return nil
		}
		return fmt.Errorf("council: nobody took the lead: %w", err)
	}
	return nil
}
