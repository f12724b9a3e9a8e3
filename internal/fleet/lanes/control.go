package lanes

import (
	"fmt"
	"math"
	"time"

	"birchcart/internal/fleet/pressure"
)

// Parameters of the level controller.
const (
	// OnsetPressure is the fleet's pressure at which a calm one begins to shed, if its own queries show it too.
	OnsetPressure = 0.06
	// JoinAfter is how long most others must shed before one joins whose own queries show nothing: longer than any word counts, so
	// that false ones have to be most by chance twice.
	JoinAfter = 3 * time.Second
	// TargetPressure is the pressure at which the level rests: the module still turns this part away.
	TargetPressure = 0.04
	// Gain is by what part a second what the fleet is thought to bear moves for each 1 of pressure off Aim. News are 1.5 s old, so
	// that 1 would swing.
	Gain = 0.1
	// Damping is by what part what is let in is less than what is borne, for each 1 of pressure over Aim.
	Damping = 0.4
	// PeakDecay is how long the most that came back counts, fading: at the start of a storm the module turns nearly all away for a
	// moment.
	PeakDecay = 10 * time.Second
	// MaxRiseRate is the most by which it rises a second, reached after RiseRampTime without pressure.
	MaxRiseRate  = 0.15
	RiseRampTime = 3 * time.Second
	// Headroom is how far over what comes back in time it may rise: the level falls no faster than work comes back.
	Headroom = 0.15
	// KneeZoneAbove is how near to what came back under pressure the estimate rises slowly, and KneeRampTime after how long without pressure
	// as fast as anywhere.
	KneeZoneAbove = 0.12
	KneeZoneBelow = 0.12
	KneeRampTime  = 40 * time.Second
	// KneeConfirmAfter without pressure, and what comes back when it grows anew is what is borne.
	KneeConfirmAfter = 2 * time.Second
	// UnconfirmedRiseRate is how fast the estimate rises a second until then: at its start a storm says less than is borne.
	UnconfirmedRiseRate = 0.05
	// KneeDecay is by which part the knee falls a second when less comes back.
	KneeDecay = 0.05
	// FallTime is in what time the estimate goes down to what comes back when queues show.
	FallTime = 2 * time.Second
	// HighPressure is the pressure from which what comes back says at once what is borne, less Margin.
	HighPressure = 0.12
	Margin       = 0.01
	// CutSettleTime is until the effect of a cut shows in the news: pressure until then is of before, and what came back was held down by
	// the module. Until then the estimate goes no lower than MinCutRatio of what came back when it began.
	CutSettleTime = 3 * time.Second
	MinCutRatio   = 0.9
	// MaxFall is by which part it may fall in a step of Every.
	MaxFall = 0.35
	// ConsensusGain is which part of what one is off from the others it makes good in a second.
	ConsensusGain = 0.8
	// BlindPressure is the pressure from which nearly all is turned away, so that what comes back says nothing of what is borne: the peak
	// then stays.
	BlindPressure = 0.6
	// OfferedWindow is over what the fleet's asked rate is smoothed where it is OfferedJump or more off; what is nearer is chance and goes
	// by OfferedSlowWindow.
	OfferedWindow     = 300 * time.Millisecond
	OfferedJump       = 0.3
	OfferedSlowWindow = 4 * time.Second
	// ThroughputWindow is over what the rate that comes back is smoothed.
	ThroughputWindow = 700 * time.Millisecond
	// PressureWindow is over what pressure is smoothed for Damp.
	PressureWindow = 500 * time.Millisecond
	// MinLevel is the lowest level: what is less is 0.
	MinLevel = 0.01
	// MaxLevelRise and MaxLevelFall are the most that the level moves a second.
	MaxLevelRise = 1.6
	MaxLevelFall = 0.8
	// CalmAfter without pressure and with all let in it is no storm any more.
	CalmAfter = 5 * time.Second
	// FadeTime is in what time a level goes without fresh news, down to what the own pressure asks.
	FadeTime = 5 * time.Second
	// StepInterval is the step that the constants are for.
	StepInterval = 250 * time.Millisecond

	levelHistory = 16 // own levels, for as long back as news may be old
)

