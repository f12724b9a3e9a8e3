package serve

import (
	"testing"
	"time"

	"birchcart/policy"
)

// A fault of the watch ends the watch; the turns go on.
func TestFaultOfTheRehearsalIsItsOwn(t *testing.T) {
	cfg, err := (&Source{Config: "../../deploy/example.json"}).Load()
	if err != nil {
		t.Fatal(err)
	}
	r := newRehearsal(cfg, time.Hour, NewProcess("info").log.WithField("node", "n"))
	r.observe(1, []policy.Event{{Kind: policy.QueryArrived, Query: 1, Group: 1, Class: 99, Tenant: -1, Deadline: 2}, {Kind: policy.PartArrived, Part: 2, Group: 1, Class: 99}}, nil)
	if r.watch != nil {
		t.Error("the watch goes on after a fault")
	}
	r.observe(2, nil, nil)
	r.close()
}
