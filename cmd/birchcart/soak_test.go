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
	soakSeeds      = "1-8" // in CI, some 40 s; BIRCHCART_SOAK=1-50 plays others (make soak)
	soakBeside     = 3     // runs at the same time; BIRCHCART_SOAK_BESIDE for others
	soakDeadline   = time.Second
	soakSockets    = 256
	earliestKill   = soakDeadline + 700*time.Millisecond // after SIGTERM, from the deployment's longest deadline
	moveCounts     = 4 * time.Second                     // after a hangup, what a new address has counts
	readyWithin    = 6 * time.Second
	hangupsApart   = 30 * time.Millisecond
	signalsApart   = 20 * time.Millisecond
	printedAtMost  = 5
	crowdDialWait  = time.Second
	soakReplicas   = 8
	soakClients    = 16
	soakThinkTime  = 30 * time.Millisecond
	soakWork       = 20 * time.Millisecond
	soakLeaveShare = 0.05
)

// soak is one run of a schedule on a real process.
type soak struct {
	t        *testing.T
	schedule faultinject.Schedule
	shape    standin.FleetShape
	agents   []*faultinject.Agent // the process moves from the first to the second at a hangup
	replicas *faultinject.Replicas
	traffic  *faultinject.Traffic
	listen   string
	path     string
	process  *exec.Cmd
	exited   chan error
	log      *testproc.Log
	run      faultinject.Run
	movedAt  time.Time
	crowd    sync.WaitGroup
	counts   map[faultinject.Kind]int
}

func newSoak(t *testing.T, seed uint64, stood *testproc.Standstills) *soak {
	t.Helper()
	replicas, err := faultinject.NewReplicas(soakReplicas, soakWork, seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(replicas.Close)
	s := &soak{
		t: t, schedule: faultinject.NewSchedule(seed, soakReplicas), replicas: replicas, listen: freeAddress(t),
		path: filepath.Join(t.TempDir(), "config.json"), log: &testproc.Log{}, counts: map[faultinject.Kind]int{},
		shape: standin.FleetShape{
			Replicas: soakReplicas, Cells: replicas.Cells(), Reach: 1, Shards: shardCount,
			Classes: []standin.FleetClass{
				{Name: "search", Promise: 0.5, GiveUp: soakDeadline.Seconds(), Semantics: "repeatable", Need: 1, Floor: 1},
				{Name: "submit", Promise: 0.5, GiveUp: soakDeadline.Seconds(), Semantics: "once", Need: 1, Floor: 1},
			},
		},
	}
	s.run.Stood, s.run.Crowd = stood, false
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
		SafeClass: "search", UnsafeClass: "submit", UnsafeShare: 0.3, LeaveShare: soakLeaveShare, Seed: seed,
	}
	return s
}

// configure writes the settings with this address of discovery, as a whole.
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
		if status, err := ready(s.t, s.listen); err == nil && status == 200 {
			return
		}
		if time.Since(began) > readyWithin+s.run.Stood.Between(began, time.Now()) {
			s.fail(faultinject.BadEnd, "not ready after %v", readyWithin)
			return
		}
	}
}

func (s *soak) fail(rule faultinject.Rule, format string, values ...any) {
	s.t.Errorf("seed %d: %v", s.schedule.Seed, faultinject.Violation{Rule: rule, Evidence: fmt.Sprintf(format, values...)})
}

// play plays the schedule and returns what was found.
func (s *soak) play() []faultinject.Violation {
	s.configure(s.agents[0].Address())
	s.start()
	began := time.Now()
	s.traffic.Start()
	for _, step := range s.schedule.Steps {
		time.Sleep(time.Until(began.Add(step.At)))
		s.counts[step.Kind]++
		s.do(step)
	}
	time.Sleep(time.Until(began.Add(s.schedule.Length)))
	s.run.Requests = s.traffic.Stop()
	s.end(1)
	s.crowd.Wait()
	s.run.Parts, s.run.Ran, s.run.Drains = s.replicas.Parts(), s.replicas.Ran(), s.drains()
	return s.run.Check()
}

