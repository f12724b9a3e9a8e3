package harness

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
)

// Ports of each co-ordinator, below those that the kernel deals out. All addresses are the process's own.
const (
	GossipPort  = 7946
	CouncilPort = 7300
	ServePort   = 9080
	ListPort    = 7500 // of the relay before discovery
	ReplicaPort = 9101 // of the first stand-in replica; they share an address
)

// Site is a stretch of loopback addresses that nobody else uses: for each process one of its own and one of its relay.
type Site struct{ block byte }

// taken are the stretches in use by this process.
var taken = struct {
	mu     sync.Mutex
	blocks map[byte]bool
}{blocks: map[byte]bool{}}

// Leave gives the stretch back.
func (s Site) Leave() {
	taken.mu.Lock()
	defer taken.mu.Unlock()
	delete(taken.blocks, s.block)
}

// ProcessesMost bounds the processes of a site.
const ProcessesMost = 60

// FreeSite finds a stretch for so many processes. Its search begins at a place of this process's, so that runs beside
// each other rarely meet.
func FreeSite(processes int) (Site, error) {
	if processes < 1 || processes > ProcessesMost {
		return Site{}, fmt.Errorf("%d processes; 1 to %d have addresses", processes, ProcessesMost)
	}
	taken.mu.Lock()
	defer taken.mu.Unlock()
	for i := range 250 {
		s := Site{byte(1 + (os.Getpid()*7+i)%250)}
		if !taken.blocks[s.block] && s.free(processes) {
			taken.blocks[s.block] = true
			return s, nil
		}
	}
	return Site{}, errors.New("no stretch of loopback addresses is free")
}

func (s Site) free(processes int) bool {
	for i := range processes {
		for _, at := range []netip.AddrPort{s.Relay(i, GossipPort), s.Bind(i, GossipPort), s.Bind(i, ServePort)} {
			ln, err := net.Listen("tcp4", at.String())
			if err != nil {
				return false
			}
			ln.Close()
		}
	}
	return true
}

// Bind is where a process listens.
func (s Site) Bind(i, port int) netip.AddrPort { return s.at(2*i+1, port) }

// Relay is where the others reach it.
func (s Site) Relay(i, port int) netip.AddrPort { return s.at(2*i+2, port) }

// Replica is where a stand-in replica listens.
func (s Site) Replica(i int) netip.AddrPort { return s.at(250, ReplicaPort+i) }

// Door is where co-ordinators reach it if it has a relay before it.
func (s Site) Door(i int) netip.AddrPort { return s.at(249, ReplicaPort+i) }

func (s Site) at(host, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 77, s.block, byte(host)}), uint16(port))
}
