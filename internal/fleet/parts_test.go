package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/raftgroup"
	"birchcart/internal/fleet/statemachine"
	"birchcart/internal/operator"
)

func TestMain(m *testing.M) {
	if part := os.Getenv(restPart); part != "" {
		playRest(part)
		return
	}
	goleak.VerifyTestMain(m)
}

// Of a full mail box the oldest letters go, and nobody waits.
func TestMailDropsTheOldest(t *testing.T) {
	m := newMail()
	for i := range MailMost + 10 {
		m.put(letter{from: fmt.Sprint(i)})
	}
	if first := <-m.queue; first.from != "10" || m.dropped.Load() != 10 || len(m.queue) != MailMost-1 {
		t.Errorf("the first is %s of %d, %d were dropped", first.from, len(m.queue), m.dropped.Load())
	}
}

func tick(t *testing.T, at time.Duration) []byte {
	t.Helper()
	raw, err := statemachine.Command{V: statemachine.Version, ID: fmt.Sprint(at), Part: part, Kind: "tick", At: at, Body: []byte("{}")}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// A copy without a seat goes on from words: entries in order, none twice, none after a gap, a snapshot only forwards. One
// that can't be understood halts it.
func TestCopyTakesWords(t *testing.T) {
	c := newCopy()
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
		if err := c.take(step.w); (err != nil) != step.wrong || c.stateMachine.Index() != step.index {
			t.Errorf("%+v: %v, stands at %d", step.w, err, c.stateMachine.Index())
		}
	}
	snapshot, err := c.stateMachine.Save()
	if err != nil {
		t.Fatal(err)
	}
	d := newCopy()
	if err := d.take(peerproto.Reply{Index: 7, Snapshot: snapshot}); err != nil || d.stateMachine.Digest() != c.stateMachine.Digest() {
		t.Errorf("%v, another state", err)
	}
	if err := d.take(peerproto.Reply{After: 7, Index: 8, Entries: []peerproto.Entry{{Index: 8, Raw: []byte(`{"v":9}`)}}}); err != nil {
		t.Error(err)
	}
	if err := d.take(peerproto.Reply{After: 7, Index: 9, Entries: []peerproto.Entry{entry(9)}}); err != nil || d.stateMachine.Halted() == nil || d.stateMachine.Index() != 7 {
		t.Errorf("%v, halted %v at %d", err, d.stateMachine.Halted(), d.stateMachine.Index())
	}
}

// A copy takes the state of a newer era in place of its own, however far its own index is, and nothing more of an older one.
func TestCopyTakesANewerEra(t *testing.T) {
	c, behind := newCopy(), newCopy()
	entry := func(index uint64) peerproto.Entry {
		return peerproto.Entry{Index: index, Raw: tick(t, time.Duration(index))}
	}
	for to, index := range map[*copied]uint64{c: 9, behind: 4} {
		if err := to.take(peerproto.Reply{Index: index, Entries: []peerproto.Entry{entry(index)}}); err != nil {
			t.Fatal(err)
		}
	}
	snapshot, err := (&renewed{behind, time.Now()}).Save()
	if err != nil {
		t.Fatal(err)
	}
	era := behind.era()
	if err := c.take(peerproto.Reply{Index: 10, Epoch: era, Entries: []peerproto.Entry{entry(10)}}); err == nil || c.stateMachine.Index() != 9 {
		t.Errorf("entries of a newer era were taken: %v", err)
	}
	if err := c.take(peerproto.Reply{Index: 4, Epoch: era, Snapshot: snapshot}); err != nil || c.stateMachine.Index() != 4 || c.era() != era {
		t.Errorf("%v: stands at %d of era %d", err, c.stateMachine.Index(), c.era())
	}
	old, err := newCopy().stateMachine.Save()
	if err != nil {
		t.Fatal(err)
	}
	for _, w := range []peerproto.Reply{{Index: 12, Entries: []peerproto.Entry{entry(12)}}, {Index: 12, Snapshot: old}} {
		if err := c.take(w); err == nil || c.stateMachine.Index() != 4 || c.era() != era {
			t.Errorf("a word of an older era was taken: %v", err)
		}
	}
}

// What an outlived seat leaves is kept, and no seat finds it.
func TestASeatOfBeforeIsPutAside(t *testing.T) {
	dir := t.TempDir()
	for range AsideMost {
		if err := os.WriteFile(filepath.Join(dir, "council.db"), nil, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := asideTo(dir, "era-1"); err != nil {
			t.Fatal(err)
		}
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "era-1*", "council.db")); len(left) != AsideMost {
		t.Errorf("%v", left)
	}
	if asideTo(dir, "era-1") == nil {
		t.Error("without end")
	}
}

// The file is whole whenever it is read, and the newest of what waits is written. What can't be written is told of once.
func TestGrantsFileIsReplacedWhole(t *testing.T) {
	dir := t.TempDir()
	var said strings.Builder
	log := logrus.New()
	log.SetOutput(&said)
	w := newWriter(filepath.Join(dir, "grants"), logrus.NewEntry(log))
	for i := range 500 {
		w.put(grantsFile{Version: GrantsVersion, Index: uint64(i), Items: []maintenance.Item{{Machine: "r", Reason: strings.Repeat("x", i)}}})
	}
	w.close()
	var f grantsFile
	raw, err := os.ReadFile(filepath.Join(dir, "grants"))
	if err != nil || json.Unmarshal(raw, &f) != nil || f.Index != 499 {
		t.Errorf("%v, index %d", err, f.Index)
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "*")); len(left) != 1 {
		t.Errorf("%v are left", left)
	}
	w = newWriter(filepath.Join(dir, "none", "grants"), logrus.NewEntry(log))
	w.put(grantsFile{})
	w.close()
	if strings.Count(said.String(), "can't be written") != 1 {
		t.Error(said.String())
	}
}

