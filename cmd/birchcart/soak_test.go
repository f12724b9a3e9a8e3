package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"birchcart/internal/faultinject"
	"birchcart/internal/standin"
	"birchcart/internal/testproc"
)

const (
	soakSeeds            = "1-8,101-104" // run in CI, about 60 s; BIRCHCART_SOAK=1-50,101-150 selects others (make soak)
	soakParallelRuns     = 3             // concurrent runs, unless BIRCHCART_SOAK_BESIDE is set
	soakDeadline         = time.Second
	soakSockets          = 256
	soakKillDeadline     = soakDeadline + 700*time.Millisecond // after SIGTERM, derived from the deployment's longest deadline
	discoveryMoveGrace   = 4 * time.Second                     // after a SIGHUP, drains at the new discovery address count from then on
	readyTimeout         = 6 * time.Second
	hangupInterval       = 30 * time.Millisecond
	signalInterval       = 20 * time.Millisecond
	maxPrintedViolations = 5
	crowdDialTimeout     = time.Second
	soakReplicas         = 8
	soakClients          = 16
	soakThinkTime        = 30 * time.Millisecond
	soakWork             = 20 * time.Millisecond
	soakDisconnectShare  = 0.05
)

// soak is one run of a fault schedule against a real process.
type soak struct {
	t               *testing.T
	schedule        faultinject.Schedule
	shape           standin.FleetShape
	agents          []*faultinject.Agent // a reload moves the process from the first to the second
	replicas        *faultinject.Replicas
	traffic         *faultinject.Traffic
	listen          string
	path            string
	process         *exec.Cmd
	exited          chan error
	log             *testproc.Log
	run             faultinject.Run
	movedAt         time.Time
	idleConnections sync.WaitGroup
	stepCounts      map[faultinject.Kind]int
}

func newSoak(t *testing.T, seed uint64, standstills *testproc.Standstills) *soak {
	t.Helper()
	replicas, err := faultinject.NewReplicas(soakReplicas, soakWork, seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(replicas.Close)
	s := &soak{
		t: t, schedule: faultinject.NewSchedule(seed, soakReplicas), replicas: replicas, listen: freeAddress(t),
		path: filepath.Join(t.TempDir(), "config.json"), log: &testproc.Log{}, stepCounts: map[faultinject.Kind]int{},
		shape: standin.FleetShape{
			Replicas: soakReplicas, Cells: replicas.Cells(), Reach: 1, Shards: shardCount,
			Classes: []standin.FleetClass{
				{Name: "search", Promise: 0.5, GiveUp: soakDeadline.Seconds(), Semantics: "repeatable", Need: 1, Floor: 1},
				{Name: "submit", Promise: 0.5, GiveUp: soakDeadline.Seconds(), Semantics: "once", Need: 1, Floor: 1},
			},
		},
	}
	s.run.Stood, s.run.Crowd = standstills, false
	for range 2 {
		agent, err := faultinject.NewAgent(replicas.Endpoints())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(agent.Close)
		s.agents = append(s.agents, agent)
	}
	s.traffic = &faultinject.Traffic{
		Address: s.listen, Shards: shardCount, Connections: soakClients, Think: soakThinkTime, Wait: soakDeadline,
		SafeClass: "search", UnsafeClass: "submit", UnsafeShare: 0.3, LeaveShare: soakDisconnectShare, Seed: seed,
	}
	return s
}

// configure writes a complete configuration with this discovery address.
func (s *soak) configure(discovery string) {
	s.t.Helper()
	known := standin.List{Index: 1, Snapshot: true, Endpoints: s.replicas.Endpoints()}
	text := strings.Replace(string(s.shape.Config(s.listen, discovery, known)), `"sockets": 1024`, fmt.Sprintf(`"sockets": %d`, soakSockets), 1)
	if err := os.WriteFile(s.path, []byte(text), 0o600); err != nil {
		s.t.Error(err)
	}
}

// start starts the process and waits until it is ready.
func (s *soak) start() {
	s.t.Helper()
	cmd := testproc.Command("serve", "--config", s.path)
	cmd.Stderr = s.log
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.process, s.exited = cmd, make(chan error, 1)
	go func(exited chan error) { exited <- cmd.Wait() }(s.exited)
	s.t.Cleanup(func() { cmd.Process.Kill() })
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if status, err := readyStatus(s.t, s.listen); err == nil && status == 200 {
			return
		}
		if time.Since(began) > readyTimeout+s.run.Stood.Between(began, time.Now()) {
			s.fail(faultinject.BadEnd, "not ready after %v", readyTimeout)
			return
		}
	}
}

