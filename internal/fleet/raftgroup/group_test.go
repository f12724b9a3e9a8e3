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

// TestElectionTimeAfterLeaderCrash is not parallel because it measures times.
func TestElectionTimeAfterLeaderCrash(t *testing.T) {
	for n, kills := range map[int]int{3: 5, 5: 3} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := newCluster(t, n, func(o *Options) { o.TimeoutFactor = 1 })
			var durations []time.Duration
			for i := range kills {
				old, _ := c.leader("")
				c.mustPropose(old, fmt.Sprint("word ", i))
				c.close(old)
				_, d := c.leader(old)
				durations = append(durations, d)
				c.open(c.voter(old), false)
			}
			sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
			longest := durations[len(durations)-1]
			t.Logf("%d voters: leader killed %d times, a new one after %v (median), %v (maximum)", n, kills, durations[kills/2], longest)
			// On an idle machine each election takes under 3 s; with ten runnable threads per core it takes longer.
			if durations[kills/2] > 3*time.Second || longest > 8*time.Second {
				t.Error("the elections took too long")
			}
			if s := c.waitUntilEqual(); !strings.Contains(s, fmt.Sprintf(`"word %d"],`, kills-1)) || strings.Count(s, "word") != kills {
				t.Error(s)
			}
		})
	}
}

func TestIsolatedLeaderCannotCommit(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"both", "out"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3, nil)
			old, _ := c.leader("")
			c.mustPropose(old, "before")
			var pairs [][2]string
			for _, v := range c.voters {
				if v.Name != old {
					pairs = append(pairs, [2]string{c.voter(old).Addr, v.Addr})
					if kind == "both" {
						pairs = append(pairs, [2]string{v.Addr, c.voter(old).Addr})
					}
				}
			}
			c.links.setCut(true, pairs...)
			err := propose(c.groups[old], "by the isolated leader")
			if err == nil {
				t.Error("a proposal of the isolated leader was committed")
			}
			now, _ := c.leader(old)
			c.mustPropose(now, "after")
			var notLeader *NotLeaderError
			if err := propose(c.groups[old], "again"); !errors.As(err, &notLeader) {
				t.Errorf("proposal by the isolated leader: %v", err)
			}
			c.links.setCut(false, pairs...)
			if s := c.waitUntilEqual(); !strings.Contains(s, `["before","after"]`) {
				t.Error(s)
			}
		})
	}
}

func TestLaggingVoterAndReaderGetSnapshot(t *testing.T) {
	// Long: one scenario, in which each step on the cluster depends on the previous ones.
	t.Parallel()
	c := newCluster(t, 3, func(o *Options) {
		o.SnapshotThreshold, o.TrailingLogs, o.MaxBufferedEntries, o.TimeoutFactor = 200, 20, 100, 4
	})
	lead, _ := c.leader("")
	lagging := c.voters[0]
	if lagging.Name == lead {
		lagging = c.voters[1]
	}
	c.close(lagging.Name)
	var wait sync.WaitGroup
	semaphore := make(chan struct{}, 32)
	for i := range 1000 {
		wait.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer func() { <-semaphore; wait.Done() }()
			for start := time.Now(); time.Since(start) < 30*time.Second; time.Sleep(time.Millisecond) {
				for _, s := range c.groups { // the leader may change on a loaded machine
					if propose(s, fmt.Sprint(i)) == nil {
						return
					}
				}
			}
			t.Errorf("command %d was not committed", i)
		}()
	}
	wait.Wait()
	lead, _ = c.leader("")
	for name, s := range c.groups {
		if err := s.raft.Snapshot().Error(); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
	s := c.open(lagging, false)
	waitFor(t, "the lagging voter has applied all entries", waitLimit, func() bool { return s.AppliedIndex() == c.groups[lead].AppliedIndex() })
	c.waitUntilEqual()
	s.WithLock(func() {
		if c.machines[lagging.Name].loads == 0 {
			t.Error("the lagging voter did not load a snapshot")
		}
	})

	// A reader without a vote starts from an empty state.
	reader := &recordingMachine{}
	at, snapshots, calls := uint64(0), 0, 0
	for at < c.groups[lead].AppliedIndex() && calls < 100 {
		entries, snapshot, next := c.groups[lead].Since(at, 100)
		if snapshot != nil {
			snapshots++
			if err := reader.Load(snapshot); err != nil {
				t.Fatal(err)
			}
		}
		for _, e := range entries {
			if err := reader.Apply(e.Index, e.Raw); err != nil {
				t.Fatal(err)
			}
		}
		at, calls = next, calls+1
	}
	c.mustPropose(lead, "one more")
	entries, _, _ := c.groups[lead].Since(at, 100)
	for _, e := range entries {
		if err := reader.Apply(e.Index, e.Raw); err != nil {
			t.Fatal(err)
		}
	}
	if b, _ := reader.Save(); snapshots != 1 || string(b) != c.state(lead) {
		t.Errorf("%d snapshots, 1 expected; the reader's state may differ from the leader's", snapshots)
	}
	if e, s, next := c.groups[lead].Since(1<<40, 100); e != nil || s != nil || next != 1<<40 {
		t.Error("a reader ahead of the log got entries or a snapshot")
	}
}

