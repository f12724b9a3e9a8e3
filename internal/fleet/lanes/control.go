package lanes

import (
	"fmt"
	"math"
	"time"

	"birchcart/internal/fleet/pressure"
)

// Parameters of the level controller.
const (
	// Onset is the fleet's pressure at which a calm one begins to shed, if its own queries show it too.
	Onset = 0.06
	// JoinFor is how long most others must shed before one joins whose own queries show nothing: longer than any word counts, so
	// that false ones have to be most by chance twice.
	JoinFor = 3 * time.Second
	// Aim is the pressure at which the level rests: the module still turns this part away.
	Aim = 0.04
	// Gain is by what part a second what the fleet is thought to bear moves for each 1 of pressure off Aim. News are 1.5 s old, so
	// that 1 would swing.
	Gain = 0.1
	// Damp is by what part what is let in is less than what is borne, for each 1 of pressure over Aim.
	Damp = 0.4
	// PeakFor is how long the most that came back counts, fading: at the start of a storm the module turns nearly all away for a
	// moment.
	PeakFor = 10 * time.Second
	// RiseMost is the most by which it rises a second, reached after RiseAfter without pressure.
	RiseMost  = 0.15
	RiseAfter = 3 * time.Second
	// Headroom is how far over what comes back in time it may rise: the level falls no faster than work comes back.
	Headroom = 0.15
	// KneeNear is how near to what came back under pressure the estimate rises slowly, and KneeAfter after how long without pressure
	// as fast as anywhere.
	KneeNear  = 0.12
	KneeUnder = 0.12
	KneeAfter = 40 * time.Second
	// KneeCalm without pressure, and what comes back when it grows anew is what is borne.
	KneeCalm = 2 * time.Second
	// RiseUnsure is how fast the estimate rises a second until then: at its start a storm says less than is borne.
	RiseUnsure = 0.05
	// KneeFall is by which part the knee falls a second when less comes back.
	KneeFall = 0.05
	// KneeIn is in what time the estimate goes down to what comes back when queues show.
	KneeIn = 2 * time.Second
	// High is the pressure from which what comes back says at once what is borne, less Margin.
	High   = 0.12
	Margin = 0.01
	// CutFor is until the effect of a cut shows in the news: pressure until then is of before, and what came back was held down by
	// the module. Until then the estimate goes no lower than CutMost of what came back when it began.
	CutFor  = 3 * time.Second
	CutMost = 0.9
	// FallMost is by which part it may fall in a step of Every.
	FallMost = 0.35
	// Draw is which part of what one is off from the others it makes good in a second.
	Draw = 0.8
	// Blind is the pressure from which nearly all is turned away, so that what comes back says nothing of what is borne: the peak
	// then stays.
	Blind = 0.6
	// AskedSpan is over what the fleet's asked rate is smoothed where it is AskedOff or more off; what is nearer is chance and goes
	// by AskedSlow.
	AskedSpan = 300 * time.Millisecond
	AskedOff  = 0.3
	AskedSlow = 4 * time.Second
	// ComesSpan is over what the rate that comes back is smoothed.
	ComesSpan = 700 * time.Millisecond
	// PushSpan is over what pressure is smoothed for Damp.
	PushSpan = 500 * time.Millisecond
	// LevelLeast is the lowest level: what is less is 0.
	LevelLeast = 0.01
	// StepUp and StepDown are the most that the level moves a second.
	StepUp   = 1.6
	StepDown = 0.8
	// CalmAfter without pressure and with all let in it is no storm any more.
	CalmAfter = 5 * time.Second
	// FadeFor is in what time a level goes without fresh news, down to what the own pressure asks.
	FadeFor = 5 * time.Second
	// Every is the step that the constants are for.
	Every = 250 * time.Millisecond

	remembered = 16 // own levels, for as long back as news may be old
)

// Control finds the level: which share of all work asked is to be shed. It keeps one estimate, of what the fleet bears.
type Control struct {
	most     float64 // the level's
	begun    bool
	now      time.Duration
	storm    bool
	came     float64       // the most that came back of late
	comes    float64       // what comes back
	cutAt    time.Duration // when a cut began whose effect is not seen yet
	cutTo    float64       // how far it may go
	knee     float64       // what came back when pressure was last over Aim
	kneeSure bool          // it was seen with queues that grew, not while the module turned nearly all away
	push     float64       // smoothed pressure
	bears    float64       // cost a second, of whom the figures are of: the fleet, or oneself without news
	asked    float64
	level    float64
	alone    time.Duration // since when there is no fresh news; -1: there is
	left     float64       // level when news ended
	cool     time.Duration // since when it is under Aim
	past     [remembered]float64
	steps    int
	own      pressure.LocalLoad
	calmed   time.Duration // when most others last shed nothing
	stirred  time.Duration // when there was cause to shed
}