// Control finds the level: which share of all work asked is to be shed. It keeps one estimate, of what the fleet bears.
type Control struct {
	maxLevel         float64 // the level's
	started          bool
	now              time.Duration
	overloaded       bool
	peakThroughput   float64       // the most that came back of late
	throughput       float64       // what comes back
	cutStartedAt     time.Duration // when a cut began whose effect is not seen yet
	cutLimit         float64       // how far it may go
	knee             float64       // what came back when pressure was last over Aim
	kneeConfirmed    bool          // it was seen with queues that grew, not while the module turned nearly all away
	smoothedPressure float64       // smoothed pressure
	capacity         float64       // cost a second, of whom the figures are of: the fleet, or oneself without news
	offered          float64
	level            float64
	isolatedSince    time.Duration // since when there is no fresh news; -1: there is
	isolatedLevel    float64       // updateRates when news ended
	lastPressureAt   time.Duration // since when it is under Aim
	pastLevels       [levelHistory]float64
	steps            int
	own              pressure.LocalLoad
	fleetCalmAt      time.Duration // when most others last shed nothing
	lastCauseAt      time.Duration // when there was cause to shed
}

// NewControl gives one whose level is at most most: 1 less all floors and guarantees.
func NewControl(maxLevel float64) *Control {
	return &Control{maxLevel: min(1, max(0, maxLevel)), isolatedSince: -1}
}

// SetMaxLevel changes the highest level, with another configuration.
func (c *Control) SetMaxLevel(maxLevel float64) {
	c.maxLevel = min(1, max(0, maxLevel))
	c.level = min(c.level, c.maxLevel)
}

// SetLevel is the last one.
func (c *Control) Level() float64 { return c.level }

// Capacity is the cost a second that the fleet is thought to bear; without a storm what it is asked.
func (c *Control) Capacity() float64 { return min(c.capacity, c.offered) }

// Estimate is what Control goes by, in cost a second, for the log.
type Estimate struct {
	Capacity       float64 // what the fleet is thought to bear, however much is asked for
	Offered        float64 // smoothed
	Throughput     float64 // smoothed
	PeakThroughput float64 // the most that came back of late
	Knee           float64 // what came back when queues last grew
	Overloaded     bool
}

// Estimate is that of the last step.
func (c *Control) Estimate() Estimate {
	return Estimate{Capacity: c.capacity, Offered: c.offered, Throughput: c.throughput, PeakThroughput: c.peakThroughput, Knee: c.knee, Overloaded: c.overloaded}
}

// Step gives the level of now, from the fleet's figures or, without fresh ones, from the own.
func (c *Control) Step(now time.Duration, fleet pressure.FleetLoad, own pressure.LocalLoad) float64 {
	if !c.started {
		c.started, c.now, c.lastPressureAt, c.fleetCalmAt, c.lastCauseAt = true, now, now, now, now-time.Hour
	}
	dt := min(time.Second, max(0, now-c.now))
	c.now, c.own = max(c.now, now), own
	fleet, fresh := c.selectFigures(fleet, own)
	if fleet.Known {
		c.updateEstimate(fleet, dt, fresh)
	} else if c.isolatedSince >= 0 && c.now-c.isolatedSince >= FadeTime {
		c.overloaded = false // neither the fleet nor oneself tells anything
	}
	level := 0.0
	if c.overloaded {
		level = min(c.maxLevel, max(0, 1-c.capacity*(1+Damping*(TargetPressure-min(HighPressure, max(TargetPressure, c.smoothedPressure))))/max(c.offered, 1e-9)))
	}
	if !fresh {
		level = min(level, max(ownLevel(own), c.isolatedLevel*(1-float64(c.now-c.isolatedSince)/float64(FadeTime))))
	}
	seconds := dt.Seconds()
	level = min(c.level+MaxLevelRise*seconds, max(c.level-MaxLevelFall*seconds, level))
	if !fresh && c.now-c.isolatedSince >= FadeTime {
		level = min(level, ownLevel(own))
	}
	if level < MinLevel && c.capacity >= c.offered*(1-MinLevel) || !c.overloaded && level < MinLevel {
		level = 0
	}
	c.level = level
	c.pastLevels[c.steps%levelHistory] = level
	c.steps++
	return level
}

