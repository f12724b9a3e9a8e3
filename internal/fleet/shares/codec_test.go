package shares

import (
	"reflect"
	"testing"
)

func TestLetters(t *testing.T) {
	ask := Ask{From: "a", Incarnation: 1 << 60, No: 3, Revision: 7, Account: 9999, Want: Whole}
	lent := Lent{From: "a", To: "b", Incarnation: 5, No: 1 << 40, Revision: 7, Account: 1, Amount: 12}
	var b []byte
	for _, o := range []Output{SendAsk{"b", ask}, Even{}, SendLent{"b", lent}} {
		b = Append(b, o)
	}
	in, err := Take(b, "a", "b")
	if err != nil || !reflect.DeepEqual(in, []Input{ask, lent}) {
		t.Fatalf("%+v, %v", in, err)
	}
	for i := 1; i < len(b); i++ {
		if cut, err := Take(b[:i], "a", "b"); err == nil && len(cut) > 1 {
			t.Errorf("cut after %d bytes: %+v", i, cut)
		}
	}
	b[0]++
	if _, err := Take(b, "a", "b"); err == nil {
		t.Error("one of another version is read")
	}
	for _, bad := range []Output{SendAsk{"b", Ask{Want: Whole + 1}}, SendAsk{"b", Ask{Revision: -1}}, SendLent{"b", Lent{Amount: -1}}} {
		if in, err := Take(Append(nil, bad), "a", "b"); err == nil {
			t.Errorf("%+v is taken for %+v", bad, in)
		}
	}
}

// Whatever comes, it is read within its bounds or refused, and stops nobody.
func FuzzTake(f *testing.F) {
	f.Add(Append(Append(nil, SendAsk{"b", Ask{No: 1, Want: 5}}), SendLent{"b", Lent{No: 1, Amount: 5}}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		in, err := Take(raw, "a", "b")
		if err != nil && in != nil || len(in) > MessageMost {
			t.Fatalf("%d read with %v", len(in), err)
		}
		s := New(Options{Name: "b", Fleet: 3})
		s.Step(0, []Input{Set{0, 4}, Members{Live: []string{"a", "b"}}})
		s.Step(3*LoanFor, append(in, Demand{1, Whole}))
		if err := s.Check(); err != nil {
			t.Fatal(err)
		}
	})
}
