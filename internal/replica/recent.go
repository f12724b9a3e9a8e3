package replica

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/exchange"
	"birchcart/policy"
)

const (
	// maxRecentParts is how many written parts are remembered for each replica.
	maxRecentParts = 8
	// recentPartTime is the age up to which they are logged. A change that a silent watch missed is known within 6 s.
	recentPartTime = 6 * time.Second
)

// writtenPart is a part that was written to a replica.
type writtenPart struct {
	id        string
	at        time.Time
	listIndex int64 // version of the replica list by which it was sent
}

// recentParts holds the last parts that were written to a replica.
type recentParts struct {
	parts [maxRecentParts]writtenPart
	next  int // where the next part is stored, over the oldest one
}

func (r *recentParts) add(a *exchange.Attempt, at time.Time) {
	r.parts[r.next] = writtenPart{id: a.ID, at: at, listIndex: a.ListIndex}
	r.next = (r.next + 1) % maxRecentParts
}

// describe lists the parts that are younger than recentPartTime, newest first.
func (r *recentParts) describe(now time.Time) (lines []string) {
	for i := range maxRecentParts {
		part := r.parts[(r.next+maxRecentParts-1-i)%maxRecentParts]
		if age := now.Sub(part.at); !part.at.IsZero() && age <= recentPartTime {
			lines = append(lines, fmt.Sprintf("%s %v ago by list %d", part.id, age.Round(time.Millisecond), part.listIndex))
		}
	}
	return lines
}

// logSentBeforeDrain logs the parts that were written to a replica shortly before it became known that the replica drains or is
// gone, which may have counted as notified earlier.
func (p *Pool) logSentBeforeDrain(t *target, parts []string) {
	state := "draining"
	if t.State == policy.Removed {
		state = "removed"
	}
	p.logger.WithFields(logrus.Fields{"replica": t.Name, "state": state, "parts": parts}).Info("parts written before the replica left service")
}