// drains are those that count: of the first agent until the process was told to move, and then of the second, from 4 s after.
func (s *soak) drains() (all []faultinject.Drain) {
	for _, d := range s.agents[0].Drains() {
		if s.movedAt.IsZero() || d.Counts.Before(s.movedAt) {
			all = append(all, d)
		}
	}
	if s.movedAt.IsZero() {
		return all
	}
	for _, d := range s.agents[1].Drains() {
		if from := s.movedAt.Add(moveCounts); d.Counts.Before(from) {
			d.Counts = from
		}
		if d.Until.IsZero() || d.Until.After(d.Counts) {
			all = append(all, d)
		}
	}
	return all
}

// each does something to both agents: they have the same list.
func (s *soak) each(do func(*faultinject.Agent)) {
	for _, agent := range s.agents {
		do(agent)
	}
}

// drainFor has a replica want nothing new for a while.
func (s *soak) drainFor(replica int, status string, span time.Duration) {
	name := s.replicas.Names()[replica]
	s.each(func(a *faultinject.Agent) { a.SetStatus(name, status) })
	time.AfterFunc(span, func() { s.each(func(a *faultinject.Agent) { a.SetStatus(name, "Ready") }) })
}

func (s *soak) do(step faultinject.Step) {
	switch step.Kind {
	case faultinject.DrainReplica:
		s.drainFor(step.Replica, "Terminating", step.Span)
	case faultinject.RemoveReplica:
		s.drainFor(step.Replica, "Gone", step.Span)
	case faultinject.HangReplica:
		s.replicas.Hang(s.replicas.Names()[step.Replica], step.Span)
	case faultinject.CrashReplica:
		s.replicas.Crash(step.Replica, step.Span)
	case faultinject.ReplicaTrouble:
		s.replicas.SetTrouble(step.Share)
		time.AfterFunc(step.Span, func() { s.replicas.SetTrouble(0) })
	case faultinject.DiscoveryDown:
		s.each((*faultinject.Agent).Down)
		time.AfterFunc(step.Span, func() { s.each((*faultinject.Agent).Up) })
	case faultinject.SilenceWatches:
		s.each((*faultinject.Agent).SilenceWatches)
	case faultinject.ResetWatches:
		s.each((*faultinject.Agent).ResetWatches)
	case faultinject.FailNextWatches:
		s.each(func(a *faultinject.Agent) { a.FailWatches(step.Watches...) })
	case faultinject.StopProcess:
		s.stop(step.Span)
	case faultinject.Hangup:
		s.hangup(step.Count)
	case faultinject.KillProcess:
		s.kill()
	case faultinject.EndProcess:
		s.end(step.Count)
		s.start()
	case faultinject.Crowd:
		s.run.Crowd = true
		s.bringCrowd(step.Count, step.Span)
	}
}

// stop holds the process up, while the schedule goes on.
func (s *soak) stop(span time.Duration) {
	from, process := time.Now(), s.process.Process
	process.Signal(syscall.SIGSTOP)
	time.AfterFunc(span, func() { process.Signal(syscall.SIGCONT) })
	s.run.Stops = append(s.run.Stops, faultinject.Span{From: from, To: from.Add(span)})
}

// hangup sends hangups in a row. All but the last find a file that is half written; the last moves discovery.
func (s *soak) hangup(count int) {
	for i := range count {
		if last := i == count-1; last {
			s.configure(s.agents[1].Address())
			s.movedAt = time.Now()
		} else if err := os.WriteFile(s.path, []byte(`{"name": "n0", "lis`), 0o600); err != nil {
			s.t.Error(err)
		}
		s.process.Process.Signal(syscall.SIGHUP)
		time.Sleep(hangupsApart)
	}
}

// kill ends the process with no warning and starts it again.
func (s *soak) kill() {
	from := time.Now()
	s.process.Process.Kill()
	<-s.exited
	s.start()
	span := faultinject.Span{From: from, To: time.Now()}
	s.run.Kills, s.run.Ends = append(s.run.Kills, span), append(s.run.Ends, span)
}

