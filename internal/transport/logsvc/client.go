// Package logsvc is a client of the platform's log service, which has an HTTP API with JSON responses:
// POST /v1/streams/{stream}/records appends the request body as a record, GET reads records from an offset on.
package logsvc

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

// Client calls the log service at a base URL.
type Client struct {
	// BaseURL is the address of the log service, such as http://10.0.0.5:7000.
	BaseURL string
	// Credential is sent as the bearer token unless it is empty.
	Credential string
	// Timeout bounds one call; 0 means 5 s.
	Timeout time.Duration
	// Pool holds the connections.
	Pool httpc.Pool
}

var _ extern.Log = (*Client)(nil)

// Append implements extern.Log.
func (c *Client) Append(ctx context.Context, stream extern.Stream, payload []byte) (ident.Offset, error) {
	var resp AppendResponse
	if err := c.call(ctx, stream, http.MethodPost, "", payload, &resp); err != nil {
		return 0, err
	}
	if resp.Offset == 0 {
		return 0, invalidResponse(stream, "an append without an offset")
	}
	return resp.Offset, nil
}

// Read implements extern.Log.
func (c *Client) Read(ctx context.Context, stream extern.Stream, from ident.Offset, limit int) (extern.LogBatch, error) {
	query := "?from=" + strconv.FormatUint(uint64(from), 10) + "&limit=" + strconv.Itoa(limit)
	var resp ReadResponse
	if err := c.call(ctx, stream, http.MethodGet, query, nil, &resp); err != nil {
		return extern.LogBatch{}, err
	}
	if reason := resp.invalidReason(from); reason != "" {
		return extern.LogBatch{}, invalidResponse(stream, reason)
	}
	batch := extern.LogBatch{First: resp.First, Tail: resp.Tail}
	if len(resp.Entries) > 0 {
		batch.Entries = make([]extern.LogEntry, len(resp.Entries))
	}
	for i, e := range resp.Entries {
		batch.Entries[i] = extern.LogEntry(e)
	}
	return batch, nil
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.Pool.Close() }

// call sends one request and decodes the response into a value. The error is an *extern.LogError: of kind LogRefused
// only if the call certainly had no effect.
func (c *Client) call(ctx context.Context, stream extern.Stream, method, query string, body []byte, into any) error {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := c.BaseURL + "/v1/streams/" + url.PathEscape(string(stream)) + "/records" + query
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return &extern.LogError{Kind: extern.LogRefused, Stream: stream, Err: err}
	}
	httpc.SetBearer(req.Header, c.Credential)
	resp, err := c.Pool.Do(req)
	if err != nil {
		return &extern.LogError{Kind: kindOfSendError(err), Stream: stream, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError(stream, resp)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(into); err != nil {
		return &extern.LogError{Kind: extern.LogUnknown, Stream: stream, Err: err}
	}
	return nil
}
