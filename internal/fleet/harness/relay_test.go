package harness

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// pair is two ends behind relays: datagrams at both, and connections that this process dials to b as a.
type pair struct {
	net    *Net
	ua, ub *net.UDPConn
	ln     *net.TCPListener
	viaA   netip.AddrPort
	viaB   netip.AddrPort

	dialler net.Dialer // of a
}

func newPair(t *testing.T) *pair {
	t.Helper()
	site, err := FreeSite(2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Leave)
	p := &pair{net: NewNet(7), viaA: site.Relay(0, GossipPort), viaB: site.Relay(1, GossipPort)}
	listen := func(i int) *net.UDPConn {
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(site.Bind(i, GossipPort)))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	p.ua, p.ub = listen(0), listen(1)
	if p.ln, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(site.Bind(1, GossipPort))); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.ln.Close() })
	for i, name := range []string{"a", "b"} {
		if _, err := p.net.Relay(name, site.Relay(i, GossipPort), site.Bind(i, GossipPort), true); err != nil {
			t.Fatal(err)
		}
	}
	p.dialler.LocalAddr = &net.TCPAddr{IP: site.Bind(0, GossipPort).Addr().AsSlice()}
	t.Cleanup(p.net.Close)
	return p
}

// got reads datagrams until none has come for a while, which is long for the first so many: a busy machine passes on late.
func got(t *testing.T, c *net.UDPConn, least int, wait time.Duration) (out []string, from netip.AddrPort) {
	t.Helper()
	b := make([]byte, 2048)
	for {
		patience := wait
		if len(out) < least {
			patience = 10 * time.Second
		}
		c.SetReadDeadline(time.Now().Add(patience))
		n, at, err := c.ReadFromUDPAddrPort(b)
		if err != nil {
			return out, from
		}
		out, from = append(out, string(b[:n])), at
	}
}

func TestDatagrams(t *testing.T) {
	p := newPair(t)
	ab, ba := Link{"a", "b"}, Link{"b", "a"}
	send := func(n int) {
		for range n {
			p.ua.WriteToUDPAddrPort([]byte("x"), p.viaB)
		}
	}
	send(10)
	if s, from := got(t, p.ub, 10, 200*time.Millisecond); len(s) != 10 || from != p.viaA {
		t.Errorf("%d of 10 came, from %v, not %v", len(s), from, p.viaA)
	}
	p.net.Links.Set(ab, Fault{Cut: true})
	send(10)
	if s, _ := got(t, p.ub, 0, 100*time.Millisecond); len(s) != 0 {
		t.Errorf("%d came over a cut", len(s))
	}
	p.ub.WriteToUDPAddrPort([]byte("y"), p.viaA)
	if s, _ := got(t, p.ua, 1, 200*time.Millisecond); len(s) != 1 {
		t.Error("a cut one way cut the other too")
	}
	p.net.Links.Set(ab, Fault{Stop: true})
	send(10)
	if s, _ := got(t, p.ub, 0, 100*time.Millisecond); len(s) != 0 {
		t.Errorf("%d came over a stopped link", len(s))
	}
	p.net.Links.Heal()
	if s, _ := got(t, p.ub, 10, 200*time.Millisecond); len(s) != 10 {
		t.Errorf("%d of 10 came after the stop", len(s))
	}
	p.net.Links.Set(ab, Fault{Drop: 0.5, Repeat: 0.5})
	send(200)
	if s, _ := got(t, p.ub, 90, 300*time.Millisecond); len(s) < 90 || len(s) > 210 {
		t.Errorf("%d of 200 with half lost and half of the rest twice", len(s))
	}
	p.net.Links.Set(ab, Fault{Reorder: 0.5})
	for i := range 50 {
		p.ua.WriteToUDPAddrPort([]byte{byte('0' + i)}, p.viaB)
	}
	s, _ := got(t, p.ub, 50, 300*time.Millisecond)
	if text := strings.Join(s, ""); len(text) != 50 || isSorted(text) {
		t.Errorf("in order, or not whole: %q", text)
	}
	p.net.Links.Set(ba, Fault{Delay: 150 * time.Millisecond})
	began := time.Now()
	p.ub.WriteToUDPAddrPort([]byte("y"), p.viaA)
	if s, _ := got(t, p.ua, 1, 400*time.Millisecond); len(s) != 1 || time.Since(began) < 500*time.Millisecond {
		t.Errorf("%d came, all over after %v", len(s), time.Since(began))
	}
}

