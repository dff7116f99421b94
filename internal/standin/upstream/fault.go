package upstream

import (
	"net"
	"time"
)

// AnswerFault is what happens to one answer.
type AnswerFault string

// Faults of answers.
const (
	// DropAnswer loses the answer after its effect; the connection stays open.
	DropAnswer AnswerFault = "drop"
	// CloseBeforeAnswer closes the connection instead of answering, after the effect.
	CloseBeforeAnswer AnswerFault = "close"
	// DuplicateAnswer sends the answer twice.
	DuplicateAnswer AnswerFault = "duplicate"
	// DelayAnswer sends the answer late.
	DelayAnswer AnswerFault = "delay"
)

// faultTarget names the kind of answer.
type faultTarget string

const (
	sqlAnswers   faultTarget = "sql"
	agentAnswers faultTarget = "agent"
)

type answerFault struct {
	fault AnswerFault
	delay time.Duration
	count int
}

// FailSQLAnswers applies a fault to the next count answers of PostgreSQL
// requests. delay is used by DelayAnswer only.
func (m *Member) FailSQLAnswers(fault AnswerFault, count int, delay time.Duration) {
	m.setFault(sqlAnswers, fault, count, delay)
}

// FailAgentAnswers applies a fault to the next count answers of the agent,
// streams excepted. Dropped and duplicated answers close the connection.
func (m *Member) FailAgentAnswers(fault AnswerFault, count int, delay time.Duration) {
	m.setFault(agentAnswers, fault, count, delay)
}

func (m *Member) setFault(target faultTarget, fault AnswerFault, count int, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults[target] = &answerFault{fault: fault, delay: delay, count: count}
	m.faulty.Store(true)
}

// takeFault returns the fault of the next answer and counts it.
func (m *Member) takeFault(target faultTarget) (AnswerFault, time.Duration) {
	if !m.faulty.Load() {
		return "", 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.faults[target]
	if f == nil || f.count == 0 {
		return "", 0
	}
	f.count--
	return f.fault, f.delay
}

// answerWriter writes the answers of a session and applies faults to them.
type answerWriter struct {
	session *session
	conn    net.Conn
	// last says that the next write ends an answer.
	last bool
}

func (w *answerWriter) Write(p []byte) (int, error) {
	if !w.last {
		return w.conn.Write(p)
	}
	w.last = false
	fault, delay := w.session.member.takeFault(sqlAnswers)
	switch fault {
	case DropAnswer:
		return len(p), nil
	case CloseBeforeAnswer:
		_ = w.conn.Close()
		return 0, net.ErrClosed
	case DuplicateAnswer:
		if _, err := w.conn.Write(p); err != nil {
			return 0, err
		}
	case DelayAnswer:
		if !w.session.sleep(delay) {
			return 0, net.ErrClosed
		}
	}
	return w.conn.Write(p)
}
