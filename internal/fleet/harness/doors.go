package harness

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"birchcart/internal/standin"
)

// Ends of links beside the processes.
const (
	listEnd    = "discovery"
	clientsEnd = "clients"  // of the replicas: all processes, which can't be told apart there
	allEnd     = "replicas" // each of them
)

// doors puts relays before discovery, one for each process, and before each replica, and names these on the list.
func (c *Cluster) doors(processes int) error {
	list, err := netip.ParseAddrPort(c.fleet.Discovery.Address())
	if err != nil {
		return err
	}
	for i := range processes {
		if err := c.net.Door(fmt.Sprintf("n%d", i), listEnd, c.site.Relay(i, ListPort), list); err != nil {
			return err
		}
	}
	for i, r := range c.fleet.Replicas {
		if err := c.net.Door(clientsEnd, r.Name, c.site.Door(i), c.site.Replica(i)); err != nil {
			return err
		}
		c.fleet.Discovery.Set(r.Name, func(e *standin.Endpoint) { e.Address = c.address(r) })
	}
	return nil
}

// address is where co-ordinators reach a replica.
func (c *Cluster) address(r *standin.Replica) string {
	if !c.opt.Terms.Relays {
		return r.Address()
	}
	return c.site.Door(slices.Index(c.fleet.Replicas, r)).String()
}

// discovery is where a process reaches it.
func (c *Cluster) discovery(i int) string {
	if !c.opt.Terms.Relays {
		return c.fleet.Discovery.Address()
	}
	return c.site.Relay(i, ListPort).String()
}

// ends are the names of a step's ends of links.
func (c *Cluster) ends(names []string) (out []string) {
	for _, name := range names {
		switch {
		case name == allEnd:
			for _, r := range c.fleet.Replicas {
				out = append(out, r.Name)
			}
		case name == listEnd || name == clientsEnd || strings.HasPrefix(name, "r") && len(name) > 1 && name[1] >= '0' && name[1] <= '9':
			out = append(out, name)
		default:
			for _, i := range c.places([]string{name}) {
				if !slices.Contains(out, c.procs[i].Name) {
					out = append(out, c.procs[i].Name)
				}
			}
		}
	}
	return out
}

// lie has a process get its list from a discovery of its own, by its platform's file: the list as it stands, which
// does not change any more; if gone, two replicas of one cell are so there. truth gives it the real one again.
func (c *Cluster) lie(i int, gone bool) error {
	d, err := standin.NewDiscovery(c.fleet.Discovery.List().Endpoints)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.lies = append(c.lies, d)
	c.mu.Unlock()
	if gone {
		cell := int(c.luck(time.Duration(cells)))
		for _, name := range []string{fmt.Sprintf("r%d", cell), fmt.Sprintf("r%d", cell+cells)} {
			d.Set(name, func(e *standin.Endpoint) { e.Status = "Gone" })
		}
	}
	c.begin(c.h.Deaf, i, "list")
	return c.point(i, d.Address())
}

func (c *Cluster) truth(i int) error {
	c.finish(c.h.Deaf, i, "list")
	return c.point(i, c.discovery(i))
}

// point names a process another discovery, and says so to it.
func (c *Cluster) point(i int, address string) error {
	raw, err := c.config(i, len(c.procs), address)
	if err != nil {
		return err
	}
	path := filepath.Join(c.opt.Dir, fmt.Sprintf("n%d", i), "config.json")
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	if !c.procs[i].Running() {
		return nil // it reads the file at its start
	}
	return c.procs[i].Signal(syscall.SIGHUP)
}
