package replica

import (
	"testing"

	"birchcart/internal/exchange"
	"birchcart/policy"
)

// fakeFeatureServers is an exchange.Replicas for feature servers that records the state of each target.
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

// A replica that is listed again under its name as a feature server must get no more frames, not even for calls that wait for
// a connection. If it changes back, the feature servers' implementation must get it as removed.
func TestReplicaChangesKind(t *testing.T) {
	s := newFixture(t, testLimits())
	features := &fakeFeatureServers{targets: map[uint64]policy.Readiness{}}
	mux := NewMux(s.pool, features)
	release := s.holdDials()
	target := exchange.Target{Replica: 1, Name: "r", Address: s.ln.Addr().String(), State: policy.Up}
	mux.Update([]exchange.Target{target})
	queued := attempt("q.1")
	mux.Send(1, []*exchange.Attempt{queued})
	target.Kind = KindFeatures
	mux.Update([]exchange.Target{target})
	if r := s.sink.nextResult(t); r.Attempt != queued || r.Outcome != policy.NotSent {
		t.Errorf("%+v", r)
	}
	release()
	s.accept().expectNoFrame()
	if state, found := features.targets[1]; !found || state != policy.Up {
		t.Errorf("the feature servers have state %v, found %v, want up", state, found)
	}
	target.Kind = ""
	mux.Update([]exchange.Target{target})
	if state := features.targets[1]; state != policy.Removed {
		t.Errorf("the feature servers have state %v, want removed", state)
	}
}
