// Package logsvc is the adapter of the platform's log service. It speaks HTTP with JSON:
// POST /v1/streams/{stream}/records appends the body, GET reads from an offset.
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

// Client is the log service at a base URL.
type Client struct {
	// BaseURL is the address of the log service, such as http://10.0.0.5:7000.
	BaseURL string
	// Credential is sent as the bearer token; none if empty.
	Credential string
	// Timeout bounds one call; 0 is five seconds.
	Timeout time.Duration
	// Pool holds the connections.
	Pool httpc.Pool
}

var _ extern.Log = (*Client)(nil)

// Append implements extern.Log.
func (c *Client) Append(ctx context.Context, stream extern.Stream, payload []byte) (ident.Offset, error) {
	var answer AppendResponse
	if err := c.call(ctx, stream, http.MethodPost, "", payload, &answer); err != nil {
		return 0, err
	}
	if answer.Offset == 0 {
		return 0, unreadable(stream, "an append without an offset")
	}
	return answer.Offset, nil
}

// Read implements extern.Log.
func (c *Client) Read(ctx context.Context, stream extern.Stream, from ident.Offset, limit int) (extern.LogBatch, error) {
	query := "?from=" + strconv.FormatUint(uint64(from), 10) + "&limit=" + strconv.Itoa(limit)
	var answer ReadResponse
	if err := c.call(ctx, stream, http.MethodGet, query, nil, &answer); err != nil {
		return extern.LogBatch{}, err
	}
	if reason := answer.fault(from); reason != "" {
		return extern.LogBatch{}, unreadable(stream, reason)
	}
	batch := extern.LogBatch{First: answer.First, Tail: answer.Tail}
	if len(answer.Entries) > 0 {
		batch.Entries = make([]extern.LogEntry, len(answer.Entries))
	}
	for i, e := range answer.Entries {
		batch.Entries[i] = extern.LogEntry(e)
	}
	return batch, nil
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.Pool.Close() }

func (c *Client) call(ctx context.Context, stream extern.Stream, method, query string, body []byte, answer any) error {
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
	httpc.Bearer(req.Header, c.Credential)
	resp, err := c.Pool.Do(req)
	if err != nil {
		return &extern.LogError{Kind: kindOfSendError(err), Stream: stream, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return failure(stream, resp)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(answer); err != nil {
		return &extern.LogError{Kind: extern.LogUnknown, Stream: stream, Err: err}
	}
	return nil
}
