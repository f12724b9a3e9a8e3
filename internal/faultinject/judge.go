package faultinject

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"birchcart/internal/testproc"
)

const (
	drainGrace  = 300 * time.Millisecond // of the settings, and the protocol's slack on it
	leaveGrace  = 100 * time.Millisecond // after a client's close, in which an attempt may still begin
	answerGrace = 100 * time.Millisecond // after the final answer, for a part that was on its way
	waitSlack   = 150 * time.Millisecond // on the time that a part tells
)

// Rule is one of the rules that a Verdict counts.
type Rule string

// Rules.
const (
	SentToDraining Rule = "sent to a draining replica"
	Lost           Rule = "a request that was read has no answer"
	RunTwice       Rule = "an unsafe part ran more than once"
	RefusedAndRan  Rule = "an unsafe request was refused and may have run"
	SentAfterLeft  Rule = "an attempt began after its client had left"
	SentAfterEnd   Rule = "an attempt began after the final answer"
	TimeTooLong    Rule = "a part tells more time than its client has left"
	WrongAnswer    Rule = "an answer is wrong"
	BadEnd         Rule = "the process did not end or start as it should"
)

// Violation is one breach of a rule, with its evidence.
type Violation struct {
	Rule     Rule
	Evidence string
}

func (v Violation) String() string { return string(v.Rule) + ": " + v.Evidence }

// Span is a stretch of time.
type Span struct{ From, To time.Time }

// Run is all that was recorded of one run.
type Run struct {
	Requests []Request
	Parts    []Part
	Ran      map[string]int
	Drains   []Drain
	Stops    []Span // the process was stopped
	Ends     []Span // from SIGTERM or SIGKILL until the process was gone
	Kills    []Span // SIGKILL alone: what was open then is excused
	Crowd    bool   // descriptors were all taken at times
	Stood    *testproc.Standstills
}

// CheckDrains holds that no replica got a part later than the grace after its drain counts. The time for which this process stood
// still meanwhile is not counted: a part may have waited here to be read.
func CheckDrains(drains []Drain, parts []Part, stood *testproc.Standstills) (found []Violation) {
	for _, d := range drains {
		for _, p := range parts {
			if p.Replica != d.Replica || !d.Until.IsZero() && p.At.After(d.Until) {
				continue
			}
			if late := p.At.Sub(d.Counts); late > drainGrace+stood.Between(d.Counts, p.At) {
				found = append(found, Violation{SentToDraining,
					fmt.Sprintf("part %s came to %s %v after its drain counted", p.ID, p.Replica, late.Round(time.Millisecond))})
			}
		}
	}
	return found
}

// Check holds a run to all rules.
func (r *Run) Check() (found []Violation) {
	found = CheckDrains(r.Drains, r.Parts, r.Stood)
	parts := map[string][]Part{}
	for _, p := range r.Parts {
		request, _, _ := strings.Cut(p.ID, ".")
		parts[request] = append(parts[request], p)
	}
	for i := range r.Requests {
		found = append(found, r.checkRequest(&r.Requests[i], parts[r.Requests[i].ID])...)
	}
	return found
}

// excuse is for how long neither the process, which was stopped, nor this one could act between two moments.
func (r *Run) excuse(from, to time.Time) time.Duration {
	sum := r.Stood.Between(from, to)
	for _, s := range r.Stops {
		if from.Before(s.To) && to.After(s.From) {
			sum += s.To.Sub(s.From)
		}
	}
	return sum
}

func (r *Run) checkRequest(q *Request, parts []Part) (found []Violation) {
	report := func(rule Rule, format string, values ...any) {
		found = append(found, Violation{rule, "request " + q.ID + " " + fmt.Sprintf(format, values...)})
	}
	if q.Err != "" {
		rule := WrongAnswer
		if q.Status == 0 {
			rule = Lost
		}
		if !r.killed(q) {
			report(rule, "%s; sent %v", q.Err, q.Sent.Format(clock))
		}
	}
	if q.Crossed && len(parts) > 0 && !r.killed(q) {
		report(Lost, "was read, since %d parts of it went, and its connection ended without an answer after %v", len(parts), q.Ended.Sub(q.Sent))
	}
	if q.Crossed && q.Repeat && !r.Crowd && !r.ending(q) {
		report(Lost, "was sent on a second, new connection, which ended without an answer")
	}
	for _, p := range parts {
		r.checkPart(q, p, report)
	}
	if !q.Unsafe {
		return found
	}
	ran := 0
	for _, p := range parts {
		ran = max(ran, r.Ran[p.ID])
	}
	if ran > 1 {
		report(RunTwice, "%d times", ran)
	}
	if refused := q.Status == http.StatusServiceUnavailable || q.Status == http.StatusTooManyRequests; refused && ran > 0 {
		report(RefusedAndRan, "with %d", q.Status)
	}
	return found
}

const clock = "15:04:05.000"

func (r *Run) checkPart(q *Request, p Part, report func(Rule, string, ...any)) {
	if !q.Left.IsZero() {
		if late := p.At.Sub(q.Left); late > leaveGrace+r.excuse(q.Left, p.At) {
			report(SentAfterLeft, "part %s came to %s %v after it", p.ID, p.Replica, late.Round(time.Millisecond))
		}
	} else if q.Status != 0 {
		if late := p.At.Sub(q.Ended); late > answerGrace+r.excuse(q.Ended, p.At) {
			report(SentAfterEnd, "part %s came to %s %v after it", p.ID, p.Replica, late.Round(time.Millisecond))
		}
	}
	if left := q.Sent.Add(q.Wait).Sub(p.At); p.Wait > left+waitSlack+r.excuse(q.Sent, p.At) {
		report(TimeTooLong, "part %s tells %v of %v", p.ID, p.Wait, left)
	}
}

// killed says whether the process was killed while the request was open.
func (r *Run) killed(q *Request) bool { return overlaps(r.Kills, q) }

// ending says whether the process was ending, or not there, while the request was open.
func (r *Run) ending(q *Request) bool { return overlaps(r.Ends, q) }

func overlaps(spans []Span, q *Request) bool {
	for _, s := range spans {
		if q.Sent.Before(s.To) && q.Ended.After(s.From) {
			return true
		}
	}
	return false
}
