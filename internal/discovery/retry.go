package discovery

import (
	"math/rand/v2"
	"time"

	"birchcart/internal/config"
)

// retryPolicy says how often, and how patiently, discovery is polled. Where lists are pushed, the agent on this machine answers
// at once and at no cost, and stays silent while discovery is down. Where lists are polled, each call is work for a discovery
// that all co-ordinators share and that serves calls in turn: a call that is cancelled before its answer is work for nothing,
// and calls that follow a rejection at once keep it busy with rejecting.
type retryPolicy struct {
	maxConcurrent              int           // requests that may wait for an answer at the same time
	answerTime                 time.Duration // for a connection and the complete answer on it
	firstByteTime              time.Duration // for the first byte of it
	initialBackoff, maxBackoff time.Duration // between attempts after a failure, doubled from the first to the second
	reconnectBackoff           time.Duration // after a connection that had lasted longer than maxBackoff
	maxConfirmationAge         time.Duration // once the last confirmation is older, the full list is requested instead of a watch
	shared                     bool          // discovery is shared: backoffs have jitter, and the end of an attempt is waited for
}

func newRetryPolicy(onDemand bool, limits *config.Limits) retryPolicy {
	if !onDemand {
		// What an agent has counts as notified at once, whether or not a watch is open, and a watch may end instead of bringing it:
		// no confirmation is young enough for another watch, which may be silent.
		return retryPolicy{
			maxConcurrent: maxConcurrentRequests, answerTime: limits.AgentTime, firstByteTime: limits.AgentTime / 2,
			initialBackoff: limits.RedialFirst, maxBackoff: limits.RedialMost, reconnectBackoff: 0, maxConfirmationAge: 0,
		}
	}
	return retryPolicy{
		maxConcurrent: 1, answerTime: limits.CallTime, firstByteTime: limits.CallTime, initialBackoff: limits.CallFirst, maxBackoff: limits.CallMost,
		reconnectBackoff: limits.CallFirst, maxConfirmationAge: limits.WatchSilence, shared: true,
	}
}

// nextBackoff is the backoff after one more failure.
func (p *retryPolicy) nextBackoff(backoff time.Duration) time.Duration {
	return max(p.initialBackoff, min(2*backoff, p.maxBackoff))
}

// jitter draws the wait before the next attempt: co-ordinators whose watches broke together do not come again together.
func (p *retryPolicy) jitter(backoff time.Duration) time.Duration {
	if !p.shared || backoff <= 0 {
		return backoff
	}
	return backoff/2 + rand.N(backoff/2+1)
}
