package config

import (
	"encoding/json"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"

	"birchcart/internal/schema"
	"birchcart/internal/settings"
	"birchcart/policy"
)

// place is an item's number in a path of settings.
var place = regexp.MustCompile(`\.\d+(\.|$)`)

// Unknown names the keys of a configuration that nothing reads. The platform's files may hold more than we read, so
// these are no mistakes by themselves; a misspelt key is among them.
func Unknown(raw []byte) ([]string, error) {
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	var top map[string]json.RawMessage
	if err := json.Unmarshal(raw, &top); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	var out []string
	tell := func(path, name string, known []string) {
		out = append(out, path+": "+schema.Unknown(name, known))
	}
	keys := []string{"name", "listen", "discovery", "seed", "limits", "known", "settings"}
	unknown(top, keys, func(name string) { tell(name, name, keys) })
	var machine map[string]json.RawMessage
	if len(top["limits"]) > 0 && json.Unmarshal(top["limits"], &machine) == nil {
		keys := []string{"cores", "memory_mb", "sockets"}
		unknown(machine, keys, func(name string) { tell("limits."+name, name, keys) })
	}
	values, err := settings.FromJSON(f.Settings)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	r := &settings.Reader{Values: values}
	r.Track()
	r.Config()
	r.Text("reporting.how")
	limits(f.Limits, r)
	known := map[string][]string{} // by the object that they stand in
	for _, path := range r.Read() {
		in, name := split(path)
		known[in] = append(known[in], name)
	}
	for _, path := range r.Unread() {
		in, name := split(path)
		if len(known[in]) == 0 { // the object is not known either: say so of it, once
			line := "settings." + in + ": nothing in it is known"
			if top, _, _ := strings.Cut(in, "."); len(known[top]) == 0 {
				line = "settings." + top + ": " + schema.Unknown(top, objects(known))
			}
			if !slices.Contains(out, line) {
				out = append(out, line)
			}
			continue
		}
		if name != "count" {
			tell("settings."+path, name, known[in])
		}
	}
	return out, nil
}

