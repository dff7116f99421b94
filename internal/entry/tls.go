package entry

import (
	"crypto/tls"

	"github.com/rosemarywall/rosemarywall/internal/certfiles"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// callerTLS returns the TLS configuration for callers; nil without a certificate. The
// files are read again when they change.
func (v *VM) callerTLS() (*tls.Config, error) {
	s := v.cfg.Settings.Callers
	if s.TLSCertificate == "" {
		return nil, nil
	}
	loader := &certfiles.Loader[*tls.Certificate]{
		Files: []string{s.TLSCertificate, s.TLSKey},
		Load: func() (*tls.Certificate, error) {
			loaded, err := tls.LoadX509KeyPair(s.TLSCertificate, s.TLSKey)
			if err != nil {
				return nil, resultcode.Wrap(err, resultcode.SettingsTLS, "cannot load certificate %s", s.TLSCertificate)
			}
			return &loaded, nil
		},
		OnError: func(err error) { v.log.Error().Err(err).Msg("caller certificate not reloaded") },
	}
	if _, err := loader.Current(); err != nil {
		return nil, err
	}
	get := func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return loader.Current() }
	return &tls.Config{GetCertificate: get, MinVersion: tls.VersionTLS12}, nil
}
