package settings

import (
	"strconv"

	"birchcart/policy"
)

// Names translates the names that settings give into places.
type Names struct{ Classes, Tenants, Zones []string }

// Place is the place of a name, -1 if it is unknown.
func Place(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}

// Config turns settings into the configuration of the decisions; unknown ones are passed over.
func Config(values Values) (policy.Config, *Names, error) {
	s := &Reader{Values: values}
	cfg, names := s.Config()
	return cfg, names, s.Err
}

// Config reads the configuration of the decisions; what is wrong is in Err.
func (s *Reader) Config() (policy.Config, *Names) {
	names := &Names{Zones: s.List("failure_domains")}
	cfg := policy.Config{
		Resolution:        s.Float("resolution_s", 0),
		Coordinators:      max(1, s.Int("fleet_size", 1)),
		Ordinal:           s.Int("ordinal", 0),
		Zone:              Place(names.Zones, s.Text("zone")),
		MaxAttempts:       s.Int("allowed.attempts_cap", 0),
		MaxOpen:           s.Int("allowed.open_cap", 0),
		Cancel:            s.Bool("allowed.cancelling"),
		Probes:            s.Bool("allowed.probes"),
		SecondCopies:      s.Bool("allowed.second_copies"),
		RetryAfter:        s.Bool("allowed.retry_after"),
		MaxRetryAfter:     s.Float("allowed.max_retry_after_s", 0),
		Cells:             max(1, s.Int("family_info.cells", 1)),
		Reach:             max(1, s.Int("family_info.reach", 1)),
		Shards:            s.Int("family_info.shards", 0),
		MaxPartsPerCall:   max(1, s.Int("family_info.per_call", 1)),
		CallOverhead:      s.Float("family_info.overhead_s", 0),
		AnswerSlack:       s.Float("invariants.answer_slack_s", 0),
		DrainGrace:        s.Float("invariants.drain_grace_s", 0),
		ColdCapacity:      s.Float("invariants.cold_from", 1),
		WarmUp:            s.Float("invariants.warm_up_s", 0),
		OverloadMultiple:  s.Float("invariants.fall_multiple", 0),
		OverloadWindow:    s.Float("invariants.tip_after_s", 0),
		ExtraFree:         s.Float("invariants.extra_free", 0),
		ExtraPerRequest:   s.Float("invariants.extra_per_request", 0),
		ExtraWindow:       s.Float("invariants.ratio_span_s", 0),
		MustSubscribe:     s.Text("membership_mode") == "subscribe",
		MaxSubscribeDelay: s.Float("invariants.must_ask_in_s", 0),
		OverShareValue:    s.Float("over_share_worth", 1),
		ValueByWork:       s.Text("worth_by") == "work",
		ReportNames:       s.List("reporting.names"),
	}
	if s.Int("fleet_size", 1) < 1 { // the cold guard shares a replica among so many
		s.fail("fleet_size", "at least 1")
	}
	switch s.Text("membership_mode") {
	case "", "automatic", "subscribe":
	default:
		s.fail("membership_mode", "known: automatic or subscribe")
	}
	for i := range s.Int("classes.count", 0) {
		at := "classes." + strconv.Itoa(i) + "."
		c := policy.Class{
			Promise:      s.Float(at+"promise_s", 0),
			GiveUp:       s.Float(at+"give_up_s", 0),
			LateValue:    s.Float(at+"late_worth", 0),
			Points:       s.Float(at+"points", 1),
			Window:       s.Float(at+"window_s", 0),
			Need:         s.Row("family_info.need_by_class", i, 1),
			Floor:        s.Row("family_info.floor_by_class", i, 1),
			FollowUp:     s.WholeRow("family_info.follow_up", i, 0),
			PartialValue: s.Row("family_info.short_worth", i, 0),
		}
		switch s.Text(at + "semantics") {
		case "repeatable":
			c.Effect = policy.Safe
		case "by_key":
			c.Effect = policy.Keyed
		case "once", "":
			c.Effect = policy.Unsafe
		default:
			s.fail(at+"semantics", "known")
		}
		cfg.Classes = append(cfg.Classes, c)
		names.Classes = append(names.Classes, s.Text(at+"name"))
	}
	for i := range s.Int("tenants.count", 0) {
		at := "tenants." + strconv.Itoa(i) + "."
		cfg.Tenants = append(cfg.Tenants, policy.Tenant{
			Quota: s.Float(at+"quota_rps", 0), Share: s.Float(at+"share", 0),
		})
		names.Tenants = append(names.Tenants, s.Text(at+"name"))
	}
	return cfg, names
}
