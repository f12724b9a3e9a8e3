package wire

import (
	"fmt"
	"strconv"
	"strings"

	"birchcart/policy"
)

// settings holds the path=value pairs of one HELLO.
type settings struct {
	line  int
	pairs map[string]string
	err   error
}

func (s *settings) fail(path, want string) {
	if s.err == nil {
		s.err = fmt.Errorf("line %d: setting %q is not %s: %q", s.line, path, want, s.pairs[path])
	}
}

func (s *settings) float(path string, absent float64) float64 {
	v, ok := s.pairs[path]
	if !ok {
		return absent
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil {
		s.fail(path, "a number")
	}
	return x
}

func (s *settings) int(path string, absent int) int { return int(s.float(path, float64(absent))) }

func (s *settings) bool(path string) bool {
	switch s.pairs[path] {
	case "true", "1":
		return true
	case "", "false", "0":
		return false
	}
	s.fail(path, "true or false")
	return false
}

func (s *settings) list(path string) []string {
	if s.pairs[path] == "" {
		return nil
	}
	return strings.Split(s.pairs[path], ",")
}

// row reads the i-th value of a list given for each class.
func (s *settings) row(path string, i int, absent float64) float64 {
	items := s.list(path)
	if i >= len(items) {
		return absent
	}
	v, err := strconv.ParseFloat(items[i], 64)
	if err != nil {
		s.fail(path, "a row of numbers")
	}
	return v
}

// parseSettings turns the pairs of one HELLO into a Config; unknown ones are passed over.
func parseSettings(line int, pairs []string) (policy.Config, *Names, error) {
	s := &settings{line: line, pairs: make(map[string]string, len(pairs)/2)}
	for i := 0; i+1 < len(pairs); i += 2 {
		s.pairs[pairs[i]] = pairs[i+1]
	}
	names := &Names{zones: s.list("failure_domains")}
	cfg := policy.Config{
		Resolution:      s.float("resolution_s", 0),
		Aggregators:     max(1, s.int("fleet_size", 1)),
		Ordinal:         s.int("ordinal", 0),
		Zone:            -1,
		MaxAttempts:     s.int("allowed.attempts_cap", 0),
		MaxOpen:         s.int("allowed.open_cap", 0),
		Cancel:          s.bool("allowed.cancelling"),
		Probes:          s.bool("allowed.probes"),
		SecondCopies:    s.bool("allowed.second_copies"),
		RetryAfter:      s.bool("allowed.retry_after"),
		MaxRetryAfter:   s.float("allowed.max_retry_after_s", 0),
		Cells:           max(1, s.int("family_info.cells", 1)),
		Reach:           max(1, s.int("family_info.reach", 1)),
		Shards:          s.int("family_info.shards", 0),
		CallParts:       max(1, s.int("family_info.per_call", 1)),
		CallOverhead:    s.float("family_info.overhead_s", 0),
		AnswerSlack:     s.float("invariants.answer_slack_s", 0),
		DrainGrace:      s.float("invariants.drain_grace_s", 0),
		ColdFrom:        s.float("invariants.cold_from", 1),
		WarmUp:          s.float("invariants.warm_up_s", 0),
		FallMultiple:    s.float("invariants.fall_multiple", 0),
		TipAfter:        s.float("invariants.tip_after_s", 0),
		ExtraFree:       s.float("invariants.extra_free", 0),
		ExtraPerRequest: s.float("invariants.extra_per_request", 0),
		ExtraSpan:       s.float("invariants.ratio_span_s", 0),
		MustAsk:         s.pairs["membership_mode"] == "subscribe",
		MustAskIn:       s.float("invariants.must_ask_in_s", 0),
		OverShareKeep:   s.float("over_share_worth", 1),
		WorthByWork:     s.pairs["worth_by"] == "work",
		ReportNames:     s.list("reporting.names"),
	}
	for i, z := range names.zones {
		if z == s.pairs["zone"] {
			cfg.Zone = i
		}
	}
	for i := range s.int("classes.count", 0) {
		at := "classes." + strconv.Itoa(i) + "."
		c := policy.Class{
			Promise:    s.float(at+"promise_s", 0),
			GiveUp:     s.float(at+"give_up_s", 0),
			LateWorth:  s.float(at+"late_worth", 0),
			Points:     s.float(at+"points", 1),
			Window:     s.float(at+"window_s", 0),
			Need:       s.row("family_info.need_by_class", i, 1),
			Floor:      s.row("family_info.floor_by_class", i, 1),
			FollowUp:   int(s.row("family_info.follow_up", i, 0)),
			ShortWorth: s.row("family_info.short_worth", i, 0),
		}
		switch v := s.pairs[at+"semantics"]; v {
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
		names.classes = append(names.classes, s.pairs[at+"name"])
	}
	for i := range s.int("tenants.count", 0) {
		at := "tenants." + strconv.Itoa(i) + "."
		cfg.Tenants = append(cfg.Tenants, policy.Tenant{
			Quota: s.float(at+"quota_rps", 0), Share: s.float(at+"share", 0),
		})
		names.tenants = append(names.tenants, s.pairs[at+"name"])
	}
	return cfg, names, s.err
}
