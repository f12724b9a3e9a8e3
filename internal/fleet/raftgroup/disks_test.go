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
func (d *disks) hold(o *Options) {
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
func (d *disks) fill(t *testing.T, name string) {
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
func (c *cluster) names() string {
	lead, _ := c.leader("")
	voters, err := c.seats[lead].Voters()
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
func (c *cluster) swap(old string, with Voter) {
	c.t.Helper()
	until(c.t, with.Name+" votes in place of "+old, patience, func() bool {
		lead, _ := c.leader("")
		if lead == old {
			_ = c.seats[lead].HandOver()
			return false
		}
		if c.seats[lead].Replace(old, with) != nil {
			return false
		}
		names := c.names()
		return strings.Contains(names, with.Name) && !strings.Contains(names, old)
	})
}

// While a voter is replaced the disk of the new one, of the old one or of the leader takes no more, or its file is torn by
// a crash. A voter whose log failed says so, and is taken again once there is room. One whose log is torn is not taken again,
// nor begun anew: it may have voted. Another takes its place, and in the end all have each word once.
func TestReplaceOnBadDisks(t *testing.T) {
	// Long: one scenario on one cluster, whose steps build on each other in the order that they are told.
	t.Parallel()
	for _, kind := range []string{"full", "torn"} {
		for _, at := range []string{"new", "old", "leader"} {
			t.Run(kind+", "+at, func(t *testing.T) {
				t.Parallel()
				var d disks
				c := newCluster(t, 3, func(o *Options) { o.Patience = 4; d.hold(o) })
				lead, _ := c.leader("")
				c.must(lead, "a")
				old := "v0"
				if lead == old {
					old = "v1"
				}
				next, other := Voter{"v3", free(t)}, Voter{"v4", free(t)}
				c.voters = append(c.voters, next, other)
				c.open(next, false)
				bad := map[string]string{"new": next.Name, "old": old, "leader": lead}[at]
				if kind == "torn" {
					if err := c.seats[lead].Replace("", next); err != nil { // half way
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
					c.swap(old, next)
					if bad != old {
						c.open(other, false)
						c.swap(bad, other)
					}
				} else {
					d.fill(t, bad)
					if err := c.seats[lead].Replace(old, next); err != nil {
						t.Log(err)
					}
					if err := propose(c.seats[lead], "b"); at == "leader" && err == nil {
						t.Error("taken on a full disk")
					}
					again := func() {
						until(t, "it says so", patience, func() bool { return c.seats[bad].Failed() != nil })
						c.close(bad)
						c.open(c.voter(bad), false)
					}
					if at == "leader" { // without it, and before the new one is there, too few would answer
						again()
					}
					c.swap(old, next) // which needs no word of the others' bad ones
					if at == "new" {
						again()
					}
				}
				if c.seats[old] != nil {
					c.close(old)
				}
				lead, _ = c.leader("")
				until(t, "a word is taken", patience, func() bool {
					lead, _ = c.leader("")
					return propose(c.seats[lead], "c") == nil
				})
				if s := c.same(); strings.Count(s, `"a"`) != 1 || strings.Count(s, `"b"`) > 1 || !strings.Contains(s, `"c"`) || len(c.seats) != 3 {
					t.Errorf("%s at %d seats", s, len(c.seats))
				}
			})
		}
	}
}

// A voter is replaced while clocks run 1 % apart: each voter's in turn is the slow one among fast ones. The leader is cut off
// from all in the middle, as it was about to finish; it takes no word that the others do not have, and they finish.
func TestReplaceWithClocksApart(t *testing.T) {
	// Long: one scenario on one cluster, whose steps build on each other in the order that they are told.
	t.Parallel()
	slowest, fastest := Options{pace: 1.01}, Options{pace: 0.99}
	if slowest.paced(LeaderLeaseTimeout) >= fastest.paced(HeartbeatTimeout) {
		t.Error("a leader that is cut off may still hold its lease when another is elected")
	}
	for _, slow := range []string{"leader", "old", "new"} {
		t.Run(slow, func(t *testing.T) {
			t.Parallel()
			role := map[string]string{}
			c := newCluster(t, 3, func(o *Options) {
				if o.Patience, o.pace = 4, 0.99; role[o.Name] == slow {
					o.pace = 1.01
				}
			})
			lead, _ := c.leader("")
			old := "v0"
			if lead == old {
				old = "v1"
			}
			next := Voter{"v3", free(t)}
			c.voters = append(c.voters, next)
			role[lead], role[old], role[next.Name] = "leader", "old", "new"
			for _, name := range []string{lead, old} { // by their new clocks
				if role[name] == slow {
					c.close(name)
					c.open(c.voter(name), false)
				}
			}
			c.open(next, false)
			until(t, lead+" leads again", patience, func() bool {
				now, _ := c.leader("")
				if now != lead {
					_ = c.seats[now].HandOver()
				}
				return now == lead
			})
			c.must(lead, "a")
			if err := c.seats[lead].Replace("", next); err != nil {
				t.Log(err)
			}
			var cut [][2]string
			for _, v := range c.voters {
				if v.Name != lead {
					cut = append(cut, [2]string{c.voter(lead).Addr, v.Addr}, [2]string{v.Addr, c.voter(lead).Addr})
				}
			}
			c.links.set(true, cut...)
			began := time.Now()
			if err := propose(c.seats[lead], "b"); err == nil {
				t.Error("a word is taken without a majority")
			}
			now, _ := c.leader(lead)
			t.Logf("%s leads %v after the cut", now, time.Since(began).Round(time.Millisecond))
			until(t, "who was cut off leads no more", patience, func() bool { return c.seats[lead].Verify() != nil })
			if now != old {
				_ = c.seats[now].Replace(old, next) // before the cut is over, if they can
			}
			c.links.set(false, cut...)
			c.swap(old, next)
			c.close(old)
			until(t, "a word is taken", patience, func() bool {
				now, _ = c.leader("")
				return propose(c.seats[now], "c") == nil
			})
			if s := c.same(); strings.Count(s, `"a"`) != 1 || strings.Count(s, `"b"`) > 1 || !strings.Contains(s, `"c"`) || c.names() != strings.Join(wanted(old), " ") {
				t.Error(c.names(), s)
			}
		})
	}
}
