package entry

import (
	"crypto/tls"
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// certificateCheckInterval limits how often the files of a certificate are examined.
const certificateCheckInterval = time.Second

// certificate reads a certificate again when its file changes. A faulty change
// leaves the previous certificate in use.
type certificate struct {
	certificateFile, keyFile string
	failed                   func(error)

	mu       sync.Mutex
	checked  time.Time
	modified time.Time
	current  *tls.Certificate
}

func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && time.Since(c.checked) < certificateCheckInterval {
		return c.current, nil
	}
	c.checked = time.Now()
	info, err := os.Stat(c.certificateFile)
	if c.current != nil && (err != nil || info.ModTime().Equal(c.modified)) {
		return c.current, nil
	}
	loaded, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		err = resultcode.Wrap(err, resultcode.SettingsTLS, "cannot load certificate %s", c.certificateFile)
		if c.current == nil {
			return nil, err
		}
		c.failed(err)
		return c.current, nil
	}
	c.current, c.modified = &loaded, info.ModTime()
	return c.current, nil
}

// callerTLS returns the TLS configuration for callers; nil without a certificate.
func (v *VM) callerTLS() (*tls.Config, error) {
	s := v.cfg.Settings.Callers
	if s.TLSCertificate == "" {
		return nil, nil
	}
	c := &certificate{
		certificateFile: s.TLSCertificate, keyFile: s.TLSKey,
		failed: func(err error) { v.log.Error().Err(err).Msg("caller certificate not reloaded") },
	}
	if _, err := c.get(nil); err != nil {
		return nil, err
	}
	return &tls.Config{GetCertificate: c.get, MinVersion: tls.VersionTLS12}, nil
}

// rawJSON is a value that is JSON text already.
type rawJSON string

// MarshalJSON returns the text.
func (r rawJSON) MarshalJSON() ([]byte, error) { return json.RawMessage(r), nil }
