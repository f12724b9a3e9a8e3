package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// coordinatorSet steps many instances by one script: the same list, the same queries at the same times, whatever their number,
// and outcomes that hang on the replica and the time alone. There are no servers: nothing here queues.
type coordinatorSet struct {
	cfg             Config
	now             float64
	rng             *rand.Rand // withVerb the script: arrivals, and to which instance they come
	policies        []*Policy
	parts           []map[uint64]*scriptedPart // by instance, those that are out
	list            []Entry
	nextID          uint64
	nextArrival     float64 // withVerb the next query
	unresponsive    map[uint64]bool
	listUnavailable bool   // the list can not be had: calls fail, and what is open drops
	subscribed      []bool // by instance: it has asked for the list
	startCount      int    // instances begun
	startNumber     []int  // by instance: its number among them

	firstAttempts, secondCopies int                      // first sends; sends of a part that is out elsewhere
	sends                       map[uint64][]sentAttempt // by replica
	listCalls                   [][]float64              // by instance: calls for the list
}

type scriptedPart struct {
	due      float64
	attempts []scriptedAttempt
}

type scriptedAttempt struct {
	no      int
	replica uint64
	sentAt  float64
	endsAt  float64
	outcome Outcome
}

type sentAttempt struct {
	at             float64
	startNumber    int // number of the instance's start
	first, suspect bool
}

const (
	scriptedPartRate   = 120.0                               // a second, of all instances: queries of one part
	scriptedReplicas   = 12                                  // endedEvents four cells, three in each
	scriptedAnswerTime = 0.1                                 // s, of each answer
	scriptedWarmRate   = scriptedPartRate / scriptedReplicas // a second, of a warm replica; a core could do no more
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

// start begins an instance anew: it knows its settings, and the list as it stands.
func (c *coordinatorSet) start(i int) {
	cfg := c.cfg
	cfg.Ordinal, cfg.Seed = i, cfg.Seed+uint64(i)*7919+uint64(c.now*1000)
	c.policies[i], c.parts[i], c.subscribed[i] = New(cfg), map[uint64]*scriptedPart{}, false
	c.startNumber[i] = c.startCount
	c.startCount++
	c.handle(i, []Event{{Kind: ListChanged, Full: true, List: slices.Clone(c.list)}})
}

// restartMost ends seven in ten, picked by the script, and starts them again at once.
func (c *coordinatorSet) restartMost() {
	for _, i := range c.rng.Perm(len(c.policies))[:len(c.policies)*7/10] {
		c.start(i)
	}
}

func (c *coordinatorSet) changeEntry(e Entry) {
	c.list[e.Replica-1] = e
	for i := range c.policies {
		c.handle(i, []Event{{Kind: ListChanged, List: []Entry{e}}})
	}
}

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
					if pt.attempts[k].no == a.Attempt {
						pt.attempts[k].endsAt, pt.attempts[k].outcome = c.now, Cancelled
					}
				}
			}
		case Watch:
			c.subscribed[i], c.listCalls[i] = true, append(c.listCalls[i], c.now)
		}
	}
}

// runUntil plays the script until then.
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
			events = append(events, Event{Kind: AttemptEnded, Part: id, Attempt: o.no, Replica: o.replica, Outcome: o.outcome,
				Latency: o.endsAt - o.sentAt})
			return true
		})
		if len(pt.attempts) == 0 && c.now > pt.due+1 {
			delete(c.parts[i], id)
		}
	}
	return events
}

// coordinatorCounts are the numbers of co-ordinators that the same traffic is spread over.
var coordinatorCounts = []int{10, 100, 300}

// Rule 4 counts what all send together. A replica's limit at an age is the multiple of what it can do then, here at least
// scriptedWarmRate; root is what coldRate takes of it, so that chance is borne. Neither knows how many co-ordinators there are.
func coldLimit(c *Config, age float64) (limit, root float64) {
	limit = c.OverloadMultiple * (c.ColdCapacity + (1-c.ColdCapacity)*math.Max(0, age)/c.WarmUp) * scriptedWarmRate * c.OverloadWindow
	return limit, (math.Sqrt(coldDeviations*coldDeviations+4*limit) - coldDeviations) / 2
}

