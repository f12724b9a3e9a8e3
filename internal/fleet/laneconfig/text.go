package laneconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"birchcart/internal/fleet/compress"
	"birchcart/internal/fleet/statemachine"
	"birchcart/internal/operator"
)

const (
	// MaxPackedSize bytes of a section, packed: 10,000 accounts with a mark of 32 random digits each have some 210 KB.
	MaxPackedSize = 256 << 10
	// MaxTextSize bytes of a section as it is, which is what an operators' file may render to.
	MaxTextSize = 4 << 20
)

// SetBody is the command that puts a section in force.
type SetBody struct {
	Revision int    `json:"revision"`
	Sum      string `json:"sum"` // SHA-256 of the text
	Packed   []byte `json:"z"`   // the text, packed
}

// NewSetBody is the command for a section. It fails for one that is too large to be agreed on.
func NewSetBody(section *operator.Lanes, revision int) (SetBody, error) {
	text, err := json.Marshal(section) // fields in their order, maps by key
	if err != nil {
		return SetBody{}, fmt.Errorf("laneconfig: %w", err)
	}
	if len(text) > MaxTextSize {
		return SetBody{}, fmt.Errorf("laneconfig: the section has %d bytes, %d at most", len(text), MaxTextSize)
	}
	z, err := compress.Pack(text)
	if err != nil {
		return SetBody{}, fmt.Errorf("laneconfig: %w", err)
	}
	if len(z) > MaxPackedSize {
		return SetBody{}, fmt.Errorf("laneconfig: the section has %d bytes packed, %d at most: fewer accounts, or shorter marks", len(z), MaxPackedSize)
	}
	return SetBody{revision, checksum(text), z}, nil
}

// Section is the one that the command carries. ErrUnknown of the state machine is in the error if a newer program wrote it.
func (b SetBody) Section() (*operator.Lanes, error) {
	text, err := b.text()
	if err != nil {
		return nil, err
	}
	var l operator.Lanes
	if err := statemachine.Strict(text, &l); err != nil {
		return nil, fmt.Errorf("laneconfig: revision %d: %w", b.Revision, err)
	}
	return &l, nil
}

func (b SetBody) text() ([]byte, error) {
	if len(b.Packed) > MaxPackedSize {
		return nil, fmt.Errorf("laneconfig: revision %d has %d bytes packed, %d at most", b.Revision, len(b.Packed), MaxPackedSize)
	}
	text, err := compress.Unpack(b.Packed, MaxTextSize)
	if err != nil {
		return nil, fmt.Errorf("laneconfig: revision %d: %w", b.Revision, err)
	}
	if sum := checksum(text); sum != b.Sum {
		return nil, fmt.Errorf("laneconfig: revision %d has the sum %.16s, and says %.16q", b.Revision, sum, b.Sum)
	}
	return text, nil
}

func checksum(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}
