package main

import (
	"fmt"
	"strings"
	"testing"
)

// The file's lanes are agreed on once, for voters and others alike; those of a higher revision take their place, and a
// co-ordinator that starts anew goes by what is agreed. One whose file says something else under the same revision is told of it.
func TestLanesAreAgreedOn(t *testing.T) {
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
	s.extra["lanes"] = lanes("gold")
	s.startAll()
	inForce := func(revision int) {
		t.Helper()
		for i := range s.serve {
			s.until(fmt.Sprintf("revision %d at n%d", revision, i), s.says(i, fmt.Sprintf(`msg="lanes are in force" node=n%d part=fleet revision=%d `, i, revision)))
		}
	}
	inForce(1)
	s.extra["lanes"] = lanes("rest")
	s.ask(false)
	s.hangUp()
	inForce(2)
	s.procs[3].Process.Kill()
	s.procs[3].Wait()
	s.start(3)
	s.until("n3 has what was agreed", s.says(3, `msg="lanes are in force" node=n3 part=fleet revision=2 `))
	s.extra["lanes"], s.revision = lanes("gold"), 1 // the same revision, with something else
	s.ask(false)
	s.hangUp()
	s.until("the leader tells of it", func() bool {
		for i := range s.serve {
			if s.says(i, "the file's lanes differ from those agreed under the same revision")() {
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
