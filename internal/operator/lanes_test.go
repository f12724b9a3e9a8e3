package operator

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"birchcart/internal/settings"
	"birchcart/policy"
)

// laned is an operators' file with this section.
func laned(section any) []byte {
	raw, err := json.Marshal(map[string]any{
		"version": 1, "placement": map[string]any{"holders_least": 2},
		"fleet": map[string]any{
			"revision": 1, "keys_file": "k", "dir": "d", "out_by_zone": 1, "out_most": 1, "parts_per_replica": 40, "lanes": section,
			"voters": map[string]any{"a": map[string]any{"address": "h:1"}, "b": map[string]any{"address": "h:2"}, "c": map[string]any{"address": "h:3"}},
			"gossip": map[string]any{"bind": "h:4", "join": []string{"h:5"}},
		},
	})
	if err != nil {
		panic(err)
	}
	return raw
}

func manyAccounts(n, marks int) []Account {
	list := make([]Account, n)
	for i := range list {
		list[i] = Account{Name: fmt.Sprintf("account-%d", i), Lane: "gold", Guarantee: 0.5 / float64(n)}
		for j := range marks {
			list[i].Marks = append(list[i].Marks, fmt.Sprintf("mark-%d-%d", i, j))
		}
	}
	return list
}

// As many accounts as may be are read; one more, and one lane, one key and one byte more, are not.
func TestSizesOfLanes(t *testing.T) {
	type object = map[string]any
	two := []object{{"name": "gold"}, {"name": "rest"}}
	names, cfg := &settings.Names{Classes: []string{"q"}}, &policy.Config{Coordinators: 5, Cells: 4, Reach: 2, Shards: 8, Classes: []policy.Class{{Promise: 1}}}
	f, err := Read(laned(object{"header": "X-A", "lanes": two, "accounts": manyAccounts(AccountsMost, KeysMost/AccountsMost)}))
	if err != nil || f.AgainstNames(names, cfg) != nil {
		t.Fatal(err, f.AgainstNames(names, cfg))
	}
	if l := f.Fleet.Lanes; l.Slot != LaneSlot || l.Lanes[0].Floor != LaneFloor || !l.Lanes[0].Lends() || l.ClassOf("q").Floor != LaneFloor || !l.ClassOf("q").Names() {
		t.Errorf("%+v", l)
	}
	machine := Machine{Memory: servingMemory + FleetMemory + AccountsMost*AccountMemory, Sockets: 4096}
	if err := f.AgainstMachine(machine); err != nil {
		t.Error(err)
	}
	machine.Memory--
	if f.AgainstMachine(machine) == nil {
		t.Error("a machine without room for its accounts")
	}
	nine := make([]object, LanesMost+1)
	for i := range nine {
		nine[i] = object{"name": fmt.Sprint("l", i)}
	}
	for want, section := range map[string]object{
		"accounts: a list of 10001 stands there; 10000 at most": {"header": "X-A", "lanes": two, "accounts": manyAccounts(AccountsMost+1, 1)},
		"lanes: a list of 9 stands there; 8 at most":            {"lanes": nine},
		"40100 tenants, marks and routes stands there":          {"header": "X-A", "lanes": two, "accounts": manyAccounts(100, 401)},
		"lanes[0].name": {"lanes": []object{{"name": strings.Repeat("x", LaneNameMost+1)}}},
		"accounts[0].marks[0]": {"header": "X-A", "lanes": two, "accounts": []object{
			{"name": "a", "lane": "gold", "marks": []string{strings.Repeat("x", MarkMost+1)}}}},
	} {
		if _, err := Read(laned(section)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("no %q: %.300v", want, err)
		}
	}
}