func TestReplaceAndTransferLeadership(t *testing.T) {
	// Long: one scenario, in which each step on the cluster depends on the previous ones.
	t.Parallel()
	c := newCluster(t, 3, func(o *Options) { o.TimeoutFactor = 4 })
	lead, _ := c.leader("")
	c.mustPropose(lead, "a")
	const span = 2 * time.Second
	before := c.links.bytes.Load()
	time.Sleep(span) // the rate is measured over this span
	rate := float64(c.links.bytes.Load()-before) / span.Seconds()
	t.Logf("3 idle voters: %.0f bytes/s over both links", rate)
	if rate > 20_000 {
		t.Error("idle voters send too many bytes")
	}
	var others []string
	for _, v := range c.voters {
		if v.Name != lead {
			others = append(others, v.Name)
		}
	}
	v3 := Voter{"v3", freeAddr(t)}
	c.voters = append(c.voters, v3)
	c.open(v3, false)
	var notLeader *NotLeaderError
	if err := c.groups[others[0]].Replace(others[1], v3); !errors.As(err, &notLeader) || notLeader.Name != lead {
		t.Errorf("Replace on a follower: %v", err)
	}
	if err := c.groups[lead].Replace(lead, v3); !errors.Is(err, ErrReplaceSelf) {
		t.Error(err)
	}
	c.groups[lead].changeMu.Lock()
	if err := c.groups[lead].Replace(others[0], v3); !errors.Is(err, ErrChangeInProgress) {
		t.Error(err)
	}
	c.groups[lead].changeMu.Unlock()
	if err := c.groups[lead].Replace(others[0], v3); err != nil {
		t.Fatal(err)
	}
	c.close(others[0])
	c.mustPropose(lead, "b")

	// While one voter does not respond, no other voter can be replaced, but that one can.
	c.close(others[1])
	waitFor(t, "the leader notices that the voter does not respond", waitLimit, func() bool {
		c.groups[lead].mu.Lock()
		defer c.groups[lead].mu.Unlock()
		return c.groups[lead].unresponsive[others[1]]
	})
	if now, _ := c.leader(""); now != lead {
		t.Fatalf("leadership moved from %s to %s without a transfer: the machine is too loaded for this test", lead, now)
	}
	v4 := Voter{"v4", freeAddr(t)}
	c.voters = append(c.voters, v4)
	c.open(v4, false)
	if err := c.groups[lead].Replace("v3", v4); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("Replace while another voter does not respond: %v", err)
	}
	if err := c.groups[lead].Replace(others[1], v4); err != nil {
		t.Fatal(err)
	}
	c.mustPropose(lead, "c")
	if err := c.groups[lead].TransferLeadership(); err != nil {
		t.Fatal(err)
	}
	now, took := c.leader(lead)
	t.Logf("leadership transferred in %v", took)
	c.close(lead)
	if err := c.groups[now].Replace(lead, Voter{}); !errors.Is(err, ErrNoQuorum) && err != nil {
		t.Error(err)
	}
	c.mustPropose(now, "d")
	if s := c.waitUntilEqual(); !strings.Contains(s, `["a","b","c","d"]`) {
		t.Error(s)
	}
}

