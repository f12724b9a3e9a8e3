package raftgroup

import (
	"errors"
	"fmt"

	"github.com/hashicorp/raft"
)

// Errors of a change of voters.
var (
	ErrChangeInProgress = errors.New("raftgroup: another change of voters is under way")
	ErrNoQuorum         = errors.New("raftgroup: too few voters would answer")
	ErrReplaceSelf      = errors.New("raftgroup: the leader cannot replace itself, hand over first")
)

// Voters are the voters in the configuration that this one knows last.
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

// Replace puts one voter in another's place: the new one comes in first and the old one goes then, or, if the old one is
// silent, the other way round. It is refused while another change runs, and where at any step a majority would not be
// left of those that answer now, without the new one (but a raft group of one only needs it to take a connection). An old
// one named "" adds a voter only, a new one with no name takes the old one out only. A call that was cut off half way
// is finished by calling it again.
func (g *Group) Replace(old string, with Voter) error {
	if !g.changeMu.TryLock() {
		return ErrChangeInProgress
	}
	defer g.changeMu.Unlock()
	if err := g.checkCanReplace(old); err != nil {
		return err
	}
	now, err := g.Voters()
	if err != nil {
		return err
	}
	steps, err := g.planReplace(now, old, with)
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

// checkCanReplace checks that this voter leads, is not the one that is to go, and still holds the lead now.
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

// planReplace orders the steps that put with in old's place, and fails where a step would not leave a quorum of the
// voters that answer now.
func (g *Group) planReplace(now []Voter, old string, with Voter) ([]func() error, error) {
	addresses := make(map[string]string, len(now))
	for _, voter := range now {
		addresses[voter.Name] = voter.Addr
	}
	_, drop := addresses[old]
	addr, there := addresses[with.Name]
	add := with.Name != "" && !there
	if there && addr != with.Addr {
		return nil, fmt.Errorf("raftgroup: %s is a voter at %s; give a new one a new name", with.Name, addr)
	}
	size := len(now)
	answer, oldSilent := g.countResponsive(addresses, old)
	after := answer
	if drop && !oldSilent {
		after--
	}
	addStep := func() error { return g.addVoter(with) }
	dropStep := func() error { return g.removeVoter(old) }
	switch {
	case add && drop && oldSilent:
		return []func() error{dropStep, addStep}, errors.Join(checkQuorum(size-1, after), checkQuorum(size, after))
	case add && drop:
		return []func() error{addStep, dropStep}, errors.Join(checkQuorum(size+1, answer), checkQuorum(size, after))
	case add:
		err := checkQuorum(size+1, answer)
		if err != nil && checkQuorum(size+1, answer+1) == nil && g.canConnect(with.Addr) {
			err = nil // a raft group of one grows, and the new one is there
		}
		return []func() error{addStep}, err
	case drop:
		return []func() error{dropStep}, checkQuorum(size-1, after)
	}
	return nil, nil
}

// answering counts the voters among addresses that are not silent now, and tells whether old is silent.
func (g *Group) countResponsive(addresses map[string]string, old string) (answer int, oldSilent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name := range addresses {
		if !g.unresponsive[name] {
			answer++
		}
	}
	return answer, g.unresponsive[old]
}

// quorum fails where answer voters of size are not a majority of them.
func checkQuorum(size, answer int) error {
	if answer < size/2+1 {
		return fmt.Errorf("%w: %d of %d, %d are needed", ErrNoQuorum, answer, size, size/2+1)
	}
	return nil
}

// addVoter adds with as a voter, on top of the configuration that was committed last.
func (g *Group) addVoter(with Voter) error {
	return g.changeConfiguration(func(prev uint64) raft.IndexFuture {
		return g.raft.AddVoter(raft.ServerID(with.Name), raft.ServerAddress(with.Addr), prev, ChangeTimeout)
	})
}

// removeVoter takes old out, on top of the configuration that was committed last.
func (g *Group) removeVoter(old string) error {
	return g.changeConfiguration(func(prev uint64) raft.IndexFuture {
		return g.raft.RemoveServer(raft.ServerID(old), prev, ChangeTimeout)
	})
}

// answers says whether an address takes a connection now.
func (g *Group) canConnect(addr string) bool {
	conn, err := g.stream.Dial(raft.ServerAddress(addr), IOTimeout)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// step makes one change on top of the configuration that was committed last, and no other.
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

// TransferLeadership gives the lead to another voter, before this one leaves. One that does not lead has nothing to give. It takes
// ElectionTimeout at the most; if nobody can take it, this one leads on and says so.
func (g *Group) TransferLeadership() error {
	if g.raft.State() != raft.Leader {
		return nil
	}
	if err := g.raft.LeadershipTransfer().Error(); err != nil {
		if g.raft.State() != raft.Leader {
			return nil
		}
		return fmt.Errorf("raftgroup: nobody took the lead: %w", err)
	}
	return nil
}
