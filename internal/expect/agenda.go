package expect

import (
	"birchcart/policy"
)

// kind of thing that is due.
type itemKind uint8

const (
	newsItem  itemKind = iota // first in a turn, as on sockets
	stepItem                  // something happens
	overItem                  // an effect of a step ends
	askItem                   // a query comes
	partsItem                 // those of a second step
	endItem                   // an attempt ends
	timerItem
	closeItem
)

type item struct {
	at      float64
	seq     uint64
	kind    itemKind
	handle  uint64
	load    int
	attempt *attempt
	outcome policy.Outcome
	query   *query
	step    *Step
	undo    func()
	reader  int
	entry   policy.Entry
}

func (a *item) before(b *item) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// agenda is a binary heap; container/heap would box each item, which is half of a run's time.
type agenda []item

func (h *agenda) push(it item) {
	s := append(*h, it)
	i := len(s) - 1
	for i > 0 && s[i].before(&s[(i-1)/2]) {
		s[i], s[(i-1)/2] = s[(i-1)/2], s[i]
		i = (i - 1) / 2
	}
	*h = s
}

func (h *agenda) pop() item {
	s := *h
	top, last := s[0], len(s)-1
	s[0], s[last] = s[last], item{}
	s = s[:last]
	for i := 0; ; {
		least := i
		for _, j := range [...]int{2*i + 1, 2*i + 2} {
			if j < last && s[j].before(&s[least]) {
				least = j
			}
		}
		if least == i {
			break
		}
		s[i], s[least] = s[least], s[i]
		i = least
	}
	*h = s
	return top
}
