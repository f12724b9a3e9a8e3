package expect

import (
	"fmt"
	"math"
	"strings"
)

// Kind names the claim as it is written.
func (cl *Claim) Kind() string {
	switch {
	case cl.GoesTo != nil:
		return "goes_to"
	case cl.Spread != nil:
		return "spread"
	case cl.NothingNew != nil:
		return "nothing_new"
	case cl.FirstParts != nil:
		return "first_parts"
	case cl.Further != nil:
		return "further"
	case cl.Ends != nil:
		return "ends"
	case cl.AtMost != nil:
		return "at_most"
	case cl.Holds != nil:
		return "holds"
	}
	return "loss"
}

// String tells a step as a time line shows it.
func (s *Step) String() string {
	whom := s.Reader
	switch {
	case s.DataCentre != "":
		whom = "data centre " + s.DataCentre
	case s.Cell != nil:
		whom = fmt.Sprintf("cell %d", *s.Cell)
	case s.Share > 0:
		whom = fmt.Sprintf("%g of the readers", s.Share)
	case s.All:
		whom = "all readers"
	case s.Peers != "":
		whom = "a peer"
	}
	var what []string
	if s.Is != "" {
		what = append(what, s.Is)
	}
	if s.Late > 0 {
		what = append(what, fmt.Sprintf("told %g ms later", s.Late))
	}
	if s.ToldOnly {
		what = append(what, "told only")
	}
	if s.Untold {
		what = append(what, "untold")
	}
	if len(s.Again) > 0 {
		what = append(what, fmt.Sprintf("told again after %v ms", s.Again))
	}
	if s.Answers != "" {
		what = append(what, "answers "+s.Answers)
	}
	if s.Slow != 0 {
		what = append(what, fmt.Sprintf("%g times as slow", s.Slow))
	}
	if s.Peers != "" {
		what = append(what, s.Peers)
	}
	if s.Class != "" {
		what = append(what, "for class "+s.Class)
	}
	if s.For > 0 {
		what = append(what, fmt.Sprintf("for %g ms", s.For))
	}
	return fmt.Sprintf("%g ms: %s: %s", math.Round(s.At*1000)/1000, whom, strings.Join(what, ", "))
}
