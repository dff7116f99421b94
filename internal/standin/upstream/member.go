package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Member is one upstream of a group with its agent.
type Member struct {
	group *Group
	name  ident.UpstreamName
	cfg   MemberConfig

	// Fixed after start; a restart listens on the same addresses.
	address, agentAddress string

	store   *store
	catalog *catalog
	// writer is held by the transaction that writes, and by the applier.
	writer *semaphore.Weighted
	slots  *semaphore.Weighted

	mu sync.Mutex
	// The fields below are guarded by mu.
	alive       bool
	incarnation ident.Incarnation
	term        ident.Term
	proposer    string
	role        group.Role
	fenced      bool
	// following is the primary that a replica takes entries from.
	following ident.UpstreamName
	// handover says that no new write transaction starts in this term.
	handover bool
	log      *entryLog
	applied  ident.LogPoint
	// rebuild says that the database holds entries that the log has dropped.
	rebuild bool
	// horizons are times at which the primary's log ended at a position; a replica
	// that has applied the position shows the state of that time.
	horizons []horizon
	asOf     time.Time
	shipping time.Duration
	lag      time.Duration
	// writing is the open write transaction.
	writing *transaction
	changed chan struct{} // closed at the next change
	paused  chan struct{} // not nil while paused; closed on resume
	done    chan struct{} // closed when the member is killed
	faults  map[faultTarget]*answerFault

	// sockets are all connections, sessions those that count against the limit.
	sockets      map[*session]struct{}
	sessions     map[int32]*session
	nextBackend  int32
	transactions uint64
	sqlListener  net.Listener
	agentServer  *http.Server
	// reserved holds the ports of a killed member by address.
	reserved map[string]*reservedPort

	// running counts the goroutines that Kill waits for.
	running     sync.WaitGroup
	faulty      atomic.Bool
	statements  atomic.Uint64
	connections atomic.Int64
	refused     atomic.Uint64
}

type horizon struct {
	time     time.Time
	position ident.Position
}

// Name returns the name of the member.
func (m *Member) Name() ident.UpstreamName { return m.name }

// Zone returns the availability zone of the member.
func (m *Member) Zone() ident.AvailabilityZone { return m.cfg.Zone }

// Address is the PostgreSQL address, IP:port.
func (m *Member) Address() string { return m.address }

// AgentAddress is the address of the member agent, IP:port.
func (m *Member) AgentAddress() string { return m.agentAddress }

// Status returns what the agent reports, without passing the network.
func (m *Member) Status() group.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.statusLocked()
}

func (m *Member) statusLocked() group.Status {
	status := group.Status{
		Group: m.group.cfg.Name, Upstream: m.name, Incarnation: m.incarnation, Term: m.term, Role: m.role,
		Received: m.log.last(), Applied: m.applied, Fenced: m.fenced, Primary: m.following,
	}
	if m.role == group.RolePrimary {
		status.Primary = m.name
	} else {
		status.LagMilliseconds = time.Since(m.asOf).Milliseconds()
	}
	return status
}

// notifyLocked wakes everything that waits for a change of this member.
func (m *Member) notifyLocked() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// changes returns a channel that is closed at the next change.
func (m *Member) changes() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// pauseState returns nil when the member runs, else a channel closed on resume.
func (m *Member) pauseState() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.paused == nil {
		return nil
	}
	return m.paused
}

