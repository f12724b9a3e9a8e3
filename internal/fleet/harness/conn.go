package harness

import (
	"net"
	"sync"
	"time"
)

func (r *Relay) accept() {
	for {
		nc, err := r.tcp.AcceptTCP()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.serve(nc) })
	}
}

// conn is a connection from one process to another.
type conn struct {
	link Link
	mu   sync.Mutex
	ends []*net.TCPConn
	over chan struct{}
	done bool
}

// reset ends both sides with a reset.
func (c *conn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		return
	}
	c.done = true
	close(c.over)
	for _, nc := range c.ends {
		nc.SetLinger(0)
		nc.Close()
	}
}

// add takes the second end, unless the connection is over already.
func (c *conn) add(nc *net.TCPConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		nc.Close()
		return false
	}
	c.ends = append(c.ends, nc)
	return true
}

func (r *Relay) serve(nc *net.TCPConn) {
	links := r.net.Links
	from, known, runs := r.from, true, true
	if from == "" {
		from, known, runs = r.net.dialler(nc, r.name)
	}
	if !known {
		r.net.stranger()
	}
	if !known || !runs {
		nc.SetLinger(0)
		nc.Close()
		return
	}
	c := &conn{link: Link{from, r.name}, ends: []*net.TCPConn{nc}, over: make(chan struct{})}
	links.mu.Lock()
	if len(links.conns) >= connsMost {
		links.mu.Unlock()
		c.reset()
		return
	}
	links.conns[c] = struct{}{}
	links.tally.Connections++
	links.mu.Unlock()
	defer func() {
		c.reset()
		links.mu.Lock()
		delete(links.conns, c)
		links.mu.Unlock()
	}()
	select {
	case <-r.ended: // it came while the net was being closed
		return
	default:
	}
	back := Link{r.name, from}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer c.reset()
	pieces := make(chan piece, piecesMost)
	gone := make(chan struct{})
	wg.Go(func() { // from the start, to hear a dialler that gives up
		r.read(c, nc, c.link, pieces)
		close(gone)
	})
	// A connection comes up by words both ways.
	if links.passable(c.link, c.over, gone) != nil || links.passable(back, c.over, gone) != nil {
		return
	}
	d := net.Dialer{Timeout: dialTime}
	other, err := d.Dial("tcp4", r.to.String())
	if err != nil || !c.add(other.(*net.TCPConn)) {
		return
	}
	replies := make(chan piece, piecesMost)
	var both sync.WaitGroup
	wg.Go(func() { r.read(c, other.(*net.TCPConn), back, replies) })
	both.Go(func() { r.write(c, other.(*net.TCPConn), c.link, pieces) })
	both.Go(func() { r.write(c, nc, back, replies) })
	both.Wait()
}

// piece is some bytes of a connection; none at its sender's end.
type piece struct {
	b  []byte
	at time.Time
}

func (r *Relay) read(c *conn, nc *net.TCPConn, link Link, to chan<- piece) {
	defer close(to)
	b := make([]byte, pieceMost)
	for {
		size, err := nc.Read(b)
		if size > 0 {
			select {
			case to <- piece{append([]byte(nil), b[:size]...), time.Now().Add(r.net.Links.piece(link, size))}:
			case <-c.over:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// write passes on what was read, in order; its sender's end as well.
func (r *Relay) write(c *conn, nc *net.TCPConn, link Link, from <-chan piece) {
	for p := range from {
		if d := time.Until(p.at); d > 0 {
			t := time.NewTimer(d)
			select {
			case <-t.C:
			case <-c.over:
				t.Stop()
				return
			}
		}
		if r.net.Links.passable(link, c.over, nil) != nil {
			return
		}
		if _, err := nc.Write(p.b); err != nil {
			c.reset()
			return
		}
	}
	if r.net.Links.passable(link, c.over, nil) == nil {
		nc.CloseWrite()
	}
}
