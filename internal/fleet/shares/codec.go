package shares

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// codecVersion of asks and answers as they travel. Another one is refused in words.
const codecVersion = 1

// MaxNameBytes is the most bytes of a name.
const MaxNameBytes = 64

// MaxMessages asks or answers go in one letter: those of one step to one peer.
const MaxMessages = 2 * MaxRequestsPerPeer

var errMalformed = errors.New("shares: a message is cut short or damaged")

// A letter: version 1 | then for each, kind 1 | uvarints: incarnation, no, revision, account, amount. Names go with the letter: From is
// its sender, To who reads it.
const (
	kindRequest = 1
	kindReply   = 2
)

// Append adds asks and answers to a letter; a new one begins with nil. Other outputs are passed over.
func Append(b []byte, o Output) []byte {
	if len(b) == 0 {
		b = append(b, codecVersion)
	}
	put := func(kind byte, incarnation, seq uint64, revision int, account uint32, amount int64) {
		b = append(b, kind)
		for _, value := range []uint64{incarnation, seq, uint64(revision), uint64(account), uint64(amount)} {
			b = binary.AppendUvarint(b, value)
		}
	}
	switch o := o.(type) {
	case SendRequest:
		put(kindRequest, o.Request.Incarnation, o.Request.Seq, o.Request.Revision, o.Request.Account, o.Request.Want)
	case SendReply:
		put(kindReply, o.Reply.Incarnation, o.Reply.Seq, o.Reply.Revision, o.Reply.Account, o.Reply.Amount)
	}
	return b
}

// Decode reads a letter of from to the co-ordinator to. Nothing of a damaged one counts.
func Decode(b []byte, from, to string) ([]Input, error) {
	if len(b) == 0 || from == "" || len(from) > MaxNameBytes {
		return nil, errMalformed
	}
	if b[0] != codecVersion {
		return nil, fmt.Errorf("shares: a message of version %d, this program knows %d", b[0], codecVersion)
	}
	var in []Input
	for b = b[1:]; len(b) > 0; {
		kind := b[0]
		b = b[1:]
		var fields [5]uint64
		for i := range fields {
			v, size := binary.Uvarint(b)
			if size <= 0 {
				return nil, errMalformed
			}
			fields[i], b = v, b[size:]
		}
		if fields[2] > 1<<31 || fields[3] > 1<<31 || fields[4] > GuaranteeUnits || len(in) >= MaxMessages {
			return nil, fmt.Errorf("shares: revision %d, account %d, amount %d, message %d of %s: out of bounds", fields[2], fields[3], fields[4], len(in)+1, from)
		}
		switch kind {
		case kindRequest:
			in = append(in, LoanRequest{From: from, Incarnation: fields[0], Seq: fields[1], Revision: int(fields[2]), Account: uint32(fields[3]), Want: int64(fields[4])})
		case kindReply:
			in = append(in, LoanReply{From: from, To: to, Incarnation: fields[0], Seq: fields[1], Revision: int(fields[2]), Account: uint32(fields[3]), Amount: int64(fields[4])})
		default:
			return nil, fmt.Errorf("shares: a message of kind %d", kind)
		}
	}
	return in, nil
}
