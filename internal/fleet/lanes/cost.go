package lanes

import "math"

const (
	// meanWindow is over how many hints the mean goes.
	meanWindow = 10_000
	// MaxPartCost is what a part may cost.
	MaxPartCost = 100
)

// CostEstimator counts work in mean parts. The zero value is ready.
type CostEstimator struct{ mean, n float64 }

// Part is the cost of a part with a work hint; 0 or no number for none: 1.
func (c *CostEstimator) Part(hint float64) float64 {
	if !(hint > 0) || math.IsInf(hint, 0) {
		return 1
	}
	c.n = min(c.n+1, meanWindow)
	if c.mean == 0 {
		c.mean = hint
	}
	if hint > MaxPartCost*c.mean { // rarely true, and it would pull the mean; but if all are so large it follows
		hint = MaxPartCost * c.mean
	}
	c.mean += (hint - c.mean) / c.n
	return min(MaxPartCost, hint/c.mean)
}
