package history

import "time"

// W6 of one machine in a crash loop, by the failures counted here: its flapFails-th within flapSpan times Calm, which
// still pauses, marks it as flapping, until it has been up without one for as long. Nothing relies on it, so its
// further failures need not pause; unless more than OutMost flap, which is a fleet in trouble.
const (
	flapFails = 3
	flapSpan  = 8
)

// flapping counts the failures of one machine. fails are the newest, flapFails at most.
type flapping struct {
	fails []time.Duration
	rose  time.Duration
	on    bool
}

// holds says whether it flaps now; up for span without a failure it does no more.
func (f *flapping) holds(now, span time.Duration, up bool) bool {
	return f.on && (!up || now < f.rose+span)
}

// fail counts one; apart is how long after the last it has to come to be seen as another.
func (f *flapping) fail(now, span, apart time.Duration, up bool) {
	n := len(f.fails)
	if n > 0 && now < f.fails[n-1]+apart {
		return
	}
	if f.on && !f.holds(now, span, up) {
		*f = flapping{}
	}
	f.fails = append(f.fails, now)
	if n := len(f.fails); n > flapFails {
		f.fails = f.fails[n-flapFails:]
	}
	f.on = f.on || len(f.fails) == flapFails && now-f.fails[0] <= span
}

// late is by how much two times of the agreed state may be further apart than the true ones.
func (c *Checker) late() time.Duration { return c.rules.Slack + 2*c.rules.Skew }

// flapped counts a failure of a machine that is up, and says whether it was flapping already, so that it need not pause.
func (c *Checker) flapped(m *truth, s *standing) bool {
	if !m.up || c.rules.Calm == 0 || s != nil && (s.Phase == "told" || s.Phase == "out") && c.now < s.Lapses-c.rules.Slack {
		return false
	}
	span, late := flapSpan*c.rules.Calm, c.late()
	sure := 0
	for _, name := range c.names {
		if o := c.machines[name]; o.sure.holds(c.now, max(span-late, 0), o.up) {
			sure++
		}
	}
	was := m.lax.holds(c.now, span+late, true)
	m.lax.fail(c.now, span+late, 0, true)
	m.sure.fail(c.now, max(span-late, 0), c.rules.Slack, true)
	return was && sure <= c.rules.OutMost
}

// returns says that a machine is up, or will be by the plan, and may be relied on then.
func (c *Checker) returns(o *truth) bool {
	return (o.up || o.planned && c.now <= o.overdue) && !o.lax.holds(c.now, flapSpan*c.rules.Calm+c.late(), o.up)
}
