package entry

import (
	"crypto/tls"

	"github.com/rosemarywall/rosemarywall/internal/certfiles"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// clientTLS returns the TLS configuration for client connections, or nil if no
// certificate is set. The certificate files are reloaded when they change.
func (v *VM) clientTLS() (*tls.Config, error) {
	s := v.cfg.Settings.Callers
	if s.TLSCertificate == "" {
		return nil, nil
	}
	loader := &certfiles.Loader[*tls.Certificate]{
		Files: []string{s.TLSCertificate, s.TLSKey},
		Load: func() (*tls.Certificate, error) {
			loaded, err := certfiles.LoadPair(s.TLSCertificate, s.TLSKey)
			if err != nil {
				return nil, resultcode.Wrap(err, resultcode.SettingsTLS, "cannot load certificate %s", s.TLSCertificate)
			}
			return &loaded, nil
		},
		OnError: func(err error) { v.log.Error().Err(err).Msg("cannot reload client listener certificate") },
	}
	if _, err := loader.Current(); err != nil {
		return nil, err
	}
	get := func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return loader.Current() }
	return &tls.Config{GetCertificate: get, MinVersion: tls.VersionTLS12}, nil
}
