package objectapi

import (
	"bytes"
	"strings"
	"unicode/utf8"

	"github.com/rosemarywall/rosemarywall/internal/framing"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// IsDecoded reports whether a text is the one that was written. encoding/json puts U+FFFD in
// the place of what is not UTF-8, which makes different texts equal.
func IsDecoded(text string) bool {
	return utf8.ValidString(text) && !strings.ContainsRune(text, utf8.RuneError)
}

// CheckName returns a framing.Error for a name that a path or a body cannot carry. The path of
// an empty name is that of all objects of the kind; "." and ".." are removed from paths.
func CheckName(name string) error {
	if name == "" || name == "." || name == ".." || !IsDecoded(name) {
		return framing.New(framing.Field, "%q cannot be a name", name)
	}
	return nil
}

// CheckEncoded returns a framing.Error if encoding/json has replaced bytes that are not UTF-8
// in the text that it has encoded. It writes the escape \ufffd for them, and the character
// itself where a text holds it.
func CheckEncoded(data []byte) error {
	for {
		at := bytes.IndexByte(data, '\\')
		if at < 0 {
			return nil
		}
		if data = data[at:]; bytes.HasPrefix(data, []byte(`\ufffd`)) {
			return framing.New(framing.Field, "a text of the request is not UTF-8")
		}
		data = data[len(`\"`):]
	}
}

// check returns an error if the object is not the one of a call, or is not whole.
func (o Object) check(kind Kind, name string) error {
	if o.Kind != kind || o.Name != name || o.Version == 0 || len(o.Value) == 0 {
		return resultcode.New(resultcode.PlatformDown, "the response does not hold %s/%s", kind, name)
	}
	return nil
}

// changesResponse is Changes with a version that may be missing.
type changesResponse struct {
	Objects []Object `json:"objects"`
	Deleted []Object `json:"deleted"`
	Unnamed int      `json:"unnamed"`
	Version *Version `json:"version"`
}

func (r changesResponse) changes() (Changes, error) {
	if r.Version == nil {
		return Changes{}, resultcode.New(resultcode.PlatformDown, "the response holds no list")
	}
	return Changes{Objects: r.Objects, Deleted: r.Deleted, Unnamed: r.Unnamed, Version: *r.Version}, nil
}
