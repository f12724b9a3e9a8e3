package faultinject

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"birchcart/internal/standin"
)

// WatchFault is what goes wrong with one watch of an agent.
type WatchFault struct {
	EndsInstead bool          // at the first change it ends, without having brought it
	Late        time.Duration // its head comes at once, and everything else so much later
	FullFirst   bool          // its first answer is the full list, which leaves out replicas that drain
	Silent      bool          // it brings nothing but its head and, with FullFirst, that first answer
	Pieces      bool          // objects come in pieces
}

// agentWatch is one watch that is open.
type agentWatch struct {
	conn       net.Conn
	fault      WatchFault
	silent     bool      // it says nothing, from its opening or since an outage
	silencedAt time.Time // when it fell silent while the agent was reachable, zero if it did not
}

// serveWatch plays one watch to its end.
func (a *Agent) serveWatch(conn net.Conn, after int64) {
	w := a.openWatch(conn)
	defer a.forget(w)
	go func() { // the other side's close is seen at once
		io.Copy(io.Discard, conn)
		a.forget(w)
		conn.Close()
	}()
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	a.awaitLate(w)
	full := w.fault.FullFirst
	heartbeat := time.NewTicker(heartbeatEvery)
	defer heartbeat.Stop()
	for beat := false; ; {
		a.mu.Lock()
		due, quiet, news := a.dueChanges(after, full), w.silent || !w.silencedAt.IsZero() || a.down, a.news
		if _, open := a.watches[w]; !open {
			a.mu.Unlock()
			return
		}
		if !quiet && len(due) > 0 && !w.fault.EndsInstead {
			a.heard()
		}
		a.mu.Unlock()
		switch {
		case quiet:
		case len(due) > 0 && w.fault.EndsInstead:
			return
		case len(due) > 0:
			for _, object := range due {
				if w.writeObject(object) != nil {
					return
				}
				after = object.Index
			}
			full = false
			a.silenceAfterFirst(w)
		case beat:
			if writeChunk(conn, "\n") != nil {
				return
			}
		}
		beat = false
		select {
		case <-news:
		case <-heartbeat.C:
			beat = true
		}
	}
}

// openWatch takes a new watch, with the fault that is drawn for it.
func (a *Agent) openWatch(conn net.Conn) *agentWatch {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := &agentWatch{conn: conn}
	if len(a.faults) > 0 {
		w.fault, a.faults = a.faults[0], a.faults[1:]
	}
	w.silent = w.fault.Late > 0 || w.fault.Silent && !w.fault.FullFirst
	a.watches[w] = struct{}{}
	return w
}

func (a *Agent) forget(w *agentWatch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.watches, w)
}

// silenceAfterFirst has a watch fall silent after its first answer if that is its fault.
func (a *Agent) silenceAfterFirst(w *agentWatch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w.silent = w.silent || w.fault.Silent
}

// forever is for how long a watch that has fallen silent stays so.
const forever = time.Hour

// awaitLate waits until a watch that is late at its begin is sound.
func (a *Agent) awaitLate(w *agentWatch) {
	a.mu.Lock()
	late := w.fault.Late
	a.mu.Unlock()
	time.Sleep(late)
	a.mu.Lock()
	defer a.mu.Unlock()
	if late > 0 && w.fault.Late < forever && !w.fault.Silent { // else it was silenced meanwhile
		w.silent = false
	}
}

// dueChanges is what a watch has to bring after a version: changes, or the full list. The lock is held.
func (a *Agent) dueChanges(after int64, full bool) (due []standin.List) {
	if full {
		list := standin.List{Index: a.index, Snapshot: true, Endpoints: []standin.Endpoint{}}
		for _, e := range a.endpoints {
			if e.Status == "Ready" {
				list.Endpoints = append(list.Endpoints, e)
			}
		}
		return []standin.List{list}
	}
	for _, c := range a.changes {
		if c.Index > after {
			due = append(due, c)
		}
	}
	return due
}

// writeObject writes one object of a watch, in pieces if that is its fault.
func (w *agentWatch) writeObject(list standin.List) error {
	raw, err := json.Marshal(list)
	if err != nil {
		return err
	}
	text := string(raw) + "\n"
	if w.fault.Pieces {
		third := len(text) / 3
		for _, piece := range []string{text[:third], text[third : 2*third]} {
			if err := writeChunk(w.conn, piece); err != nil {
				return err
			}
			time.Sleep(pieceGap)
		}
		text = text[2*third:]
	}
	return writeChunk(w.conn, text)
}

func writeChunk(conn net.Conn, text string) error {
	_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
	return err
}
