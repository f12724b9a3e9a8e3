package fleet

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"birchcart/internal/fleet/agreedstate"
	"birchcart/internal/fleet/inventory"
	"birchcart/internal/fleet/mailbox"
	"birchcart/internal/fleet/pollqueue"

	"birchcart/internal/fleet/compress"
	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/member"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/raftgroup"
	"birchcart/internal/fleet/statemachine"
)

// randomName returns a random name of 64 bytes, so that names don't compress against each other.
func randomName(rnd *rand.Rand) string {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-"
	b := make([]byte, 64)
	for i := range b {
		b[i] = letters[rnd.IntN(len(letters))]
	}
	return string(b)
}

// largestState returns a state filled to all of its limits: machines, requests, ended items with all fields set, retained command IDs.
func largestState(t *testing.T) *agreedstate.Copy {
	// Long: fills one state to each of its limits in turn.
	rnd := rand.New(rand.NewPCG(1, 2))
	c, now, index := agreedstate.New(), time.Hour, uint64(0)
	apply := func(kind string, body any) {
		t.Helper()
		b, err := json.Marshal(body)
		if err != nil {
			t.Fatal(err)
		}
		index++
		now += time.Millisecond
		raw, err := statemachine.Command{V: 1, ID: fmt.Sprint("7-", index), Part: agreedstate.MaintenancePart, Kind: kind, At: now, Body: b}.Encode()
		if err == nil {
			err = c.Machine.Apply(index, raw)
		}
		if err != nil {
			t.Fatalf("%s: %v", kind, err)
		}
	}
	for range statemachine.MaxRetainedIDs {
		apply("tick", maintenance.TickBody{})
	}
	apply("limits", maintenance.LimitsBody{Revision: 1, Limits: maintenance.Limits{Cells: 5000, Reach: 2, Shards: 5000, MinHolders: 1, MaxOutPerZone: 1, MaxOut: 1,
		MaxLoadAge: time.Second, MaxInventoryAge: time.Second, Lease: time.Second, MaxPassedOver: 1}})
	for range 10 {
		var ms []maintenance.Machine
		for range maintenance.MaxMachines / 10 {
			ms = append(ms, maintenance.Machine{Name: randomName(rnd), Kind: maintenance.Replica, Zone: randomName(rnd)[:16], Cell: rnd.IntN(5000), Size: rnd.Float64(),
				Status: maintenance.Up, Started: time.Duration(rnd.Int64N(int64(time.Hour)))})
		}
		apply("observe", maintenance.ObserveBody{Machines: ms})
	}
	var requests maintenance.RequestsBody
	for requests.Revision = 1; len(requests.Requests) < maintenance.MaxRequests; {
		r := maintenance.Request{ID: randomName(rnd), Kind: maintenance.Replica, Reason: randomName(rnd), MaxOutage: time.Hour}
		if len(requests.Requests) > 1 { // the first two requests select all machines
			r.Kind, r.Names = "", []string{randomName(rnd)}
		}
		requests.Requests = append(requests.Requests, r)
	}
	apply("asks", requests)

	for revision := range 2 { // two sections of lanes in force, each as large as allowed
		var text []byte
		for range laneconfig.MaxPackedSize * 29 / 30 {
			text = append(text, byte(rnd.Uint32()))
		}
		sum := sha256.Sum256(text)
		z, err := compress.Pack(text)
		if err != nil || len(z) < laneconfig.MaxPackedSize*9/10 {
			t.Fatalf("%d bytes, %v", len(z), err)
		}
		index++
		body, err := json.Marshal(laneconfig.SetBody{Revision: revision + 1, Sum: hex.EncodeToString(sum[:]), Packed: z})
		if err != nil {
			t.Fatal(err)
		}
		raw, err := statemachine.Command{V: 1, ID: fmt.Sprint("l-", index), Part: laneconfig.Part, Kind: laneconfig.KindSet, At: now, Body: body}.Encode()
		if err == nil {
			err = c.Machine.Apply(index, raw)
		}
		if err != nil || len(raw) > peerproto.MaxEntrySize {
			t.Fatalf("%d bytes, %v", len(raw), err)
		}
	}

	raw, err := c.Maintenance.Save() // sets all fields of 20,000 items in the saved form, which is faster than a command for each change
	var all map[string]any
	if err != nil || json.Unmarshal(raw, &all) != nil {
		t.Fatal(err)
	}
	items, _ := all["items"].([]any)
	for i := range items {
		it := items[i].(map[string]any)
		at := int64(time.Hour) + int64(i)*1e6
		for k, v := range map[string]any{"phase": "lapsed", "fence": i + 1, "granted_at": at, "until": at + 1e12, "told_at": at + rnd.Int64N(1e9),
			"out_at": at + 1e9 + rnd.Int64N(1e9), "ended_at": at + 2e9 + rnd.Int64N(1e9), "passed": 1, "left": 9, "why": "not back by its time: counts as failed",
			"try": 3, "zone": randomName(rnd)[:16], "revision": 1, "wanted": 1, "room": rnd.Float64(), "start": rnd.Int64N(1e12), "for": 36e11} {
			it[k] = v
		}
	}
	all["fence"] = len(items) + 1
	if raw, err = json.Marshal(all); err == nil {
		err = c.Maintenance.Load(raw)
	}
	if err != nil || len(items) != maintenance.MaxItems {
		t.Fatalf("%d items: %v", len(items), err)
	}
	return c
}

