package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// coordinatorSet drives many instances by one script. Whatever their number, the list and the queries with their times are
// the same, and outcomes depend only on the replica and the time. No servers are modelled, so nothing queues.
type coordinatorSet struct {
	cfg             Config
	now             float64
	rng             *rand.Rand // of the script: arrival times, and which instance gets each query
	policies        []*Policy
	parts           []map[uint64]*scriptedPart // by instance, the parts in flight
	list            []Entry
	nextID          uint64
	nextArrival     float64         // of the next query
	unresponsive    map[uint64]bool // replicas that never answer
	listUnavailable bool            // the list is not available: calls for it fail and open subscriptions drop
	subscribed      []bool          // by instance: its subscription to the list is open
	startCount      int             // starts of instances so far
	startNumber     []int           // by instance: the number of its latest start

	firstAttempts, secondCopies int                      // first attempts; attempts of a part that is in flight elsewhere
	sends                       map[uint64][]sentAttempt // by replica
	listCalls                   [][]float64              // by instance: calls for the list
}

// scriptedPart is one part with the attempts that the script has not ended yet.
type scriptedPart struct {
	due      float64
	attempts []scriptedAttempt
}

// scriptedAttempt is one attempt in flight with its scripted end.
type scriptedAttempt struct {
	number  int
	replica uint64
	sentAt  float64
	endsAt  float64
	outcome Outcome
}

// sentAttempt is one attempt as sent to a replica.
type sentAttempt struct {
	at             float64
	startNumber    int  // of the instance
	first, suspect bool // the part's first attempt; the instance excluded the replica at the time
}

const (
	scriptedPartRate   = 120.0                               // a second, to all instances together: queries of one part
	scriptedReplicas   = 12                                  // in four cells, three in each
	scriptedAnswerTime = 0.1                                 // s, of each answer
	scriptedWarmRate   = scriptedPartRate / scriptedReplicas // a second, to a warm replica; one core could do no more
)

func newCoordinatorSet(n int, seed uint64, replicas, reach int) *coordinatorSet {
	c := &coordinatorSet{
		cfg: testConfig(Safe), now: 100, rng: rand.New(rand.NewPCG(seed, 5)), nextID: 1,
		unresponsive: map[uint64]bool{}, sends: map[uint64][]sentAttempt{},
	}
	c.cfg.Coordinators, c.cfg.Cells, c.cfg.Reach, c.cfg.Shards, c.cfg.MustSubscribe = n, 4, reach, 4, true
	c.cfg.Classes[0].Promise = 2.5
	for id := range uint64(replicas) {
		c.list = append(c.list, Entry{Replica: id + 1, SharedID: id + 1, Cell: int(id) % c.cfg.Cells, Size: 1})
	}
	c.policies, c.parts, c.startNumber = make([]*Policy, n), make([]map[uint64]*scriptedPart, n), make([]int, n)
	c.subscribed, c.listCalls = make([]bool, n), make([][]float64, n)
	for i := range n {
		c.start(i)
	}
	c.nextArrival = c.now
	return c
}

// start starts or restarts an instance, which then knows only its settings and the current list.
func (c *coordinatorSet) start(i int) {
	cfg := c.cfg
	cfg.Ordinal, cfg.Seed = i, cfg.Seed+uint64(i)*7919+uint64(c.now*1000)
	c.policies[i], c.parts[i], c.subscribed[i] = New(cfg), map[uint64]*scriptedPart{}, false
	c.startNumber[i] = c.startCount
	c.startCount++
	c.handle(i, []Event{{Kind: ListChanged, Full: true, List: slices.Clone(c.list)}})
}

// restartMost restarts 70 % of the instances, chosen by the script.
func (c *coordinatorSet) restartMost() {
	for _, i := range c.rng.Perm(len(c.policies))[:len(c.policies)*7/10] {
		c.start(i)
	}
}

