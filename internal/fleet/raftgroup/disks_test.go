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

// disks are those of seats, which take nothing any more from one moment on.
type disks struct {
	mu    sync.Mutex
	files map[string]*os.File
}

// hold has a voter's store open its file by way of these.
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

// fill lets each further write of a voter's store fail, until it is opened again.
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

// names of the voters, as the one that leads has them.
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

// swap replaces a voter, and asks again until it has come to pass, whoever leads.
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

// While a voter is replaced the disk of the new one, of the old one or of the leader takes no more, or its file is torn by
// a crash. A voter whose log failed says so, and is taken again once there is room. One whose log is torn is not taken again,
// nor begun anew: it may have voted. Another takes its place, and in the end all have each word once.
func TestReplaceWithFullOrTornDisk(t *testing.T) {
	// Long: one scenario on one cluster, whose steps build on each other in the order that they are told.
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
				bad := map[string]string{"new": next.Name, "old": old, "leader": lead}[at]
				if kind == "torn" {
					if err := c.groups[lead].Replace("", next); err != nil { // half way
						t.Log(err)
					}
					c.close(bad)
					if err := os.Truncate(filepath.Join(c.dir, bad, store.File), 5000); err != nil {
						t.Fatal(err)
					}
					if s, err := Open(c.options(c.voter(bad))); !errors.Is(err, store.ErrTorn) {
						if err == nil {
							s.Close()
						}
						t.Fatalf("a torn log: %v", err)
					}
					c.replaceUntilDone(old, next)
					if bad != old {
						c.open(other, false)
						c.replaceUntilDone(bad, other)
					}
				} else {
					d.failWrites(t, bad)
					if err := c.groups[lead].Replace(old, next); err != nil {
						t.Log(err)
					}
					if err := propose(c.groups[lead], "b"); at == "leader" && err == nil {
						t.Error("taken on a full disk")
					}
					again := func() {
						waitFor(t, "it says so", waitLimit, func() bool { return c.groups[bad].Failed() != nil })
						c.close(bad)
						c.open(c.voter(bad), false)
					}
					if at == "leader" { // without it, and before the new one is there, too few would answer
						again()
					}
					c.replaceUntilDone(old, next) // which needs no word of the others' bad ones
					if at == "new" {
						again()
					}
				}
				if c.groups[old] != nil {
					c.close(old)
				}
				lead, _ = c.leader("")
				waitFor(t, "a word is taken", waitLimit, func() bool {
					lead, _ = c.leader("")
					return propose(c.groups[lead], "c") == nil
				})
				if s := c.waitUntilEqual(); strings.Count(s, `"a"`) != 1 || strings.Count(s, `"b"`) > 1 || !strings.Contains(s, `"c"`) || len(c.groups) != 3 {
					t.Errorf("%s at %d seats", s, len(c.groups))
				}
			})
		}
	}
}

// A voter is replaced while clocks run 1 % apart: each voter's in turn is the slow one among fast ones. The leader is cut off
// from all in the middle, as it was about to finish; it takes no word that the others do not have, and they finish.
func TestReplaceWithClockDrift(t *testing.T) {
	// Long: one scenario on one cluster, whose steps build on each other in the order that they are told.
	t.Parallel()
	slowest, fastest := Options{clockFactor: 1.01}, Options{clockFactor: 0.99}
	if slowest.scaleTimeout(LeaderLeaseTimeout) >= fastest.scaleTimeout(HeartbeatTimeout) {
		t.Error("a leader that is cut off may still hold its lease when another is elected")
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
			for _, name := range []string{lead, old} { // by their new clocks
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
				t.Error("a word is taken without a majority")
			}
			now, _ := c.leader(lead)
			t.Logf("%s leads %v after the cut", now, time.Since(began).Round(time.Millisecond))
			waitFor(t, "who was cut off leads no more", waitLimit, func() bool { return c.groups[lead].Verify() != nil })
			if now != old {
				_ = c.groups[now].Replace(old, next) // before the cut is over, if they can
			}
			c.links.setCut(false, cut...)
			c.replaceUntilDone(old, next)
			c.close(old)
			waitFor(t, "a word is taken", waitLimit, func() bool {
				now, _ = c.leader("")
				return propose(c.groups[now], "c") == nil
			})
			if s := c.waitUntilEqual(); strings.Count(s, `"a"`) != 1 || strings.Count(s, `"b"`) > 1 || !strings.Contains(s, `"c"`) || c.voterNames() != strings.Join(votersWithout(old), " ") {
				t.Error(c.voterNames(), s)
			}
		})
	}
}
