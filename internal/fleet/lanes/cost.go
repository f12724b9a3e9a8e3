package lanes

import "math"

const (
	// hintsMost is over how many hints the mean goes.
	hintsMost = 10_000
	// PartMost is what a part may cost.
	PartMost = 100
)

// Cost counts work in mean parts. The zero value is ready.
type Cost struct{ mean, n float64 }

// Part is the cost of a part with a work hint; 0 or no number for none: 1.
func (c *Cost) Part(hint float64) float64 {
	if !(hint > 0) || math.IsInf(hint, 0) {
		return 1
	}
	c.n = min(c.n+1, hintsMost)
	if c.mean == 0 {
		c.mean = hint
	}
	if hint > PartMost*c.mean { // rarely true, and it would pull the mean; but if all are so large it follows
		hint = PartMost * c.mean
	}
	c.mean += (hint - c.mean) / c.n
	return min(PartMost, hint/c.mean)
}