func TestRestoreAfterLostMajority(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, func(o *Options) { o.TimeoutFactor = 4 })
	lead, _ := c.leader("")
	c.mustPropose(lead, "a", "b")
	c.waitUntilEqual()
	at, snapshot := c.groups[lead].AppliedIndex(), []byte(c.state(lead))
	for name := range c.groups {
		c.close(name)
	}
	restoreAndCheck := func(o Options, snapshot []byte, at uint64, others ...Voter) {
		t.Helper()
		if err := Restore(o, snapshot, at); err != nil {
			t.Fatal(err)
		}
		c.voters = append([]Voter{{o.Name, o.Bind}}, others...)
		c.open(c.voters[0], false)
		c.leader("")
		for _, v := range others {
			c.open(v, false)
			if err := c.groups[o.Name].Replace("", v); err != nil {
				t.Fatal(err)
			}
		}
		c.mustPropose(o.Name, "c")
		if s := c.waitUntilEqual(); !strings.Contains(s, `["a","b","c"]`) {
			t.Error(s)
		}
		for name := range c.groups {
			c.close(name)
		}
	}
	restoreAndCheck(c.options(c.voters[0]), nil, 0, Voter{"n1", freeAddr(t)}, Voter{"n2", freeAddr(t)}) // from the directory of a surviving voter
	restoreAndCheck(c.options(Voter{"m0", freeAddr(t)}), snapshot, at, Voter{"m1", freeAddr(t)}, Voter{"m2", freeAddr(t)})
	if err := Restore(c.options(Voter{"m0", freeAddr(t)}), snapshot, at); err == nil || !strings.Contains(err.Error(), "holds a raft group already") {
		t.Error(err)
	}
	if err := Restore(c.options(Voter{"e", freeAddr(t)}), []byte("torn"), at); err == nil {
		t.Error("a torn snapshot was restored")
	}
	if err := Restore(c.options(Voter{"f", freeAddr(t)}), nil, 0); err == nil || !strings.Contains(err.Error(), "holds no raft group") {
		t.Error(err)
	}
}

func TestVoterLeavesGroupOnFailedWrite(t *testing.T) {
	t.Parallel()
	var d disks
	c := newCluster(t, 3, d.trackFile)
	breakDisk := func(name string) { d.failWrites(t, name) }
	lead, _ := c.leader("")
	c.mustPropose(lead, "x")
	breakDisk(lead)
	if err := propose(c.groups[lead], "on a broken disk"); err == nil {
		t.Error("a proposal was committed on a broken disk")
	}
	waitFor(t, "the leader reports the failure", waitLimit, func() bool { return c.groups[lead].Failed() != nil })
	now, _ := c.leader(lead)
	c.mustPropose(now, "y")
	c.close(lead)
	c.open(c.voter(lead), false)
	c.waitUntilEqual()
	// A follower that cannot persist a new term must leave the group; raft alone would panic.
	lead, _ = c.leader("")
	other := "v0"
	if lead == other {
		other = "v1"
	}
	breakDisk(other)
	c.close(lead)
	waitFor(t, "the follower reports the failure", waitLimit, func() bool { return c.groups[other].Failed() != nil })
	c.close(other)
	c.open(c.voter(other), false)
	c.leader("")
}