// NewControl gives one whose level is at most most: 1 less all floors and guarantees.
func NewControl(most float64) *Control {
	return &Control{most: min(1, max(0, most)), alone: -1}
}

// Most changes the highest level, with another configuration.
func (c *Control) Most(most float64) { c.most = min(1, max(0, most)); c.level = min(c.level, c.most) }

// Level is the last one.
func (c *Control) Level() float64 { return c.level }

// Bears is the cost a second that the fleet is thought to bear; without a storm what it is asked.
func (c *Control) Bears() float64 { return min(c.bears, c.asked) }

// Estimate is what Control goes by, in cost a second, for the log.
type Estimate struct {
	Bears     float64 // what the fleet is thought to bear, however much is asked for
	Asked     float64 // smoothed
	ComesBack float64 // smoothed
	PeakBack  float64 // the most that came back of late
	Knee      float64 // what came back when queues last grew
	Storm     bool
}

// Estimate is that of the last step.
func (c *Control) Estimate() Estimate {
	return Estimate{Bears: c.bears, Asked: c.asked, ComesBack: c.comes, PeakBack: c.came, Knee: c.knee, Storm: c.storm}
}

// Step gives the level of now, from the fleet's figures or, without fresh ones, from the own.
func (c *Control) Step(now time.Duration, fl pressure.FleetLoad, own pressure.LocalLoad) float64 {
	if !c.begun {
		c.begun, c.now, c.cool, c.calmed, c.stirred = true, now, now, now, now-time.Hour
	}
	dt := min(time.Second, max(0, now-c.now))
	c.now, c.own = max(c.now, now), own
	fl, fresh := c.figures(fl, own)
	if fl.Known {
		c.estimate(fl, dt, fresh)
	} else if c.alone >= 0 && c.now-c.alone >= FadeFor {
		c.storm = false // neither the fleet nor oneself tells anything
	}
	level := 0.0
	if c.storm {
		level = min(c.most, max(0, 1-c.bears*(1+Damp*(Aim-min(High, max(Aim, c.push))))/max(c.asked, 1e-9)))
	}
	if !fresh {
		level = min(level, max(asks(own), c.left*(1-float64(c.now-c.alone)/float64(FadeFor))))
	}
	s := dt.Seconds()
	level = min(c.level+StepUp*s, max(c.level-StepDown*s, level))
	if !fresh && c.now-c.alone >= FadeFor {
		level = min(level, asks(own))
	}
	if level < LevelLeast && c.bears >= c.asked*(1-LevelLeast) || !c.storm && level < LevelLeast {
		level = 0
	}
	c.level = level
	c.past[c.steps%remembered] = level
	c.steps++
	return level
}

// figures are the fleet's, or the own in their place.
func (c *Control) figures(fl pressure.FleetLoad, own pressure.LocalLoad) (pressure.FleetLoad, bool) {
	if fl.Known && good(fl) {
		if c.alone >= 0 { // back: what one bears is no measure of the fleet
			c.alone, c.asked = -1, fl.Offered
			c.bears = (1 - c.level) * fl.Offered
		}
		return fl, true
	}
	if c.alone < 0 {
		c.alone, c.left, c.asked = c.now, c.level, own.Offered
		c.bears = (1 - c.level) * own.Offered
	}
	return pressure.FleetLoad{Known: own.Known, Pressure: own.Pressure, Offered: own.Offered, InTime: own.InTime, Completed: own.Completed, Members: 1}, false
}

func good(fl pressure.FleetLoad) bool {
	sum := fl.Pressure + fl.Offered + fl.InTime + fl.Completed + fl.Level
	return !math.IsNaN(sum) && !math.IsInf(sum, 0)
}

// asks is the level that a co-ordinator's own figures ask for: what part of the queries that it let in it could not answer in
// time. What its lanes shed is no part of that, or a level would hold itself.
func asks(own pressure.LocalLoad) float64 {
	if !own.Known || own.Pressure <= Aim || own.Offered <= 0 {
		return 0
	}
	return min(1, own.Pressure)
}

