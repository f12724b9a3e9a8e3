// Package voters changes the raft group's voters, one at a time, to those of the operators' file, and defines the message with which a
// co-ordinator requests the list of voters from the leader.
package voters

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"birchcart/internal/fleet/raftgroup"
	"birchcart/internal/operator"
)

const (
	version = 1
	kind    = 's' // differs from the kinds of package peerproto
	// MaxSize is the largest message, in bytes.
	MaxSize = 64 << 10
)

// Message is a request for the list of voters, or the leader's answer to one.
type Message struct {
	Answer bool     `json:"answer,omitempty"`
	Voters []string `json:"voters,omitempty"`
}

// IsMessage returns whether a message between co-ordinators is one of this package.
func IsMessage(raw []byte) bool { return len(raw) > 2 && raw[0] == version && raw[1] == kind }

// Encode returns the encoded message.
func (m Message) Encode() []byte {
	raw, err := json.Marshal(m)
	if err != nil {
		panic(err) // can't happen: a flag and a list of strings
	}
	return append([]byte{version, kind}, raw...)
}

// Decode decodes a message for which IsMessage holds.
func Decode(raw []byte) (m Message, err error) {
	if len(raw) > MaxSize {
		return m, fmt.Errorf("voters message of %d bytes, limit %d", len(raw), MaxSize)
	}
	return m, json.Unmarshal(raw[2:], &m)
}

// Result is the outcome of reading the raft group's voters; on the leader, after the change that was due.
type Result struct {
	Voters    []raftgroup.Voter
	Requester string // co-ordinator that requested the list; "": none
	Change    string // description of the change; "": none
	Err       error
}

// Reconcile makes the next change of the voters, if one is due: a voter that the file does not name is replaced by a named one that is
// ready to vote. If the leader itself is to be replaced, it first transfers the leadership.
func Reconcile(group *raftgroup.Group, self string, f *operator.Fleet, ready map[string]bool) (result Result) {
	if result.Voters, result.Err = group.Voters(); result.Err != nil {
		return result
	}
	has := map[string]bool{}
	old := ""
	for _, v := range result.Voters {
		has[v.Name] = true
		if _, ok := f.Voters[v.Name]; !ok {
			old = v.Name
		}
	}
	var replacement raftgroup.Voter
	missing := false
	for _, name := range slices.Sorted(maps.Keys(f.Voters)) {
		if !has[name] {
			missing = true
			if ready[name] && replacement.Name == "" {
				replacement = raftgroup.Voter{Name: name, Addr: f.Voters[name].Address}
			}
		}
	}
	switch {
	case old == "" && replacement.Name == "", replacement.Name == "" && missing: // nothing to do, or the new voter is not ready yet
		return result
	case old == self:
		result.Change, result.Err = "the leadership is handed over, because the file no longer names this voter", group.TransferLeadership()
		return result
	}
	result.Change = fmt.Sprintf("voter %q goes, voter %q comes", old, replacement.Name)
	if result.Err = group.Replace(old, replacement); result.Err == nil {
		result.Voters, result.Err = group.Voters()
	}
	return result
}
