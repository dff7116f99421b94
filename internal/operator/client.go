package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	configcontroller "github.com/rosemarywall/rosemarywall/internal/controller/configuration"
	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
)

const (
	// callTimeout bounds a question to a VM.
	callTimeout = 5 * time.Second
	// applyTimeout bounds the call that applies a note; a VM answers within
	// configcontroller.ApplyTimeout and 6 s for the note to be in force.
	applyTimeout = configcontroller.ApplyTimeout + 10*time.Second
	// maxAnswer limits an answer; it is above the largest configuration.
	maxAnswer = 64 << 20
)

// client calls the administration addresses of VMs.
type client struct {
	http      *http.Client
	addresses []string
}

func newClient(addresses []string) (*client, error) {
	if len(addresses) == 0 {
		return nil, errors.New("no --address of a VM's administration address was given")
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, errors.Newf("%s: expected IP:port", address)
		}
	}
	// A VM sends no redirection; one would lead a call to another address.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &client{http: &http.Client{CheckRedirect: noRedirect}, addresses: addresses}, nil
}

// get asks the addresses in turn until one answers.
func (c *client) get(path string, into any) error {
	var failed error
	for _, address := range c.addresses {
		err := c.call(http.MethodGet, address, path, nil, callTimeout, into)
		if err == nil {
			return nil
		}
		failed = errors.CombineErrors(failed, err)
	}
	return failed
}

// call decodes the answer whatever its status, because refusals have a body too. An
// error means that no complete answer came.
func (c *client) call(method, address, path string, body []byte, timeout time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "call %s", address)
	}
	request.GetBody = nil // the transport must not send a note twice
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrapf(err, "call %s", address)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return errors.Wrapf(err, "answer of %s", address)
	}
	if len(data) > maxAnswer {
		return errors.Newf("answer of %s is larger than %d bytes", address, maxAnswer)
	}
	if method == http.MethodGet && response.StatusCode != http.StatusOK {
		var refusal configcontroller.Result
		if json.Unmarshal(data, &refusal) == nil && refusal.Detail != "" {
			return errors.Newf("%s: %s", address, refusal.Detail)
		}
		return errors.Newf("%s answered %s", address, response.Status)
	}
	return errors.Wrapf(json.Unmarshal(data, into), "answer of %s", address)
}

func (c *client) configuration() (*configuration.Configuration, error) {
	current := configuration.Empty()
	return current, c.get("/v1/configuration", current)
}

func (c *client) status() (configcontroller.Status, error) {
	var status configcontroller.Status
	return status, c.get("/v1/status", &status)
}

func (c *client) history() ([]configcontroller.HistoryEntry, error) {
	var entries []configcontroller.HistoryEntry
	return entries, c.get("/v1/notes", &entries)
}

// outcomes are the results of a note. What does not hold one is no answer to the note.
var outcomes = []configcontroller.Outcome{
	configcontroller.OutcomeAccepted, configcontroller.OutcomeRefused, configcontroller.OutcomePending, configcontroller.OutcomeUnknown,
}

// apply sends the note once, to the first address.
func (c *client) apply(file string, text []byte) (configcontroller.Result, error) {
	var result configcontroller.Result
	err := c.call(http.MethodPost, c.addresses[0], "/v1/notes?file="+url.QueryEscape(file), text, applyTimeout, &result)
	if err == nil && !slices.Contains(outcomes, result.Outcome) {
		err = errors.Newf("%s answered without an outcome", c.addresses[0])
	}
	return result, err
}
