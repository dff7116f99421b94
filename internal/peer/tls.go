package peer

import (
	"crypto/tls"
	"crypto/x509"
	"slices"
	"sync"

	"github.com/rosemarywall/rosemarywall/internal/certfiles"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Credentials provides the certificate of this VM and the CA of its peers. Current is
// called for each handshake, so a change takes effect without a restart.
type Credentials interface {
	Current() (tls.Certificate, *x509.CertPool, error)
}

// FileCredentials loads PEM files and reloads them when they change. An invalid change
// is reported once through OnError, and the previous certificate remains in use.
type FileCredentials struct {
	CertFile, KeyFile, CAFile string
	// OnError, if set, is called with the error when the files cannot be loaded.
	OnError func(error)

	once   sync.Once
	loader certfiles.Loader[StaticCredentials]
}

// Current returns the most recent valid certificate and CA. The error carries
// SettingsTLS if none has been loaded yet.
func (f *FileCredentials) Current() (tls.Certificate, *x509.CertPool, error) {
	f.once.Do(func() {
		f.loader.Files = []string{f.CertFile, f.KeyFile, f.CAFile}
		f.loader.Load, f.loader.OnError = f.load, f.OnError
	})
	c, err := f.loader.Current()
	return c.Certificate, c.CAPool, err
}

func (f *FileCredentials) load() (StaticCredentials, error) {
	certificate, err := certfiles.LoadPair(f.CertFile, f.KeyFile)
	if err != nil {
		return StaticCredentials{}, resultcode.Wrap(err, resultcode.SettingsTLS, "cannot load certificate %s", f.CertFile)
	}
	caPool, err := certfiles.LoadPool(f.CAFile)
	if err != nil {
		return StaticCredentials{}, resultcode.Wrap(err, resultcode.SettingsTLS, "cannot load CA file %s", f.CAFile)
	}
	return StaticCredentials{Certificate: certificate, CAPool: caPool}, nil
}

// StaticCredentials are Credentials that do not change.
type StaticCredentials struct {
	Certificate tls.Certificate
	CAPool      *x509.CertPool
}

// Current implements Credentials.
func (s StaticCredentials) Current() (tls.Certificate, *x509.CertPool, error) {
	return s.Certificate, s.CAPool, nil
}

// tlsConfig returns the TLS configuration of one handshake, for clients and servers.
// Each side verifies the certificate chain of the other against the peer CA. The VM
// name is verified after the hello, which contains it. This replaces the standard
// verification, because VM names need not be host names.
func tlsConfig(c Credentials, refused func(error)) (*tls.Config, error) {
	certificate, caPool, err := c.Current()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate},
		InsecureSkipVerify: true, ClientAuth: tls.RequestClientCert,
		VerifyConnection: func(state tls.ConnectionState) error {
			err := verifyChain(state, caPool)
			if err != nil {
				refused(err)
			}
			return err
		},
	}, nil
}

func verifyChain(state tls.ConnectionState, caPool *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return resultcode.New(resultcode.MessageStranger, "peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: caPool, Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return resultcode.Wrap(err, resultcode.MessageStranger, "peer certificate is not signed by the peer CA")
	}
	return nil
}

// verifyName checks that the peer certificate contains the VM name as a DNS name or as
// the subject common name.
func verifyName(state *tls.ConnectionState, name ident.VMName) error {
	if state == nil || len(state.PeerCertificates) == 0 {
		return resultcode.New(resultcode.MessageStranger, "peer presented no certificate")
	}
	leaf := state.PeerCertificates[0]
	if leaf.Subject.CommonName != string(name) && !slices.Contains(leaf.DNSNames, string(name)) {
		return resultcode.New(resultcode.MessageStranger, "peer certificate does not name VM %q", name)
	}
	return nil
}
