package load

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Kind is the form of a request.
type Kind string

// Kinds of requests.
const (
	// Write inserts the next row of its session.
	Write Kind = "write"
	// Read returns the newest row of its session.
	Read Kind = "read"
	// Scan returns a fixed number of rows.
	Scan Kind = "scan"
	// Transaction inserts the next row of its session and reads it in one block.
	Transaction Kind = "transaction"
)

// writes reports whether requests of the kind insert a row.
func (k Kind) writes() bool { return k == Write || k == Transaction }

// Outcome is what the caller learned about its request.
type Outcome string

// Outcomes of requests.
const (
	// OK means that the request was answered.
	OK Outcome = "ok"
	// NotRun means that the request was refused as not run.
	NotRun Outcome = "not run"
	// Unknown means that the connection broke, the time was over, or the proxy said
	// that the outcome is unknown.
	Unknown Outcome = "unknown"
	// Unsent means that no session was free before the end of the run.
	Unsent Outcome = "unsent"
	// Failed means that the upstream answered with an error of its own.
	Failed Outcome = "failed"
)

// Record is one request as its caller saw it. Times count from the start of the
// load.
type Record struct {
	ID           string
	Session      int
	Kind         Kind
	Organisation ident.OrganisationName
	Group        ident.GroupName
	// VM answered the last attempt.
	VM ident.VMName
	// Key is the name of the key that the caller used.
	Key string
	// Intended is when the request was due, Sent when its last attempt was sent and
	// Done when the answer was complete.
	Intended, Sent, Done time.Duration
	Outcome              Outcome
	Code                 resultcode.Code
	// SQLState and Text describe a refusal.
	SQLState, Text string
	// Attempts counts sendings; more than one after a refusal that asks the caller
	// to connect again.
	Attempts int
	// Earlier are the refusals of the earlier attempts.
	Earlier []Refusal
	// Statements is the number of statements that the last attempt was charged for.
	Statements int

	// Number is the row that a write inserts.
	Number int64
	// Needed is the session's newest acknowledged row when a read was sent, Tried its
	// newest attempted row, and Seen the row that the read returned.
	Needed, Tried, Seen int64
	// Echo is the identifier in the answer.
	Echo string
	// Rows is the number of rows of the answer, Whole the number that it must have.
	Rows, Whole int
	// Fault describes an answer whose form is wrong.
	Fault string
}

// Refusal is the end of one attempt that the caller repeated.
type Refusal struct {
	VM   ident.VMName
	At   time.Duration
	Code resultcode.Code
	Text string
}

// Execution is what the group of a request knows about it.
type Execution struct {
	// Committed counts the request in the log of the final primary.
	Committed int
	// Present says that the row of a write is in the table of the final primary.
	Present bool
}

// Withdrawal is a key that a note withdrew.
type Withdrawal struct {
	Organisation ident.OrganisationName
	Key          string
	// Accepted is when the operator had the acceptance.
	Accepted time.Duration
}

// Rate is the limit of an organisation in statements per second and statements.
type Rate struct{ PerSecond, Burst float64 }

// History is everything that the judges see.
type History struct {
	Records     []Record
	Executions  map[string]Execution
	Withdrawals []Withdrawal
	Rates       map[ident.OrganisationName]Rate
}
