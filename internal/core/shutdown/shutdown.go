// Package shutdown decides the course of a planned stop: until when work is begun, when idle
// sessions are closed, when open transactions are rolled back, when running statements are
// ended with a response, and when the process ends. Both products use it. All times are
// measured from the order to stop, on the process clock.
package shutdown

import "time"

// Stage is a part of a planned stop. Later stages have larger values.
type Stage uint8

// Stages of a planned stop.
const (
	// Running means that no stop is ordered.
	Running Stage = iota
	// Announced means that the VM reports not ready. It still serves everything, because
	// new clients arrive until this is noticed.
	Announced
	// Closing means that idle sessions outside a transaction are closed, and that only work
	// is begun that can end in time.
	Closing
	// RollingBack means that open transactions are rolled back.
	RollingBack
	// Cancelling means that running statements are cancelled on their upstreams, whose
	// responses then tell the outcome. Not every schedule has this stage.
	Cancelling
	// Ending means that nothing is begun, and that running statements are ended with a
	// response that says what is known of them.
	Ending
	// Ended means that the process ends.
	Ended
)

// String returns the name of the stage in logs.
func (s Stage) String() string {
	names := [...]string{"running", "announced", "closing", "rolling_back", "cancelling", "ending", "ended"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Schedule holds the times at which the stages begin, in order.
type Schedule struct {
	// CloseIdle, RollBack and EndStatements begin the stages Closing, RollingBack and Ending.
	CloseIdle, RollBack, EndStatements time.Duration
	// CancelStatements begins the stage Cancelling; zero means that there is none.
	CancelStatements time.Duration
	// End is when the stage Ended begins, whatever is outstanding.
	End time.Duration
	// Exit is until when sessions may still send the responses that are ready at End.
	Exit time.Duration
}

const (
	// maxExitTime is left between End and the end of the grace period, for the process to
	// exit.
	maxExitTime = 700 * time.Millisecond
	// maxResponseTime is left between EndStatements and End, for the responses to reach the
	// clients.
	maxResponseTime = 400 * time.Millisecond
	// exitDivisor and responseDivisor divide a short grace period to give these times.
	exitDivisor, responseDivisor = 6, 12
	// closeDivisor and rollBackDivisor divide the grace period to give the latest CloseIdle,
	// and RollBack.
	closeDivisor, rollBackDivisor = 3, 2
	// maxStatementTime is left between RollBack and CancelStatements of a drain, for running
	// statements to end by themselves.
	maxStatementTime = 5 * time.Second
	// maxCancelTime is left between CancelStatements and EndStatements, for the upstreams to
	// respond.
	maxCancelTime = time.Second
	// statementDivisor and cancelDivisor divide a short drain time to give these times.
	statementDivisor, cancelDivisor = 4, 8
)

// NewSchedule returns the schedule for a grace period, the time from the order to the end by
// force. propagation is the time within which no new clients are sent to a VM that is not
// ready.
func NewSchedule(grace, propagation time.Duration) Schedule {
	end := grace - min(maxExitTime, grace/exitDivisor)
	return Schedule{
		CloseIdle: min(propagation, grace/closeDivisor), RollBack: grace / rollBackDivisor,
		EndStatements: end - min(maxResponseTime, grace/responseDivisor), End: end, Exit: (end + grace) / 2,
	}
}

// NewDrainSchedule returns the schedule for a stop that refuses new clients at once and whose
// statements have no timeouts. Open transactions get most of a long drain time.
func NewDrainSchedule(drain time.Duration) Schedule {
	s := NewSchedule(drain, 0)
	s.CancelStatements = s.EndStatements - min(maxCancelTime, drain/cancelDivisor)
	s.RollBack = s.CancelStatements - min(maxStatementTime, drain/statementDivisor)
	return s
}

// Outstanding describes what a stopping VM still has to complete.
type Outstanding struct {
	// Clients is the number of connected clients.
	Clients int
	// Statements and Transactions are those that the VM runs for other VMs.
	Statements, Transactions int
	// Quiet is the time since the last client connected and since the last statement for
	// another VM ended.
	Quiet time.Duration
}

// minQuietTime is the quiet time after which no new client is expected, and after which the
// responses to other VMs are sent.
const minQuietTime = 250 * time.Millisecond

func (o Outstanding) none() bool {
	return o.Clients == 0 && o.Statements == 0 && o.Transactions == 0 && o.Quiet >= minQuietTime
}

// StageAt returns the stage at a time. The process ends early if nothing is outstanding.
func (s Schedule) StageAt(at time.Duration, o Outstanding) Stage {
	switch {
	case at >= s.End || at >= s.CloseIdle && o.none():
		return Ended
	case at >= s.EndStatements:
		return Ending
	case s.CancelStatements > 0 && at >= s.CancelStatements:
		return Cancelling
	case at >= s.RollBack:
		return RollingBack
	case at >= s.CloseIdle:
		return Closing
	}
	return Announced
}

// AdmitsStatement reports whether a statement outside a transaction is begun that may take up
// to timeout. Before CloseIdle every statement is, because its client cannot be elsewhere
// yet; EndStatements then limits it.
func (s Schedule) AdmitsStatement(at, timeout time.Duration) bool {
	return at < s.CloseIdle || timeout <= s.EndStatements-at
}

// AdmitsTransaction reports whether a transaction is begun whose statements may take up to
// timeout each.
func (s Schedule) AdmitsTransaction(at, timeout time.Duration) bool {
	return at < s.CloseIdle || timeout <= s.RollBack-at
}

// Session describes a session that waits for the next message of its client.
type Session struct {
	// InTransaction is set in an open transaction.
	InTransaction bool
	// IdleLimit is the time after which an idle transaction is rolled back; zero means no
	// limit. IdleFor is the time since the last response.
	IdleLimit, IdleFor time.Duration
	// RolledBack is set if the open transaction is already rolled back.
	RolledBack bool
	// Partial is set if a part of the next message has arrived.
	Partial bool
}

// Action is what a session does if no message arrives in time.
type Action uint8

// Actions of a waiting session.
const (
	// KeepWaiting waits without a limit.
	KeepWaiting Action = iota
	// CloseSession closes the connection.
	CloseSession
	// RollBack rolls back the open transaction.
	RollBack
)

// QuietPeriod is the time without a message after which a session is closed, so that a
// statement in transit is still received.
const QuietPeriod = 50 * time.Millisecond

// Wait returns how long a session waits for the next message, and what it does if none
// arrives in that time. A session with a part of a message is not closed before Ended.
func (s Session) Wait(stage Stage) (time.Duration, Action) {
	switch {
	case stage >= Ended:
		return 0, CloseSession
	case s.InTransaction && s.RolledBack:
		return 0, KeepWaiting
	case s.InTransaction && stage >= RollingBack:
		return 0, RollBack
	case s.InTransaction && s.IdleLimit > 0:
		return max(0, s.IdleLimit-s.IdleFor), RollBack
	case s.InTransaction || stage < Closing || s.Partial:
		return 0, KeepWaiting
	}
	return QuietPeriod, CloseSession
}