// selectFigures are the fleet's, or the own in their place.
func (c *Control) selectFigures(fleet pressure.FleetLoad, own pressure.LocalLoad) (pressure.FleetLoad, bool) {
	if fleet.Known && finite(fleet) {
		if c.isolatedSince >= 0 { // back: what one bears is no measure of the fleet
			c.isolatedSince, c.offered = -1, fleet.Offered
			c.capacity = (1 - c.level) * fleet.Offered
		}
		return fleet, true
	}
	if c.isolatedSince < 0 {
		c.isolatedSince, c.isolatedLevel, c.offered = c.now, c.level, own.Offered
		c.capacity = (1 - c.level) * own.Offered
	}
	return pressure.FleetLoad{Known: own.Known, Pressure: own.Pressure, Offered: own.Offered, InTime: own.InTime, Completed: own.Completed, Members: 1}, false
}

func finite(fleet pressure.FleetLoad) bool {
	sum := fleet.Pressure + fleet.Offered + fleet.InTime + fleet.Completed + fleet.Level
	return !math.IsNaN(sum) && !math.IsInf(sum, 0)
}

// ownLevel is the level that a co-ordinator's own figures ask for: what part of the queries that it let in it could not answer in
// time. What its lanes shed is no part of that, or a level would hold itself.
func ownLevel(own pressure.LocalLoad) float64 {
	if !own.Known || own.Pressure <= TargetPressure || own.Offered <= 0 {
		return 0
	}
	return min(1, own.Pressure)
}

