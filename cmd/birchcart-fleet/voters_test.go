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

// The file names another voter in one's place: the new one votes, the old one follows. A voter whose disk was lost follows
// without a vote, whatever it is asked for, and the machines' order goes on by the others.
func TestVotersChangeAndLoseTheirDisks(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4, 0, 1, 2)
	s.startAll()
	s.until("n3 follows", s.says(3, "in touch with the raft group"))
	s.voters = []int{1, 2, 3}
	s.ask(false)
	s.hangUp()
	s.until("n0 votes no more", s.says(0, "votes no more"))
	s.procs[1].Process.Kill()
	s.procs[1].Wait()
	if err := os.RemoveAll(filepath.Join(s.dir, "disk1")); err != nil {
		t.Fatal(err)
	}
	s.start(1)
	s.until("n1 knows that it was a voter", s.says(1, "its store was lost"))
	s.ask(false, map[string]any{"names": []string{"r5"}, "reason": "disk", "for_s": 20})
	s.hangUp()
	s.until("told", s.phase("r5", maintenance.Acknowledged))
	// One that is killed and starts again, with nothing agreed at hand yet, sends nothing there either.
	s.procs[0].Process.Kill()
	s.procs[0].Wait()
	before, others := len(s.fleet.Replicas[5].Asked()), len(s.fleet.Replicas[11].Asked())
	s.start(0)
	end := s.stream()
	s.until("n0 goes by the drains of before", s.says(0, "of the process before stay"))
	s.until("n0 knows what was agreed", s.says(0, "in touch with the raft group"))
	s.until("queries", func() bool { return len(s.fleet.Replicas[11].Asked()) > others+20 })
	if _, _, whole := end(); whole == 0 {
		t.Error("no query was answered")
	}
	if after := len(s.fleet.Replicas[5].Asked()); after != before {
		t.Errorf("%d parts went to r5 after it was told", after-before)
	}
	for i, l := range s.logs {
		if text := l.String(); strings.Contains(text, "does not hold") || strings.Contains(text, "panic") {
			t.Errorf("n%d:\n%s", i, text)
		}
	}
}

// A voter that was stopped while another took its seat hears of that from the leader, gives the seat up and follows: else
// it would hold up each grant, alive and never laying a drain.
func TestAVoterThatMissedItsEndGivesItsSeatUp(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4, 0, 1, 2)
	s.startAll()
	s.until("n3 follows", s.says(3, "in touch with the raft group"))
	s.procs[0].Process.Signal(syscall.SIGSTOP)
	defer s.procs[0].Process.Signal(syscall.SIGCONT)
	s.voters = []int{1, 2, 3}
	s.ask(false)
	s.hangUp()
	replaced := `voter \"n0\" goes, voter \"n3\" comes" error="<nil>"`
	s.until("n3 comes for n0", func() bool { return s.says(1, replaced)() || s.says(2, replaced)() })
	s.procs[0].Process.Signal(syscall.SIGCONT)
	s.until("n0 votes no more", s.says(0, "votes no more"))
	s.ask(false, map[string]any{"names": []string{"r5"}, "reason": "disk", "for_s": 20})
	s.hangUp()
	s.until("told, as n0 has it", func() bool { return len(s.grants(0).Grants) == 1 })
}

// A seat that the disk does not take, since it is full for the moment, is taken once there is room, without a restart.
func TestASeatIsTriedAgain(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4, 0, 1, 2)
	s.startAll()
	s.until("n3 follows", s.says(3, "in touch with the raft group"))
	inTheWay := filepath.Join(s.dir, "disk3", "council.db.new")
	if err := os.MkdirAll(filepath.Join(inTheWay, "in its place"), 0o700); err != nil {
		t.Fatal(err)
	}
	s.voters = []int{1, 2, 3}
	s.ask(false)
	s.hangUp()
	s.until("the disk does not take the seat", s.says(3, "the seat in the raft group can't be taken"))
	if err := os.RemoveAll(inTheWay); err != nil {
		t.Fatal(err)
	}
	s.until("n3 has a seat", s.says(3, "the seat in the raft group is open"))
	s.until("n0 votes no more", s.says(0, "votes no more"))
}

// The disks of two of three voters are lost for good, after they agreed to more than the third has. It is made a raft group of
// one, lets the others in again, and goes on from what it has: the limits, and numbers of grants above all before. A
// follower that is ahead goes by the new council without a restart, and keeps the drain that only the lost ones knew of. A
// voter whose disk turns up after all does not bring the old council back: it puts its log aside and is let in.
func TestMajorityLostForGood(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4, 0, 1, 2)
	s.startAll()
	s.until("n3 follows", s.says(3, "in touch with the raft group"))
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
	s.ask(false, out("r0")...)
	s.hangUp()
	s.until("r0 told", s.phase("r0", maintenance.Acknowledged))
	kill(0)
	s.ask(false, out("r0", "r5")...)
	s.hangUp()
	s.until("r5 told", func() bool { return len(s.grants(3).Grants) == 2 })
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
	s.ask(false, out("r0")...) // the old raft group's r5 is not asked for any more
	if out, err := restore(1); err == nil || !strings.Contains(out, "holds no raft group") {
		t.Errorf("an empty folder was restored: %v, %s", err, out)
	}
	if left, err := os.ReadDir(filepath.Join(s.dir, "disk1")); err == nil && len(left) > 0 {
		t.Errorf("a refused restore left %v, which a start takes for a store", left)
	}
	if out, err := restore(0); err != nil || !strings.Contains(out, "n0 is a raft group of one") {
		t.Fatalf("%v, %s", err, out)
	}
	if err := os.RemoveAll(filepath.Join(s.dir, "disk1")); err != nil { // of the attempt
		t.Fatal(err)
	}
	s.start(0)
	s.until("n0 leads alone", s.says(0, "leads the raft group"))
	s.until("n3 goes by the new council", s.says(3, "the raft group was set up anew (epoch"))
	s.start(1)
	s.until("n1 votes", s.says(0, `voter \"\" goes, voter \"n1\" comes`))
	s.start(2) // with its disk
	s.until("n2 gives its old seat up", s.says(2, "is put aside"))
	s.until("n2 votes", s.says(0, `voter \"\" goes, voter \"n2\" comes`))
	s.until("r0 has lapsed", s.phase("r0", maintenance.Expired))
	before, others := len(s.fleet.Replicas[5].Asked()), len(s.fleet.Replicas[11].Asked())
	end := s.streamTo(3)
	s.until("queries", func() bool { return len(s.fleet.Replicas[11].Asked()) > others+100 })
	end()
	if after := len(s.fleet.Replicas[5].Asked()); after != before {
		t.Errorf("%d parts went from n3 to r5, whose grant of the old council is not over", after-before)
	}
	s.ask(false, out("r0", "r2")...)
	s.hangUp()
	s.until("r2 told", s.phase("r2", maintenance.Acknowledged))
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
