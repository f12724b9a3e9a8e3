package maintenance

import "time"

// Renew ends what a raft group that is set up anew can't vouch for. Its copy may be behind: what is granted in it may have
// been told, gone and come back since, its drains lifted, and other machines may have been granted. So each live item
// lapses: told is said only of what this raft group's own co-ordinators have laid. Tools that hold a grant of before may
// still act on it, so its machine counts as out until the grant's end and SettleTime after it, and so does for SettleTime one that
// is out already; that one counts as failed. One that was not told is requested again. Until until, when all that was
// grantedMachine by others has ended too, nothing is granted.
func (s *State) Renew(until time.Duration) {
	const why = "the raft group was set up anew"
	failed := ""
	var over []*entry
	for _, e := range s.open {
		if !e.Phase.live() {
			continue
		}
		m, settle, words := s.machines[e.Machine], s.now, why
		switch {
		case e.Phase == Granted || e.Phase == Acknowledged:
			settle = max(s.now, e.Until)
		case e.Phase == Out && s.wouldPause(m):
			words += ": counts as failed"
			failed = e.Machine + " was out when " + why
		}
		s.endItem(e, Expired, words)
		m.Settle = settle + s.limits.SettleTime
		over = append(over, e)
	}
	if failed != "" {
		s.pauseAfterFailure(failed)
	}
	if until > s.now && until > s.pauseUntil {
		if s.now >= s.pauseUntil {
			s.pauseFrom = s.now
		}
		s.pauseUntil, s.pauseWhy = until, why
	}
	s.dropClosed()
	for _, e := range over {
		s.retry(e)
	}
	s.sumsValid = false
}
