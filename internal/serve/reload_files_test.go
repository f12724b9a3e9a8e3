package serve

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
	"birchcart/internal/operator"
)

const (
	formerDiscovery = "127.0.0.1:9200" // of deploy/example.json
	newDiscovery    = "127.0.0.1:9201"
	formerOperator  = `{"version":1,"process":{"log":{"level":"error"}}}`
	newOperator     = `{"version":1,"process":{"log":{"level":"warn"}}}`
	soon            = 110 * time.Millisecond // a retry, and a moment
)

// keyExtension is an extension whose keys file can be made unreadable, and whose part of the operators' file can be refused.
type keyExtension struct {
	mu                   sync.Mutex
	keysErr, operatorErr error
	keysRead             int
}

func (*keyExtension) Start(Host) error           { return nil }
func (*keyExtension) AwaitReady(context.Context) {}
func (*keyExtension) Drain()                     {}
func (*keyExtension) Stop()                      {}

func (x *keyExtension) Reload(*operator.File) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.operatorErr
}

func (x *keyExtension) ReadKeys() (apply func() error, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.applyKeys, x.keysErr
}

func (x *keyExtension) applyKeys() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.keysRead++
	return nil
}

// fail sets the errors of both reloads from now on, nil for none.
func (x *keyExtension) fail(keysErr, operatorErr error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.keysErr, x.operatorErr = keysErr, operatorErr
}

// keysReadSince returns how often the keys were read since the last call.
func (x *keyExtension) keysReadSince() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.keysRead
	x.keysRead = 0
	return n
}

// reloadFixture is a running reloader with a configuration, an operators' file and an extension with keys.
type reloadFixture struct {
	*testing.T
	source     Source
	example    []byte // the configuration as at the start
	moved      moves
	movesSoFar []string
	process    *Process
	extension  *keyExtension
	hangups    chan os.Signal
}

// settle lets an amount of the bubble's time pass, and waits until the reloader rests.
func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// newReloadFixture starts a reloader. It ends with the test.
func newReloadFixture(t *testing.T) *reloadFixture {
	t.Helper()
	example, err := os.ReadFile("../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	f := &reloadFixture{
		T: t, source: Source{Config: filepath.Join(dir, "config.json"), Operator: filepath.Join(dir, "operator.json")}, example: example,
		moved: moves{make(chan string, 100)}, process: NewProcess(""), extension: &keyExtension{}, hangups: make(chan os.Signal, 1),
	}
	t.Cleanup(f.process.Close)
	f.writeConfig(formerDiscovery)
	f.writeOperator(formerOperator)
	cfg, op, err := f.source.Files()
	if err != nil {
		t.Fatal(err)
	}
	f.process.applyOperator(op)
	log := f.process.Log().WithField("node", "n")
	r := &reloader{config: cfg, source: f.source, discovery: f.moved, Process: f.process, exchange: exchange.New(cfg, log), extension: f.extension, log: log}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { r.run(ctx, f.hangups); close(ended) }()
	t.Cleanup(func() { stop(); <-ended })
	return f
}

func (f *reloadFixture) write(path string, text []byte) {
	f.Helper()
	if err := os.RemoveAll(path); err != nil { // it may be a folder
		f.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		f.Fatal(err)
	}
}

func (f *reloadFixture) config(discovery string) []byte {
	return bytes.Replace(f.example, []byte(formerDiscovery), []byte(discovery), 1)
}

func (f *reloadFixture) writeConfig(discovery string) { f.write(f.source.Config, f.config(discovery)) }
func (f *reloadFixture) writeOperator(text string)    { f.write(f.source.Operator, []byte(text)) }

// replaceConfig puts a new file in the configuration's place. Whoever reads the one before goes on reading that.
func (f *reloadFixture) replaceConfig(discovery string) {
	f.Helper()
	next := f.source.Config + ".new"
	f.write(next, f.config(discovery))
	if err := os.Rename(next, f.source.Config); err != nil {
		f.Fatal(err)
	}
}

// moves are the addresses that discovery was moved to so far.
func (f *reloadFixture) moves() []string {
	for len(f.moved.to) > 0 {
		f.movesSoFar = append(f.movesSoFar, <-f.moved.to)
	}
	return f.movesSoFar
}

// discovery is the address that discovery was moved to last, or that of the start.
func (f *reloadFixture) discovery() string {
	all := f.moves()
	if len(all) == 0 {
		return formerDiscovery
	}
	return all[len(all)-1]
}

