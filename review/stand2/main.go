// Command stand2 plays the cases of the second review: it starts the stand-ins and the project's programs of one case,
// does what the case says, writes a record, and judges by the rule. Its status is 1 if the rule was broken, 0 if it held
// and 2 if the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errBroken is what a case returns when the rule was broken.
type errBroken struct{ what string }

func (e errBroken) Error() string { return e.what }

func broken(format string, args ...any) error { return errBroken{fmt.Sprintf(format, args...)} }

// stage is what a case runs on.
type stage struct {
	root, dir string
	trouble   bool
	began     time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*process
	later  []func()
}

// process is one of the project's programs.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

func (s *stage) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// start runs a command of the deploy file from the root, with its log in the case's temporary folder.
func (s *stage) start(name, command string, env ...string) (*process, error) {
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Stdout, cmd.Stderr = s.root, log, log
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	go func() { cmd.Wait(); close(p.ended) }()
	s.procs = append(s.procs, p)
	s.note("started %s: %s", name, command)
	return p, nil
}

// runCommand is the line `run` of the deploy file.
func (s *stage) runCommand() (string, error) {
	raw, err := os.ReadFile(filepath.Join(s.root, "deploy/balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			var command string
			return command, json.Unmarshal([]byte(strings.TrimSpace(rest)), &command)
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no line run")
}

func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// end ends all that was started.
func (s *stage) end() {
	for _, p := range s.procs {
		if p.alive() {
			p.cmd.Process.Signal(syscall.SIGCONT)
			p.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, p := range s.procs {
		select {
		case <-p.ended:
		case <-time.After(6 * time.Second):
			p.cmd.Process.Kill()
			<-p.ended
		}
	}
	for _, f := range s.later {
		f()
	}
}

var cases = map[string]func(*stage) error{
	"feature-client-leaves":     featureClientLeaves,
	"drain-after-short-outage":  drainAfterShortOutage,
	"feature-burst":             featureBurst,
	"reload-moves-discovery":    reloadMovesDiscovery,
	"feature-refused-after-run": featureRefusedAfterRun,
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		return 2
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	s := &stage{root: filepath.Join(folder, "../.."), dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	s.note("case %s, trouble %v", os.Args[1], s.trouble)
	err = cases[os.Args[1]](s)
	s.end()
	if keep := os.Getenv("KEEP"); keep != "" {
		logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
		for _, l := range logs {
			raw, _ := os.ReadFile(l)
			os.WriteFile(filepath.Join(keep, filepath.Base(l)), raw, 0o600)
		}
	}
	b, isBroken := err.(errBroken)
	switch {
	case err == nil:
		s.note("the rule held")
		fmt.Println("held")
		return 0
	case isBroken:
		s.note("the rule was broken: %s", b.what)
		fmt.Println("broken:", b.what)
		return 1
	}
	s.note("the case could not run: %v", err)
	fmt.Println("could not run:", err)
	return 2
}

func main() { os.Exit(run()) }
