package expect

import (
	"math"
	"math/rand/v2"
	"slices"

	"birchcart/internal/admission"
	"birchcart/internal/checker"
	"birchcart/internal/settings"
	"birchcart/policy"
)

const (
	epoch      = 1e6   // s: the module's clock at the start, far from 0, which means 'long ago' in the list
	refuseTime = 0.001 // s: until a reader that takes nothing is known to
	faultTime  = 0.002 // s: until a reader that fails at once has
	closeAfter = 0.040 // s after its end at which a query that nobody ended is closed, as on sockets
	turnsMost  = 200   // turns without time passing on: the module asks for ever
)

// reader is one replica of the world.
type reader struct {
	up      bool // in fact: its process runs
	started float64
	told    policy.Readiness
	answers []string  // by class
	slow    []float64 // by class
	out     []*attempt
}

type query struct {
	rec   int // place in the record
	route int // from 1; 0: none
	id    uint64
	load  *Load
	class int
	due   float64
	step  int
	over  bool
	parts []*part
}

type part struct {
	id       uint64
	q        *query
	shard    int
	attempts []*attempt
	in       bool
}

type attempt struct {
	part   *part
	no     int
	reader int
	sentAt float64
	ended  bool
}

// sent is one attempt in the record.
type sent struct {
	at             float64 // ms
	turn           int
	query, part    int // places in the record; parts count through
	shard, attempt int
	reader         int
	step           int
}

// asked is one query in the record.
type asked struct {
	at            float64 // ms
	turn          int     // in which it was planned
	class, tenant int
	shards        []int
	end           policy.Verb
	endAt         float64 // ms
	ended, whole  bool
	comeBack      float64 // s
}

// tell is one piece of news that reached the module.
type tell struct {
	at     float64 // ms
	reader int
	state  policy.Readiness
	cold   bool
}

// record is all of a run that claims are judged by.
type record struct {
	sends    []sent
	queries  []asked
	tells    []tell
	happened []*Step // that came about
	faults   []checker.Fault
	stuck    bool
}

// world plays one situation at one seed.
type world struct {
	d     *Deployment
	e     *Expectation
	p     *policy.Policy
	chk   *checker.Checker
	now   float64 // s
	turns int
	items agenda
	seq   uint64

	phase, latency, draw, which *rand.Rand // one stream a purpose

	readers []reader
	gate    *admission.Gate // before the routes, nil if there are none
	parts   map[uint64]*part
	queries map[uint64]*query
	loads   []loadState
	lastID  uint64
	events  []policy.Event
	peers   int // that are down now
	rec     record
}

type loadState struct {
	class, tenant int
	shards        []int
}

func newWorld(d *Deployment, e *Expectation, seed uint64) *world {
	cfg := d.Config
	cfg.Seed ^= seed * 0x9e3779b97f4a7c15 // spread the seeds over all bits
	stream := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	w := &world{
		d: d, e: e, p: policy.New(cfg), chk: checker.New(cfg), now: epoch,
		phase: stream(1), latency: stream(2), draw: stream(3), which: stream(4),
		parts: map[uint64]*part{}, queries: map[uint64]*query{},
	}
	if d.Routes != nil {
		rules := make([]admission.Rule, len(d.Routes.Routes))
		for i := range rules {
			rules[i] = admission.Rule(d.Routes.Routes[i].Room)
		}
		w.gate = admission.New(rules, len(d.Names.Tenants), seed)
	}
	if e.ReaderCapacity > 0 {
		w.chk.Capacity = func(uint64) float64 { return e.ReaderCapacity }
	}
	list := policy.Event{Kind: policy.ListChanged, Full: true, Stale: true, Tenant: -1}
	classes := len(cfg.Classes)
	answers, slow := make([]string, classes*len(d.Ring.Replicas())), make([]float64, classes*len(d.Ring.Replicas()))
	for i, r := range d.Ring.Replicas() {
		rd := reader{up: r.Up, answers: answers[i*classes : (i+1)*classes], slow: slow[i*classes : (i+1)*classes]}
		for c := range rd.slow {
			rd.slow[c], rd.answers[c] = 1, "ok"
		}
		if !r.Up {
			rd.told = policy.Removed
		}
		w.readers = append(w.readers, rd)
		list.List = append(list.List, w.entry(i))
	}
	w.events = append(w.events, list)
	for i := range e.Load {
		l := &e.Load[i]
		w.loads = append(w.loads, loadState{
			class: settings.Place(d.Names.Classes, l.Class), tenant: settings.Place(d.Names.Tenants, l.Tenant),
			shards: d.of(l.Square, l.Shards),
		})
		w.put(item{at: epoch + (l.From+w.phase.Float64()*l.Every)/1000, kind: askItem, load: i})
	}
	for i := range e.Timeline {
		w.put(item{at: epoch + e.Timeline[i].At/1000, kind: stepItem, step: &e.Timeline[i]})
	}
	return w
}

