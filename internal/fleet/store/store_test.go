package store

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	bolt "go.etcd.io/bbolt"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	if dir := os.Getenv("STORE_CHILD"); dir != "" {
		if os.Getenv("STORE_LIMIT") == "snapshot" {
			fmt.Println(snapshotOnFullDisk(dir))
			return
		}
		writeUntilKilled(dir)
		return
	}
	goleak.VerifyTestMain(m)
}

func entry(i uint64) *raft.Log {
	return &raft.Log{Index: i, Term: 1 + i/100, Data: []byte(strings.Repeat(strconv.FormatUint(i, 10)+" ", int(i%40)))}
}

// writeUntilKilled runs in a child process. It writes until it is killed and prints what was acknowledged as
// "acked last first term". With a limit, it prints the first error, checks that the next write fails as well, and returns.
func writeUntilKilled(dir string) {
	// Long: the complete program of the child process; runChild parses its output line by line.
	o := Options{}
	limit := os.Getenv("STORE_LIMIT")
	var file *os.File
	o.OpenFile = func(name string, flag int, mode os.FileMode) (*os.File, error) {
		f, err := os.OpenFile(name, flag, mode)
		file = f
		return f, err
	}
	s, err := Open(dir, o)
	if err != nil {
		fmt.Println("open", err)
		return
	}
	first, _ := s.FirstIndex()
	last, _ := s.LastIndex()
	term, _ := s.GetUint64([]byte("term"))
	if first == 0 {
		first = 1
	}
	kind, at, _ := strings.Cut(limit, ":")
	n, _ := strconv.Atoi(at)
	if kind == "size" {
		_ = syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: uint64(n), Max: 1 << 40})
	}
	rng := rand.New(rand.NewSource(time.Now().UnixNano()))
	for step := 0; ; step++ {
		if kind == "step" && step == n { // from here on, all writes to the file fail
			null, _ := os.Open(os.DevNull)
			_ = syscall.Dup3(int(null.Fd()), int(file.Fd()), 0)
		}
		nowLast, nowFirst, nowTerm := last, first, term
		switch {
		case step%4 == 3:
			nowTerm++
			err = s.SetUint64([]byte("term"), nowTerm)
		case step%8 == 6 && last > first+20:
			nowFirst = last - 10
			err = s.DeleteRange(first, nowFirst-1)
		default:
			var batch []*raft.Log
			for range 1 + rng.Intn(30) {
				nowLast++
				batch = append(batch, entry(nowLast))
			}
			err = s.StoreLogs(batch)
		}
		if err == nil {
			if s.Failed() != nil {
				fmt.Println("wrong success after a failure")
				return
			}
			last, first, term = nowLast, nowFirst, nowTerm
			fmt.Println("acked", last, first, term)
			continue
		}
		fmt.Println("failed", err)
		_ = syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: 1 << 40, Max: 1 << 40})
		if err := s.StoreLog(entry(last + 1)); !errors.Is(err, ErrFailed) {
			fmt.Println("wrong success after a failure", err)
		}
		return
	}
}

// runChild runs a child process, kills it after a time, and returns what it acknowledged last and its other output.
func runChild(t *testing.T, dir, limit string, after time.Duration) (last, first, term uint64, output string) {
	t.Helper()
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "STORE_CHILD="+dir, "STORE_LIMIT="+limit)
	c.Stderr = os.Stderr
	out, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(out)
	var kill *time.Timer
	for lines.Scan() {
		if kill == nil { // the time counts from the first line of output
			kill = time.AfterFunc(after, func() { _ = c.Process.Kill() })
		}
		if _, err := fmt.Sscanf(lines.Text(), "acked %d %d %d", &last, &first, &term); err != nil {
			output += lines.Text() + "\n"
		}
	}
	_ = c.Wait()
	if kill != nil {
		kill.Stop()
	}
	return last, first, term, output
}

