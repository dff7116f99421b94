package objectapi

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Limits of the retries of Update.
const (
	updateMaxAttempts     = 8
	updateInitialInterval = 10 * time.Millisecond
	updateMaxInterval     = 500 * time.Millisecond
)

// Writer generates writer identifiers and retry delays. Identifiers are unique if the
// prefix is unique to this incarnation of the process.
type Writer struct {
	prefix string
	count  atomic.Uint64
	mu     sync.Mutex
	random *rand.Rand
}

// NewWriter returns a Writer. prefix is typically the VM name and incarnation; seed
// initialises the jitter of retries.
func NewWriter(prefix string, seed uint64) *Writer {
	return &Writer{prefix: prefix, random: rand.New(rand.NewPCG(seed, seed))}
}

// NewID returns a new writer identifier.
func (w *Writer) NewID() string { return fmt.Sprintf("%s-%d", w.prefix, w.count.Add(1)) }

// BackOff returns a new exponential backoff with jitter from the seeded random source.
func (w *Writer) BackOff() backoff.BackOff {
	exponential := backoff.NewExponentialBackOff()
	exponential.InitialInterval = updateInitialInterval
	exponential.MaxInterval = updateMaxInterval
	exponential.RandomizationFactor = 0
	return &seededBackOff{exponential: exponential, writer: w}
}

// seededBackOff adds jitter from a seeded random source, because the library uses the
// global one.
type seededBackOff struct {
	exponential *backoff.ExponentialBackOff
	writer      *Writer
}

func (b *seededBackOff) Reset() { b.exponential.Reset() }

// NextBackOff returns a delay between 0.5 and 1.5 times the interval.
func (b *seededBackOff) NextBackOff() time.Duration {
	interval := b.exponential.NextBackOff()
	b.writer.mu.Lock()
	defer b.writer.mu.Unlock()
	return interval/2 + time.Duration(b.writer.random.Int64N(int64(interval)+1))
}

// WriterSetter is implemented by values that store the identifier of their writer in
// the JSON member "writer".
type WriterSetter interface {
	SetWriter(writer string)
}

// WriterTag is the JSON member "writer", for embedding in values.
type WriterTag struct {
	Writer string `json:"writer"`
}

func (s *WriterTag) SetWriter(writer string) { s.Writer = writer }

// Mutate changes a decoded value in place. If the object does not exist, exists is
// false and value is zero. An error ends the update and is returned.
type Mutate[T any] func(value *T, exists bool) error

// Update reads the object, changes it and stores it conditionally. If a response is
// lost, it reads the object back and compares the writer identifier. After a conflict
// it starts again from the read. The number of attempts is limited, and the last error
// is returned with its code, or the cause of the end of ctx if ctx ends between two
// attempts. PlatformDown then means that the change may have taken effect. So does
// PlatformConflict: another writer may have replaced the object after the response was
// lost, so the object no longer shows whether the change took effect.
func Update[T any, P interface {
	*T
	WriterSetter
}](ctx context.Context, client Client, writer *Writer, kind Kind, name string, mutate Mutate[T]) (Object, error) {
	u := update[T, P]{client: client, kind: kind, name: name, mutate: mutate, writer: writer.NewID()}
	operation := func() (Object, error) { return u.attempt(ctx) }
	return backoff.Retry(ctx, operation, backoff.WithBackOff(writer.BackOff()),
		backoff.WithMaxTries(updateMaxAttempts), backoff.WithMaxElapsedTime(0))
}

type update[T any, P interface {
	*T
	WriterSetter
}] struct {
	client Client
	kind   Kind
	name   string
	mutate Mutate[T]
	// writer is the same in every attempt. At most one attempt can take effect, because
	// each one first reads the object and stops if it finds this identifier.
	writer string
	// outcomeUnknown is set if an earlier put, conditional on triedVersion, may have
	// taken effect.
	outcomeUnknown bool
	triedVersion   Version
}

func (u *update[T, P]) attempt(ctx context.Context) (Object, error) {
	current, err := u.client.Get(ctx, u.kind, u.name)
	if err != nil && !resultcode.Is(err, resultcode.PlatformNotFound) {
		return Object{}, markPermanent(err)
	}
	if u.outcomeUnknown && u.isOwn(current) {
		return current, nil
	}
	if u.outcomeUnknown && current.Version != u.triedVersion {
		return Object{}, u.supersededError()
	}
	value := P(new(T))
	// A value that cannot be read is not a new one: the change would replace it.
	if current.Version.Revision() != 0 {
		if err := json.Unmarshal(current.Value, value); err != nil {
			return Object{}, backoff.Permanent(resultcode.Wrap(err, resultcode.PlatformBadRequest, "decode %s/%s", u.kind, u.name))
		}
	}
	if err := u.mutate((*T)(value), current.Version != 0); err != nil {
		return Object{}, backoff.Permanent(err)
	}
	value.SetWriter(u.writer)
	return u.put(ctx, value, current.Version)
}

func (u *update[T, P]) put(ctx context.Context, value P, version Version) (Object, error) {
	object, err := u.client.Put(ctx, u.kind, u.name, value, version)
	if err == nil {
		return object, nil
	}
	if resultcode.Is(err, resultcode.PlatformDown) {
		u.outcomeUnknown, u.triedVersion = true, version
	}
	// An earlier put whose response was lost may have been delayed in the network and
	// taken effect between the read and this put.
	if resultcode.Is(err, resultcode.PlatformConflict) && u.isOwn(object) {
		return object, nil
	}
	if resultcode.Is(err, resultcode.PlatformConflict) && u.outcomeUnknown {
		return Object{}, u.supersededError()
	}
	return Object{}, markPermanent(err)
}

// supersededError ends an update that cannot determine whether an earlier put took
// effect before another writer replaced the object. Another attempt could apply the
// change twice.
func (u *update[T, P]) supersededError() error {
	return backoff.Permanent(resultcode.New(resultcode.PlatformConflict,
		"%s/%s was replaced by another writer after a put without a response", u.kind, u.name))
}

func (u *update[T, P]) isOwn(object Object) bool {
	var tag WriterTag
	return json.Unmarshal(object.Value, &tag) == nil && tag.Writer == u.writer
}

// markPermanent marks errors that a retry cannot resolve as permanent.
func markPermanent(err error) error {
	switch resultcode.Of(err) {
	case resultcode.PlatformDown, resultcode.PlatformQuota, resultcode.PlatformConflict:
		return err
	}
	return backoff.Permanent(err)
}
