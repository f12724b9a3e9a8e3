package exchange

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/settings"
	"birchcart/policy"
)

// fakeReplicas is a fake replica side that logs the calls to it.
type fakeReplicas struct {
	sent    []*Attempt
	calls   [][]*Attempt
	targets map[uint64]Target
	written map[*Attempt]bool // attempts that count as written; the others are queued
	log     []string
}

func (p *fakeReplicas) Update(changed []Target) {
	for _, c := range changed {
		p.targets[c.Replica] = c
		p.log = append(p.log, fmt.Sprint("update ", c.Name, " ", c.State))
	}
}

func (p *fakeReplicas) Send(replica uint64, call []*Attempt) {
	p.calls = append(p.calls, call)
	p.sent = append(p.sent, call...)
	p.log = append(p.log, fmt.Sprint("send ", p.targets[replica].Name))
}

func (p *fakeReplicas) Cancel(a *Attempt) (bool, bool) {
	p.log = append(p.log, "withdraw "+a.ID)
	return true, p.written[a]
}

func (p *fakeReplicas) CancelUnsent(a *Attempt) bool {
	if p.written[a] {
		return false
	}
	p.log = append(p.log, "unsend "+a.ID)
	return true
}

func (p *fakeReplicas) CheckHealth(uint64) {}

type fixture struct {
	*testing.T
	e        *Exchange
	replicas *fakeReplicas
	replies  []Reply
}

