package shares

// Input is news for a Step.
type Input interface{ input() }

type (
	// Set says which lanes are in force, and how many accounts of them have a guarantee, by their numbers from 0.
	Set struct {
		Revision int
		Accounts int
	}
	// Members says how many co-ordinators are agreed to be there, 0 if that is not known, and who is heard of now. Where more
	// serve than are agreed, as one does that all others count as gone, the sum of all parts is over the guarantee by as many
	// home parts: that is the slack.
	Members struct {
		Agreed int
		Live   []string
	}
	// Demand is what came of one account of late, as a part of its guarantee; 0: nothing.
	Demand struct {
		Account uint32
		Want    int64
	}
	// Ask is a peer's wish to borrow, or to keep what it has. Numbers of a process only grow.
	Ask struct {
		From        string
		Incarnation uint64
		No          uint64
		Revision    int
		Account     uint32
		Want        int64
	}
	// Lent answers an Ask; Amount 0: there is nothing to be had.
	Lent struct {
		From        string // the lender
		To          string
		Incarnation uint64 // of the borrower
		No          uint64 // of its ask
		Revision    int
		Account     uint32
		Amount      int64
	}
)

func (Set) input()     {}
func (Members) input() {}
func (Demand) input()  {}
func (Ask) input()     {}
func (Lent) input()    {}

// Output is something to be done before the next Step.
type Output interface{ output() }

type (
	// SendAsk goes to a peer; nothing follows if it is lost.
	SendAsk struct {
		To  string
		Ask Ask
	}
	// SendLent answers one.
	SendLent struct {
		To   string
		Lent Lent
	}
	// Even is the part of each account that no Part names.
	Even struct{ Part int64 }
	// Part is what may be used of one account now, until the next one of it.
	Part struct {
		Account uint32
		Part    int64
	}
)

func (SendAsk) output()  {}
func (SendLent) output() {}
func (Even) output()     {}
func (Part) output()     {}

// Evenly as the part of one account: that of all that are not named.
const Evenly = -1

// askAgain is how long an ask waits for its answer before the same peer is asked again.
const askAgain = 4 * AskEvery

// lenderFor is how long a lender counts a loan: its borrower counted from before, by a clock that may be slower.
const lenderFor = LoanFor + LoanFor/Drift*2

// borrowerFor is how long a borrower counts a loan from the sending of its ask.
const borrowerFor = LoanFor - LoanFor/Drift
