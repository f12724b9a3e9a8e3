package operator

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"birchcart/internal/schema"
	"birchcart/internal/settings"
	"birchcart/policy"
)

const fleetAt = "$.fleet"

// checkFleet finds what the section contradicts itself in.
func (f *File) checkFleet(ms *schema.Mistakes) {
	fl := f.Fleet
	if fl == nil {
		return
	}
	fl.defaults()
	if f.Placement.HoldersLeast == 0 {
		ms.Add("$.placement.holders_least", "", "is missing; a fleet takes no machine out without it")
	}
	if n := len(fl.Voters); n != 3 && n != 5 {
		ms.Add(fleetAt+".voters", fmt.Sprintf("%d voters", n), "3 or 5 are right: an even number bears no more losses than one fewer")
	}
	address := func(path, text string) {
		if _, port, err := net.SplitHostPort(text); err != nil || port == "" || port == "0" {
			ms.Add(path, schema.Shown(text), "HOST:PORT is right")
		}
	}
	seen := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(fl.Voters)) {
		v := fl.Voters[name]
		address(fleetAt+".voters."+name+".address", v.Address)
		if other := seen[v.Address]; other != "" {
			ms.Add(fleetAt+".voters."+name+".address", schema.Shown(v.Address), "that is the address of %s", other)
		}
		seen[v.Address] = name
	}
	if fl.Council.Bind != "" {
		address(fleetAt+".council.bind", fl.Council.Bind)
	}
	address(fleetAt+".gossip.bind", fl.Gossip.Bind)
	if fl.Gossip.Advertise != fl.Gossip.Bind {
		address(fleetAt+".gossip.advertise", fl.Gossip.Advertise)
	}
	for i, to := range fl.Gossip.Join {
		address(fmt.Sprintf("%s.gossip.join[%d]", fleetAt, i), to)
	}
	if fl.Grace > fl.Settle {
		ms.Add(fleetAt+".settle_ms", fmt.Sprint(fl.Settle), "at least grace_ms, %g ms: a lapsed grant's machine may still go in it", fl.Grace)
	}
	if fl.Zone > fl.Most {
		ms.Add(fleetAt+".out_by_zone", fmt.Sprint(fl.Zone), "at most out_most, %d", fl.Most)
	}
	fl.checkWork(ms)
	fl.checkSessions(ms)
	fl.checkLanes(ms)
}

func (f *Fleet) checkWork(ms *schema.Mistakes) {
	if len(f.Work) > WorkMost {
		ms.Add(fleetAt+".work", fmt.Sprintf("a list of %d", len(f.Work)), "%d at most", WorkMost)
		return
	}
	seen := map[string]int{}
	for i := range f.Work {
		w, path := &f.Work[i], fmt.Sprintf("%s.work[%d]", fleetAt, i)
		rule := w.Kind != "" || w.Zone != "" || w.Prefix != ""
		switch {
		case len(w.Names) == 0 && !rule:
			ms.Add(path, "", "names no machine; names, or kind, zone or prefix belong there")
		case len(w.Names) > 0 && rule:
			ms.Add(path+".names", "", "names go without kind, zone and prefix")
		case len(w.Names) > NamesMost:
			ms.Add(path+".names", fmt.Sprintf("a list of %d", len(w.Names)), "%d at most", NamesMost)
		}
		if j, twice := repeated(w.Names); twice {
			ms.Add(fmt.Sprintf("%s.names[%d]", path, j), schema.Shown(w.Names[j]), "each machine once")
		}
		if len(w.Reason) > TextMost {
			ms.Add(path+".reason", fmt.Sprintf("length %d", len(w.Reason)), "at most %d bytes", TextMost)
		}
		var at [2]time.Time
		for k, end := range []struct{ key, text string }{{"earliest", w.Earliest}, {"latest", w.Latest}} {
			var err error
			if at[k], err = Moment(end.text); err != nil {
				ms.Add(path+"."+end.key, schema.Shown(end.text), "a time as 2026-12-02T22:00:00Z is right")
			}
		}
		if !at[1].IsZero() && at[1].Before(at[0]) {
			ms.Add(path+".latest", schema.Shown(w.Latest), "not before earliest, %s", w.Earliest)
		}
		said := fmt.Sprintf("%q %q %q %q %q %v %v %v %q", slices.Sorted(slices.Values(w.Names)), w.Kind, w.Zone, w.Prefix, w.Reason,
			w.For, at[0].UnixNano(), at[1].UnixNano(), w.Priority)
		if j, twice := seen[said]; twice {
			ms.Add(path, "", "says the same as work[%d]; another reason makes it another request", j)
		}
		seen[said] = i
	}
}

