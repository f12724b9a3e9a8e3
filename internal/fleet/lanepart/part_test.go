package lanepart

import (
	"bytes"
	"strings"
	"testing"

	"birchcart/internal/fleet/agreedstate"

	"github.com/sirupsen/logrus"

	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/operator"
	"birchcart/internal/settings"
)

// A co-ordinator applies the section in its copy of the agreed state and returns its revision. A file with a section that is too
// large is rejected.
func TestInForceFollowsAgreedState(t *testing.T) {
	names := &settings.Names{Classes: []string{"q"}}
	f := &operator.File{Fleet: &operator.Fleet{Revision: 4, Lanes: &operator.Lanes{Slot: 10, Lanes: []operator.Lane{{Name: "all", Floor: 0.1}}}}}
	var out bytes.Buffer
	log := logrus.New()
	log.Out = &out
	state := agreedstate.New()
	if err := Validate(f, names); err != nil {
		t.Fatal(err)
	}
	p := New(Host{State: state, Names: names, Log: logrus.NewEntry(log)}, f)
	if set, changed, applied := p.inForce(1, 0); set == nil || !changed || applied != 0 || !strings.Contains(out.String(), "no lanes section is in force") {
		t.Errorf("%v %v %d: %s", set, changed, applied, out.String())
	}
	b, err := laneconfig.NewSetBody(f.Fleet.Lanes, 4)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := encodeCommand("l", 7, b)
	if err != nil || state.Machine.Apply(1, raw) != nil {
		t.Fatal(err)
	}
	for peerRevision, behind := range map[int]bool{4: false, 5: true} {
		out.Reset()
		if set, changed, applied := p.inForce(1, peerRevision); set == nil || changed || applied != 4 || strings.Contains(out.String(), "is behind") != behind {
			t.Errorf("peer revision %d: %v %v %d: %s", peerRevision, set, changed, applied, out.String())
		}
	}
	fields := logrus.Fields{}
	if p.AddSummary(fields); fields["lanes_revision"] != 4 {
		t.Error(fields)
	}
	f.Fleet.Lanes.Header = strings.Repeat("x", laneconfig.MaxTextSize)
	if err := Validate(f, names); err == nil || !strings.HasPrefix(err.Error(), "$.fleet.lanes: ") {
		t.Error(err)
	}
}
