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
	// Kind is the first byte of a letter between co-ordinators' lanes. It is no version of peerproto's.
	Kind = 'L'
	// letterVersion of letters; another one is left out.
	letterVersion = 1
	// LetterMost bytes of one: it goes in one packet.
	LetterMost = member.MaxPacketMessage - 2 - member.MaxNameLength
	// LettersMost wait for the next step; further ones are dropped.
	LettersMost = 256
	// WordsMost of one letter are read.
	WordsMost = LetterMost / 20

	// fanout members get a word of each step.
	fanout = 3
	// passMost words of others go in one letter.
	passMost = 3
	// ownPart of the bytes at most is for own words and heads: with long names fewer members get one, with more words of others.
	ownPart = 0.75
	// BytesMost a second are sent on the mean, with heads.
	BytesMost = 1900
	// sharesPart of them, at most one part of so many, is for what shares ask and answer beside a word.
	sharesPart = 4
	// headsOf a letter beside the sender's name: IP and UDP 28, encryption 29, the engine's and the member's own 8.
	headsOf = 65
)

// inbox keeps letters for the next step.
type inbox struct {
	mu      sync.Mutex
	letters []letter
	dropped uint64
}

type letter struct {
	from string
	raw  []byte
	at   time.Duration
}

// Hear takes a letter; any goroutine may call it.
func (s *Shed) Hear(from string, raw []byte) {
	at := s.now()
	s.mail.mu.Lock()
	defer s.mail.mu.Unlock()
	if len(raw) > LetterMost || len(s.mail.letters) >= LettersMost {
		s.mail.dropped++
		return
	}
	s.mail.letters = append(s.mail.letters, letter{from, raw, at})
}

// read takes all letters that came.
func (s *Shed) read(now time.Duration) {
	s.mail.mu.Lock()
	all := s.mail.letters
	s.mail.letters = nil
	s.mail.mu.Unlock()
	for _, l := range all {
		words, in, err := decode(l.raw, l.from, s.o.Name)
		if err != nil {
			s.told.wrong, s.told.why = s.told.wrong+1, fmt.Sprintf("%s: %v", l.from, err)
			continue
		}
		for _, w := range words {
			if w.From != s.o.Name { // who one is oneself, nobody else knows better
				w.Age += max(0, now-l.at)
				s.news.Hear(now, w)
			}
		}
		s.in = append(s.in, in...)
	}
}

// A letter: Kind | version | uvarint length of what shares say, and that | words, the sender's first.
func encode(said []byte, words ...pressure.Word) []byte {
	b := binary.AppendUvarint([]byte{Kind, letterVersion}, uint64(len(said)))
	b = append(b, said...)
	for i := range words {
		b = words[i].Append(b)
	}
	return b
}

// decode reads a letter. Nothing of a damaged one counts.
func decode(b []byte, from, to string) (words []pressure.Word, in []shares.Input, err error) {
	if len(b) < 3 || b[0] != Kind {
		return nil, nil, fmt.Errorf("shed: no letter of lanes")
	}
	if b[1] != letterVersion {
		return nil, nil, fmt.Errorf("shed: a letter of version %d, known is %d", b[1], letterVersion)
	}
	n, size := binary.Uvarint(b[2:])
	if size <= 0 || n > uint64(len(b)-2-size) {
		return nil, nil, fmt.Errorf("shed: a letter that is cut short")
	}
	said, rest := b[2+size:2+size+int(n)], b[2+size+int(n):]
	if n > 0 {
		if in, err = shares.Take(said, from, to); err != nil {
			return nil, nil, err
		}
	}
	for len(rest) > 0 {
		var w pressure.Word
		if w, rest, err = pressure.Take(rest); err != nil {
			return nil, nil, err
		}
		if words = append(words, w); len(words) > WordsMost {
			return nil, nil, fmt.Errorf("shed: a letter of over %d words", WordsMost)
		}
	}
	return words, in, nil
}

// room is bytes that may be sent now.
type room struct {
	at           time.Duration
	begun        bool
	all, toShare float64
}

func (r *room) fill(now time.Duration) {
	if !r.begun {
		r.begun, r.at = true, now-Every
	}
	s := max(0, now-r.at).Seconds()
	r.at = max(now, r.at)
	most := BytesMost * 1.5 * Every.Seconds()
	r.all = min(most, r.all+BytesMost*s)
	r.toShare = min(most/sharesPart, r.toShare+BytesMost/sharesPart*s)
}

// tell sends what shares want sent, and the own word to a few members with some of others. What there is no room for is not sent:
// asks are made again, and words come with each step.
func (s *Shed) tell(now time.Duration, crew Crew, word pressure.Word, out []shares.Output) {
	s.room.fill(now)
	said, to := s.said(out)
	live := make([]string, 0, len(crew.Live))
	for _, name := range crew.Live {
		if _, too := said[name]; name != s.o.Name && !too {
			live = append(live, name)
		}
	}
	heads, own := headsOf+len(s.o.Name), len(word.Append(nil))
	fan := fanout
	for fan > 1 && float64(fan*(heads+own)) > ownPart*BytesMost*Every.Seconds() {
		fan--
	}
	for i := 0; len(to) < fan && i < len(live); i++ {
		j := i + s.rng.IntN(len(live)-i)
		live[i], live[j] = live[j], live[i]
		to = append(to, live[i])
	}
	letters := make([][]pressure.Word, len(to))
	for i, name := range to {
		if size := heads + 3 + len(said[name]) + own; i < fan && s.room.all >= float64(size) {
			s.room.all -= float64(size)
			letters[i] = append(letters[i], word)
		} else if len(said[name]) > 0 {
			s.room.all -= float64(heads + 3 + len(said[name]))
		}
	}
	for k := 0; k < passMost*len(to) && s.room.all >= float64(own+own/2); k++ { // others' words, where there is room still
		if i := k % len(to); len(letters[i]) > 0 {
			for _, w := range s.news.Some(now, s.o.Name, 1) {
				s.room.all -= float64(len(w.Append(nil)))
				letters[i] = append(letters[i], w)
			}
		}
	}
	for i, name := range to {
		if len(letters[i])+len(said[name]) > 0 {
			s.o.Send(name, encode(said[name], letters[i]...))
		}
	}
}

// said are asks and answers by whom they go to, in order: answers first, asks from another place on with each step, so that
// the same are not left out each time.
func (s *Shed) said(out []shares.Output) (said map[string][]byte, to []string) {
	said = map[string][]byte{}
	put := func(name string, o shares.Output) {
		was := said[name]
		b := shares.Append(was, o)
		cost := float64(len(b) - len(was))
		if was == nil {
			cost += float64(headsOf) / 2 // it may go with a word
		}
		if s.room.toShare < cost || len(b) > LetterMost/2 {
			return
		}
		s.room.toShare -= cost
		if said[name] = b; was == nil {
			to = append(to, name)
		}
	}
	var asks []shares.SendAsk
	for _, o := range out {
		switch o := o.(type) {
		case shares.SendLent:
			put(o.To, o)
		case shares.SendAsk:
			asks = append(asks, o)
		}
	}
	for i := range asks {
		o := asks[(i+int(s.seq))%len(asks)]
		put(o.To, o)
	}
	return said, to
}
