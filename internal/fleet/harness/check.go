package harness

import (
	"fmt"
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
)

const (
	// newsTime is how long a machine's failure may take to be known to the raft group: discovery's word, the leader's look
	// and one entry of the log. A grant within it of an unplanned failure is judged without that failure.
	newsTime = 3 * time.Second
	// partSlip is what a part may be later than the time of "told": clocks are the same, writing a call is not instant.
	partSlip = 50 * time.Millisecond
	// noticeMost is how much later than it was told the tools may notice that a co-ordinator may go.
	noticeMost = 10 * time.Second
	// upTime is how long a process takes from its start until it listens and has a list.
	upTime = 3 * time.Second
)

// Span is a time in which something was the matter, and what.
type Span struct {
	From, To time.Time
	What     string
}

func (s Span) meets(from, to time.Time) bool { return s.From.Before(to) && from.Before(s.To) }

// Part is one part as a stand-in replica got it: for which query of which process, by its id.
type Part struct {
	At      time.Time
	Process int
	Machine string
	Query   string
}

// Outage is a machine's time away, as the harness itself made it.
type Outage struct {
	Machine string
	Fence   uint64 // of the grant by which it went; 0: without one
	From    time.Time
	Dead    time.Time // takes nothing from here on
	Warm    time.Time // zero: never
}

// History is all that was counted outside of the processes in one run.
type History struct {
	Limits    maintenance.Limits
	Machines  []maintenance.Machine
	Files     []*Seen
	Parts     []Part
	Sent      []Sent
	Outages   []Outage
	Disturbed [][]Span      // by process: cut off, stopped, dead or just started; what it can't have heard is excused
	Down      [][]Span      // by process: killed, until it is up again
	Ending    [][]Span      // by process: it takes nothing more, and still answers what it took
	Stopped   [][]Span      // by process
	Silent    [][]Span      // by process: not a word of discovery came through, from the first moment to the last
	Deaf      [][]Span      // by process: discovery is out of its reach, or says something else than it is
	Busy      []Span        // in which this machine did not keep up, as the harness's own clock saw it
	Bears     float64       // parts out at once, that a replica bears
	Answer    time.Duration // for which a replica has a part open, at the least
	Wait      time.Duration // of clients of sessions for what may run twice
	Relayed   bool          // links to replicas may hold parts
	Wrong     []string      // found while it ran
	Asked     []Asked       // by the clients of sessions
	Runs      []Run         // of theirs
}

// Verdict is what the checks found, and what they counted.
type Verdict struct {
	Broken  []string        // each names its rule
	Fates   map[Fate]int    // of queries
	Served  float64         // share finished of those answered
	Closed  int             // connections reset, of which no part was sent, by a process that was ending
	Unread  int             // connections reset after the time for a first request, while this machine did not keep up: excused
	Late    int             // parts to a told machine, from processes that can't have heard: excused
	Grants  int             // fences seen
	Told    int             // of these
	Slowest time.Duration   // an answer, of queries to processes that were not stopped, while the machine kept up
	Busy    int             // answers late, or connections that timed out, while this machine did not keep up: excused
	ToldIn  []time.Duration // from granted to told, of each
	Loads   int             // grants of replicas that were judged by the load
	Turns   int             // grants beside a request that had surely reserved its turn
	Calms   int             // failures after which a pause was sure

	Pinned *SessionVerdict // of pinned sessions; nil: there were none

	lines map[string]int // broken, by kind
}

// Check judges a history. It knows nothing of how grants are decided.
func (h *History) Check() *Verdict {
	v := &Verdict{Fates: map[Fate]int{}, Broken: slices.Clone(h.Wrong)}
	grants := grantsOf(h.Files)
	v.Grants = len(grants)
	for _, g := range grants {
		if g.told > 0 {
			v.Told++
			v.ToldIn = append(v.ToldIn, g.told-g.GrantedAt)
		}
	}
	h.endings(grants)
	h.checkFences(v, grants)
	h.checkHolders(v, grants)
	h.checkOut(v)
	h.checkTruth(v, grants)
	h.checkLoad(v, grants)
	h.checkTurns(v, grants)
	h.checkCalm(v, grants)
	h.checkParts(v, grants)
	h.checkQueries(v)
	h.checkSessions(v)
	return v
}

// endings lets the time in which a process ends for its work begin when its grant was told, as agreed: it goes by itself
// from then on, and on a busy machine the files that say so come seconds after.
func (h *History) endings(grants []*grant) {
	process := map[string]int{}
	for _, m := range h.Machines {
		if m.Kind == maintenance.Coordinator {
			process[m.Name] = len(process)
		}
	}
	for _, g := range grants {
		i, ok := process[g.Machine]
		if !ok || g.told == 0 {
			continue
		}
		for _, of := range [][][]Span{h.Ending, h.Disturbed} {
			for j := range of[i] {
				s := &of[i][j]
				if told := agreed(g.told); s.What == "swap" && s.From.After(told) && s.From.Before(told.Add(noticeMost)) {
					s.From = told
				}
			}
		}
	}
}

func (v *Verdict) broken(format string, args ...any) {
	const most = 6 // of a kind; the first ones tell
	if v.lines == nil {
		v.lines = map[string]int{}
	}
	if v.lines[format]++; v.lines[format] <= most {
		v.Broken = append(v.Broken, fmt.Sprintf(format, args...))
	}
}

func agreed(d time.Duration) time.Time { return time.Unix(0, int64(d)) }

// away tells whether a phase takes a machine from its shards.
func away(p maintenance.Phase) bool {
	return p == maintenance.Granted || p == maintenance.Acknowledged || p == maintenance.Out || p == maintenance.Returned
}

// checkParts: nothing new reaches a machine between "told" and its end, but from a process that can't have heard.
func (h *History) checkParts(v *Verdict, grants []*grant) {
	by := map[string][]Part{}
	for _, p := range h.Parts {
		by[p.Machine] = append(by[p.Machine], p)
	}
	for _, g := range grants {
		if g.told == 0 {
			continue
		}
		from, to := agreed(g.told).Add(partSlip), agreed(g.until)
		for _, o := range h.Outages { // by the grant, or a failure that came first: it is back by a newer start
			if (o.Fence == g.Fence || o.Machine == g.Machine && o.Dead.After(agreed(g.GrantedAt))) && o.Dead.Before(to) {
				to = o.Dead
			}
		}
		for _, p := range by[g.Machine] {
			if !p.At.After(from) || !p.At.Before(to) {
				continue
			}
			heard := agreed(g.GrantedAt).Add(-h.Limits.Lease)
			if p.Process < 0 || p.Process < len(h.Disturbed) && meets(h.Disturbed[p.Process], heard, p.At) {
				v.Late++
				continue
			}
			v.broken("told: %s got a part from process %d %v after fence %d was told", p.Machine, p.Process,
				p.At.Sub(agreed(g.told)).Round(time.Millisecond), g.Fence)
		}
	}
}

func meets(spans []Span, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(s Span) bool { return s.meets(from, to) })
}
