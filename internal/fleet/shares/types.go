package shares

// Input is news for a Step.
type Input interface{ input() }

type (
	// Config says which lanes are in force, and how many accounts of them have a guarantee, by their numbers from 0.
	Config struct {
		Revision int
		Accounts int
	}
	// Membership says how many co-ordinators are agreed to be there, 0 if that is not known, and who is heard of now. Where more
	// serve than are agreed, as one does that all others count as gone, the sum of all parts is over the guarantee by as many
	// home parts: that is the slack.
	Membership struct {
		Agreed int
		Live   []string
	}
	// Demand is what came of one account of late, as a part of its guarantee; 0: nothing.
	Demand struct {
		Account uint32
		Want    int64
	}
	// Request is a peer's wish to borrow, or to keep what it has. Numbers of a process only grow.
	LoanRequest struct {
		From        string
		Incarnation uint64
		Seq         uint64
		Revision    int
		Account     uint32
		Want        int64
	}
	// Reply answers an Ask; Amount 0: there is nothing to be had.
	LoanReply struct {
		From        string // the lender
		To          string
		Incarnation uint64 // of the borrower
		Seq         uint64 // of its ask
		Revision    int
		Account     uint32
		Amount      int64
	}
)

func (Config) input()      {}
func (Membership) input()  {}
func (Demand) input()      {}
func (LoanRequest) input() {}
func (LoanReply) input()   {}

// Output is something to be done before the next Step.
type Output interface{ output() }

type (
	// SendRequest goes to a peer; nothing follows if it is lost.
	SendRequest struct {
		To      string
		Request LoanRequest
	}
	// SendReply answers one.
	SendReply struct {
		To    string
		Reply LoanReply
	}
	// DefaultShare is the part of each account that no Part names.
	DefaultShare struct{ Share int64 }
	// Share is what may be used of one account now, until the next one of it.
	AccountShare struct {
		Account uint32
		Share   int64
	}
)

func (SendRequest) output()  {}
func (SendReply) output()    {}
func (DefaultShare) output() {}
func (AccountShare) output() {}

// UseDefault as the part of one account: that of all that are not named.
const UseDefault = -1

// requestTimeout is how long an ask waits for its answer before the same peer is asked again.
const requestTimeout = 4 * RequestInterval

// lenderLoanDuration is how long a lender counts a loan: its borrower counted from before, by a clock that may be slower.
const lenderLoanDuration = LoanDuration + LoanDuration/DriftDivisor*2

// borrowerLoanDuration is how long a borrower counts a loan from the sending of its ask.
const borrowerLoanDuration = LoanDuration - LoanDuration/DriftDivisor
