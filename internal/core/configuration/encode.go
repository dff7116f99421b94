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
	// MaxEncodedBytes limits an encoded configuration. In base64 inside a JSON object
	// it stays below the platform's limit of 1 MB.
	MaxEncodedBytes = 700 << 10
	// maxDecodedBytes stops a damaged value from filling the memory.
	maxDecodedBytes = 64 << 20
)

// Encode returns the configuration as compressed JSON. Equal configurations give
// equal bytes, because encoding/json sorts map keys and no time is stored.
func Encode(c *Configuration) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write(marshalJSON(c))
	if err = errors.CombineErrors(err, w.Close()); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "compress configuration"))
	}
	return b.Bytes()
}

// marshalJSON returns the configuration as JSON with sorted members.
func marshalJSON(c *Configuration) []byte {
	encoded, err := json.Marshal(c)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode configuration"))
	}
	return encoded
}

// Digest identifies the content of a configuration. It does not depend on the
// compression, which may differ between versions of the program.
func Digest(c *Configuration) []byte {
	sum := sha256.Sum256(marshalJSON(c))
	return sum[:]
}

// Decode reads the result of Encode. The error says what is malformed.
func Decode(data []byte) (*Configuration, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "configuration is not compressed")
	}
	decompressed, err := io.ReadAll(io.LimitReader(r, maxDecodedBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	c := Empty()
	if err := json.Unmarshal(decompressed, c); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	return clone(c), nil
}

// HashKey returns the only form in which a key is stored and compared.
func HashKey(key string) [sha256.Size]byte { return sha256.Sum256([]byte(key)) }
