package discovery

import (
	"math/rand/v2"
	"time"

	"birchcart/internal/config"
)

// pace tells how often, and how patiently, discovery is asked. Where lists are pushed, the agent on this machine answers at
// once and at no cost, and stays silent while discovery is down. Where lists are asked for, each call is work for a
// discovery that all co-ordinators share and that serves calls in turn: a call that is left before its answer is work
// for nothing, and calls that follow a refusal at once keep it busy with refusing.
type pace struct {
	atOnce      int           // asks that may wait for an answer at the same time
	answerTime  time.Duration // for a connection and the whole answer on it
	first, most time.Duration // wait from one ask to the next after a failure, doubled from the first to the most
	wordAge     time.Duration // once the last word is older, the whole list is asked for instead of a watch
	shared      bool          // discovery is shared: waits are spread, and the end of an ask is waited for
}

func newPace(ask bool, limits *config.Limits) pace {
	if !ask {
		return pace{
			atOnce: asksMost, answerTime: limits.AgentTime, first: limits.RedialFirst, most: limits.RedialMost,
			wordAge: limits.AgentTime,
		}
	}
	return pace{
		atOnce: 1, answerTime: limits.CallTime, first: limits.CallFirst, most: limits.CallMost,
		wordAge: limits.WatchSilence, shared: true,
	}
}

// next is the wait after one more failure.
func (p *pace) next(wait time.Duration) time.Duration { return max(p.first, min(2*wait, p.most)) }

// spread draws the wait that is kept: co-ordinators whose watches broke together do not come again together.
func (p *pace) spread(wait time.Duration) time.Duration {
	if !p.shared || wait <= 0 {
		return wait
	}
	return wait/2 + rand.N(wait/2+1)
}
