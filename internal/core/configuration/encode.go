package configuration

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// MaxEncodedBytes limits the size of an encoded configuration. Base64-encoded in
	// a JSON object it stays below the platform's limit of 1 MB.
	MaxEncodedBytes = 700 << 10
	// maxDecodedBytes bounds the memory that decompressing a corrupt value can use.
	maxDecodedBytes = 64 << 20
)

// Encode returns the configuration as gzip-compressed JSON. Equal configurations
// have equal encodings, because encoding/json sorts map keys and the gzip header
// contains no timestamp.
func Encode(c *Configuration) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write(marshalJSON(c))
	if err = errors.CombineErrors(err, w.Close()); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "compress configuration"))
	}
	return b.Bytes()
}

// marshalJSON returns the configuration as JSON with sorted map keys.
func marshalJSON(c *Configuration) []byte {
	encoded, err := json.Marshal(c)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode configuration"))
	}
	return encoded
}

// Digest returns the SHA-256 hash of the uncompressed encoding. The compressed form
// may differ between versions of the program.
func Digest(c *Configuration) []byte {
	sum := sha256.Sum256(marshalJSON(c))
	return sum[:]
}

// Decode parses the output of Encode. A configuration with a name or an address that no note
// can set is an error, a framing.Error.
func Decode(data []byte) (*Configuration, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "configuration is not compressed")
	}
	decompressed, err := io.ReadAll(io.LimitReader(r, maxDecodedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	if len(decompressed) > maxDecodedBytes {
		return nil, errors.Newf("configuration is larger than %d bytes", maxDecodedBytes)
	}
	c := Empty()
	if err := json.Unmarshal(decompressed, c); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	if err := checkNames(c); err != nil {
		return nil, err
	}
	return clone(c), nil
}

// HashKey returns the hash of a key. Keys are stored and compared only as hashes.
func HashKey(key string) [sha256.Size]byte { return sha256.Sum256([]byte(key)) }
