package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"birchcart/internal/fleet/takeout"
	"birchcart/internal/operator"
	"birchcart/policy"
)

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// Limits are what the agreed order keeps to, from the section, placement and settings.
func Limits(f *operator.File, cfg *policy.Config) takeout.LimitsBody {
	fl := f.Fleet
	return takeout.LimitsBody{Revision: fl.Revision, Limits: takeout.Limits{
		Cells: cfg.Cells, Reach: cfg.Reach, Shards: cfg.Shards, HoldersLeast: f.Placement.HoldersLeast,
		OutByZone: fl.Zone, OutMost: fl.Most, Headroom: *fl.Headroom, LoadAge: ms(fl.LoadAge), ListAge: ms(fl.ListAge),
		WarmUp: time.Duration(cfg.WarmUp * float64(time.Second)), Lease: ms(fl.Lease), Grace: ms(fl.Grace), Settle: ms(fl.Settle),
		Calm: ms(fl.Calm), PassedMost: fl.Passed,
		VotersLeast: votersLeast(len(fl.Voters)),
	}}
}

// Asks is all that the operators ask for, in the file's order.
func Asks(f *operator.File) takeout.AsksBody {
	fl := f.Fleet
	out := takeout.AsksBody{Revision: fl.Revision, Paused: fl.Paused, Requests: make([]takeout.Request, len(fl.Work))}
	for i := range fl.Work {
		out.Requests[i] = request(&fl.Work[i])
	}
	return out
}

// request is the agreed form of one item of work; its ID is a digest of all the rest.
func request(w *operator.Work) takeout.Request {
	at := func(text string) time.Duration {
		t, err := operator.Moment(text)
		if err != nil || t.IsZero() {
			return 0
		}
		return time.Duration(t.UnixNano())
	}
	r := takeout.Request{
		Names: slices.Sorted(slices.Values(w.Names)), Kind: takeout.Kind(w.Kind), Zone: w.Zone, Prefix: w.Prefix, Reason: w.Reason,
		For: time.Duration(w.For * float64(time.Second)), Earliest: at(w.Earliest), Latest: at(w.Latest),
	}
	if w.Priority == "urgent" {
		r.Priority = takeout.Urgent
	}
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // texts, numbers and lists of texts
	}
	sum := sha256.Sum256(raw)
	r.ID = hex.EncodeToString(sum[:12])
	return r
}
