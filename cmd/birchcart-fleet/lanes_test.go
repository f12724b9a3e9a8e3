package main

import (
	"fmt"
	"strings"
	"testing"
)

// The lanes in the operators' file are agreed on by the fleet and apply at every co-ordinator, voter or not. Lanes with a
// higher revision replace them, and a restarted co-ordinator applies the agreed lanes. If a file has different lanes under
// the same revision, the leader logs the difference.
func TestLaneConfigurationAgreed(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4, 0, 1, 2)
	lanes := func(lane string) map[string]any {
		return map[string]any{
			"header": "X-Account", "lanes": []any{map[string]any{"name": "gold"}, map[string]any{"name": "rest"}},
			"accounts": []any{
				map[string]any{"name": "a", "lane": "gold", "marks": []string{"k1"}, "guarantee": 0.2},
				map[string]any{"name": "b", "lane": lane, "marks": []string{"k2"}, "guarantee": 0.2},
			},
		}
	}
	s.extraSettings["lanes"] = lanes("gold")
	s.startAll()
	inForce := func(revision int) {
		t.Helper()
		for i := range s.serve {
			s.waitFor(fmt.Sprintf("revision %d at n%d", revision, i), s.logContains(i, fmt.Sprintf(`msg="lanes are in force" node=n%d part=fleet revision=%d `, i, revision)))
		}
	}
	inForce(1)
	s.extraSettings["lanes"] = lanes("rest")
	s.writeOperatorFiles(false)
	s.reloadAll()
	inForce(2)
	s.procs[3].Process.Kill()
	s.procs[3].Wait()
	s.start(3)
	s.waitFor("n3 applies the agreed lanes", s.logContains(3, `msg="lanes are in force" node=n3 part=fleet revision=2 `))
	s.extraSettings["lanes"], s.revision = lanes("gold"), 1 // the same revision with different lanes
	s.writeOperatorFiles(false)
	s.reloadAll()
	s.waitFor("the leader logs the difference", func() bool {
		for i := range s.serve {
			if s.logContains(i, "the file's lanes differ from those agreed under the same revision")() {
				return true
			}
		}
		return false
	})
	for i, l := range s.logs {
		if text := l.String(); strings.Contains(text, "does not hold") || strings.Contains(text, "panic") || strings.Count(text, "lanes are in force") > 2 {
			t.Errorf("n%d:\n%s", i, text)
		}
	}
}
