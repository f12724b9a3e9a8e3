package wire

import (
	"io"
	"strings"
	"testing"

	"birchcart/policy"
)

const hello = "HELLO\tco-ordinator=3\tseed=5138197539985895\tallowed.attempts_cap=3\tallowed.cancelling=true\t" +
	"allowed.open_cap=136\tallowed.second_copies=true\tclasses.count=2\tclasses.0.name=a\tclasses.0.promise_s=2.5\t" +
	"classes.0.semantics=repeatable\tclasses.1.name=b\tclasses.1.semantics=by_key\tclasses.1.window_s=5\t" +
	"failure_domains=x,y\tfamily_info.need_by_class=0.75,1\tfamily_info.floor_by_class=0.5,1\tfamily_info.cells=2\t" +
	"invariants.drain_grace_s=0.25\tmembership_mode=subscribe\ttenants.count=1\ttenants.0.name=t\tzone=y\tnew.key=1\n"

func batch(t *testing.T, in string) []Item {
	t.Helper()
	d := NewDecoder(strings.NewReader(in))
	_, items, err := d.Batch(nil)
	if err != nil {
		t.Fatal(err)
	}
	return items
}

func TestHello(t *testing.T) {
	items := batch(t, "BATCH\tat_time_s=8.4\n"+hello+"YOUR_TURN\n")
	c := items[0].Config
	if items[0].Op != Start || items[0].Instance != 3 || c.Seed != 5138197539985895 {
		t.Fatalf("%+v", items[0])
	}
	if c.MaxAttempts != 3 || !c.Cancel || c.MaxOpen != 136 || c.Zone != 1 || !c.MustSubscribe || c.Cells != 2 || c.DrainGrace != 0.25 {
		t.Fatalf("%+v", c)
	}
	if c.Classes[0].Need != 0.75 || c.Classes[0].Floor != 0.5 || c.Classes[1].Effect != policy.Keyed || c.Classes[1].Window != 5 {
		t.Fatalf("%+v", c.Classes)
	}
}

// A list number that comes twice in a batch means the later list only for what follows it.
func TestListNumberIsUsedAgain(t *testing.T) {
	items := batch(t, "BATCH\tat_time_s=1\n"+hello+
		"POOL\tbuffer=0\trows_in=1\nENTRY\treplica=7\tzone=y\tposition=1\treadiness=up\tshare=1.5\tlast_start_s=6.1\n"+
		"ENDPOINTS\tco-ordinator=3\tbuffer=0\tserial=1\thow=disk\n"+
		"POOL\tbuffer=0\trows_in=1\nENTRY\treplica=8\tposition=0\treadiness=draining\n"+
		"ENDPOINTS\tco-ordinator=3\tbuffer=0\tserial=2\thow=diff\n"+
		"ENDPOINTS\tco-ordinator=3\tbuffer=9\tserial=2\thow=error\nYOUR_TURN\n")
	first, second := items[1].Event, items[2].Event
	if !first.Full || !first.Stale || first.List[0] != (policy.Entry{Replica: 7, SharedID: 7, Zone: 1, Cell: 1, Size: 1.5, Started: 6.1}) {
		t.Fatalf("%+v", first)
	}
	if second.Full || second.List[0].Replica != 8 || second.List[0].State != policy.Draining {
		t.Fatalf("%+v", second)
	}
	if items[3].Event.Kind != policy.ListFailed {
		t.Fatalf("%+v", items[3].Event)
	}
}

func TestRequestAndOutcome(t *testing.T) {
	items := batch(t, "BATCH\tat_time_s=1\n"+hello+
		"REQ\tco-ordinator=3\trid=10\tgroup_no=2\tshare_or_count=4\tcustomer=t\tdue_s=8.5\tpriority=b\tsegment_no=-1\n"+
		"REQ\tco-ordinator=3\trid=11\tgroup_no=2\tshare_or_count=0.25\tpriority=b\tsegment_no=0\n"+
		"CLOSED_ATTEMPT\tco-ordinator=3\trid=11\tlast=1\twait_time_s=0.5\tsend_no=1\treplica=7\treason=ABORTED\thealth_info=0.6,2\n"+
		"YOUR_TURN\n")
	q, part, end := items[1].Event, items[2].Event, items[3].Event
	if q.Kind != policy.QueryArrived || q.Query != 10 || q.Count != 4 || q.Class != 1 || q.Tenant != 0 || q.Deadline != 8.5 {
		t.Fatalf("%+v", q)
	}
	if part.Kind != policy.PartArrived || part.Part != 11 || part.Weight != 0.25 || part.Shard != 0 || part.Tenant != -1 {
		t.Fatalf("%+v", part)
	}
	if end.Outcome != policy.ConnectionBroken || end.Attempt != 1 || end.Latency != 0.5 || len(end.Report) != 2 {
		t.Fatalf("%+v", end)
	}
}

