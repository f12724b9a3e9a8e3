package replica

import (
	"bytes"
	"strings"
	"testing"

	"birchcart/internal/exchange"
	"birchcart/policy"
)

// Guards against a part to a draining replica that the log cannot explain: at info it must name the part and the list version.
func TestPartsWrittenBeforeDrainAreLogged(t *testing.T) {
	s := newFixture(t, testLimits())
	var out bytes.Buffer
	s.pool.logger.Logger.SetOutput(&out)
	a := attempt("q.1")
	a.ListIndex = 40
	s.pool.Send(1, []*exchange.Attempt{a})
	s.accept().readFrame()
	s.setState(policy.Draining)
	if line := out.String(); !strings.Contains(line, "parts written before the replica left service") || !strings.Contains(line, "q.1") || !strings.Contains(line, "by list 40") {
		t.Errorf("log: %q", line)
	}
}