// The largest state that the limits of the maintenance order allow, with names of 64 bytes, reaches a follower in one gossip
// message.
func TestLargestStateFitsOneMessage(t *testing.T) {
	if testing.Short() {
		t.Skip("with the race detector on a busy machine it takes a minute")
	}
	c := largestState(t)
	raw, err := c.Machine.Save()
	if err != nil {
		t.Fatal(err)
	}
	reply := peerproto.Reply{Sequence: 9, From: "a", Leader: "a", Term: 7, FromLeader: true}
	var s peerproto.SnapshotCache
	if err := s.SetSnapshot(&reply, raw, c.Machine.Index(), 1); err != nil {
		t.Fatal(err)
	}
	sent, err := peerproto.Encode(reply)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("a state of %d bytes, packed %d, in a message of %d", len(raw), len(reply.Packed), len(sent))
	if limit := member.MaxMessageSize - 1024; len(sent) > limit || len(raw) < 10<<20 {
		t.Errorf("message of %d bytes for a state of %d, limit %d", len(sent), len(raw), limit)
	}
	m, err := peerproto.Decode(sent)
	if err != nil {
		t.Fatal(err)
	}
	to := agreedstate.New()
	if err := to.ApplyReply(m.(peerproto.Reply)); err != nil {
		t.Fatal(err)
	}
	if received, err := to.Machine.Save(); err != nil || !bytes.Equal(received, raw) {
		t.Fatalf("the follower has another state: %v", err)
	}
	truncated := m.(peerproto.Reply)
	truncated.Packed, truncated.Index = truncated.Packed[:len(truncated.Packed)/2], truncated.Index+1
	if err := to.ApplyReply(truncated); err == nil || to.Machine.Index() != c.Machine.Index() {
		t.Errorf("a truncated state was loaded: %v", err)
	}
	// A state at another index replaces the cached one. A state that is too large, raw or packed, is refused with an error that says so.
	if err := s.SetSnapshot(&reply, []byte("small"), c.Machine.Index()+1, 1); err != nil || string(reply.Snapshot) != "small" || reply.Packed != nil {
		t.Errorf("%v, %d bytes packed", err, len(reply.Packed))
	}
	if err := s.SetSnapshot(&reply, make([]byte, peerproto.MaxStateSize+1), c.Machine.Index()+2, 1); err == nil || !strings.Contains(err.Error(), "at most") {
		t.Error(err)
	}
	noise := make([]byte, peerproto.MaxCompressedSize+1<<20)
	rnd := rand.New(rand.NewPCG(3, 4))
	for i := range noise {
		noise[i] = byte(rnd.Uint32())
	}
	if err := s.SetSnapshot(&reply, noise, c.Machine.Index()+3, 1); err == nil || !strings.Contains(err.Error(), "packed") {
		t.Error(err)
	}
}

