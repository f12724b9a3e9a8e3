package lanes

import (
	"fmt"
	"math"
	"time"

	"birchcart/internal/fleet/pressure"
)

// Parameters of the level controller.
const (
	// OnsetPressure is the fleet pressure above which shedding begins, if the co-ordinator's own queries show pressure too.
	OnsetPressure = 0.06
	// JoinAfter is how long most other co-ordinators must shed before one joins whose own queries show no pressure. It is longer
	// than any report stays valid, so false reports would have to be in the majority by chance twice.
	JoinAfter = 3 * time.Second
	// TargetPressure is the pressure at which the level settles: package policy still refuses this fraction of the queries.
	TargetPressure = 0.04
	// Gain is the relative change per second of the capacity estimate for each unit by which pressure differs from TargetPressure.
	// Reports are 1.5 s old; with that delay a gain of 1 would oscillate.
	Gain = 0.1
	// Damping is the fraction by which the admitted rate is below the estimated capacity, for each unit of pressure over
	// TargetPressure.
	Damping = 0.4
	// PeakDecay is the time constant with which the peak throughput decays. The peak is kept because package
	// policy refuses nearly everything for a moment at the start of an overload.
	PeakDecay = 10 * time.Second
	// MaxRiseRate is the highest relative growth per second of the estimate, reached after RiseRampTime without pressure.
	MaxRiseRate  = 0.15
	RiseRampTime = 3 * time.Second
	// Headroom is the fraction by which a rising estimate may exceed the rate that is answered in time, so that the level falls no
	// faster than that rate recovers.
	Headroom = 0.15
	// KneeZoneAbove and KneeZoneBelow bound a zone around the knee, which is the throughput seen under pressure, as fractions of it.
	// In that zone the estimate grows more slowly: it reaches MaxRiseRate after KneeRampTime without pressure.
	KneeZoneAbove = 0.12
	KneeZoneBelow = 0.12
	KneeRampTime  = 40 * time.Second
	// KneeConfirmAfter is how long there must have been no pressure for its return to confirm the knee: the throughput at that
	// moment is then taken for the capacity.
	KneeConfirmAfter = 2 * time.Second
	// UnconfirmedRiseRate is the lowest relative growth per second without pressure until the knee is confirmed: the throughput
	// at the start of an overload is below the capacity.
	UnconfirmedRiseRate = 0.05
	// KneeDecay is the relative fall of the knee per second while there is pressure and the throughput is lower.
	KneeDecay = 0.05
	// FallTime is the time in which the estimate falls to the throughput when there is pressure.
	FallTime = 2 * time.Second
	// HighPressure is the pressure above which the estimate is cut to the peak throughput, less the fraction Margin, as fast as
	// MaxFall allows.
	HighPressure = 0.12
	Margin       = 0.01
	// CutSettleTime is how long it takes until reports show the effect of a cut of the estimate. Until then, the reported pressure is
	// older than the cut, and the throughput was held down by policy. During that time the estimate does not fall below MinCutRatio
	// of the lower of estimate and peak throughput at the start of the cut.
	CutSettleTime = 3 * time.Second
	MinCutRatio   = 0.9
	// MaxFall is the largest relative fall of the estimate in one StepInterval.
	MaxFall = 0.35
	// ConsensusGain is the fraction per second of the difference from the fleet's level that a co-ordinator corrects.
	ConsensusGain = 0.8
	// BlindPressure is the pressure above which policy refuses nearly everything, so that the throughput says nothing about the
	// capacity. Above it the peak throughput does not decay.
	BlindPressure = 0.6
	// OfferedWindow is the time constant for smoothing the fleet's offered rate if it differs from the smoothed rate by the fraction
	// OfferedJump or more. Smaller differences are noise and are smoothed more slowly, with up to OfferedSlowWindow.
	OfferedWindow     = 300 * time.Millisecond
	OfferedJump       = 0.3
	OfferedSlowWindow = 4 * time.Second
	// ThroughputWindow is the time constant for smoothing the throughput.
	ThroughputWindow = 700 * time.Millisecond
	// PressureWindow is the time constant for smoothing the pressure that Damping applies to.
	PressureWindow = 500 * time.Millisecond
	// MinLevel is the lowest level; lower ones become 0.
	MinLevel = 0.01
	// MaxLevelRise and MaxLevelFall are the most that the level changes per second.
	MaxLevelRise = 1.6
	MaxLevelFall = 0.8
	// CalmAfter is how long there must be no pressure, with all queries admitted, before an overload is considered over.
	CalmAfter = 5 * time.Second
	// FadeTime is how long the level takes, without fresh reports, to fade to what the co-ordinator's own pressure justifies.
	FadeTime = 5 * time.Second
	// StepInterval is the time between steps that these constants assume.
	StepInterval = 250 * time.Millisecond

	levelHistory = 16 // past levels that are kept: as many steps as reports may be old
)

