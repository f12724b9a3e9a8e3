package swap

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"birchcart/internal/fleet/migrate"
)

// threadCPUTime returns the CPU time of the calling thread.
func threadCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(1, &u); err != nil { // 1 is RUSAGE_THREAD
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkStep measures one step of the planner at 100,000 sessions: a step of a new planner, which reads the book, and steps in
// the middle of a swap, for which the maximum is reported beside the mean. It measures CPU time, which depends little on other
// load on the machine.
func BenchmarkStep(b *testing.B) {
	for _, c := range []struct{ n, wave, replicas int }{{300, 1, 0}, {300, 1, 200}, {300, 10, 200}, {10, 1, 200}} {
		s := settings(c.n, 100_000)
		s.WaveSize, s.Replicas, s.SessionsPerSlot, s.InFlight, s.PerMinute = c.wave, c.replicas, 8, 1000, 20_000
		name := fmt.Sprintf("%d_wave_%d_replicas_%d", c.n, c.wave, c.replicas)
		b.Run("anew_"+name, func(b *testing.B) {
			runtime.LockOSThread() // each benchmark runs in its own goroutine
			p, err := New(s)
			if err != nil {
				b.Fatal(err)
			}
			p.advanceWaves()
			p.Now += TickInterval
			offers, begin := 0, threadCPUTime()
			for b.Loop() {
				plan := migrate.New(migrate.Options{}).Step(p.Now, p.View)
				offers = len(plan.Body.Offers)
			}
			b.ReportMetric(float64((threadCPUTime()-begin).Microseconds())/float64(b.N), "cpu-µs")
			b.ReportMetric(float64(offers), "offers")
		})
		b.Run("swap_"+name, func(b *testing.B) {
			runtime.LockOSThread() // each benchmark runs in its own goroutine
			p, err := New(s)
			if err != nil {
				b.Fatal(err)
			}
			var worst, sum time.Duration
			p.WrapStep = func(step func()) {
				begin := threadCPUTime()
				step()
				took := threadCPUTime() - begin
				worst, sum = max(worst, took), sum+took
			}
			for b.Loop() {
				if err := p.Step(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(sum.Microseconds())/float64(p.Result.Steps), "cpu-µs")
			b.ReportMetric(float64(worst.Microseconds()), "worst-cpu-µs")
		})
	}
}
