// Package pollqueue holds the polls that wait for the leader's answer, and says when a check with a majority is due before they
// may be answered. Pure.
package pollqueue

import "time"

const (
	// CheckInterval is between checks with a majority that this one still leads; polls that come meanwhile are answered
	// together. Twice as long: answers come so much later; half: twice the rounds while a plan goes on.
	CheckInterval = 30 * time.Millisecond
	// IdleCheckInterval is the same where none of those that wait reports or lacks anything: their answers only lengthen leases, which count
	// from the sending of the polls, whenever the answer comes. What is agreed meanwhile ends the wait. Twice as long: leases
	// are lengthened so much later, by less than one poll's time; half: twice the rounds of a leader at rest.
	IdleCheckInterval = 200 * time.Millisecond
)

// Poll is a poll that waits for its answer.
type Poll struct {
	Sequence, Index, Epoch uint64
}

// Queue holds the newest poll of each sender, and when they may be answered.
type Queue struct {
	polls       map[string]Poll
	urgent      bool   // one of them reports what the plan waits for, or its sender was silent for longer than polls are apart
	lowestIndex uint64 // no index of one of them is lower
	checking    bool
	lastCheck   time.Duration // the newest check began
}

// New makes an empty queue.
func New() Queue { return Queue{polls: map[string]Poll{}} }

// Add queues a poll.
func (q *Queue) Add(from string, p Poll, urgent bool) {
	if len(q.polls) == 0 || p.Index < q.lowestIndex {
		q.lowestIndex = p.Index
	}
	q.polls[from] = p
	q.urgent = q.urgent || urgent
}

// Urgent says whether those that wait are to be answered at once; agreed is the index of what was agreed.
func (q *Queue) Urgent(agreed uint64) bool {
	return len(q.polls) > 0 && (q.urgent || q.lowestIndex < agreed)
}

// CheckDue says whether a check begins now.
func (q *Queue) CheckDue(now time.Duration, agreed uint64) bool {
	every := IdleCheckInterval
	if q.Urgent(agreed) {
		every = CheckInterval
	}
	return !q.checking && len(q.polls) > 0 && now >= q.lastCheck+every
}

// BeginCheck takes the polls that the check which begins now is for.
func (q *Queue) BeginCheck(now time.Duration) map[string]Poll {
	by := q.polls
	q.polls, q.urgent, q.checking, q.lastCheck = map[string]Poll{}, false, true, now
	return by
}

// EndCheck notes that the check is over.
func (q *Queue) EndCheck() { q.checking = false }

// Len is how many polls wait.
func (q *Queue) Len() int { return len(q.polls) }

// Clear forgets those that wait: this one does not lead any more.
func (q *Queue) Clear() {
	clear(q.polls)
	q.urgent = false
}
