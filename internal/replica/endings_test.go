package replica

import (
	"net"
	"testing"
	"time"

	"birchcart/internal/exchange"
	"birchcart/policy"
)

// holdDials has every connection wait, once it is dialled for real, until open is called: to the pool it is coming up.
// It must be called before the pool dials.
func (s *stand) holdDials() (open func()) {
	gate := make(chan struct{})
	dial := s.pool.dial
	s.pool.dial = func(address string) (*net.TCPConn, error) {
		nc, err := dial(address)
		<-gate
		return nc, err
	}
	opened := false
	open = func() {
		if !opened {
			opened = true
			close(gate)
		}
	}
	s.Cleanup(open)
	return open
}

// A replica that moved, or restarted, under its name: what waits for a connection to the old process is taken back as
// never run, probes too, and the connection gets nothing when it is up at last.
func TestNothingGoesToWhereAReplicaWas(t *testing.T) {
	for name, change := range map[string]func(*exchange.Target){
		"moved":     func(c *exchange.Target) { c.Address = "127.0.0.1:1" },
		"restarted": func(c *exchange.Target) { c.Started = time.Now() },
		"draining":  func(c *exchange.Target) { c.State = policy.Draining },
		"removed":   func(c *exchange.Target) { c.State = policy.Removed },
	} {
		t.Run(name, func(t *testing.T) {
			s := newStand(t, testLimits())
			open := s.holdDials()
			a := attempt("q.1")
			s.pool.Send(1, []*exchange.Attempt{a})
			s.pool.Probe(1)
			target := exchange.Target{Replica: 1, Name: "r", Address: s.ln.Addr().String(), State: policy.Up}
			change(&target)
			s.pool.Update([]exchange.Target{target})
			open()
			s.accept().ended() // with no frame before
			if r := s.sink.next(t); r.Attempt != a || r.Outcome != policy.Moot {
				t.Errorf("%+v", r)
			}
			if r := s.sink.nextProbe(t); r.Outcome != policy.Moot {
				t.Errorf("%+v", r)
			}
			s.eventually("the link stays", func() bool { return s.links() == 0 })
			s.sink.none(t)
		})
	}
}

// nextProbe waits for the end of a probe.
func (s *sink) nextProbe(t *testing.T) exchange.Probed {
	t.Helper()
	select {
	case r := <-s.probes:
		return r
	case <-time.After(patience):
		t.Fatal("no probe ended")
	}
	panic("unreachable")
}
