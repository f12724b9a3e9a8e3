package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"strings"
	"syscall"
	"time"
)

// measureVariable names a folder for what a process says of its own memory and, at its end, where its CPU went.
const measureVariable = "BIRCHCART_MEASURE"

// measured is main for processes of which a test asks the cost: at each SIGUSR2 it collects, gives back what is free, and
// writes the heap in use; from the first one on it takes a profile of its CPU.
func measured() {
	dir := os.Getenv(measureVariable)
	if dir == "" {
		main()
		return
	}
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGUSR2)
	if os.Getenv("BIRCHCART_MEASURE_PROFILE") != "" {
		if f, err := os.Create(filepath.Join(dir, fmt.Sprintf("cpu%d.pprof", os.Getpid()))); err == nil && pprof.StartCPUProfile(f) == nil {
			defer pprof.StopCPUProfile()
		}
	}
	go func() {
		for range asked {
			runtime.GC()
			debug.FreeOSMemory()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			at := filepath.Join(dir, fmt.Sprint("heap", os.Getpid()))
			os.WriteFile(at+".new", fmt.Append(nil, m.HeapAlloc), 0o600)
			os.Rename(at+".new", at)
			if f, err := os.Create(at + ".pprof"); err == nil {
				pprof.WriteHeapProfile(f)
				f.Close()
			}
		}
	}()
	main()
}

// memory of a process: what it had at that moment, and after a collection what is resident and what of it is heap.
type memory struct{ asItWas, resident, heap int }

func (s *site) memory(i int) (m memory) {
	s.Helper()
	pid := s.procs[i].Process.Pid
	resident := func() (kb int) {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			s.Fatal(err)
		}
		_, after, _ := strings.Cut(string(raw), "VmRSS:")
		fmt.Sscan(after, &kb)
		return kb << 10
	}
	m.asItWas = resident()
	at := filepath.Join(os.Getenv(measureVariable), fmt.Sprint("heap", pid))
	os.Remove(at)
	s.procs[i].Process.Signal(syscall.SIGUSR2)
	s.until("a collection", func() bool { raw, err := os.ReadFile(at); return err == nil && len(raw) > 0 })
	raw, _ := os.ReadFile(at)
	fmt.Sscan(string(raw), &m.heap)
	m.resident = resident()
	return m
}

// ticks is the CPU of a process in user and kernel mode as /proc/PID/stat has it, to a hundredth of a second.
func (s *site) ticks(i int) time.Duration {
	s.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.procs[i].Process.Pid))
	if err != nil {
		s.Fatal(err)
	}
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	var user, kernel int64
	fmt.Sscan(fields[11], &user)
	fmt.Sscan(fields[12], &kernel)
	return time.Duration(user+kernel) * 10 * time.Millisecond
}