func checkStore(t *testing.T, dir string, last, first, term uint64) {
	t.Helper()
	s, err := Open(dir, Options{})
	if err != nil {
		t.Fatalf("after a crash: %v", err)
	}
	defer s.Close()
	f, _ := s.FirstIndex()
	l, _ := s.LastIndex()
	n, err := s.GetUint64([]byte("term"))
	if l < last || f < first || n < term || err != nil {
		t.Fatalf("acknowledged %d to %d, term %d; found %d to %d, term %d, %v", first, last, term, f, l, n, err)
	}
	for i := f; i <= l && i > 0; i++ {
		var got raft.Log
		if err := s.GetLog(i, &got); err != nil || string(got.Data) != string(entry(i).Data) || got.Term != entry(i).Term {
			t.Fatalf("entry %d: %+v, %v", i, got, err)
		}
	}
}

func TestAcknowledgedWritesSurviveKill(t *testing.T) {
	dir := t.TempDir()
	rounds := 8
	if testing.Short() {
		rounds = 4
	}
	acked := uint64(0)
	for range rounds {
		last, first, term, output := runChild(t, dir, "", time.Duration(rand.Intn(60_000))*time.Microsecond)
		if output != "" {
			t.Fatal(output)
		}
		acked = max(acked, last)
		checkStore(t, dir, last, first, term)
	}
	if acked < 20 {
		t.Errorf("only %d entries were written", acked)
	}
	t.Logf("%d kills, %d entries", rounds, acked)
}

func TestNoWritesAfterFailedWrite(t *testing.T) {
	failures := 0
	limits := []string{"size:1", "size:8192", "size:32768", "size:36864", "size:49152"}
	for step := range 8 {
		limits = append(limits, fmt.Sprint("step:", step))
	}
	for _, limit := range limits {
		dir := t.TempDir()
		last, first, term, output := runChild(t, dir, limit, 10*time.Second)
		if strings.Contains(output, "wrong") {
			t.Errorf("%s: %s", limit, output)
		}
		if strings.Contains(output, "failed") {
			failures++
		} else {
			t.Errorf("%s: no write failed: %s", limit, output)
		}
		checkStore(t, dir, last, first, term)
	}
	t.Logf("%d failures", failures)
}

