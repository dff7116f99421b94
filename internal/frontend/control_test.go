package frontend

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rs/zerolog"
)

const (
	testKey     = "k-secret-1"
	testTimeout = 10 * time.Second
)

// fakeControl implements Authoriser, Limiter and Router.
type fakeControl struct {
	mu          sync.Mutex
	primary     request.Target
	replica     *request.Target
	checkErr    error
	takeErr     error
	confirmed   []ident.LogPoint
	confirmErr  error
	confirm     func(ctx context.Context, t request.Target, p ident.LogPoint) error
	transaction func(id string) (group.TransactionState, error)
	needs       []request.ReadRequirement
	taken       int
	failures    int
}

func (f *fakeControl) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeControl) Authorise(o ident.OrganisationName, d ident.GroupName, key string) (request.Grant, error) {
	if key != testKey {
		return request.Grant{}, resultcode.New(resultcode.KeyRejected, "the key does not belong to the organisation")
	}
	return request.Grant{Organisation: o, Database: d, Weight: 1}, nil
}

func (f *fakeControl) Check(request.Grant) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.checkErr
}

func (f *fakeControl) Take(_ context.Context, _ ident.OrganisationName, n int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taken += n
	return f.takeErr
}

func (f *fakeControl) Primary(context.Context, ident.GroupName) (request.Target, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.primary, nil
}

func (f *fakeControl) Read(_ context.Context, _ ident.GroupName, need request.ReadRequirement) (request.Target, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.needs = append(f.needs, need)
	if f.replica != nil {
		return *f.replica, nil
	}
	return f.primary, nil
}

func (f *fakeControl) Confirm(ctx context.Context, t request.Target, p ident.LogPoint) error {
	f.mu.Lock()
	confirm, err := f.confirm, f.confirmErr
	f.mu.Unlock()
	if confirm != nil {
		err = confirm(ctx, t, p)
	}
	if err == nil {
		f.set(func() { f.confirmed = append(f.confirmed, p) })
	}
	return err
}

func (f *fakeControl) Transaction(_ context.Context, _ ident.GroupName, id string) (group.TransactionState, error) {
	f.mu.Lock()
	transaction := f.transaction
	f.mu.Unlock()
	if transaction == nil {
		return group.TransactionUnknown, nil
	}
	return transaction(id)
}

func (f *fakeControl) ReportFailure(request.Target, error) { f.set(func() { f.failures++ }) }

// target returns the target of a fake upstream.
func (f *fakeUpstream) target(name ident.UpstreamName) request.Target {
	return request.Target{Group: "orders", Upstream: name, Address: f.addr, Term: 1, Slots: 4, ConnectionLimit: 4, Primary: !f.replica}
}

// failOnPanic fails the test when a session reports a panic.
type failOnPanic struct{ t testing.TB }

func (f failOnPanic) Run(_ *zerolog.Event, level zerolog.Level, message string) {
	if level >= zerolog.ErrorLevel {
		f.t.Error(message)
	}
}