// waitRunning blocks while the member is paused. It fails when ctx ends.
func (m *Member) waitRunning(ctx context.Context) error {
	for {
		paused := m.pauseState()
		if paused == nil {
			return nil
		}
		select {
		case <-paused:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// errRefused is an agent call that the member's state does not allow.
var errRefused = errors.New("refused")

// fence raises the term. It also rolls back the open write transaction, whose
// commit would be refused.
func (m *Member) fence(term ident.Term, proposer string) (group.Status, error) {
	m.mu.Lock()
	repeated := term == m.term && proposer == m.proposer
	if term <= m.term && !repeated {
		defer m.mu.Unlock()
		return m.statusLocked(), errors.Wrapf(errRefused, "term %d of %q is not above %d of %q", term, proposer, m.term, m.proposer)
	}
	if repeated {
		defer m.mu.Unlock()
		return m.statusLocked(), nil
	}
	m.term, m.proposer, m.fenced, m.handover = term, proposer, true, false
	m.role, m.following = group.RoleReplica, ""
	open := m.writing
	m.notifyLocked()
	m.mu.Unlock()
	if open != nil {
		go open.abandon()
	}
	return m.Status(), nil
}

// promote makes the member the primary of the term at which it was fenced.
func (m *Member) promote(ctx context.Context, term ident.Term, proposer string) (group.Status, error) {
	if err := m.writer.Acquire(ctx, 1); err != nil {
		return m.Status(), err
	}
	defer m.writer.Release(1)
	if m.needsRebuild() {
		m.rebuildStore()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role == group.RolePrimary && m.term == term && m.proposer == proposer {
		return m.statusLocked(), nil
	}
	if !m.fenced || m.term != term || m.proposer != proposer {
		return m.statusLocked(), errors.Wrapf(errRefused, "member is not fenced at term %d by %q", term, proposer)
	}
	if err := m.applyLocked(m.log.entries[m.applied.Position:]); err != nil {
		return m.statusLocked(), err
	}
	m.role, m.fenced, m.following = group.RolePrimary, false, m.name
	m.appendLocked("", nil)
	return m.statusLocked(), nil
}

// applyLocked applies entries at once; the caller holds the writer and mu.
func (m *Member) applyLocked(entries []entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := m.store.writer.apply(entries); err != nil {
		return err
	}
	m.applied = entries[len(entries)-1].point
	for _, e := range entries {
		if e.changesSchema() {
			m.catalog.reset()
			break
		}
	}
	return nil
}

// appendLocked adds an entry of the member's own term, which is also applied.
func (m *Member) appendLocked(id string, statements []loggedStatement) ident.LogPoint {
	now := time.Now()
	point := ident.LogPoint{Term: m.term, Position: m.log.last().Position + 1}
	m.log.append(entry{point: point, transaction: id, statements: statements, committed: now, received: now})
	m.applied = point
	m.notifyLocked()
	return point
}

// follow makes the member a replica of the primary of the term.
func (m *Member) follow(term ident.Term, primary ident.UpstreamName) (group.Status, error) {
	m.mu.Lock()
	refused := term < m.term || (term == m.term && m.role == group.RolePrimary) || primary == m.name
	if refused {
		defer m.mu.Unlock()
		return m.statusLocked(), errors.Wrapf(errRefused, "cannot follow %s in term %d", primary, term)
	}
	if term > m.term {
		m.proposer = ""
	}
	m.term, m.fenced, m.handover = term, false, false
	m.role, m.following = group.RoleReplica, primary
	open := m.writing
	m.notifyLocked()
	m.mu.Unlock()
	if open != nil {
		open.abandon()
	}
	m.receive()
	return m.Status(), nil
}

// startHandover stops new write transactions and waits for the open one.
func (m *Member) startHandover(ctx context.Context, term ident.Term) (group.Status, error) {
	m.mu.Lock()
	if m.term != term || m.role != group.RolePrimary || m.fenced {
		defer m.mu.Unlock()
		return m.statusLocked(), errors.Wrapf(errRefused, "member is not the primary of term %d", term)
	}
	m.handover = true
	m.notifyLocked()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, handoverDeadline)
	defer cancel()
	if err := m.writer.Acquire(ctx, 1); err != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.handover = false
		return m.statusLocked(), errors.Wrap(errRefused, "a write transaction did not finish before the deadline")
	}
	m.writer.Release(1)
	return m.Status(), nil
}

// handoverDeadline bounds the wait for the running write transaction. After it
// the member takes writes again.
const handoverDeadline = 5 * time.Second

// transactionState answers for a transaction of the group. Only a primary can
// say that a transaction is aborted: an entry of a lower term that its log lacks
// can no longer be committed.
func (m *Member) transactionState(id string) group.TransactionState {
	m.mu.Lock()
	defer m.mu.Unlock()
	var term ident.Term
	if _, err := fmt.Sscanf(id, "%d-", &term); err != nil || term > m.term {
		return group.TransactionUnknown
	}
	if m.role != group.RolePrimary || m.fenced {
		return group.TransactionUnknown
	}
	if _, ok := m.log.positions[id]; ok {
		return group.TransactionCommitted
	}
	if m.writing != nil && m.writing.id == id {
		return group.TransactionInProgress
	}
	return group.TransactionAborted
}
