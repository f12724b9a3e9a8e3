package policy

import (
	"testing"
)

// A query is refused at arrival while every holder of one of its shards fails the query's class, until a holder is due
// for a trial. If it were admitted, the work on its other parts would be wasted. The class that the holders serve is
// admitted.
func TestQueryIsRefusedWhereEveryHolderFails(t *testing.T) {
	cfg := testConfig(Safe)
	cfg.Classes = append(cfg.Classes, cfg.Classes[0])
	r := newRig(t, cfg)
	for _, rep := range r.p.list {
		rep.suspect, rep.nextTrialAt = true, r.now+1
		rep.records[0] = healthRecord{suspect: true, failing: true, badShare: 1, suspectSince: r.now, updatedAt: r.now}
		rep.records[1] = healthRecord{lastGoodAt: r.now, updatedAt: r.now}
	}
	for _, c := range []struct {
		class   int
		wait    float64
		refused int
	}{{0, 0, 1}, {1, 0, 0}, {0, 1.1, 0}} {
		r.now += c.wait
		r.handle()
		r.nextID += 100
		acts := r.handle(
			Event{Kind: QueryArrived, Query: r.nextID, Group: r.nextID, Class: c.class, Tenant: -1, Deadline: r.now + 3, Count: 1},
			Event{Kind: PartArrived, Part: r.nextID + 1, Group: r.nextID, Weight: 1})
		if n := len(withVerb(Refuse, acts)); n != c.refused {
			t.Errorf("class %d after %v s: %d refused, want %d", c.class, c.wait, n, c.refused)
		}
	}
}

// Guards against the collapse of a fleet with many co-ordinators that each have little traffic. An instance with nothing
// in flight still knows from the latency of its latest parts that the queues are long: it refuses queries that would not
// be answered in time, and admits one again after a period without samples.
func TestAdmissionRefusesForRecentLatencyWithNothingInFlight(t *testing.T) {
	causes := map[string]func(r *rig){
		"slow answers": func(r *rig) {
			for range 4 {
				_, parts, _ := r.submit(6, 4)
				for _, id := range parts {
					r.handle(Event{Kind: AttemptEnded, Part: id, Outcome: OK, Latency: 0.4})
				}
			}
		},
		"full queues": func(r *rig) {
			for range 4 {
				q, parts, _ := r.submit(6, 4)
				for _, id := range parts {
					r.endAttempt(id, 0, 1, Rejected)
				}
				r.handle(Event{Kind: ClientLeft, Query: q})
				for _, id := range parts {
					r.endAttempt(id, 1, 2, Cancelled)
				}
			}
		},
	}
	for name, showQueues := range causes {
		cfg := testConfig(Safe)
		cfg.Coordinators, cfg.Shards = 300, 60
		steps := cfg.Classes[0]
		steps.FollowUp = 5
		cfg.Classes = append(cfg.Classes, steps)
		r := newRig(t, cfg)
		submitWide := func(id uint64) []Action {
			events := []Event{{Kind: QueryArrived, Query: id, Group: id, Class: 1, Tenant: -1, Deadline: r.now + 4, Count: 60}}
			for i := range 60 {
				events = append(events, Event{Kind: PartArrived, Part: id + uint64(i) + 1, Group: id, Shard: i, Weight: 1.0 / 60})
			}
			return r.handle(events...)
		}
		showQueues(r)
		if r.p.inFlight > 0 {
			t.Fatalf("%s: %d parts are in flight", name, r.p.inFlight)
		}
		if acts := submitWide(100000); len(withVerb(Refuse, acts)) != 1 || len(withVerb(Send, acts)) > 0 {
			t.Errorf("%s: the query was not refused at arrival: %d parts sent", name, len(withVerb(Send, acts)))
		}
		r.advance(3 * historySpan)
		if acts := submitWide(200000); len(withVerb(Send, acts)) == 0 {
			t.Errorf("%s: still refused after %v promises without a latency sample", name, 3*historySpan)
		}
	}
}