// estimate moves what is borne by the figures.
func (c *Control) estimate(fl pressure.FleetLoad, dt time.Duration, fresh bool) {
	s, p := dt.Seconds(), fl.Pressure
	if c.asked <= 0 {
		c.asked = fl.Offered
	}
	off := min(1, math.Abs(fl.Offered/max(c.asked, 1e-9)-1)/AskedOff)
	span := float64(AskedSpan) / max(off*off, float64(AskedSpan)/float64(AskedSlow))
	c.asked += (fl.Offered - c.asked) * (1 - math.Exp(-float64(dt)/span))
	c.push += (p - c.push) * (1 - math.Exp(-float64(dt)/float64(PushSpan)))
	part := max(fl.InTime, fl.Completed) / max(fl.Offered, 1e-9)
	asked := c.asked + min(1, 3*off)*(fl.Offered-c.asked) // while load steps, what is smoothed is short of it
	c.comes += (part*asked - c.comes) * (1 - math.Exp(-float64(dt)/float64(ComesSpan)))
	if p <= Blind {
		c.came *= math.Exp(-float64(dt) / float64(PeakFor))
	}
	c.came = max(c.comes, c.came)
	if p > Aim {
		if c.storm && c.now-c.cool >= KneeCalm { // queues grow anew: now they are what is borne
			c.kneeSure, c.knee = true, c.comes
		}
		c.cool = c.now
	}
	if !c.storm {
		// What others say is not enough: they may be wrong by chance. The own queries show it, or most others shed.
		if fl.Level <= LevelLeast {
			c.calmed = c.now
		}
		cause := fresh && c.own.Known && c.own.Pressure > Aim || c.now-c.calmed >= JoinFor || !fresh
		if c.bears = c.asked; !cause || max(p, fl.RecentPressure) <= Onset {
			return
		}
		c.storm, p, c.knee, c.kneeSure, c.cutAt = true, max(p, fl.RecentPressure), c.came, false, c.now-CutFor-1
	}
	if p > Aim {
		c.stirred = c.now
	}
	if p > Aim { // queues: what comes back is what is borne, but for a moment in which the module turned nearly all away
		c.knee *= math.Exp(-KneeFall * s)
	}
	c.knee = max(c.knee, c.comes)
	move := Gain * (Aim - min(p, High))
	if p <= Aim {
		after := RiseAfter
		if by := c.bears / max(c.knee, 1e-9); by > 1-KneeUnder && by < 1+KneeNear {
			after = KneeAfter
		}
		calm := min(1, float64(c.now-c.cool)/float64(after))
		move += (RiseMost - move) * calm * calm * calm
		if !c.kneeSure && c.now-c.cool >= KneeCalm/2 {
			move = max(move, RiseUnsure)
		}
	}
	bears := c.bears * math.Exp(move*s)
	if p > High {
		if c.now-c.cutAt > CutFor {
			c.cutAt, c.cutTo = c.now, CutMost*min(c.bears, c.came)
		}
		bears = max(c.cutTo, min(bears, max((1-Margin)*c.came, c.bears*(1-FallMost*s/Every.Seconds()))))
	} else if p > Aim && c.comes < c.bears {
		bears = min(bears, c.bears+(c.comes-c.bears)*min(1, s/KneeIn.Seconds()))
	} else if bears > c.bears {
		bears = max(c.bears, min(bears, (1+Headroom)*c.asked*fl.InTime/max(fl.Offered, 1e-9)))
	}
	if fresh { // without news what came back is another's
		bears = max(bears, c.comes) // what comes back is borne, whatever the pressure
	}
	if back := int(fl.MeanAge / Every); fresh && back < min(c.steps, remembered) && (c.level > 0 || fl.Level > LevelLeast) {
		bears -= Draw * s * (fl.Level - c.past[(c.steps-1-back)%remembered]) * c.asked
	}
	c.bears = min((1+Headroom)*c.asked, max((1-c.most)*c.asked, bears))
	if c.bears >= c.asked && c.now-c.cool >= CalmAfter {
		c.storm = false
	}
}

// Check tells of L4, that without fresh news no more is shed than the own pressure asks once FadeFor is over, and of L6, that
// nothing is shed but for a cause that was there.
func (c *Control) Check() error {
	if c.level != c.level || c.level < 0 || c.level > c.most {
		return fmt.Errorf("L6: level %v of at most %v", c.level, c.most)
	}
	if c.alone >= 0 && c.now-c.alone > FadeFor && c.level > asks(c.own)+1e-9 {
		return fmt.Errorf("L4: level %.3f without news for %v, own pressure %.3f asks for %.3f", c.level, c.now-c.alone, c.own.Pressure, asks(c.own))
	}
	if c.level > 0 && c.now-c.stirred > CauseFor {
		return fmt.Errorf("L6: level %.3f, no pressure over %v for %v", c.level, Aim, c.now-c.stirred)
	}
	return nil
}

// CauseFor is how long after the last pressure over Aim a level over 0 has a cause: what is borne has to rise from a hundredth to
// all, by RiseMost a second.
const CauseFor = 40 * time.Second
