package sourceaddr

import (
	"net"
	"testing"
	"time"
)

// A connection comes from the requested loopback address; in all other cases the kernel chooses the source.
func TestDial(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for from, want := range map[string]string{"127.0.0.2": "127.0.0.2", "0.0.0.0": "127.0.0.1", "": "127.0.0.1", "192.0.2.1": "127.0.0.1"} {
		out, err := Dial(net.ParseIP(from), ln.Addr().String(), time.Second)
		if err != nil {
			t.Fatalf("from %q: %v", from, err)
		}
		in, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if ip := in.RemoteAddr().(*net.TCPAddr).IP.String(); ip != want {
			t.Errorf("from %q: the connection came from %s, want %s", from, ip, want)
		}
		in.Close()
		out.Close()
	}
}
