package harness

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	datagramMost = 65536
	pieceMost    = 16 << 10
	// pieces that wait in one direction of a connection; then its sender is not read.
	piecesMost = 64
	// connsMost are open at once over all relays; more are reset.
	connsMost = 2048
	dialTime  = 2 * time.Second // to a process on this machine; one that does not take it is as good as dead
)

// Relay stands before one process: what comes to its address goes on to the process by the faults of the link from
// whoever sent it. Connections and datagrams share the address, as the gossip engine wants it.
type Relay struct {
	name  string // of the process behind it
	from  string // who alone comes here; "": told by the address
	to    netip.AddrPort
	net   *Net
	tcp   *net.TCPListener
	udp   *net.UDPConn // nil where only connections are relayed
	ended chan struct{}
	wg    sync.WaitGroup
}

// Net is the relays of a fleet, on common links.
type Net struct {
	Links *Links

	mu     sync.Mutex
	relays []*Relay
	from   map[netip.AddrPort]*Relay // by the address behind them: whose datagrams come from there
	names  map[netip.Addr]string
	down   map[string]bool // processes that don't run
}

// NewNet returns a net without relays.
func NewNet(seed uint64) *Net {
	return &Net{Links: NewLinks(seed), from: map[netip.AddrPort]*Relay{}, names: map[netip.Addr]string{}, down: map[string]bool{}}
}

// Runs says whether a process runs. To one that does not, connections are reset at once, as its machine would.
func (n *Net) Runs(name string, runs bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[name] = !runs
}

// dialler tells which process dialled, and whether the one that it wants runs.
func (n *Net) dialler(nc *net.TCPConn, to string) (from string, known, runs bool) {
	at := nc.RemoteAddr().(*net.TCPAddr).AddrPort()
	n.mu.Lock()
	defer n.mu.Unlock()
	from, known = n.names[at.Addr().Unmap()]
	return from, known, !n.down[to]
}

// Relay puts a relay at an address before the process that listens at another; both are on loopback.
func (n *Net) Relay(name string, at, to netip.AddrPort, datagrams bool) (*Relay, error) {
	r := &Relay{name: name, to: to, net: n, ended: make(chan struct{})}
	var err error
	if r.tcp, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(at)); err != nil {
		return nil, err
	}
	if datagrams {
		if r.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err != nil {
			r.tcp.Close()
			return nil, err
		}
		r.wg.Go(r.datagrams)
	}
	n.mu.Lock()
	n.relays = append(n.relays, r)
	n.names[to.Addr()] = name
	if datagrams {
		n.from[to] = r
	}
	n.mu.Unlock()
	r.wg.Go(r.accept)
	return r, nil
}

// Door puts a relay for connections before something that is no process of the fleet. All that comes there counts as
// from one name, since who dials it does so from any address.
func (n *Net) Door(from, name string, at, to netip.AddrPort) error {
	r := &Relay{name: name, from: from, to: to, net: n, ended: make(chan struct{})}
	var err error
	if r.tcp, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(at)); err != nil {
		return err
	}
	n.mu.Lock()
	n.relays = append(n.relays, r)
	n.mu.Unlock()
	r.wg.Go(r.accept)
	return nil
}

// Close ends all relays and waits till nothing of them is left.
func (n *Net) Close() {
	n.mu.Lock()
	relays := n.relays
	n.relays = nil
	n.mu.Unlock()
	for _, r := range relays {
		close(r.ended)
		r.tcp.Close()
		if r.udp != nil {
			r.udp.Close()
		}
	}
	n.Links.mu.Lock()
	for c := range n.Links.conns {
		c.reset()
	}
	n.Links.mu.Unlock()
	for _, r := range relays {
		r.wg.Wait()
	}
}

func (n *Net) stranger() {
	n.Links.mu.Lock()
	defer n.Links.mu.Unlock()
	n.Links.tally.Strangers++
}

// datagrams passes them on, from the sender's own relay: so they come from the address that the others know it by.
func (r *Relay) datagrams() {
	buf := make([]byte, datagramMost)
	for {
		size, from, err := r.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		r.net.mu.Lock()
		sender := r.net.from[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		r.net.mu.Unlock()
		if sender == nil {
			r.net.stranger()
			continue
		}
		link := Link{sender.name, r.name}
		dues := r.net.Links.datagram(link, size)
		if len(dues) == 0 {
			continue
		}
		b := append([]byte(nil), buf[:size]...)
		for _, due := range dues {
			if f, _ := r.net.Links.now(link); due == 0 && !f.Stop {
				sender.udp.WriteToUDPAddrPort(b, r.to)
				r.net.Links.gone(link)
				continue
			}
			r.wg.Go(func() {
				defer r.net.Links.gone(link)
				if r.wait(due) == nil && r.held(link) == nil {
					sender.udp.WriteToUDPAddrPort(b, r.to)
				}
			})
		}
	}
}

// held waits for the end of a stop; a cut in the meantime loses what waits.
func (r *Relay) held(link Link) error {
	for {
		f, changed := r.net.Links.now(link)
		if f.Cut {
			return errEnded
		}
		if !f.Stop {
			return nil
		}
		select {
		case <-changed:
		case <-r.ended:
			return errEnded
		}
	}
}

func (r *Relay) wait(d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-r.ended:
		return errEnded
	}
}
