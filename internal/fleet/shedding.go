package fleet

import (
	"context"
	"slices"
	"time"

	"birchcart/internal/fleet/mailbox"

	"birchcart/internal/fleet/loadshed"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/member"
	"birchcart/internal/operator"
	"birchcart/internal/serve"
)

// openShed has queries go through the lanes, if there are any. It comes before the exchange runs.
func (n *Node) openShed(ctx context.Context, s serve.Host) {
	if n.lanes == nil {
		return
	}
	c := &crew{n: n}
	p := loadshed.New(loadshed.Options{
		Name: n.name, Zone: zone(s), Incarnation: uint64(n.start.UnixMilli()), Start: n.start, Fleet: s.Config.Policy.Aggregators,
		Seed: s.Config.Policy.Seed, Policy: &s.Config.Policy, Log: n.log,
		Set: n.lanes.set, Crew: c.now, Agreed: n.agreedTime,
		Send: func(to string, raw []byte) {
			if err := n.member.Send(to, raw); err != nil {
				n.log.WithError(err).Debug("a letter of lanes is not sent")
			}
		},
	})
	n.shed.Store(p)
	s.Exchange.Lane(p)
	n.done.Go(func() { p.Run(ctx) })
}

// receive takes a message of another co-ordinator, from any goroutine. Those of lanes wait for no step of the node.
func (n *Node) receive(from string, raw []byte) {
	if len(raw) > 0 && raw[0] == loadshed.Kind {
		if p := n.shed.Load(); p != nil { // else this one has no lanes
			p.Hear(from, raw)
		}
		return
	}
	n.mailbox.Put(mailbox.Message{From: from, Raw: raw, At: n.now()})
}

func (n *Node) agreedTime() (at time.Duration) {
	n.state.WithLock(func() { at = n.state.Machine.Now() })
	return at
}

// CrewEvery is between looks at who there is. Twice as long: words go to who is dead so much longer; half: at 300 co-ordinators
// twice the sorting.
const CrewEvery = time.Second

// crew is who there is, for the lanes' steps alone.
type crew struct {
	n    *Node
	at   time.Duration
	last loadshed.Crew
}

// now is who is agreed to be there and not gone, and who gossip hears of. What is agreed stays while this one is cut off, so that
// it knows of how few it hears.
func (c *crew) now() loadshed.Crew {
	now := c.n.now()
	if c.last.Names != nil && now < c.at+CrewEvery {
		return c.last
	}
	c.at = now
	var agreed []maintenance.Machine
	c.n.state.WithLock(func() { agreed = c.n.state.Maintenance.Machines() })
	c.last = crewOf(c.n.name, agreed, c.n.member.Members())
	return c.last
}

func crewOf(self string, agreed []maintenance.Machine, heard []member.Member) (out loadshed.Crew) {
	out.Names = []string{self}
	for _, m := range agreed {
		if m.Kind == maintenance.Coordinator && m.Status != maintenance.Gone {
			out.Names = append(out.Names, m.Name)
			out.Agreed++
		}
	}
	for _, m := range heard {
		if m.State == member.Alive || m.State == member.Suspect {
			out.Names = append(out.Names, m.Name)
		}
		if m.State == member.Alive && m.Name != self {
			out.Live = append(out.Live, m.Name)
		}
	}
	slices.Sort(out.Names)
	out.Names = slices.Compact(out.Names)
	return out
}

// reloadShed says what of a section that was read again waits for the next start.
func (n *Node) reloadShed(was, is *operator.Lanes) {
	if was != nil && is != nil && was.Header != is.Header {
		n.log.WithField("header", was.Header).Warn("marks are read from the header of the start; another one in the file counts at the next")
	}
}