func TestManyCoordinatorsRespectTheColdLimit(t *testing.T) {
	const seeds = 6
	for _, n := range coordinatorCounts {
		for _, restartAfter := range []float64{0, 1, 3} { // s after its start seven in ten start anew, who know of nothing sent
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
					// The mean lies coldDeviations spreads under the limit; none of so few windows lies 3.5 over the mean.
					if limit, root := coldLimit(&cfg, s.at-start); float64(inWindow) > limit+1.5*root {
						t.Errorf("%d, again at %v s, seed %d: %d parts within a window from %.2f s on, rule 4's limit is %.1f",
							len(c.policies), restartAfter, seed, inWindow, s.at-start, limit)
					}
				}
			}
			for w, sum := range counts {
				limit, root := coldLimit(&cfg, float64(w)*cfg.OverloadWindow)
				mean, maxMean := float64(sum)/seeds, root*root+2*root/math.Sqrt(seeds) // chance gives a window's count a spread of root
				if restartAfter > 0 && float64(w) >= restartAfter {
					// Credit counts from the replica's start, so that the new ones have again what the old ones had.
					maxMean = limit
				}
				if mean > maxMean {
					t.Errorf("%d, again at %v s: %.1f parts in window %d, %.1f at most, rule 4's limit is %.1f", n, restartAfter, mean, w, maxMean, limit)
				}
			}
			if t.Logf("%d, again at %v s: %v in windows of %d runs", n, restartAfter, counts, seeds); all < seeds {
				t.Error("the starting replica was not used at all")
			}
		}
	}
}

func TestManyCoordinatorsLimitTrialsAndCopies(t *testing.T) {
	faultsUntilSuspect := 1 // received a row that show, from no outcome before
	for math.Pow(1-faultWeight, float64(faultsUntilSuspect)) >= 1-faultThreshold {
		faultsUntilSuspect++
	}
	const replicas = 4 // that hold all: by chance alone a suspect would get more than the share of trials
	for _, n := range coordinatorCounts {
		for _, restart := range []bool{false, true} {
			c := newCoordinatorSet(n, 1, replicas, 4)
			c.runUntil(108)
			c.unresponsive[2] = true // never answers again, and nothing tells of it
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
			t.Logf("%d, again %v: %d first parts, learnt by %d, %d trials, %d copies", n, restart, c.firstAttempts, beforeSuspect, trials, c.secondCopies)
			// Trials are earned by the parts sent, so their sum hangs on the traffic alone; and one at a time and gap.
			span := 30.0
			if earned := trialShare * float64(c.firstAttempts); float64(trials) > earned {
				t.Errorf("%d trials, %.0f were earned", trials, earned)
			}
			if maxTrials := float64(c.startCount) * (1 + span/(trialInterval*c.policies[0].minPromise)); float64(trials) > maxTrials {
				t.Errorf("%d trials, %.0f at most by their gap", trials, maxTrials)
			}
			// Each learns for itself, so this grows with them: for each start as many parts as faults are needed, and its share
			// of what goes there, as to any holder, until the first counts as lost.
			beforeLoss := math.Ceil(scriptedPartRate / replicas * lostFactor * minLateShare * c.policies[0].minPromise / float64(n))
			for startNumber, k := range beforeSuspectByStart {
				if float64(k) > float64(faultsUntilSuspect)+beforeLoss {
					t.Errorf("start %d learnt by %d parts, %d faults show and %.0f are sent meanwhile", startNumber, k, faultsUntilSuspect, beforeLoss)
				}
			}
			// A copy goes to a sound holder, which answers in time: one for each part that was swallowed, and no others.
			if unanswered := beforeSuspect + trials + laterAttempts; laterAttempts > 0 || c.secondCopies > unanswered || c.secondCopies < unanswered*9/10 {
				t.Errorf("%d copies of %d parts swallowed, %d of them copies", c.secondCopies, unanswered, laterAttempts)
			}
			if trials < 10 || beforeSuspect < 5 {
				t.Error("too few to tell anything")
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
			// Each asks for itself: once at its start, when its call drops, and then once a promise while they fail. The sum
			// grows with the fleet, its rate is that of the fleet over the promise, whatever the traffic.
			sum, promise, tick, failingSpan := 0, c.policies[0].minPromise, c.policies[0].tick, 15.0
			for i, at := range c.listCalls {
				sum += len(at)
				for k := 1; k < len(at); k++ {
					if gap := at[k] - at[k-1]; gap < promise-tick && !(restart && at[k] > 108-tick && at[k] < 108+tick) {
						t.Fatalf("instance %d of %d asked again after %.3f s", i, n, gap)
					}
				}
				if k := len(at); float64(k) < failingSpan/(promise+2*tick) {
					t.Fatalf("instance %d of %d asked only %d times", i, n, k)
				}
				if !c.subscribed[i] || at[len(at)-1] > 118+promise+tick {
					t.Fatalf("instance %d of %d has no call open since the list can be had: %v", i, n, at)
				}
			}
			if maxCalls := float64(c.startCount) + float64(n)*failingSpan/promise; float64(sum) > maxCalls {
				t.Errorf("%d, again %v: %d calls, %.0f at most", n, restart, sum, maxCalls)
			}
			t.Logf("%d, again %v: %d calls", n, restart, sum)
		}
	}
}
