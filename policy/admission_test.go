package policy

import (
	"testing"
)

// Where every holder of a shard fails its class, a query is refused at arrival until one is due for a trial, and not
// let in to take the work of its other parts with it; the class that they serve is let in.
func TestQueryIsRefusedWhereEveryHolderFails(t *testing.T) {
	cfg := settings(Safe)
	cfg.Classes = append(cfg.Classes, cfg.Classes[0])
	r := newRig(t, cfg)
	for _, x := range r.p.list {
		x.suspect, x.nextTrialAt = true, r.now+1
		x.records[0] = healthRecord{suspect: true, failing: true, badShare: 1, suspectSince: r.now, updatedAt: r.now}
		x.records[1] = healthRecord{lastGoodAt: r.now, updatedAt: r.now}
	}
	for _, c := range []struct {
		class   int
		wait    float64
		refused int
	}{{0, 0, 1}, {1, 0, 0}, {0, 1.1, 0}} {
		r.now += c.wait
		r.do()
		r.next += 100
		acts := r.do(
			Event{Kind: QueryArrived, Query: r.next, Group: r.next, Class: c.class, Tenant: -1, Deadline: r.now + 3, Count: 1},
			Event{Kind: PartArrived, Part: r.next + 1, Group: r.next, Weight: 1})
		if n := len(of(Refuse, acts)); n != c.refused {
			t.Errorf("class %d after %v s: %d refused, want %d", c.class, c.wait, n, c.refused)
		}
	}
}

// Guards against the collapse of a fleet of many co-ordinators with little traffic each: with nothing of its own out,
// one still knows from its latest parts that the queues are long, refuses the queries that would wait in vain, and
// goes and sees again after a while without news.
func TestAdmissionRefusesForRecentLatencyWithNothingInFlight(t *testing.T) {
	crowd := map[string]func(r *rig){
		"slow answers": func(r *rig) {
			for range 4 {
				_, parts, _ := r.ask(6, 4)
				for _, id := range parts {
					r.do(Event{Kind: AttemptEnded, Part: id, Outcome: OK, Latency: 0.4})
				}
			}
		},
		"full queues": func(r *rig) {
			for range 4 {
				q, parts, _ := r.ask(6, 4)
				for _, id := range parts {
					r.end(id, 0, 1, Rejected)
				}
				r.do(Event{Kind: ClientLeft, Query: q})
				for _, id := range parts {
					r.end(id, 1, 2, Cancelled)
				}
			}
		},
	}
	for name, fill := range crowd {
		cfg := settings(Safe)
		cfg.Coordinators, cfg.Shards = 300, 60
		steps := cfg.Classes[0]
		steps.FollowUp = 5
		cfg.Classes = append(cfg.Classes, steps)
		r := newRig(t, cfg)
		wide := func(id uint64) []Action {
			events := []Event{{Kind: QueryArrived, Query: id, Group: id, Class: 1, Tenant: -1, Deadline: r.now + 4, Count: 60}}
			for i := range 60 {
				events = append(events, Event{Kind: PartArrived, Part: id + uint64(i) + 1, Group: id, Shard: i, Weight: 1.0 / 60})
			}
			return r.do(events...)
		}
		fill(r)
		if r.p.inFlight > 0 {
			t.Fatalf("%s: %d parts are out", name, r.p.inFlight)
		}
		if acts := wide(100000); len(of(Refuse, acts)) != 1 || len(of(Send, acts)) > 0 {
			t.Errorf("%s: not refused at once: %d sent", name, len(of(Send, acts)))
		}
		r.run(3 * historySpan)
		if acts := wide(200000); len(of(Send, acts)) == 0 {
			t.Errorf("%s: still refused after %v promises without news", name, 3*historySpan)
		}
	}
}

// shutByLatency brings an instance to refuse for what its latest parts took, and leaves nothing of its own out.
func (r *rig) shutByLatency(swift, slow float64) {
	r.t.Helper()
	for _, took := range []float64{swift, slow} {
		var out []uint64
		for range 10 { // all before the first answer
			_, parts, _ := r.ask(6, 4)
			out = append(out, parts...)
		}
		for _, id := range out {
			r.do(Event{Kind: AttemptEnded, Part: id, Outcome: OK, Latency: took})
		}
	}
	if _, _, acts := r.ask(1, 4); len(of(Refuse, acts)) != 1 || acts[0].Reason != RecentLatency {
		r.t.Fatalf("not refused while parts take %v of the promise: %+v", slow, acts)
	}
}

// trickle asks for queries of one part for a while, each answered after so long, and counts what came of them.
func (r *rig) trickle(span, every, took float64) (refused, sent int) {
	for end := r.now + span; r.now < end; {
		_, parts, acts := r.ask(1, 4)
		if len(of(Refuse, acts)) > 0 {
			refused++
		} else {
			sent++
			r.run(took)
			r.do(Event{Kind: AttemptEnded, Part: parts[0], Outcome: OK, Latency: took})
		}
		r.run(every)
	}
	return refused, sent
}

// Guards against an admission that stays shut: one that refuses for what its latest parts took is open again once the parts
// that it lets in come back swiftly, however few these are.
func TestAdmissionReopensOnceAnswersAreFast(t *testing.T) {
	const swift, slow, every = 0.08, 0.9, 0.2 // s, of a promise of 1 s
	r := newRig(t, settings(Safe))
	r.shutByLatency(swift, slow)
	for r.now < 100+3*historySpan { // until the first goes and sees
		if _, sent := r.trickle(every, every, swift); sent > 0 {
			break
		}
	}
	r.trickle(historySpan, every, swift)
	if refused, sent := r.trickle(historySpan, every, swift); refused > 0 {
		t.Errorf("%d refused, %d let in, %v promises after the first swift answer", refused, sent, historySpan)
	}
}

// Guards against seconds in which nothing is served though the queues have gone: one that refuses for latencies and has
// nothing out goes and sees within the promise, and by two promises refuses no more.
func TestIdleInstanceAdmitsAProbeQueryWithinThePromise(t *testing.T) {
	const swift, slow, every = 0.08, 0.9, 0.1 // s, of a promise of 1 s
	r := newRig(t, settings(Safe))
	r.shutByLatency(swift, slow)
	if _, sent := r.trickle(1, every, swift); sent == 0 {
		t.Error("none is let in within the promise")
	}
	r.trickle(1, every, swift)
	if refused, sent := r.trickle(2, every, swift); refused > 0 {
		t.Errorf("%d refused, %d let in, two promises after the last slow answer", refused, sent)
	}
}

// Guards against many co-ordinators with few replicas that fill these by going to see: all together use no more than their share.
func TestProbeQueriesUseAtMostTheirShareOfTheReplicas(t *testing.T) {
	const swift, slow, span = 0.08, 0.9, 4.0
	cfg := settings(Safe)
	cfg.Coordinators = 100 // of four replicas
	r := newRig(t, cfg)
	r.shutByLatency(swift, slow)
	if _, sent := r.trickle(span, 0.1, slow); float64(sent)*swift*float64(cfg.Coordinators) > maxProbeShare*4*span {
		t.Errorf("%d let in within %v s", sent, span)
	}
}
