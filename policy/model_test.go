package policy

import (
	"math"
	"testing"
)

// With m=1, Δ=1, 1/μ=1 and L=6: C1 = 6/2 = 3 and C2 = 6/3 = 2; the second part saves 1 - 1/2 = 0.5.
// b1 = 2/(2·3) = 1/3, b2 = 3/(4·2) = 3/8, so λ² (0.5+1/24) - λ(2.5+9/8-2/3) + 3 = 0.
func TestThresholdByHand(t *testing.T) {
	md := model{delta: 1, spread: 1}
	a, b, c := 0.5+1.0/24, 2.5+9.0/8-2.0/3, 3.0
	root := (b - math.Sqrt(b*b-4*a*c)) / (2 * a)
	want := root * root * (1.0 / 3) / (3 - root)
	if got := md.threshold(1, 1, 6); math.Abs(got-want) > 1e-9 {
		t.Fatalf("Q_1 = %v, want %v", got, want)
	}
	delay := func(s, c float64) float64 { return root * (s + 1) / (2 * s * c * (c - root)) }
	if d1, d2 := 1+1+delay(1, 3), 1+0.5+delay(2, 2); math.Abs(d1-d2) > 1e-9 {
		t.Fatalf("at the root the delays differ: %v, %v", d1, d2)
	}
}

func TestThresholdFallsWithS(t *testing.T) {
	md := model{delta: 0.1, spread: 0.05}
	last := math.Inf(1)
	for s := 5; s < 10; s++ {
		q := md.threshold(5, s, 6)
		if !(q < last) {
			t.Fatalf("Q_%d = %v, not under %v", s, q, last)
		}
		last = q
	}
}

func TestThresholdWithoutDeltaIsInfinite(t *testing.T) {
	md := model{delta: 0, spread: 0.1}
	if q := md.threshold(3, 4, 6); !math.IsInf(q, 1) {
		t.Fatalf("Q = %v with Δ = 0: one more part costs nothing in the model", q)
	}
}
