package fleet

import (
	"strings"
	"testing"

	"birchcart/internal/operator"
	"birchcart/internal/settings"
	"birchcart/policy"
)

// A pinned class that must not run twice needs a lease that outlasts its clients; one that may needs none.
func TestSessionsNeedALeaseThatOutlastsTheirQueries(t *testing.T) {
	names := &settings.Names{Classes: []string{"report", "tally"}}
	cfg := &policy.Config{Classes: []policy.Class{{GiveUp: 60}, {GiveUp: 4, Effect: policy.Unsafe}}}
	f := &operator.Fleet{Lease: 4500, Grace: 1000, Sessions: &operator.Sessions{Classes: []string{"report", "tally"}}}
	if err := fitsSessions(f, names, cfg); err != nil {
		t.Errorf("4 s of 4 s: %v", err)
	}
	f.Lease = 4499
	if err := fitsSessions(f, names, cfg); err == nil || !strings.Contains(err.Error(), `classes[1]: "tally" stands there`) {
		t.Errorf("under it: %v", err)
	}
	if f.Sessions = nil; fitsSessions(f, names, cfg) != nil {
		t.Error("refused without sessions")
	}
}
