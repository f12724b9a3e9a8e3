package harness

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Process is a program that is started, stopped, killed and started again with its disk kept or lost. Its log goes on
// in one file.
type Process struct {
	Name string
	Path string   // of the program
	Args []string // of it
	Dir  string   // its disk, as far as it keeps anything
	Log  string   // file
	Runs func(name string, runs bool)

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	paused bool
	starts int
}

// Start starts it, unless it runs.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s runs already", p.Name)
	}
	if err := os.MkdirAll(p.Dir, 0o700); err != nil {
		return err
	}
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.starts++
	fmt.Fprintf(log, "--- start %d\n", p.starts)
	cmd := exec.Command(p.Path, p.Args...)
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "EDGE_") {
			cmd.Env = append(cmd.Env, v)
		}
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives a test that is killed
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.paused = cmd, ended, false
	if p.Runs != nil {
		p.Runs(p.Name, true)
	}
	go func() {
		cmd.Wait()
		p.mu.Lock()
		if p.cmd == cmd {
			p.cmd = nil
		}
		if p.Runs != nil {
			p.Runs(p.Name, false)
		}
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Running tells whether it was started and has not ended; one that is stopped runs.
func (p *Process) Running() bool { return p.Pid() != 0 }

// Pid is 0 if it does not run.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Paused tells whether it runs and is stopped.
func (p *Process) Paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && p.paused
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s does not run", p.Name)
	}
	switch s {
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
	return p.cmd.Process.Signal(s)
}

// Kill ends it at once and waits till it is gone.
func (p *Process) Kill() error { return p.end(syscall.SIGKILL, 10*time.Second) }

// Terminate asks it to end, and kills it after the limit; that is an error.
func (p *Process) Terminate(limit time.Duration) error { return p.end(syscall.SIGTERM, limit) }

func (p *Process) end(s syscall.Signal, limit time.Duration) error {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.mu.Unlock()
	if cmd == nil {
		return nil
	}
	cmd.Process.Signal(s)
	if s != syscall.SIGKILL {
		cmd.Process.Signal(syscall.SIGCONT) // one that is stopped hears nothing else
	}
	select {
	case <-ended:
		return nil
	case <-time.After(limit):
		cmd.Process.Kill()
		<-ended
		return fmt.Errorf("%s did not end within %v of %v", p.Name, limit, s)
	}
}

// LoseDisk removes all that it kept. It must not run.
func (p *Process) LoseDisk() error {
	if p.Running() {
		return fmt.Errorf("%s still runs", p.Name)
	}
	entries, err := os.ReadDir(p.Dir)
	for _, e := range entries {
		err = errors.Join(err, os.RemoveAll(filepath.Join(p.Dir, e.Name())))
	}
	return err
}

// tearAt is where a torn file ends, in bytes: within its first pages, so that nothing of the log is left.
const tearAt = 5000

// Tear cuts the raft group's file of its disk short, as a crash in the middle of a write may. It must not run.
func (p *Process) Tear() error {
	if p.Running() {
		return fmt.Errorf("%s still runs", p.Name)
	}
	return os.Truncate(filepath.Join(p.Dir, "fleet", "council.db"), tearAt)
}

// FullDisk lets no file of its grow past a size, in bytes; 0 lifts that. It holds until the process ends. A write over
// it fails, as one to a full disk does.
func (p *Process) FullDisk(size uint64) error {
	pid := p.Pid()
	if pid == 0 {
		return fmt.Errorf("%s does not run", p.Name)
	}
	limit := unix.Rlimit{Cur: size, Max: unix.RLIM_INFINITY}
	if size == 0 {
		limit.Cur = unix.RLIM_INFINITY
	}
	return unix.Prlimit(pid, unix.RLIMIT_FSIZE, &limit, nil)
}