func unknown(have map[string]json.RawMessage, keys []string, tell func(string)) {
	var names []string
	for name := range have {
		if !slices.Contains(keys, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		tell(name)
	}
}

// split takes a path apart into the object and the key; items of one list are one object.
func split(path string) (in, name string) {
	i := strings.LastIndex(path, ".")
	if i < 0 {
		return "", path
	}
	return strings.TrimSuffix(place.ReplaceAllString(path[:i]+".", ".N$1"), "."), path[i+1:]
}

func objects(known map[string][]string) []string {
	var out []string
	for in := range known {
		top, _, _ := strings.Cut(in, ".")
		if top != "" && !slices.Contains(out, top) {
			out = append(out, top)
		}
	}
	return out
}

// Impossible lists what no deployment can mean: shares outside 0 to 1, negative times, a floor above the need. A file
// with any of it would be served, and would not do what its writer thinks.
func Impossible(c *Config) error {
	var ms schema.Mistakes
	p := &c.Policy
	share := func(path string, x float64) {
		if !(x >= 0 && x <= 1) {
			ms.Add(path, fmt.Sprint(x), "a share from 0 to 1 is right")
		}
	}
	span := func(path string, x float64) {
		if !(x >= 0) || math.IsInf(x, 0) {
			ms.Add(path, fmt.Sprint(x), "a time of at least 0 s is right")
		}
	}
	span("settings.resolution_s", p.Resolution)
	for path, x := range map[string]float64{
		"invariants.answer_slack_s": p.AnswerSlack, "invariants.drain_grace_s": p.DrainGrace, "invariants.warm_up_s": p.WarmUp,
		"invariants.tip_after_s": p.OverloadWindow, "invariants.ratio_span_s": p.ExtraWindow, "invariants.must_ask_in_s": p.MaxSubscribeDelay,
		"allowed.max_retry_after_s": p.MaxRetryAfter, "allowed.conn_idle_s": c.Limits.ReplicaIdle.Seconds(),
		"allowed.connect_timeout_s": c.Limits.ConnectTime.Seconds(),
	} {
		span("settings."+path, x)
	}
	share("settings.invariants.cold_from", p.ColdCapacity)
	share("settings.over_share_worth", p.OverShareValue)
	if p.OverloadMultiple < 0 {
		ms.Add("settings.invariants.fall_multiple", fmt.Sprint(p.OverloadMultiple), "at least 0 is right")
	}
	if p.OverloadMultiple > 0 {
		for path, x := range map[string]float64{"warm_up_s": p.WarmUp, "tip_after_s": p.OverloadWindow, "cold_from": p.ColdCapacity} {
			if x == 0 {
				ms.Add("settings.invariants."+path, "0", "with fall_multiple %g it is more than 0", p.OverloadMultiple)
			}
		}
	}
	if p.SecondCopies && p.MaxAttempts == 1 {
		ms.Add("settings.allowed.second_copies", "true", "with attempts_cap 1 there is no second copy")
	}
	if p.RetryAfter && p.MaxRetryAfter == 0 {
		ms.Add("settings.allowed.max_retry_after_s", "0", "with retry_after more than 0 s is right")
	}
	if p.MaxAttempts < 0 || p.MaxOpen < 0 {
		ms.Add("settings.allowed", "", "attempts_cap and open_cap are at least 0, which means no limit")
	}
	if p.Ordinal < 0 || p.Ordinal >= p.Coordinators {
		ms.Add("settings.ordinal", fmt.Sprint(p.Ordinal), "with fleet_size %d, from 0 to %d is right", p.Coordinators, p.Coordinators-1)
	}
	if p.Reach > p.Cells {
		ms.Add("settings.family_info.reach", fmt.Sprint(p.Reach), "there are only %d cells", p.Cells)
	}
	if p.Shards < 1 {
		ms.Add("settings.family_info.shards", fmt.Sprint(p.Shards), "at least 1 is right")
	}
	for i := range p.Classes {
		c.impossibleClass(i, &ms, share, span)
	}
	total := 0.0
	for i, t := range p.Tenants {
		share(fmt.Sprintf("settings.tenants[%d].share", i), t.Share)
		total += t.Share
		if t.Quota < 0 {
			ms.Add(fmt.Sprintf("settings.tenants[%d].quota_rps", i), fmt.Sprint(t.Quota), "at least 0 is right")
		}
	}
	if total > 1+1e-6 {
		ms.Add("settings.tenants", fmt.Sprint("shares that add up to ", total), "at most 1 is right")
	}
	for what, names := range map[string][]string{"classes": c.Names.Classes, "tenants": c.Names.Tenants, "failure_domains": c.Names.Zones} {
		for i, name := range names {
			if slices.Contains(names[:i], name) {
				ms.Add(fmt.Sprintf("settings.%s[%d]", what, i), schema.Shown(name), "each name once")
			}
		}
	}
	slices.SortStableFunc(ms, func(a, b schema.Mistake) int { return strings.Compare(a.Path, b.Path) })
	return ms.Err()
}

func (c *Config) impossibleClass(i int, ms *schema.Mistakes, share, span func(string, float64)) {
	k := &c.Policy.Classes[i]
	at := fmt.Sprintf("settings.classes[%d]", i)
	span(at+".promise_s", k.Promise)
	span(at+".give_up_s", k.GiveUp)
	span(at+".window_s", k.Window)
	share(at+".late_worth", k.LateValue)
	for name, x := range map[string]float64{"need_by_class": k.Need, "floor_by_class": k.Floor, "short_worth": k.PartialValue} {
		share(fmt.Sprintf("settings.family_info.%s[%d]", name, i), x)
	}
	if k.Promise == 0 {
		ms.Add(at+".promise_s", "0", "more than 0 s is right")
	}
	if k.GiveUp > 0 && k.GiveUp < k.Promise {
		ms.Add(at+".give_up_s", fmt.Sprint(k.GiveUp), "clients would leave before the promise, %g s", k.Promise)
	}
	if k.Floor > k.Need {
		ms.Add(fmt.Sprintf("settings.family_info.floor_by_class[%d]", i), fmt.Sprint(k.Floor), "at most the need, %g, is right", k.Need)
	}
	if k.Effect == policy.Keyed && k.Window == 0 {
		ms.Add(at+".window_s", "0", "a class by_key needs the time within which repeats are dropped")
	}
	if k.FollowUp < 0 {
		ms.Add(fmt.Sprintf("settings.family_info.follow_up[%d]", i), fmt.Sprint(k.FollowUp), "at least 0 is right")
	}
}
