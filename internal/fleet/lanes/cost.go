package lanes

import "math"

const (
	// meanWindow is how many work hints the running mean covers.
	meanWindow = 10_000
	// MaxPartCost is the highest cost of a part.
	MaxPartCost = 100
)

// CostEstimator converts work hints to costs in mean parts. The zero value is ready to use.
type CostEstimator struct{ mean, n float64 }

// Part returns the cost of a part with a work hint. It returns 1 if there is no valid hint: 0, negative, infinite or NaN.
func (c *CostEstimator) Part(hint float64) float64 {
	if !(hint > 0) || math.IsInf(hint, 0) {
		return 1
	}
	c.n = min(c.n+1, meanWindow)
	if c.mean == 0 {
		c.mean = hint
	}
	if hint > MaxPartCost*c.mean { // usually wrong, and it would distort the mean; if all hints are this large, the mean follows
		hint = MaxPartCost * c.mean
	}
	c.mean += (hint - c.mean) / c.n
	return min(MaxPartCost, hint/c.mean)
}
