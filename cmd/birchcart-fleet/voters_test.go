package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/testproc"
)

// The operators' files replace one voter by another: the new one must vote and the old one become a follower. A voter whose
// disk was lost must follow without a vote whatever its file says, while the other voters continue to order maintenance.
func TestVoterReplacementAndDiskLoss(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4, 0, 1, 2)
	s.startAll()
	s.waitFor("n3 follows", s.logContains(3, "in touch with the raft group"))
	s.voters = []int{1, 2, 3}
	s.writeOperatorFiles(false)
	s.reloadAll()
	s.waitFor("n0 no longer votes", s.logContains(0, "votes no more"))
	s.procs[1].Process.Kill()
	s.procs[1].Wait()
	if err := os.RemoveAll(filepath.Join(s.dir, "disk1")); err != nil {
		t.Fatal(err)
	}
	s.start(1)
	s.waitFor("n1 knows that it was a voter", s.logContains(1, "its store was lost"))
	s.writeOperatorFiles(false, map[string]any{"names": []string{"r5"}, "reason": "disk", "for_s": 20})
	s.reloadAll()
	s.waitFor("the drain is acknowledged", s.phaseReached("r5", maintenance.Acknowledged))
	// A co-ordinator that is killed and restarted must not send to r5 either, even before it has the agreed state.
	s.procs[0].Process.Kill()
	s.procs[0].Wait()
	before, others := len(s.fleet.Replicas[5].Asked()), len(s.fleet.Replicas[11].Asked())
	s.start(0)
	end := s.startQueries()
	s.waitFor("n0 applies the drains of the previous process", s.logContains(0, "of the process before stay"))
	s.waitFor("n0 has the agreed state", s.logContains(0, "in touch with the raft group"))
	s.waitFor("queries", func() bool { return len(s.fleet.Replicas[11].Asked()) > others+20 })
	if _, _, whole := end(); whole == 0 {
		t.Error("no query was answered")
	}
	if after := len(s.fleet.Replicas[5].Asked()); after != before {
		t.Errorf("%d parts were sent to r5 after its drain was acknowledged", after-before)
	}
	for i, l := range s.logs {
		if text := l.String(); strings.Contains(text, "does not hold") || strings.Contains(text, "panic") {
			t.Errorf("n%d:\n%s", i, text)
		}
	}
}

// A voter that was stopped while another replaced it must learn that from the leader, give up its seat and follow.
// Otherwise it would block every grant, because it would be alive but never apply a drain.
func TestStoppedVoterReleasesItsSeat(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4, 0, 1, 2)
	s.startAll()
	s.waitFor("n3 follows", s.logContains(3, "in touch with the raft group"))
	s.procs[0].Process.Signal(syscall.SIGSTOP)
	defer s.procs[0].Process.Signal(syscall.SIGCONT)
	s.voters = []int{1, 2, 3}
	s.writeOperatorFiles(false)
	s.reloadAll()
	replaced := `voter \"n0\" goes, voter \"n3\" comes" error="<nil>"`
	s.waitFor("n3 replaces n0", func() bool { return s.logContains(1, replaced)() || s.logContains(2, replaced)() })
	s.procs[0].Process.Signal(syscall.SIGCONT)
	s.waitFor("n0 no longer votes", s.logContains(0, "votes no more"))
	s.writeOperatorFiles(false, map[string]any{"names": []string{"r5"}, "reason": "disk", "for_s": 20})
	s.reloadAll()
	s.waitFor("n0 has the grant", func() bool { return len(s.grants(0).Grants) == 1 })
}

// A seat that could not be written to disk, such as during a full disk, must be taken once the disk accepts writes, without a
// restart.
func TestSeatRetriedAfterDiskError(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4, 0, 1, 2)
	s.startAll()
	s.waitFor("n3 follows", s.logContains(3, "in touch with the raft group"))
	inTheWay := filepath.Join(s.dir, "disk3", "council.db.new")
	if err := os.MkdirAll(filepath.Join(inTheWay, "in its place"), 0o700); err != nil {
		t.Fatal(err)
	}
	s.voters = []int{1, 2, 3}
	s.writeOperatorFiles(false)
	s.reloadAll()
	s.waitFor("writing the seat to disk fails", s.logContains(3, "the seat in the raft group can't be taken"))
	if err := os.RemoveAll(inTheWay); err != nil {
		t.Fatal(err)
	}
	s.waitFor("n3 has a seat", s.logContains(3, "the seat in the raft group is open"))
	s.waitFor("n0 no longer votes", s.logContains(0, "votes no more"))
}

