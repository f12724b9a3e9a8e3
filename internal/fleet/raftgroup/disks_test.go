package raftgroup

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"birchcart/internal/fleet/store"
)

// disks holds the open store file of each voter, so that a test can make its writes fail.
type disks struct {
	mu    sync.Mutex
	files map[string]*os.File
}

// trackFile records the file that a voter's store opens.
func (d *disks) trackFile(o *Options) {
	o.Store.OpenFile = func(name string, flag int, mode os.FileMode) (*os.File, error) {
		f, err := os.OpenFile(name, flag, mode)
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.files == nil {
			d.files = map[string]*os.File{}
		}
		d.files[o.Name] = f
		return f, err
	}
}

// failWrites makes all further writes of a voter's store fail until it is opened again.
func (d *disks) failWrites(t *testing.T, name string) {
	t.Helper()
	null, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer null.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := syscall.Dup3(int(null.Fd()), int(d.files[name].Fd()), 0); err != nil {
		t.Fatal(err)
	}
}

// voterNames returns the sorted names of the voters in the leader's configuration, separated by spaces.
func (c *cluster) voterNames() string {
	lead, _ := c.leader("")
	voters, err := c.groups[lead].Voters()
	if err != nil {
		return err.Error()
	}
	var names []string
	for _, v := range voters {
		names = append(names, v.Name)
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// replaceUntilDone calls Replace on the current leader until the change has taken effect.
func (c *cluster) replaceUntilDone(old string, with Voter) {
	c.t.Helper()
	waitFor(c.t, with.Name+" votes in place of "+old, waitLimit, func() bool {
		lead, _ := c.leader("")
		if lead == old {
			_ = c.groups[lead].TransferLeadership()
			return false
		}
		if c.groups[lead].Replace(old, with) != nil {
			return false
		}
		names := c.voterNames()
		return strings.Contains(names, with.Name) && !strings.Contains(names, old)
	})
}

// While a voter is replaced, the disk of the new voter, of the old one or of the leader becomes full, or its file is torn by a
// crash. A voter whose write failed reports it and may rejoin once its disk has space. A voter with a torn log must neither
// rejoin nor start empty, because it may have voted; another voter replaces it. In the end, all voters hold each command once.
func TestReplaceWithFullOrTornDisk(t *testing.T) {
	// Long: one scenario, in which each step on the cluster depends on the previous ones.
	t.Parallel()
	for _, kind := range []string{"full", "torn"} {
		for _, at := range []string{"new", "old", "leader"} {
			t.Run(kind+", "+at, func(t *testing.T) {
				t.Parallel()
				var d disks
				c := newCluster(t, 3, func(o *Options) { o.TimeoutFactor = 4; d.trackFile(o) })
				lead, _ := c.leader("")
				c.mustPropose(lead, "a")
				old := "v0"
				if lead == old {
					old = "v1"
				}
				next, other := Voter{"v3", freeAddr(t)}, Voter{"v4", freeAddr(t)}
				c.voters = append(c.voters, next, other)
				c.open(next, false)
				failing := map[string]string{"new": next.Name, "old": old, "leader": lead}[at]
				if kind == "torn" {
					if err := c.groups[lead].Replace("", next); err != nil { // first half of the replacement
						t.Log(err)
					}
					c.close(failing)
					if err := os.Truncate(filepath.Join(c.dir, failing, store.File), 5000); err != nil {
						t.Fatal(err)
					}
					if s, err := Open(c.options(c.voter(failing))); !errors.Is(err, store.ErrTorn) {
						if err == nil {
							s.Close()
						}
						t.Fatalf("opening a torn log: %v", err)
					}
					c.replaceUntilDone(old, next)
					if failing != old {
						c.open(other, false)
						c.replaceUntilDone(failing, other)
					}
				} else {
					d.failWrites(t, failing)
					if err := c.groups[lead].Replace(old, next); err != nil {
						t.Log(err)
					}
					if err := propose(c.groups[lead], "b"); at == "leader" && err == nil {
						t.Error("a proposal was committed on a full disk")
					}
					reopenFailed := func() {
						waitFor(t, "the voter reports the failure", waitLimit, func() bool { return c.groups[failing].Failed() != nil })
						c.close(failing)
						c.open(c.voter(failing), false)
					}
					if at == "leader" { // without it, before the new voter is added, too few voters respond
						reopenFailed()
					}
					c.replaceUntilDone(old, next) // does not depend on the failed voter
					if at == "new" {
						reopenFailed()
					}
				}
				if c.groups[old] != nil {
					c.close(old)
				}
				lead, _ = c.leader("")
				waitFor(t, "a command is committed", waitLimit, func() bool {
					lead, _ = c.leader("")
					return propose(c.groups[lead], "c") == nil
				})
				if s := c.waitUntilEqual(); strings.Count(s, `"a"`) != 1 || strings.Count(s, `"b"`) > 1 || !strings.Contains(s, `"c"`) || len(c.groups) != 3 {
					t.Errorf("%s at %d voters", s, len(c.groups))
				}
			})
		}
	}
}

// A voter is replaced while one clock runs slower than the others, each clock being 1 % off; the leader, the old and the new voter
// have the slow clock in turn. Half way through, the leader is cut off from all others. It must not commit any command that
// the others do not have, and the others complete the replacement.
func TestReplaceWithClockDrift(t *testing.T) {
	// Long: one scenario, in which each step on the cluster depends on the previous ones.
	t.Parallel()
	slowest, fastest := Options{clockFactor: 1.01}, Options{clockFactor: 0.99}
	if slowest.scaleTimeout(LeaderLeaseTimeout) >= fastest.scaleTimeout(HeartbeatTimeout) {
		t.Error("an isolated leader may still hold its lease when another leader is elected")
	}
	for _, slow := range []string{"leader", "old", "new"} {
		t.Run(slow, func(t *testing.T) {
			t.Parallel()
			role := map[string]string{}
			c := newCluster(t, 3, func(o *Options) {
				if o.TimeoutFactor, o.clockFactor = 4, 0.99; role[o.Name] == slow {
					o.clockFactor = 1.01
				}
			})
			lead, _ := c.leader("")
			old := "v0"
			if lead == old {
				old = "v1"
			}
			next := Voter{"v3", freeAddr(t)}
			c.voters = append(c.voters, next)
			role[lead], role[old], role[next.Name] = "leader", "old", "new"
			for _, name := range []string{lead, old} { // reopen with the slow clock
				if role[name] == slow {
					c.close(name)
					c.open(c.voter(name), false)
				}
			}
			c.open(next, false)
			waitFor(t, lead+" leads again", waitLimit, func() bool {
				now, _ := c.leader("")
				if now != lead {
					_ = c.groups[now].TransferLeadership()
				}
				return now == lead
			})
			c.mustPropose(lead, "a")
			if err := c.groups[lead].Replace("", next); err != nil {
				t.Log(err)
			}
			var cut [][2]string
			for _, v := range c.voters {
				if v.Name != lead {
					cut = append(cut, [2]string{c.voter(lead).Addr, v.Addr}, [2]string{v.Addr, c.voter(lead).Addr})
				}
			}
			c.links.setCut(true, cut...)
			began := time.Now()
			if err := propose(c.groups[lead], "b"); err == nil {
				t.Error("a command was committed without a majority")
			}
			now, _ := c.leader(lead)
			t.Logf("%s leads %v after the cut", now, time.Since(began).Round(time.Millisecond))
			waitFor(t, "the isolated leader steps down", waitLimit, func() bool { return c.groups[lead].Verify() != nil })
			if now != old {
				_ = c.groups[now].Replace(old, next) // may succeed while the old leader is cut off
			}
			c.links.setCut(false, cut...)
			c.replaceUntilDone(old, next)
			c.close(old)
			waitFor(t, "a command is committed", waitLimit, func() bool {
				now, _ = c.leader("")
				return propose(c.groups[now], "c") == nil
			})
			if s := c.waitUntilEqual(); strings.Count(s, `"a"`) != 1 || strings.Count(s, `"b"`) > 1 || !strings.Contains(s, `"c"`) || c.voterNames() != strings.Join(votersWithout(old), " ") {
				t.Error(c.voterNames(), s)
			}
		})
	}
}
