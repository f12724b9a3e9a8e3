package faultinject

import (
	"fmt"
	"time"

	"birchcart/internal/testproc"
)

// drainGrace is the settings' grace and the protocol's slack on it.
const drainGrace = 300 * time.Millisecond

// Violation is one breach of a rule, with its evidence.
type Violation struct {
	Rule     string
	Evidence string
}

func (v Violation) String() string { return v.Rule + ": " + v.Evidence }

// CheckDrains holds that no replica got a part later than the grace after its drain counts. The time for which this process stood
// still meanwhile is not counted: a part may have waited here to be read.
func CheckDrains(drains []Drain, parts []Part, stood *testproc.Standstills) (found []Violation) {
	for _, d := range drains {
		for _, p := range parts {
			if p.Replica != d.Replica || !d.Until.IsZero() && p.At.After(d.Until) {
				continue
			}
			if late := p.At.Sub(d.Counts); late > drainGrace+stood.Between(d.Counts, p.At) {
				found = append(found, Violation{"sent to a draining replica",
					fmt.Sprintf("part %s came to %s %v after its drain counted", p.ID, p.Replica, late.Round(time.Millisecond))})
			}
		}
	}
	return found
}
