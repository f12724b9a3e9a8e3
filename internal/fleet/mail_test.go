package fleet

import "testing"

// Letters that nobody takes have a bound by number and by bytes; the newest stay, in order.
func TestMailIsBounded(t *testing.T) {
	for _, size := range []int{10, 1 << 20, 3 << 20} {
		m := newMail()
		raw := make([]byte, size)
		for range 2 * MailMost {
			m.put(letter{from: "old", raw: raw})
		}
		m.put(letter{from: "new", raw: raw})
		n, last, held := 0, "", m.bytes.Load()
		for len(m.queue) > 0 {
			l := <-m.queue
			m.took(l)
			n, last = n+1, l.from
		}
		if want := min(MailMost, MailBytes/size); n != want || last != "new" || held != int64(n*size) || m.bytes.Load() != 0 {
			t.Errorf("%d letters of %d bytes, %d bytes in all, the last %q, wanted %d; %d bytes are left", n, size, held, last, want, m.bytes.Load())
		}
	}
}