// end sends SIGTERM in a row and holds that the process ends by itself, with 0, before it may be killed.
func (s *soak) end(count int) {
	from := time.Now()
	for range count {
		s.process.Process.Signal(syscall.SIGTERM)
		time.Sleep(signalsApart)
	}
	if err, ended := s.awaitExit(from.Add(earliestKill)); !ended {
		s.fail(faultinject.BadEnd, "runs still %v after SIGTERM\n%s", earliestKill, lastLines(s.log.String()))
		s.process.Process.Kill()
		<-s.exited
	} else if err != nil {
		s.fail(faultinject.BadEnd, "ended with %v\n%s", err, lastLines(s.log.String()))
	}
	s.run.Ends = append(s.run.Ends, faultinject.Span{From: from, To: time.Now()})
}

// awaitExit waits for the process's exit until a time, put off by the time for which the machine had this process stand still.
func (s *soak) awaitExit(by time.Time) (err error, ended bool) {
	from := time.Now()
	for wait := time.Until(by); wait > 0; wait = time.Until(by.Add(s.run.Stood.Between(from, time.Now()))) {
		select {
		case err := <-s.exited:
			return err, true
		case <-time.After(wait):
		}
	}
	return nil, false
}

// bringCrowd opens idle connections, one in three with half a request.
func (s *soak) bringCrowd(count int, span time.Duration) {
	end := time.Now().Add(span)
	for i := range count {
		s.crowd.Go(func() {
			conn, err := net.DialTimeout("tcp", s.listen, crowdDialWait)
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

// seedRange reads "7" or "1-50".
func seedRange(t *testing.T, text string) (seeds []uint64) {
	t.Helper()
	first, last, ranged := strings.Cut(text, "-")
	if !ranged {
		last = first
	}
	from, err := strconv.ParseUint(first, 10, 32)
	to, also := strconv.ParseUint(last, 10, 32)
	if err != nil || also != nil || from > to {
		t.Fatalf("seeds %q: not N or N-M", text)
	}
	for seed := from; seed <= to; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// The soak: a real process under load and a seeded schedule of faults at discovery, replicas, the process and its clients, which go on
// sending on open connections until the process ends. What clients and replicas recorded is held to the rules.
func TestSoak(t *testing.T) {
	text := os.Getenv("BIRCHCART_SOAK")
	if text == "" {
		text = soakSeeds
	}
	stood := testproc.WatchStandstills()
	beside := soakBeside
	if n, err := strconv.Atoi(os.Getenv("BIRCHCART_SOAK_BESIDE")); err == nil {
		beside = n
	}
	places := make(chan struct{}, beside)
	var sums struct {
		sync.Mutex
		requests, answered, refused, left, crossed, parts, drains int
		steps                                                     map[faultinject.Kind]int
		broken                                                    map[faultinject.Rule]int
	}
	sums.steps, sums.broken = map[faultinject.Kind]int{}, map[faultinject.Rule]int{}
	t.Run("seeds", func(t *testing.T) {
		for _, seed := range seedRange(t, text) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				places <- struct{}{}
				defer func() { <-places }()
				s := newSoak(t, seed, stood)
				found := s.play()
				for _, v := range found[:min(len(found), printedAtMost)] {
					t.Errorf("seed %d: %v", seed, v)
				}
				if len(found) > 0 {
					t.Logf("%d violations\n%v\n%s", len(found), s.schedule, s.log.String())
				}
				sums.Lock()
				defer sums.Unlock()
				for kind, n := range s.counts {
					sums.steps[kind] += n
				}
				for _, v := range found {
					sums.broken[v.Rule]++
				}
				sums.parts, sums.drains = sums.parts+len(s.run.Parts), sums.drains+len(s.run.Drains)
				for i := range s.run.Requests {
					r := &s.run.Requests[i]
					sums.requests++
					switch {
					case !r.Left.IsZero():
						sums.left++
					case r.Status == 200:
						sums.answered++
					case r.Status != 0:
						sums.refused++
					case r.Crossed:
						sums.crossed++
					}
				}
			})
		}
	})
	t.Logf("seeds %s: %d requests, %d served, %d refused or failed, %d left by their clients, %d crossed a close; %d parts, %d drains; faults %v; broken %v",
		text, sums.requests, sums.answered, sums.refused, sums.left, sums.crossed, sums.parts, sums.drains, sums.steps, sums.broken)
	if sums.answered < sums.requests/2 {
		t.Errorf("too little was served to tell anything")
	}
}
