package clockwork

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"time"
)

// Rand gives the numbers of one use in one seed.
func Rand(seed uint64, use string) *rand.Rand {
	sum := uint64(14695981039346656037)
	for _, b := range []byte(use) {
		sum = (sum ^ uint64(b)) * 1099511628211
	}
	return rand.New(rand.NewPCG(seed, sum))
}

// Between draws a time from low to high.
func Between(rng *rand.Rand, low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// Quality of a link in one direction. Shares are of the words sent.
type Quality struct {
	Lost    float64       `json:"lost,omitempty"`
	Twice   float64       `json:"twice,omitempty"`   // delivered once more, later
	Late    float64       `json:"late,omitempty"`    // held back for up to LateBy, so that later words overtake
	LateBy  time.Duration `json:"late_by,omitempty"` // ns
	Latency time.Duration `json:"latency"`           // ns, least; up to twice that
}

// Step is one fault, or an order of the operators. What A and B are, its kind says.
type Step struct {
	At   time.Duration `json:"at"`
	For  time.Duration `json:"for"`
	Kind string        `json:"kind"`
	A    int           `json:"a"`
	B    int           `json:"b,omitempty"`
}

// Healed is when the last of the steps is over.
func Healed(steps []Step) time.Duration {
	var last time.Duration
	for _, step := range steps {
		last = max(last, step.At+step.For)
	}
	return last
}

// Print is a schedule as JSON, in one line.
func Print(schedule any) string {
	raw, err := json.Marshal(schedule)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// Read is a schedule that was printed into a file.
func Read[S any](file string) (*S, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s := new(S)
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}
