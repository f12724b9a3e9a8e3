package discovery

import (
	"math/rand/v2"
	"time"

	"birchcart/internal/config"
)

// retryPolicy holds the timeouts and backoffs of requests to discovery. The agent on this machine answers at once and at no cost,
// and is silent while discovery is down. A shared discovery serves the calls of all co-ordinators one after another: it still
// does the work of a call that is cancelled before its answer, and calls that follow a rejection at once keep it busy with
// rejections.
type retryPolicy struct {
	maxConcurrent              int           // limit on requests in flight
	answerTime                 time.Duration // limit on connecting and reading the complete response
	firstByteTime              time.Duration // limit on connecting and reading the first byte of the response
	initialBackoff, maxBackoff time.Duration // wait after a failed attempt; doubled with each failure from the first to the second
	reconnectBackoff           time.Duration // after the end of a connection that lasted longer than maxBackoff
	maxConfirmationAge         time.Duration // if the last confirmation is older, the full list is requested instead of a watch
	shared                     bool          // all co-ordinators share discovery: backoffs have jitter and attempts do not overlap
}

// newRetryPolicy returns the policy for a shared discovery if onDemand is set, and the policy for an agent otherwise.
func newRetryPolicy(onDemand bool, limits *config.Limits) retryPolicy {
	if !onDemand {
		// A change counts as delivered as soon as the agent has it, whether or not a watch is open, and a watch may end without
		// reporting it. The next watch may be silent, so the full list is requested instead, however recent the last confirmation is.
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

// nextBackoff returns the backoff after one more failure.
func (p *retryPolicy) nextBackoff(backoff time.Duration) time.Duration {
	return max(p.initialBackoff, min(2*backoff, p.maxBackoff))
}

// jitter randomizes a backoff to between half and all of it for a shared discovery, so that co-ordinators whose watches broke
// together do not retry together.
func (p *retryPolicy) jitter(backoff time.Duration) time.Duration {
	if !p.shared || backoff <= 0 {
		return backoff
	}
	return backoff/2 + rand.N(backoff/2+1)
}
