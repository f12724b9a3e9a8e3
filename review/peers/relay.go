package main

import (
	"net"
	"sync"
)

// relay is a stretch of network before one reader. While it is cut nothing passes in either direction: what was written to an open
// connection arrives once the cut is over, as TCP sends it again until then; a new connection is reset when the cut is over.
type relay struct {
	ln     net.Listener
	target string

	mu   sync.Mutex
	open chan struct{} // closed while bytes pass
	cut  bool
}

func newRelay(target string) (*relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &relay{ln: ln, target: target, open: make(chan struct{})}
	close(l.open)
	go l.accept()
	return l, nil
}

func (l *relay) address() string { return l.ln.Addr().String() }

func (l *relay) close() { l.ln.Close() }

// setCut cuts the stretch, or ends the cut.
func (l *relay) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut == l.cut {
		return
	}
	if l.cut = cut; cut {
		l.open = make(chan struct{})
	} else {
		close(l.open)
	}
}

// passes returns a channel that is closed while bytes pass, and whether they pass now.
func (l *relay) passes() (<-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open, !l.cut
}

func (l *relay) accept() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.serve(c.(*net.TCPConn))
	}
}

func (l *relay) serve(client *net.TCPConn) {
	defer client.Close()
	if open, now := l.passes(); !now {
		<-open
		client.SetLinger(0) // a reset
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		client.SetLinger(0)
		return
	}
	defer server.Close()
	var both sync.WaitGroup
	both.Go(func() { l.copy(server.(*net.TCPConn), client) })
	both.Go(func() { l.copy(client, server.(*net.TCPConn)) })
	both.Wait()
}

// copy passes bytes on in their order, and the end of the stream behind them.
func (l *relay) copy(to, from *net.TCPConn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		open, _ := l.passes()
		<-open
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			to.CloseWrite()
			return
		}
	}
}
