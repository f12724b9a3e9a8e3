package config

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"birchcart/internal/schema"
	"birchcart/internal/settings"
)

const (
	// shareRound is how far a share that is written in whole percents may lie from what it stands for.
	shareRound = 0.005
	// weightSlip is how far two shares may differ that are meant alike: they are printed and read again.
	weightSlip = 1e-6
)

// Refusal is why a configuration can't be served. Its text is one line, whatever the number of mistakes.
type Refusal struct{ Mistakes schema.Mistakes }

func (r *Refusal) Error() string {
	return "configuration: " + strings.ReplaceAll(r.Mistakes.Error(), "\n", "; ")
}

func (r *Refusal) Unwrap() error { return r.Mistakes }

// refuse lists what would make a co-ordinator serve otherwise than its settings mean, or not at all. It is asked at each
// start and reload, and so takes whatever a platform may mean: what is merely odd is for Impossible.
func refuse(c *Config, m machine, values settings.Values) error {
	r := refuser{config: c, values: values}
	r.machine(m)
	r.negative()
	r.family()
	r.classes()
	r.tenants()
	if len(r.mistakes) == 0 {
		return nil
	}
	slices.SortStableFunc(r.mistakes, func(a, b schema.Mistake) int { return strings.Compare(a.Path, b.Path) })
	return &Refusal{r.mistakes}
}

type refuser struct {
	config   *Config
	values   settings.Values
	mistakes schema.Mistakes
}

// text is the setting at a path, "" if it is absent.
func (r *refuser) text(path string) string { return strings.Join(r.values[path], ",") }

func (r *refuser) machine(m machine) {
	for path, x := range map[string]float64{"limits.cores": m.Cores, "limits.memory_mb": m.MemoryMB, "limits.sockets": float64(m.Sockets)} {
		if x < 0 {
			r.mistakes.Add(path, fmt.Sprint(x), "at least 0 is right, which means that it is not told")
		}
	}
	if least := fixedSockets + leastSockets; m.Sockets > 0 && m.Sockets < least {
		r.mistakes.Add("limits.sockets", fmt.Sprint(m.Sockets), "at least %d are needed", least)
	}
}

// negative finds numbers below 0: no setting that is read has a meaning for one.
func (r *refuser) negative() {
	p, l := &r.config.Policy, &r.config.Limits
	numbers := map[string]float64{
		"resolution_s": p.Resolution, "over_share_worth": p.OverShareValue,
		"allowed.attempts_cap": float64(p.MaxAttempts), "allowed.open_cap": float64(p.MaxOpen),
		"allowed.max_retry_after_s": p.MaxRetryAfter, "family_info.overhead_s": p.CallOverhead,
		"allowed.connect_timeout_s": l.ConnectTime.Seconds(), "allowed.conn_idle_s": l.ReplicaIdle.Seconds(),
		"invariants.answer_slack_s": p.AnswerSlack, "invariants.drain_grace_s": p.DrainGrace,
		"invariants.warm_up_s": p.WarmUp, "invariants.fall_multiple": p.OverloadMultiple, "invariants.tip_after_s": p.OverloadWindow,
		"invariants.extra_free": p.ExtraFree, "invariants.extra_per_request": p.ExtraPerRequest,
		"invariants.ratio_span_s": p.ExtraWindow, "invariants.must_ask_in_s": p.MaxSubscribeDelay,
	}
	for path, x := range numbers {
		if x < 0 {
			r.mistakes.Add("settings."+path, r.text(path), "at least 0 is right")
		}
	}
	if !isShare(p.ColdCapacity) {
		r.mistakes.Add("settings.invariants.cold_from", r.text("invariants.cold_from"), "a share from 0 to 1 is right")
	}
}

