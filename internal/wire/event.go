package wire

import (
	"fmt"

	"birchcart/internal/settings"
	"birchcart/policy"
)

var outcomes = []struct {
	name string
	code policy.Outcome
}{
	{"OK", policy.OK}, {"INTERNAL", policy.Failed}, {"RESOURCE_EXHAUSTED", policy.Rejected},
	{"DEADLINE_EXCEEDED", policy.TimedOut}, {"UNAVAILABLE", policy.Unreachable}, {"ABORTED", policy.ConnectionBroken},
	{"CANCELLED", policy.Cancelled}, {"TOO_LATE", policy.NotSent},
}

func (f *fields) outcome() policy.Outcome {
	for _, o := range outcomes {
		if o.name == f.val {
			return o.code
		}
	}
	f.fail(fmt.Sprintf("is no outcome: %q", f.val))
	return 0
}

// event decodes one line; ok is false for what the decisions have no use for.
func (d *Decoder) event(name, rest string) (it Item, ok bool, err error) {
	it = Item{Op: Deliver, Instance: -1}
	ev := &it.Event
	ev.Tenant = -1
	f := fields{d: d, rest: rest}
	var names *settings.Names
	// The instance's number decides how names are read, so it is looked for before the other fields.
	for g := f; g.next(); {
		if g.name == "co-ordinator" {
			it.Instance = g.int()
			if g.err != nil {
				return it, false, g.err
			}
			break
		}
	}
	if it.Instance < 0 {
		return it, false, fmt.Errorf("line %d: %s lacks field %q", d.line, name, "co-ordinator")
	}
	if names = d.names[it.Instance]; names == nil {
		names = &settings.Names{}
	}
	switch name {
	case "HELLO":
		err := d.hello(&it, &f)
		return it, err == nil, err
	case "KILLED":
		it.Op = Killed
		return it, true, nil
	case "PEER_DATA", "ESTABLISHED":
		return it, false, nil
	case "REQ":
		f.request(ev, names)
	case "CLOSED_ATTEMPT":
		ev.Kind = policy.AttemptEnded
		f.attemptEnded(ev)
	case "ECHO":
		ev.Kind = policy.ProbeEnded
		f.attemptEnded(ev)
	case "LAPSED":
		ev.Kind = policy.ClientLeft
		f.number("rid", &ev.Query)
	case "ALARM":
		ev.Kind = policy.TimerFired
		f.number("handle", &ev.Handle)
	case "ENDPOINTS":
		if err := d.endpoints(ev, &f, names); err != nil {
			return it, false, err
		}
	default:
		return it, false, fmt.Errorf("line %d: unknown message %q", d.line, name)
	}
	return it, f.err == nil, f.err
}

// hello reads an instance's settings.
func (d *Decoder) hello(it *Item, f *fields) error {
	var pairs []string
	var seed uint64
	for f.next() {
		switch f.name {
		case "co-ordinator":
		case "seed":
			seed = f.uint()
		default:
			pairs = append(pairs, f.name, f.val)
		}
	}
	if f.err != nil {
		return f.err
	}
	cfg, names, err := settings.Config(settings.FromPairs(pairs))
	if err != nil {
		return fmt.Errorf("line %d: %w", d.line, err)
	}
	cfg.Seed = seed
	it.Op, it.Config, d.names[it.Instance] = Start, cfg, names
	return nil
}

// request reads a query or one of its parts.
func (f *fields) request(ev *policy.Event, names *settings.Names) {
	ev.Shard = -1
	amount := 0.0
	id := uint64(0)
	for f.next() {
		switch f.name {
		case "rid":
			id = f.uint()
		case "group_no":
			ev.Group = f.uint()
		case "share_or_count":
			amount = f.float()
		case "customer":
			ev.Tenant = f.place(names.Tenants)
		case "due_s":
			ev.Deadline = f.float()
		case "work_hint_s":
			ev.Work = f.float()
		case "is_retry":
			ev.Retry = f.bool()
		case "priority":
			ev.Class = f.place(names.Classes)
		case "segment_no":
			ev.Shard = f.int()
		}
	}
	if ev.Shard >= 0 {
		ev.Kind, ev.Part, ev.Weight = policy.PartArrived, id, amount
	} else {
		ev.Kind, ev.Query, ev.Count = policy.QueryArrived, id, int(amount+0.5)
	}
}

// attemptEnded reads the end of an attempt or of a probe.
func (f *fields) attemptEnded(ev *policy.Event) {
	for f.next() {
		switch f.name {
		case "rid":
			ev.Part = f.uint()
		case "wait_time_s":
			ev.Latency = f.float()
		case "send_no":
			ev.Attempt = f.int()
		case "replica":
			ev.Replica = f.uint()
		case "reason":
			ev.Outcome = f.outcome()
		case "health_info":
			ev.Report = f.floats()
		}
	}
}

// number reads the one field that an event needs.
func (f *fields) number(name string, into *uint64) {
	for f.next() {
		if f.name == name {
			*into = f.uint()
		}
	}
}

// endpoints reads news of the list of replicas, whose entries came before, numbered.
func (d *Decoder) endpoints(ev *policy.Event, f *fields, names *settings.Names) error {
	ev.Kind = policy.ListChanged
	number := uint64(0)
	for f.next() {
		switch f.name {
		case "buffer":
			number = f.uint()
		case "how":
			f.how(ev)
		}
	}
	if f.err != nil || ev.Kind != policy.ListChanged {
		return nil // the field's error is told by the caller
	}
	rows, known := d.pools[number]
	if !known {
		return fmt.Errorf("line %d: field %q names no list: %d", d.line, "buffer", number)
	}
	ev.List = make([]policy.Entry, len(rows))
	for i, row := range rows {
		ev.List[i] = row.entry
		ev.List[i].Zone = settings.Place(names.Zones, row.zone)
	}
	return nil
}

// how reads what kind of news of the list it is.
func (f *fields) how(ev *policy.Event) {
	switch f.val {
	case "diff":
	case "snapshot":
		ev.Full = true
	case "disk":
		ev.Full, ev.Stale = true, true
	case "error":
		ev.Kind = policy.ListFailed
	default:
		f.fail(fmt.Sprintf("is unknown: %q", f.val))
	}
}