func (w *world) put(it item) {
	w.seq++
	it.seq = w.seq
	w.items.push(it)
}

func (w *world) id() uint64 {
	w.lastID++
	return w.lastID
}

// ms is the world's time as expectations write it.
func (w *world) ms() float64 { return (w.now - epoch) * 1000 }

func (w *world) entry(i int) policy.Entry {
	r := w.d.Ring.Replicas()[i]
	return policy.Entry{
		Replica: uint64(i) + 1, SharedID: uint64(i) + 1, Cell: r.Cell, Zone: settings.Place(w.d.Names.Zones, r.DataCentre), State: w.readers[i].told,
		Size: 1, Started: w.readers[i].started,
	}
}

// play runs to the end of the situation, and on until what was asked has ended.
func (w *world) play() *record {
	end := epoch + w.e.For/1000
	w.until(end)
	for len(w.queries) > 0 && !w.rec.stuck { // no more is asked; each has its own end
		w.turn()
	}
	w.chk.End(w.now)
	w.rec.faults = w.chk.Faults()
	return &w.rec
}

// until takes turns as long as they lie before the end.
func (w *world) until(end float64) {
	for w.turns == 0 || len(w.items) > 0 && math.Max(w.items[0].at, w.now) < end && !w.rec.stuck {
		w.turn()
	}
}

// turn is one round, as the exchange takes them: spaced by the resolution, the list first.
func (w *world) turn() {
	if w.turns > 0 {
		w.now += w.d.Config.Resolution
		if len(w.items) > 0 {
			w.now = math.Max(w.now, w.items[0].at)
		}
	}
	w.turns++
	for len(w.items) > 0 && w.items[0].at <= w.now {
		it := w.items.pop()
		w.take(&it)
	}
	slices.SortStableFunc(w.events, func(a, b policy.Event) int { return listFirst(a.Kind) - listFirst(b.Kind) })
	for i := range w.events {
		w.chk.Event(w.now, w.events[i])
	}
	actions := w.p.Handle(w.now, w.events)
	w.events = w.events[:0]
	for i := range actions {
		w.chk.Action(w.now, actions[i])
		w.do(&actions[i])
	}
	if w.turns > 1000*turnsMost && w.ms() < w.e.For/1000 {
		w.rec.stuck = true
	}
}

func listFirst(k policy.Kind) int {
	if k == policy.ListChanged {
		return 0
	}
	return 1
}

func (w *world) take(it *item) {
	switch it.kind {
	case newsItem:
		w.tell(it.reader, it.entry)
	case stepItem:
		w.happen(it.step)
	case overItem:
		it.undo()
	case askItem:
		w.ask(it)
	case partsItem:
		w.second(it.query)
	case endItem:
		w.end(it.attempt, it.outcome)
	case timerItem:
		w.events = append(w.events, policy.Event{Kind: policy.TimerFired, Handle: it.handle, Tenant: -1})
	case closeItem:
		if q := it.query; !q.over {
			w.events = append(w.events, policy.Event{Kind: policy.ClientLeft, Query: q.id, Tenant: -1})
			w.close(q)
		}
	}
}

// befalls lists the readers that a step befalls.
func (w *world) befalls(s *Step) []int {
	all := w.d.Ring.Replicas()
	if s.Share > 0 {
		n := max(1, int(math.Round(s.Share*float64(len(all)))))
		out := w.which.Perm(len(all))[:n]
		slices.Sort(out)
		return out
	}
	var out []int
	for i, r := range all {
		if s.All || r.Name == s.Reader && s.Reader != "" || r.DataCentre == s.DataCentre && s.DataCentre != "" || s.Cell != nil && r.Cell == *s.Cell {
			out = append(out, i)
		}
	}
	return out
}
