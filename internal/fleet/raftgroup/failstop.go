package raftgroup

import (
	"errors"
	"runtime"

	"github.com/hashicorp/raft"

	"birchcart/internal/fleet/store"
)

// failStopStore is the store that is passed to raft. Raft panics when it cannot persist its term or read its log, which would
// crash a process that serves queries. On such an error, failStopStore takes this voter out of the raft group and ends the raft
// goroutine that made the call. Raft starts each of its goroutines in a way that permits this.
type failStopStore struct {
	*store.Store
	fail func(error)
}

func (s *failStopStore) SetUint64(k []byte, n uint64) error {
	if err := s.Store.SetUint64(k, n); err != nil {
		s.fail(err)
		runtime.Goexit()
	}
	return nil
}

func (s *failStopStore) Set(k, v []byte) error { return s.report(s.Store.Set(k, v)) }

func (s *failStopStore) StoreLog(l *raft.Log) error { return s.report(s.Store.StoreLog(l)) }

func (s *failStopStore) StoreLogs(l []*raft.Log) error { return s.report(s.Store.StoreLogs(l)) }

func (s *failStopStore) DeleteRange(low, high uint64) error {
	return s.report(s.Store.DeleteRange(low, high))
}

func (s *failStopStore) GetLog(index uint64, l *raft.Log) error {
	err := s.Store.GetLog(index, l)
	if err != nil && !errors.Is(err, raft.ErrLogNotFound) {
		s.fail(err)
		runtime.Goexit()
	}
	return err
}

func (s *failStopStore) report(err error) error {
	if err != nil {
		s.fail(err)
	}
	return err
}
