// Package sourceaddr dials from the address that a process listens at, so that all its connections and packets come from
// one address of a machine that has several: what filters and relays between the machines of a fleet go by.
package sourceaddr

import (
	"net"
	"time"
)

// Dial connects by TCP from an address of this machine; nil or an unspecified one leaves the choice to the kernel, and
// so does a loopback one to a peer elsewhere, where it could not come from.
func Dial(from net.IP, to string, wait time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: wait}
	if from != nil && !from.IsUnspecified() && from.IsLoopback() == loopback(to) {
		d.LocalAddr = &net.TCPAddr{IP: from}
	}
	return d.Dial("tcp", to)
}

func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	return err == nil && (host == "localhost" || ip != nil && ip.IsLoopback())
}
