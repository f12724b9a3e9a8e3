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

// A letter holds asks, answers and words; of one that is cut short, of another version or with something behind nothing counts.
func TestMessageRoundTripAndDamage(t *testing.T) {
	var said []byte
	said = shares.Append(said, shares.SendRequest{To: "b", Request: shares.LoanRequest{From: "a", Incarnation: 1, Seq: 2, Revision: 2, Account: 7, Want: 5}})
	said = shares.Append(said, shares.SendReply{To: "b", Reply: shares.LoanReply{From: "a", To: "b", Incarnation: 4, Seq: 5, Revision: 2, Account: 6, Amount: 9}})
	raw := encodeMessage(said, exampleReport("a"), exampleReport("c"))
	words, in, err := decodeMessage(raw, "a", "b")
	if err != nil || len(words) != 2 || words[1].From != "c" || len(in) != 2 || in[0].(shares.LoanRequest).Want != 5 {
		t.Fatal(words, in, err)
	}
	if raw[0] == peerproto.Version {
		t.Error("a letter of lanes passes for one of peerproto's")
	}
	two := len(encodeMessage(said, exampleReport("a"))) // a whole one too
	for n := range raw {
		if _, _, err := decodeMessage(raw[:n], "a", "b"); err == nil && n != two && n != len(encodeMessage(said)) {
			t.Errorf("%d of %d bytes are read", n, len(raw))
		}
	}
	for _, b := range [][]byte{append(bytes.Clone(raw), 1), {MessageKind, 2, 0}, {MessageKind, messageVersion, 9}} {
		if _, _, err := decodeMessage(b, "a", "b"); err == nil {
			t.Errorf("%v is read", b)
		}
	}
}

// However many letters come, and whatever is in them, a bounded number waits, and what can't be read is said.
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
	p.Receive("n1", encodeMessage(nil, exampleReport("n0"))) // of this one itself: not heard
	s.now += 20 * time.Second
	p.step(s.now)
	if !bytes.Contains(s.log.Bytes(), []byte("letters of lanes are left out")) || !bytes.Contains(s.log.Bytes(), []byte("version 77")) {
		t.Error(s.log.String())
	}
	if p.control.Level() != 0 {
		t.Error(p.control.Level())
	}
}

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
			t.Errorf("level %v by one letter", p.control.Level())
		}
	})
}

// Slots are by agreed time while it moves on, whatever the wall's clock shows, and by that while it stands.
func TestSlotClock(t *testing.T) {
	var s slotClock
	slot := 10 * time.Second
	now, agreed := time.Second, 1000*time.Second
	if n, _ := s.slotAt(now, agreed, 5*slot, slot); n != 5 {
		t.Errorf("slot %d by a time that may be old", n)
	}
	for i := range 200 { // readings up to 1 s old
		now += StepInterval
		if n, left := s.slotAt(now, agreed+now-time.Duration(i%4)*StepInterval, 5*slot, slot); i > 8 && (n != uint64((agreed+now)/slot) || left != slot-(agreed+now)%slot) {
			t.Fatalf("at %v: slot %d, %v left", now, n, left)
		}
	}
	agreed += now
	now += AgreedTimeTimeout + time.Second
	if n, _ := s.slotAt(now, 0, 7*slot, slot); n != 7 {
		t.Errorf("slot %d while agreed time stands", n)
	}
}

// A query's way through the lanes takes no memory and under 2 us, with 10,000 accounts; their part of a step keeps turns waiting
// for a millisecond at the most.
func TestAdmitAllocationsAndLatency(t *testing.T) {
	s := newTestFleet(t, 1, "n%d", compile(t, section(10_000), 1))
	p := s.shedders[0]
	p.step(s.now)
	var qs []*exchange.Query
	for i := range 500 {
		qs = append(qs, &exchange.Query{Tenant: -1, LaneMark: fmt.Sprint("m", 1+i*19%9999), Client: "c", Parts: make([]exchange.Part, 4)},
			&exchange.Query{ID: fmt.Sprint(i), Tenant: -1, Client: fmt.Sprint("c", i%20), Parts: make([]exchange.Part, 4)}) // of no account
	}
	at, i := startTime.Add(s.now), 0
	one := func() {
		i++
		if e := p.Admit(at, qs[i%len(qs)], -1); !e.Rejected {
			p.QueryEnded(at, e, exchange.LaneOutcome{Took: time.Millisecond})
		}
	}
	for range qs {
		one()
	}
	if n := testing.AllocsPerRun(2000, one); n > 0 {
		t.Errorf("%v allocations", n)
	}
	best := time.Hour // of what a busy machine lets through
	for range 50 {
		from := time.Now()
		for range 200 {
			one()
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
	t.Logf("%v a query with its end, %v a step of all accounts", best, step)
	if best > 2*time.Microsecond && !raceOn {
		t.Error("over 2 us")
	}
}
