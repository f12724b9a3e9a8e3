package enginelog

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

func TestBoundedAndAtItsLevel(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	w := New(logrus.NewEntry(log))
	w.Standard().Printf("[WARN] memberlist: first %s", "word")
	w.Hclog("raft").Error("second", "peer", 3)
	w.Standard().Printf("[DEBUG] not at this level")
	for range 3 * Most {
		w.Hclog("raft").Warn("again")
	}
	s := out.String()
	for _, want := range []string{"level=warning msg=\"memberlist: first word\"", "level=error", "raft: second: peer=3"} {
		if !strings.Contains(s, want) {
			t.Errorf("no %q in:\n%s", want, s)
		}
	}
	if n := strings.Count(s, "\n"); n != Most {
		t.Errorf("%d lines, want %d", n, Most)
	}
	if strings.Contains(s, "not at this level") {
		t.Error("debug was written")
	}
}
