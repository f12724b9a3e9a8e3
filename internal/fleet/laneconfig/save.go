package laneconfig

import (
	"encoding/json"
	"fmt"

	"birchcart/internal/fleet/statemachine"
)

// savedVersion is the version of the saved format.
const savedVersion = 1

// saved is the saved form of State. The state machine saves the time.
type saved struct {
	V        int      `json:"v"`
	Current  *Version `json:"force,omitempty"`
	Previous *Version `json:"before,omitempty"`
}

// Empty implements statemachine.Optional.
func (s *State) Empty() bool { return s.current == nil }

// Clear implements statemachine.Optional.
func (s *State) Clear() { *s = State{} }

// Save implements statemachine.Part. Equal states give equal bytes.
func (s *State) Save() ([]byte, error) {
	raw, err := json.Marshal(saved{savedVersion, s.current, s.previous})
	if err != nil {
		return nil, fmt.Errorf("laneconfig: cannot encode state: %w", err)
	}
	return raw, nil
}

// Load implements statemachine.Part. If it fails, the state does not change.
func (s *State) Load(raw []byte) error {
	var head struct {
		V int `json:"v"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return fmt.Errorf("laneconfig: cannot decode saved state: %w", err)
	}
	if head.V != savedVersion {
		return fmt.Errorf("laneconfig: saved state has version %d, this program reads version %d: %w", head.V, savedVersion, statemachine.ErrUnknown)
	}
	var state saved
	if err := statemachine.DecodeStrict(raw, &state); err != nil {
		return fmt.Errorf("laneconfig: cannot decode saved state: %w", err)
	}
	loaded := State{current: state.Current, previous: state.Previous}
	if loaded.current != nil {
		loaded.now = loaded.current.Since
	}
	if err := loaded.Check(); err != nil {
		return fmt.Errorf("laneconfig: saved state is invalid: %w", err)
	}
	*s = loaded
	return nil
}
