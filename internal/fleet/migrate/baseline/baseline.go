// Package baseline holds ways of choosing a receiver that know less than migrate's, to measure it against.
package baseline

import (
	"cmp"

	"birchcart/internal/fleet/migrate"
	"birchcart/internal/fleet/session"
)

// Random takes any receiver, by a sum over the session's id and the receiver's name, the same each time.
func Random(seed uint64) migrate.Prefer {
	draw := func(id session.ID, r *migrate.Receiver) uint64 {
		h := seed*0x9e3779b97f4a7c15 + 14695981039346656037
		for _, b := range id {
			h = (h ^ uint64(b)) * 1099511628211
		}
		for i := range len(r.Name) {
			h = (h ^ uint64(r.Name[i])) * 1099511628211
		}
		h ^= h >> 33 // the sum's low bits follow the last byte
		return h * 0xff51afd7ed558ccd
	}
	return func(id session.ID, _ *migrate.Coordinator, a, b *migrate.Receiver) int {
		return cmp.Or(cmp.Compare(draw(id, a), draw(id, b)), cmp.Compare(a.Index, b.Index))
	}
}

// Ring takes the next receiver with room in the ring of names.
func Ring(_ session.ID, _ *migrate.Coordinator, a, b *migrate.Receiver) int {
	return cmp.Compare(a.Distance, b.Distance)
}

// Emptiest takes the least full one, whenever it goes itself.
func Emptiest(_ session.ID, _ *migrate.Coordinator, a, b *migrate.Receiver) int {
	return cmp.Or(migrate.CompareLoad(a, b), cmp.Compare(a.Index, b.Index))
}
