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

// measureVariable names the environment variable with the folder to which a process writes its heap size and, at its exit,
// its CPU profile.
const measureVariable = "BIRCHCART_MEASURE"

// mainWithMeasurement is main for processes whose cost a test measures. On each SIGUSR2 the process runs the garbage
// collector, returns free memory to the system, and writes the heap in use. If BIRCHCART_MEASURE_PROFILE is set, it also
// takes a CPU profile from its start to its exit.
func mainWithMeasurement() {
	dir := os.Getenv(measureVariable)
	if dir == "" {
		main()
		return
	}
	requests := make(chan os.Signal, 1)
	signal.Notify(requests, syscall.SIGUSR2)
	if os.Getenv("BIRCHCART_MEASURE_PROFILE") != "" {
		if f, err := os.Create(filepath.Join(dir, fmt.Sprintf("cpu%d.pprof", os.Getpid()))); err == nil && pprof.StartCPUProfile(f) == nil {
			defer pprof.StopCPUProfile()
		}
	}
	go func() {
		for range requests {
			runtime.GC()
			debug.FreeOSMemory()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			path := filepath.Join(dir, fmt.Sprint("heap", os.Getpid()))
			os.WriteFile(path+".new", fmt.Append(nil, m.HeapAlloc), 0o600)
			os.Rename(path+".new", path)
			if f, err := os.Create(path + ".pprof"); err == nil {
				pprof.WriteHeapProfile(f)
				f.Close()
			}
		}
	}()
	main()
}

// memoryUsage is the memory of a process in bytes: resident before a garbage collection, and resident and heap after it.
type memoryUsage struct{ beforeGC, resident, heap int }

// memory measures the memory of a process.
func (s *site) memory(i int) (m memoryUsage) {
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
	m.beforeGC = resident()
	path := filepath.Join(os.Getenv(measureVariable), fmt.Sprint("heap", pid))
	os.Remove(path)
	s.procs[i].Process.Signal(syscall.SIGUSR2)
	s.waitFor("a garbage collection", func() bool { raw, err := os.ReadFile(path); return err == nil && len(raw) > 0 })
	raw, _ := os.ReadFile(path)
	fmt.Sscan(string(raw), &m.heap)
	m.resident = resident()
	return m
}

// procCPU returns the CPU time of a process in user and kernel mode from /proc/PID/stat, which has a resolution of 10 ms.
func (s *site) procCPU(i int) time.Duration {
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
