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

// patience is how long a busy machine may take to what comes within milliseconds on a quiet one.
const patience = time.Minute

// sockets is an exchange that runs over one replica on loopback, which holds all shards.
type sockets struct {
	*testing.T
	e *exchange.Exchange
	r *standin.Replica
}

func newSockets(t *testing.T, script standin.Script) *sockets {
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
			ReplicaLinks: 8, PerReplica: 2, Streams: 8, FrameBytes: 1 << 16, ConnectTime: patience, FrameTime: patience,
			ReplicaIdle: patience, Silence: patience, Remember: patience, ProbeTime: patience, WriteTime: patience,
		},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := exchange.New(cfg, logrus.NewEntry(log))
	pool := replica.New(cfg, e, logrus.NewEntry(log))
	e.Join(pool, nil)
	e.UpdateReplicas(exchange.ReplicaList{Full: true, Entries: []exchange.Endpoint{{Name: "r", Address: r.Address(), Size: 1}}})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { e.Run(ctx); close(ended) }()
	t.Cleanup(func() { stop(); <-ended; pool.Close(); r.Close() })
	return &sockets{t, e, r}
}

func query(id string, class int, shards ...int) (*exchange.Query, chan exchange.Reply) {
	now, replies := time.Now(), make(chan exchange.Reply, 2)
	q := &exchange.Query{ID: id, Class: class, Tenant: -1, Received: now, Due: now.Add(patience), Text: []byte("t")}
	for _, shard := range shards {
		q.Parts = append(q.Parts, exchange.Part{Shard: shard, Weight: 1 / float64(len(shards))})
	}
	q.Reply = func(r exchange.Reply) { replies <- r }
	return q, replies
}

// served runs a query to its end: all that was handed on before it has been taken by then.
func (s *sockets) served(id string) {
	s.Helper()
	q, replies := query(id, 0, 0)
	s.e.Submit(q)
	select {
	case r := <-replies:
		if r.Status != exchange.Served {
			s.Fatalf("%+v", r)
		}
	case <-time.After(patience):
		s.Fatal("no answer came")
	}
}

// The replica is asked nothing for a client whose leaving overtook its query.
func TestNothingReachesAReplicaForAClientThatLeft(t *testing.T) {
	s := newSockets(t, func(standin.Asked) standin.Does { return standin.Does{Value: []byte("v")} })
	q, replies := query("q", 0, 1, 2)
	s.e.ClientGone(q)
	s.e.Submit(q)
	s.served("after")
	for _, a := range s.r.Asked() {
		if a.ID != "after.0" {
			t.Errorf("asked for %s", a.ID)
		}
	}
	if len(replies) != 0 {
		t.Error("a client that has left was answered")
	}
}

// A client leaves just before the last value of its first step is in: the replica is asked for no part of the second.
func TestNoSecondStepReachesAReplicaForAClientThatLeft(t *testing.T) {
	var s *sockets
	left, _ := query("q", 1, 1, 2)
	ready := make(chan struct{})
	s = newSockets(t, func(a standin.Asked) standin.Does {
		if a.ID == "q.2" {
			<-ready
			s.e.ClientGone(left)
		}
		return standin.Does{Value: []byte("v")}
	})
	close(ready)
	s.e.Submit(left)
	for end := time.Now().Add(patience); len(s.r.Asked()) < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the first step did not begin")
		}
	}
	s.served("after")
	s.served("again") // a turn for each step
	for _, a := range s.r.Asked() {
		if a.ID != "q.1" && a.ID != "q.2" && a.ID != "after.0" && a.ID != "again.0" {
			t.Errorf("asked for %s", a.ID)
		}
	}
}
