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
	// MessageKind is the first byte of a letter between co-ordinators' lanes. It is no version of peerproto's.
	MessageKind = 'L'
	// messageVersion of letters; another one is left out.
	messageVersion = 1
	// MaxMessageSize bytes of one: it goes in one packet.
	MaxMessageSize = member.MaxPacketMessage - 2 - member.MaxNameLength
	// MaxQueuedMessages wait for the next step; further ones are dropped.
	MaxQueuedMessages = 256
	// MaxReportsPerMessage of one letter are read.
	MaxReportsPerMessage = MaxMessageSize / 20

	// fanout members get a word of each step.
	fanout = 3
	// maxForwardedReports words of others go in one letter.
	maxForwardedReports = 3
	// ownReportShare of the bytes at most is for own words and heads: with long names fewer members get one, with more words of others.
	ownReportShare = 0.75
	// MaxBytesPerSecond a second are sent on the mean, with heads.
	MaxBytesPerSecond = 1900
	// shareBudgetDivisor of them, at most one part of so many, is for what shares ask and answer beside a word.
	shareBudgetDivisor = 4
	// headerOverhead a letter beside the sender's name: IP and UDP 28, encryption 29, the engine's and the member's own 8.
	headerOverhead = 65
)

// inbox keeps letters for the next step.
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

// Receive takes a letter; any goroutine may call it.
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

// newestReading takes all letters that came.
func (s *Shedder) readInbox(now time.Duration) {
	s.inbox.mu.Lock()
	all := s.inbox.messages
	s.inbox.messages = nil
	s.inbox.mu.Unlock()
	for _, l := range all {
		words, in, err := decodeMessage(l.raw, l.from, s.options.Name)
		if err != nil {
			s.logState.unreadable, s.logState.lastError = s.logState.unreadable+1, fmt.Sprintf("%s: %v", l.from, err)
			continue
		}
		for _, w := range words {
			if w.From != s.options.Name { // who one is oneself, nobody else knows better
				w.Age += max(0, now-l.receivedAt)
				s.reports.Add(now, w)
			}
		}
		s.shareInputs = append(s.shareInputs, in...)
	}
}

// A letter: Kind | version | uvarint length of what shares say, and that | words, the sender's first.
func encodeMessage(said []byte, words ...pressure.Report) []byte {
	b := binary.AppendUvarint([]byte{MessageKind, messageVersion}, uint64(len(said)))
	b = append(b, said...)
	for i := range words {
		b = words[i].Append(b)
	}
	return b
}

// decodeMessage reads a letter. Nothing of a damaged one counts.
func decodeMessage(b []byte, from, to string) (words []pressure.Report, in []shares.Input, err error) {
	if len(b) < 3 || b[0] != MessageKind {
		return nil, nil, fmt.Errorf("shed: no letter of lanes")
	}
	if b[1] != messageVersion {
		return nil, nil, fmt.Errorf("shed: a letter of version %d, known is %d", b[1], messageVersion)
	}
	n, size := binary.Uvarint(b[2:])
	if size <= 0 || n > uint64(len(b)-2-size) {
		return nil, nil, fmt.Errorf("shed: a letter that is cut short")
	}
	said, rest := b[2+size:2+size+int(n)], b[2+size+int(n):]
	if n > 0 {
		if in, err = shares.Decode(said, from, to); err != nil {
			return nil, nil, err
		}
	}
	for len(rest) > 0 {
		var w pressure.Report
		if w, rest, err = pressure.DecodeReport(rest); err != nil {
			return nil, nil, err
		}
		if words = append(words, w); len(words) > MaxReportsPerMessage {
			return nil, nil, fmt.Errorf("shed: a letter of over %d words", MaxReportsPerMessage)
		}
	}
	return words, in, nil
}

// sendBudget is bytes that may be sent now.
type sendBudget struct {
	refilledAt           time.Duration
	started              bool
	total, shareMessages float64
}

func (r *sendBudget) refill(now time.Duration) {
	if !r.started {
		r.started, r.refilledAt = true, now-StepInterval
	}
	s := max(0, now-r.refilledAt).Seconds()
	r.refilledAt = max(now, r.refilledAt)
	most := MaxBytesPerSecond * 1.5 * StepInterval.Seconds()
	r.total = min(most, r.total+MaxBytesPerSecond*s)
	r.shareMessages = min(most/shareBudgetDivisor, r.shareMessages+MaxBytesPerSecond/shareBudgetDivisor*s)
}

// sendMessages sends what shares want sent, and the own word to a few members with some of others. What there is no room for is not sent:
// asks are made again, and words come with each step.
func (s *Shedder) sendMessages(now time.Duration, crew Membership, word pressure.Report, out []shares.Output) {
	s.budget.refill(now)
	said, to := s.encodeShareMessages(out)
	live := make([]string, 0, len(crew.Live))
	for _, name := range crew.Live {
		if _, too := said[name]; name != s.options.Name && !too {
			live = append(live, name)
		}
	}
	heads, own := headerOverhead+len(s.options.Name), len(word.Append(nil))
	fan := fanout
	for fan > 1 && float64(fan*(heads+own)) > ownReportShare*MaxBytesPerSecond*StepInterval.Seconds() {
		fan--
	}
	for i := 0; len(to) < fan && i < len(live); i++ {
		j := i + s.rng.IntN(len(live)-i)
		live[i], live[j] = live[j], live[i]
		to = append(to, live[i])
	}
	letters := make([][]pressure.Report, len(to))
	for i, name := range to {
		if size := heads + 3 + len(said[name]) + own; i < fan && s.budget.total >= float64(size) {
			s.budget.total -= float64(size)
			letters[i] = append(letters[i], word)
		} else if len(said[name]) > 0 {
			s.budget.total -= float64(heads + 3 + len(said[name]))
		}
	}
	for k := 0; k < maxForwardedReports*len(to) && s.budget.total >= float64(own+own/2); k++ { // others' words, where there is room still
		if i := k % len(to); len(letters[i]) > 0 {
			for _, w := range s.reports.SelectForForwarding(now, s.options.Name, 1) {
				s.budget.total -= float64(len(w.Append(nil)))
				letters[i] = append(letters[i], w)
			}
		}
	}
	for i, name := range to {
		if len(letters[i])+len(said[name]) > 0 {
			s.options.Send(name, encodeMessage(said[name], letters[i]...))
		}
	}
}

// encodeShareMessages are asks and answers by whom they go to, in order: answers first, asks from another place on with each step, so that
// the same are not left out each time.
func (s *Shedder) encodeShareMessages(out []shares.Output) (encodeShareMessages map[string][]byte, to []string) {
	encodeShareMessages = map[string][]byte{}
	put := func(name string, o shares.Output) {
		was := encodeShareMessages[name]
		b := shares.Append(was, o)
		cost := float64(len(b) - len(was))
		if was == nil {
			cost += float64(headerOverhead) / 2 // it may go with a word
		}
		if s.budget.shareMessages < cost || len(b) > MaxMessageSize/2 {
			return
		}
		s.budget.shareMessages -= cost
		if encodeShareMessages[name] = b; was == nil {
			to = append(to, name)
		}
	}
	var asks []shares.SendRequest
	for _, o := range out {
		switch o := o.(type) {
		case shares.SendReply:
			put(o.To, o)
		case shares.SendRequest:
			asks = append(asks, o)
		}
	}
	for i := range asks {
		o := asks[(i+int(s.seq))%len(asks)]
		put(o.To, o)
	}
	return encodeShareMessages, to
}