// changeEntry updates one entry of the list for all instances.
func (c *coordinatorSet) changeEntry(e Entry) {
	c.list[e.Replica-1] = e
	for i := range c.policies {
		c.handle(i, []Event{{Kind: ListChanged, List: []Entry{e}}})
	}
}

// handle passes events to an instance and schedules the ends of the attempts that it sends.
func (c *coordinatorSet) handle(i int, events []Event) {
	for _, a := range c.policies[i].Handle(c.now, events) {
		switch a.Verb {
		case Send:
			pt, no := c.parts[i][a.Part], c.policies[i].parts[a.Part].lastAttempt().number
			o := scriptedAttempt{no, a.Replica, c.now, c.now + scriptedAnswerTime, OK}
			if c.unresponsive[a.Replica] || c.now+scriptedAnswerTime >= pt.due {
				o.endsAt, o.outcome = pt.due, TimedOut
			}
			if no == 0 {
				c.firstAttempts++
			} else if len(pt.attempts) > 0 {
				c.secondCopies++
			}
			pt.attempts = append(pt.attempts, o)
			c.sends[a.Replica] = append(c.sends[a.Replica], sentAttempt{c.now, c.startNumber[i], no == 0, c.policies[i].excluded(c.policies[i].replicas[a.Replica], 0)})
		case Cancel:
			if pt := c.parts[i][a.Part]; pt != nil {
				for k := range pt.attempts {
					if pt.attempts[k].number == a.Attempt {
						pt.attempts[k].endsAt, pt.attempts[k].outcome = c.now, Cancelled
					}
				}
			}
		case Watch:
			c.subscribed[i], c.listCalls[i] = true, append(c.listCalls[i], c.now)
		}
	}
}

// runUntil runs the script up to the given time.
func (c *coordinatorSet) runUntil(until float64) {
	tick := c.policies[0].tick
	for c.now < until-tick/2 {
		c.now += tick
		events := make([][]Event, len(c.policies))
		for ; c.nextArrival <= c.now; c.nextArrival += c.rng.ExpFloat64() / scriptedPartRate {
			i, q := c.rng.IntN(len(c.policies)), c.nextID
			c.nextID += 2
			c.parts[i][q+1] = &scriptedPart{due: c.now + 4}
			events[i] = append(events[i], Event{Kind: QueryArrived, Query: q, Group: q, Tenant: -1, Deadline: c.now + 4, Count: 1},
				Event{Kind: PartArrived, Part: q + 1, Group: q, Shard: c.rng.IntN(c.cfg.Shards), Weight: 1})
		}
		for i := range c.policies {
			c.handle(i, append(append([]Event{{Kind: TimerFired}}, c.endedEvents(i)...), events[i]...))
		}
	}
}

// endedEvents returns the events of an instance that are due: the failure of its list call, and attempts that have ended.
func (c *coordinatorSet) endedEvents(i int) (events []Event) {
	if c.listUnavailable && c.subscribed[i] {
		c.subscribed[i] = false
		events = append(events, Event{Kind: ListFailed})
	}
	ids := make([]uint64, 0, len(c.parts[i]))
	for id := range c.parts[i] {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		pt := c.parts[i][id]
		pt.attempts = slices.DeleteFunc(pt.attempts, func(o scriptedAttempt) bool {
			if o.endsAt > c.now {
				return false
			}
			events = append(events, Event{Kind: AttemptEnded, Part: id, Attempt: o.number, Replica: o.replica, Outcome: o.outcome,
				Latency: o.endsAt - o.sentAt})
			return true
		})
		if len(pt.attempts) == 0 && c.now > pt.due+1 {
			delete(c.parts[i], id)
		}
	}
	return events
}

// coordinatorCounts holds the numbers of co-ordinators over which the same traffic is spread.
var coordinatorCounts = []int{10, 100, 300}

