package loadshed

import (
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"birchcart/internal/fleet/member"
	"birchcart/internal/fleet/pressure"
	"birchcart/internal/fleet/shares"
)

const (
	// MessageKind is the first byte of messages between the lanes of co-ordinators. It differs from every version number of peerproto.
	MessageKind = 'L'
	// messageVersion is the version of the message format. Messages of other versions are discarded.
	messageVersion = 1
	// MaxMessageSize is the maximum size of a message in bytes, so that it fits in one packet.
	MaxMessageSize = member.MaxPacketMessage - 2 - member.MaxNameLength
	// MaxQueuedMessages is the maximum number of messages that wait for the next step; more are dropped.
	MaxQueuedMessages = 256
	// MaxReportsPerMessage is the maximum number of reports in a message; a message with more is discarded.
	MaxReportsPerMessage = MaxMessageSize / 20

	// fanout is the number of members to which the local report is sent in each step.
	fanout = 3
	// maxForwardedReports is the maximum number of other members' reports in a message.
	maxForwardedReports = 3
	// ownReportShare is the maximum share of the bytes of a step for copies of the local report with their headers. If names are long,
	// the report goes to fewer members, and more reports of others are forwarded.
	ownReportShare = 0.75
	// MaxBytesPerSecond limits the mean number of bytes sent per second, including headers.
	MaxBytesPerSecond = 1900
	// At most 1/shareBudgetDivisor of the bytes is for the messages of package shares that are sent along with reports.
	shareBudgetDivisor = 4
	// headerOverhead is the size of a message's headers in bytes without the sender's name: IP and UDP 28, encryption 29, memberlist
	// and package member 8.
	headerOverhead = 65
)

// inbox queues messages for the next step.
type inbox struct {
	mu       sync.Mutex
	messages []message
	dropped  uint64
}

type message struct {
	from       string
	raw        []byte
	receivedAt time.Duration
}

// Receive queues a message for the next step. It may be called by any goroutine.
func (s *Shedder) Receive(from string, raw []byte) {
	at := s.now()
	s.inbox.mu.Lock()
	defer s.inbox.mu.Unlock()
	if len(raw) > MaxMessageSize || len(s.inbox.messages) >= MaxQueuedMessages {
		s.inbox.dropped++
		return
	}
	s.inbox.messages = append(s.inbox.messages, message{from, raw, at})
}

// readInbox processes the queued messages.
func (s *Shedder) readInbox(now time.Duration) {
	s.inbox.mu.Lock()
	messages := s.inbox.messages
	s.inbox.messages = nil
	s.inbox.mu.Unlock()
	for _, m := range messages {
		reports, inputs, err := decodeMessage(m.raw, m.from, s.options.Name)
		if err != nil {
			s.logState.unreadable, s.logState.lastError = s.logState.unreadable+1, fmt.Sprintf("%s: %v", m.from, err)
			continue
		}
		for _, r := range reports {
			if r.From != s.options.Name { // step adds the local report itself, which is always the newest
				r.Age += max(0, now-m.receivedAt)
				s.reports.Add(now, r)
			}
		}
		s.shareInputs = append(s.shareInputs, inputs...)
	}
}

// encodeMessage returns a message: MessageKind | messageVersion | uvarint length of the messages of package shares | these messages
// | reports, the sender's first.
func encodeMessage(shareBytes []byte, reports ...pressure.Report) []byte {
	b := binary.AppendUvarint([]byte{MessageKind, messageVersion}, uint64(len(shareBytes)))
	b = append(b, shareBytes...)
	for i := range reports {
		b = reports[i].Append(b)
	}
	return b
}

// decodeMessage decodes a message. A damaged message is rejected as a whole.
func decodeMessage(b []byte, from, to string) (reports []pressure.Report, inputs []shares.Input, err error) {
	if len(b) < 3 || b[0] != MessageKind {
		return nil, nil, fmt.Errorf("loadshed: not a lane message")
	}
	if b[1] != messageVersion {
		return nil, nil, fmt.Errorf("loadshed: message has version %d, this program reads version %d", b[1], messageVersion)
	}
	n, size := binary.Uvarint(b[2:])
	if size <= 0 || n > uint64(len(b)-2-size) {
		return nil, nil, fmt.Errorf("loadshed: message is truncated")
	}
	shareBytes, rest := b[2+size:2+size+int(n)], b[2+size+int(n):]
	if n > 0 {
		if inputs, err = shares.Decode(shareBytes, from, to); err != nil {
			return nil, nil, err
		}
	}
	for len(rest) > 0 {
		var r pressure.Report
		if r, rest, err = pressure.DecodeReport(rest); err != nil {
			return nil, nil, err
		}
		if reports = append(reports, r); len(reports) > MaxReportsPerMessage {
			return nil, nil, fmt.Errorf("loadshed: message has more than %d reports", MaxReportsPerMessage)
		}
	}
	return reports, inputs, nil
}

