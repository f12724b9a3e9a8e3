package agreedstate

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/statemachine"
)

func tick(t *testing.T, at time.Duration) []byte {
	t.Helper()
	raw, err := statemachine.Command{V: statemachine.Version, ID: fmt.Sprint(at), Part: MaintenancePart, Kind: "tick", At: at, Body: []byte("{}")}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// A copy without a seat goes on from words: entries in order, none twice, none after a gap, a snapshot only forwards. One
// that can't be understood halts it.
func TestCopyAppliesRepliesInOrder(t *testing.T) {
	c := New()
	entry := func(index uint64) peerproto.Entry {
		return peerproto.Entry{Index: index, Raw: tick(t, time.Duration(index))}
	}
	for _, step := range []struct {
		w     peerproto.Reply
		index uint64
		wrong bool
	}{
		{peerproto.Reply{After: 0, Index: 5, Entries: []peerproto.Entry{entry(3), entry(5)}}, 5, false},
		{peerproto.Reply{After: 3, Index: 7, Entries: []peerproto.Entry{entry(5), entry(7)}}, 7, false}, // of a poll before
		{peerproto.Reply{After: 9, Index: 11, Entries: []peerproto.Entry{entry(11)}}, 7, true},
		{peerproto.Reply{After: 7, Index: 9}, 7, false},
		{peerproto.Reply{Index: 20, Snapshot: []byte("torn")}, 7, true},
	} {
		if err := c.ApplyReply(step.w); (err != nil) != step.wrong || c.Machine.Index() != step.index {
			t.Errorf("%+v: %v, stands at %d", step.w, err, c.Machine.Index())
		}
	}
	snapshot, err := c.Machine.Save()
	if err != nil {
		t.Fatal(err)
	}
	d := New()
	if err := d.ApplyReply(peerproto.Reply{Index: 7, Snapshot: snapshot}); err != nil || d.Machine.Digest() != c.Machine.Digest() {
		t.Errorf("%v, another state", err)
	}
	if err := d.ApplyReply(peerproto.Reply{After: 7, Index: 8, Entries: []peerproto.Entry{{Index: 8, Raw: []byte(`{"v":9}`)}}}); err != nil {
		t.Error(err)
	}
	if err := d.ApplyReply(peerproto.Reply{After: 7, Index: 9, Entries: []peerproto.Entry{entry(9)}}); err != nil || d.Machine.Halted() == nil || d.Machine.Index() != 7 {
		t.Errorf("%v, halted %v at %d", err, d.Machine.Halted(), d.Machine.Index())
	}
}

// A copy takes the state of a newer era in place of its own, however far its own index is, and nothing more of an older one.
func TestCopyLoadsStateOfNewerEpoch(t *testing.T) {
	c, behind := New(), New()
	entry := func(index uint64) peerproto.Entry {
		return peerproto.Entry{Index: index, Raw: tick(t, time.Duration(index))}
	}
	for to, index := range map[*Copy]uint64{c: 9, behind: 4} {
		if err := to.ApplyReply(peerproto.Reply{Index: index, Entries: []peerproto.Entry{entry(index)}}); err != nil {
			t.Fatal(err)
		}
	}
	snapshot, err := (&Restored{Copy: behind, StoppedBy: time.Now()}).Save()
	if err != nil {
		t.Fatal(err)
	}
	era := behind.Epoch()
	if err := c.ApplyReply(peerproto.Reply{Index: 10, Epoch: era, Entries: []peerproto.Entry{entry(10)}}); err == nil || c.Machine.Index() != 9 {
		t.Errorf("entries of a newer era were taken: %v", err)
	}
	if err := c.ApplyReply(peerproto.Reply{Index: 4, Epoch: era, Snapshot: snapshot}); err != nil || c.Machine.Index() != 4 || c.Epoch() != era {
		t.Errorf("%v: stands at %d of era %d", err, c.Machine.Index(), c.Epoch())
	}
	old, err := New().Machine.Save()
	if err != nil {
		t.Fatal(err)
	}
	for _, w := range []peerproto.Reply{{Index: 12, Entries: []peerproto.Entry{entry(12)}}, {Index: 12, Snapshot: old}} {
		if err := c.ApplyReply(w); err == nil || c.Machine.Index() != 4 || c.Epoch() != era {
			t.Errorf("a word of an older era was taken: %v", err)
		}
	}
}

// What programs without lanes have saved is read, and what is saved while there are none is read by them.
func TestStateWithoutLanesIsCompatible(t *testing.T) {
	older := statemachine.New(map[string]statemachine.Part{MaintenancePart: maintenance.New(), SessionsPart: session.New()})
	if err := older.Apply(3, tick(t, 5)); err != nil {
		t.Fatal(err)
	}
	raw, err := older.Save()
	c := New()
	if err != nil || c.ApplyReply(peerproto.Reply{Index: 3, Snapshot: raw}) != nil || c.Machine.Index() != 3 {
		t.Fatal(err, c.Machine.Index())
	}
	if same, err := c.Machine.Save(); err != nil || !bytes.Equal(raw, same) || older.Load(same) != nil {
		t.Errorf("%v: %s", err, same)
	}
}