// coldLimit returns rule 4's limit on the parts that all instances together send to a replica of the given age in a window:
// OverloadMultiple times what the replica can do at that age, whose warm rate is here at least scriptedWarmRate. root is the
// square root of the mean that coldRate allows, which is lower than the limit to leave room for random variation. Neither
// value depends on the number of co-ordinators.
func coldLimit(c *Config, age float64) (limit, root float64) {
	limit = c.OverloadMultiple * (c.ColdCapacity + (1-c.ColdCapacity)*math.Max(0, age)/c.WarmUp) * scriptedWarmRate * c.OverloadWindow
	return limit, (math.Sqrt(coldDeviations*coldDeviations+4*limit) - coldDeviations) / 2
}

func TestManyCoordinatorsRespectTheColdLimit(t *testing.T) {
	const seeds = 6
	for _, n := range coordinatorCounts {
		// restartAfter seconds after the replica's start, 70 % of the instances restart and forget what was sent; 0 stands
		// for no restart.
		for _, restartAfter := range []float64{0, 1, 3} {
			var cfg Config
			counts, all := make([]int, 10), 0 // by window
			for seed := range uint64(seeds) {
				c := newCoordinatorSet(n, seed, scriptedReplicas, 2)
				c.runUntil(108)
				c.changeEntry(Entry{Replica: 1, SharedID: 1, Size: 1, Started: c.now})
				start := c.now
				if restartAfter > 0 {
					c.runUntil(start + restartAfter)
					c.restartMost()
				}
				c.runUntil(start + 10)
				cfg = c.cfg
				for i, s := range c.sends[1] {
					if s.at <= start || s.at >= start+10 {
						continue
					}
					counts[int((s.at-start)/cfg.OverloadWindow)]++
					all++
					inWindow := 0
					for _, o := range c.sends[1][i:] {
						if o.at < s.at+cfg.OverloadWindow {
							inWindow++
						}
					}
					// The mean lies coldDeviations standard deviations under the limit. None of so few windows lies 3.5 of them
					// over the mean.
					if limit, root := coldLimit(&cfg, s.at-start); float64(inWindow) > limit+1.5*root {
						t.Errorf("%d instances, restart at %v s, seed %d: %d parts in the window from %.2f s on, rule 4's limit is %.1f",
							len(c.policies), restartAfter, seed, inWindow, s.at-start, limit)
					}
				}
			}
			for w, sum := range counts {
				limit, root := coldLimit(&cfg, float64(w)*cfg.OverloadWindow)
				mean, maxMean := float64(sum)/seeds, root*root+2*root/math.Sqrt(seeds) // a window's count has a standard deviation of root
				if restartAfter > 0 && float64(w) >= restartAfter {
					// Credit accrues from the replica's start, so that restarted instances get again the credit that they had before.
					maxMean = limit
				}
				if mean > maxMean {
					t.Errorf("%d instances, restart at %v s: a mean of %.1f parts in window %d, want %.1f at most; rule 4's limit is %.1f",
						n, restartAfter, mean, w, maxMean, limit)
				}
			}
			if t.Logf("%d instances, restart at %v s: parts by window %v, in %d runs", n, restartAfter, counts, seeds); all < seeds {
				t.Error("the starting replica was not used at all")
			}
		}
	}
}

