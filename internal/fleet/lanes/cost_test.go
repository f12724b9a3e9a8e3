package lanes

import (
	"math"
	"testing"
	"time"
)

func TestAdmitDoesNotAllocate(t *testing.T) {
	g, i := New(0, newTestSet(10_000), 300), 0
	g.SetLevel(0, overloadedFleet(0.7))
	if n := testing.AllocsPerRun(1000, func() {
		i++
		g.Admit(time.Duration(i)*time.Millisecond, Query{Account: i * 7919 % 10_000, Class: i % 2, Key: uint64(i), Cost: 1})
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkAdmit(b *testing.B) {
	g := New(0, newTestSet(10_000), 300)
	g.SetLevel(0, overloadedFleet(0.7))
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		g.Admit(time.Duration(i)*100*time.Microsecond, Query{Account: i*7919%10_004 - 1, Class: i & 1, Key: uint64(i), Cost: 1})
	}
}

func BenchmarkLevel(b *testing.B) {
	g := New(0, newTestSet(10_000), 300)
	for b.Loop() {
		g.SetLevel(0, overloadedFleet(0.7))
	}
}

func TestCostIsInMeanParts(t *testing.T) {
	var c CostEstimator
	sum := 0.0
	for i := range 1000 {
		sum += c.Part([]float64{1, 3}[i%2])
	}
	if math.Abs(sum-1000) > 30 || c.Part(0) != 1 || c.Part(math.NaN()) != 1 || c.Part(-1) != 1 || c.Part(math.Inf(1)) != 1 || c.Part(1e300) > MaxPartCost {
		t.Errorf("1000 parts cost %.1f; mean %v", sum, c.mean)
	}
}
