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

// proposal is one whose end is not known.
type proposal struct {
	what    string // what it is about: the same is not proposed twice
	term    uint64
	command statemachine.Command
	at      time.Duration // own time at which it was last proposed
	times   int
	done    func() bool // the agreed state shows that it acted, or that it can act no more
}

// propose puts a command out, unless the same is waited for, was refused just now, or too many are waited for. Its id is
// made of the term and a number, so that what one leader says twice acts once, and no two leaders use the same.
func (l *Lead) propose(what, kind string, body any, done func() bool) bool {
	if len(l.waiting) >= ProposeMost || l.waits(what) || l.now < l.refused[what] {
		return false
	}
	raw, err := json.Marshal(body)
	if err != nil {
		l.say("%s can not be proposed: %v", what, err)
		return false
	}
	l.seq++
	l.know(l.time)
	c := statemachine.Command{V: statemachine.Version, ID: fmt.Sprintf("%d-%d", l.term, l.seq), Part: Part, Kind: kind, At: l.time, Body: raw}
	l.waiting = append(l.waiting, proposal{what: what, term: l.term, command: c, at: l.now, times: 1, done: done})
	l.out = append(l.out, Propose{c})
	return true
}

func (l *Lead) waits(what string) bool {
	return slices.ContainsFunc(l.waiting, func(p proposal) bool { return p.what == what })
}

// count is how many are waited for that are about what begins so.
func (l *Lead) count(prefix string) (n int) {
	for _, p := range l.waiting {
		if strings.HasPrefix(p.what, prefix) {
			n++
		}
	}
	return n
}

func (l *Lead) ended(e Ended) {
	i := slices.IndexFunc(l.waiting, func(p proposal) bool { return p.command.ID == e.ID })
	if i < 0 {
		return
	}
	p := l.waiting[i]
	l.waiting = slices.Delete(l.waiting, i, i+1)
	if e.Err != nil {
		wait := RefusedWait
		if p.command.Kind == "limits" || p.command.Kind == "asks" {
			wait = MistakeEvery // a file's mistake stays until the file is changed
		}
		l.refused[p.what] = l.now + wait
		l.say("%s (proposal %s) came to nothing: %v", p.what, e.ID, e.Err)
	}
}

// tidy drops the proposals that the state shows as done, and puts out again those of which nothing came.
func (l *Lead) tidy() {
	l.waiting = slices.DeleteFunc(l.waiting, func(p proposal) bool {
		return p.done() || l.now >= p.at+RepeatAfter && p.times >= RepeatMost
	})
	for i := range l.waiting {
		if p := &l.waiting[i]; l.now >= p.at+RepeatAfter {
			p.at, p.times = l.now, p.times+1
			l.out = append(l.out, Propose{p.command})
		}
	}
	maps.DeleteFunc(l.refused, func(_ string, until time.Duration) bool { return l.now >= until })
}

// putFile proposes limits and asks of a newer revision than the agreed ones. Those of the same revision that say
// something else are a mistake in the files, of which a line tells once in a while.
func (l *Lead) putFile() {
	limits, revision := l.state.Limits()
	asks := l.state.Requests()
	if want := l.limits; want.Revision > revision {
		l.propose(fmt.Sprintf("limits %d", want.Revision), "limits", want, func() bool {
			_, r := l.state.Limits()
			return r >= want.Revision
		})
	} else if want.Revision == revision && revision > 0 && want.Limits != limits {
		l.mistake("limits", revision)
	}
	if want := l.asks; want.Revision > asks.Revision {
		l.propose(fmt.Sprintf("asks %d", want.Revision), "asks", want, func() bool { return l.state.Requests().Revision >= want.Revision })
	} else if want.Revision == asks.Revision && want.Revision > 0 && l.sameAsks != want.Revision {
		if sameAsks(want, asks) {
			l.sameAsks = want.Revision
		} else {
			l.mistake("asks", want.Revision)
		}
	}
}

func sameAsks(a, b maintenance.RequestsBody) bool {
	return a.Paused == b.Paused && len(a.Requests) == len(b.Requests) &&
		(len(a.Requests) == 0 || reflect.DeepEqual(a.Requests, b.Requests))
}

func (l *Lead) mistake(what string, revision int) {
	k := fmt.Sprintf("the files' %s of revision %d", what, revision)
	if l.now < l.refused[k] {
		return
	}
	l.refused[k] = l.now + MistakeEvery
	l.say("%s differ from those agreed under the same number: give them a higher one", k)
}

// putTick moves agreed time on while something lives or waits, if nothing else does: ends are found by it.
func (l *Lead) putTick(open []maintenance.Item) {
	every := time.Duration(0)
	for _, it := range open {
		if it.Phase != maintenance.Pending {
			every = TickLive
			break
		}
		every = TickAsked
	}
	if every == 0 || l.time-l.agreed < every || len(l.waiting) > 0 {
		return
	}
	at := l.time
	l.propose("tick", "tick", maintenance.TickBody{}, func() bool { return l.agreed >= at })
}