func TestManyCoordinatorsLimitTrialsAndCopies(t *testing.T) {
	faultsUntilSuspect := 1 // consecutive faults that make a replica suspect when there was no outcome before
	for math.Pow(1-faultWeight, float64(faultsUntilSuspect)) >= 1-faultThreshold {
		faultsUntilSuspect++
	}
	const replicas = 4 // each holds all shards: by random choice alone a suspect would get more than the share of trials
	for _, n := range coordinatorCounts {
		for _, restart := range []bool{false, true} {
			c := newCoordinatorSet(n, 1, replicas, 4)
			c.runUntil(108)
			c.unresponsive[2] = true // never answers again, and the list does not say so
			c.runUntil(118)
			if restart {
				c.restartMost()
			}
			c.runUntil(138)
			beforeSuspect, trials, laterAttempts, beforeSuspectByStart := 0, 0, 0, map[int]int{}
			for _, s := range c.sends[2] {
				switch {
				case s.at <= 108:
				case !s.first:
					laterAttempts++
				case s.suspect:
					trials++
				default:
					beforeSuspect++
					beforeSuspectByStart[s.startNumber]++
				}
			}
			t.Logf("%d instances, restart %v: %d first attempts, %d sent before the replica was suspect, %d trials, %d copies",
				n, restart, c.firstAttempts, beforeSuspect, trials, c.secondCopies)
			// Trials are a share of the parts sent, so that their sum depends on the traffic only. Each instance makes one trial
			// at a time, and one in each trialInterval.
			span := 30.0
			if earned := trialShare * float64(c.firstAttempts); float64(trials) > earned {
				t.Errorf("%d trials, more than the %.0f that the parts sent allow", trials, earned)
			}
			if maxTrials := float64(c.startCount) * (1 + span/(trialInterval*c.policies[0].minPromise)); float64(trials) > maxTrials {
				t.Errorf("%d trials, more than the %.0f that their interval allows", trials, maxTrials)
			}
			// Each instance finds the fault for itself, so that this sum grows with their number. For each start it is as many
			// parts as faults are needed, and the instance's share of the parts that go to any holder until the first one counts
			// as lost.
			beforeLoss := math.Ceil(scriptedPartRate / replicas * lostFactor * minLateShare * c.policies[0].minPromise / float64(n))
			for startNumber, k := range beforeSuspectByStart {
				if float64(k) > float64(faultsUntilSuspect)+beforeLoss {
					t.Errorf("start %d sent %d parts before the replica was suspect, want at most %d faults and %.0f sent meanwhile",
						startNumber, k, faultsUntilSuspect, beforeLoss)
				}
			}
			// Each unanswered part gets one copy, at a healthy holder that answers in time; there are no other copies.
			if unanswered := beforeSuspect + trials + laterAttempts; laterAttempts > 0 || c.secondCopies > unanswered || c.secondCopies < unanswered*9/10 {
				t.Errorf("%d copies for %d unanswered attempts, %d of these no first attempts", c.secondCopies, unanswered, laterAttempts)
			}
			if trials < 10 || beforeSuspect < 5 {
				t.Error("too few trials or first attempts at the unresponsive replica")
			}
		}
	}
}

func TestManyCoordinatorsSpaceTheirListCalls(t *testing.T) {
	for _, n := range coordinatorCounts {
		for _, restart := range []bool{false, true} {
			c := newCoordinatorSet(n, 1, scriptedReplicas, 2)
			c.runUntil(103)
			c.listUnavailable = true
			c.runUntil(108)
			if restart {
				c.restartMost()
			}
			c.runUntil(118)
			c.listUnavailable = false
			c.runUntil(123)
			// Each instance calls for itself: once at its start, again when its subscription drops, and then once a promise
			// while calls fail. The sum grows with the number of instances; its rate is that number over the promise, whatever
			// the traffic.
			sum, promise, tick, failingSpan := 0, c.policies[0].minPromise, c.policies[0].tick, 15.0
			for i, at := range c.listCalls {
				sum += len(at)
				for k := 1; k < len(at); k++ {
					if gap := at[k] - at[k-1]; gap < promise-tick && !(restart && at[k] > 108-tick && at[k] < 108+tick) {
						t.Fatalf("instance %d of %d called again after %.3f s", i, n, gap)
					}
				}
				if k := len(at); float64(k) < failingSpan/(promise+2*tick) {
					t.Fatalf("instance %d of %d called only %d times", i, n, k)
				}
				if !c.subscribed[i] || at[len(at)-1] > 118+promise+tick {
					t.Fatalf("instance %d of %d has not subscribed since the list is available again: %v", i, n, at)
				}
			}
			if maxCalls := float64(c.startCount) + float64(n)*failingSpan/promise; float64(sum) > maxCalls {
				t.Errorf("%d instances, restart %v: %d calls, want %.0f at most", n, restart, sum, maxCalls)
			}
			t.Logf("%d instances, restart %v: %d calls", n, restart, sum)
		}
	}
}