func TestFileSizeLimit(t *testing.T) {
	s, err := Open(t.TempDir(), Options{MaxSize: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for i := uint64(1); ; i++ {
		if err := s.StoreLog(&raft.Log{Index: i, Data: make([]byte, 64<<10)}); err != nil {
			break
		}
		if i > 16 {
			t.Fatal("the file exceeds its maximum size")
		}
	}
	if s.Failed() == nil || s.Size() > 1<<20 {
		t.Errorf("%v, %d bytes", s.Failed(), s.Size())
	}
}

func newFilledStore(t *testing.T) (dir string, whole []byte) {
	dir = t.TempDir()
	s, err := Open(dir, Options{})
	if err != nil {
		t.Fatal(err)
	}
	for i := uint64(1); i <= 200; i++ {
		if err := s.StoreLog(entry(i)); err != nil {
			t.Fatal(err)
		}
	}
	if err := errors.Join(s.SetUint64([]byte("term"), 7), s.Close()); err != nil {
		t.Fatal(err)
	}
	whole, err = os.ReadFile(filepath.Join(dir, File))
	if err != nil {
		t.Fatal(err)
	}
	return dir, whole
}

func TestTornOrDamagedFileIsRefused(t *testing.T) {
	dir, whole := newFilledStore(t)
	path := filepath.Join(dir, File)
	for _, n := range []int{0, 1, 100, 4095, 4096, 8192, 12288, len(whole) / 2} {
		if err := os.WriteFile(path, whole[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		if s, err := Open(dir, Options{}); err == nil && n == len(whole)/2 { // only unused pages are missing
			s.Close()
			checkStore(t, dir, 200, 1, 7)
		} else if !errors.Is(err, ErrTorn) {
			t.Errorf("cut to %d bytes: %v", n, err)
		}
	}
	rng := rand.New(rand.NewSource(1))
	refused := 0
	for range 60 {
		bad := append([]byte{}, whole...)
		for range 1 + rng.Intn(3) {
			bad[rng.Intn(len(bad))] ^= byte(1 + rng.Intn(255))
		}
		if err := os.WriteFile(path, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Open(dir, Options{})
		if err != nil {
			refused++
			continue
		}
		s.Close()
		checkStore(t, dir, 200, 1, 7) // the damage must be in unused pages
	}
	t.Logf("%d of 60 damaged files refused, the others whole", refused)
	if refused < 8 {
		t.Error("too few files were refused for a meaningful test")
	}
}

func TestNewerVersionIsRefused(t *testing.T) {
	dir, _ := newFilledStore(t)
	db, err := bolt.Open(filepath.Join(dir, File), 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	err = db.Update(func(tx *bolt.Tx) error { return tx.Bucket(bucketMeta).Put(keyVersion, []byte{0, 0, 0, 0, 0, 0, 0, 2}) })
	if err := errors.Join(err, db.Close()); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, Options{}); !errors.Is(err, ErrNewer) || !strings.Contains(err.Error(), "version 2, this program supports 1") {
		t.Errorf("%v", err)
	}
}

func TestDirectoryInUseIsRefused(t *testing.T) {
	dir, _ := newFilledStore(t)
	s, err := Open(dir, Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, err := Open(dir, Options{LockWait: 100 * time.Millisecond}); err == nil || !strings.Contains(err.Error(), "in use by another process") {
		t.Errorf("%v", err)
	}
}

// snapshotOnFullDisk writes a snapshot, several that do not fit on the disk, and one after the disk has space again.
func snapshotOnFullDisk(dir string) error {
	snaps, err := Snapshots(dir, hclog.NewNullLogger())
	if err != nil {
		return err
	}
	configuration := raft.Configuration{Servers: []raft.Server{{ID: "a", Address: "a:1"}}}
	_, transport := raft.NewInmemTransport("a:1")
	write := func(index uint64, size int) error {
		sink, err := snaps.Create(raft.SnapshotVersionMax, index, 1, configuration, 1, transport)
		if err != nil {
			return err
		}
		if _, err := sink.Write(bytes.Repeat([]byte{byte(index)}, size)); err != nil {
			return errors.Join(err, sink.Cancel())
		}
		return sink.Close()
	}
	checkNewest := func(index uint64, size int) error {
		all, err := snaps.List()
		if err != nil || len(all) == 0 || all[0].Index != index {
			return fmt.Errorf("%d is not the newest of %v: %w", index, all, err)
		}
		_, r, err := snaps.Open(all[0].ID)
		if err != nil {
			return err
		}
		defer r.Close()
		raw, err := io.ReadAll(r)
		if err != nil || !bytes.Equal(raw, bytes.Repeat([]byte{byte(index)}, size)) {
			return fmt.Errorf("%d bytes of snapshot %d: %w", len(raw), index, err)
		}
		return nil
	}
	setSizeLimit := func(n uint64) error {
		return syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: n, Max: 1 << 40})
	}
	if err := errors.Join(write(5, 50<<10), checkNewest(5, 50<<10), setSizeLimit(100<<10)); err != nil {
		return err
	}
	for index := uint64(6); index < 12; index++ { // more than SnapshotsRetained
		if write(index, 300<<10) == nil {
			return errors.New("a snapshot that does not fit on the disk was written")
		}
		if err := checkNewest(5, 50<<10); err != nil {
			return err
		}
	}
	return errors.Join(setSizeLimit(1<<40), write(12, 300<<10), checkNewest(12, 300<<10))
}

// Writing a snapshot that does not fit on the disk must fail and leave the previous snapshot as the newest.
func TestSnapshotOnFullDisk(t *testing.T) {
	if _, _, _, output := runChild(t, t.TempDir(), "snapshot", time.Minute); output != "<nil>\n" {
		t.Error(output)
	}
}
