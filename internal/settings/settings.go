package settings

import (
	"net/netip"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Secret is a value that is never printed.
type Secret string

// String hides the value from logs and dumps.
func (Secret) String() string { return "[hidden]" }

// GoString hides the value from %#v.
func (Secret) GoString() string { return "[hidden]" }

// MarshalText hides the value from JSON and other encoders.
func (Secret) MarshalText() ([]byte, error) { return []byte("[hidden]"), nil }

// Reveal returns the value.
func (s Secret) Reveal() string { return string(s) }

// Settings are the settings of an entry proxy process. docs/configuration.md
// describes each of them.
type Settings struct {
	VM        VM
	Callers   Callers
	Peers     Peers
	Platform  Platform
	Upstreams Upstreams
	Admin     Admin
	Shutdown  Shutdown
	Log       Log
}

// VM is the identity of this VM.
type VM struct {
	Name   ident.VMName
	Zone   ident.AvailabilityZone
	Region ident.Region
}

// Callers configures the listener for callers.
type Callers struct {
	Listen         netip.AddrPort
	TLSCertificate string
	TLSKey         string
	TLSRequired    bool
	MaxCallers     int
	// MaxMessageBytes limits one protocol message of a caller, in bytes.
	MaxMessageBytes int
	QueueDeadline   time.Duration
}

// Peers configures the connections between VMs. The three TLS files are paths.
type Peers struct {
	Listen         netip.AddrPort
	Advertise      netip.AddrPort
	Seeds          []netip.AddrPort
	TLSCertificate string
	TLSKey         string
	TLSAuthority   string
}

// Platform configures the client of the platform's object API.
type Platform struct {
	Address netip.AddrPort
	Timeout time.Duration
}

// Upstreams configures the connections to upstreams.
type Upstreams struct {
	User            string
	Password        Secret
	TLSAuthority    string
	ConnectTimeout  time.Duration
	ConfirmDeadline time.Duration
}

// Admin configures the HTTP listener of operators.
type Admin struct {
	Listen netip.AddrPort
}

// Shutdown configures planned stops.
type Shutdown struct {
	DrainDeadline time.Duration
}

// Log configures the log.
type Log struct {
	Level string
}
