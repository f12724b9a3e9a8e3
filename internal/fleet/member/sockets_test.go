package member

import (
	"bytes"
	"io"
	"log"
	"net"
	"runtime"
	"testing"
	"time"
)

// Reading a packet allocates about the packet's size, its content is not overwritten by the next packet, and Shutdown returns at once
// even if received packets and streams were not consumed.
func TestSocketsAllocatePerPacketSize(t *testing.T) {
	// Long: one measurement of allocations, with its set-up.
	logger := log.New(io.Discard, "", 0)
	from, err := listen("127.0.0.1", 0, logger)
	if err != nil {
		t.Fatal(err)
	}
	to, err := listen("127.0.0.1", 0, logger)
	if err != nil {
		t.Fatal(err)
	}
	ip, port, err := to.FinalAdvertiseAddr("", 0)
	if err != nil || port != to.port() || len(ip) != net.IPv4len {
		t.Fatal(ip, port, err)
	}
	address := to.udp.LocalAddr().String()
	const packets = 200
	exchange := func(i int) []byte {
		if _, err := from.WriteTo(bytes.Repeat([]byte{byte(i)}, 150), address); err != nil {
			t.Fatal(err)
		}
		select {
		case p := <-to.PacketCh():
			if p.From.String() != from.udp.LocalAddr().String() || time.Since(p.Timestamp) > time.Minute {
				t.Fatal(p.From, p.Timestamp)
			}
			return p.Buf
		case <-time.After(10 * time.Second):
			t.Fatal("a packet did not arrive")
		}
		return nil
	}
	first := exchange(1)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range packets {
		exchange(i)
	}
	runtime.ReadMemStats(&after)
	if each := (after.TotalAlloc - before.TotalAlloc) / packets; each > 8<<10 {
		t.Errorf("a packet of 150 bytes allocates %d bytes", each)
	}
	if !bytes.Equal(first, bytes.Repeat([]byte{1}, 150)) {
		t.Error("a delivered packet was overwritten")
	}
	if _, err := from.WriteTo([]byte{1}, address); err != nil {
		t.Error(err)
	}
	conn, err := from.DialTimeout(address, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	end := make(chan error, 2)
	for _, s := range []*sockets{from, to} {
		go func() { end <- s.Shutdown() }()
	}
	for range 2 {
		select {
		case <-end:
		case <-time.After(10 * time.Second):
			t.Fatal("Shutdown does not return")
		}
	}
}
