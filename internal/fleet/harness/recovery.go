package harness

import (
	"fmt"
	"time"
)

const (
	recoverMost = 30 * time.Second
	calmTime    = 3 * time.Second // between trials: all have heard of the leader, and polls run
)

// Recoveries kills the leader so many times, each time starting it again, and tells how long it took until another one
// led, and until the grants files of all living processes told of it, none of them cut off.
func Recoveries(opt Options, processes, trials int) (led, heardIn []time.Duration, err error) {
	c, err := NewCluster(opt, processes, 1)
	if err != nil {
		return nil, nil, err
	}
	defer c.Close()
	if err := c.StartAll(); err != nil {
		return nil, nil, err
	}
	for n := range trials {
		if !c.sleep(calmTime + c.luck(time.Second)) {
			return led, heardIn, errEnded
		}
		old := c.Leader()
		if old < 0 {
			return led, heardIn, fmt.Errorf("trial %d: nobody leads", n)
		}
		at := time.Now()
		c.act(DoKill, old)
		if !c.until(recoverMost, func() bool { x := c.Leader(); return x >= 0 && x != old }) {
			return led, heardIn, fmt.Errorf("trial %d: nobody leads %v after the leader's death", n, recoverMost)
		}
		led = append(led, time.Since(at))
		heard := func() bool {
			lead := c.Leader()
			for i := range c.procs {
				s := c.files.Last(i)
				if i != old && (lead < 0 || s == nil || s.CutOff || s.Leader != c.procs[lead].Name) {
					return false
				}
			}
			return true
		}
		if c.files.Until(recoverMost, heard) {
			heardIn = append(heardIn, time.Since(at))
		}
		if err := c.startAgain(old); err != nil {
			return led, heardIn, err
		}
		if !c.ready(old, startTime) {
			return led, heardIn, fmt.Errorf("trial %d: %s is not ready again", n, c.procs[old].Name)
		}
	}
	return led, heardIn, nil
}
