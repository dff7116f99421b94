package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

const (
	// requestTimeout exceeds the queue deadline and the confirmation deadline of the
	// proxy together.
	requestTimeout = 15 * time.Second
	connectTimeout = 3 * time.Second
	tokenParameter = "rosemarywall.session_token"
	// acceptedAge is the age that sessions accept where the scenario asks for it.
	acceptedAge = "2s"
	// maxConnections is the number of proxies to which a session is connected at once.
	maxConnections = 2
	// maxAttempts bounds the sendings of a request that was refused with the request
	// to connect again.
	maxAttempts = 4
	// backlogLimit is how long after the end of the load sessions still send requests
	// that came due before.
	backlogLimit = 3 * time.Second
	// reconnectPause is the wait of a caller that found no VM.
	reconnectPause = 50 * time.Millisecond
)

// session is one caller. It runs one request at a time and may roam.
type session struct {
	run          *run
	number       int
	organisation ident.OrganisationName
	group        ident.GroupName
	key          string // name of the key
	secret       string
	carriesToken bool
	acceptsAge   bool
	random       *rand.Rand

	conns map[ident.VMName]*pgconn.PgConn
	home  ident.VMName
	token string
	// tokenAt is the token that each connection carries.
	tokenAt      map[ident.VMName]string
	tried, acked int64
	requests     int
	records      []Record
}

// serve takes due requests until there are no more.
func (s *session) serve(ctx context.Context, due <-chan time.Duration) {
	s.conns, s.tokenAt = map[ident.VMName]*pgconn.PgConn{}, map[ident.VMName]string{}
	for intended := range due {
		if s.run.now() > s.run.scenario.Duration+backlogLimit {
			s.records = append(s.records, s.unsent(intended))
			continue
		}
		s.request(ctx, intended)
	}
	for vm := range s.conns {
		s.drop(vm)
	}
}

// unsent records a request that came due and was never sent.
func (s *session) unsent(intended time.Duration) Record {
	return Record{
		ID: fmt.Sprintf("s%d-unsent", s.number), Session: s.number, Kind: Read, Organisation: s.organisation, Group: s.group,
		Intended: intended, Sent: s.run.now(), Done: s.run.now(), Outcome: Unsent,
	}
}

func (s *session) drop(vm ident.VMName) {
	if conn := s.conns[vm]; conn != nil {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = conn.Close(ctx)
		delete(s.conns, vm)
		delete(s.tokenAt, vm)
	}
}

// kind draws the kind of the next request.
func (s *session) kind() Kind {
	x, c := s.random.Float64(), s.run.scenario
	switch {
	case x < c.Writes:
		return Write
	case x < c.Writes+c.Transactions:
		return Transaction
	case x < c.Writes+c.Transactions+c.Scans:
		return Scan
	}
	return Read
}

func (s *session) request(ctx context.Context, intended time.Duration) {
	s.requests++
	r := Record{
		ID: fmt.Sprintf("s%d-%d", s.number, s.requests), Session: s.number, Kind: s.kind(),
		Organisation: s.organisation, Group: s.group, Key: s.key, Intended: intended,
	}
	if r.Kind.writes() {
		s.tried++
		r.Number = s.tried
	}
	vm := s.chooseVM("")
	for r.Attempts = 1; ; r.Attempts++ {
		s.attempt(ctx, &r, vm)
		if !again(&r) || r.Attempts == maxAttempts || ctx.Err() != nil {
			break
		}
		r.Earlier = append(r.Earlier, Refusal{VM: vm, At: s.run.now(), Code: r.Code, Text: r.Text})
		vm = s.chooseVM(vm)
	}
	r.Done = s.run.now()
	if r.Kind.writes() && r.Outcome == OK {
		s.acked = r.Number
	}
	s.records = append(s.records, r)
}

// again reports whether a caller would connect elsewhere and repeat the request.
func again(r *Record) bool {
	if r.Outcome != NotRun {
		return false
	}
	return r.Code == resultcode.ShuttingDown || r.Code == resultcode.ZoneOut || r.Code == notConnected
}

// chooseVM stays with the home VM or roams. After a refusal by avoid the home changes.
func (s *session) chooseVM(avoid ident.VMName) ident.VMName {
	if avoid != "" || s.home == "" || !s.run.balancer.isReadyNow(s.home) {
		s.home, _ = s.run.balancer.choose(s.random, avoid)
		return s.home
	}
	if s.run.balancer.skewed() || s.random.Float64() < s.run.scenario.Roam {
		vm, aimed := s.run.balancer.choose(s.random, s.home)
		if aimed {
			s.home = vm
		}
		return vm
	}
	return s.home
}

