package shares

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// codecVersion is the version of the encoding of requests and replies. Batches of another version are rejected with an error.
const codecVersion = 1

// MaxNameBytes is the maximum length of a co-ordinator's name.
const MaxNameBytes = 64

// MaxMessages is the maximum number of requests and replies in a batch, which holds those of one step to one peer.
const MaxMessages = 2 * MaxRequestsPerPeer

var errMalformed = errors.New("shares: truncated or malformed batch")

// A batch is the version (1 byte), then for each message its kind (1 byte) and five uvarints: incarnation, sequence number, revision,
// account and amount. Names are not encoded: From is the sender of the batch and To its receiver.
const (
	kindRequest = 1
	kindReply   = 2
)

// Append adds a request or reply to a batch; nil begins a new one. Other outputs are ignored.
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

// Decode reads a batch sent by from to the co-ordinator to. A malformed batch is rejected as a whole.
func Decode(b []byte, from, to string) ([]Input, error) {
	if len(b) == 0 || from == "" || len(from) > MaxNameBytes {
		return nil, errMalformed
	}
	if b[0] != codecVersion {
		return nil, fmt.Errorf("shares: batch has version %d, expected %d", b[0], codecVersion)
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
			return nil, fmt.Errorf("shares: revision %d, account %d, amount %d or number of messages out of bounds in message %d from %s",
				fields[2], fields[3], fields[4], len(in)+1, from)
		}
		switch kind {
		case kindRequest:
			in = append(in, LoanRequest{From: from, Incarnation: fields[0], Seq: fields[1], Revision: int(fields[2]),
				Account: uint32(fields[3]), Want: int64(fields[4])})
		case kindReply:
			in = append(in, LoanReply{From: from, To: to, Incarnation: fields[0], Seq: fields[1], Revision: int(fields[2]),
				Account: uint32(fields[3]), Amount: int64(fields[4])})
		default:
			return nil, fmt.Errorf("shares: unknown message kind %d", kind)
		}
	}
	return in, nil
}
