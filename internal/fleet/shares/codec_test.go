package shares

import (
	"reflect"
	"testing"
)

func TestBatchRoundTrip(t *testing.T) {
	request := LoanRequest{From: "a", Incarnation: 1 << 60, Seq: 3, Revision: 7, Account: 9999, Want: GuaranteeUnits}
	reply := LoanReply{From: "a", To: "b", Incarnation: 5, Seq: 1 << 40, Revision: 7, Account: 1, Amount: 12}
	var b []byte
	for _, o := range []Output{SendRequest{"b", request}, DefaultShare{}, SendReply{"b", reply}} {
		b = Append(b, o)
	}
	in, err := Decode(b, "a", "b")
	if err != nil || !reflect.DeepEqual(in, []Input{request, reply}) {
		t.Fatalf("%+v, %v", in, err)
	}
	for i := 1; i < len(b); i++ {
		if truncated, err := Decode(b[:i], "a", "b"); err == nil && len(truncated) > 1 {
			t.Errorf("truncated after %d bytes: decoded %+v", i, truncated)
		}
	}
	b[0]++
	if _, err := Decode(b, "a", "b"); err == nil {
		t.Error("a batch of another version is decoded")
	}
	for _, bad := range []Output{
		SendRequest{"b", LoanRequest{Want: GuaranteeUnits + 1}}, SendRequest{"b", LoanRequest{Revision: -1}}, SendReply{"b", LoanReply{Amount: -1}},
	} {
		if in, err := Decode(Append(nil, bad), "a", "b"); err == nil {
			t.Errorf("invalid %+v is decoded as %+v", bad, in)
		}
	}
}

// Any input is decoded within bounds or rejected, and never makes a step panic or break a rule.
func FuzzDecode(f *testing.F) {
	f.Add(Append(Append(nil, SendRequest{"b", LoanRequest{Seq: 1, Want: 5}}), SendReply{"b", LoanReply{Seq: 1, Amount: 5}}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		in, err := Decode(raw, "a", "b")
		if err != nil && in != nil || len(in) > MaxMessages {
			t.Fatalf("%d messages decoded, error %v", len(in), err)
		}
		s := New(Options{Name: "b", FleetSize: 3})
		s.Step(0, []Input{Config{0, 4}, Membership{Live: []string{"a", "b"}}})
		s.Step(3*LoanDuration, append(in, Demand{1, GuaranteeUnits}))
		if err := s.Check(); err != nil {
			t.Fatal(err)
		}
	})
}
