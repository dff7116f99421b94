// Package httpserver bounds the HTTP servers for probes, metrics, dumps and operators.
package httpserver

import (
	"encoding/json"
	"io"
	"log"
	"net/http"
	"time"
)

// Bounds of a request. Their requests have few headers and, but for release notes, no body.
const (
	// MaxHeaderBytes is the maximum size of the request line and the headers, to which
	// net/http adds 4 KiB.
	MaxHeaderBytes = 16 << 10
	// ReadTimeout limits the time for reading a request with its body.
	ReadTimeout = 30 * time.Second
	// IdleTimeout is the time after which an unused connection is closed. It is above the
	// interval of probes and of the collection of metrics.
	IdleTimeout = 2 * time.Minute
)

// New returns a server with bounds for its requests. headerTimeout limits the time for reading
// a header.
func New(handler http.Handler, headerTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: ReadTimeout, IdleTimeout: IdleTimeout,
		MaxHeaderBytes: MaxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0),
	}
}

// WriteJSON writes a value as indented JSON. A value that cannot be encoded gets status 500, and
// the error is returned, as is that of the connection.
func WriteJSON(w http.ResponseWriter, value any) error {
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		http.Error(w, "the response cannot be encoded", http.StatusInternalServerError)
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(append(body, '\n'))
	return err
}