// Control computes the shed level: the fraction of all offered work that is refused. Its state is an estimate of the fleet's capacity.
type Control struct {
	maxLevel         float64 // highest level allowed
	started          bool
	now              time.Duration
	overloaded       bool
	peakThroughput   float64       // decaying peak of the throughput
	throughput       float64       // smoothed cost per second that is answered
	cutStartedAt     time.Duration // start of the last cut of the estimate
	cutLimit         float64       // lowest estimate that this cut may reach
	knee             float64       // throughput when pressure was last over TargetPressure
	kneeConfirmed    bool          // the knee was seen while queues grew, not while policy refused nearly everything
	smoothedPressure float64       // pressure smoothed over PressureWindow
	capacity         float64       // estimated cost per second that the fleet can serve, or this co-ordinator alone while isolated
	offered          float64
	level            float64
	isolatedSince    time.Duration // when fresh reports ended; -1 while there are some
	isolatedLevel    float64       // level when fresh reports ended
	lastPressureAt   time.Duration // when pressure was last over TargetPressure
	pastLevels       [levelHistory]float64
	steps            int
	own              pressure.LocalLoad
	fleetCalmAt      time.Duration // when most others last shed nothing
	lastCauseAt      time.Duration // when there was last pressure over TargetPressure in an overload
}

// NewControl returns a controller whose level is at most maxLevel: 1 less all floors and guarantees.
func NewControl(maxLevel float64) *Control {
	return &Control{maxLevel: min(1, max(0, maxLevel)), isolatedSince: -1}
}

// SetMaxLevel changes the highest level, after a change of configuration.
func (c *Control) SetMaxLevel(maxLevel float64) {
	c.maxLevel = min(1, max(0, maxLevel))
	c.level = min(c.level, c.maxLevel)
}

// Level returns the level of the last step.
func (c *Control) Level() float64 { return c.level }

// Capacity returns the fleet's estimated capacity in cost per second, but no more than the offered rate.
func (c *Control) Capacity() float64 { return min(c.capacity, c.offered) }

// Estimate holds the controller's estimates for the log, in cost per second.
type Estimate struct {
	Capacity       float64 // of the fleet, not limited by what is offered
	Offered        float64 // smoothed
	Throughput     float64 // smoothed
	PeakThroughput float64 // decaying peak
	Knee           float64 // throughput when queues last grew
	Overloaded     bool
}

// Estimate returns the estimates of the last step.
func (c *Control) Estimate() Estimate {
	return Estimate{Capacity: c.capacity, Offered: c.offered, Throughput: c.throughput, PeakThroughput: c.peakThroughput,
		Knee: c.knee, Overloaded: c.overloaded}
}

