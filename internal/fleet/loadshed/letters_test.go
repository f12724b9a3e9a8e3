package loadshed

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"birchcart/internal/exchange"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/pressure"
	"birchcart/internal/fleet/shares"
)

func exampleReport(from string) pressure.Report {
	return pressure.Report{From: from, Incarnation: 3, Seq: 9, Zone: "z", LocalLoad: pressure.LocalLoad{Known: true, Offered: 10, InTime: 9}, Level: 0.25, Revision: 2}
}

// A message carries requests, replies and reports. One that is truncated, of another version or followed by other bytes is
// rejected.
func TestMessageRoundTripAndDamage(t *testing.T) {
	var shareBytes []byte
	shareBytes = shares.Append(shareBytes, shares.SendRequest{To: "b", Request: shares.LoanRequest{From: "a", Incarnation: 1, Seq: 2, Revision: 2, Account: 7, Want: 5}})
	shareBytes = shares.Append(shareBytes, shares.SendReply{To: "b", Reply: shares.LoanReply{From: "a", To: "b", Incarnation: 4, Seq: 5, Revision: 2, Account: 6, Amount: 9}})
	raw := encodeMessage(shareBytes, exampleReport("a"), exampleReport("c"))
	reports, inputs, err := decodeMessage(raw, "a", "b")
	if err != nil || len(reports) != 2 || reports[1].From != "c" || len(inputs) != 2 || inputs[0].(shares.LoanRequest).Want != 5 {
		t.Fatal(reports, inputs, err)
	}
	if raw[0] == peerproto.Version {
		t.Error("a lane message has the first byte of peerproto messages")
	}
	shorter := len(encodeMessage(shareBytes, exampleReport("a"))) // the message without its last report is valid too
	for n := range raw {
		if _, _, err := decodeMessage(raw[:n], "a", "b"); err == nil && n != shorter && n != len(encodeMessage(shareBytes)) {
			t.Errorf("the first %d of %d bytes were decoded", n, len(raw))
		}
	}
	for _, b := range [][]byte{append(bytes.Clone(raw), 1), {MessageKind, 2, 0}, {MessageKind, messageVersion, 9}} {
		if _, _, err := decodeMessage(b, "a", "b"); err == nil {
			t.Errorf("%v was decoded", b)
		}
	}
}

// The number of queued messages is bounded, whatever they contain, and unreadable ones are logged.
func TestInboxIsBounded(t *testing.T) {
	s := newTestFleet(t, 3, "n%d", compile(t, section(1), 1))
	p := s.shedders[0]
	for range 2 * MaxQueuedMessages {
		p.Receive("n1", encodeMessage(nil, exampleReport("n1")))
	}
	p.Receive("n1", make([]byte, MaxMessageSize+1))
	if len(p.inbox.messages) != MaxQueuedMessages || p.inbox.dropped != MaxQueuedMessages+1 {
		t.Error(len(p.inbox.messages), p.inbox.dropped)
	}
	p.step(s.now)
	p.Receive("n1", []byte{MessageKind, 77, 0})
	p.Receive("n1", encodeMessage(nil, exampleReport("n0"))) // a report under its own name: ignored
	s.now += 20 * time.Second
	p.step(s.now)
	if !bytes.Contains(s.log.Bytes(), []byte("unreadable lane messages discarded")) || !bytes.Contains(s.log.Bytes(), []byte("version 77")) {
		t.Error(s.log.String())
	}
	if p.control.Level() != 0 {
		t.Error(p.control.Level())
	}
}

// Messages from a single member, valid or not, must not raise the shed level.
func FuzzMessage(f *testing.F) {
	f.Add(encodeMessage(nil, exampleReport("a")))
	f.Add(encodeMessage(shares.Append(nil, shares.SendRequest{Request: shares.LoanRequest{Seq: 1, Want: 2}}), exampleReport("a"), exampleReport("b")))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := newTestFleet(t, 3, "n%d", compile(t, section(1), 1))
		p := s.shedders[0]
		for range 3 {
			p.Receive("n1", raw)
			p.step(s.now)
			s.now += StepInterval
		}
		if p.control.Level() != 0 {
			t.Errorf("level %v after messages of one member", p.control.Level())
		}
	})
}

// Slots follow agreed time while it advances, whatever the wall clock shows, and the wall clock while it does not.
func TestSlotClock(t *testing.T) {
	var s slotClock
	slot := 10 * time.Second
	now, agreed := time.Second, 1000*time.Second
	if n, _ := s.slotAt(now, agreed, 5*slot, slot); n != 5 {
		t.Errorf("slot %d by the first reading, which may be old", n)
	}
	for i := range 200 { // readings that are up to 1 s old
		now += StepInterval
		if n, left := s.slotAt(now, agreed+now-time.Duration(i%4)*StepInterval, 5*slot, slot); i > 8 && (n != uint64((agreed+now)/slot) || left != slot-(agreed+now)%slot) {
			t.Fatalf("at %v: slot %d, %v left", now, n, left)
		}
	}
	agreed += now
	now += AgreedTimeTimeout + time.Second
	if n, _ := s.slotAt(now, 0, 7*slot, slot); n != 7 {
		t.Errorf("slot %d while agreed time does not advance", n)
	}
}

// A query passes the lanes without allocating and in under 2 us, with 10,000 accounts. The log shows the time of a step with all
// accounts.
func TestAdmitAllocationsAndLatency(t *testing.T) {
	s := newTestFleet(t, 1, "n%d", compile(t, section(10_000), 1))
	p := s.shedders[0]
	p.step(s.now)
	var queries []*exchange.Query
	for i := range 500 {
		queries = append(queries, &exchange.Query{Tenant: -1, LaneMark: fmt.Sprint("m", 1+i*19%9999), Client: "c", Parts: make([]exchange.Part, 4)},
			&exchange.Query{ID: fmt.Sprint(i), Tenant: -1, Client: fmt.Sprint("c", i%20), Parts: make([]exchange.Part, 4)}) // of no account
	}
	at, i := startTime.Add(s.now), 0
	runQuery := func() {
		i++
		if verdict := p.Admit(at, queries[i%len(queries)], -1); !verdict.Rejected {
			p.QueryEnded(at, verdict, exchange.LaneOutcome{Took: time.Millisecond})
		}
	}
	for range queries {
		runQuery()
	}
	if n := testing.AllocsPerRun(2000, runQuery); n > 0 {
		t.Errorf("%v allocations", n)
	}
	best := time.Hour // the minimum, since other processes may delay a run
	for range 50 {
		from := time.Now()
		for range 200 {
			runQuery()
		}
		best = min(best, time.Since(from)/200)
	}
	step := time.Hour
	for range 10 {
		s.now += StepInterval
		from := time.Now()
		p.step(s.now)
		step = min(step, time.Since(from))
	}
	t.Logf("%v per query with its end, %v per step of all accounts", best, step)
	if best > 2*time.Microsecond && !raceOn {
		t.Error("more than 2 us per query")
	}
}
