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

// fakeReplicas stands in for the replica side.
type fakeReplicas struct {
	sent    []*Attempt
	calls   [][]*Attempt
	targets map[uint64]Target
	written map[*Attempt]bool // sent out; the others wait
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

// newFixture is an exchange of two classes, the second with a second step of two parts, over two replicas that
// hold all four shards. Turns are played by hand.
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

// takeSent returns what was sent since the last call, all of it written.
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

// checkNothingHeld checks that nothing is held of queries that are over.
func (s *fixture) checkNothingHeld() {
	s.Helper()
	s.e.turn()
	if e := s.e; len(e.queries)+len(e.parts)+e.openCount != 0 {
		s.Errorf("left: %d queries, %d parts, %d held", len(e.queries), len(e.parts), e.openCount)
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
			t.Errorf("a call of %d parts", len(c))
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

// The second step goes to the shards with the highest scores; its values make up the answer.
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

// Guards against parts of a second step that reach their replicas before the step is known to be open, which
// turns them away: the part that opens it goes first, those in other calls after the gap.
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
		t.Errorf("all parts went within %v", d)
	}
	if sent := s.takeSent(); len(sent) != 2 || sent[0].Shard != 3 {
		t.Errorf("%d sent", len(sent))
	}
	began = time.Now()
	s.submit("other", 0, 1) // nobody else waits
	if d := time.Since(began); d >= gap {
		t.Errorf("a plain query waited %v", d)
	}
}

// What waits for its connection when its query ends is taken back before the answer goes.
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
		t.Error("a client that has left was answered")
	}
	s.checkNothingHeld()
}

// A part fails and is sent again in the turn in which its client leaves: the decisions are told of an end for that
// attempt too, or they would count it as out for ever. Nothing of it goes.
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
		t.Errorf("%d attempts count as out, %d were sent", out, len(s.replicas.sent))
	}
	s.checkNothingHeld()
}

// An attempt that ended after its query changes nothing, and a second end of one is passed over.
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

// A change of the list that was read is in force before anything is sent in the same turn, though the query
// came first.
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

// What is not on a whole list is gone; an entry that only says so of one never heard of is passed over.
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

// A start that the list tells of in wall time reaches the decisions' clock, and one of long ago does not look
// like a young one.
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
		t.Errorf("3 s old, taken for %v s", age)
	}
	if got[1].Started != 0 {
		t.Errorf("long ago is %v", got[1].Started)
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

// At the limit of what may be held a query is refused before the decisions see it, and nothing of it is sent.
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

// An attempt whose time is up is told as such: as never run if it was not written.
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

// A query whose end has passed unanswered is failed by the exchange itself.
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
			t.Fatalf("%d held, counted %d", held, s.e.openCount)
		}
	})
}

// Guards against growth on days when replicas are replaced all the time under new names. One that is off the list
// for a short while keeps its number.
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
		t.Errorf("%d names and %d numbers are held", len(s.e.replicasByName), len(s.e.replicasByID))
	}
}

// An id is not free while parts of its last query may still be at replicas, where the same ids would be taken for
// those; one of which nothing was sent is free at once, and each is in the end.
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
	s.e.ClientGone(q) // route the first one, and late
	s.e.turn()
	s.e.UpdateReplicas(ReplicaList{Full: true}) // nobody is there: refused with nothing sent
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
