package maintenance

import (
	"strings"
	"testing"
	"time"
)

// crash lets machines go and come, once every so many seconds, so many times.
func (p *site) crash(times int, every time.Duration, ms ...Machine) {
	p.t.Helper()
	for range times {
		var gone, back []Machine
		for _, m := range ms {
			gone, back = append(gone, m.as(Gone)), append(back, m.since(p.now))
		}
		p.see(gone...)
		p.see(back...)
		p.wait(every)
	}
}

// flapping wants the names.
func (p *site) flapping(want string) {
	p.t.Helper()
	if got := strings.Join(p.s.Flapping(p.now), " "); got != want {
		p.t.Fatalf("%q flap, want %q", got, want)
	}
}

// A crash loop holds the plan up for one pause, then neither it nor its own repair.
func TestW6CrashLoop(t *testing.T) {
	p := start(t, limits, names("a", "r0", "r5"))
	p.crash(2, 10*sec, cell(5))
	p.flapping("")
	p.crash(1, 10*sec, cell(5))
	p.flapping("r5")
	until := p.s.pauseUntil
	if until != 1020*sec+240*sec { // the third pauses, by the doubled span
		t.Fatalf("paused until %v", until)
	}
	p.crash(30, 10*sec, cell(5))
	if p.s.pauseUntil != until {
		t.Fatalf("a flapping machine lengthens the pause from %v to %v", until, p.s.pauseUntil)
	}
	p.grant("a", "r0")
	p.grant("a", "r5")
	if n := len(p.s.machines["r5"].Failures); n != FlapThreshold {
		t.Fatalf("%d failures are remembered", n)
	}
}

// One that is told to go and overruns is a failure; of a flapping one it pauses nothing either.
func TestW6FlappingIsNotBackInTime(t *testing.T) {
	p := start(t, limits, names("a", "r5"))
	p.crash(3, 10*sec, cell(5))
	p.wait(300 * sec)
	p.grant("a", "r5")
	p.told("r5")
	p.see(cell(5).as(Gone))
	p.wait(300 * sec)
	p.phase("r5", Expired)
	if stop, why := p.s.Paused(p.now); stop {
		t.Fatal(why)
	}
}

// Failures of others pause while one flaps.
func TestW6OthersPauseBesideOneThatFlaps(t *testing.T) {
	p := start(t, limits, names("a", "r0"))
	p.crash(35, 10*sec, cell(5))
	p.see(cell(3).as(Gone), cell(5).as(Gone))
	p.no("W6: paused until", "a", "r0")
	if !strings.HasPrefix(p.s.pauseWhy, "r3 is gone") {
		t.Fatal(p.s.pauseWhy)
	}
}

// Nothing relies on it: not W1, not W3, not the voters' one to spare. Its own going takes nothing away, but a place.
func TestFlappingIsNotReliedOn(t *testing.T) {
	p := start(t, limits, names("a", "r0", "r1", "r4", "c1", "c2"))
	p.crash(3, 10*sec, cell(2), host(2))
	p.flapping("c2 r2")
	p.wait(300 * sec) // up and warm since long, and not yet for 8 times the calm
	p.no("W1: shard 0 would be left with 1 holders", "a", "r0")
	p.no("W2: 1 voters would be left up", "a", "c1")
	if _, err := p.s.MayGrant(p.now, "r4"); err == nil {
		t.Fatal("r4 shares a shard with r2")
	}
	p.must("observe", ObserveBody{Load: 5, LoadKnown: true}) // 6.25 with headroom; 7 are up and reliable
	p.ask(names("b", "r2", "r6"), names("c", "c2"))
	p.no("W3: 6.00 would be left warm", "b", "r6")
	p.grant("b", "r2")
	p.grant("c", "c2")
	p.wait(0)
	p.ask(names("b", "r2", "r6"), names("c", "c2"), names("d", "c0"))
	p.no("W2: 1 voter is out already", "d", "c0")
}

