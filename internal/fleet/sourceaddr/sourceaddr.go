// Package sourceaddr dials from the address that a process listens at. On a machine with several addresses all its connections then come
// from one address, which filters and relays between the machines of a fleet rely on.
package sourceaddr

import (
	"net"
	"time"
)

// Dial connects by TCP from an address of this machine. The kernel chooses the address if from is nil or unspecified, or if only one of
// from and to is a loopback address: a loopback source can't reach another machine.
func Dial(from net.IP, to string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if from != nil && !from.IsUnspecified() && from.IsLoopback() == loopback(to) {
		d.LocalAddr = &net.TCPAddr{IP: from}
	}
	return d.Dial("tcp", to)
}

// loopback returns whether the host of an address is a loopback address.
func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	return err == nil && (host == "localhost" || ip != nil && ip.IsLoopback())
}