// family finds a shape on which no part could be placed, and a place in the fleet that there is not.
func (r *refuser) family() {
	p := &r.config.Policy
	if _, told := r.values["family_info.shards"]; !told {
		r.mistakes.Add("settings.family_info.shards", "", "is missing; no query could name a shard")
	} else if p.Shards < 1 {
		r.mistakes.Add("settings.family_info.shards", fmt.Sprint(p.Shards), "at least 1 is right")
	}
	if p.Ordinal < 0 || p.Ordinal >= p.Coordinators {
		r.mistakes.Add("settings.ordinal", fmt.Sprint(p.Ordinal), "with fleet_size %d, from 0 to %d is right", p.Coordinators, p.Coordinators-1)
	}
}

func (r *refuser) classes() {
	r.names("classes", r.config.Names.Classes)
	for i := range r.config.Policy.Classes {
		r.class(i)
	}
}

func (r *refuser) class(i int) {
	class, at := &r.config.Policy.Classes[i], fmt.Sprintf("settings.classes[%d]", i)
	path := "classes." + strconv.Itoa(i) + "."
	if r.text(path+"semantics") == "" {
		r.mistakes.Add(at+".semantics", "", "is missing; one of repeatable, by_key, once belongs there")
	}
	switch _, told := r.values[path+"promise_s"]; {
	case !told:
		r.mistakes.Add(at+".promise_s", "", "is missing; the time within which an answer has its whole worth belongs there")
	case class.Promise <= 0:
		r.mistakes.Add(at+".promise_s", r.text(path+"promise_s"), "more than 0 s is right")
	}
	for name, x := range map[string]float64{
		"give_up_s": class.GiveUp, "window_s": class.Window, "late_worth": class.LateValue, "points": class.Points,
	} {
		if x < 0 {
			r.mistakes.Add(at+"."+name, fmt.Sprint(x), "at least 0 is right")
		}
	}
	row := func(name string) string { return fmt.Sprintf("settings.family_info.%s[%d]", name, i) }
	if class.Need == 0 || !isShare(class.Need) {
		r.mistakes.Add(row("need_by_class"), fmt.Sprint(class.Need), "a share over 0 and up to 1 is right")
	}
	if !isShare(class.Floor) {
		r.mistakes.Add(row("floor_by_class"), fmt.Sprint(class.Floor), "a share from 0 to 1 is right")
	} else if class.Floor > class.Need+weightSlip {
		r.mistakes.Add(row("floor_by_class"), fmt.Sprint(class.Floor), "at most the need, %g, is right", class.Need)
	}
	if class.FollowUp < 0 {
		r.mistakes.Add(row("follow_up"), fmt.Sprint(class.FollowUp), "at least 0 is right")
	}
	if class.PartialValue < 0 {
		r.mistakes.Add(row("short_worth"), fmt.Sprint(class.PartialValue), "at least 0 is right")
	}
}

func (r *refuser) tenants() {
	r.names("tenants", r.config.Names.Tenants)
	total := 0.0
	for i, t := range r.config.Policy.Tenants {
		at := fmt.Sprintf("settings.tenants[%d]", i)
		if !isShare(t.Share) {
			r.mistakes.Add(at+".share", fmt.Sprint(t.Share), "a share from 0 to 1 is right")
		}
		if t.Quota < 0 {
			r.mistakes.Add(at+".quota_rps", fmt.Sprint(t.Quota), "at least 0 is right")
		}
		total += t.Share
	}
	if total > 1+shareRound*float64(len(r.config.Policy.Tenants)) {
		r.mistakes.Add("settings.tenants", fmt.Sprint("shares that add up to ", total), "at most 1 is right")
	}
}

// names finds items that no request could name.
func (r *refuser) names(list string, names []string) {
	for i, name := range names {
		at := fmt.Sprintf("settings.%s[%d].name", list, i)
		if name == "" {
			r.mistakes.Add(at, "", "is missing; requests name it")
		} else if first := slices.Index(names, name); first < i {
			r.mistakes.Add(at, schema.Shown(name), "%s[%d] has that name", list, first)
		}
	}
}

func isShare(x float64) bool { return x >= 0 && x <= 1 && !math.IsNaN(x) }
