package raftgroup

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"
)

// Not beside the others: it measures.
func TestLeaderKilled(t *testing.T) {
	for n, kills := range map[int]int{3: 5, 5: 3} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := newCluster(t, n, func(o *Options) { o.Patience = 1 })
			var took []time.Duration
			for i := range kills {
				old, _ := c.leader("")
				c.must(old, fmt.Sprint("word ", i))
				c.close(old)
				_, d := c.leader(old)
				took = append(took, d)
				c.open(c.voter(old), false)
			}
			sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
			most := took[len(took)-1]
			t.Logf("%d voters: leader killed %d times, a new one after %v (middle), %v (most)", n, kills, took[kills/2], most)
			// On a quiet machine all are under 3 s; one that has ten times as many runnable threads as cores takes longer.
			if took[kills/2] > 3*time.Second || most > 8*time.Second {
				t.Error("too long")
			}
			if s := c.same(); !strings.Contains(s, fmt.Sprintf(`"word %d"],`, kills-1)) || strings.Count(s, "word") != kills {
				t.Error(s)
			}
		})
	}
}

func TestLeaderCutOff(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"both", "out"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3, nil)
			old, _ := c.leader("")
			c.must(old, "before")
			var pairs [][2]string
			for _, v := range c.voters {
				if v.Name != old {
					pairs = append(pairs, [2]string{c.voter(old).Addr, v.Addr})
					if kind == "both" {
						pairs = append(pairs, [2]string{v.Addr, c.voter(old).Addr})
					}
				}
			}
			c.links.set(true, pairs...)
			err := propose(c.seats[old], "by the one cut off")
			if err == nil {
				t.Error("what the one cut off proposed was taken")
			}
			now, _ := c.leader(old)
			c.must(now, "after")
			var not *NotLeader
			if err := propose(c.seats[old], "again"); !errors.As(err, &not) {
				t.Errorf("the one cut off: %v", err)
			}
			c.links.set(false, pairs...)
			if s := c.same(); !strings.Contains(s, `["before","after"]`) {
				t.Error(s)
			}
		})
	}
}