// closeAdmissionByLatency answers parts so slowly that the instance refuses queries for their recent latency, and leaves
// nothing in flight.
func (r *rig) closeAdmissionByLatency(fast, slow float64) {
	r.t.Helper()
	for _, latency := range []float64{fast, slow} {
		var partIDs []uint64
		for range 10 { // all of them are in flight before the first answer
			_, parts, _ := r.submit(6, 4)
			partIDs = append(partIDs, parts...)
		}
		for _, id := range partIDs {
			r.handle(Event{Kind: AttemptEnded, Part: id, Outcome: OK, Latency: latency})
		}
	}
	if _, _, acts := r.submit(1, 4); len(withVerb(Refuse, acts)) != 1 || acts[0].Reason != RecentLatency {
		r.t.Fatalf("not refused although parts take %v of the promise: %+v", slow, acts)
	}
}

// submitRegularly submits one-part queries for the given span, answers each admitted one after the given latency, waits
// for the interval, and counts how many were refused and admitted.
func (r *rig) submitRegularly(span, interval, latency float64) (refused, admitted int) {
	for end := r.now + span; r.now < end; {
		_, parts, acts := r.submit(1, 4)
		if len(withVerb(Refuse, acts)) > 0 {
			refused++
		} else {
			admitted++
			r.advance(latency)
			r.handle(Event{Kind: AttemptEnded, Part: parts[0], Outcome: OK, Latency: latency})
		}
		r.advance(interval)
	}
	return refused, admitted
}

// Guards against admission that stays closed: an instance that refuses queries for recent latency admits all again once
// the few parts that it does send are answered fast.
func TestAdmissionReopensOnceAnswersAreFast(t *testing.T) {
	const fast, slow, interval = 0.08, 0.9, 0.2 // s, of a promise of 1 s
	r := newRig(t, testConfig(Safe))
	r.closeAdmissionByLatency(fast, slow)
	for r.now < 100+3*historySpan { // until the first probe query is admitted
		if _, admitted := r.submitRegularly(interval, interval, fast); admitted > 0 {
			break
		}
	}
	r.submitRegularly(historySpan, interval, fast)
	if refused, admitted := r.submitRegularly(historySpan, interval, fast); refused > 0 {
		t.Errorf("%d refused, %d admitted, %v promises after the first fast answer", refused, admitted, historySpan)
	}
}

// Guards against serving nothing for seconds after the queues have drained: an instance that refuses queries for recent
// latency and has nothing in flight admits a probe query within the promise, and after two promises refuses no more.
func TestIdleInstanceAdmitsAProbeQueryWithinThePromise(t *testing.T) {
	const fast, slow, interval = 0.08, 0.9, 0.1 // s, of a promise of 1 s
	r := newRig(t, testConfig(Safe))
	r.closeAdmissionByLatency(fast, slow)
	if _, admitted := r.submitRegularly(1, interval, fast); admitted == 0 {
		t.Error("no query is admitted within the promise")
	}
	r.submitRegularly(1, interval, fast)
	if refused, admitted := r.submitRegularly(2, interval, fast); refused > 0 {
		t.Errorf("%d refused, %d admitted, two promises after the last slow answer", refused, admitted)
	}
}

// Guards against many co-ordinators that fill few replicas with probe queries: all co-ordinators together use at most
// maxProbeShare of the replicas.
func TestProbeQueriesUseAtMostTheirShareOfTheReplicas(t *testing.T) {
	const fast, slow, span = 0.08, 0.9, 4.0
	cfg := testConfig(Safe)
	cfg.Coordinators = 100 // for four replicas
	r := newRig(t, cfg)
	r.closeAdmissionByLatency(fast, slow)
	if _, admitted := r.submitRegularly(span, 0.1, slow); float64(admitted)*fast*float64(cfg.Coordinators) > maxProbeShare*4*span {
		t.Errorf("%d probe queries admitted within %v s, which is more than the share of all co-ordinators", admitted, span)
	}
}
