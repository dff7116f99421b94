package frontend

import (
	"crypto/tls"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/upstream"
	"github.com/rs/zerolog"
)

// Defaults of Config.
const (
	defaultMaxCallers     = 10000
	defaultMaxMessage     = 16 << 20 // bytes
	defaultQueueTimeout   = 5 * time.Second
	defaultStartupTimeout = 10 * time.Second
	defaultWriteTimeout   = time.Minute
	defaultServerVersion  = "16.0"
)

// Config configures a Server.
type Config struct {
	Authoriser request.Authoriser
	Limiter    request.Limiter
	Router     request.Router
	Pools      *upstream.Pools
	// TLS is offered to callers when it is not nil. Set GetCertificate in it to
	// reload certificates.
	TLS *tls.Config
	// RequireTLS refuses callers without TLS.
	RequireTLS bool
	// MaxCallers is the number of connected callers; default 10000.
	MaxCallers int
	// MaxMessage is the size in bytes of the largest message and of the largest
	// extended batch of a caller; default 16 MiB. COPY data is not bounded.
	MaxMessage int
	// QueueTimeout is how long a request waits for an upstream; default 5 s.
	QueueTimeout time.Duration
	// StartupTimeout bounds startup and authentication; default 10 s.
	StartupTimeout time.Duration
	// WriteTimeout is how long a caller may take to accept a part of an answer, so
	// that a caller that stops reading does not keep its upstream; default 1 min.
	WriteTimeout time.Duration
	// ConfirmTimeout bounds the confirmation of a commit; default 5 s.
	ConfirmTimeout time.Duration
	// FirstComeQueue serves waiting requests in the order of their arrival, as a
	// baseline for measurements.
	FirstComeQueue bool
	// PlainWrites forwards single writes without BEGIN and COMMIT.
	PlainWrites bool
	// ServerVersion is reported until an upstream has reported its own.
	ServerVersion string
	// Now is the time since process start; by default the time since NewServer.
	Now func() time.Duration
	// Counters are created when nil.
	Counters *filter.Counters
	Logger   zerolog.Logger
}

func (c *Config) setDefaults() {
	if c.MaxCallers == 0 {
		c.MaxCallers = defaultMaxCallers
	}
	if c.MaxMessage == 0 {
		c.MaxMessage = defaultMaxMessage
	}
	setDefault(&c.QueueTimeout, defaultQueueTimeout)
	setDefault(&c.StartupTimeout, defaultStartupTimeout)
	setDefault(&c.WriteTimeout, defaultWriteTimeout)
	if c.ServerVersion == "" {
		c.ServerVersion = defaultServerVersion
	}
	if c.Now == nil {
		start := time.Now()
		c.Now = func() time.Duration { return time.Since(start) }
	}
	if c.Counters == nil {
		c.Counters = &filter.Counters{}
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