func TestFarBehind(t *testing.T) {
	// Long: one scenario on one cluster, whose steps build on each other in the order that they are told.
	t.Parallel()
	c := newCluster(t, 3, func(o *Options) {
		o.SnapshotThreshold, o.TrailingLogs, o.MaxBufferedEntries, o.Patience = 200, 20, 100, 4
	})
	lead, _ := c.leader("")
	behind := c.voters[0]
	if behind.Name == lead {
		behind = c.voters[1]
	}
	c.close(behind.Name)
	var wait sync.WaitGroup
	room := make(chan struct{}, 32)
	for i := range 1000 {
		wait.Add(1)
		room <- struct{}{}
		go func() {
			defer func() { <-room; wait.Done() }()
			for start := time.Now(); time.Since(start) < 30*time.Second; time.Sleep(time.Millisecond) {
				for _, s := range c.seats { // the lead may pass on where the machine is loaded
					if propose(s, fmt.Sprint(i)) == nil {
						return
					}
				}
			}
			t.Errorf("%d was not taken", i)
		}()
	}
	wait.Wait()
	lead, _ = c.leader("")
	for name, s := range c.seats {
		if err := s.raft.Snapshot().Error(); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
	s := c.open(behind, false)
	until(t, "the one behind has all", patience, func() bool { return s.Applied() == c.seats[lead].Applied() })
	c.same()
	s.WithLock(func() {
		if c.machines[behind.Name].loads == 0 {
			t.Error("it did not get a snapshot")
		}
	})

	// One without a vote, from nothing.
	copied := &list{}
	at, snapshots, calls := uint64(0), 0, 0
	for at < c.seats[lead].Applied() && calls < 100 {
		entries, snapshot, next := c.seats[lead].Since(at, 100)
		if snapshot != nil {
			snapshots++
			if err := copied.Load(snapshot); err != nil {
				t.Fatal(err)
			}
		}
		for _, e := range entries {
			if err := copied.Apply(e.Index, e.Raw); err != nil {
				t.Fatal(err)
			}
		}
		at, calls = next, calls+1
	}
	c.must(lead, "one more")
	entries, _, _ := c.seats[lead].Since(at, 100)
	for _, e := range entries {
		if err := copied.Apply(e.Index, e.Raw); err != nil {
			t.Fatal(err)
		}
	}
	if b, _ := copied.Save(); snapshots != 1 || string(b) != c.state(lead) {
		t.Errorf("%d snapshots; it has other than the leader", snapshots)
	}
	if e, s, next := c.seats[lead].Since(1<<40, 100); e != nil || s != nil || next != 1<<40 {
		t.Error("one ahead got something")
	}
}

func TestReplaceAndHandOver(t *testing.T) {
	// Long: one scenario on one cluster, whose steps build on each other in the order that they are told.
	t.Parallel()
	c := newCluster(t, 3, func(o *Options) { o.Patience = 4 })
	lead, _ := c.leader("")
	c.must(lead, "a")
	const span = 2 * time.Second
	before := c.links.bytes.Load()
	time.Sleep(span) // a rate can only be counted over a time
	rate := float64(c.links.bytes.Load()-before) / span.Seconds()
	t.Logf("3 voters at rest: %.0f bytes/s over both links", rate)
	if rate > 20_000 {
		t.Error("too many")
	}
	var others []string
	for _, v := range c.voters {
		if v.Name != lead {
			others = append(others, v.Name)
		}
	}
	v3 := Voter{"v3", free(t)}
	c.voters = append(c.voters, v3)
	c.open(v3, false)
	var not *NotLeader
	if err := c.seats[others[0]].Replace(others[1], v3); !errors.As(err, &not) || not.Name != lead {
		t.Errorf("by another than the leader: %v", err)
	}
	if err := c.seats[lead].Replace(lead, v3); !errors.Is(err, ErrSelf) {
		t.Error(err)
	}
	c.seats[lead].changing.Lock()
	if err := c.seats[lead].Replace(others[0], v3); !errors.Is(err, ErrChanging) {
		t.Error(err)
	}
	c.seats[lead].changing.Unlock()
	if err := c.seats[lead].Replace(others[0], v3); err != nil {
		t.Fatal(err)
	}
	c.close(others[0])
	c.must(lead, "b")

	// One is silent: another cannot be replaced then, but it can.
	c.close(others[1])
	until(t, "its silence is seen", patience, func() bool {
		c.seats[lead].mu.Lock()
		defer c.seats[lead].mu.Unlock()
		return c.seats[lead].silent[others[1]]
	})
	if now, _ := c.leader(""); now != lead {
		t.Fatalf("the lead passed from %s to %s by itself: the machine is too loaded for this test", lead, now)
	}
	v4 := Voter{"v4", free(t)}
	c.voters = append(c.voters, v4)
	c.open(v4, false)
	if err := c.seats[lead].Replace("v3", v4); !errors.Is(err, ErrMajority) {
		t.Errorf("with one silent: %v", err)
	}
	if err := c.seats[lead].Replace(others[1], v4); err != nil {
		t.Fatal(err)
	}
	c.must(lead, "c")
	if err := c.seats[lead].HandOver(); err != nil {
		t.Fatal(err)
	}
	now, took := c.leader(lead)
	t.Logf("handed over in %v", took)
	c.close(lead)
	if err := c.seats[now].Replace(lead, Voter{}); !errors.Is(err, ErrMajority) && err != nil {
		t.Error(err)
	}
	c.must(now, "d")
	if s := c.same(); !strings.Contains(s, `["a","b","c","d"]`) {
		t.Error(s)
	}
}

func TestRestoreAfterLostMajority(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, func(o *Options) { o.Patience = 4 })
	lead, _ := c.leader("")
	c.must(lead, "a", "b")
	c.same()
	at, snapshot := c.seats[lead].Applied(), []byte(c.state(lead))
	for name := range c.seats {
		c.close(name)
	}
	try := func(o Options, snapshot []byte, at uint64, others ...Voter) {
		t.Helper()
		if err := Restore(o, snapshot, at); err != nil {
			t.Fatal(err)
		}
		c.voters = append([]Voter{{o.Name, o.Bind}}, others...)
		c.open(c.voters[0], false)
		c.leader("")
		for _, v := range others {
			c.open(v, false)
			if err := c.seats[o.Name].Replace("", v); err != nil {
				t.Fatal(err)
			}
		}
		c.must(o.Name, "c")
		if s := c.same(); !strings.Contains(s, `["a","b","c"]`) {
			t.Error(s)
		}
		for name := range c.seats {
			c.close(name)
		}
	}
	try(c.options(c.voters[0]), nil, 0, Voter{"n1", free(t)}, Voter{"n2", free(t)}) // one that survived
	try(c.options(Voter{"m0", free(t)}), snapshot, at, Voter{"m1", free(t)}, Voter{"m2", free(t)})
	if err := Restore(c.options(Voter{"m0", free(t)}), snapshot, at); err == nil || !strings.Contains(err.Error(), "holds a raft group already") {
		t.Error(err)
	}
	if err := Restore(c.options(Voter{"e", free(t)}), []byte("torn"), at); err == nil {
		t.Error("a torn snapshot was taken")
	}
	if err := Restore(c.options(Voter{"f", free(t)}), nil, 0); err == nil || !strings.Contains(err.Error(), "holds no raft group") {
		t.Error(err)
	}
}

func TestDiskFails(t *testing.T) {
	t.Parallel()
	var d disks
	c := newCluster(t, 3, d.hold)
	breakDisk := func(name string) { d.fill(t, name) }
	lead, _ := c.leader("")
	c.must(lead, "x")
	breakDisk(lead)
	if err := propose(c.seats[lead], "on a broken disk"); err == nil {
		t.Error("taken")
	}
	until(t, "it says so", patience, func() bool { return c.seats[lead].Failed() != nil })
	now, _ := c.leader(lead)
	c.must(now, "y")
	c.close(lead)
	c.open(c.voter(lead), false)
	c.same()
	// One that must note a new term and cannot, where raft itself would panic.
	lead, _ = c.leader("")
	other := "v0"
	if lead == other {
		other = "v1"
	}
	breakDisk(other)
	c.close(lead)
	until(t, "the other says so", patience, func() bool { return c.seats[other].Failed() != nil })
	c.close(other)
	c.open(c.voter(other), false)
	c.leader("")
}
