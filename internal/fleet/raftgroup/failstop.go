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

func (g *failStopStore) SetUint64(k []byte, n uint64) error {
	if err := g.Store.SetUint64(k, n); err != nil {
		g.fail(err)
		runtime.Goexit()
	}
	return nil
}

func (g *failStopStore) Set(k, v []byte) error { return g.report(g.Store.Set(k, v)) }

func (g *failStopStore) StoreLog(l *raft.Log) error { return g.report(g.Store.StoreLog(l)) }

func (g *failStopStore) StoreLogs(l []*raft.Log) error { return g.report(g.Store.StoreLogs(l)) }

func (g *failStopStore) DeleteRange(low, high uint64) error {
	return g.report(g.Store.DeleteRange(low, high))
}

func (g *failStopStore) GetLog(index uint64, l *raft.Log) error {
	err := g.Store.GetLog(index, l)
	if err != nil && !errors.Is(err, raft.ErrLogNotFound) {
		g.fail(err)
		runtime.Goexit()
	}
	return err
}

func (g *failStopStore) report(err error) error {
	if err != nil {
		g.fail(err)
	}
	return err
}
