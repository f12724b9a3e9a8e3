// Package voters keeps the raft group's voters those of the operators' file, one change at a time, and is the message by which a
// co-ordinator asks the leader who votes.
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
	kind    = 's' // none of peerproto's
	// MaxSize of a message, in bytes.
	MaxSize = 64 << 10
)

// Message is the question who votes, and its answer by the leader.
type Message struct {
	Answer bool     `json:"answer,omitempty"`
	Voters []string `json:"voters,omitempty"`
}

// IsMessage says whether a message between co-ordinators is one of this package.
func IsMessage(raw []byte) bool { return len(raw) > 2 && raw[0] == version && raw[1] == kind }

// Encode gives the message's bytes.
func (s Message) Encode() []byte {
	raw, err := json.Marshal(s)
	if err != nil {
		panic(err) // a list of names
	}
	return append([]byte{version, kind}, raw...)
}

// Decode reads a message for which IsMessage holds.
func Decode(raw []byte) (s Message, err error) {
	if len(raw) > MaxSize {
		return s, fmt.Errorf("who votes: %d bytes, %d at most", len(raw), MaxSize)
	}
	return s, json.Unmarshal(raw[2:], &s)
}

// Result is what came of a look at the raft group's voters, by the leader after it changed one if that was due.
type Result struct {
	Voters    []raftgroup.Voter
	Requester string // who is to be answered; "": nobody
	Change    string // in words; "": none
	Err       error
}

// Reconcile makes the next change, if one is due: a voter that the file does not name is replaced by one that it names and that is
// ready to vote. The leader hands over first if it is the one to go.
func Reconcile(group *raftgroup.Group, self string, f *operator.Fleet, ready map[string]bool) (l Result) {
	if l.Voters, l.Err = group.Voters(); l.Err != nil {
		return l
	}
	has := map[string]bool{}
	old := ""
	for _, v := range l.Voters {
		has[v.Name] = true
		if _, ok := f.Voters[v.Name]; !ok {
			old = v.Name
		}
	}
	var with raftgroup.Voter
	missing := false
	for _, name := range slices.Sorted(maps.Keys(f.Voters)) {
		if !has[name] {
			missing = true
			if ready[name] && with.Name == "" {
				with = raftgroup.Voter{Name: name, Addr: f.Voters[name].Address}
			}
		}
	}
	switch {
	case old == "" && with.Name == "", with.Name == "" && missing: // nothing to do, or the new one is not there yet
		return l
	case old == self:
		l.Change, l.Err = "the lead is handed over, as the file names this voter no more", group.TransferLeadership()
		return l
	}
	l.Change = fmt.Sprintf("voter %q goes, voter %q comes", old, with.Name)
	if l.Err = group.Replace(old, with); l.Err == nil {
		l.Voters, l.Err = group.Voters()
	}
	return l
}
