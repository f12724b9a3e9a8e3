package harness

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"time"
)

const (
	seatTime  = 40 * time.Second // for a voter to be replaced, once nothing stands in its way
	proveTime = 30 * time.Second // for a majority in which the new voter is needed to agree on something
	// changes is how a leader logs that one came; a change that was cut off half way is finished with nobody to come.
	changes = `voters change: voter ."n\d+." goes, voter ."(n%d)?." comes" error="<nil>"`
)

// sits tells whether the operators' file names a process as a voter.
func (c *Cluster) sits(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.seats, i)
}

// nextSeat is who takes the next seat of a replaced voter: the first that never had one. Its zone had the fewest voters.
func (c *Cluster) nextSeat() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(voters+len(c.seated), len(c.procs)-1)
}

// replace writes another voter in place of one into the files of all, and says so to them.
func (c *Cluster) replace(old int) error {
	next := c.nextSeat()
	c.mu.Lock()
	at := slices.Index(c.seats, old)
	if at < 0 || slices.Contains(c.seats, next) {
		c.mu.Unlock()
		return fmt.Errorf("process %d has no seat, or none is left to take it", old)
	}
	c.seats[at] = next
	c.seated = append(c.seated, next)
	c.last["old"], c.last["new"] = []int{old}, []int{next}
	c.mu.Unlock()
	for i := range c.procs {
		if err := c.act(DoVoter, i); err != nil {
			c.note("process %d: %v", i, err)
		}
	}
	return nil
}

// prove kills as many voters that the new one's word is needed for a majority, the old one too, and waits until a living
// one's file tells of something agreed after that. When to begin it reads in the leaders' logs; what it proves it does not.
func (c *Cluster) prove() {
	c.mu.Lock()
	old, fresh, seats := c.last["old"], c.last["new"], slices.Clone(c.seats)
	wait := slices.DeleteFunc(slices.Clone(c.seated), func(i int) bool { return !slices.Contains(seats, i) })
	c.mu.Unlock()
	if len(old) == 0 {
		c.wrong("harness: no voter was replaced")
		return
	}
	if !c.within(time.Now(), seatTime, func() bool {
		var logs []byte
		for _, p := range c.procs {
			raw, _ := os.ReadFile(p.Log)
			logs = append(logs, raw...)
		}
		return !slices.ContainsFunc(wait, func(i int) bool { return !regexp.MustCompile(fmt.Sprintf(changes, i)).Match(logs) })
	}) {
		c.note("no leader has said for %v that %v have the seats of others, of process %d the last", seatTime, wait, old[0])
	}
	kill := []int{old[0]}
	for _, i := range seats {
		if i != fresh[0] && len(kill) <= len(seats)/2 {
			kill = append(kill, i)
		}
	}
	c.note("prove: kill %v", kill)
	for _, i := range kill {
		if err := c.act(DoKill, i); err != nil {
			c.note("process %d: %v", i, err)
		}
	}
	var top uint64
	all, _ := c.files.All()
	for _, s := range all {
		top = max(top, s.Index)
	}
	if !c.within(time.Now(), proveTime, func() bool {
		for i := range c.procs {
			if s := c.files.Last(i); s != nil && !slices.Contains(kill, i) && !s.CutOff && s.Index > top {
				return true
			}
		}
		return false
	}) {
		c.wrong("voters: with process %d in place of %d nothing was agreed for %v, while %v were down", fresh[0], old[0], proveTime, kill)
	}
	for _, i := range kill {
		if err := c.startAgain(i); err != nil {
			c.note("process %d: %v", i, err)
		}
	}
}