// Up for 8 times the calm without a failure it is relied on again, not a moment sooner; it counts anew from nothing.
func TestFlappingEnds(t *testing.T) {
	p := start(t, limits, names("a", "r0"))
	p.crash(3, 0, cell(2))
	p.wait(470 * sec)
	p.see(cell(2).as(Unknown).since(1000 * sec))
	p.see(cell(2).since(1000 * sec)) // no news for a moment is no failure
	p.wait(10*sec - 1)
	p.no("W1", "a", "r0")
	p.now++
	if _, err := p.s.MayGrant(p.now, "r0"); err != nil {
		t.Fatal(err)
	}
	p.crash(2, 0, cell(2))
	p.flapping("")
	p.no("W6", "a", "r0")
	p.crash(1, 0, cell(2))
	p.flapping("r2")
}

// Rarer than three times in 8 times the calm is no flapping: each failure pauses, and most of the time is free.
func TestRareFailuresAreNoFlapping(t *testing.T) {
	p := start(t, limits, names("a", "r0"))
	for range 6 {
		p.crash(1, 0, cell(5))
		p.no("W6: paused", "a", "r0")
		p.wait(60 * sec)
		if stop, why := p.s.Paused(p.now); stop {
			t.Fatal(why)
		}
		p.wait(181 * sec)
	}
	p.flapping("")
}

// More that flap than may be out are a fleet in trouble.
func TestW6ManyFlap(t *testing.T) {
	p := start(t, limits, names("a", "r0"))
	p.crash(3, 10*sec, cell(4), cell(5), cell(6))
	p.wait(400 * sec)
	p.crash(1, 0, cell(4), cell(5), cell(6)) // as many as may be out
	if stop, why := p.s.Paused(p.now); stop {
		t.Fatal(why)
	}
	p.crash(3, 10*sec, cell(7))
	p.flapping("r4 r5 r6 r7")
	until := p.s.pauseUntil
	p.wait(400 * sec)
	p.crash(1, 0, cell(4))
	if p.s.pauseUntil <= until {
		t.Fatalf("four flap, and the pause ends at %v as before", until)
	}
}

// A snapshot has the failures; one of the version before, or one that can not be, is refused.
func TestFlappingIsSaved(t *testing.T) {
	p := start(t, limits, names("a", "r0"))
	p.crash(3, 10*sec, cell(5))
	raw, err := p.s.Save()
	if err != nil {
		t.Fatal(err)
	}
	n := New()
	if err := n.Load(raw); err != nil {
		t.Fatal(err)
	}
	if got := n.Flapping(p.now); len(got) != 1 || got[0] != "r5" {
		t.Fatalf("%v flap in what was loaded", got)
	}
	for words, spoil := range map[string][2]string{
		"version 1, this program reads 2": {`{"v":2,`, `{"v":1,`},
		"3 in their order may be":         {`"fails":[1000000000000,`, `"fails":[2000000000000,`},
		"it flaps after too few failures": {`"fails":[1000000000000,1010000000000,1020000000000]`, `"fails":[1000000000000]`},
	} {
		bad := strings.Replace(string(raw), spoil[0], spoil[1], 1)
		if err := New().Load([]byte(bad)); err == nil || !strings.Contains(err.Error(), words) {
			t.Errorf("%v, want %q", err, words)
		}
	}
}

// A reserved turn is held as long as what flaps does not keep it for good: by a machine that flaps itself, and not by one
// whose shard has too few that may be relied on.
func TestW5AndFlapping(t *testing.T) {
	for _, c := range []struct {
		crashes []Machine
		holds   bool
	}{{[]Machine{cell(1)}, true}, {[]Machine{cell(0), cell(2)}, false}} {
		p := start(t, Limits{}.with(limits, func(l *Limits) { l.MaxPassedOver, l.MaxOut = 1, 1 }), names("a", "r1"), names("b", "r4", "r5"))
		p.grant("b", "r4")
		p.must("withdraw", WithdrawBody{"r4", 1, "test"})
		p.crash(3, 10*sec, c.crashes...)
		p.wait(300 * sec)
		if c.holds {
			p.no("W5: r1, passed over 1 times, has reserved the last place", "b", "r5")
		} else {
			p.grant("b", "r5")
		}
	}
}

// Its calm is over though nothing is known of it at that moment: then it fails as any other.
func TestFlappingEndsWithoutNews(t *testing.T) {
	p := start(t, limits, names("a", "r0"))
	p.crash(3, 10*sec, cell(5))
	p.wait(400*sec, cell(5).as(Unknown))
	p.wait(80 * sec)
	p.see(cell(5).as(Gone))
	p.flapping("")
	p.no("W6: paused", "a", "r0")
}
