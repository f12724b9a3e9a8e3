package council

import (
	"errors"
	"runtime"

	"github.com/hashicorp/raft"

	"birchcart/internal/fleet/store"
)

// guarded is the store as raft sees it. Raft panics where it cannot keep its term or read its log, which would end a process
// that serves queries. So at such an error this seat goes out of the council, and the goroutine of raft's that
// met it ends here: raft starts all of them so that they may.
type guarded struct {
	*store.Store
	fail func(error)
}

func (g *guarded) SetUint64(k []byte, n uint64) error {
	if err := g.Store.SetUint64(k, n); err != nil {
		g.fail(err)
		runtime.Goexit()
	}
	return nil
}

func (g *guarded) Set(k, v []byte) error { return g.note(g.Store.Set(k, v)) }

func (g *guarded) StoreLog(l *raft.Log) error { return g.note(g.Store.StoreLog(l)) }

func (g *guarded) StoreLogs(l []*raft.Log) error { return g.note(g.Store.StoreLogs(l)) }

func (g *guarded) DeleteRange(low, high uint64) error { return g.note(g.Store.DeleteRange(low, high)) }

func (g *guarded) GetLog(index uint64, l *raft.Log) error {
	err := g.Store.GetLog(index, l)
	if err != nil && !errors.Is(err, raft.ErrLogNotFound) {
		g.fail(err)
		runtime.Goexit()
	}
	return err
}

func (g *guarded) note(err error) error {
	if err != nil {
		g.fail(err)
	}
	return err
}
