package raftgroup

import (
	"errors"
	"strings"
	"testing"
	"time"
)

func TestProposals(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, nil)
	lead, _ := c.leader("")
	s := c.groups[lead]
	if st := <-s.Changes(); !st.Leading || st.Term == 0 {
		t.Errorf("%+v", st)
	}
	if err := propose(s, "refused"); err == nil || err.Error() != "the machine rejects it" {
		t.Error(err)
	}
	if err := propose(s, "panic"); err == nil || !strings.Contains(err.Error(), "test panic") {
		t.Error(err)
	}
	if err := propose(s, strings.Repeat("x", MaxCommandSize+1)); !errors.Is(err, ErrTooLarge) {
		t.Error(err)
	}
	c.mustPropose(lead, "a")
	select {
	case <-s.Updates():
	case <-time.After(waitLimit):
		t.Error("no update after a proposal")
	}
	if err := s.TransferLeadership(); err == nil || !strings.Contains(err.Error(), "no other voter took over leadership") {
		t.Error(err)
	}
	if _, err := Open(c.options(c.voters[0])); err == nil {
		t.Error("two voters opened one directory")
	}
}