// The disks of two of three voters are permanently lost, after these had committed more than the third voter has. The third
// is restored as a raft group of one and admits the others again. It must continue from its own state, keep the limits, and
// number new grants above all earlier ones. A follower that is ahead must follow the new group without a restart, and keep
// the drain that only the lost voters had committed. A voter whose disk reappears must not revive the old group: it sets its
// log aside and is admitted as a new voter.
func TestRestoreAfterMajorityLoss(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4, 0, 1, 2)
	s.startAll()
	s.waitFor("n3 follows", s.logContains(3, "in touch with the raft group"))
	out := func(names ...string) (work []any) {
		for _, name := range names {
			work = append(work, map[string]any{"names": []string{name}, "reason": name, "for_s": 300})
		}
		return work
	}
	kill := func(i int) {
		s.procs[i].Process.Kill()
		s.procs[i].Wait()
	}
	s.writeOperatorFiles(false, out("r0")...)
	s.reloadAll()
	s.waitFor("the drain of r0 is acknowledged", s.phaseReached("r0", maintenance.Acknowledged))
	kill(0)
	s.writeOperatorFiles(false, out("r0", "r5")...)
	s.reloadAll()
	s.waitFor("the drain of r5 is acknowledged", func() bool { return len(s.grants(3).Grants) == 2 })
	fence := s.grants(3).Grants[1].Fence
	kill(1)
	kill(2)
	if err := os.RemoveAll(filepath.Join(s.dir, "disk1")); err != nil {
		t.Fatal(err)
	}
	restore := func(i int) (string, error) {
		out, err := testproc.Command("restore", "--config", filepath.Join(s.dir, fmt.Sprint("config", i)),
			"--operator", filepath.Join(s.dir, fmt.Sprint("operator", i)), "--stopped-at", "2020-01-01T00:00:00Z").CombinedOutput()
		return string(out), err
	}
	s.writeOperatorFiles(false, out("r0")...) // r5, granted by the old raft group, is no longer requested
	if out, err := restore(1); err == nil || !strings.Contains(out, "holds no raft group") {
		t.Errorf("an empty folder was restored: %v, %s", err, out)
	}
	if left, err := os.ReadDir(filepath.Join(s.dir, "disk1")); err == nil && len(left) > 0 {
		t.Errorf("a rejected restore left %v, which a start would take for a store", left)
	}
	if out, err := restore(0); err != nil || !strings.Contains(out, "n0 is a raft group of one") {
		t.Fatalf("%v, %s", err, out)
	}
	if err := os.RemoveAll(filepath.Join(s.dir, "disk1")); err != nil { // left by the attempt
		t.Fatal(err)
	}
	s.start(0)
	s.waitFor("n0 leads alone", s.logContains(0, "leads the raft group"))
	s.waitFor("n3 follows the new raft group", s.logContains(3, "the raft group was set up anew (epoch"))
	s.start(1)
	s.waitFor("n1 votes", s.logContains(0, `voter \"\" goes, voter \"n1\" comes`))
	s.start(2) // with its disk
	s.waitFor("n2 gives up its old seat", s.logContains(2, "is put aside"))
	s.waitFor("n2 votes", s.logContains(0, `voter \"\" goes, voter \"n2\" comes`))
	s.waitFor("r0 has lapsed", s.phaseReached("r0", maintenance.Expired))
	before, others := len(s.fleet.Replicas[5].Asked()), len(s.fleet.Replicas[11].Asked())
	end := s.startQueriesTo(3)
	s.waitFor("queries", func() bool { return len(s.fleet.Replicas[11].Asked()) > others+100 })
	end()
	if after := len(s.fleet.Replicas[5].Asked()); after != before {
		t.Errorf("n3 sent %d parts to r5, whose grant by the old raft group has not expired", after-before)
	}
	s.writeOperatorFiles(false, out("r0", "r2")...)
	s.reloadAll()
	s.waitFor("the drain of r2 is acknowledged", s.phaseReached("r2", maintenance.Acknowledged))
	for i := range s.serve {
		for _, it := range s.grants(i).Items {
			if it.Machine == "r2" && it.Fence <= fence || it.Machine == "r5" && it.Phase != "" && it.Fence != 0 {
				t.Errorf("n%d: grant %d of %s after %d", i, it.Fence, it.Machine, fence)
			}
		}
		if text := s.logs[i].String(); strings.Contains(text, "does not hold") || strings.Contains(text, "panic") {
			t.Errorf("n%d:\n%s", i, text)
		}
	}
}
