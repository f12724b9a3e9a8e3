package fleetsim

import (
	"fmt"
)

// sharedBook is a copy of the agreed state that all co-ordinators use which stand at its entry. A copy that nobody uses
// any more is brought on to where the next one is wanted, so that each entry is applied some two times, not once for
// each co-ordinator.
type sharedBook struct {
	book
	at    int
	users int
}

// shelfMost is the copies that are kept though nobody uses them; of more, those furthest behind go first.
const shelfMost = 6

// share gives the co-ordinator the copy for the entry at which it stands.
func (n *node) share() {
	if !n.w.shared || n.on != nil && n.on.at == n.applied {
		return
	}
	if n.on != nil {
		n.on.users--
	}
	n.on = n.w.take(n.applied)
	n.on.users++
	n.book = &n.on.book
}

// take finds a copy at the entry, or brings one there.
func (w *World) take(at int) *sharedBook {
	var best *sharedBook
	spare := 0
	for _, b := range w.shelf {
		if b.at == at {
			return b
		}
		if b.users == 0 {
			spare++
			if b.at < at && (best == nil || b.at > best.at) {
				best = b
			}
		}
	}
	if best == nil {
		best = &sharedBook{book: *newBook()}
		w.shelf = append(w.shelf, best)
	}
	for i := best.at; i < at; i++ {
		raw := w.agreed.entries[i].raw
		if raw == nil {
			continue
		}
		if err := best.led.ApplyDecoded(uint64(i+1), w.decoded[i]); (err == nil) != (w.results[i+1] == nil) {
			w.fail(fmt.Errorf("entry %d gave %v at one copy and %v at another", i+1, err, w.results[i+1]))
		}
	}
	best.at = at
	if spare > shelfMost {
		w.trim()
	}
	return best
}

func (w *World) trim() {
	last := -1
	for i, b := range w.shelf {
		if b.users == 0 && (last < 0 || b.at < w.shelf[last].at) {
			last = i
		}
	}
	if last >= 0 {
		w.shelf = append(w.shelf[:last], w.shelf[last+1:]...)
	}
}
