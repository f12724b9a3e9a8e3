package shares

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// codecVersion of asks and answers as they travel. Another one is refused in words.
const codecVersion = 1

// NameMost is the most bytes of a name.
const NameMost = 64

// MessageMost asks or answers go in one letter: those of one step to one peer.
const MessageMost = 2 * ShortMost

var errCut = errors.New("shares: a message is cut short or damaged")

// A letter: version 1 | then for each, kind 1 | uvarints: incarnation, no, revision, account, amount. Names go with the letter: From is
// its sender, To who reads it.
const (
	kindAsk  = 1
	kindLent = 2
)

// Append adds asks and answers to a letter; a new one begins with nil. Other outputs are passed over.
func Append(b []byte, o Output) []byte {
	if len(b) == 0 {
		b = append(b, codecVersion)
	}
	put := func(kind byte, incarnation, no uint64, revision int, account uint32, amount int64) {
		b = append(b, kind)
		for _, n := range []uint64{incarnation, no, uint64(revision), uint64(account), uint64(amount)} {
			b = binary.AppendUvarint(b, n)
		}
	}
	switch o := o.(type) {
	case SendAsk:
		put(kindAsk, o.Ask.Incarnation, o.Ask.No, o.Ask.Revision, o.Ask.Account, o.Ask.Want)
	case SendLent:
		put(kindLent, o.Lent.Incarnation, o.Lent.No, o.Lent.Revision, o.Lent.Account, o.Lent.Amount)
	}
	return b
}

// Take reads a letter of from to the co-ordinator to. Nothing of a damaged one counts.
func Take(b []byte, from, to string) ([]Input, error) {
	if len(b) == 0 || from == "" || len(from) > NameMost {
		return nil, errCut
	}
	if b[0] != codecVersion {
		return nil, fmt.Errorf("shares: a message of version %d, this program knows %d", b[0], codecVersion)
	}
	var in []Input
	for b = b[1:]; len(b) > 0; {
		kind := b[0]
		b = b[1:]
		var n [5]uint64
		for i := range n {
			v, size := binary.Uvarint(b)
			if size <= 0 {
				return nil, errCut
			}
			n[i], b = v, b[size:]
		}
		if n[2] > 1<<31 || n[3] > 1<<31 || n[4] > Whole || len(in) >= MessageMost {
			return nil, fmt.Errorf("shares: revision %d, account %d, amount %d, message %d of %s: out of bounds", n[2], n[3], n[4], len(in)+1, from)
		}
		switch kind {
		case kindAsk:
			in = append(in, Ask{From: from, Incarnation: n[0], No: n[1], Revision: int(n[2]), Account: uint32(n[3]), Want: int64(n[4])})
		case kindLent:
			in = append(in, Lent{From: from, To: to, Incarnation: n[0], No: n[1], Revision: int(n[2]), Account: uint32(n[3]), Amount: int64(n[4])})
		default:
			return nil, fmt.Errorf("shares: a message of kind %d", kind)
		}
	}
	return in, nil
}
