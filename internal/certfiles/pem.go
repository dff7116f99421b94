package certfiles

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// LoadPair reads a certificate with its chain and the private key. A file that holds an
// incomplete block, as one that is half written, is an error.
func LoadPair(certFile, keyFile string) (tls.Certificate, error) {
	certificate, err := readWhole(certFile)
	if err != nil {
		return tls.Certificate{}, err
	}
	key, err := readWhole(keyFile)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.X509KeyPair(certificate, key)
}

// LoadPool reads the certificates of authorities. A file without any, with an invalid one or with
// an incomplete block is an error.
func LoadPool(file string) (*x509.CertPool, error) {
	data, err := readWhole(file)
	if err != nil {
		return nil, err
	}
	pool, found := x509.NewCertPool(), false
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != "CERTIFICATE" {
			continue
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, errors.Wrapf(err, "invalid certificate in %s", file)
		}
		pool.AddCert(certificate)
		found = true
	}
	if !found {
		return nil, errors.Newf("no certificate in %s", file)
	}
	return pool, nil
}

// blockStart begins a block at the beginning of a line.
const blockStart = "-----BEGIN"

// readWhole reads a PEM file. The decoder skips a block without its end, so the beginnings of
// blocks are counted.
func readWhole(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	begun := bytes.Count(append([]byte("\n"), data...), []byte("\n"+blockStart))
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		begun--
	}
	last := string(data[bytes.LastIndexByte(data, '\n')+1:])
	if begun != 0 || last != "" && strings.HasPrefix(blockStart, last) {
		return nil, errors.Newf("%s holds an incomplete block; it may be half written", file)
	}
	return data, nil
}
