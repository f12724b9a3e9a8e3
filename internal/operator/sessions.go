package operator

import (
	"fmt"
	"slices"
	"strings"

	"birchcart/internal/schema"
	"birchcart/internal/settings"
	"birchcart/policy"
)

// Sessions pins a client's run of queries to one co-ordinator of the fleet, which keeps them in order, and has it move
// while machines go out for work. Only birchcart-fleet serves with it; changes of all but header and owner_header come with
// a higher fleet.revision.
type Sessions struct {
	Header  string   `json:"header" need:"true" len:"1"`                // of a request: the session's key; a session is its tenant's
	Classes []string `json:"classes" need:"true" len:"1"`               // queries of these belong to the session that they name
	Routes  []string `json:"routes"`                                    // of these only, if there are any
	Owner   string   `json:"owner_header"`                              // of a refusal: the co-ordinator to ask; absent: none is named
	Slots   int      `json:"slots" min:"1" max:"64"`                    // queries of one session open at once, if they may run beside each other; 2 if absent
	Pool    int      `json:"slots_per_replica" min:"1" max:"1000000"`   // parts of pinned queries at one replica, of all co-ordinators together; needed
	Idle    float64  `json:"idle_s" min:"1" max:"86400" unit:"s"`       // a session without a query for so long ends; 600 if absent
	Offer   float64  `json:"offer_ms" min:"100" max:"600000" unit:"ms"` // an offered session is handed over within it, or stays; 10,000 if absent
	Flight  int      `json:"in_flight" min:"1" max:"100000"`            // sessions that move at once; 64 if absent
	Minute  int      `json:"per_minute" min:"1" max:"10000000"`         // that begin to move in a minute; 6,000 if absent
	Most    int      `json:"sessions_most" min:"1" max:"1000000"`       // sessions in all; 100,000 if absent
	Premium []string `json:"premium"`                                   // tenants whose sessions move first, in this order
}

const (
	sessionsAt = fleetAt + ".sessions"

	sessionSlots  = 2       // a report that reads two things at once
	sessionIdle   = 600     // s: a volunteer's pause
	sessionOffer  = 10_000  // ms: longer than most queries wait, short against a machine's work
	sessionFlight = 64      // each holds slots twice while it moves
	sessionMinute = 6_000   // a hundred a second
	sessionsMost  = 100_000 // some 100 MB with both copies

	// SessionMemory is bytes for one session: what is agreed of it, what its owner knows, and a snapshot's share.
	SessionMemory = 1 << 10
)

// checkSessions finds what the section contradicts itself in.
func (f *Fleet) checkSessions(ms *schema.Mistakes) {
	s := f.Sessions
	if s == nil {
		return
	}
	for _, d := range []struct {
		to    *int
		usual int
	}{{&s.Slots, sessionSlots}, {&s.Flight, sessionFlight}, {&s.Minute, sessionMinute}, {&s.Most, sessionsMost}} {
		if *d.to == 0 {
			*d.to = d.usual
		}
	}
	if s.Idle == 0 {
		s.Idle = sessionIdle
	}
	if s.Offer == 0 {
		s.Offer = sessionOffer
	}
	if s.Pool == 0 {
		ms.Add(sessionsAt+".slots_per_replica", "", "is missing; a pool without a cap has nothing to share out")
	}
	if s.Flight > s.Minute {
		ms.Add(sessionsAt+".in_flight", fmt.Sprint(s.Flight), "at most per_minute, %d", s.Minute)
	}
	for _, h := range []struct{ key, name string }{{"header", s.Header}, {"owner_header", s.Owner}} {
		if h.name == "" {
			continue
		}
		if strings.ContainsFunc(h.name, notToken) {
			ms.Add(sessionsAt+"."+h.key, schema.Shown(h.name), "the name of a header is right: letters, digits and hyphens")
		}
		if slices.ContainsFunc(takenHeaders, func(t string) bool { return strings.EqualFold(t, h.name) }) {
			ms.Add(sessionsAt+"."+h.key, schema.Shown(h.name), "that header has a meaning already")
		}
	}
	for _, l := range []struct {
		key  string
		list []string
	}{{"classes", s.Classes}, {"routes", s.Routes}, {"premium", s.Premium}} {
		if i, twice := repeated(l.list); twice {
			ms.Add(fmt.Sprintf("%s.%s[%d]", sessionsAt, l.key, i), schema.Shown(l.list[i]), "stands there already")
		}
	}
}

// takenHeaders have a meaning in the users' protocol.
var takenHeaders = []string{"X-Request-ID", "X-Tenant-Id", "X-Timeout-Ms", "X-Retried", "Idempotency-Key", "Retry-After", "Host", "Connection",
	"Content-Length", "Transfer-Encoding", "Trailer", "Expect", "Upgrade", "Date"}

func notToken(c rune) bool {
	return !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-')
}

// againstSessions checks the section against settings and routes.
func (f *File) againstSessions(names *settings.Names, cfg *policy.Config, ms *schema.Mistakes) {
	s := f.Fleet.Sessions
	if s == nil {
		return
	}
	var routes []string
	for i := range f.Routes {
		routes = append(routes, f.Routes[i].Name)
	}
	for _, l := range []struct {
		key   string
		list  []string
		known []string
	}{{"classes", s.Classes, names.Classes}, {"routes", s.Routes, routes}, {"premium", s.Premium, names.Tenants}} {
		for i, name := range l.list {
			if slices.Contains(l.known, name) {
				continue
			}
			why := "the settings or the file have none"
			if len(l.known) > 0 {
				why = schema.Unknown(name, l.known)
			}
			ms.Add(fmt.Sprintf("%s.%s[%d]", sessionsAt, l.key, i), schema.Shown(name), "%s", why)
		}
	}
	if s.Pool > 0 && s.Pool < cfg.Coordinators {
		ms.Add(sessionsAt+".slots_per_replica", fmt.Sprint(s.Pool),
			"settings.fleet_size has %d co-ordinators; with fewer slots some could run no pinned query", cfg.Coordinators)
	}
}
