package pinned

import (
	"strings"
	"testing"
)

// With all guards every state keeps what is promised; each guard that is left out is found by a trace of at most 14 moves. That
// the leader's grace is as long as a query is not among them any more: the keeper begins nothing that outlives it.
func TestSearch(t *testing.T) {
	most := 3000
	if testing.Short() {
		most = 300
	}
	if f := Search("", 14, most, 200, nil); f.Err != nil || f.States < most || f.Rested == 0 {
		t.Errorf("all guards: %v", f)
	}
	for off, says := range map[Off]string{OffLease: "S1", OffSending: "S1", OffReleasing: "S1", OffSilence: "S1", OffAsk: "S1", OffEpoch: "S1",
		OffFresh: "S3", OffEnded: "S3", OffAgain: "S3", OffFreed: "S2", OffLeader: "S7"} {
		if testing.Short() && off != OffLease && off != OffSending && off != OffSilence && off != OffLeader && off != OffAgain {
			continue
		}
		rest := 0
		if off == OffLeader {
			rest = 1
		}
		f := Search(off, 14, 200_000, rest, ScopeOf(off))
		if f.Err == nil || !strings.HasPrefix(f.Err.Error(), says+":") || len(f.Trace) > 14 {
			t.Errorf("without %s: want %s broken, %v", off, says, f)
		}
		if f := Search("", 14, min(most, 2*f.States), rest, ScopeOf(off)); f.Err != nil {
			t.Errorf("the same moves with %s: %v", off, f)
		}
	}
}
