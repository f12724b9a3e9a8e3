package member

import (
	"errors"
	"fmt"
	"log"
	"net"
	"net/netip"
	"sync"
	"time"

	sockaddr "github.com/hashicorp/go-sockaddr"
	"github.com/hashicorp/memberlist"
)

const (
	// maxDatagramSize is the maximum number of bytes that UDP carries in one packet: the room to read one, as its size is not known before.
	maxDatagramSize = 1 << 16
	// kernelBufferSize is asked of the kernel for packets that wait to be read. Twice as much: more that is old after a stall;
	// half: a stall of half the length loses some of what 300 send.
	kernelBufferSize = 2 << 20
	// acceptRetryDelay follows a stream that could not be accepted, for want of descriptors. Twice as long: streams wait so much
	// longer after it; half: twice the lines of it.
	acceptRetryDelay = 100 * time.Millisecond
)

// sockets listen for memberlist, by UDP and TCP at one address. memberlist's own take 64 KB of new memory for each packet,
// however short: 20 MB a second at a leader that 300 poll, for its collector to take back. These read into one buffer and copy
// what came.
type sockets struct {
	tcp     *net.TCPListener
	udp     *net.UDPConn
	packets chan *memberlist.Packet
	streams chan net.Conn
	log     *log.Logger
	stop    chan struct{}
	done    sync.WaitGroup
	once    sync.Once
}

// listen takes an address; port 0 is a free one, the same for both.
func listen(host string, port int, log *log.Logger) (*sockets, error) {
	ip := net.ParseIP(host)
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip, Port: port})
	if err != nil {
		return nil, err
	}
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: ip, Port: tcp.Addr().(*net.TCPAddr).Port})
	if err != nil {
		_ = tcp.Close()
		return nil, err
	}
	for size := kernelBufferSize; size > 0 && udp.SetReadBuffer(size) != nil; size /= 2 {
	}
	s := &sockets{tcp: tcp, udp: udp, packets: make(chan *memberlist.Packet), streams: make(chan net.Conn), log: log, stop: make(chan struct{})}
	s.done.Go(s.readPackets)
	s.done.Go(s.acceptStreams)
	return s, nil
}

func (s *sockets) port() int { return s.tcp.Addr().(*net.TCPAddr).Port }

// readPackets hands the packets on, each in memory of its own, since memberlist decrypts in place and keeps them.
func (s *sockets) readPackets() {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, from, err := s.udp.ReadFromUDPAddrPort(buffer)
		at := time.Now()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.log.Printf("[ERR] memberlist: Error reading UDP packet: %v", err)
			continue
		case n == 0:
			continue
		}
		select {
		case s.packets <- &memberlist.Packet{Buf: append([]byte(nil), buffer[:n]...), From: net.UDPAddrFromAddrPort(from), Timestamp: at}:
		case <-s.stop:
			return
		}
	}
}

func (s *sockets) acceptStreams() {
	for {
		conn, err := s.tcp.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Printf("[ERR] memberlist: Error accepting TCP connection: %v", err)
			select {
			case <-time.After(acceptRetryDelay):
			case <-s.stop:
				return
			}
			continue
		}
		select {
		case s.streams <- conn:
		case <-s.stop:
			_ = conn.Close()
			return
		}
	}
}

// FinalAdvertiseAddr is what others get: an address of the file, that which was bound, or, bound to all, the machine's
// private one.
func (s *sockets) FinalAdvertiseAddr(host string, port int) (net.IP, int, error) {
	bound := s.tcp.Addr().(*net.TCPAddr)
	ip := bound.IP
	switch {
	case host != "":
		if ip = net.ParseIP(host); ip == nil {
			return nil, 0, fmt.Errorf("%q is no IP address", host)
		}
	case ip.IsUnspecified():
		private, err := sockaddr.GetPrivateIP()
		if err != nil {
			return nil, 0, err
		}
		if ip = net.ParseIP(private); ip == nil {
			return nil, 0, errors.New("bound to all addresses, none of them private: an address that others use is needed")
		}
		port = bound.Port
	default:
		port = bound.Port
	}
	if ipv4 := ip.To4(); ipv4 != nil {
		ip = ipv4
	}
	return ip, port, nil
}

func (s *sockets) WriteTo(b []byte, address string) (time.Time, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil { // a name
		resolved, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			return time.Time{}, err
		}
		to = resolved.AddrPort()
	}
	_, err = s.udp.WriteToUDPAddrPort(b, to)
	return time.Now(), err
}

func (s *sockets) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return s.WriteTo(b, a.Addr)
}

func (s *sockets) DialTimeout(address string, wait time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, wait)
}

func (s *sockets) DialAddressTimeout(a memberlist.Address, wait time.Duration) (net.Conn, error) {
	return s.DialTimeout(a.Addr, wait)
}

func (s *sockets) PacketCh() <-chan *memberlist.Packet { return s.packets }
func (s *sockets) StreamCh() <-chan net.Conn           { return s.streams }

// Shutdown ends both, and returns once nothing of theirs runs.
func (s *sockets) Shutdown() error {
	s.once.Do(func() {
		close(s.stop)
		_, _ = s.tcp.Close(), s.udp.Close()
	})
	s.done.Wait()
	return nil
}
