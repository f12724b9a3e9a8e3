package shedding

import (
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
)

// Case is one of the hard ones.
type Case struct {
	Name string
	Set  func(p *Plan)
}

const sec = time.Second

func steps(s ...clockwork.Step) func(p *Plan) { return func(p *Plan) { p.Steps = s } }

// Cases in the order of tables.
var Cases = []Case{
	{"plain", func(*Plan) {}},
	{"calm, a tenth say all is lost", func(p *Plan) {
		p.Load = 0.6
		p.Steps = []clockwork.Step{{At: 11 * sec, Kind: Lie, A: 10, B: 1}}
	}},
	{"calm, a tenth say what is huge", func(p *Plan) { p.Load, p.Steps = 0.6, []clockwork.Step{{At: 11 * sec, Kind: Lie, A: 10, B: 3}} }},
	{"a tenth say nothing is amiss", steps(clockwork.Step{At: 11 * sec, Kind: Lie, A: 10, B: 0})},
	{"a tenth say all is lost", steps(clockwork.Step{At: 11 * sec, Kind: Lie, A: 10, B: 1})},
	{"a tenth say no number", steps(clockwork.Step{At: 11 * sec, Kind: Lie, A: 10, B: 2})},
	{"a tenth say what is huge", steps(clockwork.Step{At: 11 * sec, Kind: Lie, A: 10, B: 3})},
	{"5 x on one co-ordinator alone", func(p *Plan) { p.Load, p.Shape = 0.7, "hot" }},
	{"a flood by one premium account", func(p *Plan) { p.Shape = "flood" }},
	{"unmarked retries, up to five", func(p *Plan) { p.Load, p.Retries, p.Unmarked = 1.3, 5, true }},
	{"all premium", func(p *Plan) { p.Shape = "all premium" }},
	{"half of the replicas go, back cold", func(p *Plan) {
		p.Load, p.Calm = 0.8, 0.8
		p.Steps = []clockwork.Step{{At: 16 * sec, For: 8 * sec, Kind: Replica, A: 50}}
	}},
	{"cut in two, 1 to 2", steps(clockwork.Step{At: 18 * sec, For: 12 * sec, Kind: Cut, A: 33})},
	{"one way", steps(clockwork.Step{At: 18 * sec, For: 12 * sec, Kind: OneWay, A: 33})},
	{"words 5 s late, twice, out of order", steps(clockwork.Step{At: 12 * sec, For: 22 * sec, Kind: LateBy})},
	{"7 in 10 restart", steps(clockwork.Step{At: 21 * sec, For: sec, Kind: Crash, A: 70})},
	{"stalls of 10 s", steps(clockwork.Step{At: 16 * sec, For: 10 * sec, Kind: Stall, A: 1}, clockwork.Step{At: 18 * sec, For: 10 * sec, Kind: Stall, A: 4})},
	{"clocks jump", steps(clockwork.Step{At: 18 * sec, Kind: Jump, A: 1, B: 3600}, clockwork.Step{At: 20 * sec, Kind: Jump, A: 2, B: -37})},
	{"an account moves down at half", steps(clockwork.Step{At: 20 * sec, Kind: Move})},
	{"steps of 30 % every 3 s", func(p *Plan) { p.Load, p.Shape = 1.3, "steps" }},
	{"at capacity", func(p *Plan) { p.Load = 0.95 }},
}
