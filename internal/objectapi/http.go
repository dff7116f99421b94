package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Limits of the client.
const (
	// DefaultTimeout limits one call. The platform responds within milliseconds, so a
	// call without a response after this time is considered lost.
	DefaultTimeout = time.Second
	// MaxValueBytes is the platform's limit for the size of a value.
	MaxValueBytes = 1 << 20
	// MaxResponseBytes is the maximum size of a response. It is above the largest list.
	MaxResponseBytes = 64 << 20
	// ZoneHeader is the header with the availability zone of the client.
	ZoneHeader = "X-Availability-Zone"
)

// CallKind is a class of calls in the counters.
type CallKind string

// Classes of calls.
const (
	CallGet      CallKind = "get"
	CallList     CallKind = "list"
	CallPut      CallKind = "put"
	CallDelete   CallKind = "delete"
	CallWatch    CallKind = "watch"
	CallVMs      CallKind = "vms"
	CallAnnounce CallKind = "announce"
)

// HTTPClient is the Client that uses HTTP and JSON. It is safe for concurrent use.
type HTTPClient struct {
	base    string
	client  *http.Client
	timeout time.Duration
	zone    ident.AvailabilityZone
	calls   *expvar.Map
}

var _ Client = (*HTTPClient)(nil)

// Option changes a setting of the client.
type Option func(*HTTPClient)

// WithTimeout sets the timeout of a call. Watch adds its own timeout.
func WithTimeout(timeout time.Duration) Option {
	return func(h *HTTPClient) { h.timeout = timeout }
}

// WithZone sends the zone of this process with every call.
func WithZone(zone ident.AvailabilityZone) Option {
	return func(h *HTTPClient) { h.zone = zone }
}

// WithTransport replaces the HTTP transport.
func WithTransport(transport http.RoundTripper) Option {
	return func(h *HTTPClient) { h.client.Transport = transport }
}

// NewHTTPClient returns a client of the platform at address, IP:port.
func NewHTTPClient(address string, options ...Option) *HTTPClient {
	h := &HTTPClient{
		base: "http://" + address,
		client: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: 4},
			// The platform sends no redirection; one would lead a call to another object.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		timeout: DefaultTimeout,
		calls:   new(expvar.Map).Init(),
	}
	for _, option := range options {
		option(h)
	}
	return h
}

// Calls returns the counters of calls by kind, for publication with expvar.
func (h *HTTPClient) Calls() *expvar.Map { return h.calls }

// CloseIdle closes idle connections.
func (h *HTTPClient) CloseIdle() { h.client.CloseIdleConnections() }

// Get returns one object, or a PlatformNotFound error.
func (h *HTTPClient) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	var object Object
	err := CheckName(name)
	if err == nil {
		err = h.call(ctx, CallGet, http.MethodGet, objectPath(kind, name), nil, &object, h.timeout)
	}
	if err == nil {
		err = object.check(kind, name)
	}
	return object, err
}

// List returns the objects of a kind.
func (h *HTTPClient) List(ctx context.Context, kind Kind) (Changes, error) {
	var response changesResponse
	if err := h.call(ctx, CallList, http.MethodGet, "/v1/objects/"+url.PathEscape(string(kind)), nil, &response, h.timeout); err != nil {
		return Changes{}, err
	}
	return response.changes()
}

// PutRequest is the body of a conditional update.
type PutRequest struct {
	Value json.RawMessage `json:"value"`
	// IfVersion is the version that the object must have; nil means any.
	IfVersion *Version `json:"if_version,omitempty"`
}

// Put stores value if the object has the given version. With PlatformConflict it also
// returns the current object. It returns PlatformTooLarge without a call.
func (h *HTTPClient) Put(ctx context.Context, kind Kind, name string, value any, ifVersion Version) (Object, error) {
	if err := CheckName(name); err != nil {
		return Object{}, err
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return Object{}, resultcode.Wrap(err, resultcode.PlatformBadRequest, "encode %s/%s", kind, name)
	}
	if len(encoded) > MaxValueBytes {
		return Object{}, resultcode.New(resultcode.PlatformTooLarge, "%s/%s has %d bytes", kind, name, len(encoded))
	}
	body, err := json.Marshal(PutRequest{Value: encoded, IfVersion: &ifVersion})
	if err != nil {
		return Object{}, resultcode.Wrap(err, resultcode.PlatformBadRequest, "encode %s/%s", kind, name)
	}
	var object Object
	err = h.call(ctx, CallPut, http.MethodPut, objectPath(kind, name), body, &object, h.timeout)
	if err == nil {
		err = object.check(kind, name)
	}
	return object, err
}