// againstFleet checks the section against settings.
func (f *File) againstFleet(names *settings.Names, cfg *policy.Config, ms *schema.Mistakes) {
	fl := f.Fleet
	if fl == nil {
		return
	}
	if n := len(fl.Voters); n > cfg.Coordinators {
		ms.Add(fleetAt+".voters", fmt.Sprintf("%d voters", n), "settings.fleet_size allows no more than %d co-ordinators", cfg.Coordinators)
	}
	if cfg.Cells <= 0 || cfg.Reach <= 0 || cfg.Shards <= 0 {
		ms.Add(fleetAt, "", "the deployment has no ring of cells and shards, so nothing is known of who holds what")
	}
	if len(names.Zones) > 1 {
		by := map[string]int{}
		for _, name := range slices.Sorted(maps.Keys(fl.Voters)) {
			zone := fl.Voters[name].Zone
			if settings.Place(names.Zones, zone) < 0 {
				ms.Add(fleetAt+".voters."+name+".zone", schema.Shown(zone), "%s", schema.Unknown(zone, names.Zones))
				continue
			}
			by[zone]++
		}
		most := (len(fl.Voters) + len(names.Zones) - 1) / len(names.Zones)
		for _, zone := range slices.Sorted(maps.Keys(by)) {
			if by[zone] > most {
				ms.Add(fleetAt+".voters", fmt.Sprintf("%d of %d in zone %s", by[zone], len(fl.Voters), zone),
					"at most %d in one of %d zones, so that one zone's end costs as few votes as can be", most, len(names.Zones))
			}
		}
	}
	f.againstSessions(names, cfg, ms)
	f.againstLanes(names, cfg, ms)
	for i := range fl.Work {
		if zone := fl.Work[i].Zone; zone != "" && settings.Place(names.Zones, zone) < 0 {
			ms.Add(fmt.Sprintf("%s.work[%d].zone", fleetAt, i), schema.Shown(zone), "%s", schema.Unknown(zone, names.Zones))
		}
	}
}

// AgainstMachine refuses a fleet section on a machine whose limits have no room for it, or whose place the section
// tells otherwise. Its error is schema.Mistakes.
func (f *File) AgainstMachine(m Machine) error {
	if f.Fleet == nil {
		return nil
	}
	var out schema.Mistakes
	beside := int64(FleetMemory)
	if s := f.Fleet.Sessions; s != nil {
		beside += int64(s.Most) * SessionMemory
	}
	if l := f.Fleet.Lanes; l != nil {
		beside += int64(len(l.Accounts)) * AccountMemory
	}
	if least := servingMemory + beside; m.Memory < least {
		out.Add(fleetAt, "", "limits.memory_mb gives %d MB; a fleet needs %d, of which %d beside the serving",
			m.Memory>>20, least>>20, beside>>20)
	}
	if least := servingSockets + FleetSockets; m.Sockets < least {
		out.Add(fleetAt, "", "limits.sockets gives %d descriptors; a fleet needs %d, of which %d beside the serving",
			m.Sockets, least, FleetSockets)
	}
	if v, ok := f.Fleet.Voters[m.Name]; ok && v.Zone != "" && m.Zone != "" && v.Zone != m.Zone {
		out.Add(fleetAt+".voters."+m.Name+".zone", schema.Shown(v.Zone), "settings.zone is %q", m.Zone)
	}
	return out.Err()
}
