package raftgroup

import (
	"errors"
	"fmt"

	"github.com/hashicorp/raft"
)

// Errors of a change of voters.
var (
	ErrChangeInProgress = errors.New("raftgroup: another change of voters is in progress")
	ErrNoQuorum         = errors.New("raftgroup: the change would leave too few responsive voters")
	ErrReplaceSelf      = errors.New("raftgroup: the leader cannot replace itself; transfer leadership first")
)

// Voters returns the voters of the latest configuration that this voter knows.
func (g *Group) Voters() ([]Voter, error) {
	f := g.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return nil, fmt.Errorf("raftgroup: %w", err)
	}
	var out []Voter
	for _, s := range f.Configuration().Servers {
		if s.Suffrage == raft.Voter {
			out = append(out, Voter{string(s.ID), string(s.Address)})
		}
	}
	return out, nil
}

// Replace replaces the voter old by the voter with. It adds the new voter first and then removes the old one; if the old one
// does not respond, it removes it first. Replace fails while another change is in progress, and if after any step the voters
// that respond now, not counting the new one, would not form a majority. As an exception, a group of one may grow if the new
// voter accepts a connection. If old is "", the new voter is only added; if with has no name, old is only removed. A call that
// was interrupted is completed by calling Replace again.
func (g *Group) Replace(old string, with Voter) error {
	if !g.changeMu.TryLock() {
		return ErrChangeInProgress
	}
	defer g.changeMu.Unlock()
	if err := g.checkCanReplace(old); err != nil {
		return err
	}
	voters, err := g.Voters()
	if err != nil {
		return err
	}
	steps, err := g.planReplace(voters, old, with)
	if err != nil {
		return err
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// checkCanReplace checks that this voter is the leader, is not the voter to be removed, and that a majority confirms its leadership.
func (g *Group) checkCanReplace(old string) error {
	if g.raft.State() != raft.Leader {
		return g.notLeaderError()
	}
	if old == g.options.Name {
		return ErrReplaceSelf
	}
	if err := g.raft.VerifyLeader().Error(); err != nil {
		return g.wrapRaftError(err)
	}
	return nil
}

// planReplace returns the steps that replace old by with, in order. It fails if after a step the voters that respond now would
// not form a quorum.
func (g *Group) planReplace(voters []Voter, old string, with Voter) ([]func() error, error) {
	addresses := make(map[string]string, len(voters))
	for _, voter := range voters {
		addresses[voter.Name] = voter.Addr
	}
	_, remove := addresses[old]
	addr, exists := addresses[with.Name]
	add := with.Name != "" && !exists
	if exists && addr != with.Addr {
		return nil, fmt.Errorf("raftgroup: %s is already a voter at %s; a new voter needs a new name", with.Name, addr)
	}
	size := len(voters)
	responsive, oldUnresponsive := g.countResponsive(addresses, old)
	remaining := responsive
	if remove && !oldUnresponsive {
		remaining--
	}
	addStep := func() error { return g.addVoter(with) }
	removeStep := func() error { return g.removeVoter(old) }
	switch {
	case add && remove && oldUnresponsive:
		return []func() error{removeStep, addStep}, errors.Join(checkQuorum(size-1, remaining), checkQuorum(size, remaining))
	case add && remove:
		return []func() error{addStep, removeStep}, errors.Join(checkQuorum(size+1, responsive), checkQuorum(size, remaining))
	case add:
		err := checkQuorum(size+1, responsive)
		if err != nil && checkQuorum(size+1, responsive+1) == nil && g.canConnect(with.Addr) {
			err = nil // a group of one grows, and the new voter accepts connections
		}
		return []func() error{addStep}, err
	case remove:
		return []func() error{removeStep}, checkQuorum(size-1, remaining)
	}
	return nil, nil
}

// countResponsive counts the voters among addresses that respond now, and reports whether old does not.
func (g *Group) countResponsive(addresses map[string]string, old string) (responsive int, oldUnresponsive bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name := range addresses {
		if !g.unresponsive[name] {
			responsive++
		}
	}
	return responsive, g.unresponsive[old]
}

// checkQuorum fails if the number of responsive voters is not a majority of size.
func checkQuorum(size, responsive int) error {
	if responsive < size/2+1 {
		return fmt.Errorf("%w: %d of %d would respond, %d are needed", ErrNoQuorum, responsive, size, size/2+1)
	}
	return nil
}

// addVoter adds a voter to the latest configuration.
func (g *Group) addVoter(with Voter) error {
	return g.changeConfiguration(func(prev uint64) raft.IndexFuture {
		return g.raft.AddVoter(raft.ServerID(with.Name), raft.ServerAddress(with.Addr), prev, ChangeTimeout)
	})
}

// removeVoter removes a voter from the latest configuration.
func (g *Group) removeVoter(old string) error {
	return g.changeConfiguration(func(prev uint64) raft.IndexFuture {
		return g.raft.RemoveServer(raft.ServerID(old), prev, ChangeTimeout)
	})
}

// canConnect reports whether an address accepts a connection now.
func (g *Group) canConnect(addr string) bool {
	conn, err := g.stream.Dial(raft.ServerAddress(addr), IOTimeout)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// changeConfiguration applies change to the latest configuration. The change fails if the configuration has changed
// in the meantime.
func (g *Group) changeConfiguration(change func(prev uint64) raft.IndexFuture) error {
	conf := g.raft.GetConfiguration()
	if err := conf.Error(); err != nil {
		return fmt.Errorf("raftgroup: %w", err)
	}
	if err := change(conf.Index()).Error(); err != nil {
		return g.wrapRaftError(err)
	}
	return nil
}

// TransferLeadership passes leadership to another voter, for use before this voter shuts down. If this voter does not lead, it
// does nothing. It takes at most ElectionTimeout; if no other voter can take over, this voter remains leader and an error is
// returned.
func (g *Group) TransferLeadership() error {
	if g.raft.State() != raft.Leader {
		return nil
	}
	if err := g.raft.LeadershipTransfer().Error(); err != nil {
		if g.raft.State() != raft.Leader {
			return nil
		}
		return fmt.Errorf("raftgroup: no other voter took over leadership: %w", err)
	}
	return nil
}
