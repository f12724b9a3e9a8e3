package raftgroup

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/hashicorp/raft"
)

// Restore is the written step for when a majority of the raft group is lost for good, with no voter open on o.Dir. It leaves there
// a raft group of one, o.Name at o.Advertise (or o.Bind); opened, it leads at once, and Replace("", voter) adds the others, one at a
// time, each with an empty directory.
//
// Without a snapshot it goes on from what o.Dir holds: a voter that survived. Entries that only the lost ones had are
// gone, and one that was not committed may become so. With a snapshot (what Since or a state machine's Save gave at some
// co-ordinator, and its index) the directory must hold no council.
//
// Co-ordinators without a vote may be ahead of it, and the lost voters' disks may come back: they hold what no longer is. To
// tell the machine's state from theirs is up to what o.Machine saves.
func Restore(o Options, snapshot []byte, at uint64) (err error) {
	addr := o.Advertise
	if addr == "" {
		addr = o.Bind
	}
	if o.Name == "" || o.Machine == nil || o.Log == nil || addr == "" {
		return errors.New("raftgroup: a name, an address, a machine and a log are needed")
	}
	o.Bind = "127.0.0.1:0" // nobody is talked to
	o.Advertise, o.Stream = addr, nil
	p, err := newComponents(o, func(error) {})
	if err != nil {
		return err
	}
	defer p.close()
	has, err := raft.HasExistingState(p.store, p.store, p.snaps)
	if err != nil {
		return fmt.Errorf("raftgroup: %w", err)
	}
	one := raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(o.Name), Address: raft.ServerAddress(addr)}}}
	if snapshot != nil {
		if has {
			return fmt.Errorf("raftgroup: %s holds a raft group already; a snapshot is restored into an empty directory", o.Dir)
		}
		if at == 0 {
			return errors.New("raftgroup: the snapshot's index is needed")
		}
		// Checked by the machine before anything is written.
		raw := append(binary.BigEndian.AppendUint64([]byte{snapshotVersion}, at), snapshot...)
		if err := newFSM(o).Restore(io.NopCloser(bytes.NewReader(raw))); err != nil {
			return err
		}
		sink, err := p.snaps.Create(raft.SnapshotVersionMax, at, 1, one, 1, p.trans)
		if err != nil {
			return fmt.Errorf("raftgroup: %w", err)
		}
		if err := (fsmSnapshot{raw}).Persist(sink); err != nil {
			return fmt.Errorf("raftgroup: %w", err)
		}
	} else if !has {
		return fmt.Errorf("raftgroup: %s holds no raft group, and no snapshot was given", o.Dir)
	}
	if err := raft.RecoverCluster(p.conf, newFSM(o), p.store, p.store, p.snaps, p.trans, one); err != nil {
		return fmt.Errorf("raftgroup: %w", err)
	}
	return nil
}

// bootstrap writes the first configuration where there is no council yet.
func bootstrap(o Options, p *components) error {
	has, err := raft.HasExistingState(p.store, p.store, p.snaps)
	if err != nil || has {
		return err
	}
	if n := len(o.Voters); n != 1 && n != 3 && n != 5 {
		return fmt.Errorf("raftgroup: %d voters, 1, 3 or 5 are wanted", n)
	}
	var first raft.Configuration
	self := false
	for _, v := range o.Voters {
		first.Servers = append(first.Servers, raft.Server{ID: raft.ServerID(v.Name), Address: raft.ServerAddress(v.Addr)})
		self = self || v.Name == o.Name
	}
	if !self {
		return fmt.Errorf("raftgroup: %s is none of the voters", o.Name)
	}
	if err := raft.BootstrapCluster(p.conf, p.store, p.store, p.snaps, p.trans, first); err != nil {
		return fmt.Errorf("raftgroup: %w", err)
	}
	return nil
}
