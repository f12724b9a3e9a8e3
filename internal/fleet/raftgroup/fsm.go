package raftgroup

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"
)

// Entry is one committed and applied command. Indexes of successive entries may have gaps because raft's internal entries also
// take indexes.
type Entry struct {
	Index uint64
	Raw   []byte
}

// fsm implements raft.FSM. It applies commands to the machine and buffers the most recent entries for Since.
type fsm struct {
	maxEntries int

	mu                  sync.Mutex
	machine             Machine
	recent              []Entry
	recentBytes         int
	floor               uint64 // recent holds all entries after this index
	applied             uint64 // index of the last entry applied to the machine
	cachedSnapshot      []byte // snapshot at cachedSnapshotIndex; valid while recent holds all entries after it
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

// Apply is called by raft for each committed command.
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
	dropped := 0
	for len(s.recent)-dropped > s.maxEntries || s.recentBytes > MaxBufferedBytes && len(s.recent)-dropped > 1 {
		s.floor = s.recent[dropped].Index
		s.recentBytes -= len(s.recent[dropped].Raw)
		dropped++
	}
	if dropped > 0 {
		s.recent = s.recent[dropped:] // a later append reallocates, which frees the dropped entries
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

// apply converts a panic of the machine into an error. All voters get the same error because the machine is deterministic.
func (s *fsm) apply(index uint64, raw []byte) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("raftgroup: applying entry %d: %v", index, r)
		}
	}()
	return s.machine.Apply(index, raw)
}

// Format of a snapshot on disk and between voters, with sizes in bytes:
//
//	version 1 | index of the last command 8 | state saved by the machine
//
// It has no checksum: raft's snapshot store checks the file, and the machine checks its own state.
const snapshotVersion = 1

type fsmSnapshot struct{ raw []byte }

// Snapshot is called by raft. It serializes the machine's state immediately, which is fast because the state is small, so that
// entries can be applied while raft writes the snapshot.
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

// Restore is called by raft to load a snapshot.
func (s *fsm) Restore(r io.ReadCloser) error {
	defer r.Close()
	raw, err := io.ReadAll(r)
	if err != nil {
		return fmt.Errorf("raftgroup: %w", err)
	}
	if len(raw) < 9 {
		return errors.New("raftgroup: the snapshot is truncated")
	}
	if raw[0] != snapshotVersion {
		return fmt.Errorf("raftgroup: snapshot version %d is not supported, this program supports %d", raw[0], snapshotVersion)
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

// Since returns what was applied on this voter after index: either entries, up to mostBytes in total but at least one if there
// is any, or a snapshot if the buffer no longer holds all entries after index. at is the index that the caller reaches with the
// result and passes to the next call.
func (g *Group) Since(index uint64, mostBytes int) (entries []Entry, snapshot []byte, at uint64) {
	s := g.fsm
	s.mu.Lock()
	defer s.mu.Unlock()
	if index < s.floor {
		if s.cachedSnapshot == nil || s.cachedSnapshotIndex < s.floor {
			raw, err := s.machine.Save()
			if err != nil {
				g.log.Errorf("cannot save a snapshot for a reader at index %d: %v", index, err)
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

// AppliedIndex returns the index of the last command that was applied on this voter.
func (g *Group) AppliedIndex() uint64 {
	g.fsm.mu.Lock()
	defer g.fsm.mu.Unlock()
	return g.fsm.applied
}

// Updates returns a channel that holds a value if something was applied since the last receive.
func (g *Group) Updates() <-chan struct{} { return g.fsm.updates }

// WithLock calls f while no entry is applied, so that f may read the machine. f must not block.
func (g *Group) WithLock(f func()) {
	g.fsm.mu.Lock()
	defer g.fsm.mu.Unlock()
	f()
}
