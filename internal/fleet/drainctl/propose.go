package drainctl

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/statemachine"
)

// pendingProposal is one whose end is not known.
type pendingProposal struct {
	subject    string // what it is about: the same is not proposed twice
	term       uint64
	command    statemachine.Command
	proposedAt time.Duration // own time at which it was last proposed
	attempts   int
	done       func() bool // the agreed state shows that it acted, or that it can act no more
}

// propose puts a command out, unless the same is waited for, was rejected just now, or too many are waited for. Its id is
// made of the term and a number, so that what one leader says twice acts once, and no two leaders use the same.
func (c *Controller) propose(what, kind string, body any, done func() bool) bool {
	if len(c.pending) >= MaxPendingProposals || c.isPending(what) || c.now < c.backoffUntil[what] {
		return false
	}
	raw, err := json.Marshal(body)
	if err != nil {
		c.log("%s can not be proposed: %v", what, err)
		return false
	}
	c.seq++
	c.advanceAgreedTime(c.time)
	command := statemachine.Command{V: statemachine.Version, ID: fmt.Sprintf("%d-%d", c.term, c.seq), Part: Part, Kind: kind, At: c.time, Body: raw}
	c.pending = append(c.pending, pendingProposal{subject: what, term: c.term, command: command, proposedAt: c.now, attempts: 1, done: done})
	c.out = append(c.out, Propose{command})
	return true
}

func (c *Controller) isPending(what string) bool {
	return slices.ContainsFunc(c.pending, func(p pendingProposal) bool { return p.subject == what })
}

// countPending is how many are waited for that are about what begins so.
func (c *Controller) countPending(prefix string) (n int) {
	for _, p := range c.pending {
		if strings.HasPrefix(p.subject, prefix) {
			n++
		}
	}
	return n
}

func (c *Controller) handleResult(e ProposalResult) {
	i := slices.IndexFunc(c.pending, func(p pendingProposal) bool { return p.command.ID == e.ID })
	if i < 0 {
		return
	}
	p := c.pending[i]
	c.pending = slices.Delete(c.pending, i, i+1)
	if e.Err != nil {
		wait := RejectedBackoff
		if p.command.Kind == "limits" || p.command.Kind == "asks" {
			wait = ConfigErrorInterval // a file's mistake stays until the file is changed
		}
		c.backoffUntil[p.subject] = c.now + wait
		c.log("%s (proposal %s) came to nothing: %v", p.subject, e.ID, e.Err)
	}
}

// retryProposals drops the proposals that the state shows as done, and puts out again those of which nothing came.
func (c *Controller) retryProposals() {
	c.pending = slices.DeleteFunc(c.pending, func(p pendingProposal) bool {
		return p.done() || c.now >= p.proposedAt+ProposalTimeout && p.attempts >= MaxProposalAttempts
	})
	for i := range c.pending {
		if p := &c.pending[i]; c.now >= p.proposedAt+ProposalTimeout {
			p.proposedAt, p.attempts = c.now, p.attempts+1
			c.out = append(c.out, Propose{p.command})
		}
	}
	maps.DeleteFunc(c.backoffUntil, func(_ string, until time.Duration) bool { return c.now >= until })
}

// proposeFile proposes limits and asks of a newer revision than the agreed ones. Those of the same revision that say
// something else are a mistake in the files, of which a line tells once in a while.
func (c *Controller) proposeFile() {
	limits, revision := c.state.Limits()
	asks := c.state.Requests()
	if want := c.limits; want.Revision > revision {
		c.propose(fmt.Sprintf("limits %d", want.Revision), "limits", want, func() bool {
			_, r := c.state.Limits()
			return r >= want.Revision
		})
	} else if want.Revision == revision && revision > 0 && want.Limits != limits {
		c.logConfigError("limits", revision)
	}
	if want := c.requests; want.Revision > asks.Revision {
		c.propose(fmt.Sprintf("asks %d", want.Revision), "asks", want, func() bool { return c.state.Requests().Revision >= want.Revision })
	} else if want.Revision == asks.Revision && want.Revision > 0 && c.verifiedRequestsRevision != want.Revision {
		if sameRequests(want, asks) {
			c.verifiedRequestsRevision = want.Revision
		} else {
			c.logConfigError("asks", want.Revision)
		}
	}
}

func sameRequests(a, b maintenance.RequestsBody) bool {
	return a.Paused == b.Paused && len(a.Requests) == len(b.Requests) &&
		(len(a.Requests) == 0 || reflect.DeepEqual(a.Requests, b.Requests))
}

func (c *Controller) logConfigError(what string, revision int) {
	k := fmt.Sprintf("the files' %s of revision %d", what, revision)
	if c.now < c.backoffUntil[k] {
		return
	}
	c.backoffUntil[k] = c.now + ConfigErrorInterval
	c.log("%s differ from those agreed under the same number: give them a higher one", k)
}

// proposeTick moves agreed time on while something lives or waits, if nothing else does: ends are found by it.
func (c *Controller) proposeTick(open []maintenance.Item) {
	every := time.Duration(0)
	for _, it := range open {
		if it.Phase != maintenance.Pending {
			every = ActiveTickInterval
			break
		}
		every = PendingTickInterval
	}
	if every == 0 || c.time-c.agreedTime < every || len(c.pending) > 0 {
		return
	}
	at := c.time
	c.propose("tick", "tick", maintenance.TickBody{}, func() bool { return c.agreedTime >= at })
}
