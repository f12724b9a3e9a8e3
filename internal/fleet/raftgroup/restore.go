package raftgroup

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/hashicorp/raft"
)

// Restore recovers a raft group whose majority is permanently lost. No voter may be open on o.Dir. Restore writes a raft group
// of one voter there, o.Name at o.Advertise (or o.Bind). Once opened, that voter leads at once, and Replace("", voter) adds the
// others one at a time, each with an empty directory.
//
// Without a snapshot, Restore continues from the state of a surviving voter in o.Dir. Entries that only the lost voters held
// are lost, and an entry that was not committed may become committed. With a snapshot (returned by Since or by a state
// machine's Save on any co-ordinator) and its index, o.Dir must not hold a raft group.
//
// Co-ordinators without a vote may be ahead of the restored state, and disks of lost voters may reappear; both then hold
// obsolete state. The state that o.Machine saves must make it possible to tell the restored state from theirs.
func Restore(o Options, snapshot []byte, at uint64) (err error) {
	addr := o.Advertise
	if addr == "" {
		addr = o.Bind
	}
	if o.Name == "" || o.Machine == nil || o.Log == nil || addr == "" {
		return errors.New("raftgroup: a name, an address, a machine and a log are required")
	}
	o.Bind = "127.0.0.1:0" // no connection is made
	o.Advertise, o.Stream = addr, nil
	p, err := newComponents(o, func(error) {})
	if err != nil {
		return err
	}
	defer p.close()
	hasState, err := raft.HasExistingState(p.store, p.store, p.snaps)
	if err != nil {
		return fmt.Errorf("raftgroup: %w", err)
	}
	configuration := raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(o.Name), Address: raft.ServerAddress(addr)}}}
	if snapshot != nil {
		if hasState {
			return fmt.Errorf("raftgroup: %s holds a raft group already; a snapshot is restored into an empty directory", o.Dir)
		}
		if at == 0 {
			return errors.New("raftgroup: the index of the snapshot is required")
		}
		// The machine checks the snapshot before anything is written.
		raw := append(binary.BigEndian.AppendUint64([]byte{snapshotVersion}, at), snapshot...)
		if err := newFSM(o).Restore(io.NopCloser(bytes.NewReader(raw))); err != nil {
			return err
		}
		sink, err := p.snaps.Create(raft.SnapshotVersionMax, at, 1, configuration, 1, p.trans)
		if err != nil {
			return fmt.Errorf("raftgroup: %w", err)
		}
		if err := (fsmSnapshot{raw}).Persist(sink); err != nil {
			return fmt.Errorf("raftgroup: %w", err)
		}
	} else if !hasState {
		return fmt.Errorf("raftgroup: %s holds no raft group, and no snapshot was given", o.Dir)
	}
	if err := raft.RecoverCluster(p.conf, newFSM(o), p.store, p.store, p.snaps, p.trans, configuration); err != nil {
		return fmt.Errorf("raftgroup: %w", err)
	}
	return nil
}

// bootstrap writes the first configuration if o.Dir holds no raft state.
func bootstrap(o Options, p *components) error {
	hasState, err := raft.HasExistingState(p.store, p.store, p.snaps)
	if err != nil || hasState {
		return err
	}
	if n := len(o.Voters); n != 1 && n != 3 && n != 5 {
		return fmt.Errorf("raftgroup: %d voters are configured, 1, 3 or 5 are required", n)
	}
	var first raft.Configuration
	self := false
	for _, v := range o.Voters {
		first.Servers = append(first.Servers, raft.Server{ID: raft.ServerID(v.Name), Address: raft.ServerAddress(v.Addr)})
		self = self || v.Name == o.Name
	}
	if !self {
		return fmt.Errorf("raftgroup: %s is not in the list of voters", o.Name)
	}
	if err := raft.BootstrapCluster(p.conf, p.store, p.store, p.snaps, p.trans, first); err != nil {
		return fmt.Errorf("raftgroup: %w", err)
	}
	return nil
}
