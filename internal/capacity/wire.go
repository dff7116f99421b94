package capacity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/peer"
)

// Overheads of one message in bytes.
const (
	tlsRecord    = 5 + 1 + 16 // header, content type, authentication tag of TLS 1.3
	webSocketMin = 2 + 4      // header and mask of a frame of a client
	// upgradeBytes are the HTTP request and answer that open a WebSocket, with the
	// hello messages of both sides.
	upgradeBytes = 260 + 170 + 2*120
)

// wireBytes is the size of an encoded envelope on a connection.
func wireBytes(envelope int) int {
	extended := 0
	switch {
	case envelope >= 1<<16:
		extended = 8
	case envelope > 125:
		extended = 2
	}
	records := 1 + envelope/(16<<10)
	return envelope + webSocketMin + extended + records*tlsRecord
}

// messageBytes is the size on a connection of a message with this body.
func messageBytes(from peer.Member, kind peer.Kind, body any) (int, error) {
	n, err := peer.EncodedSize(from, kind, body)
	return wireBytes(n), err
}

// countingConn counts the bytes written.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// handshake is the cost of opening a connection, both sides together.
type handshake struct {
	Bytes     float64       // on the wire
	Processor time.Duration // of both sides
}

// measureHandshake runs mutual TLS 1.3 handshakes with P-256 certificates of one
// authority, as the mesh uses.
func measureHandshake(rounds int) (handshake, error) {
	certificate, pool, err := certificates()
	if err != nil {
		return handshake{}, err
	}
	cfg := &tls.Config{
		Certificates: []tls.Certificate{certificate}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, ServerName: "vm", MinVersion: tls.VersionTLS13,
		SessionTicketsDisabled: true,
	}
	var written atomic.Int64
	start := processorTime()
	for range rounds {
		a, b := net.Pipe()
		server := tls.Server(countingConn{a, &written}, cfg)
		failed := make(chan error, 1)
		go func() { failed <- server.Handshake() }()
		err := tls.Client(countingConn{b, &written}, cfg).Handshake()
		if err = errors.CombineErrors(err, <-failed); err != nil {
			return handshake{}, err
		}
	}
	used := processorTime() - start
	return handshake{float64(written.Load())/float64(rounds) + upgradeBytes, used / time.Duration(rounds)}, nil
}

func certificates() (tls.Certificate, *x509.CertPool, error) {
	var none tls.Certificate
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return none, nil, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return none, nil, err
	}
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "peer authority"}, IsCA: true,
		BasicConstraintsValid: true, NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "vm"}, DNSNames: []string{"vm"},
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	signed, err := x509.CreateCertificate(rand.Reader, leaf, authority, &key.PublicKey, authorityKey)
	if err != nil {
		return none, nil, err
	}
	self, err := x509.CreateCertificate(rand.Reader, authority, authority, &authorityKey.PublicKey, authorityKey)
	if err != nil {
		return none, nil, err
	}
	root, err := x509.ParseCertificate(self)
	if err != nil {
		return none, nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(root)
	return tls.Certificate{Certificate: [][]byte{signed}, PrivateKey: key}, pool, nil
}
