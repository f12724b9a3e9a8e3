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

// tick returns the encoded tick command of an agreed time.
func tick(t *testing.T, at time.Duration) []byte {
	t.Helper()
	raw, err := statemachine.Command{V: statemachine.Version, ID: fmt.Sprint(at), Part: MaintenancePart, Kind: "tick", At: at, Body: []byte("{}")}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// A copy without a raft group applies replies: entries in order, none twice, none after a gap, and a snapshot only if it is newer. A
// command of an unknown version halts it.
func TestCopyAppliesRepliesInOrder(t *testing.T) {
	c := New()
	entry := func(index uint64) peerproto.Entry {
		return peerproto.Entry{Index: index, Raw: tick(t, time.Duration(index))}
	}
	for _, step := range []struct {
		reply peerproto.Reply
		index uint64
		fails bool
	}{
		{peerproto.Reply{After: 0, Index: 5, Entries: []peerproto.Entry{entry(3), entry(5)}}, 5, false},
		{peerproto.Reply{After: 3, Index: 7, Entries: []peerproto.Entry{entry(5), entry(7)}}, 7, false}, // reply to an earlier poll, overlapping
		{peerproto.Reply{After: 9, Index: 11, Entries: []peerproto.Entry{entry(11)}}, 7, true},
		{peerproto.Reply{After: 7, Index: 9}, 7, false},
		{peerproto.Reply{Index: 20, Snapshot: []byte("torn")}, 7, true},
	} {
		if err := c.ApplyReply(step.reply); (err != nil) != step.fails || c.Machine.Index() != step.index {
			t.Errorf("%+v: %v, index %d", step.reply, err, c.Machine.Index())
		}
	}
	snapshot, err := c.Machine.Save()
	if err != nil {
		t.Fatal(err)
	}
	d := New()
	if err := d.ApplyReply(peerproto.Reply{Index: 7, Snapshot: snapshot}); err != nil || d.Machine.Digest() != c.Machine.Digest() {
		t.Errorf("%v, or the loaded state differs", err)
	}
	if err := d.ApplyReply(peerproto.Reply{After: 7, Index: 8, Entries: []peerproto.Entry{{Index: 8, Raw: []byte(`{"v":9}`)}}}); err != nil {
		t.Error(err)
	}
	if err := d.ApplyReply(peerproto.Reply{After: 7, Index: 9, Entries: []peerproto.Entry{entry(9)}}); err != nil || d.Machine.Halted() == nil || d.Machine.Index() != 7 {
		t.Errorf("%v, halted %v at %d", err, d.Machine.Halted(), d.Machine.Index())
	}
}

// A copy replaces its state by that of a newer epoch, even if its own index is higher, and then refuses replies of the older epoch.
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
	epoch := behind.Epoch()
	if err := c.ApplyReply(peerproto.Reply{Index: 10, Epoch: epoch, Entries: []peerproto.Entry{entry(10)}}); err == nil || c.Machine.Index() != 9 {
		t.Errorf("entries of a newer epoch were applied: %v", err)
	}
	if err := c.ApplyReply(peerproto.Reply{Index: 4, Epoch: epoch, Snapshot: snapshot}); err != nil || c.Machine.Index() != 4 || c.Epoch() != epoch {
		t.Errorf("%v: index %d of epoch %d", err, c.Machine.Index(), c.Epoch())
	}
	old, err := New().Machine.Save()
	if err != nil {
		t.Fatal(err)
	}
	for _, reply := range []peerproto.Reply{{Index: 12, Entries: []peerproto.Entry{entry(12)}}, {Index: 12, Snapshot: old}} {
		if err := c.ApplyReply(reply); err == nil || c.Machine.Index() != 4 || c.Epoch() != epoch {
			t.Errorf("a reply of an older epoch was applied: %v", err)
		}
	}
}

// A state saved by a program without lanes can be loaded, and a state saved while no lanes are set can be loaded by such a program.
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