func isSorted(s string) bool {
	for i := 1; i < len(s); i++ {
		if s[i] < s[i-1] {
			return false
		}
	}
	return true
}

func TestConnections(t *testing.T) {
	p := newPair(t)
	ab, ba := Link{"a", "b"}, Link{"b", "a"}
	dial := func() net.Conn {
		c, err := p.dialler.Dial("tcp4", p.viaB.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	accept := func(wait time.Duration) net.Conn {
		p.ln.SetDeadline(time.Now().Add(wait))
		c, err := p.ln.Accept()
		if err != nil {
			return nil
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	read := func(c net.Conn, n int, wait time.Duration) error {
		c.SetReadDeadline(time.Now().Add(wait))
		_, err := io.ReadFull(c, make([]byte, n))
		return err
	}
	x := dial()
	y := accept(2 * time.Second)
	if y == nil {
		t.Fatalf("not passed on: %+v", p.net.Links.Tally())
	}
	p.net.Links.Set(ba, Fault{Cut: true})
	x.Write([]byte("there"))
	y.Write([]byte("back"))
	if err := read(y, 5, time.Second); err != nil {
		t.Errorf("a cut one way cut the other: %v", err)
	}
	if err := read(x, 4, 100*time.Millisecond); err == nil {
		t.Error("bytes came over a cut")
	}
	dial()
	if accept(100*time.Millisecond) != nil {
		t.Error("a connection came up over a cut one way")
	}
	p.net.Links.Heal()
	if err := read(x, 4, time.Second); err != nil {
		t.Errorf("bytes that waited for the end of a cut: %v", err)
	}
	accept(time.Second)
	p.net.Links.Set(ab, Fault{Rate: 20000})
	began := time.Now()
	x.Write(bytes.Repeat([]byte("z"), 10000))
	if err := read(y, 10000, 5*time.Second); err != nil || time.Since(began) < 400*time.Millisecond {
		t.Errorf("10,000 bytes at 20,000/s: %v after %v", err, time.Since(began))
	}
	p.net.Links.Reset(ab)
	if err := read(x, 1, time.Second); err == nil || strings.Contains(err.Error(), "EOF") {
		t.Errorf("no reset: %v", err)
	}
	z, err := net.Dial("tcp4", p.viaB.String()) // nobody's
	if err == nil {
		err = read(z, 1, time.Second)
		z.Close()
	}
	if err == nil || p.net.Links.Tally().Strangers != 1 {
		t.Errorf("a stranger's connection: %v", err)
	}
}

func TestProcess(t *testing.T) {
	sleep, err := exec.LookPath("sleep")
	if err != nil {
		t.Skip(err)
	}
	dir := t.TempDir()
	var seen []bool
	p := &Process{
		Name: "p", Path: sleep, Args: []string{"30"}, Dir: filepath.Join(dir, "disk"), Log: filepath.Join(dir, "log"),
		Runs: func(_ string, runs bool) { seen = append(seen, runs) },
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	if p.Signal(syscall.SIGSTOP); !p.Paused() || p.Start() == nil || p.LoseDisk() == nil {
		t.Error("it runs, and does nothing")
	}
	if err := p.Terminate(5 * time.Second); err != nil || p.Running() {
		t.Errorf("still there: %v", err)
	}
	kept := filepath.Join(p.Dir, "kept")
	os.WriteFile(kept, nil, 0o600)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	if err := p.FullDisk(1 << 20); err != nil {
		t.Error(err)
	}
	p.Kill()
	if _, err := os.Stat(kept); err != nil || p.LoseDisk() != nil {
		t.Error("the disk is to be kept")
	}
	if _, err := os.Stat(kept); err == nil || len(seen) != 4 || seen[1] {
		t.Errorf("the disk is to be lost; processes %v", seen)
	}
}
