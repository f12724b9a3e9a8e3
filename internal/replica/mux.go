package replica

import (
	"sync"

	"birchcart/internal/exchange"
	"birchcart/policy"
)

// KindFeatures is the type that discovery's list gives to replicas that are feature servers.
const KindFeatures = "ogc"

// Mux implements exchange.Replicas on top of two implementations: one for feature servers, and one for all other replicas,
// which speak the frame protocol.
type Mux struct {
	frames, features exchange.Replicas

	mu              sync.Mutex
	isFeatureServer map[uint64]bool // by replica
}

// NewMux returns a Mux of the implementation for the frame protocol and the one for feature servers.
func NewMux(frames, features exchange.Replicas) *Mux {
	return &Mux{frames: frames, features: features, isFeatureServer: map[uint64]bool{}}
}

// sideFor returns the implementation that serves a replica.
func (m *Mux) sideFor(replica uint64) exchange.Replicas {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isFeatureServer[replica] {
		return m.features
	}
	return m.frames
}

// Update passes each changed target to the implementation that serves it. If a replica changes its kind, the other
// implementation gets it as removed.
func (m *Mux) Update(changed []exchange.Target) {
	var frames, features []exchange.Target
	m.mu.Lock()
	for _, t := range changed {
		same, other := &frames, &features
		isFeature := t.Kind == KindFeatures
		if isFeature {
			same, other = &features, &frames
		}
		if wasFeature, known := m.isFeatureServer[t.Replica]; known && wasFeature != isFeature {
			removed := t
			removed.State = policy.Removed
			*other = append(*other, removed)
		}
		if m.isFeatureServer[t.Replica] = isFeature; t.State == policy.Removed {
			delete(m.isFeatureServer, t.Replica)
		}
		*same = append(*same, t)
	}
	m.mu.Unlock()
	m.frames.Update(frames)
	m.features.Update(features)
}

// Send sends the attempts to a replica as one call.
func (m *Mux) Send(replica uint64, call []*exchange.Attempt) { m.sideFor(replica).Send(replica, call) }

// CheckHealth sends a health check to a replica, or asks for its load report.
func (m *Mux) CheckHealth(replica uint64) { m.sideFor(replica).CheckHealth(replica) }

// Cancel cancels an attempt at the implementation that has it. found is false if the attempt has ended; sent reports that
// it may have run.
func (m *Mux) Cancel(a *exchange.Attempt) (found, sent bool) {
	if found, sent = m.frames.Cancel(a); found {
		return found, sent
	}
	return m.features.Cancel(a)
}

// CancelUnsent withdraws an attempt that has not been written from the implementation that has it, and reports whether
// it did.
func (m *Mux) CancelUnsent(a *exchange.Attempt) bool {
	return m.frames.CancelUnsent(a) || m.features.CancelUnsent(a)
}
