package front

import (
	"sync/atomic"
	"time"
)

const (
	// turnAwayTime is what a whole core needs, with room to spare, to accept a connection, read into its request, and reject it.
	turnAwayTime = time.Millisecond
	// maxAcceptPause bounds one pause, so that a drain which begins in it is not held up.
	maxAcceptPause = 20 * time.Millisecond
)

// acceptPacer slows down the accepting of connections while clients are turned away because incomplete requests fill their share of
// the memory. Such clients come again at once. Without a pause hundreds of them take the whole core, and each step of every other
// query waits behind them; with it they wait in the kernel's listen queue.
type acceptPacer struct {
	pause      time.Duration // for each client that was turned away
	turnedAway atomic.Int64  // since the last pause
}

// newAcceptPacer returns a pacer for a process that has so many cores, 0 if that is unknown.
func newAcceptPacer(cores float64) *acceptPacer {
	p := &acceptPacer{pause: turnAwayTime}
	if cores > 0 && cores < 1 {
		p.pause = time.Duration(float64(turnAwayTime) / cores)
	}
	return p
}

// onTurnAway records that a client is turned away.
func (p *acceptPacer) onTurnAway() { p.turnedAway.Add(1) }

// wait pauses for the clients that were turned away since the last call.
func (p *acceptPacer) wait() {
	if n := p.turnedAway.Swap(0); n > 0 {
		time.Sleep(min(time.Duration(n)*p.pause, maxAcceptPause))
	}
}
