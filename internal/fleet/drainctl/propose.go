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

// pendingProposal is a proposal whose outcome is unknown.
type pendingProposal struct {
	subject    string // identifies what is proposed: a pending subject is not proposed again
	term       uint64
	command    statemachine.Command
	proposedAt time.Duration // monotonic time at which it was last proposed
	attempts   int
	done       func() bool // reports that the agreed state shows its effect, or that it can no longer have one
}

// propose emits a command, unless the same subject is pending or was rejected recently, or too many proposals are pending. The ID
// consists of the term and a number, so that a repeated command takes effect once and no two leaders use the same ID.
func (c *Controller) propose(subject, kind string, body any, done func() bool) bool {
	if len(c.pending) >= MaxPendingProposals || c.isPending(subject) || c.now < c.backoffUntil[subject] {
		return false
	}
	raw, err := json.Marshal(body)
	if err != nil {
		c.log("cannot propose %s: %v", subject, err)
		return false
	}
	c.seq++
	c.advanceAgreedTime(c.time)
	command := statemachine.Command{V: statemachine.Version, ID: fmt.Sprintf("%d-%d", c.term, c.seq), Part: Part, Kind: kind, At: c.time, Body: raw}
	c.pending = append(c.pending, pendingProposal{subject: subject, term: c.term, command: command, proposedAt: c.now, attempts: 1, done: done})
	c.out = append(c.out, Propose{command})
	return true
}

// isPending reports whether a proposal with the subject is pending.
func (c *Controller) isPending(subject string) bool {
	return slices.ContainsFunc(c.pending, func(p pendingProposal) bool { return p.subject == subject })
}

// countPending returns how many pending proposals have a subject with the prefix.
func (c *Controller) countPending(prefix string) (n int) {
	for _, p := range c.pending {
		if strings.HasPrefix(p.subject, prefix) {
			n++
		}
	}
	return n
}

// handleResult removes a proposal whose outcome is known and delays the next attempt if it failed.
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
			wait = ConfigErrorInterval // an invalid file stays invalid until it is changed
		}
		c.backoffUntil[p.subject] = c.now + wait
		c.log("%s (proposal %s) failed: %v", p.subject, e.ID, e.Err)
	}
}

// retryProposals drops the proposals that are done or have used up their attempts, and emits the others again once they time out.
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

// proposeFile proposes limits and requests whose revision is newer than the agreed one. Different content under the agreed
// revision is a mistake in the files and is logged once per ConfigErrorInterval.
func (c *Controller) proposeFile() {
	limits, revision := c.state.Limits()
	agreed := c.state.Requests()
	if want := c.limits; want.Revision > revision {
		c.propose(fmt.Sprintf("limits %d", want.Revision), "limits", want, func() bool {
			_, r := c.state.Limits()
			return r >= want.Revision
		})
	} else if want.Revision == revision && revision > 0 && want.Limits != limits {
		c.logConfigError("limits", revision)
	}
	if want := c.requests; want.Revision > agreed.Revision {
		c.propose(fmt.Sprintf("requests %d", want.Revision), "asks", want, func() bool { return c.state.Requests().Revision >= want.Revision })
	} else if want.Revision == agreed.Revision && want.Revision > 0 && c.verifiedRequestsRevision != want.Revision {
		if sameRequests(want, agreed) {
			c.verifiedRequestsRevision = want.Revision
		} else {
			c.logConfigError("requests", want.Revision)
		}
	}
}

// sameRequests reports whether both have the same requests and pause, whatever their revisions.
func sameRequests(a, b maintenance.RequestsBody) bool {
	return a.Paused == b.Paused && len(a.Requests) == len(b.Requests) &&
		(len(a.Requests) == 0 || reflect.DeepEqual(a.Requests, b.Requests))
}

// logConfigError logs that the files differ from the agreed content of the same revision.
func (c *Controller) logConfigError(section string, revision int) {
	key := fmt.Sprintf("the files' %s of revision %d", section, revision)
	if c.now < c.backoffUntil[key] {
		return
	}
	c.backoffUntil[key] = c.now + ConfigErrorInterval
	c.log("%s differ from those agreed under the same revision: use a higher revision", key)
}

// proposeTick advances agreed time while items are open and nothing else is proposed, because the ends of grants are detected by
// agreed time.
func (c *Controller) proposeTick(open []maintenance.Item) {
	interval := time.Duration(0)
	for _, it := range open {
		if it.Phase != maintenance.Pending {
			interval = ActiveTickInterval
			break
		}
		interval = PendingTickInterval
	}
	if interval == 0 || c.time-c.agreedTime < interval || len(c.pending) > 0 {
		return
	}
	at := c.time
	c.propose("tick", "tick", maintenance.TickBody{}, func() bool { return c.agreedTime >= at })
}
