package certfiles

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// certificate returns a self-signed certificate and its key as PEM.
func certificate(t *testing.T) (cert, key []byte) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotAfter: time.Unix(1<<32, 0), IsCA: true}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	assert.NilError(t, err)
	secret, err := x509.MarshalECPrivateKey(private)
	assert.NilError(t, err)
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: secret})
}

// Guards against a half-written file that is taken for one with fewer authorities, or for a
// shorter chain.
func TestHalfWrittenFilesAreRefused(t *testing.T) {
	first, key := certificate(t)
	second, _ := certificate(t)
	directory := t.TempDir()
	certFile, keyFile := filepath.Join(directory, "cert"), filepath.Join(directory, "key")
	both := append(bytes.Clone(first), second...)
	assert.NilError(t, os.WriteFile(keyFile, key, 0o600))
	for end := range len(both) - 1 { // the last line may lack its end
		if end == len(first) || end == len(first)-1 {
			continue // whole blocks; -1 lacks the line end only
		}
		assert.NilError(t, os.WriteFile(certFile, both[:end], 0o600))
		_, err := LoadPool(certFile)
		assert.Assert(t, err != nil, "pool of %d bytes", end)
		_, err = LoadPair(certFile, keyFile)
		assert.Assert(t, err != nil, "pair of %d bytes", end)
	}
	assert.NilError(t, os.WriteFile(certFile, both, 0o600))
	_, err := LoadPool(certFile)
	assert.NilError(t, err)
	loaded, err := LoadPair(certFile, keyFile)
	assert.NilError(t, err)
	assert.Equal(t, len(loaded.Certificate), 2)
	for end := range len(key) - 1 {
		assert.NilError(t, os.WriteFile(keyFile, key[:end], 0o600))
		_, err = LoadPair(certFile, keyFile)
		assert.Assert(t, err != nil, "key of %d bytes", end)
	}
	odd := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: []byte("odd")})
	assert.NilError(t, os.WriteFile(certFile, append(bytes.Clone(first), odd...), 0o600))
	_, err = LoadPool(certFile)
	assert.ErrorContains(t, err, "invalid certificate")
}
