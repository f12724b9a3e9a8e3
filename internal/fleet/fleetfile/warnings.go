package fleetfile

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"birchcart/internal/operator"
)

// Warnings lists requests of an operators' file that can't be granted: work on voters, if the raft group is so small that a majority and
// one spare voter are all of its voters.
func Warnings(f *operator.File) (out []string) {
	if f == nil || f.Fleet == nil {
		return nil
	}
	voters := f.Fleet.Voters
	required := minVoters(len(voters))
	if len(voters)-1 >= required {
		return nil
	}
	for i, w := range f.Fleet.Work {
		var affected []string
		for _, name := range slices.Sorted(maps.Keys(voters)) {
			if w.Kind == "replica" {
				continue
			}
			if len(w.Names) > 0 && slices.Contains(w.Names, name) ||
				len(w.Names) == 0 && strings.HasPrefix(name, w.Prefix) && (w.Zone == "" || w.Zone == voters[name].Zone) {
				affected = append(affected, name)
			}
		}
		if len(affected) > 0 {
			out = append(out, fmt.Sprintf("$.fleet.work[%d]: %s: never granted while voting: %d voters, of which %d have to stay up (a majority and one to spare). "+
				"Name other voters first, or use five voters", i, firstNames(affected), len(voters), required))
		}
	}
	return out
}

// firstNames lists up to five names and the number of the others.
func firstNames(names []string) string {
	if len(names) <= 5 {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:5], ", "), len(names)-5)
}

// minVoters returns how many voters of a raft group have to stay up during maintenance: a majority and one to spare.
func minVoters(voters int) int { return voters/2 + 2 }
