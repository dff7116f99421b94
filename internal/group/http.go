package group

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Timeouts of the client.
const (
	// DefaultTimeout limits calls to which the agent responds at once.
	DefaultTimeout = time.Second
	// HandoverTimeout limits a handover, which waits for open transactions.
	HandoverTimeout = 10 * time.Second
	// StreamTimeout limits the time between two lines of a stream. Members send a line
	// at least every 100 ms, so at least ten lines are missing when it expires.
	StreamTimeout = time.Second
)

// ErrRefused reports that the member rejected the call because of its term or state.
var ErrRefused = errors.New("member agent refused the call")

// ErrUnresponsive reports that a stream delivered no line for StreamTimeout.
var ErrUnresponsive = errors.New("member agent stream is unresponsive")

// HTTPAgent is the Agent that uses HTTP and JSON. It is safe for concurrent use.
type HTTPAgent struct {
	base   string
	client *http.Client
	zone   ident.AvailabilityZone
	// statusClient handles Status calls once its connection is open.
	statusClient *statusClient
}

var _ Agent = (*HTTPAgent)(nil)

// Option changes a setting of the client.
type Option func(*HTTPAgent)

// WithZone sends the zone of this process with every call.
func WithZone(zone ident.AvailabilityZone) Option {
	return func(h *HTTPAgent) { h.zone = zone }
}

// WithTransport replaces the HTTP transport.
func WithTransport(transport http.RoundTripper) Option {
	return func(h *HTTPAgent) { h.client.Transport = transport }
}

// NewHTTPAgent returns a client of the member agent at address, IP:port.
func NewHTTPAgent(address string, options ...Option) *HTTPAgent {
	h := &HTTPAgent{base: "http://" + address, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
	h.statusClient = &statusClient{agent: h}
	for _, option := range options {
		option(h)
	}
	return h
}

// Close closes idle connections to the agent and the connection for Status calls.
func (h *HTTPAgent) Close() {
	h.statusClient.close()
	h.client.CloseIdleConnections()
}

// Request and response bodies of the calls.
type (
	// FenceRequest is the body of fence and promote.
	FenceRequest struct {
		Term     ident.Term `json:"term"`
		Proposer string     `json:"proposer"`
	}
	// FollowRequest is the body of follow.
	FollowRequest struct {
		Term    ident.Term         `json:"term"`
		Primary ident.UpstreamName `json:"primary"`
		// PrimaryAddress is the address of the primary's agent, IP:port.
		PrimaryAddress string `json:"primary_address"`
	}
	// HandoverRequest is the body of handover.
	HandoverRequest struct {
		Term ident.Term `json:"term"`
	}
	// TransactionResponse is the response to a transaction query.
	TransactionResponse struct {
		State TransactionState `json:"state"`
	}
)

// Status returns the current status.
func (h *HTTPAgent) Status(ctx context.Context) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	if c := h.statusClient.current(); c != nil {
		return h.statusClient.call(ctx, c)
	}
	var status Status
	err := h.call(ctx, DefaultTimeout, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// Fence raises the member's term. ErrRefused means that the term is not higher than
// the member's, or that another proposer has claimed it.
func (h *HTTPAgent) Fence(ctx context.Context, term ident.Term, proposer string) (Status, error) {
	return h.post(ctx, DefaultTimeout, "/v1/fence", FenceRequest{Term: term, Proposer: proposer})
}

// Promote makes a member that was fenced for the term its primary.
func (h *HTTPAgent) Promote(ctx context.Context, term ident.Term, proposer string) (Status, error) {
	return h.post(ctx, DefaultTimeout, "/v1/promote", FenceRequest{Term: term, Proposer: proposer})
}

// Follow makes the member a replica of the primary of the term. primaryAgent is
// the address of the primary's agent.
func (h *HTTPAgent) Follow(ctx context.Context, term ident.Term, primary ident.UpstreamName, primaryAgent string) (Status, error) {
	request := FollowRequest{Term: term, Primary: primary, PrimaryAddress: primaryAgent}
	return h.post(ctx, DefaultTimeout, "/v1/follow", request)
}

// Handover stops accepting write transactions and waits for the open ones to end.
func (h *HTTPAgent) Handover(ctx context.Context, term ident.Term) (Status, error) {
	return h.post(ctx, HandoverTimeout, "/v1/handover", HandoverRequest{Term: term})
}

// Transaction returns the state of a transaction of the group.
func (h *HTTPAgent) Transaction(ctx context.Context, id string) (TransactionState, error) {
	var response TransactionResponse
	err := h.call(ctx, DefaultTimeout, http.MethodGet, "/v1/transaction/"+url.PathEscape(id), nil, &response)
	return response.State, err
}

// Stream calls onStatus for each status line until ctx ends or the stream
// breaks. It always returns an error: ctx.Err(), ErrUnresponsive, or the cause.
func (h *HTTPAgent) Stream(ctx context.Context, onStatus func(Status)) error {
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(StreamTimeout, func() { cancel(ErrUnresponsive) })
	defer timer.Stop()
	response, err := h.do(streamCtx, http.MethodGet, "/v1/stream", nil)
	if err != nil {
		return streamError(streamCtx, err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		timer.Reset(StreamTimeout)
		var status Status
		if err := json.Unmarshal(lines.Bytes(), &status); err != nil {
			return errors.Wrap(err, "decode status line")
		}
		onStatus(status)
	}
	if err := lines.Err(); err != nil {
		return streamError(streamCtx, err)
	}
	return streamError(streamCtx, io.ErrUnexpectedEOF)
}

// streamError returns the cause of the end of the context, or err if it has not ended.
func streamError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func (h *HTTPAgent) post(ctx context.Context, timeout time.Duration, path string, body any) (Status, error) {
	var status Status
	err := h.call(ctx, timeout, http.MethodPost, path, body, &status)
	return status, err
}

func (h *HTTPAgent) call(ctx context.Context, timeout time.Duration, method, path string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := h.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		return errors.Wrapf(err, "decode response of %s", path)
	}
	return nil
}

// do sends a request and returns the response if its status is 200.
func (h *HTTPAgent) do(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrapf(err, "encode %s", path)
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, h.base+path, content)
	if err != nil {
		return nil, errors.Wrapf(err, "%s", path)
	}
	if h.zone != "" {
		request.Header.Set("X-Availability-Zone", string(h.zone))
	}
	response, err := h.client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s", method, path)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	reason, _ := io.ReadAll(io.LimitReader(response.Body, 512))
	failure := fmt.Sprintf("%s %s: status %d: %s", method, path, response.StatusCode, bytes.TrimSpace(reason))
	if response.StatusCode == http.StatusConflict {
		return nil, errors.Wrap(ErrRefused, failure)
	}
	return nil, errors.New(failure)
}
