package member

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/hashicorp/memberlist"
)

// MaxKeys is the maximum number of keys in the file: the one in use and those of a rotation under way.
const MaxKeys = 8

// parseKeys reads base64 keys of 16, 24 or 32 bytes, one a line; the first is used for sending, all for reading. Empty lines
// and those that begin with # are left out. Errors never say what the file holds.
func parseKeys(path string) ([][]byte, error) {
	if path == "" {
		return nil, errors.New("member: no keyring's file is named")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("member: the keyring: %w", err)
	}
	var keys [][]byte
	lines := bufio.NewScanner(bytes.NewReader(raw))
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if err != nil || memberlist.ValidateKey(key) != nil {
			return nil, fmt.Errorf("member: the keyring %s, line %d: not 16, 24 or 32 bytes in base64", path, n)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 || len(keys) > MaxKeys {
		return nil, fmt.Errorf("member: the keyring %s has %d keys, 1 to %d are wanted", path, len(keys), MaxKeys)
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

func reloadKeys(path string, ring *memberlist.Keyring) error {
	keys, err := parseKeys(path)
	if err != nil {
		return err
	}
	for _, k := range keys {
		if err := ring.AddKey(k); err != nil {
			return fmt.Errorf("member: the keyring: %w", err)
		}
	}
	if err := ring.UseKey(keys[0]); err != nil {
		return fmt.Errorf("member: the keyring: %w", err)
	}
	for _, old := range append([][]byte{}, ring.GetKeys()...) {
		kept := false
		for _, k := range keys {
			kept = kept || bytes.Equal(k, old)
		}
		if !kept {
			if err := ring.RemoveKey(old); err != nil {
				return fmt.Errorf("member: the keyring: %w", err)
			}
		}
	}
	return nil
}
