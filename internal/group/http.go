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

// Time bounds of the client.
const (
	// DefaultTimeout bounds calls that answer at once.
	DefaultTimeout = time.Second
	// HandoverTimeout bounds a handover, which waits for running transactions.
	HandoverTimeout = 10 * time.Second
	// StreamTimeout is the longest silence of a stream. Members send a line at least
	// every 100 ms, so ten lines were lost by then.
	StreamTimeout = time.Second
)

// ErrRefused says that the member rejected the call, because of its term or state.
var ErrRefused = errors.New("member agent refused the call")

// ErrUnresponsive says that a stream carried no line for StreamTimeout.
var ErrUnresponsive = errors.New("member agent stream is silent")

// HTTPAgent is the Agent over HTTP and JSON. It is safe for concurrent use.
type HTTPAgent struct {
	base   string
	client *http.Client
	zone   ident.AvailabilityZone
	// questions carries Status calls once its connection is open.
	questions *questions
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
	h.questions = &questions{agent: h}
	for _, option := range options {
		option(h)
	}
	return h
}

// Close closes the connections to the agent that carry no call or only questions.
func (h *HTTPAgent) Close() {
	h.questions.close()
	h.client.CloseIdleConnections()
}

// Requests of the calls that change a member.
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
	// TransactionResponse is the answer of a transaction query.
	TransactionResponse struct {
		State TransactionState `json:"state"`
	}
)

// Status asks for the current status.
func (h *HTTPAgent) Status(ctx context.Context) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	if c := h.questions.current(); c != nil {
		return h.questions.ask(ctx, c)
	}
	var status Status
	err := h.call(ctx, DefaultTimeout, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// Fence raises the member's term. ErrRefused means that the term is not above
// the member's, or was taken by another proposer.
func (h *HTTPAgent) Fence(ctx context.Context, term ident.Term, proposer string) (Status, error) {
	return h.post(ctx, DefaultTimeout, "/v1/fence", FenceRequest{Term: term, Proposer: proposer})
}

// Promote makes a member that was fenced at the term its primary.
func (h *HTTPAgent) Promote(ctx context.Context, term ident.Term, proposer string) (Status, error) {
	return h.post(ctx, DefaultTimeout, "/v1/promote", FenceRequest{Term: term, Proposer: proposer})
}

// Follow makes the member a replica of the primary of the term. primaryAgent is
// the address of the primary's agent.
func (h *HTTPAgent) Follow(ctx context.Context, term ident.Term, primary ident.UpstreamName, primaryAgent string) (Status, error) {
	request := FollowRequest{Term: term, Primary: primary, PrimaryAddress: primaryAgent}
	return h.post(ctx, DefaultTimeout, "/v1/follow", request)
}

// Handover stops new write transactions and waits for the running ones.
func (h *HTTPAgent) Handover(ctx context.Context, term ident.Term) (Status, error) {
	return h.post(ctx, HandoverTimeout, "/v1/handover", HandoverRequest{Term: term})
}

// Transaction returns the state of a transaction of the group.
func (h *HTTPAgent) Transaction(ctx context.Context, id string) (TransactionState, error) {
	var answer TransactionResponse
	err := h.call(ctx, DefaultTimeout, http.MethodGet, "/v1/transaction/"+url.PathEscape(id), nil, &answer)
	return answer.State, err
}

// Stream calls onStatus for each status line until ctx ends or the stream
// breaks. It always returns an error: ctx.Err(), ErrSilent, or the cause.
func (h *HTTPAgent) Stream(ctx context.Context, onStatus func(Status)) error {
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(StreamTimeout, func() { cancel(ErrUnresponsive) })
	defer silence.Stop()
	response, err := h.do(streamCtx, http.MethodGet, "/v1/stream", nil)
	if err != nil {
		return streamError(streamCtx, err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		silence.Reset(StreamTimeout)
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

// streamError prefers the reason for which the context ended.
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
		return errors.Wrapf(err, "decode answer of %s", path)
	}
	return nil
}

// do sends a request and returns the response when its status is 200.
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
