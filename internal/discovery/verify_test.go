package discovery

import (
	"testing"
	"time"
)

// Guards against a list that is relied on although its last request is old: a watch may have fallen silent since its last heartbeat.
func TestListIsCurrentOnlyWhileVerified(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) *time.Time { at := now.Add(-d); return &at }
	for name, c := range map[string]struct {
		verified, heard *time.Time
		open, shared    bool
		want            bool
	}{
		"nothing known":                   {},
		"verified just now":               {verified: ago(50 * time.Millisecond), want: true},
		"verified before a stop":          {verified: ago(400 * time.Millisecond)},
		"watch without a sign of life":    {verified: ago(400 * time.Millisecond), open: true},
		"watch that is checked":           {verified: ago(90 * time.Millisecond), open: true, want: true},
		"watch with a recent heartbeat":   {verified: ago(400 * time.Millisecond), open: true, heard: ago(300 * time.Millisecond)},
		"watch with an overdue heartbeat": {verified: ago(time.Minute), open: true, heard: ago(2300 * time.Millisecond)},
		"shared discovery":                {shared: true, want: true},
	} {
		f := &feed{client: &Client{limits: checkLimits, retry: retryPolicy{shared: c.shared}}}
		if c.verified != nil {
			f.verify(*c.verified)
		}
		if c.open {
			s := &stream{}
			s.heardAt.Store(c.heard)
			f.watch.Store(s)
		}
		if got := f.isCurrent(now); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against an agent that counts as silent because this process was stopped while the agent answered.
func TestLateTickDoesNotCountAsSilence(t *testing.T) {
	s := newSilenceTimer()
	s.start()
	if late := s.dueAt.Add(300 * time.Millisecond); s.onTick(late) {
		t.Error("a tick 0.4 s after the start counts")
	}
	if remaining := time.Until(s.dueAt); remaining < unconfirmedTime/2 {
		t.Errorf("after a late tick the agent has only %v to answer", remaining)
	}
	if inTime := s.dueAt.Add(time.Millisecond); !s.onTick(inTime) {
		t.Error("a tick at its time does not count")
	}
	if remaining := time.Until(s.dueAt); remaining+maxTickDelay > maxUnverifiedTime {
		t.Errorf("while the agent stays silent the next tick is due after %v, when the list counts as pending again", remaining)
	}
}