// A poll or reply that names another sender than the gossip does is ignored, so no co-ordinator poses as another by mistake. Doing so
// on purpose requires forging the gossip message too, which needs the gossip key.
func TestMessageWithForeignSenderIsIgnored(t *testing.T) {
	n := &Node{state: agreedstate.New()}
	n.term, n.loads, n.pollQueue = 7, map[string]inventory.LoadReport{}, pollqueue.New()
	n.lastPoll.Sequence = 1
	for _, m := range []peerproto.Message{peerproto.Poll{From: "b", Sequence: 1, Drains: []peerproto.DrainStatus{{Machine: "r1", Fence: 1}}}, peerproto.Reply{From: "b", Sequence: 1, Leader: "b", Term: 9, FromLeader: true}} {
		raw, err := peerproto.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		before := len(n.controllerInputs)
		n.handleMessage(mailbox.Message{From: "a", Raw: raw})
		if len(n.controllerInputs) != before || n.pollQueue.Len() != 0 || n.leader != "" || n.pendingAnswer != nil {
			t.Errorf("%T sent by a in the name of b was accepted", m)
		}
		n.handleMessage(mailbox.Message{From: "b", Raw: raw})
		if before == 0 && len(n.controllerInputs) != 1 {
			t.Error("the poll of b was not accepted")
		}
		n.pollQueue.Clear()
	}
	if n.leader != "b" || n.pendingAnswer == nil {
		t.Error("the reply of b was not accepted")
	}
}

// Whatever a sending layer may produce fits the limit of the receiving layer: commands of the state machine in the raft group, its
// entries in a reply, and replies in a gossip message.
func TestSenderLimitsFitReceiverLimits(t *testing.T) {
	const overhead = 4 << 10 // of a message around its base64 content
	for name, sizes := range map[string][2]int{
		"commands in the raft group": {statemachine.MaxEntrySize, raftgroup.MaxCommandSize}, "entries of the raft group in a reply": {raftgroup.MaxCommandSize, peerproto.MaxEntrySize},
		"entries in the gossip": {peerproto.MaxEntrySize/3*4 + overhead, member.MaxMessageSize}, "states in the gossip": {peerproto.MaxCompressedSize/3*4 + overhead, member.MaxMessageSize},
		"a follower's file in the gossip": {peerproto.MaxPollSize, member.MaxMessageSize}, "observations in a reply": {drainctl.MaxObservationSize + overhead, peerproto.MaxEntriesSize},
	} {
		if sizes[0] > sizes[1] {
			t.Errorf("%s: up to %d bytes are produced, only %d are accepted", name, sizes[0], sizes[1])
		}
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	requests := maintenance.RequestsBody{Revision: 1}
	request := func(names int) maintenance.Request {
		r := maintenance.Request{ID: randomName(rnd), Reason: "disk", MaxOutage: time.Hour}
		for range names {
			r.Names = append(r.Names, randomName(rnd))
		}
		return r
	}
	encode := func() ([]byte, error) {
		b, err := json.Marshal(requests)
		if err != nil {
			t.Fatal(err)
		}
		return statemachine.Command{V: 1, ID: "1-1", Part: agreedstate.MaintenancePart, Kind: "asks", At: time.Hour, Body: b}.Encode()
	}
	requests.Requests = []maintenance.Request{request(10_000), request(1)}
	requests.Requests[1].Names = requests.Requests[0].Names // two requests for the same machines
	raw, err := encode()
	if err != nil {
		t.Fatal(err)
	}
	reply := peerproto.Reply{Sequence: 1, From: "a", FromLeader: true, Index: 5}
	if err := reply.SetEntries([]peerproto.Entry{{Index: 4, Raw: raw}, {Index: 5, Raw: raw}}); err != nil || len(reply.Entries) != 1 || !reply.Truncated {
		t.Fatalf("%v, %d entries", err, len(reply.Entries))
	}
	sent, err := peerproto.Encode(reply)
	if err != nil || len(sent) > member.MaxMessageSize {
		t.Fatalf("%d bytes: %v", len(sent), err)
	}
	m, err := peerproto.Decode(sent)
	if err != nil {
		t.Fatal(err)
	}
	to := agreedstate.New()
	if err := to.ApplyReply(m.(peerproto.Reply)); err != nil || len(to.Maintenance.Requests().Requests) != 2 || len(to.Maintenance.Requests().Requests[1].Names) != 10_000 {
		t.Fatalf("%v, %d requests", err, len(to.Maintenance.Requests().Requests))
	}
	t.Logf("an entry with two requests for 10,000 machines has %d bytes", len(raw))
	requests.Requests = append(requests.Requests, request(10_000), request(10_000))
	if _, err := encode(); err == nil || !strings.Contains(err.Error(), "are allowed") {
		t.Errorf("an oversized file: %v", err)
	}
}