func (s *soak) fail(rule faultinject.Rule, format string, values ...any) {
	s.t.Errorf("seed %d: %v", s.schedule.Seed, faultinject.Violation{Rule: rule, Evidence: fmt.Sprintf(format, values...)})
}

// runSchedule runs the schedule and returns the violations found.
func (s *soak) runSchedule() []faultinject.Violation {
	s.configure(s.agents[0].Address())
	s.start()
	began := time.Now()
	s.traffic.Start()
	for _, step := range s.schedule.Steps {
		time.Sleep(time.Until(began.Add(step.At)))
		s.stepCounts[step.Kind]++
		s.applyStep(step)
	}
	time.Sleep(time.Until(began.Add(s.schedule.Length)))
	s.run.Requests = s.traffic.Stop()
	s.terminateAndWait(1)
	s.idleConnections.Wait()
	s.run.Parts, s.run.Ran, s.run.Drains = s.replicas.Parts(), s.replicas.Ran(), s.countedDrains()
	return s.run.Check()
}

// countedDrains returns the drains that are checked: those at the first agent until the reload that moves the process to
// the second, and those at the second from 4 s after that reload.
func (s *soak) countedDrains() (all []faultinject.Drain) {
	for _, d := range s.agents[0].Drains() {
		if s.movedAt.IsZero() || d.Counts.Before(s.movedAt) {
			all = append(all, d)
		}
	}
	if s.movedAt.IsZero() {
		return all
	}
	for _, d := range s.agents[1].Drains() {
		if from := s.movedAt.Add(discoveryMoveGrace); d.Counts.Before(from) {
			d.Counts = from
		}
		if d.Until.IsZero() || d.Until.After(d.Counts) {
			all = append(all, d)
		}
	}
	return all
}

// forEachAgent applies do to both agents, so that they keep the same list.
func (s *soak) forEachAgent(do func(*faultinject.Agent)) {
	for _, agent := range s.agents {
		do(agent)
	}
}

// setStatusFor gives a replica a status for a while and then sets it to Ready again.
func (s *soak) setStatusFor(replica int, status string, span time.Duration) {
	name := s.replicas.Names()[replica]
	s.forEachAgent(func(a *faultinject.Agent) { a.SetStatus(name, status) })
	time.AfterFunc(span, func() { s.forEachAgent(func(a *faultinject.Agent) { a.SetStatus(name, "Ready") }) })
}

