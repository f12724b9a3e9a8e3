package logadapter

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

// Lines keep their level, lines below the log's level are dropped, and at most MaxLines are written.
func TestLinesAreLimitedAndKeepLevel(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	w := New(logrus.NewEntry(log))
	w.Standard().Printf("[WARN] memberlist: first %s", "word")
	w.Hclog("raft").Error("second", "peer", 3)
	w.Standard().Printf("[DEBUG] not at this level")
	for i := range 3 * MaxLines {
		w.Hclog("raft").Warn("again " + strings.Repeat("x", i))
	}
	s := out.String()
	for _, want := range []string{"level=warning msg=\"memberlist: first word\"", "level=error", "raft: second: peer=3"} {
		if !strings.Contains(s, want) {
			t.Errorf("no %q in:\n%s", want, s)
		}
	}
	if n := strings.Count(s, "\n"); n != MaxLines {
		t.Errorf("%d lines, want %d", n, MaxLines)
	}
	if strings.Contains(s, "not at this level") {
		t.Error("a debug line was written")
	}
}

// Lines that raft repeats at each election without a majority are written once per kind, whatever term and address they contain.
func TestRepeatedLinesAreDropped(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	w := New(logrus.NewEntry(log))
	raft := w.Hclog("raft")
	for term := range 100 {
		raft.Warn("Election timeout reached, restarting election")
		raft.Error("failed to make requestVote RPC", "target", "{Voter n1 10.0.0.2:8702}", "error", "dial tcp 10.0.0.2:8702: connect: connection refused", "term", term)
		raft.Error("failed to make requestVote RPC", "target", "{Voter n1 10.0.0.3:8702}", "error", "dial tcp 10.0.0.3:8702: i/o timeout", "term", term)
	}
	if n := strings.Count(out.String(), "\n"); n != 3 {
		t.Errorf("%d lines, want 3:\n%s", n, out.String())
	}
	if s := w.String(); s != "3 lines, 297 left out" {
		t.Error(s)
	}
	w.mu.Lock()
	w.windowStart = w.windowStart.Add(-Window)
	w.mu.Unlock()
	raft.Warn("Election timeout reached, restarting election")
	if !strings.Contains(out.String(), "297 library log lines left out") {
		t.Error("the number of lines left out is not logged")
	}
}
