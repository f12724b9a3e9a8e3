package exchange_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
	"birchcart/internal/replica"
	"birchcart/internal/settings"
	"birchcart/internal/standin"
	"birchcart/policy"
)

// testTimeout allows a busy machine time for what takes milliseconds on an idle one.
const testTimeout = time.Minute

// networkFixture is a running exchange and, over loopback sockets, one replica that holds all shards.
type networkFixture struct {
	*testing.T
	e       *exchange.Exchange
	replica *standin.Replica
}

func newNetworkFixture(t *testing.T, script standin.Script) *networkFixture {
	t.Helper()
	r, err := standin.NewReplica("r", script)
	if err != nil {
		t.Fatal(err)
	}
	cfg := &config.Config{
		Policy: policy.Config{
			Resolution: 0.001, Coordinators: 1, Cancel: true, Cells: 1, Reach: 1, Shards: 4, MaxPartsPerCall: 2, ColdCapacity: 1,
			Classes: []policy.Class{
				{Promise: 30, GiveUp: 60, Need: 1, Floor: 1, Points: 1},
				{Promise: 30, GiveUp: 60, Need: 1, Floor: 1, Points: 1, FollowUp: 2},
			},
		},
		Names: &settings.Names{Classes: []string{"plain", "steps"}},
		Limits: config.Limits{
			CallParts: 2, AnswerBy: 40 * time.Millisecond, TellEvery: time.Hour, StepGap: time.Millisecond, LogEvery: time.Second,
			ReplicaLinks: 8, PerReplica: 2, Streams: 8, FrameBytes: 1 << 16, ConnectTime: testTimeout, FrameTime: testTimeout,
			ReplicaIdle: testTimeout, Silence: testTimeout, Remember: testTimeout, ProbeTime: testTimeout, WriteTime: testTimeout,
		},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := exchange.New(cfg, logrus.NewEntry(log))
	pool := replica.New(cfg, e, logrus.NewEntry(log))
	e.Connect(pool, nil)
	e.UpdateReplicas(exchange.ReplicaList{Full: true, Entries: []exchange.Endpoint{{Name: "r", Address: r.Address(), Size: 1}}})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { e.Run(ctx); close(ended) }()
	t.Cleanup(func() { stop(); <-ended; pool.Close(); r.Close() })
	return &networkFixture{t, e, r}
}

func newQuery(id string, class int, shards ...int) (*exchange.Query, chan exchange.Reply) {
	now, replies := time.Now(), make(chan exchange.Reply, 2)
	q := &exchange.Query{ID: id, Class: class, Tenant: -1, Received: now, Due: now.Add(testTimeout), Text: []byte("t")}
	for _, shard := range shards {
		q.Parts = append(q.Parts, exchange.Part{Shard: shard, Weight: 1 / float64(len(shards))})
	}
	q.Reply = func(r exchange.Reply) { replies <- r }
	return q, replies
}

// runQuery runs a query to its end. By then the exchange has handled all messages from before it.
func (s *networkFixture) runQuery(id string) {
	s.Helper()
	q, replies := newQuery(id, 0, 0)
	s.e.Submit(q)
	select {
	case r := <-replies:
		if r.Status != exchange.Served {
			s.Fatalf("%+v", r)
		}
	case <-time.After(testTimeout):
		s.Fatal("the query got no reply")
	}
}

// No attempt is sent for a query whose client disconnected before the query was submitted.
func TestNoAttemptAfterClientGone(t *testing.T) {
	s := newNetworkFixture(t, func(standin.Asked) standin.Does { return standin.Does{Value: []byte("v")} })
	q, replies := newQuery("q", 0, 1, 2)
	s.e.ClientGone(q)
	s.e.Submit(q)
	s.runQuery("after")
	for _, a := range s.replica.Asked() {
		if a.ID != "after.0" {
			t.Errorf("asked for %s", a.ID)
		}
	}
	if len(replies) != 0 {
		t.Error("a query got a reply after its client had disconnected")
	}
}

// If the client disconnects just before the last value of the first step arrives, no part of the second step is sent.
func TestNoSecondStepAfterClientGone(t *testing.T) {
	var s *networkFixture
	abandoned, _ := newQuery("q", 1, 1, 2)
	ready := make(chan struct{})
	s = newNetworkFixture(t, func(a standin.Asked) standin.Does {
		if a.ID == "q.2" {
			<-ready
			s.e.ClientGone(abandoned)
		}
		return standin.Does{Value: []byte("v")}
	})
	close(ready)
	s.e.Submit(abandoned)
	for end := time.Now().Add(testTimeout); len(s.replica.Asked()) < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the first step did not start")
		}
	}
	s.runQuery("after")
	s.runQuery("again") // a second query, so that a turn for the second step has passed
	for _, a := range s.replica.Asked() {
		if a.ID != "q.1" && a.ID != "q.2" && a.ID != "after.0" && a.ID != "again.0" {
			t.Errorf("asked for %s", a.ID)
		}
	}
}
