package raftgroup

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"
)

// Entry is one committed and applied command. Raft's own entries take indexes too, so these have gaps.
type Entry struct {
	Index uint64
	Raw   []byte
}

// fsm is raft's state machine: the machine, and the latest entries for those that ask what is new.
type fsm struct {
	maxEntries int

	mu                  sync.Mutex
	machine             Machine
	recent              []Entry
	recentBytes         int
	floor               uint64 // the ring has all entries after this
	applied             uint64 // of the machine
	cachedSnapshot      []byte // a snapshot at cachedSnapshotIndex, kept while the ring goes on from it
	cachedSnapshotIndex uint64
	updates             chan struct{}
}

func newFSM(o Options) *fsm {
	s := &fsm{maxEntries: o.MaxBufferedEntries, machine: o.Machine, updates: make(chan struct{}, 1)}
	if s.maxEntries == 0 {
		s.maxEntries = MaxBufferedEntries
	}
	return s
}

// Apply is raft's call for each committed command.
func (s *fsm) Apply(l *raft.Log) any {
	if l.Type != raft.LogCommand {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.apply(l.Index, l.Data)
	s.applied = l.Index
	s.recent = append(s.recent, Entry{l.Index, l.Data})
	s.recentBytes += len(l.Data)
	cut := 0
	for len(s.recent)-cut > s.maxEntries || s.recentBytes > MaxBufferedBytes && len(s.recent)-cut > 1 {
		s.floor = s.recent[cut].Index
		s.recentBytes -= len(s.recent[cut].Raw)
		cut++
	}
	if cut > 0 {
		s.recent = s.recent[cut:] // append moves it to new room now and then, which frees the old
	}
	if s.cachedSnapshotIndex < s.floor {
		s.cachedSnapshot = nil
	}
	select {
	case s.updates <- struct{}{}:
	default:
	}
	if err == nil {
		return nil
	}
	return err
}

// apply makes an error of a panic: the same at all voters, since the machine is the same.
func (s *fsm) apply(index uint64, raw []byte) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("raftgroup: applying entry %d: %v", index, r)
		}
	}()
	return s.machine.Apply(index, raw)
}

// A snapshot on disk and between voters: version 1 | index of the last command 8 | what the machine saved. Raft's store has
// the sum of the file, the machine its own.
const snapshotVersion = 1

type fsmSnapshot struct{ raw []byte }

// Snapshot is raft's call. The machine's state is saved at once: it is small, and applying goes on meanwhile.
func (s *fsm) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw, err := s.machine.Save()
	if err != nil {
		return nil, fmt.Errorf("raftgroup: %w", err)
	}
	return fsmSnapshot{append(binary.BigEndian.AppendUint64([]byte{snapshotVersion}, s.applied), raw...)}, nil
}

func (s fsmSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s.raw); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

func (fsmSnapshot) Release() {}

// Restore is raft's call with a snapshot.
func (s *fsm) Restore(r io.ReadCloser) error {
	defer r.Close()
	raw, err := io.ReadAll(r)
	if err != nil {
		return fmt.Errorf("raftgroup: %w", err)
	}
	if len(raw) < 9 {
		return errors.New("raftgroup: the snapshot is cut short")
	}
	if raw[0] != snapshotVersion {
		return fmt.Errorf("raftgroup: a snapshot of version %d, this program knows %d", raw[0], snapshotVersion)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.machine.Load(raw[9:]); err != nil {
		return fmt.Errorf("raftgroup: %w", err)
	}
	s.applied = binary.BigEndian.Uint64(raw[1:])
	s.floor, s.recent, s.recentBytes, s.cachedSnapshot = s.applied, nil, 0, nil
	select {
	case s.updates <- struct{}{}:
	default:
	}
	return nil
}

// Since gives what was committed and applied here after an index: entries, as many as go into so many bytes but at least
// one, or, for who is too far behind, a snapshot, after which the next call goes on. at is the index that the asker has
// reached with them.
func (g *Group) Since(index uint64, mostBytes int) (entries []Entry, snapshot []byte, at uint64) {
	s := g.fsm
	s.mu.Lock()
	defer s.mu.Unlock()
	if index < s.floor {
		if s.cachedSnapshot == nil || s.cachedSnapshotIndex < s.floor {
			raw, err := s.machine.Save()
			if err != nil {
				g.log.Errorf("no snapshot for one at %d: %v", index, err)
				return nil, nil, index
			}
			s.cachedSnapshot, s.cachedSnapshotIndex = raw, s.applied
		}
		return nil, s.cachedSnapshot, s.cachedSnapshotIndex
	}
	at, bytes := index, 0
	lo, hi := 0, len(s.recent)
	for lo < hi {
		if mid := (lo + hi) / 2; s.recent[mid].Index <= index {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	for _, e := range s.recent[lo:] {
		if bytes += len(e.Raw); bytes > mostBytes && len(entries) > 0 {
			break
		}
		entries = append(entries, e)
		at = e.Index
	}
	return entries, nil, at
}

// AppliedIndex is the index of the last command that was applied here.
func (g *Group) AppliedIndex() uint64 {
	g.fsm.mu.Lock()
	defer g.fsm.mu.Unlock()
	return g.fsm.applied
}

// Updates has a word whenever something was applied since the last was taken.
func (g *Group) Updates() <-chan struct{} { return g.fsm.updates }

// WithLock calls f while nothing is applied, so that it may read the machine. It must not wait.
func (g *Group) WithLock(f func()) {
	g.fsm.mu.Lock()
	defer g.fsm.mu.Unlock()
	f()
}
