package fleetfile

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"birchcart/internal/operator"
)

// Warnings are what an operators' file asks for and can't get as it stands: work on voters of a raft group so small that a
// majority and one to spare is all of it.
func Warnings(f *operator.File) (out []string) {
	if f == nil || f.Fleet == nil {
		return nil
	}
	voters := f.Fleet.Voters
	least := minVoters(len(voters))
	if len(voters)-1 >= least {
		return nil
	}
	for i, w := range f.Fleet.Work {
		var taken []string
		for _, name := range slices.Sorted(maps.Keys(voters)) {
			if w.Kind == "replica" {
				continue
			}
			if len(w.Names) > 0 && slices.Contains(w.Names, name) ||
				len(w.Names) == 0 && strings.HasPrefix(name, w.Prefix) && (w.Zone == "" || w.Zone == voters[name].Zone) {
				taken = append(taken, name)
			}
		}
		if len(taken) > 0 {
			out = append(out, fmt.Sprintf("$.fleet.work[%d]: %s: never granted while voting: of %d voters %d have to stay up (a majority and one to spare). "+
				"Name others as voters first, or let five vote", i, firstNames(taken), len(voters), least))
		}
	}
	return out
}

// firstNames are the first names of many.
func firstNames(names []string) string {
	if len(names) <= 5 {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:5], ", "), len(names)-5)
}

// minVoters of a raft group have to stay up while one is out: a majority and one to spare.
func minVoters(voters int) int { return voters/2 + 2 }
