package harness

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
)

// dialler tells which process dialled a connection: by its address, if it is a process's own, and else by who holds the
// socket at the other end. False if none of the processes does.
func (n *Net) dialler(nc *net.TCPConn) (string, bool) {
	at := nc.RemoteAddr().(*net.TCPAddr).AddrPort()
	at = netip.AddrPortFrom(at.Addr().Unmap(), at.Port())
	n.mu.Lock()
	for to, r := range n.from {
		if to.Addr() == at.Addr() {
			n.mu.Unlock()
			return r.name, true
		}
	}
	pids := map[string]int{}
	for name, pid := range n.pids {
		if pid > 0 {
			pids[name] = pid
		}
	}
	n.mu.Unlock()
	inode, ok := inodeOf(at)
	if !ok {
		return "", false
	}
	for name, pid := range pids {
		if holds(pid, inode) {
			return name, true
		}
	}
	return "", false
}

// inodeOf finds the socket that is bound to an address and connected, in the kernel's table.
func inodeOf(at netip.AddrPort) (string, bool) {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	ip := at.Addr().As4()
	want := fmt.Sprintf(" %08X:%04X ", binary.NativeEndian.Uint32(ip[:]), at.Port())
	for rest := string(raw); ; {
		i := strings.Index(rest, want)
		if i < 0 {
			return "", false
		}
		line, more, _ := strings.Cut(rest[i:], "\n")
		// From the local address on: local, remote, state, queues, timer, resent, user, timeout, inode. Where the
		// address stands as the remote one, the line is that of the relay's own socket.
		before := rest[strings.LastIndexByte(rest[:i], '\n')+1 : i]
		if f := strings.Fields(line); strings.HasSuffix(before, ":") && len(f) > 8 && f[8] != "0" {
			return f[8], true
		}
		rest = more
	}
}

// holds tells whether a process has a socket open.
func holds(pid int, inode string) bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if to, err := os.Readlink(dir + "/" + e.Name()); err == nil && to == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
