package fleetsim

import (
	"reflect"
	"sync"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// loosen takes a guard out of the state for one command, and gives what puts it back.
func loosen(b *book, off Off, kind, machine string) func() {
	if off == "" || kind != "grant" && kind != "told" {
		return func() {}
	}
	state := reflect.ValueOf(b.out).Elem()
	field := func(of reflect.Value, name string) reflect.Value { return open(of.FieldByName(name)) }
	limits := field(state, "limits").Addr().Interface().(*maintenance.Limits)
	was := *limits
	sumsValid := field(state, "sumsValid")
	sumsValid.SetBool(false)
	back := func() { *limits = was; sumsValid.SetBool(false) }
	machines := field(state, "list")
	switch {
	case off == "W4 once" && kind == "grant":
		led := reflect.ValueOf(b.led).Elem()
		ids, seen := field(led, "ids"), field(led, "seen")
		ids.Set(reflect.MakeMap(ids.Type()))
		seen.Set(reflect.Zero(seen.Type()))
	case off == "told" && kind == "told":
		limits.Lease, limits.Grace = 1, 0
	case kind != "grant":
	case off == "W1":
		limits.MinHolders = 0
	case off == "W1 warm":
		limits.WarmUp = 0
	case off == "W2 zone":
		limits.MaxOutPerZone = 99
	case off == "W2 all":
		limits.MaxOut = 99
	case off == "W3":
		field(state, "load").SetFloat(0)
	case off == "W5":
		limits.MaxPassedOver = 99
	case off == "W6":
		field(state, "pauseUntil").SetInt(0)
	case off == "W2 voters":
		for i := range machines.Len() {
			field(machines.Index(i).Elem(), "Machine").FieldByName("Voter").SetBool(false)
		}
		return func() {
			back()
			for i := range machines.Len() {
				m := field(machines.Index(i).Elem(), "Machine")
				m.FieldByName("Voter").SetBool(m.FieldByName("Kind").String() == string(maintenance.Coordinator))
			}
		}
	case off == "W4 live":
		for i := range machines.Len() {
			m := machines.Index(i).Elem()
			if field(m, "Machine").FieldByName("Name").String() != machine {
				continue
			}
			live := field(m, "live")
			held := reflect.New(live.Type()).Elem()
			held.Set(live)
			live.Set(reflect.Zero(live.Type()))
			field(m, "Settle").Set(reflect.ValueOf(time.Duration(0)))
			return func() {
				back()
				if live.IsNil() {
					live.Set(held)
				}
			}
		}
	}
	return back
}

// memo remembers what came of an entry upon a state of the state machine: many ways lead to the same.
type memo struct {
	mu    sync.Mutex
	books map[memoKey]memoBook
}

// memoMost entries are remembered; of more, all are forgotten and worked out again.
const memoMost = 20_000

type memoKey struct {
	before uint64
	entry  string
}

type memoBook struct {
	next  *book // nil: refused
	check error
}

func (m *memo) apply(before *book, index uint64, enc []byte, off Off, kind, machine string) (*book, error) {
	key := memoKey{before.dig, string(enc)}
	m.mu.Lock()
	old, ok := m.books[key]
	m.mu.Unlock()
	if ok {
		return old.next, old.check
	}
	next := deepCopy(*before)
	next.sum = 0
	restore := loosen(&next, off, kind, machine)
	err := next.led.Apply(index, enc)
	restore()
	result := memoBook{}
	if err == nil {
		next.dig = next.led.Digest()
		next.canon()
		result = memoBook{&next, next.led.Check()}
	}
	m.mu.Lock()
	if len(m.books) >= memoMost {
		clear(m.books)
	}
	m.books[key] = result
	m.mu.Unlock()
	return result.next, result.check
}
