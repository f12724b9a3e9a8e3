package discovery

import "time"

const (
	// maxUnverifiedTime is the age from which the list counts as pending. With a hold-up of
	// 0.15 s before the write of a part, it is the least grace of a draining replica, 0.25 s.
	maxUnverifiedTime = 100 * time.Millisecond
	// unconfirmedTime is how long an agent may take to answer before it counts as silent, and the list in use as the best there is.
	// The agent is on this machine and sends the full list within milliseconds, or is down; on a busy machine it may get no processor
	// for a while. Parts wait for so long, less the age of the list, at the beginning of an outage only.
	unconfirmedTime = 100 * time.Millisecond
	// stillSilentTime is the time between two such findings while the agent stays silent: under maxUnverifiedTime, so that parts do
	// not wait again.
	stillSilentTime = 50 * time.Millisecond
	// maxTickDelay is how late the timer may be. A tick that is later does not count: the process was stopped meanwhile, and the
	// agent's answer may be ready to be read.
	maxTickDelay = 50 * time.Millisecond
)

// verify records that the list was as discovery had it at a time: when a request that was answered was made, or when the agent
// has left one unanswered for unconfirmedTime.
func (f *feed) verify(at time.Time) {
	if f.checked != nil {
		f = f.checked
	}
	f.verifiedAt.Store(&at)
}

// isCurrent reports whether the list may be relied on: it was verified a short time ago, or discovery is one whose watches are not
// checked. A watch that is open proves nothing, whatever it has reported before: it may have fallen silent since, in an outage
// that is over before its next heartbeat is due. An answer that is read late, after the process was stopped, verifies the list for
// the time of its request only.
func (f *feed) isCurrent(now time.Time) bool {
	if f.client.retry.shared || f.client.limits.ListCheck <= 0 && f.watch.Load() != nil {
		return true
	}
	at := f.verifiedAt.Load()
	return at != nil && now.Sub(*at) <= maxUnverifiedTime
}

// silenceTimer tells a request when the agent has been silent for unconfirmedTime, and then each stillSilentTime.
type silenceTimer struct {
	timer *time.Timer
	dueAt time.Time // zero before start
}

func newSilenceTimer() *silenceTimer {
	t := &silenceTimer{timer: time.NewTimer(unconfirmedTime)}
	t.timer.Stop()
	return t
}

// start begins to wait, unless it has begun before.
func (t *silenceTimer) start() {
	if t.dueAt.IsZero() {
		t.wait(unconfirmedTime)
	}
}

func (t *silenceTimer) wait(d time.Duration) {
	t.dueAt = time.Now().Add(d)
	t.timer.Reset(d)
}

// onTick reports whether the agent counts as silent at a tick that was just received, and begins to wait for the next one.
func (t *silenceTimer) onTick(now time.Time) (silent bool) {
	if now.Sub(t.dueAt) > maxTickDelay {
		t.wait(unconfirmedTime)
		return false
	}
	t.wait(stillSilentTime)
	return true
}