// applyStep injects one fault.
func (s *soak) applyStep(step faultinject.Step) {
	switch step.Kind {
	case faultinject.DrainReplica:
		s.setStatusFor(step.Replica, "Terminating", step.Span)
	case faultinject.RemoveReplica:
		s.setStatusFor(step.Replica, "Gone", step.Span)
	case faultinject.HangReplica:
		s.replicas.Hang(s.replicas.Names()[step.Replica], step.Span)
	case faultinject.CrashReplica:
		s.replicas.Crash(step.Replica, step.Span)
	case faultinject.ReplicaTrouble:
		s.replicas.SetTrouble(step.Share)
		time.AfterFunc(step.Span, func() { s.replicas.SetTrouble(0) })
	case faultinject.DiscoveryDown:
		s.forEachAgent((*faultinject.Agent).Down)
		time.AfterFunc(step.Span, func() { s.forEachAgent((*faultinject.Agent).Up) })
	case faultinject.DiscoverySilent:
		s.forEachAgent((*faultinject.Agent).Down)
		time.AfterFunc(step.Span, func() { s.forEachAgent((*faultinject.Agent).UpWithSilentWatches) })
	case faultinject.SilenceWatches:
		s.forEachAgent((*faultinject.Agent).SilenceWatches)
	case faultinject.ResetWatches:
		s.forEachAgent((*faultinject.Agent).ResetWatches)
	case faultinject.FailNextWatches:
		s.forEachAgent(func(a *faultinject.Agent) { a.FailWatches(step.Watches...) })
	case faultinject.StopProcess:
		s.pauseProcess(step.Span)
	case faultinject.Hangup:
		s.sendHangups(step.Count)
	case faultinject.KillProcess:
		s.killAndRestart()
	case faultinject.EndProcess:
		s.terminateAndWait(step.Count)
		s.start()
	case faultinject.Crowd:
		s.run.Crowd = true
		s.openIdleConnections(step.Count, step.Span)
	}
}

// pauseProcess stops the process for a while. The schedule continues meanwhile.
func (s *soak) pauseProcess(span time.Duration) {
	from, process := time.Now(), s.process.Process
	process.Signal(syscall.SIGSTOP)
	time.AfterFunc(span, func() { process.Signal(syscall.SIGCONT) })
	s.run.Stops = append(s.run.Stops, faultinject.Span{From: from, To: from.Add(span)})
}

// sendHangups sends SIGHUP repeatedly. The file is half written for all but the last, which moves the process to the
// second agent.
func (s *soak) sendHangups(count int) {
	for i := range count {
		if last := i == count-1; last {
			s.configure(s.agents[1].Address())
			s.movedAt = time.Now()
		} else if err := os.WriteFile(s.path, []byte(`{"name": "n0", "lis`), 0o600); err != nil {
			s.t.Error(err)
		}
		s.process.Process.Signal(syscall.SIGHUP)
		time.Sleep(hangupInterval)
	}
}

// killAndRestart kills the process and starts it again.
func (s *soak) killAndRestart() {
	from := time.Now()
	s.process.Process.Kill()
	<-s.exited
	s.start()
	span := faultinject.Span{From: from, To: time.Now()}
	s.run.Kills, s.run.Ends = append(s.run.Kills, span), append(s.run.Ends, span)
}

// terminateAndWait sends SIGTERM repeatedly and requires that the process exits with status 0 before the earliest
// SIGKILL.
func (s *soak) terminateAndWait(count int) {
	from := time.Now()
	for range count {
		s.process.Process.Signal(syscall.SIGTERM)
		time.Sleep(signalInterval)
	}
	if err, ended := s.awaitExit(from.Add(soakKillDeadline)); !ended {
		s.fail(faultinject.BadEnd, "still running %v after SIGTERM\n%s", soakKillDeadline, lastLines(s.log.String()))
		s.process.Process.Kill()
		<-s.exited
	} else if err != nil {
		s.fail(faultinject.BadEnd, "ended with %v\n%s", err, lastLines(s.log.String()))
	}
	s.run.Ends = append(s.run.Ends, faultinject.Span{From: from, To: time.Now()})
}

// awaitExit waits for the process to exit until a deadline, which is extended by the time for which the machine did not
// schedule this test process.
func (s *soak) awaitExit(deadline time.Time) (err error, ended bool) {
	from := time.Now()
	for wait := time.Until(deadline); wait > 0; wait = time.Until(deadline.Add(s.run.Stood.Between(from, time.Now()))) {
		select {
		case err := <-s.exited:
			return err, true
		case <-time.After(wait):
		}
	}
	return nil, false
}