// operatorInForce reports whether the new operators' file is in force.
func (f *reloadFixture) operatorInForce() bool { return f.process.Log().GetLevel() == logrus.WarnLevel }

// expect fails the test unless exactly these files are in force in their new form, and the keys were read since the last call or not.
func (f *reloadFixture) expect(when string, config, operator, keys bool) {
	f.Helper()
	if got := f.discovery() == newDiscovery; got != config {
		f.Errorf("%s: the configuration's new address of discovery is in force: %t, want %t", when, got, config)
	}
	if got := f.operatorInForce(); got != operator {
		f.Errorf("%s: the new operators' file is in force: %t, want %t", when, got, operator)
	}
	if got := f.extension.keysReadSince() > 0; got != keys {
		f.Errorf("%s: the keys were read: %t, want %t", when, got, keys)
	}
}

// failures are the ways in which a file can't be used, by what its path holds then.
var failures = map[string]func(t *testing.T, path string, sound []byte) error{
	"missing": func(_ *testing.T, path string, _ []byte) error { return os.Remove(path) },
	"empty":   func(_ *testing.T, path string, _ []byte) error { return os.WriteFile(path, nil, 0o600) },
	"half written": func(_ *testing.T, path string, sound []byte) error {
		return os.WriteFile(path, sound[:len(sound)/2], 0o600)
	},
	"refused": func(_ *testing.T, path string, _ []byte) error {
		return os.WriteFile(path, []byte(`{"version":77}`), 0o600)
	},
	"without an end": func(_ *testing.T, path string, _ []byte) error {
		return errors.Join(os.Remove(path), os.Symlink("/dev/zero", path))
	},
	"a folder": func(_ *testing.T, path string, _ []byte) error {
		return errors.Join(os.Remove(path), os.Mkdir(path, 0o700))
	},
}

// A file that fails at a hangup, in whichever way, must not keep the other files of that hangup out of force, and counts itself soon
// after it is whole. Guards against the fault of review case 9: a refused operators' file kept a sound move of discovery out.
func TestFailedFileKeepsNoOtherFileOut(t *testing.T) {
	for name, fail := range failures {
		for _, file := range []string{"configuration", "operators' file"} {
			t.Run(file+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newReloadFixture(t)
					f.writeConfig(newDiscovery)
					f.writeOperator(newOperator)
					path, sound := f.source.Config, f.config(newDiscovery)
					if file == "operators' file" {
						path, sound = f.source.Operator, []byte(newOperator)
					}
					if err := fail(t, path, sound); err != nil {
						t.Fatal(err)
					}
					f.hangups <- os.Interrupt
					settle(soon)
					f.expect("while it fails", path != f.source.Config, path != f.source.Operator, true)
					f.write(path, sound)
					settle(soon)
					f.expect("once it is whole", true, true, false)
				})
			})
		}
	}
}

// Keys that can't be read, or an operators' file that the extension refuses, keep no other file out either.
func TestFailedExtensionKeepsNoOtherFileOut(t *testing.T) {
	noKeys, refused := errors.New("no keys"), errors.New("refused")
	for name, c := range map[string]struct{ keysErr, operatorErr error }{
		"keys":                     {keysErr: noKeys},
		"operators' file":          {operatorErr: refused},
		"keys and operators' file": {noKeys, refused},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newReloadFixture(t)
				f.writeConfig(newDiscovery)
				f.writeOperator(newOperator)
				f.extension.fail(c.keysErr, c.operatorErr)
				f.hangups <- os.Interrupt
				settle(soon)
				f.expect("while it fails", true, c.operatorErr == nil, c.keysErr == nil)
				f.extension.fail(nil, nil)
				settle(soon)
				f.expect("once it is sound", true, true, c.keysErr != nil) // sound keys are not read twice
			})
		})
	}
}

