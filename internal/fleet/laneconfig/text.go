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
	// MaxPackedSize is the maximum size of a compressed section in bytes. With 10,000 accounts that have a mark of 32 random digits
	// each it is about 210 KB.
	MaxPackedSize = 256 << 10
	// MaxTextSize is the maximum size of an uncompressed section in bytes, the same as that of a rendered operators' file.
	MaxTextSize = 4 << 20
)

// SetBody is the body of the command that puts a section in force.
type SetBody struct {
	Revision int    `json:"revision"`
	Sum      string `json:"sum"` // SHA-256 of the text
	Packed   []byte `json:"z"`   // the text, compressed
}

// NewSetBody returns the command body for a section. It fails if the section is too large.
func NewSetBody(section *operator.Lanes, revision int) (SetBody, error) {
	text, err := json.Marshal(section) // deterministic: fields are in order and maps are sorted by key
	if err != nil {
		return SetBody{}, fmt.Errorf("laneconfig: %w", err)
	}
	if len(text) > MaxTextSize {
		return SetBody{}, fmt.Errorf("laneconfig: the section has %d bytes, the limit is %d", len(text), MaxTextSize)
	}
	packed, err := compress.Pack(text)
	if err != nil {
		return SetBody{}, fmt.Errorf("laneconfig: %w", err)
	}
	if len(packed) > MaxPackedSize {
		return SetBody{}, fmt.Errorf("laneconfig: the section has %d bytes compressed, the limit is %d: use fewer accounts or shorter marks", len(packed), MaxPackedSize)
	}
	return SetBody{revision, checksum(text), packed}, nil
}

// Section decodes the section. The error wraps statemachine.ErrUnknown if a newer program wrote it.
func (b SetBody) Section() (*operator.Lanes, error) {
	text, err := b.text()
	if err != nil {
		return nil, err
	}
	var l operator.Lanes
	if err := statemachine.DecodeStrict(text, &l); err != nil {
		return nil, fmt.Errorf("laneconfig: revision %d: %w", b.Revision, err)
	}
	return &l, nil
}

// text returns the uncompressed section, after checking its size and checksum.
func (b SetBody) text() ([]byte, error) {
	if len(b.Packed) > MaxPackedSize {
		return nil, fmt.Errorf("laneconfig: revision %d has %d bytes compressed, the limit is %d", b.Revision, len(b.Packed), MaxPackedSize)
	}
	text, err := compress.Unpack(b.Packed, MaxTextSize)
	if err != nil {
		return nil, fmt.Errorf("laneconfig: revision %d: %w", b.Revision, err)
	}
	if sum := checksum(text); sum != b.Sum {
		return nil, fmt.Errorf("laneconfig: revision %d has checksum %.16s, but the command contains %.16q", b.Revision, sum, b.Sum)
	}
	return text, nil
}

func checksum(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}
