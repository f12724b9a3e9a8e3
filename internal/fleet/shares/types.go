package shares

// Input is an event that Step handles.
type Input interface{ input() }

type (
	// Config gives the revision of the lanes in force and the number of their accounts with a guarantee. Accounts are numbered from 0.
	Config struct {
		Revision int
		Accounts int
	}
	// Membership gives the agreed number of co-ordinators, 0 if unknown, and the names of those that are alive. If more co-ordinators
	// serve than are agreed, for example one that all others consider gone, the sum of all shares exceeds the guarantee by one home share
	// for each of them. This excess is accepted.
	Membership struct {
		Agreed int
		Live   []string
	}
	// Demand is the recent demand for one account, in units of its guarantee; 0: none.
	Demand struct {
		Account uint32
		Want    int64
	}
	// LoanRequest is a peer's request to borrow, or to keep what it has borrowed. The sequence numbers of one process only grow.
	LoanRequest struct {
		From        string
		Incarnation uint64
		Seq         uint64
		Revision    int
		Account     uint32
		Want        int64
	}
	// LoanReply is the reply to a LoanRequest. Amount 0 means that nothing is lent.
	LoanReply struct {
		From        string // the lender
		To          string
		Incarnation uint64 // of the borrower
		Seq         uint64 // of its request
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

// Output is something to do before the next Step.
type Output interface{ output() }

type (
	// SendRequest sends a request to a peer. A lost request has no effect.
	SendRequest struct {
		To      string
		Request LoanRequest
	}
	// SendReply sends the reply to a peer's request.
	SendReply struct {
		To    string
		Reply LoanReply
	}
	// DefaultShare is the share of each account without an AccountShare of its own.
	DefaultShare struct{ Share int64 }
	// AccountShare is the share of one account, until the next AccountShare for it.
	AccountShare struct {
		Account uint32
		Share   int64
	}
)

func (SendRequest) output()  {}
func (SendReply) output()    {}
func (DefaultShare) output() {}
func (AccountShare) output() {}

// UseDefault as AccountShare.Share means that the account has the DefaultShare again.
const UseDefault = -1

// requestTimeout is how long a request waits for its reply before the same peer is asked again.
const requestTimeout = 4 * RequestInterval

// lenderLoanDuration is how long a lender counts a loan: its borrower began to count earlier, by a clock that may be slower.
const lenderLoanDuration = LoanDuration + LoanDuration/DriftDivisor*2

// borrowerLoanDuration is how long a borrower counts a loan from sending its request.
const borrowerLoanDuration = LoanDuration - LoanDuration/DriftDivisor