// Malformed input names the line and the field, and is never guessed at.
func TestMalformed(t *testing.T) {
	for in, want := range map[string]string{
		"BATCH\tat_time_s=x\nYOUR_TURN\n":                                                                        `line 1: field "at_time_s"`,
		"BATCH\nYOUR_TURN\n":                                                                                     `line 1: BATCH lacks field "at_time_s"`,
		"HELLO\tco-ordinator=1\n":                                                                                "line 1: want BATCH",
		"BATCH\tat_time_s=1\nREQ\trid=1\nYOUR_TURN\n":                                                            `line 2: REQ lacks field "co-ordinator"`,
		"BATCH\tat_time_s=1\nREQ\tco-ordinator=1\trid=-4\nYOUR_TURN\n":                                           `line 2: field "rid"`,
		"BATCH\tat_time_s=1\nREQ\tco-ordinator=1\tpriority=zz\nYOUR_TURN\n":                                      `line 2: field "priority"`,
		"BATCH\tat_time_s=1\nCLOSED_ATTEMPT\tco-ordinator=1\treason=FINE\nYOUR_TURN\n":                           `line 2: field "reason"`,
		"BATCH\tat_time_s=1\nWHAT\tco-ordinator=1\nYOUR_TURN\n":                                                  `line 2: unknown message "WHAT"`,
		"BATCH\tat_time_s=1\nENDPOINTS\tco-ordinator=1\tbuffer=4\thow=diff\nYOUR_TURN\n":                         `line 2: field "buffer" names no list`,
		"BATCH\tat_time_s=1\nPOOL\tbuffer=1\trows_in=1\nENTRY\treplica=1\treadiness=x\nYOUR_TURN\n":              `line 3: field "readiness"`,
		"BATCH\tat_time_s=1\n":                                                                                   "input ended within a batch",
		"BATCH\tat_time_s=1\nHELLO\tco-ordinator=1\tseed=1\tclasses.count=1\tclasses.0.promise_s=?\nYOUR_TURN\n": `setting "classes.0.promise_s"`,
	} {
		_, _, err := NewDecoder(strings.NewReader(in)).Batch(nil)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %s", in, err, want)
		}
	}
	if _, _, err := NewDecoder(strings.NewReader("")).Batch(nil); err != io.EOF {
		t.Errorf("an ended input gave %v", err)
	}
}

func TestEncode(t *testing.T) {
	for want, a := range map[string]policy.Action{
		"ATTEMPT\tco-ordinator=3\trid=5\treplica=9\ttry_for_s=0.080000\n": {Verb: policy.Send, Part: 5, Replica: 9, AttemptTimeout: 0.08},
		"REVOKE\tco-ordinator=3\trid=5\tsend_no=2\n":                      {Verb: policy.Cancel, Part: 5, Attempt: 2},
		"WRAP_UP\tco-ordinator=3\trid=4\tfull=1\n":                        {Verb: policy.Answer, Query: 4, Complete: true},
		"BUSY\tco-ordinator=3\trid=4\tcome_back_s=0.500000\n":             {Verb: policy.Refuse, Query: 4, After: 0.5},
		"GIVE_UP\tco-ordinator=3\trid=4\n":                                {Verb: policy.Fail, Query: 4},
		"HEALTH_CHECK\tco-ordinator=3\treplica=9\n":                       {Verb: policy.Probe, Replica: 9},
		"AFTER\tco-ordinator=3\tspan_s=0.500000\thandle=77\n":             {Verb: policy.Timer, After: 0.5, Handle: 77},
		"STREAM_CHANGES\tco-ordinator=3\tfull=1\n":                        {Verb: policy.Watch},
		"REMARK\tco-ordinator=3\twhat=a b c\n":                            {Verb: policy.Log, Text: "a\tb\nc"},
	} {
		if got := string(Append(nil, 3, &a)); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