// openIdleConnections opens connections that stay idle, one in three of them after half a request.
func (s *soak) openIdleConnections(count int, span time.Duration) {
	end := time.Now().Add(span)
	for i := range count {
		s.idleConnections.Go(func() {
			conn, err := net.DialTimeout("tcp", s.listen, crowdDialTimeout)
			if err != nil {
				return
			}
			defer conn.Close()
			if i%3 == 0 {
				conn.Write([]byte("POST /search HTTP/1.1\r\nHost: service\r\nContent-Length: 100\r\n\r\n{"))
			}
			conn.SetReadDeadline(end)
			var b [512]byte
			for err == nil {
				_, err = conn.Read(b[:])
			}
		})
	}
}

// seedRanges parses seeds and ranges of them, such as "7" or "1-50,101".
func seedRanges(t *testing.T, text string) (seeds []uint64) {
	t.Helper()
	for _, part := range strings.Split(text, ",") {
		seeds = append(seeds, seedRange(t, part)...)
	}
	return seeds
}

// seedRange parses a seed such as "7" or a range such as "1-50".
func seedRange(t *testing.T, text string) (seeds []uint64) {
	t.Helper()
	first, last, ranged := strings.Cut(text, "-")
	if !ranged {
		last = first
	}
	from, err := strconv.ParseUint(first, 10, 32)
	to, toErr := strconv.ParseUint(last, 10, 32)
	if err != nil || toErr != nil || from > to {
		t.Fatalf("seeds %q: not N or N-M", text)
	}
	for seed := from; seed <= to; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// A real process runs under load and a seeded schedule of faults of discovery, the replicas, the process itself and its
// clients, which continue to send on open connections until the process exits. The records of the clients and the
// replicas must satisfy the rules of faultinject.Run.Check.
func TestSoak(t *testing.T) {
	seedRangeText := os.Getenv("BIRCHCART_SOAK")
	if seedRangeText == "" {
		seedRangeText = soakSeeds
	}
	standstills := testproc.WatchStandstills()
	parallelRuns := soakParallelRuns
	if n, err := strconv.Atoi(os.Getenv("BIRCHCART_SOAK_BESIDE")); err == nil {
		parallelRuns = n
	}
	slots := make(chan struct{}, parallelRuns)
	var totals struct {
		sync.Mutex
		requests, answered, refused, left, crossed, parts, drains int
		steps                                                     map[faultinject.Kind]int
		broken                                                    map[faultinject.Rule]int
	}
	totals.steps, totals.broken = map[faultinject.Kind]int{}, map[faultinject.Rule]int{}
	t.Run("seeds", func(t *testing.T) {
		for _, seed := range seedRanges(t, seedRangeText) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				s := newSoak(t, seed, standstills)
				found := s.runSchedule()
				for _, v := range found[:min(len(found), maxPrintedViolations)] {
					t.Errorf("seed %d: %v", seed, v)
				}
				if len(found) > 0 {
					t.Logf("%d violations\n%v\n%s", len(found), s.schedule, s.log.String())
				}
				totals.Lock()
				defer totals.Unlock()
				for kind, n := range s.stepCounts {
					totals.steps[kind] += n
				}
				for _, v := range found {
					totals.broken[v.Rule]++
				}
				totals.parts, totals.drains = totals.parts+len(s.run.Parts), totals.drains+len(s.run.Drains)
				for i := range s.run.Requests {
					r := &s.run.Requests[i]
					totals.requests++
					switch {
					case !r.Left.IsZero():
						totals.left++
					case r.Status == 200:
						totals.answered++
					case r.Status != 0:
						totals.refused++
					case r.Crossed:
						totals.crossed++
					}
				}
			})
		}
	})
	t.Logf("seeds %s: %d requests, %d served, %d refused or failed, %d left by their clients, %d crossed a close; %d parts, %d drains; faults %v; broken %v",
		seedRangeText, totals.requests, totals.answered, totals.refused, totals.left, totals.crossed, totals.parts, totals.drains, totals.steps, totals.broken)
	if totals.answered < totals.requests/2 {
		t.Errorf("too few queries were served for a meaningful result")
	}
}
