// Package pollqueue holds the polls that wait for the leader's reply. Before the leader may reply, a check with a majority must confirm
// that it still leads; the package decides when that check is due. It has no side effects: time is passed in.
package pollqueue

import "time"

const (
	// CheckInterval is the minimum time between checks with a majority that this co-ordinator still leads; polls that arrive in between
	// are answered together. Twice as long delays replies by as much; half doubles the checks while a maintenance plan is carried out.
	CheckInterval = 30 * time.Millisecond
	// IdleCheckInterval replaces CheckInterval while no waiting poll reports or lacks anything. The replies then only extend leases, which
	// count from the sending of the poll, no matter when the reply arrives. A newly agreed entry ends the wait. Twice as long delays
	// the extension of leases by as much, less than the interval of polls; half doubles the checks of an idle leader.
	IdleCheckInterval = 200 * time.Millisecond
)

// Poll is a poll that waits for its reply.
type Poll struct {
	Sequence, Index, Epoch uint64
}

// Queue holds the newest poll of each sender and the state of the leadership checks.
type Queue struct {
	polls       map[string]Poll
	urgent      bool          // a poll reports something that the plan waits for, or its sender was silent for longer than the interval of polls
	lowestIndex uint64        // lowest index of the waiting polls
	checking    bool          // a check is in flight
	lastCheck   time.Duration // start of the newest check
}

// New returns an empty queue.
func New() Queue { return Queue{polls: map[string]Poll{}} }

// Add queues a poll in place of an earlier one of the same sender.
func (q *Queue) Add(from string, p Poll, urgent bool) {
	if len(q.polls) == 0 || p.Index < q.lowestIndex {
		q.lowestIndex = p.Index
	}
	q.polls[from] = p
	q.urgent = q.urgent || urgent
}

// Urgent returns whether the waiting polls are due after CheckInterval instead of IdleCheckInterval; agreed is the index of the agreed state.
func (q *Queue) Urgent(agreed uint64) bool {
	return len(q.polls) > 0 && (q.urgent || q.lowestIndex < agreed)
}

// CheckDue returns whether a check has to begin now.
func (q *Queue) CheckDue(now time.Duration, agreed uint64) bool {
	interval := IdleCheckInterval
	if q.Urgent(agreed) {
		interval = CheckInterval
	}
	return !q.checking && len(q.polls) > 0 && now >= q.lastCheck+interval
}

// BeginCheck starts a check and removes the waiting polls, which it returns: they are to be answered after the check.
func (q *Queue) BeginCheck(now time.Duration) map[string]Poll {
	polls := q.polls
	q.polls, q.urgent, q.checking, q.lastCheck = map[string]Poll{}, false, true, now
	return polls
}

// EndCheck records that the check has ended.
func (q *Queue) EndCheck() { q.checking = false }

// Len returns the number of waiting polls.
func (q *Queue) Len() int { return len(q.polls) }

// Clear drops the waiting polls, for a co-ordinator that no longer leads.
func (q *Queue) Clear() {
	clear(q.polls)
	q.urgent = false
}
