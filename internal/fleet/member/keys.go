package member

import (
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"

	"github.com/hashicorp/memberlist"

	"birchcart/internal/boundedfile"
)

// MaxKeys is the maximum number of keys in the file: the one in use and those of a rotation in progress.
const MaxKeys = 8

const maxKeysBytes = 64 << 10 // of the file, with its comments

// Keys are the keys of a keyring file, in its order.
type Keys [][]byte

// parseKeys reads base64 keys of 16, 24 or 32 bytes from a file, one per line. The first key encrypts, all keys decrypt. Empty lines and
// lines that begin with # are ignored. Errors never contain the content of the file.
func parseKeys(path string) (Keys, error) {
	if path == "" {
		return nil, errors.New("member: no keyring file is configured")
	}
	raw, err := boundedfile.Read(path, maxKeysBytes)
	if err != nil {
		return nil, fmt.Errorf("member: reading the keyring: %w", err)
	}
	var keys Keys
	for i, line := range strings.Split(string(raw), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if err != nil || memberlist.ValidateKey(key) != nil {
			return nil, fmt.Errorf("member: the keyring %s, line %d: not a base64 key of 16, 24 or 32 bytes", path, i+1)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 || len(keys) > MaxKeys {
		return nil, fmt.Errorf("member: the keyring %s has %d keys, want 1 to %d", path, len(keys), MaxKeys)
	}
	return keys, nil
}

func readKeys(path string) (*memberlist.Keyring, error) {
	keys, err := parseKeys(path)
	if err != nil {
		return nil, err
	}
	return memberlist.NewKeyring(keys, keys[0])
}

// setKeys makes the keys of a ring those of a file.
func setKeys(ring *memberlist.Keyring, keys Keys) error {
	for _, k := range keys {
		if err := ring.AddKey(k); err != nil {
			return fmt.Errorf("member: adding a key to the keyring: %w", err)
		}
	}
	if err := ring.UseKey(keys[0]); err != nil {
		return fmt.Errorf("member: changing the primary key: %w", err)
	}
	for _, old := range append([][]byte{}, ring.GetKeys()...) {
		inUse := false
		for _, k := range keys {
			inUse = inUse || bytes.Equal(k, old)
		}
		if !inUse {
			if err := ring.RemoveKey(old); err != nil {
				return fmt.Errorf("member: removing a key from the keyring: %w", err)
			}
		}
	}
	return nil
}
