// Package engine is the HTTP client of the model engines. It streams completions (POST /v1/completions) and cache events
// and load reports (GET /v1/events) as server-sent events with JSON data, and sends orders (POST /v1/orders).
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

// Client sends requests to any number of engines. It is safe for concurrent use.
type Client struct {
	// Credential returns the bearer token for a base URL, empty for none. If nil, no token is sent.
	Credential func(baseURL string) string
	// OrderTimeout limits the time of an order, which may include loading weights; 0 means 2 minutes.
	OrderTimeout time.Duration
	// WatchTimeout is how long Watch waits for the next bytes before it fails; 0 means 15 seconds. Engines send load
	// reports or heartbeats at shorter intervals.
	WatchTimeout time.Duration
	// Pool holds the connections to all engines.
	Pool httpc.Pool
}

var _ extern.Engine = (*Client)(nil)

// Complete implements extern.Engine.
func (c *Client) Complete(ctx context.Context, upstream ident.UpstreamID, baseURL string, req extern.EngineRequest) (extern.EngineStream, error) {
	body, err := encodeRequest(&req)
	if err != nil {
		return nil, &extern.UpstreamError{Kind: extern.UpstreamRejected, Upstream: upstream, NotRun: true, Err: err}
	}
	resp, err := c.post(ctx, upstream, baseURL, "/v1/completions", body, req.Route) //nolint:bodyclose // the stream closes it
	if err != nil {
		return nil, err
	}
	return newStream(resp.Body, upstream, req.Request), nil
}

// Order implements extern.Engine.
func (c *Client) Order(ctx context.Context, baseURL string, order extern.EngineOrder) error {
	body, err := json.Marshal(Order{
		Kind:         string(order.Kind),
		Model:        order.Model,
		Version:      order.Version,
		Adapter:      order.Adapter,
		Role:         order.Role,
		FencingToken: order.FencingToken,
	})
	if err != nil {
		return &extern.UpstreamError{Kind: extern.UpstreamRejected, NotRun: true, Err: err}
	}
	timeout := c.OrderTimeout
	if timeout <= 0 {
		timeout = defaultOrderTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := c.post(ctx, "", baseURL, "/v1/orders", body, "")
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Close closes the idle connections. It always returns nil.
func (c *Client) Close() error { return c.Pool.Close() }

// post sends a JSON body and returns the response if its status is 200, else an *extern.UpstreamError.
func (c *Client) post(ctx context.Context, upstream ident.UpstreamID, baseURL, path string, body []byte, route ident.RouteID) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, &extern.UpstreamError{Kind: extern.UpstreamRejected, Upstream: upstream, NotRun: true, Err: err}
	}
	req.Header["Content-Type"] = contentTypeJSON
	if route != "" {
		req.Header.Set(headerRoute, string(route))
	}
	c.authorise(req, baseURL)
	resp, err := c.Pool.Do(req)
	if err != nil {
		return nil, httpc.AsUpstreamError(upstream, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, statusError(upstream, resp)
	}
	return resp, nil
}

// authorise sets the bearer token of the base URL, if there is one.
func (c *Client) authorise(req *http.Request, baseURL string) {
	if c.Credential == nil {
		return
	}
	httpc.SetBearer(req.Header, c.Credential(baseURL))
}

var contentTypeJSON = []string{"application/json"}
