package settings

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// option describes one setting. store parses the text and puts the value into
// the settings; its error names what is expected.
type option struct {
	section string
	name    string
	initial string // used when the setting is absent; empty for none
	needed  bool   // an absent setting is a problem
	bounds  string // accepted values with their unit, for the page
	meaning string
	store   func(*Settings, string) error
}

// Connection limits: the design target is 20 million callers on 3,700 VMs, 5,400
// on each, so the default leaves room for the callers of failed VMs.
var table = []option{
	{"vm", "name", "", true, nameBounds, "Name of this VM; unique in the fleet and the name in its peer certificate.",
		name(func(s *Settings, v string) { s.VM.Name = ident.VMName(v) })},
	{"vm", "zone", "", true, nameBounds, "Availability zone of this VM.",
		name(func(s *Settings, v string) { s.VM.Zone = ident.AvailabilityZone(v) })},
	{"vm", "region", "", true, nameBounds, "Region that contains the availability zone.",
		name(func(s *Settings, v string) { s.VM.Region = ident.Region(v) })},

	{"callers", "listen", "", true, addressBounds, "Address on which callers connect.",
		address(func(s *Settings) *addrPort { return &s.Callers.Listen })},
	{"callers", "tls_certificate", "", false, pathBounds, "Certificate shown to callers. Needs `tls_key`.",
		text(func(s *Settings) *string { return &s.Callers.TLSCertificate })},
	{"callers", "tls_key", "", false, pathBounds, "Private key of `tls_certificate`.",
		text(func(s *Settings) *string { return &s.Callers.TLSKey })},
	{"callers", "tls_required", "no", false, flagBounds, "Refuses callers without TLS. Needs `tls_certificate`.",
		flag(func(s *Settings) *bool { return &s.Callers.TLSRequired })},
	integer("callers", "max_callers", "20000", 1, 1_000_000, "connections", "Caller connections that this VM holds at most.",
		func(s *Settings) *int { return &s.Callers.MaxCallers }),
	integer("callers", "max_message_bytes", "16777216", 1024, 1<<30, "bytes", "Size limit of one message of a caller.",
		func(s *Settings) *int { return &s.Callers.MaxMessageBytes }),
	duration("callers", "queue_deadline", "5s", time.Millisecond, 10*time.Minute, "Time that a request waits for an upstream before it is refused as not run.",
		func(s *Settings) *time.Duration { return &s.Callers.QueueDeadline }),

	{"peers", "listen", "", true, addressBounds, "Address on which other VMs connect.",
		address(func(s *Settings) *addrPort { return &s.Peers.Listen })},
	{"peers", "advertise", "", false, addressBounds, "Address that other VMs use for this VM; `listen` when absent.",
		address(func(s *Settings) *addrPort { return &s.Peers.Advertise })},
	{"peers", "seeds", "", false, "comma-separated IP:port", "VMs to contact first, for a start while the platform is down.",
		addresses(func(s *Settings) *[]addrPort { return &s.Peers.Seeds })},
	{"peers", "tls_certificate", "", true, pathBounds, "Certificate of this VM for other VMs; it names the VM.",
		text(func(s *Settings) *string { return &s.Peers.TLSCertificate })},
	{"peers", "tls_key", "", true, pathBounds, "Private key of `tls_certificate`.",
		text(func(s *Settings) *string { return &s.Peers.TLSKey })},
	{"peers", "tls_authority", "", true, pathBounds, "Certificate authority of all VMs.",
		text(func(s *Settings) *string { return &s.Peers.TLSAuthority })},

	{"platform", "address", "", true, addressBounds, "Object API of the platform.",
		address(func(s *Settings) *addrPort { return &s.Platform.Address })},
	duration("platform", "timeout", "2s", 10*time.Millisecond, time.Minute, "Deadline of a call; a watch has its own waiting time in addition.",
		func(s *Settings) *time.Duration { return &s.Platform.Timeout }),

	{"upstreams", "user", "", true, "text", "User name on the upstreams.",
		text(func(s *Settings) *string { return &s.Upstreams.User })},
	{"upstreams", "password", "", false, "text", "Password on the upstreams; never logged or dumped.",
		func(s *Settings, v string) error { s.Upstreams.Password = Secret(v); return nil }},
	{"upstreams", "tls_authority", "", false, pathBounds, "Certificate authority of the upstreams; connections use TLS when set.",
		text(func(s *Settings) *string { return &s.Upstreams.TLSAuthority })},
	duration("upstreams", "connect_timeout", "2s", 10*time.Millisecond, time.Minute, "Deadline for opening an upstream connection.",
		func(s *Settings) *time.Duration { return &s.Upstreams.ConnectTimeout }),
	duration("upstreams", "confirm_deadline", "5s", 10*time.Millisecond, time.Minute, "Time that a write waits for a replica to confirm it.",
		func(s *Settings) *time.Duration { return &s.Upstreams.ConfirmDeadline }),

	{"admin", "listen", "", true, addressBounds, "Address of health checks, metrics, dumps and release notes. Reachable by operators only.",
		address(func(s *Settings) *addrPort { return &s.Admin.Listen })},

	duration("shutdown", "drain_deadline", "30s", 0, time.Hour, "Longest time of a planned stop. Its end is kept for running statements, after open transactions have been rolled back.",
		func(s *Settings) *time.Duration { return &s.Shutdown.DrainDeadline }),

	choice("log", "level", "info", []string{"debug", "info", "warn", "error"}, "Lowest level that is logged.",
		func(s *Settings) *string { return &s.Log.Level }),
}
