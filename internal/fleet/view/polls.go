package view

import (
	"slices"
	"time"

	"birchcart/internal/fleet/peerproto"
)

// pollState are the numbered questions to the raft group and what came of them.
type pollState struct {
	sequence   uint64     // of the newest
	sent       []sentPoll // the newest MaxSentPolls
	lastAt     time.Duration
	nextAt     time.Duration // the next is due then
	unanswered int
	truncated  bool // the newest answer was truncated
	urgent     bool // something agreed is waited for

	answered   bool
	answeredAt time.Duration // when that one was sent
	term       uint64
	reported   []DrainStatus // with the newest
}

type sentPoll struct {
	sequence uint64
	sentAt   time.Duration
}

// handleAnswer takes note of an answer and says whether it counts: only one to a poll that this process sent, that is newer
// than the newest answered (older ones are not remembered any more), and of no leader before the last one heard of.
func (p *pollState) handleAnswer(a PollAnswered) bool {
	if a.Term != 0 && a.Term < p.term {
		return false
	}
	i := slices.IndexFunc(p.sent, func(s sentPoll) bool { return s.sequence == a.Sequence })
	if i < 0 {
		return false
	}
	p.truncated = a.Truncated
	if !p.answered {
		p.nextAt = p.lastAt + PollInterval
	}
	// A truncated one leaves this copy without grants that may be acknowledged already, and for one that is not in the inventory
	// the next leader would not wait: no lease upon either.
	if !a.Truncated && !a.NotInInventory {
		p.answered, p.answeredAt = true, p.sent[i].sentAt
	}
	p.term = max(p.term, a.Term)
	p.sent = slices.Delete(p.sent, 0, i+1)
	p.unanswered = len(p.sent)
	p.nextAt = min(p.nextAt, p.lastAt+PollInterval)
	return true
}

// pollDelay until the next poll, the newest being the n-th in a row without an answer.
func (v *View) pollDelay(n int) time.Duration {
	maxDelay := max(min(MaxPollInterval, v.lease/4), PollInterval)
	d := PollInterval
	for ; n > 2 && d < maxDelay; n-- {
		d *= 2
	}
	return min(d, maxDelay)
}

// emitPoll polls when it is time: once a second, less often while unanswered, and soon if an answer was truncated or
// there is something new to say.
func (v *View) emitPoll(now time.Duration) {
	if v.halted {
		return
	}
	p := &v.polls
	statuses := v.drainStatuses(now)
	due := now >= p.nextAt
	if p.unanswered == 0 && (p.truncated || p.urgent) || !slices.Equal(statuses, p.reported) {
		due = due || now >= p.lastAt+MinPollInterval
	}
	due = due || p.urgent && now >= p.lastAt+UrgentPollTimeout
	if !due {
		return
	}
	p.sequence++
	p.sent = append(p.sent, sentPoll{p.sequence, now})
	if len(p.sent) > MaxSentPolls {
		p.sent = slices.Delete(p.sent, 0, len(p.sent)-MaxSentPolls)
	}
	p.unanswered++
	p.lastAt, p.reported = now, statuses
	p.nextAt = now + v.pollDelay(p.unanswered)
	if !p.answered && now-v.firstStepAt < StartPeriod {
		p.nextAt, p.unanswered = now+StartPollInterval, 1 // those of the start make no later one slower
	}
	v.out = append(v.out, Poll{p.sequence, v.index, slices.Clone(statuses)})
}

// drainStatuses is what may be said of the live grants now: those applied for a Grace, and those rejected.
func (v *View) drainStatuses(now time.Duration) []DrainStatus {
	var statuses []DrainStatus
	for _, l := range v.drains {
		if len(statuses) == peerproto.MaxDrains {
			break
		}
		switch {
		case l.rejectedReason != "":
			statuses = append(statuses, DrainStatus{Machine: l.machine, Fence: l.fence, Rejected: true, Reason: l.rejectedReason})
		case !l.applied || now-l.graceFrom >= v.limits.Grace:
			statuses = append(statuses, DrainStatus{Machine: l.machine, Fence: l.fence})
			v.checkReported(now, l)
		}
	}
	return statuses
}