// notConnected is the code of attempts that reached no proxy.
const notConnected resultcode.Code = 0

// attempt sends the request once and fills in what the caller saw.
func (s *session) attempt(ctx context.Context, r *Record, vm ident.VMName) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r.VM, r.Sent = vm, s.run.now()
	r.Echo, r.Rows, r.Whole, r.Fault, r.Seen, r.Statements = "", 0, 0, "", 0, 0
	conn, err := s.connection(ctx, vm)
	if err != nil {
		s.refused(r, err, true)
		sleepUntil(ctx, time.Now().Add(reconnectPause))
		return
	}
	r.Sent, r.Needed, r.Tried = s.run.now(), s.acked, s.tried
	if err := s.send(ctx, conn, r); err != nil {
		// pgconn.SafeToRetry does not count here: pgconn 5.12 also reports "conn closed"
		// when the connection ends after the statement was sent.
		s.refused(r, err, false)
	} else {
		r.Outcome, r.Code, r.SQLState, r.Text = OK, 0, "", ""
		s.takeToken(conn, r)
	}
	if conn.IsClosed() || conn.TxStatus() != 'I' {
		s.drop(vm)
	}
}

// takeToken keeps the token that follows an acknowledged write. Without a new one
// the session could not prove its write to another proxy.
func (s *session) takeToken(conn *pgconn.PgConn, r *Record) {
	if !s.carriesToken || !r.Kind.writes() {
		return
	}
	token := conn.ParameterStatus(tokenParameter)
	if token == "" || token == s.token {
		r.Fault = "acknowledged write without a new session token"
		return
	}
	s.token, s.tokenAt[r.VM] = token, token
}

// connection returns the session's connection to a VM. It carries the newest token
// when the session uses one.
func (s *session) connection(ctx context.Context, vm ident.VMName) (*pgconn.PgConn, error) {
	if conn := s.conns[vm]; conn != nil && conn.IsClosed() {
		s.drop(vm)
	}
	conn := s.conns[vm]
	if conn == nil {
		var err error
		if conn, err = s.connect(ctx, vm); err != nil {
			return nil, err
		}
		for other := range s.conns {
			if len(s.conns) >= maxConnections {
				s.drop(other)
			}
		}
		s.conns[vm], s.tokenAt[vm] = conn, s.token
	}
	if s.carriesToken && s.token != "" && s.tokenAt[vm] != s.token {
		if err := conn.Exec(ctx, "set "+tokenParameter+" = '"+s.token+"'").Close(); err != nil {
			s.drop(vm)
			return nil, err
		}
		s.tokenAt[vm] = s.token
	}
	return conn, nil
}

func (s *session) connect(ctx context.Context, vm ident.VMName) (*pgconn.PgConn, error) {
	running := s.run.fleet.VM(vm)
	if vm == "" || running == nil {
		return nil, errNoVM
	}
	config := s.run.callerConfig.Copy()
	host, port := splitAddress(running.ClientAddress())
	config.Host, config.Port = host, port
	config.User, config.Password, config.Database = string(s.organisation), s.secret, string(s.group)
	if s.carriesToken { // an empty token asks for tokens
		config.RuntimeParams[tokenParameter] = s.token
	}
	if s.acceptsAge {
		config.RuntimeParams["rosemarywall.accepted_age"] = acceptedAge
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return pgconn.ConnectConfig(ctx, config)
}

// refused classifies an error. unsent says that no part of the request left the caller.
func (s *session) refused(r *Record, err error, unsent bool) {
	r.Outcome, r.Code, r.SQLState, r.Text = classify(err)
	if r.Outcome == Unknown && unsent {
		r.Outcome, r.Code = NotRun, notConnected
	}
}

// classify reads the result code and effect of an error of a proxy.
func classify(err error) (Outcome, resultcode.Code, string, string) {
	refusal, ok := asRefusal(err)
	if !ok {
		return Unknown, 0, "", err.Error()
	}
	code := codeOf(refusal.Detail)
	outcome := Failed
	switch {
	case strings.HasSuffix(refusal.Detail, "; not run"):
		outcome = NotRun
	case strings.HasSuffix(refusal.Detail, "; outcome unknown"):
		outcome = Unknown
	}
	return outcome, code, refusal.Code, refusal.Message
}
