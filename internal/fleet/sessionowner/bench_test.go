package sessionowner

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"birchcart/internal/fleet/session"
)

// newRigWithIdleSessions returns an owner with n idle sessions, and their ids.
func newRigWithIdleSessions(t tb, n int) (*rig, []session.ID) {
	r := newRig(t, Options{MaxSessions: 2*n + 10})
	ids := make([]session.ID, n)
	a := Arrived{Effect: Idempotent, Deadline: r.now + time.Hour}
	var acts []session.Act
	for i := range ids {
		binary.BigEndian.PutUint32(ids[i][:], uint32(i))
		a.Token, a.Session, a.Client = uint64(i+1), ids[i], uint64(i)
		r.owner.Step(r.now, []Input{&a})
		acts = append(acts, session.Act{Kind: session.Claim, ID: ids[i]})
		if len(acts) == 1000 || i == n-1 {
			r.applyActs("a", acts...)
			acts = acts[:0]
			r.owner.Step(r.now, []Input{r.applied()})
			for token := a.Token; token > 0 && r.owner.queries[token] != nil; token-- {
				r.owner.Step(r.now, []Input{QueryEnded{Token: token, Responded: true}})
			}
		}
	}
	if s := r.owner.Stats(); s.Sessions != n || s.Open+s.Waiting > 0 {
		t.Fatalf("%+v", s)
	}
	return r, ids
}

// BenchmarkQuery measures one query, from arrival to end, at an owner with 100,000 sessions.
func BenchmarkQuery(b *testing.B) {
	r, ids := newRigWithIdleSessions(b, 100_000)
	q := Arrived{Effect: Idempotent, Deadline: r.now + time.Hour, Replicas: []string{"r1", "r2"}}
	in := make([]Input, 1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.Token, q.Session = uint64(i)+1<<32, ids[i*7919%len(ids)]
		in[0] = &q
		out := r.owner.Step(r.now, in)
		if len(out) != 1 || !r.owner.MayAnswer(r.now, q.Token) {
			b.Fatal(out)
		}
		in[0] = QueryEnded{Token: q.Token, Outcome: Done}
		r.owner.Step(r.now, in)
	}
}

// BenchmarkApplied measures a Step with a new agreed state while 1,000 claims are pending at an owner with 100,000 sessions.
func BenchmarkApplied(b *testing.B) {
	r, _ := newRigWithIdleSessions(b, 100_000)
	for i := range 1000 {
		q := r.newQuery(uint64(i)+1<<32, Idempotent)
		q.Session, q.Deadline = id(i), r.now+time.Hour
		r.owner.Step(r.now, []Input{&q})
	}
	for b.Loop() {
		r.owner.Step(r.now, []Input{r.applied()})
	}
}

// A query needs at most two allocations, and an idle session takes less than 400 bytes.
func TestAllocationsAndMemoryPerSession(t *testing.T) {
	if testing.Short() {
		t.Skip("100,000 sessions")
	}
	r, ids := newRigWithIdleSessions(t, 100_000)
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	heapBefore := heap()
	q := Arrived{Effect: Idempotent, Deadline: r.now + time.Hour, Replicas: []string{"r1", "r2"}}
	var in [1]Input
	var e QueryEnded
	allocations := testing.AllocsPerRun(1000, func() {
		q.Token, q.Session = q.Token+1, ids[q.Token%1000]
		in[0] = &q
		r.owner.Step(r.now, in[:])
		r.owner.MayAnswer(r.now, q.Token)
		e = QueryEnded{Token: q.Token, Outcome: Done}
		in[0] = &e
		r.owner.Step(r.now, in[:])
	})
	r.owner = nil
	bytesPerSession := int(heapBefore-heap()) / len(ids)
	t.Logf("%v allocations a query, %d bytes a session", allocations, bytesPerSession)
	if allocations > 2 || bytesPerSession >= 400 {
		t.Errorf("%v allocations a query, %d bytes a session", allocations, bytesPerSession)
	}
}
