package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync"

	"github.com/rosemarywall/rosemarywall/internal/certfiles"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Credentials give this VM's certificate and the authority of its peers. They
// are asked on each handshake, so a change takes effect without a stop.
type Credentials interface {
	Current() (tls.Certificate, *x509.CertPool, error)
}

// FileCredentials reads PEM files again when they change. A faulty change is
// reported once through OnError and leaves the previous certificate in use.
type FileCredentials struct {
	CertFile, KeyFile, CAFile string
	// OnError, when set, is told about files that cannot be loaded.
	OnError func(error)

	once   sync.Once
	loader certfiles.Loader[StaticCredentials]
}

// Current returns the newest usable certificate and authority. The error carries
// SettingsTLS when none was ever loaded.
func (f *FileCredentials) Current() (tls.Certificate, *x509.CertPool, error) {
	f.once.Do(func() {
		f.loader.Files = []string{f.CertFile, f.KeyFile, f.CAFile}
		f.loader.Load, f.loader.OnError = f.load, f.OnError
	})
	c, err := f.loader.Current()
	return c.Certificate, c.CAPool, err
}

func (f *FileCredentials) load() (StaticCredentials, error) {
	certificate, err := tls.LoadX509KeyPair(f.CertFile, f.KeyFile)
	if err != nil {
		return StaticCredentials{}, resultcode.Wrap(err, resultcode.SettingsTLS, "cannot load certificate %s", f.CertFile)
	}
	pem, err := os.ReadFile(f.CAFile)
	if err != nil {
		return StaticCredentials{}, resultcode.Wrap(err, resultcode.SettingsTLS, "cannot read authority %s", f.CAFile)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return StaticCredentials{}, resultcode.New(resultcode.SettingsTLS, "no certificate in authority %s", f.CAFile)
	}
	return StaticCredentials{Certificate: certificate, CAPool: authority}, nil
}

// StaticCredentials never change.
type StaticCredentials struct {
	Certificate tls.Certificate
	CAPool      *x509.CertPool
}

// Current returns the certificate and authority.
func (s StaticCredentials) Current() (tls.Certificate, *x509.CertPool, error) {
	return s.Certificate, s.CAPool, nil
}

// tlsConfig returns the configuration of one handshake in either role. Both sides
// verify the chain of the other against the peer authority; the name is checked
// when the other side has said which VM it is. The standard verification is
// replaced because VM names need not be host names.
func tlsConfig(c Credentials, refused func(error)) (*tls.Config, error) {
	certificate, authority, err := c.Current()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate},
		InsecureSkipVerify: true, ClientAuth: tls.RequestClientCert,
		VerifyConnection: func(state tls.ConnectionState) error {
			err := verifyChain(state, authority)
			if err != nil {
				refused(err)
			}
			return err
		},
	}, nil
}

func verifyChain(state tls.ConnectionState, authority *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return resultcode.New(resultcode.MessageStranger, "peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return resultcode.Wrap(err, resultcode.MessageStranger, "peer certificate is not of the peer authority")
	}
	return nil
}

// verifyName checks that the certificate names the VM, as a DNS name or as the
// common name of the subject.
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
