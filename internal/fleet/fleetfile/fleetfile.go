// Package fleetfile converts the fleet section of the operators' file to the limits and maintenance requests that the fleet agrees on, and
// finds requests that can't be granted. Its functions have no side effects.
package fleetfile

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/operator"
	"birchcart/policy"
)

// Milliseconds converts a setting in milliseconds to a duration.
func Milliseconds(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// Limits returns the limits that the agreed maintenance order observes, from the fleet section, the placement section and the settings.
func Limits(f *operator.File, cfg *policy.Config) maintenance.LimitsBody {
	fl := f.Fleet
	return maintenance.LimitsBody{Revision: fl.Revision, Limits: maintenance.Limits{
		Cells: cfg.Cells, Reach: cfg.Reach, Shards: cfg.Shards, MinHolders: f.Placement.HoldersLeast,
		MaxOutPerZone: fl.Zone, MaxOut: fl.Most, Headroom: *fl.Headroom, MaxLoadAge: Milliseconds(fl.LoadAge), MaxInventoryAge: Milliseconds(fl.ListAge),
		WarmUp: time.Duration(cfg.WarmUp * float64(time.Second)), Lease: Milliseconds(fl.Lease), Grace: Milliseconds(fl.Grace), SettleTime: Milliseconds(fl.Settle),
		FailurePause: Milliseconds(fl.Calm), MaxPassedOver: fl.Passed,
		MinVoters: minVoters(len(fl.Voters)),
	}}
}

// Requests returns all maintenance requests of the file, in its order.
func Requests(f *operator.File) maintenance.RequestsBody {
	fl := f.Fleet
	out := maintenance.RequestsBody{Revision: fl.Revision, Paused: fl.Paused, Requests: make([]maintenance.Request, len(fl.Work))}
	for i := range fl.Work {
		out.Requests[i] = request(&fl.Work[i])
	}
	return out
}

// request converts one item of work to its agreed form. Its ID is a digest of all other fields, so that every co-ordinator derives the
// same ID.
func request(w *operator.Work) maintenance.Request {
	moment := func(text string) time.Duration {
		t, err := operator.Moment(text)
		if err != nil || t.IsZero() {
			return 0
		}
		return time.Duration(t.UnixNano())
	}
	r := maintenance.Request{
		Names: slices.Sorted(slices.Values(w.Names)), Kind: maintenance.Kind(w.Kind), Zone: w.Zone, Prefix: w.Prefix, Reason: w.Reason,
		MaxOutage: time.Duration(w.For * float64(time.Second)), Earliest: moment(w.Earliest), Latest: moment(w.Latest),
	}
	if w.Priority == "urgent" {
		r.Priority = maintenance.Urgent
	}
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // can't happen: strings, numbers and lists of strings
	}
	sum := sha256.Sum256(raw)
	r.ID = hex.EncodeToString(sum[:12])
	return r
}
