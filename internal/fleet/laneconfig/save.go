package laneconfig

import (
	"encoding/json"
	"fmt"

	"birchcart/internal/fleet/statemachine"
)

// Version of what is saved.
const savedVersion = 1

// saved is the state. The time is the state machine's.
type saved struct {
	V      int      `json:"v"`
	Force  *Version `json:"force,omitempty"`
	Before *Version `json:"before,omitempty"`
}

// Empty implements statemachine.Optional.
func (a *Agreed) Empty() bool { return a.force == nil }

// Clear implements statemachine.Optional.
func (a *Agreed) Clear() { *a = Agreed{} }

// Save implements statemachine.Part: the same bytes for the same state.
func (a *Agreed) Save() ([]byte, error) {
	raw, err := json.Marshal(saved{savedVersion, a.force, a.before})
	if err != nil {
		return nil, fmt.Errorf("laneconfig: save: %w", err)
	}
	return raw, nil
}

// Load implements statemachine.Part: all of raw is taken, or nothing and the reason is told.
func (a *Agreed) Load(raw []byte) error {
	var head struct {
		V int `json:"v"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return fmt.Errorf("laneconfig: what was saved can not be read: %w", err)
	}
	if head.V != savedVersion {
		return fmt.Errorf("laneconfig: saved by version %d, this program reads %d: %w", head.V, savedVersion, statemachine.ErrUnknown)
	}
	var v saved
	if err := statemachine.Strict(raw, &v); err != nil {
		return fmt.Errorf("laneconfig: what was saved can not be read: %w", err)
	}
	n := Agreed{force: v.Force, before: v.Before}
	if n.force != nil {
		n.now = n.force.Since
	}
	if err := n.Check(); err != nil {
		return fmt.Errorf("laneconfig: saved: %w", err)
	}
	*a = n
	return nil
}