// Delete removes the object if it has the given version.
func (h *HTTPClient) Delete(ctx context.Context, kind Kind, name string, ifVersion Version) error {
	if err := CheckName(name); err != nil {
		return err
	}
	path := fmt.Sprintf("%s?if_version=%d", objectPath(kind, name), ifVersion)
	return h.call(ctx, CallDelete, http.MethodDelete, path, nil, nil, h.timeout)
}

// Watch waits up to timeout for changes of the kinds after the given store version.
func (h *HTTPClient) Watch(ctx context.Context, kinds []Kind, after Version, timeout time.Duration) (Changes, error) {
	names := make([]string, len(kinds))
	for i, kind := range kinds {
		names[i] = string(kind)
	}
	query := url.Values{
		"kinds":      {strings.Join(names, ",")},
		"after":      {strconv.FormatUint(uint64(after), 10)},
		"timeout_ms": {strconv.FormatInt(timeout.Milliseconds(), 10)},
	}
	var response changesResponse
	if err := h.call(ctx, CallWatch, http.MethodGet, "/v1/watch?"+query.Encode(), nil, &response, timeout+h.timeout); err != nil {
		return Changes{}, err
	}
	return response.changes()
}

// VMs returns the platform's list of VMs, which is eventually consistent.
func (h *HTTPClient) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := h.call(ctx, CallVMs, http.MethodGet, "/v1/vms", nil, &vms, h.timeout)
	return vms, err
}

// Announce reports this VM to the platform, which lists it after a delay and removes
// it when announcements stop.
func (h *HTTPClient) Announce(ctx context.Context, vm VM) error {
	if err := CheckName(string(vm.Name)); err != nil {
		return err
	}
	body, err := json.Marshal(vm)
	if err != nil {
		return resultcode.Wrap(err, resultcode.PlatformBadRequest, "encode VM %s", vm.Name)
	}
	return h.call(ctx, CallAnnounce, http.MethodPut, "/v1/vms/"+url.PathEscape(string(vm.Name)), body, nil, h.timeout)
}

func objectPath(kind Kind, name string) string {
	return "/v1/objects/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

// call sends one request. The response to a conflict is also decoded into out.
func (h *HTTPClient) call(ctx context.Context, kind CallKind, method, path string, body []byte, out any, timeout time.Duration) error {
	if err := CheckEncoded(body); err != nil {
		return err
	}
	h.calls.Add(string(kind), 1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, h.base+path, bytes.NewReader(body))
	if err != nil {
		return resultcode.Wrap(err, resultcode.PlatformBadRequest, "%s", path)
	}
	if h.zone != "" {
		request.Header.Set(ZoneHeader, string(h.zone))
	}
	response, err := h.client.Do(request)
	if err != nil {
		return resultcode.Wrap(err, resultcode.PlatformDown, "%s %s", method, path)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes+1))
	if err != nil {
		return resultcode.Wrap(err, resultcode.PlatformDown, "%s %s: incomplete response", method, path)
	}
	if len(content) > MaxResponseBytes {
		return resultcode.New(resultcode.PlatformDown, "%s %s: the response is larger than %d bytes", method, path, MaxResponseBytes)
	}
	return decode(response.StatusCode, method+" "+path, content, out)
}

func decode(status int, call string, content []byte, out any) error {
	failure := statusError(status, call)
	if failure != nil && status != http.StatusConflict {
		return failure
	}
	// Only the response to a conflict may be empty.
	if out != nil && (failure == nil || len(content) > 0) {
		if !utf8.Valid(content) {
			return resultcode.New(resultcode.PlatformDown, "%s: response is not UTF-8", call)
		}
		if err := json.Unmarshal(content, out); err != nil {
			return resultcode.Wrap(err, resultcode.PlatformDown, "%s: malformed response", call)
		}
	}
	if failure != nil {
		return failure
	}
	return nil
}

func statusError(status int, call string) error {
	code := resultcode.PlatformBadRequest
	switch {
	case status >= 200 && status < 300:
		return nil
	case status >= 500 || status < 400:
		code = resultcode.PlatformDown
	case status == http.StatusNotFound:
		code = resultcode.PlatformNotFound
	case status == http.StatusConflict:
		code = resultcode.PlatformConflict
	case status == http.StatusRequestEntityTooLarge:
		code = resultcode.PlatformTooLarge
	case status == http.StatusTooManyRequests:
		code = resultcode.PlatformQuota
	}
	return resultcode.New(code, "%s: status %d", call, status)
}
