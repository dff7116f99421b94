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

// Bounds of the retries of Update.
const (
	updateTries           = 8
	updateInitialInterval = 10 * time.Millisecond
	updateMaxInterval     = 500 * time.Millisecond
)

// Writer makes writer identifiers and retry delays. Identifiers are unique as
// long as the prefix is unique to this life of the process.
type Writer struct {
	prefix string
	count  atomic.Uint64
	mu     sync.Mutex
	random *rand.Rand
}

// NewWriter returns a Writer. prefix is typically the VM name and incarnation;
// seed drives the jitter of retries.
func NewWriter(prefix string, seed uint64) *Writer {
	return &Writer{prefix: prefix, random: rand.New(rand.NewPCG(seed, seed))}
}

// NewID returns a new identifier.
func (w *Writer) NewID() string { return fmt.Sprintf("%s-%d", w.prefix, w.count.Add(1)) }

// BackOff returns a new exponential backoff with jitter from the seeded source.
func (w *Writer) BackOff() backoff.BackOff {
	exponential := backoff.NewExponentialBackOff()
	exponential.InitialInterval = updateInitialInterval
	exponential.MaxInterval = updateMaxInterval
	exponential.RandomizationFactor = 0
	return &seededBackOff{exponential: exponential, writer: w}
}

// seededBackOff replaces the library's global random source.
type seededBackOff struct {
	exponential *backoff.ExponentialBackOff
	writer      *Writer
}

func (b *seededBackOff) Reset() { b.exponential.Reset() }

// NextBackOff returns a delay between half and one and a half of the interval.
func (b *seededBackOff) NextBackOff() time.Duration {
	interval := b.exponential.NextBackOff()
	b.writer.mu.Lock()
	defer b.writer.mu.Unlock()
	return interval/2 + time.Duration(b.writer.random.Int64N(int64(interval)+1))
}

// WriterSetter is implemented by values that carry the identifier of their writer as
// the JSON member "writer".
type WriterSetter interface {
	SetWriter(writer string)
}

// WriterTag is the member "writer", for embedding into values.
type WriterTag struct {
	Writer string `json:"writer"`
}

// SetWriter stores the identifier.
func (s *WriterTag) SetWriter(writer string) { s.Writer = writer }

// Mutate changes a decoded value in place. exists says whether the object was
// there; otherwise value is zero. An error ends the update and is returned.
type Mutate[T any] func(value *T, exists bool) error

// Update reads the object, changes it and puts it back conditionally. A lost
// answer is resolved by reading back and comparing the writer identifier.
// Conflicts start again from the read. Retries are bounded; the last error is
// returned with its code. PlatformDown then means that the change may have taken
// effect, and so does PlatformConflict: another writer replaced the object while
// the answer was lost, so that the own write can no longer be recognised.
func Update[T any, P interface {
	*T
	WriterSetter
}](ctx context.Context, client Client, writer *Writer, kind Kind, name string, mutate Mutate[T]) (Object, error) {
	u := update[T, P]{client: client, kind: kind, name: name, mutate: mutate, writer: writer.NewID()}
	operation := func() (Object, error) { return u.attempt(ctx) }
	return backoff.Retry(ctx, operation, backoff.WithBackOff(writer.BackOff()),
		backoff.WithMaxTries(updateTries), backoff.WithMaxElapsedTime(0))
}

type update[T any, P interface {
	*T
	WriterSetter
}] struct {
	client Client
	kind   Kind
	name   string
	mutate Mutate[T]
	// writer is the same in every attempt: at most one attempt can take effect, as
	// each one reads first and stops when it finds its own identifier.
	writer string
	// unanswered says that an earlier put, against the version tried, may have taken
	// effect.
	unanswered bool
	tried      Version
}

func (u *update[T, P]) attempt(ctx context.Context) (Object, error) {
	current, err := u.client.Get(ctx, u.kind, u.name)
	if err != nil && !resultcode.Is(err, resultcode.PlatformNotFound) {
		return Object{}, retryable(err)
	}
	if u.unanswered && u.own(current) {
		return current, nil
	}
	if u.unanswered && current.Version != u.tried {
		return Object{}, u.overtaken()
	}
	value := P(new(T))
	if len(current.Value) > 0 {
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
		u.unanswered, u.tried = true, version
	}
	// An earlier put whose answer was lost may have been delayed in the network
	// and may have taken effect between the read and this put.
	if resultcode.Is(err, resultcode.PlatformConflict) && u.own(object) {
		return object, nil
	}
	if resultcode.Is(err, resultcode.PlatformConflict) && u.unanswered {
		return Object{}, u.overtaken()
	}
	return Object{}, retryable(err)
}

// overtaken ends an update whose unanswered put cannot be told from the put of
// another writer; applying the change again could apply it twice.
func (u *update[T, P]) overtaken() error {
	return backoff.Permanent(resultcode.New(resultcode.PlatformConflict,
		"%s/%s was replaced by another writer while an answer was lost", u.kind, u.name))
}

func (u *update[T, P]) own(object Object) bool {
	var signature WriterTag
	return json.Unmarshal(object.Value, &signature) == nil && signature.Writer == u.writer
}

// retryable marks errors that a later attempt cannot cure as permanent.
func retryable(err error) error {
	switch resultcode.Of(err) {
	case resultcode.PlatformDown, resultcode.PlatformQuota, resultcode.PlatformConflict:
		return err
	}
	return backoff.Permanent(err)
}
