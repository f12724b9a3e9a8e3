package replica

import (
	"sync"

	"birchcart/internal/exchange"
	"birchcart/policy"
)

// KindFeatures is the type, on discovery's list, of replicas that are feature servers.
const KindFeatures = "ogc"

// Mux is a replica side of two: feature servers, and all others, which speak frames.
type Mux struct {
	frames, features exchange.Replicas

	mu              sync.Mutex
	isFeatureServer map[uint64]bool // by replica: whether it is a feature server
}

// NewMux puts two replica sides together.
func NewMux(frames, features exchange.Replicas) *Mux {
	return &Mux{frames: frames, features: features, isFeatureServer: map[uint64]bool{}}
}

func (m *Mux) sideFor(replica uint64) exchange.Replicas {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isFeatureServer[replica] {
		return m.features
	}
	return m.frames
}

// Update passes each target to the side that speaks with it; one that changes its kind is gone from the other.
func (m *Mux) Update(changed []exchange.Target) {
	var frames, features []exchange.Target
	m.mu.Lock()
	for _, t := range changed {
		own, other := &frames, &features
		isFeature := t.Kind == KindFeatures
		if isFeature {
			own, other = &features, &frames
		}
		if was, known := m.isFeatureServer[t.Replica]; known && was != isFeature {
			gone := t
			gone.State = policy.Removed
			*other = append(*other, gone)
		}
		if m.isFeatureServer[t.Replica] = isFeature; t.State == policy.Removed {
			delete(m.isFeatureServer, t.Replica)
		}
		*own = append(*own, t)
	}
	m.mu.Unlock()
	m.frames.Update(frames)
	m.features.Update(features)
}

// Send sends attempts as one call.
func (m *Mux) Send(replica uint64, call []*exchange.Attempt) { m.sideFor(replica).Send(replica, call) }

// CheckHealth asks for a sign of life.
func (m *Mux) CheckHealth(replica uint64) { m.sideFor(replica).CheckHealth(replica) }

// Cancel takes back an attempt from the side that has it.
func (m *Mux) Cancel(a *exchange.Attempt) (found, sent bool) {
	if found, sent = m.frames.Cancel(a); found {
		return found, sent
	}
	return m.features.Cancel(a)
}

// CancelUnsent takes back an attempt that is not yet written from the side that has it.
func (m *Mux) CancelUnsent(a *exchange.Attempt) bool {
	return m.frames.CancelUnsent(a) || m.features.CancelUnsent(a)
}
