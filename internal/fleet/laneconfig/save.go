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
	V        int      `json:"v"`
	Current  *Version `json:"force,omitempty"`
	Previous *Version `json:"before,omitempty"`
}

// Empty implements statemachine.Optional.
func (a *State) Empty() bool { return a.current == nil }

// Clear implements statemachine.Optional.
func (a *State) Clear() { *a = State{} }

// Save implements statemachine.Part: the same bytes for the same state.
func (a *State) Save() ([]byte, error) {
	raw, err := json.Marshal(saved{savedVersion, a.current, a.previous})
	if err != nil {
		return nil, fmt.Errorf("laneconfig: save: %w", err)
	}
	return raw, nil
}

// Load implements statemachine.Part: all of raw is taken, or nothing and the reason is told.
func (a *State) Load(raw []byte) error {
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
	n := State{current: v.Current, previous: v.Previous}
	if n.current != nil {
		n.now = n.current.Since
	}
	if err := n.Check(); err != nil {
		return fmt.Errorf("laneconfig: saved: %w", err)
	}
	*a = n
	return nil
}
