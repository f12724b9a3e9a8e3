// Package baseline implements simple ways of choosing a receiver, without knowledge of the order of work, as baselines for the
// planner of package migrate.
package baseline

import (
	"cmp"

	"birchcart/internal/fleet/migrate"
	"birchcart/internal/fleet/session"
)

// Random orders receivers by a hash of the session's ID and the receiver's name. The same seed always gives the same order.
func Random(seed uint64) migrate.Prefer {
	hash := func(id session.ID, r *migrate.Receiver) uint64 {
		h := seed*0x9e3779b97f4a7c15 + 14695981039346656037
		for _, b := range id {
			h = (h ^ uint64(b)) * 1099511628211
		}
		for i := range len(r.Name) {
			h = (h ^ uint64(r.Name[i])) * 1099511628211
		}
		h ^= h >> 33 // the low bits of the hash depend mostly on the last byte
		return h * 0xff51afd7ed558ccd
	}
	return func(id session.ID, _ *migrate.Coordinator, a, b *migrate.Receiver) int {
		return cmp.Or(cmp.Compare(hash(id, a), hash(id, b)), cmp.Compare(a.Index, b.Index))
	}
}

// Ring prefers the next receiver with capacity in the ring of names.
func Ring(_ session.ID, _ *migrate.Coordinator, a, b *migrate.Receiver) int {
	return cmp.Compare(a.Distance, b.Distance)
}

// Emptiest prefers the least full receiver, regardless of when it goes out itself.
func Emptiest(_ session.ID, _ *migrate.Coordinator, a, b *migrate.Receiver) int {
	return cmp.Or(migrate.CompareLoad(a, b), cmp.Compare(a.Index, b.Index))
}
