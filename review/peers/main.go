// Command peers plays the cases of the review: it has the stand-ins of a case, starts the project's program by the line `run` of
// the deploy file, sends what clients send, and judges by what clients, servers and the platform see.
//
//	peers CASE RECORD   exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run
//
// Variables: RUN, the line `run` of the deploy file; TROUBLE=0 plays the case without its disruption.
package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// caseRun is one run of a case.
type caseRun struct {
	trouble bool
	dir     string // temporary, removed at the end
	began   time.Time

	mu     sync.Mutex
	record io.Writer
	broken []string
	ends   []func()
}

var cases = map[string]func(*caseRun) error{"planned-restart": plannedRestart, "session-order": sessionOrder, "stale-grant": staleGrant}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "peers CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(*caseRun) error, recordPath string) int {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "birchcart-review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	r := &caseRun{trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), record: io.MultiWriter(record, os.Stdout)}
	r.note("trouble: %v", r.trouble)
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, os.Interrupt)
	played := make(chan error, 1)
	go func() { played <- play(r) }()
	select {
	case err = <-played:
	case sig := <-told:
		err = fmt.Errorf("told to end: %v", sig)
	}
	r.end()
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return 2
	case len(r.broken) > 0:
		r.note("verdict: the rule was broken %d times; first: %s", len(r.broken), r.broken[0])
		return 1
	}
	r.note("verdict: the rule held")
	return 0
}

// note writes a line of the record.
func (r *caseRun) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks notes that the rule was broken.
func (r *caseRun) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// atEnd adds what is run at the end of the case, however it ends; the last added goes first.
func (r *caseRun) atEnd(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, f)
}

func (r *caseRun) end() {
	r.mu.Lock()
	ends := r.ends
	r.ends = nil
	r.mu.Unlock()
	for _, f := range slices.Backward(ends) {
		f()
	}
}

// taken are the addresses that freeAddress has given.
var taken = map[string]bool{}

// freeAddress is a loopback address whose port is free for TCP and UDP. Its port is below those that the kernel gives to connections,
// so that none takes it meanwhile.
func freeAddress() (string, error) {
	const first, ports = 20000, 10000
	for range 200 {
		address := fmt.Sprintf("127.77.59.1:%d", first+rand.IntN(ports))
		if taken[address] {
			continue
		}
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		ln.Close()
		c, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		c.Close()
		taken[address] = true
		return address, nil
	}
	return "", errors.New("no free address in 200 tries")
}

// process is a program that runs; ended is closed at its end.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// program starts the project's program by a command line that begins with the deploy file's `run`, and ends it with the case.
func (r *caseRun) program(name, command string) (*process, error) {
	log, err := os.Create(filepath.Join(r.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	r.note("started %s as process %d", name, cmd.Process.Pid)
	ended := make(chan struct{})
	go func() { cmd.Wait(); close(ended) }()
	r.atEnd(func() {
		cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-ended:
		case <-time.After(6 * time.Second):
			cmd.Process.Kill()
			<-ended
		}
		if os.Getenv("KEEP_LOG") != "" {
			if text, err := os.ReadFile(log.Name()); err == nil {
				os.Stderr.Write(text)
			}
		}
	})
	return &process{cmd, ended}, nil
}

// command is the line `run` of the deploy file with more arguments.
func command(more string) (string, error) {
	line := os.Getenv("RUN")
	if line == "" {
		return "", errors.New("RUN is not set: it is the line `run` of the deploy file")
	}
	return line + " " + more, nil
}

// awaitReady waits until a co-ordinator says that it is ready.
func awaitReady(address string) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + address + "/-/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after 15 s", address)
}
