package maintenance

import "time"

// Renew ends what a raft group that is set up anew can't vouch for. Its copy may be behind: what is granted in it may have
// been told, gone and come back since, its drains lifted, and other machines may have been granted. So each live item
// lapses: told is said only of what this raft group's own co-ordinators have laid. Tools that hold a grant of before may
// still act on it, so its machine counts as out until the grant's end and SettleTime after it, and so does for SettleTime one that
// is out already; that one counts as failed. One that was not told is requested again. Until until, when all that was
// grantedMachine by others has ended too, nothing is granted.
func (s *State) Renew(until time.Duration) {
	const reason = "the raft group was set up anew"
	failure := ""
	var ended []*entry
	for _, e := range s.open {
		if !e.Phase.live() {
			continue
		}
		m, settle, endReason := s.machines[e.Machine], s.now, reason
		switch {
		case e.Phase == Granted || e.Phase == Acknowledged:
			settle = max(s.now, e.Until)
		case e.Phase == Out && s.wouldPause(m):
			endReason += ": counts as failed"
			failure = e.Machine + " was out when " + reason
		}
		s.endItem(e, Expired, endReason)
		m.Settle = settle + s.limits.SettleTime
		ended = append(ended, e)
	}
	if failure != "" {
		s.pauseAfterFailure(failure)
	}
	if until > s.now && until > s.pauseUntil {
		if s.now >= s.pauseUntil {
			s.pauseFrom = s.now
		}
		s.pauseUntil, s.pauseReason = until, reason
	}
	s.dropClosed()
	for _, e := range ended {
		s.retry(e)
	}
	s.sumsValid = false
}
