package ogc

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"net/url"
	"slices"
)

// cursor is where a page goes on. Clients hold it as an opaque text with our signature.
type cursor struct {
	File  []byte `json:"f"`           // digest of the squares: a file that moved them makes it void
	Query []byte `json:"q"`           // digest of the collection and the other parameters
	Shard int    `json:"s"`           // the page begins in this shard
	After string `json:"a,omitempty"` // behind this feature
	Only  []int  `json:"o,omitempty"` // these shards alone: those that an earlier page lacked
}

const (
	digestBytes = 12   // 96 bits: against chance; forging is against the signature
	cursorMost  = 8192 // bytes of a cursor's text
)

func digest(parts ...string) []byte {
	h := sha256.New()
	for _, p := range parts {
		var n [8]byte
		for i := range n {
			n[i] = byte(len(p) >> (8 * i))
		}
		h.Write(n[:])
		h.Write([]byte(p))
	}
	return h.Sum(nil)[:digestBytes]
}

func (s *snapshot) sign(body []byte) []byte {
	h := hmac.New(sha256.New, s.key)
	h.Write(body)
	return h.Sum(nil)[:digestBytes]
}

// writeCursor returns the text of a cursor for a query with these other parameters.
func (s *snapshot) writeCursor(c cursor, collection string, bare url.Values) string {
	c.File, c.Query = s.digest, digest(collection, bare.Encode())
	body, err := json.Marshal(c)
	if err != nil {
		panic("ogc: a cursor that can't be written: " + err.Error())
	}
	return base64.RawURLEncoding.EncodeToString(append(s.sign(body), body...))
}

// readCursor takes back what writeCursor gave, for the same query under the same file.
func (s *snapshot) readCursor(text, collection string, bare url.Values) (*cursor, error) {
	if len(text) > cursorMost {
		return nil, bad("cursor", "it is none of ours")
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) < digestBytes || !hmac.Equal(raw[:digestBytes], s.sign(raw[digestBytes:])) {
		return nil, bad("cursor", "it is none of ours")
	}
	var c cursor
	if err := json.Unmarshal(raw[digestBytes:], &c); err != nil {
		return nil, bad("cursor", "it is none of ours")
	}
	if !slices.Equal(c.File, s.digest) {
		return nil, bad("cursor", "the squares have moved since; start over without it")
	}
	if !slices.Equal(c.Query, digest(collection, bare.Encode())) {
		return nil, bad("cursor", "it belongs to a query with other parameters")
	}
	return &c, nil
}