func TestItemsOfTheFileAreBounded(t *testing.T) {
	var all []maintenance.Item
	for i := range ItemsMost + 100 {
		all = append(all, maintenance.Item{Machine: fmt.Sprint(i), EndedAt: time.Duration(i%2) * time.Hour})
	}
	if out := shown(slices.Clone(all), time.Hour); len(out) != ItemsMost || slices.ContainsFunc(out[:100], func(it maintenance.Item) bool { return it.EndedAt > 0 }) {
		t.Errorf("%d items, the first ended ones among them", len(out))
	}
	if out := shown(all, time.Hour+ItemsFor+1); len(out) != ItemsMost/2+50 {
		t.Errorf("%d items", len(out))
	}
}

// What the process before had laid is taken over while its time runs; another version and a torn file are told of.
func TestDrainsOfTheProcessBefore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "laid.json")
	if kept, err := readLaid(path, 0); err != nil || len(kept) > 0 {
		t.Errorf("%v %v", kept, err)
	}
	if err := replace(path, laidDrains{LaidVersion, []laidLine{{Machine: "a", Until: 10}, {Machine: "b", Until: 20, Era: 2}}}); err != nil {
		t.Fatal(err)
	}
	if kept, err := readLaid(path, 10); err != nil || !reflect.DeepEqual(kept, []laidLine{{Machine: "b", Until: 20, Era: 2}}) {
		t.Errorf("%v %v", kept, err)
	}
	for _, text := range []string{`{"version":2}`, `{"version":1,`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := readLaid(path, 0); err == nil {
			t.Errorf("%s was read", text)
		}
	}
}

// The raft group's voters become those of the file one at a time, and never before the new one's seat is open. A seat
// without a vote for the change, and one that is named no more, are left as they are.
func TestOneVoterAtATime(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	seat, err := raftgroup.Open(raftgroup.Options{
		Name: "a", Dir: t.TempDir(), Bind: "127.0.0.1:0", Voters: []raftgroup.Voter{{Name: "a", Addr: "127.0.0.1:1"}}, Bootstrap: true,
		Machine: newCopy().stateMachine, Log: logrus.NewEntry(log),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer seat.Close()
	file := func(names ...string) *operator.Fleet {
		f := &operator.Fleet{Voters: map[string]operator.Voter{}}
		for _, n := range names {
			f.Voters[n] = operator.Voter{Address: "127.0.0.1:2"}
		}
		return f
	}
	if l := change(seat, "a", file("a"), nil); l.did != "" || l.err != nil {
		t.Errorf("%+v", l)
	}
	if l := change(seat, "a", file("a", "b"), map[string]bool{"b": false}); l.did != "" || l.err != nil {
		t.Errorf("one whose seat is not open: %+v", l)
	}
	if l := change(seat, "a", file("b"), map[string]bool{"b": true}); !strings.Contains(l.did, "handed over") {
		t.Errorf("the own seat: %+v", l)
	}
	if l := change(seat, "a", file("a", "b", "c"), map[string]bool{"b": true, "c": true}); l.did != `voter "" goes, voter "b" comes` || l.err == nil {
		t.Errorf("one that nobody answers for: %+v", l)
	}
}

func TestWhoVotesIsBounded(t *testing.T) {
	raw := seats{Answer: true, Voters: []string{"a", "b"}}.encode()
	if s, err := decodeSeats(raw); !isSeats(raw) || err != nil || len(s.Voters) != 2 {
		t.Errorf("%+v %v", s, err)
	}
	if _, err := peerproto.Decode(raw); err == nil {
		t.Error("it is taken for another message")
	}
	if _, err := decodeSeats(append(raw, make([]byte, seatsMost)...)); err == nil {
		t.Error("one that is too large was read")
	}
}

// One that has heard nothing for a while asks whom a voter names, though the file does not have that one as a voter any
// more: it leads until another has its seat. It asks so once for each poll: two that name each other keep nobody busy.
func TestALeaderThatIsToVoteNoMoreIsFound(t *testing.T) {
	n := &Node{name: "e", names: []string{"a", "b", "e"}, silent: 9, leader: "gone"}
	n.sent = peerproto.Poll{Sequence: 7}
	if n.sentTo = n.whom(); n.sentTo != "b" || n.leader != "" {
		t.Fatalf("asks %q, leader %q", n.sentTo, n.leader)
	}
	for _, no := range []peerproto.Reply{{Sequence: 6, Leader: "old"}, {Sequence: 7}, {Sequence: 7, Leader: "b"}, {Sequence: 7, Leader: "e"}} {
		if n.named(no) {
			t.Errorf("%+v is followed", no)
		}
	}
	if !n.named(peerproto.Reply{Sequence: 7, Leader: "old"}) || n.leader != "old" {
		t.Errorf("the leader that was named is not asked: %q", n.leader)
	}
	n.sentTo = "old"
	if n.named(peerproto.Reply{Sequence: 7, Leader: "a"}) {
		t.Error("a poll is sent on a second time")
	}
	if n.sent.Sequence = 8; !n.named(peerproto.Reply{Sequence: 8, Leader: "a"}) {
		t.Error("the next poll is not sent on")
	}
	for range 4 {
		if to := n.whom(); to == "e" || to == "" {
			t.Errorf("asks %q", to)
		}
	}
}
