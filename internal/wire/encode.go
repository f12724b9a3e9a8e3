package wire

import (
	"strconv"
	"strings"

	"birchcart/policy"
)

// text keeps a log text on its line and within its field.
var text = strings.NewReplacer("\t", " ", "\n", " ", "\r", " ")

func field(b []byte, name string, v uint64) []byte {
	b = append(b, '\t')
	b = append(b, name...)
	b = append(b, '=')
	return strconv.AppendUint(b, v, 10)
}

func seconds(b []byte, name string, v float64) []byte {
	if v <= 0 {
		return b
	}
	b = append(b, '\t')
	b = append(b, name...)
	b = append(b, '=')
	return strconv.AppendFloat(b, v, 'f', 6, 64)
}

// Append writes the line of one action.
func Append(b []byte, instance int, a *policy.Action) []byte {
	open := func(name string) []byte { return field(append(b, name...), "co-ordinator", uint64(instance)) }
	switch a.Verb {
	case policy.Send:
		b = field(field(open("ATTEMPT"), "rid", a.Part), "replica", a.Replica)
		b = seconds(b, "try_for_s", a.AttemptTimeout)
	case policy.Cancel:
		b = field(field(open("REVOKE"), "rid", a.Part), "send_no", uint64(a.Attempt))
	case policy.Answer:
		full := uint64(0)
		if a.Complete {
			full = 1
		}
		b = field(field(open("WRAP_UP"), "rid", a.Query), "full", full)
	case policy.Refuse:
		b = seconds(field(open("BUSY"), "rid", a.Query), "come_back_s", a.After)
	case policy.Fail:
		b = field(open("GIVE_UP"), "rid", a.Query)
	case policy.Probe:
		b = field(open("HEALTH_CHECK"), "replica", a.Replica)
	case policy.Timer:
		b = field(seconds(open("AFTER"), "span_s", a.After), "handle", a.Handle)
	case policy.Watch:
		b = append(open("STREAM_CHANGES"), "\tfull=1"...)
	case policy.Log:
		b = append(append(open("REMARK"), "\twhat="...), text.Replace(a.Text)...)
	}
	return append(b, '\n')
}

// End closes a reply.
func End(b []byte) []byte { return append(b, "NEXT\n"...) }
