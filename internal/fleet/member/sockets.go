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
	// maxDatagramSize is the maximum size of a UDP packet in bytes, and the size of the read buffer, because a packet's
	// size is not known before it is read.
	maxDatagramSize = 1 << 16
	// kernelBufferSize is the requested size of the kernel's receive buffer in bytes. With twice the size, more packets would be outdated
	// after a stall; with half, a stall of half the length would already lose some of the packets of 300 members.
	kernelBufferSize = 2 << 20
	// acceptRetryDelay is the delay after a stream could not be accepted because file descriptors ran out. Doubling it would keep streams
	// waiting longer afterwards; halving it would double the log lines.
	acceptRetryDelay = 100 * time.Millisecond
)

// sockets is a memberlist transport that listens for UDP and TCP on one address. memberlist's own transport allocates 64 KB for each
// packet, however short: at a leader polled by 300 members that is 20 MB of garbage per second. This one reads into one buffer and
// copies the received bytes.
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

// listen opens both sockets on the same port; port 0 selects a free one.
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

// readPackets passes the packets to memberlist. Each packet gets its own memory, because memberlist decrypts in place and keeps it.
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

// FinalAdvertiseAddr returns the address that is advertised to other members: the configured one, else the bound one, or the machine's
// private address if bound to all addresses.
func (s *sockets) FinalAdvertiseAddr(host string, port int) (net.IP, int, error) {
	bound := s.tcp.Addr().(*net.TCPAddr)
	ip := bound.IP
	switch {
	case host != "":
		if ip = net.ParseIP(host); ip == nil {
			return nil, 0, fmt.Errorf("%q is not an IP address", host)
		}
	case ip.IsUnspecified():
		private, err := sockaddr.GetPrivateIP()
		if err != nil {
			return nil, 0, err
		}
		if ip = net.ParseIP(private); ip == nil {
			return nil, 0, errors.New("bound to all addresses, but none of them is private: an advertise address is needed")
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
	if err != nil { // a host name
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

// Shutdown closes both sockets and returns when their goroutines have ended.
func (s *sockets) Shutdown() error {
	s.once.Do(func() {
		close(s.stop)
		_, _ = s.tcp.Close(), s.udp.Close()
	})
	s.done.Wait()
	return nil
}
