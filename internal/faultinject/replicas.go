package faultinject

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"birchcart/internal/standin"
)

// Replicas are the replicas of a deployment, one for each name.
type Replicas struct {
	all   []*standin.Replica
	mu    sync.Mutex
	rng   *rand.Rand
	work  time.Duration
	hangs map[string]time.Time // by name: it answers nothing until then
	share float64              // of the parts that go wrong
	ran   map[string]int       // by part: how often it may have run
}

// NewReplicas starts n replicas whose answers take a mean of work.
func NewReplicas(n int, work time.Duration, seed uint64) (*Replicas, error) {
	r := &Replicas{rng: rand.New(rand.NewPCG(seed, 1)), work: work, hangs: map[string]time.Time{}, ran: map[string]int{}}
	for i := range n {
		name := fmt.Sprintf("s-%d", i)
		replica, err := standin.NewReplica(name, func(a standin.Asked) standin.Does { return r.does(name, a) })
		if err != nil {
			r.Close()
			return nil, err
		}
		r.all = append(r.all, replica)
	}
	return r, nil
}

// does is what a replica does with a part.
func (r *Replicas) does(name string, a standin.Asked) standin.Does {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := standin.Does{Value: []byte("v-" + a.ID), Score: 5, After: time.Duration(r.rng.ExpFloat64() * float64(r.work))}
	if time.Now().Before(r.hangs[name]) {
		r.ran[a.ID]++
		d.Trouble = standin.Silent
		return d
	}
	if r.rng.Float64() < r.share {
		d.Trouble = []standin.Trouble{standin.Fault, standin.Overload, standin.Silent, standin.HangUp}[r.rng.IntN(4)]
	}
	if d.Trouble != standin.Overload {
		r.ran[a.ID]++
	}
	return d
}

// Ran is by part how often it may have run.
func (r *Replicas) Ran() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.ran)
}

// Crash has a replica end with all its connections, and start again after a while.
func (r *Replicas) Crash(number int, span time.Duration) {
	replica := r.all[number]
	replica.Crash()
	time.AfterFunc(span, func() { _ = replica.Restart() }) // where its port was taken meanwhile it stays down
}

// Names are the replicas' names.
func (r *Replicas) Names() (names []string) {
	for _, replica := range r.all {
		names = append(names, replica.Name)
	}
	return names
}

// Hang has a replica answer nothing for a while.
func (r *Replicas) Hang(name string, span time.Duration) {
	r.mu.Lock()
	r.hangs[name] = time.Now().Add(span)
	r.mu.Unlock()
}

// SetTrouble has a share of all parts go wrong from now on.
func (r *Replicas) SetTrouble(share float64) {
	r.mu.Lock()
	r.share = share
	r.mu.Unlock()
}

// Endpoints is the list of the replicas: as many cells as there are replicas in a half, two replicas in each.
func (r *Replicas) Endpoints() (list []standin.Endpoint) {
	for i, replica := range r.all {
		list = append(list, standin.Endpoint{
			Name: replica.Name, Address: replica.Address(), Zone: "a", Type: "std", Group: i % r.Cells(), Status: "Ready", Weight: 1,
		})
	}
	return list
}

// Cells is how many cells the replicas make up.
func (r *Replicas) Cells() int { return len(r.all) / 2 }

// Close ends all.
func (r *Replicas) Close() {
	for _, replica := range r.all {
		replica.Close()
	}
}

// Part is one that a replica got.
type Part struct {
	Replica string
	standin.Asked
}

// Parts lists all that the replicas got.
func (r *Replicas) Parts() (parts []Part) {
	for _, replica := range r.all {
		for _, a := range replica.Asked() {
			parts = append(parts, Part{replica.Name, a})
		}
	}
	return parts
}