// Step computes the level from the fleet's figures or, if there are no fresh ones, from the co-ordinator's own.
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
		c.overloaded = false // neither the fleet's figures nor this co-ordinator's are known
	}
	level := 0.0
	if c.overloaded {
		level = min(c.maxLevel,
			max(0, 1-c.capacity*(1+Damping*(TargetPressure-min(HighPressure, max(TargetPressure, c.smoothedPressure))))/max(c.offered, 1e-9)))
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

// selectFigures returns the fleet's figures if they are fresh, otherwise the co-ordinator's own, and whether they are the fleet's.
func (c *Control) selectFigures(fleet pressure.FleetLoad, own pressure.LocalLoad) (pressure.FleetLoad, bool) {
	if fleet.Known && finite(fleet) {
		if c.isolatedSince >= 0 { // fresh reports again: the capacity of this co-ordinator alone says nothing about the fleet's
			c.isolatedSince, c.offered = -1, fleet.Offered
			c.capacity = (1 - c.level) * fleet.Offered
		}
		return fleet, true
	}
	if c.isolatedSince < 0 {
		c.isolatedSince, c.isolatedLevel, c.offered = c.now, c.level, own.Offered
		c.capacity = (1 - c.level) * own.Offered
	}
	return pressure.FleetLoad{Known: own.Known, Pressure: own.Pressure, Offered: own.Offered, InTime: own.InTime,
		Completed: own.Completed, Members: 1}, false
}

func finite(fleet pressure.FleetLoad) bool {
	sum := fleet.Pressure + fleet.Offered + fleet.InTime + fleet.Completed + fleet.Level
	return !math.IsNaN(sum) && !math.IsInf(sum, 0)
}

// ownLevel returns the level that a co-ordinator's own figures justify: the fraction of the queries it admitted that it could not answer
// in time. What its lanes refused is not included because the level would then sustain itself.
func ownLevel(own pressure.LocalLoad) float64 {
	if !own.Known || own.Pressure <= TargetPressure || own.Offered <= 0 {
		return 0
	}
	return min(1, own.Pressure)
}

// updateEstimate updates the capacity estimate from the current figures.
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
	offered := c.offered + min(1, 3*deviation)*(fleet.Offered-c.offered) // the smoothed rate lags while load jumps
	c.throughput += (served*offered - c.throughput) * (1 - math.Exp(-float64(dt)/float64(ThroughputWindow)))
	if p <= BlindPressure {
		c.peakThroughput *= math.Exp(-float64(dt) / float64(PeakDecay))
	}
	c.peakThroughput = max(c.throughput, c.peakThroughput)
	if p > TargetPressure {
		if c.overloaded && c.now-c.lastPressureAt >= KneeConfirmAfter { // queues grow again: the throughput is now at the capacity
			c.kneeConfirmed, c.knee = true, c.throughput
		}
		c.lastPressureAt = c.now
	}
	if !c.overloaded {
		// Reports of others are not enough because they may be wrong by chance: this co-ordinator's queries must show pressure too, or
		// most others must have shed for JoinAfter.
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
	if p > TargetPressure {
		// Queues grow, so the throughput is the capacity, except while policy refuses nearly everything for a moment.
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
	if fresh { // while isolated, the throughput is not the fleet's
		capacity = max(capacity, c.throughput) // what is answered is within the capacity, whatever the pressure
	}
	if stepsBack := int(fleet.MeanAge / StepInterval); fresh && stepsBack < min(c.steps, levelHistory) && (c.level > 0 || fleet.Level > MinLevel) {
		capacity -= ConsensusGain * seconds * (fleet.Level - c.pastLevels[(c.steps-1-stepsBack)%levelHistory]) * c.offered
	}
	c.capacity = min((1+Headroom)*c.offered, max((1-c.maxLevel)*c.offered, capacity))
	if c.capacity >= c.offered && c.now-c.lastPressureAt >= CalmAfter {
		c.overloaded = false
	}
}

// Check returns a violation of one of these rules. L4: if there were no fresh reports for FadeTime, no more is shed than the
// co-ordinator's own pressure justifies. L6: nothing is shed without a cause.
func (c *Control) Check() error {
	if c.level != c.level || c.level < 0 || c.level > c.maxLevel {
		return fmt.Errorf("L6: level %v is not between 0 and %v", c.level, c.maxLevel)
	}
	if c.isolatedSince >= 0 && c.now-c.isolatedSince > FadeTime && c.level > ownLevel(c.own)+1e-9 {
		return fmt.Errorf("L4: level %.3f without fresh reports for %v; own pressure %.3f justifies level %.3f",
			c.level, c.now-c.isolatedSince, c.own.Pressure, ownLevel(c.own))
	}
	if c.level > 0 && c.now-c.lastCauseAt > MaxCauseAge {
		return fmt.Errorf("L6: level %.3f without pressure over %v for %v", c.level, TargetPressure, c.now-c.lastCauseAt)
	}
	return nil
}

// MaxCauseAge is how long after the last pressure over TargetPressure a level over 0 is justified: the estimate may have to grow from
// a hundredth of the offered rate to all of it, by at most MaxRiseRate per second.
const MaxCauseAge = 40 * time.Second