// newFixture returns an exchange over two replicas that both hold all four shards. Class 0 is plain, class 1 has a
// second step of two parts, and class 2 is unsafe to repeat. Tests call turn themselves.
func newFixture(t *testing.T, change func(*config.Config)) *fixture {
	t.Helper()
	cfg := &config.Config{
		Policy: policy.Config{
			Resolution: 0.005, Coordinators: 1, Cancel: true, SecondCopies: true, RetryAfter: true, MaxRetryAfter: 1,
			Cells: 2, Reach: 2, Shards: 4, MaxPartsPerCall: 2, ColdCapacity: 1,
			Classes: []policy.Class{
				{Promise: 1, GiveUp: 2, Need: 1, Floor: 1, Points: 1},
				{Promise: 1, GiveUp: 2, Need: 1, Floor: 1, Points: 1, FollowUp: 2},
				{Promise: 1, GiveUp: 2, Need: 1, Floor: 1, Points: 1, Effect: policy.Unsafe},
			},
		},
		Names:  &settings.Names{Classes: []string{"plain", "steps", "once"}},
		Limits: config.Limits{CallParts: 2, AnswerBy: 40 * time.Millisecond, TellEvery: time.Hour},
	}
	if change != nil {
		change(cfg)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &fixture{T: t, e: New(cfg, logrus.NewEntry(log)), replicas: &fakeReplicas{targets: map[uint64]Target{}, written: map[*Attempt]bool{}}}
	s.e.Connect(s.replicas, nil)
	s.e.UpdateReplicas(ReplicaList{Full: true, Entries: []Endpoint{
		{Name: "r0", Address: "a", Cell: 0, Size: 1}, {Name: "r1", Address: "b", Cell: 1, Size: 1},
	}})
	s.e.turn()
	return s
}

func (s *fixture) submit(id string, class int, shards ...int) *Query {
	now := time.Now()
	q := &Query{ID: id, Class: class, Tenant: -1, Received: now, Due: now.Add(2 * time.Second), Text: []byte("t")}
	for _, shard := range shards {
		q.Parts = append(q.Parts, Part{Shard: shard, Weight: 1 / float64(len(shards))})
	}
	q.Reply = func(r Reply) { s.replies = append(s.replies, r); s.replicas.log = append(s.replicas.log, "reply "+id) }
	s.e.Submit(q)
	s.e.turn()
	return q
}

// takeSent returns the attempts sent since its last call and marks them as written.
func (s *fixture) takeSent() []*Attempt {
	out := s.replicas.sent
	s.replicas.sent = nil
	for _, a := range out {
		s.replicas.written[a] = true
	}
	return out
}

func (s *fixture) succeed(a *Attempt, score int64, value string) {
	s.e.AttemptEnded(Result{Attempt: a, Outcome: policy.OK, At: time.Now(), Score: score, Value: []byte(value)})
}

func (s *fixture) takeReply() Reply {
	s.Helper()
	if len(s.replies) != 1 {
		s.Fatalf("%d replies", len(s.replies))
	}
	r := s.replies[0]
	s.replies = nil
	return r
}

// checkNothingHeld runs a turn and checks that no query or part is left open.
func (s *fixture) checkNothingHeld() {
	s.Helper()
	s.e.turn()
	if e := s.e; len(e.queries)+len(e.parts)+e.openCount != 0 {
		s.Errorf("still open: %d queries, %d parts, %d counted", len(e.queries), len(e.parts), e.openCount)
	}
}

func TestQueryAnsweredWithItsValues(t *testing.T) {
	s := newFixture(t, nil)
	s.submit("q", 0, 1, 2, 3)
	sent := s.takeSent()
	if len(sent) != 3 || sent[0].Due.IsZero() || string(sent[0].Text) != "t" {
		t.Fatalf("%+v", sent)
	}
	for _, c := range s.replicas.calls {
		if len(c) > 2 {
			t.Errorf("a call has %d parts", len(c))
		}
	}
	for _, a := range sent {
		s.succeed(a, 1, "v of "+a.ID)
	}
	s.e.turn()
	r := s.takeReply()
	if r.Status != Served || !r.Complete || len(r.Values) != 3 || string(r.Values[0].Item) != "v of q.1" || r.Values[0].Shard != 1 {
		t.Fatalf("%+v", r)
	}
	s.checkNothingHeld()
}

// The second step goes to the shards with the highest scores, and the reply holds only its values.
func TestSecondStep(t *testing.T) {
	s := newFixture(t, nil)
	s.submit("q", 1, 1, 2, 3)
	scores := map[int]int64{1: 5, 2: 9, 3: 7}
	for _, a := range s.takeSent() {
		s.succeed(a, scores[a.Shard], "first")
	}
	s.e.turn()
	if len(s.replies) != 0 {
		t.Fatal("answered after the first step")
	}
	s.e.turn()
	sent := s.takeSent()
	if len(sent) != 2 {
		t.Fatalf("%d parts in the second step", len(sent))
	}
	for _, a := range sent {
		if a.Shard == 1 || a.ID != fmt.Sprintf("q.%d.load", a.Shard) || !slices.Equal(a.Previous, []int{1, 2, 3}) || !a.Complete {
			t.Errorf("%+v", a)
		}
		s.succeed(a, 1, "second")
	}
	s.e.turn()
	r := s.takeReply()
	if !r.Complete || len(r.Values) != 2 || string(r.Values[0].Item) != "second" {
		t.Fatalf("%+v", r)
	}
	s.checkNothingHeld()
}

// Replicas reject parts of a second step that arrive before they know that the step is open. The part that opens it is
// therefore sent first, and other calls of the step only after StepGap.
func TestPartOpeningSecondStepSentFirst(t *testing.T) {
	const gap = 30 * time.Millisecond
	s := newFixture(t, func(c *config.Config) { c.Limits.CallParts, c.Limits.StepGap = 1, gap })
	s.submit("q", 1, 1, 2, 3)
	for _, a := range s.takeSent() {
		s.succeed(a, int64(a.Shard), "first")
	}
	s.e.turn()
	began := time.Now()
	s.e.turn()
	if d := time.Since(began); d < gap {
		t.Errorf("all parts were sent within %v", d)
	}
	if sent := s.takeSent(); len(sent) != 2 || sent[0].Shard != 3 {
		t.Errorf("%d sent", len(sent))
	}
	began = time.Now()
	s.submit("other", 0, 1) // queries without a second step are not delayed
	if d := time.Since(began); d >= gap {
		t.Errorf("a plain query was delayed by %v", d)
	}
}

// When the client disconnects, attempts that are not yet written are cancelled as well as written ones, and there is no
// reply.
func TestClientGoneCancelsUnwrittenParts(t *testing.T) {
	s := newFixture(t, nil)
	q := s.submit("q", 0, 1, 2)
	sent := s.takeSent()
	s.replicas.written[sent[1]] = false
	s.replicas.log = nil
	s.e.ClientGone(q)
	s.e.turn()
	if !slices.Contains(s.replicas.log, "withdraw "+sent[1].ID) || !slices.Contains(s.replicas.log, "withdraw "+sent[0].ID) {
		t.Errorf("%v", s.replicas.log)
	}
	if len(s.replies) != 0 {
		t.Error("a query got a reply after its client had disconnected")
	}
	s.checkNothingHeld()
}

// A part fails and is retried in the turn in which the client disconnects. The retry is not sent, but the policy must be
// told of its end, or it would count the attempt as in flight forever.
func TestClientGoneInTurnOfRetry(t *testing.T) {
	s := newFixture(t, nil)
	out := 0
	s.e.Observe(func(_ float64, events []policy.Event, actions []policy.Action) {
		for _, ev := range events {
			if ev.Kind == policy.AttemptEnded {
				out--
			}
		}
		for _, a := range actions {
			if a.Verb == policy.Send {
				out++
			}
		}
	})
	q := s.submit("q", 0, 1)
	a := s.takeSent()[0]
	s.e.AttemptEnded(Result{Attempt: a, Outcome: policy.Failed, At: time.Now()})
	s.e.ClientGone(q)
	s.e.turn()
	s.e.turn()
	if out != 0 || len(s.replicas.sent) != 0 {
		t.Errorf("%d attempts count as in flight, %d were sent", out, len(s.replicas.sent))
	}
	s.checkNothingHeld()
}

// A second end of an attempt is ignored, also when it comes after the end of the query.
func TestLateAndRepeatedAttemptEndsIgnored(t *testing.T) {
	s := newFixture(t, nil)
	s.submit("q", 0, 1)
	a := s.takeSent()[0]
	s.succeed(a, 1, "v")
	s.succeed(a, 1, "again")
	s.e.turn()
	if r := s.takeReply(); string(r.Values[0].Item) != "v" {
		t.Errorf("%+v", r)
	}
	s.e.AttemptEnded(Result{Attempt: a, Outcome: policy.ConnectionBroken, At: time.Now()})
	s.checkNothingHeld()
	if len(s.replies) != 0 {
		t.Error("answered twice")
	}
}

// A change of the list takes effect before anything is sent in the same turn, even if a query arrived before it.
func TestListAppliedBeforeSends(t *testing.T) {
	s := newFixture(t, nil)
	now := time.Now()
	s.e.Submit(&Query{ID: "q", Tenant: -1, Received: now, Due: now.Add(time.Second), Parts: []Part{{Shard: 0, Weight: 1}},
		Reply: func(Reply) {}})
	s.e.UpdateReplicas(ReplicaList{Entries: []Endpoint{{Name: "r0", Address: "a", State: policy.Draining}}})
	s.replicas.log = nil
	s.e.turn()
	if !slices.Equal(s.replicas.log, []string{"update r0 1", "send r1"}) {
		t.Errorf("%v", s.replicas.log)
	}
}

// A full list removes the replicas that it does not name. The removal of a replica that was never listed is ignored.
func TestFullListRemovesUnlistedReplicas(t *testing.T) {
	s := newFixture(t, nil)
	s.replicas.log = nil
	s.e.UpdateReplicas(ReplicaList{Entries: []Endpoint{{Name: "never", State: policy.Removed}}})
	s.e.UpdateReplicas(ReplicaList{Full: true, Entries: []Endpoint{{Name: "r1", Address: "b", Cell: 1}}})
	s.e.turn()
	if !slices.Equal(s.replicas.log, []string{"update r1 0", "update r0 2"}) {
		t.Errorf("%v", s.replicas.log)
	}
}

// Start times in the list are wall-clock times; the policy receives them on its own clock. A start of long ago becomes 0
// and does not look recent.
func TestReplicaStartTimeConverted(t *testing.T) {
	s := newFixture(t, nil)
	s.e.UpdateReplicas(ReplicaList{Entries: []Endpoint{
		{Name: "r0", Address: "a", Started: time.UnixMilli(time.Now().Add(-3 * time.Second).UnixMilli())},
		{Name: "r1", Address: "b", Cell: 1, Started: time.UnixMilli(1000)},
	}})
	s.e.mu.Lock()
	m := s.e.inbox[0].(ReplicaList)
	s.e.mu.Unlock()
	s.e.turnAt = time.Now()
	s.e.events = nil
	s.e.handleReplicaList(m)
	got := s.e.events[0].List
	if age := s.e.policyTime(time.Now()) - got[0].Started; age < 2.9 || age > 3.5 {
		t.Errorf("a replica started 3 s ago counts as %v s old", age)
	}
	if got[1].Started != 0 {
		t.Errorf("a start of long ago is %v", got[1].Started)
	}
}

func TestOpenQueryIDConflicts(t *testing.T) {
	s := newFixture(t, nil)
	s.submit("q", 0, 1)
	s.takeSent()
	s.submit("q", 0, 2)
	if r := s.takeReply(); r.Status != Conflict {
		t.Errorf("%+v", r)
	}
	if len(s.takeSent()) != 0 {
		t.Error("a part of it was sent")
	}
}

// At the limit of open queries and parts a query is rejected before the policy sees it, and none of its parts is sent.
func TestOpenLimitRejectsQuery(t *testing.T) {
	s := newFixture(t, func(c *config.Config) { c.Limits.Held, c.Limits.ComeBack = 3, time.Second })
	s.submit("a", 0, 1, 2)
	s.takeSent()
	s.submit("b", 2, 1)
	if r := s.takeReply(); r.Status != Rejected || r.RetryAfter != time.Second {
		t.Errorf("%+v", r)
	}
	if len(s.takeSent()) != 0 {
		t.Error("a part of it was sent")
	}
}

// The policy is told that an attempt past its deadline timed out, or that it never ran if it was not yet written.
func TestAttemptTimeout(t *testing.T) {
	for _, written := range []bool{true, false} {
		s := newFixture(t, func(c *config.Config) { c.Policy.Cancel = false })
		s.submit("q", 0, 1)
		a := s.takeSent()[0]
		s.replicas.written[a] = written
		s.e.turnAt = time.Now().Add(3 * time.Second)
		s.e.events = nil
		s.e.fireTimers()
		want := policy.NotSent
		if written {
			want = policy.TimedOut
		}
		if i := slices.IndexFunc(s.e.events, func(ev policy.Event) bool { return ev.Kind == policy.AttemptEnded }); i < 0 || s.e.events[i].Outcome != want {
			t.Errorf("written %v: %+v", written, s.e.events)
		}
	}
}

// The exchange itself fails a query that the policy has not ended by its deadline.
func TestOverdueQueryFails(t *testing.T) {
	s := newFixture(t, nil)
	q := s.submit("q", 0, 1)
	s.takeSent()
	s.e.queryOverdue(s.e.byRequestID[q.ID])
	if r := s.takeReply(); r.Status != Failed {
		t.Errorf("%+v", r)
	}
	s.e.queryOverdue(&query{Query: &Query{ID: "other"}, closed: true})
}

func FuzzSteps(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5})
	f.Fuzz(func(t *testing.T, moves []byte) {
		if len(moves) > 60 {
			return
		}
		s := newFixture(t, nil)
		replies := map[string]int{}
		var submitted []*Query
		var out []*Attempt
		for i, m := range moves {
			switch m % 6 {
			case 0, 1:
				now := time.Now()
				q := &Query{ID: fmt.Sprint("q", i), Class: int(m) % 3, Tenant: -1, Received: now, Due: now.Add(time.Second)}
				for shard := range 1 + int(m/6)%4 {
					q.Parts = append(q.Parts, Part{Shard: shard, Weight: 1 / float64(1+int(m/6)%4)})
				}
				q.Reply = func(Reply) { replies[q.ID]++ }
				submitted = append(submitted, q)
				s.e.Submit(q)
			case 2, 3:
				if len(out) > 0 {
					a := out[int(m/6)%len(out)]
					s.e.AttemptEnded(Result{Attempt: a, Outcome: policy.Outcome(m % 8), At: time.Now(), Score: int64(m)})
				}
			case 4:
				if len(submitted) > 0 {
					s.e.ClientGone(submitted[int(m/6)%len(submitted)])
				}
			case 5:
				s.e.turn()
				out = append(out, s.takeSent()...)
			}
		}
		s.e.turn()
		for id, n := range replies {
			if n > 1 {
				t.Fatalf("%s was answered %d times", id, n)
			}
		}
		held := 0
		for _, q := range s.e.queries {
			held += 1 + len(q.parts)
		}
		if held != s.e.openCount {
			t.Fatalf("%d queries and parts are open, counted %d", held, s.e.openCount)
		}
	})
}

