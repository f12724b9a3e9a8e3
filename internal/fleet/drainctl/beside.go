package drainctl

import "time"

// Time is the agreed time for a command that is proposed beside those of Step, as of the newest Step; false while nothing
// may be proposed: this one does not lead, or its clock is not one to go by.
func (l *Lead) Time() (time.Duration, bool) { return l.time, l.leading && l.may }

// Silent is how long nothing was heard of a co-ordinator while this one leads: since its last poll, or the own election.
func (l *Lead) Silent(name string) time.Duration { return l.silence(name) }