// updateEstimate moves what is borne by the figures.
func (c *Control) updateEstimate(fleet pressure.FleetLoad, dt time.Duration, fresh bool) {
	seconds, p := dt.Seconds(), fleet.Pressure
	if c.offered <= 0 {
		c.offered = fleet.Offered
	}
	deviation := min(1, math.Abs(fleet.Offered/max(c.offered, 1e-9)-1)/OfferedJump)
	window := float64(OfferedWindow) / max(deviation*deviation, float64(OfferedWindow)/float64(OfferedSlowWindow))
	c.offered += (fleet.Offered - c.offered) * (1 - math.Exp(-float64(dt)/window))
	c.smoothedPressure += (p - c.smoothedPressure) * (1 - math.Exp(-float64(dt)/float64(PressureWindow)))
	served := max(fleet.InTime, fleet.Completed) / max(fleet.Offered, 1e-9)
	offered := c.offered + min(1, 3*deviation)*(fleet.Offered-c.offered) // while load steps, what is smoothed is short of it
	c.throughput += (served*offered - c.throughput) * (1 - math.Exp(-float64(dt)/float64(ThroughputWindow)))
	if p <= BlindPressure {
		c.peakThroughput *= math.Exp(-float64(dt) / float64(PeakDecay))
	}
	c.peakThroughput = max(c.throughput, c.peakThroughput)
	if p > TargetPressure {
		if c.overloaded && c.now-c.lastPressureAt >= KneeConfirmAfter { // queues grow anew: now they are what is borne
			c.kneeConfirmed, c.knee = true, c.throughput
		}
		c.lastPressureAt = c.now
	}
	if !c.overloaded {
		// What others say is not enough: they may be wrong by chance. The own queries show it, or most others shed.
		if fleet.Level <= MinLevel {
			c.fleetCalmAt = c.now
		}
		confirmed := fresh && c.own.Known && c.own.Pressure > TargetPressure || c.now-c.fleetCalmAt >= JoinAfter || !fresh
		if c.capacity = c.offered; !confirmed || max(p, fleet.RecentPressure) <= OnsetPressure {
			return
		}
		c.overloaded, p, c.knee, c.kneeConfirmed, c.cutStartedAt = true, max(p, fleet.RecentPressure), c.peakThroughput, false, c.now-CutSettleTime-1
	}
	if p > TargetPressure {
		c.lastCauseAt = c.now
	}
	if p > TargetPressure { // queues: what comes back is what is borne, but for a moment in which the module turned nearly all away
		c.knee *= math.Exp(-KneeDecay * seconds)
	}
	c.knee = max(c.knee, c.throughput)
	growth := Gain * (TargetPressure - min(p, HighPressure))
	if p <= TargetPressure {
		rampTime := RiseRampTime
		if ratio := c.capacity / max(c.knee, 1e-9); ratio > 1-KneeZoneBelow && ratio < 1+KneeZoneAbove {
			rampTime = KneeRampTime
		}
		ramp := min(1, float64(c.now-c.lastPressureAt)/float64(rampTime))
		growth += (MaxRiseRate - growth) * ramp * ramp * ramp
		if !c.kneeConfirmed && c.now-c.lastPressureAt >= KneeConfirmAfter/2 {
			growth = max(growth, UnconfirmedRiseRate)
		}
	}
	capacity := c.capacity * math.Exp(growth*seconds)
	if p > HighPressure {
		if c.now-c.cutStartedAt > CutSettleTime {
			c.cutStartedAt, c.cutLimit = c.now, MinCutRatio*min(c.capacity, c.peakThroughput)
		}
		capacity = max(c.cutLimit, min(capacity, max((1-Margin)*c.peakThroughput, c.capacity*(1-MaxFall*seconds/StepInterval.Seconds()))))
	} else if p > TargetPressure && c.throughput < c.capacity {
		capacity = min(capacity, c.capacity+(c.throughput-c.capacity)*min(1, seconds/FallTime.Seconds()))
	} else if capacity > c.capacity {
		capacity = max(c.capacity, min(capacity, (1+Headroom)*c.offered*fleet.InTime/max(fleet.Offered, 1e-9)))
	}
	if fresh { // without news what came back is another's
		capacity = max(capacity, c.throughput) // what comes back is borne, whatever the pressure
	}
	if stepsBack := int(fleet.MeanAge / StepInterval); fresh && stepsBack < min(c.steps, levelHistory) && (c.level > 0 || fleet.Level > MinLevel) {
		capacity -= ConsensusGain * seconds * (fleet.Level - c.pastLevels[(c.steps-1-stepsBack)%levelHistory]) * c.offered
	}
	c.capacity = min((1+Headroom)*c.offered, max((1-c.maxLevel)*c.offered, capacity))
	if c.capacity >= c.offered && c.now-c.lastPressureAt >= CalmAfter {
		c.overloaded = false
	}
}

// Check tells of L4, that without fresh news no more is shed than the own pressure asks once FadeTime is over, and of L6, that
// nothing is shed but for a cause that was there.
func (c *Control) Check() error {
	if c.level != c.level || c.level < 0 || c.level > c.maxLevel {
		return fmt.Errorf("L6: level %v of at most %v", c.level, c.maxLevel)
	}
	if c.isolatedSince >= 0 && c.now-c.isolatedSince > FadeTime && c.level > ownLevel(c.own)+1e-9 {
		return fmt.Errorf("L4: level %.3f without news for %v, own pressure %.3f asks for %.3f", c.level, c.now-c.isolatedSince, c.own.Pressure, ownLevel(c.own))
	}
	if c.level > 0 && c.now-c.lastCauseAt > MaxCauseAge {
		return fmt.Errorf("L6: level %.3f, no pressure over %v for %v", c.level, TargetPressure, c.now-c.lastCauseAt)
	}
	return nil
}

// MaxCauseAge is how long after the last pressure over Aim a level over 0 has a cause: what is borne has to rise from a hundredth to
// all, by MaxRiseRate a second.
const MaxCauseAge = 40 * time.Second