// Removed replicas are forgotten after a while, so that the tables do not grow where replicas are often replaced under new
// names. A replica that is off the list for a shorter time keeps its id.
func TestRemovedReplicasForgotten(t *testing.T) {
	s := newFixture(t, func(c *config.Config) { c.Limits.Forget = 20 * time.Millisecond })
	for i := range 10 {
		for _, state := range []policy.Readiness{policy.Up, policy.Draining, policy.Removed} {
			s.e.UpdateReplicas(ReplicaList{Entries: []Endpoint{{Name: fmt.Sprint("new", i), Address: "c", State: state, Size: 1}}})
			s.e.turn()
		}
	}
	before := s.e.replicasByName["new9"]
	s.e.UpdateReplicas(ReplicaList{Entries: []Endpoint{{Name: "new9", Address: "d", Size: 1}}})
	s.e.turn()
	if after := s.e.replicasByName["new9"]; after != before || after.Address != "d" {
		t.Errorf("%+v became %+v", before, after)
	}
	time.Sleep(30 * time.Millisecond)
	s.e.UpdateReplicas(ReplicaList{})
	s.e.turn()
	if len(s.e.replicasByName) != 3 || len(s.e.replicasByID) != 3 {
		t.Errorf("%d names and %d ids are held", len(s.e.replicasByName), len(s.e.replicasByID))
	}
}

