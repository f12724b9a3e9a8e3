package view

import (
	"slices"
	"time"

	"birchcart/internal/fleet/peerproto"
)

// polls are the numbered questions to the raft group and what came of them.
type polls struct {
	no         uint64 // of the newest
	sent       []sent // the newest SentMost
	at         time.Duration
	next       time.Duration // the next is due then
	unanswered int
	more       bool // the newest answer was cut short
	hurry      bool // something agreed is waited for

	answered   bool
	answeredAt time.Duration // when that one was sent
	term       uint64
	said       []Laid // with the newest
}

type sent struct {
	no uint64
	at time.Duration
}

// answer takes note of an answer and says whether it counts: only one to a poll that this process sent, that is newer
// than the newest answered (older ones are not remembered any more), and of no leader before the last one heard of.
func (p *polls) answer(a Answered) bool {
	if a.Term != 0 && a.Term < p.term {
		return false
	}
	i := slices.IndexFunc(p.sent, func(s sent) bool { return s.no == a.Poll })
	if i < 0 {
		return false
	}
	p.more = a.More
	if !p.answered {
		p.next = p.at + PollEvery
	}
	// One cut short leaves this copy without grants that may be told already, and for one that is not in the inventory
	// the next leader would not wait: no lease upon either.
	if !a.More && !a.Unlisted {
		p.answered, p.answeredAt = true, p.sent[i].at
	}
	p.term = max(p.term, a.Term)
	p.sent = slices.Delete(p.sent, 0, i+1)
	p.unanswered = len(p.sent)
	p.next = min(p.next, p.at+PollEvery)
	return true
}

// wait until the next poll, the newest being the n-th in a row without an answer.
func (v *View) wait(n int) time.Duration {
	most := max(min(PollMost, v.lease/4), PollEvery)
	d := PollEvery
	for ; n > 2 && d < most; n-- {
		d *= 2
	}
	return min(d, most)
}

// putPoll polls when it is time: once a second, less often while unanswered, and soon if an answer was cut short or
// there is something new to say.
func (v *View) putPoll(now time.Duration) {
	if v.halted {
		return
	}
	p := &v.polls
	laid := v.tell(now)
	due := now >= p.next
	if p.unanswered == 0 && (p.more || p.hurry) || !slices.Equal(laid, p.said) {
		due = due || now >= p.at+PollSoonest
	}
	due = due || p.hurry && now >= p.at+HurryAgain
	if !due {
		return
	}
	p.no++
	p.sent = append(p.sent, sent{p.no, now})
	if len(p.sent) > SentMost {
		p.sent = slices.Delete(p.sent, 0, len(p.sent)-SentMost)
	}
	p.unanswered++
	p.at, p.said = now, laid
	p.next = now + v.wait(p.unanswered)
	if !p.answered && now-v.first < StartFor {
		p.next, p.unanswered = now+PollStart, 1 // those of the start make no later one slower
	}
	v.out = append(v.out, Poll{p.no, v.index, slices.Clone(laid)})
}

// tell is what may be said of the live grants now: those laid for a Grace, and those refused.
func (v *View) tell(now time.Duration) []Laid {
	var laid []Laid
	for _, l := range v.lays {
		if len(laid) == peerproto.LaidMost {
			break
		}
		switch {
		case l.refused != "":
			laid = append(laid, Laid{Machine: l.machine, Fence: l.fence, Refused: true, Why: l.refused})
		case !l.drain || now-l.from >= v.limits.Grace:
			laid = append(laid, Laid{Machine: l.machine, Fence: l.fence})
			v.saw(now, l)
		}
	}
	return laid
}
