package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"birchcart/internal/fleet/lanepart"
	"birchcart/internal/fleet/sessionpart"

	"birchcart/internal/fleet/drainstore"

	"birchcart/internal/fleet/agreedstate"
	"birchcart/internal/fleet/fleetfile"
	"birchcart/internal/fleet/grantsfile"
	"birchcart/internal/fleet/inventory"
	"birchcart/internal/fleet/mailbox"
	"birchcart/internal/fleet/pollqueue"
	"birchcart/internal/fleet/voters"

	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/member"
	"birchcart/internal/fleet/raftgroup"
	"birchcart/internal/fleet/store"
	"birchcart/internal/fleet/view"
	"birchcart/internal/fleet/waveplan"
	"birchcart/internal/operator"
	"birchcart/internal/serve"
)

// init sets all fields of the node that need neither disk nor network.
func (n *Node) init(s serve.Host) {
	n.name, n.file, n.start, n.inputsChanged = s.Config.Name, s.Operator, time.Now(), true
	n.version, n.dir = serve.Version(), s.Operator.Fleet.Dir
	n.state, n.mailbox = agreedstate.New(), mailbox.New()
	n.proposalResults, n.verifications, n.voterClosed = make(chan drainctl.ProposalResult, MaxProposalsInFlight), make(chan verification, 1), make(chan struct{}, 1)
	n.ready = make(chan struct{})
	n.wake, n.drainApplied = make(chan struct{}, 1), make(chan struct{}, 1) // one set of drains is applied at a time
	n.voterResults = make(chan voters.Result, 1)
	n.drains = n.newDrainStore()
	n.pollQueue = pollqueue.New()
	n.loads, n.voters = map[string]inventory.LoadReport{}, map[string]bool{}
	f := s.Operator.Fleet
	for name := range f.Voters {
		n.voters[name] = true
		n.voterNames = append(n.voterNames, name)
	}
	slices.Sort(n.voterNames)
	n.view = view.New(n.name, fleetfile.Milliseconds(f.Lease))
	n.view.FirstSequence(uint64(n.start.UnixNano()))
	n.controller = drainctl.New(waveplan.Order)
}

// newDrainStore makes the store of drains in the folder configured at start.
func (n *Node) newDrainStore() *drainstore.Store {
	return drainstore.New(drainstore.Options{
		Dir: n.dir, State: n.state, Log: n.log, Apply: func(machines []string) { n.host.Exchange.SetDrains(machines) },
		Warn: n.warn,
	})
}

// zone returns the zone of this co-ordinator, or "" if the settings name none.
func zone(s serve.Host) string {
	if z := s.Config.Policy.Zone; z >= 0 && z < len(s.Config.Names.Zones) {
		return s.Config.Names.Zones[z]
	}
	return ""
}

// open opens the local voter, the gossip and the writer of the grants file. It returns errors of the configuration, which name the
// place in the operators' file; a damaged store is no error.
func (n *Node) open() error {
	f := n.file.Fleet
	if err := sessionpart.Validate(f, n.host.Config.Names, &n.host.Config.Policy); err != nil {
		return fmt.Errorf("operators' file: %w", err)
	}
	if err := lanepart.Validate(n.file, n.host.Config.Names); err != nil {
		return fmt.Errorf("operators' file: %w", err)
	}
	if f.Grants != "" {
		dir := filepath.Dir(f.Grants)
		if at, err := os.Stat(dir); err != nil || !at.IsDir() {
			return fmt.Errorf("operators' file: $.fleet.grants_file: %s is no folder", dir)
		}
	}
	if err := n.openVoterAtStart(f); err != nil {
		return fmt.Errorf("operators' file: %w", err)
	}
	m, err := member.Open(member.Options{
		Name: n.name, Zone: zone(n.host), Incarnation: uint64(n.start.UnixNano()), Bind: f.Gossip.Bind, Advertise: f.Gossip.Advertise,
		Join: f.Gossip.Join, Keys: f.Keys, Log: n.log,
		Receive: n.receive,
	})
	if err != nil {
		return fmt.Errorf("operators' file: $.fleet.gossip or $.fleet.keys_file: %w", err)
	}
	n.member = m
	n.member.SetRecord(member.Record{Voter: n.raftGroup != nil, Version: n.version})
	n.writer = grantsfile.NewWriter(f.Grants, n.log)
	return nil
}

// openVoterAtStart opens the local voter, if the file names this co-ordinator as one. If its store can't be used, the co-ordinator runs
// without a vote.
func (n *Node) openVoterAtStart(f *operator.Fleet) error {
	own, ok := f.Voters[n.name]
	if !ok {
		return nil
	}
	ln, err := net.Listen("tcp", bindAddress(f, own))
	if err != nil {
		return fmt.Errorf("$.fleet.council.bind: %w", err)
	}
	ln.Close()
	if _, err := os.Stat(filepath.Join(f.Dir, store.File)); errors.Is(err, os.ErrNotExist) && !f.Council.Found {
		n.log.WithField("dir", f.Dir).Warn("this voter has no store: it votes only after the leader has added it as a new voter. At a fleet's first start set $.fleet.council.found")
		return nil
	}
	if err := n.openVoter(f, f.Council.Found); err != nil {
		n.storeLost = true
		n.log.WithError(err).Error("the store of the raft group can't be used: this co-ordinator follows without a vote")
	}
	return nil
}

// openVoter opens the local voter and attaches it to the agreed state. With bootstrap it creates a raft group if it has no store.
func (n *Node) openVoter(f *operator.Fleet, bootstrap bool) error {
	own := f.Voters[n.name]
	o := raftgroup.Options{
		Name: n.name, Dir: f.Dir, Bind: bindAddress(f, own), Advertise: own.Address, Bootstrap: bootstrap, Machine: n.state.Machine, Log: n.log,
	}
	for _, name := range n.voterNames {
		o.Voters = append(o.Voters, raftgroup.Voter{Name: name, Addr: f.Voters[name].Address})
	}
	group, err := raftgroup.Open(o)
	if err != nil {
		return err
	}
	n.raftGroup = group
	n.state.Attach(group)
	return nil
}

// bindAddress returns the address at which the local voter listens.
func bindAddress(f *operator.Fleet, own operator.Voter) string {
	if f.Council.Bind != "" {
		return f.Council.Bind
	}
	return own.Address
}

// close closes what open opened.
func (n *Node) close() {
	if n.raftGroup != nil {
		if err := n.raftGroup.Close(); err != nil {
			n.log.WithError(err).Warn("closing the voter failed")
		}
	}
	if n.member != nil {
		if err := n.member.Close(); err != nil {
			n.log.WithError(err).Warn("closing the gossip failed")
		}
	}
	if n.writer != nil {
		n.writer.Close()
	}
}