// Over hangups in a row each file follows its own newest sound form, whichever of the others fails at which hangup. A file that counted
// at a hangup is not read again by the retries of another.
func TestHangupsInARowWithFailingFiles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newReloadFixture(t)
		f.writeConfig(newDiscovery)
		f.writeOperator(`{"version":1,`)
		f.hangups <- os.Interrupt
		settle(soon)
		f.expect("operators' file half written", true, false, true)
		f.writeConfig("127.0.0.1:9202") // replaced, but no hangup yet
		settle(soon)
		f.expect("only the operators' file is retried", true, false, false)
		f.write(f.source.Config, f.config("127.0.0.1:9202")[:100])
		f.writeOperator(newOperator)
		f.extension.fail(errors.New("no keys"), nil)
		f.hangups <- os.Interrupt
		settle(soon)
		f.expect("configuration and keys fail", true, true, false)
		f.writeOperator(formerOperator)
		f.hangups <- os.Interrupt
		settle(soon)
		f.expect("configuration and keys still fail", true, false, false)
		settle(5 * time.Second) // given up by now
		f.writeConfig("127.0.0.1:9202")
		f.extension.fail(nil, nil)
		settle(5 * time.Second)
		f.expect("given up", true, false, false)
		f.hangups <- os.Interrupt
		settle(soon)
		if got, keys := f.discovery(), f.extension.keysReadSince(); got != "127.0.0.1:9202" || keys != 1 {
			t.Errorf("after the last hangup discovery is at %s and the keys were read %d times", got, keys)
		}
	})
}

// until waits for a condition in real time.
func (f *reloadFixture) until(what string, condition func() bool) {
	f.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.Fatalf("not within 10 s: %s", what)
		}
	}
}

// block replaces a file by one whose reads block until the test's end.
func (f *reloadFixture) block(path string) {
	f.Helper()
	if err := errors.Join(os.Remove(path), syscall.Mkfifo(path, 0o600)); err != nil {
		f.Fatal(err)
	}
	writer, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { writer.Close() })
}

// A file whose read blocks must not hold up the other file of that hangup or of later ones.
func TestBlockedReadDelaysNoOtherFile(t *testing.T) {
	f := newReloadFixture(t)
	f.block(f.source.Operator)
	for i := range 2 * maxBlockedReads {
		address := fmt.Sprint("127.0.0.1:", 9300+i)
		f.writeConfig(address)
		f.hangups <- os.Interrupt
		f.until("a move to "+address, func() bool { return f.discovery() == address })
	}
}

// A file that replaces one whose read blocks must count at the next hangup, and what the blocked read brings later must not.
func TestBlockedReadIsAbandonedAtNextHangup(t *testing.T) {
	const abandonedDiscovery = "127.0.0.1:9205"
	f := newReloadFixture(t)
	if err := errors.Join(os.Remove(f.source.Config), syscall.Mkfifo(f.source.Config, 0o600)); err != nil {
		t.Fatal(err)
	}
	f.hangups <- os.Interrupt
	blocked, err := os.OpenFile(f.source.Config, os.O_WRONLY, 0) // returns once the read has begun
	if err != nil {
		t.Fatal(err)
	}
	defer blocked.Close()
	f.replaceConfig(newDiscovery)
	f.hangups <- os.Interrupt
	f.until("a move to "+newDiscovery, func() bool { return f.discovery() == newDiscovery })
	if _, err := blocked.Write(f.config(abandonedDiscovery)); err != nil {
		t.Fatal(err)
	}
	blocked.Close()
	f.replaceConfig(formerDiscovery)
	f.hangups <- os.Interrupt
	f.until("a move to "+formerDiscovery, func() bool { return f.discovery() == formerDiscovery })
	if got := f.moves(); slices.Contains(got, abandonedDiscovery) {
		t.Errorf("the blocked read moved discovery: %q", got)
	}
}

// Reads of one file that block are bounded. Once they return, the file is read again.
func TestBlockedReadsAreBounded(t *testing.T) {
	limits := config.Limits{ReloadTries: 31, ReloadWait: 10 * time.Millisecond, LogEvery: time.Second}
	process := NewProcess("panic")
	defer process.Close()
	var reads, applied atomic.Int32
	f := &fileReloader{name: "the file", limits: &limits, log: process.Log().WithField("node", "n")}
	synctest.Test(t, func(t *testing.T) {
		release, hangups := make(chan struct{}), make(chan struct{})
		f.read = func() (func() error, error) {
			reads.Add(1)
			<-release
			return func() error { applied.Add(1); return nil }, nil
		}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go f.run(ctx, hangups)
		for range 3 * maxBlockedReads {
			hangups <- struct{}{}
			synctest.Wait()
		}
		if got := reads.Load(); got != maxBlockedReads {
			t.Errorf("%d reads block, want %d", got, maxBlockedReads)
		}
		close(release)
		settle(100 * time.Millisecond)
		if got := applied.Load(); got != 1 {
			t.Errorf("the file was put into force %d times, want once", got)
		}
	})
}