// sendBudget is a token bucket of the bytes that may be sent.
type sendBudget struct {
	refilledAt           time.Duration
	started              bool
	total, shareMessages float64 // bytes left in all, and for the messages of package shares
}

func (b *sendBudget) refill(now time.Duration) {
	if !b.started {
		b.started, b.refilledAt = true, now-StepInterval
	}
	seconds := max(0, now-b.refilledAt).Seconds()
	b.refilledAt = max(now, b.refilledAt)
	capacity := MaxBytesPerSecond * 1.5 * StepInterval.Seconds()
	b.total = min(capacity, b.total+MaxBytesPerSecond*seconds)
	b.shareMessages = min(capacity/shareBudgetDivisor, b.shareMessages+MaxBytesPerSecond/shareBudgetDivisor*seconds)
}

// sendMessages sends the messages of package shares, and the local report to a few members along with some reports of others. What
// exceeds the budget is not sent: requests are repeated, and reports are sent at each step.
func (s *Shedder) sendMessages(now time.Duration, membership Membership, report pressure.Report, outputs []shares.Output) {
	s.budget.refill(now)
	shareBytes, receivers := s.encodeShareMessages(outputs)
	live := make([]string, 0, len(membership.Live))
	for _, name := range membership.Live {
		if _, included := shareBytes[name]; name != s.options.Name && !included {
			live = append(live, name)
		}
	}
	overhead, reportSize := headerOverhead+len(s.options.Name), len(report.Append(nil))
	receiverCount := fanout
	for receiverCount > 1 && float64(receiverCount*(overhead+reportSize)) > ownReportShare*MaxBytesPerSecond*StepInterval.Seconds() {
		receiverCount--
	}
	for i := 0; len(receivers) < receiverCount && i < len(live); i++ {
		j := i + s.rng.IntN(len(live)-i)
		live[i], live[j] = live[j], live[i]
		receivers = append(receivers, live[i])
	}
	reports := make([][]pressure.Report, len(receivers))
	for i, name := range receivers {
		if size := overhead + 3 + len(shareBytes[name]) + reportSize; i < receiverCount && s.budget.total >= float64(size) {
			s.budget.total -= float64(size)
			reports[i] = append(reports[i], report)
		} else if len(shareBytes[name]) > 0 {
			s.budget.total -= float64(overhead + 3 + len(shareBytes[name]))
		}
	}
	// Reports of others are added as far as the budget allows.
	for k := 0; k < maxForwardedReports*len(receivers) && s.budget.total >= float64(reportSize+reportSize/2); k++ {
		if i := k % len(receivers); len(reports[i]) > 0 {
			for _, r := range s.reports.SelectForForwarding(now, s.options.Name, 1) {
				s.budget.total -= float64(len(r.Append(nil)))
				reports[i] = append(reports[i], r)
			}
		}
	}
	for i, name := range receivers {
		if len(reports[i])+len(shareBytes[name]) > 0 {
			s.options.Send(name, encodeMessage(shareBytes[name], reports[i]...))
		}
	}
}

// encodeShareMessages encodes the outputs of package shares by receiver, and returns the receivers in order. Replies come first.
// The requests start with a different one at each step, so that not the same ones are left out each time.
func (s *Shedder) encodeShareMessages(outputs []shares.Output) (encoded map[string][]byte, receivers []string) {
	encoded = map[string][]byte{}
	put := func(name string, o shares.Output) {
		previous := encoded[name]
		b := shares.Append(previous, o)
		cost := float64(len(b) - len(previous))
		if previous == nil {
			cost += float64(headerOverhead) / 2 // half of the headers: a report may go in the same message
		}
		if s.budget.shareMessages < cost || len(b) > MaxMessageSize/2 {
			return
		}
		s.budget.shareMessages -= cost
		if encoded[name] = b; previous == nil {
			receivers = append(receivers, name)
		}
	}
	var requests []shares.SendRequest
	for _, o := range outputs {
		switch o := o.(type) {
		case shares.SendReply:
			put(o.To, o)
		case shares.SendRequest:
			requests = append(requests, o)
		}
	}
	for i := range requests {
		o := requests[(i+int(s.seq))%len(requests)]
		put(o.To, o)
	}
	return encoded, receivers
}
