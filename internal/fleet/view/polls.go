package view

import (
	"slices"
	"time"

	"birchcart/internal/fleet/peerproto"
)

// pollState tracks the numbered polls sent to the raft group and their answers.
type pollState struct {
	sequence   uint64     // of the newest poll
	sent       []sentPoll // unanswered polls, at most the newest MaxSentPolls
	lastAt     time.Duration
	nextAt     time.Duration // when the next poll is due
	unanswered int
	truncated  bool // the newest answer was truncated
	urgent     bool // the process waits for an agreed result

	answered   bool
	answeredAt time.Duration // when the newest answered poll was sent
	term       uint64
	reported   []DrainStatus // drain statuses in the newest poll
}

type sentPoll struct {
	sequence uint64
	sentAt   time.Duration
}

// handleAnswer records an answer and reports whether it was accepted. It accepts only answers to polls of this process that are newer than
// the newest answered one (older polls are forgotten), and only from leaders whose term is not lower than the highest seen.
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
	// Neither a truncated answer nor one to a co-ordinator that is not in the inventory gives a lease: after a truncated answer this
	// copy may lack grants that are already acknowledged, and the next leader does not wait for co-ordinators outside the inventory.
	if !a.Truncated && !a.NotInInventory {
		p.answered, p.answeredAt = true, p.sent[i].sentAt
	}
	p.term = max(p.term, a.Term)
	p.sent = slices.Delete(p.sent, 0, i+1)
	p.unanswered = len(p.sent)
	p.nextAt = min(p.nextAt, p.lastAt+PollInterval)
	return true
}

// pollDelay returns the delay until the next poll after n polls in a row without an answer.
func (v *View) pollDelay(n int) time.Duration {
	maxDelay := max(min(MaxPollInterval, v.lease/4), PollInterval)
	d := PollInterval
	for ; n > 2 && d < maxDelay; n-- {
		d *= 2
	}
	return min(d, maxDelay)
}

// emitPoll emits a poll when one is due: every PollInterval, less often while polls go unanswered, and after MinPollInterval if the
// last answer was truncated, an agreed result is awaited or the drain statuses changed.
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
		p.nextAt, p.unanswered = now+StartPollInterval, 1 // polls in the start period do not count towards the backoff
	}
	v.out = append(v.out, Poll{p.sequence, v.index, slices.Clone(statuses)})
}

// drainStatuses returns the statuses that may be reported now: drains that have been applied for Grace, and rejected ones.
func (v *View) drainStatuses(now time.Duration) []DrainStatus {
	var statuses []DrainStatus
	for _, d := range v.drains {
		if len(statuses) == peerproto.MaxDrains {
			break
		}
		switch {
		case d.rejectedReason != "":
			statuses = append(statuses, DrainStatus{Machine: d.machine, Fence: d.fence, Rejected: true, Reason: d.rejectedReason})
		case !d.applied || now-d.graceFrom >= v.limits.Grace:
			statuses = append(statuses, DrainStatus{Machine: d.machine, Fence: d.fence})
			v.checkReported(now, d)
		}
	}
	return statuses
}
