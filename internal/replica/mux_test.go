package replica

import (
	"testing"

	"birchcart/internal/exchange"
	"birchcart/policy"
)

// servers stands in for the side of feature servers.
type fakeFeatureServers struct {
	exchange.Replicas
	targets map[uint64]policy.Readiness
}

func (s *fakeFeatureServers) Update(changed []exchange.Target) {
	for _, t := range changed {
		s.targets[t.Replica] = t.State
	}
}

func (s *fakeFeatureServers) Cancel(*exchange.Attempt) (found, sent bool) { return false, false }

// A replica that comes again as a feature server under its name gets nothing by frames any more, also nothing that waits
// for a connection, and the other way round.
func TestReplicaChangesKind(t *testing.T) {
	s := newFixture(t, testLimits())
	features := &fakeFeatureServers{targets: map[uint64]policy.Readiness{}}
	mux := NewMux(s.pool, features)
	open := s.holdDials()
	target := exchange.Target{Replica: 1, Name: "r", Address: s.ln.Addr().String(), State: policy.Up}
	mux.Update([]exchange.Target{target})
	waits := attempt("q.1")
	mux.Send(1, []*exchange.Attempt{waits})
	target.Kind = KindFeatures
	mux.Update([]exchange.Target{target})
	if r := s.sink.nextResult(t); r.Attempt != waits || r.Outcome != policy.NotSent {
		t.Errorf("%+v", r)
	}
	open()
	s.accept().expectNoFrame()
	if state, had := features.targets[1]; !had || state != policy.Up {
		t.Errorf("the feature servers' side has state %v, %v", state, had)
	}
	target.Kind = ""
	mux.Update([]exchange.Target{target})
	if state := features.targets[1]; state != policy.Removed {
		t.Errorf("the feature servers' side has state %v", state)
	}
}
