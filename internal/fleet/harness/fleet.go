package harness

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"birchcart/internal/fleet/takeout"
)

// Lines by which a process says that it leads, or leads no more.
const (
	leadsLine  = `leads the council`
	yieldsLine = `leads the council no more`
)

// siteLimits is what the site allows, small enough that a swap of everything takes well under a minute.
func siteLimits() takeout.Limits {
	return takeout.Limits{
		Cells: cells, Reach: reach, Shards: shards, HoldersLeast: 2, OutByZone: 2, OutMost: 3, Headroom: 0.25,
		LoadAge: 10 * time.Second, ListAge: 10 * time.Second, WarmUp: warmUp, Lease: 4 * time.Second, Grace: 500 * time.Millisecond,
		Settle: 2 * time.Second, Calm: 2 * time.Second, PassedMost: 4, VotersLeast: 4,
	}
}

// operator writes the operators' file of a process, with the requests that an act asks for.
func (c *Cluster) operator(i int, ask Act) error {
	raw, err := json.Marshal(map[string]any{"version": 1})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.opt.Dir, fmt.Sprintf("n%d", i), "operator.json"), raw, 0o600)
}
