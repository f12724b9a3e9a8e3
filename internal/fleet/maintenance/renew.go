package maintenance

import "time"

// Renew expires every live item after the raft group was set up anew from this copy of the state. The copy may be behind: a
// machine granted in it may since have been acknowledged, gone out and returned, its drain may have been removed, and other
// machines may have been granted. An acknowledgement is valid only for drains that the co-ordinators of the new raft group apply,
// so it cannot be carried over. Tools that hold an earlier grant may still act on it, so its machine counts as out until the
// grant's deadline plus SettleTime. A machine that is out or has returned counts as out for SettleTime, and one that is out counts
// as failed. Items that were not acknowledged are retried. Nothing is granted before until, when the grants made by the previous
// group have ended as well.
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
