package harness

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// Lines by which a process says in its log that it leads, or leads no more.
const (
	leadsLine  = `leads the raft group`
	yieldsLine = `leads no more`
)

const (
	workTime = 12 * time.Second // for which a machine may be out
	bears    = 40               // parts out at once, that a replica bears
)

// siteLimits is what the site allows, small enough that a swap of everything takes well under a minute.
func siteLimits() maintenance.Limits {
	return maintenance.Limits{
		Cells: cells, Reach: reach, Shards: shards, MinHolders: 2, MaxOutPerZone: 2, MaxOut: 3, Headroom: 0.25,
		MaxLoadAge: 10 * time.Second, MaxInventoryAge: 10 * time.Second, WarmUp: warmUp, Lease: 4 * time.Second, Grace: 500 * time.Millisecond,
		SettleTime: 2 * time.Second, FailurePause: 2 * time.Second, MaxPassedOver: 4, MinVoters: voters/2 + 2,
	}
}

// operator writes the operators' file of a process, with what an act asks for: nothing at first.
func (c *Cluster) operator(i int, ask Act) error {
	dir := filepath.Join(c.opt.Dir, fmt.Sprintf("n%d", i))
	keys := filepath.Join(dir, "keys")
	key := sha256.Sum256([]byte("no secret: a key for processes on loopback"))
	if err := os.WriteFile(keys, []byte(base64.StdEncoding.EncodeToString(key[:])+"\n"), 0o600); err != nil {
		return err
	}
	council, join := map[string]any{}, []string{}
	n := len(c.h.Down)
	for j := range n {
		if c.sits(j) {
			council[fmt.Sprintf("n%d", j)] = map[string]any{"address": c.site.Relay(j, CouncilPort).String(), "zone": zones[j%3]}
		}
		join = append(join, c.site.Relay(j, GossipPort).String())
	}
	l := c.limits
	fleet := map[string]any{
		"revision": c.revision(ask), "voters": council, "council": map[string]any{"bind": c.site.Bind(i, CouncilPort).String(), "found": !c.founded},
		"gossip": map[string]any{
			"bind": c.site.Bind(i, GossipPort).String(), "advertise": c.site.Relay(i, GossipPort).String(), "join": join,
		},
		"keys_file": keys, "dir": filepath.Join(dir, "disk", "fleet"), "grants_file": c.grants(i), "drain_self": true,
		"lease_ms": l.Lease.Milliseconds(), "grace_ms": l.Grace.Milliseconds(), "settle_ms": l.SettleTime.Milliseconds(),
		"calm_ms": l.FailurePause.Milliseconds(), "load_age_ms": l.MaxLoadAge.Milliseconds(), "list_age_ms": l.MaxInventoryAge.Milliseconds(),
		"out_by_zone": l.MaxOutPerZone, "out_most": l.MaxOut, "headroom": l.Headroom, "passed_most": l.MaxPassedOver,
		"parts_per_replica": c.h.Bears, "work": c.asked(ask),
	}
	if n := c.opt.Terms.Sessions; n > 0 {
		fleet["sessions"] = map[string]any{
			"header": sessionHeader, "owner_header": ownerHeader, "classes": []string{"search", "tally"}, "slots_per_replica": sessionSlots,
			"sessions_most": 2 * n, "offer_ms": 3000, "in_flight": 256,
		}
	}
	if c.opt.Terms.Storm > 0 && !c.opt.Laneless {
		fleet["lanes"] = lanesSection(ask == DoMove)
	}
	raw, err := json.MarshalIndent(map[string]any{
		"version": 1, "placement": map[string]any{"holders_least": l.MinHolders}, "fleet": fleet,
	}, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(dir, "operator.json")
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// revision of the file: that of both halves of a cut is the same, as by two operators who do not know of each other.
func (c *Cluster) revision(ask Act) int {
	switch ask {
	case "":
		return 1
	case DoAskAll:
		return 3
	case DoVoter:
		c.mu.Lock()
		defer c.mu.Unlock()
		return 3 + len(c.seated)
	}
	return 2
}
