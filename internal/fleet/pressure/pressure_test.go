package pressure

import (
	"math"
	"testing"
	"time"
)

const promise = time.Second

// runMeter feeds a Meter ten queries per second for five seconds; end records how each one ends.
func runMeter(end func(m *Meter, now time.Duration, i int)) (*Meter, LocalLoad) {
	m := &Meter{}
	for i := range 50 {
		now := time.Duration(i) * 100 * time.Millisecond
		m.RecordQuery(now, 1, i%5 == 0, 1)
		end(m, now, i)
		if i%5 == 4 {
			m.Step(now, 0)
		}
	}
	return m, m.Step(5*time.Second, 0)
}

func TestMeterPressureFromOutcomes(t *testing.T) {
	latency := func(share float64) time.Duration { return time.Duration(share * float64(promise)) }
	for name, test := range map[string]struct {
		end                      func(m *Meter, now time.Duration, i int)
		minPressure, maxPressure float64
		known                    bool
	}{
		"all in time": {func(m *Meter, now time.Duration, i int) { m.RecordOutcome(now, 1, InTime, latency(0.2), promise) }, 0, 0, true},
		// queues stay short because the policy module refuses
		"a third refused": {func(m *Meter, now time.Duration, i int) {
			if i%3 == 0 {
				m.RecordOutcome(now, 1, Refused, 0, promise)
			} else {
				m.RecordOutcome(now, 1, InTime, latency(0.2), promise)
			}
		}, 0.25, 0.45, true},
		"all late": {func(m *Meter, now time.Duration, i int) { m.RecordOutcome(now, 1, Late, latency(1.5), promise) }, 0.9, 1, true},
		"queues": {func(m *Meter, now time.Duration, i int) {
			m.RecordOutcome(now, 1, InTime, latency(0.2+0.7*float64(i)/50), promise)
		}, 0.1, 0.25, true},
		"clients leave":                   {func(m *Meter, now time.Duration, i int) { m.RecordOutcome(now, 1, Abandoned, latency(0.1), promise) }, 0, 0, false},
		"clients leave after the promise": {func(m *Meter, now time.Duration, i int) { m.RecordOutcome(now, 1, Abandoned, latency(2), promise) }, 0.9, 1, true},
		"failures at once":                {func(m *Meter, now time.Duration, i int) { m.RecordOutcome(now, 1, Failed, latency(0.1), promise) }, 0, 0, false},
		"failures after the promise":      {func(m *Meter, now time.Duration, i int) { m.RecordOutcome(now, 1, Failed, latency(1.1), promise) }, 0.9, 1, true},
		"nothing ends":                    {func(m *Meter, now time.Duration, i int) {}, 0, 0, false},
	} {
		_, o := runMeter(test.end)
		if o.Known != test.known || o.Pressure < test.minPressure || o.Pressure > test.maxPressure || math.Abs(o.Offered-10) > 1.5 || math.Abs(o.Guaranteed+o.ByLane[1]-o.Offered) > 1e-9 {
			t.Errorf("%s: %+v", name, o)
		}
	}
}

func TestMeterDiscardsCountsAfterPause(t *testing.T) {
	m, _ := runMeter(func(m *Meter, now time.Duration, i int) { m.RecordOutcome(now, 1, Late, 2*promise, promise) })
	if o := m.Step(time.Minute, 0); o.Known || o.Pressure != 0 || o.Offered != 0 {
		t.Errorf("%+v", o)
	}
	if o := m.Step(time.Second, 0); o.Known { // time that goes backwards counts as no time
		t.Errorf("%+v", o)
	}
}

// A constant share of late queries becomes part of the baseline, but not while lanes shed load.
func TestMeterLearnsBaselineOnlyWhenNotShedding(t *testing.T) {
	for _, level := range []float64{0, 0.2} {
		var m Meter
		sum, n := 0.0, 0.0
		for i := range 100_000 {
			now := time.Duration(i) * 20 * time.Millisecond
			outcome := InTime
			if i%20 == 0 {
				outcome = Late
			}
			m.RecordOutcome(now, 1, outcome, promise/4, promise)
			if i%12 == 0 {
				if o := m.Step(now, level); i > 80_000 {
					sum, n = sum+o.Pressure, n+1
				}
			}
		}
		if p := sum / n; p < 0.035 != (level == 0) {
			t.Errorf("at shed level %.1f, 5 %% of late queries give pressure %.3f", level, p)
		}
	}
}