// A query id stays in use while replicas may still hold parts of its last query, which would take new parts with
// the same ids for those. The id of a query that sent no part is free at once, any other one after the query's deadline.
func TestQueryIDReuse(t *testing.T) {
	s := newFixture(t, nil)
	q := s.submit("q", 0, 1)
	for _, a := range s.takeSent() {
		s.succeed(a, 1, "v")
	}
	s.e.turn()
	s.takeReply()
	s.submit("q", 0, 1)
	if r := s.takeReply(); r.Status != Conflict {
		t.Errorf("%+v", r)
	}
	s.e.ClientGone(q) // of the first query, after its end
	s.e.turn()
	s.e.UpdateReplicas(ReplicaList{Full: true}) // no replicas: queries are rejected with nothing sent
	s.e.turn()
	for range 2 {
		s.submit("r", 0, 1)
		if r := s.takeReply(); r.Status != Rejected {
			t.Errorf("%+v", r)
		}
	}
	for i := range s.e.timers {
		s.e.timers[i].at = time.Now()
	}
	s.checkNothingHeld()
	if len(s.e.byRequestID) != 0 {
		t.Errorf("%d ids are held", len(s.e.byRequestID))
	}
	s.submit("q", 0, 1)
	if r := s.takeReply(); r.Status != Rejected {
		t.Errorf("%+v", r)
	}
}
