// Package wstore is the HTTP client of the platform's weight store. It fetches the name and size of the weights of a version
// as JSON (GET /v1/weights/{version}).
package wstore

import (
	"context"
	"net/url"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

const defaultTimeout = 5 * time.Second

// Client reads the weight store. It is safe for concurrent use.
type Client struct {
	// BaseURL is the URL of the weight store, without a slash at its end.
	BaseURL string
	// Credential is the bearer token; if empty, none is sent.
	Credential string
	// Timeout limits one call; 0 means 5 seconds.
	Timeout time.Duration
	// Pool holds the connections.
	Pool httpc.Pool
}

var _ extern.WeightStore = (*Client)(nil)

// Stat implements extern.WeightStore. The error is an *extern.UpstreamError.
func (c *Client) Stat(ctx context.Context, version ident.VersionID) (extern.Weights, error) {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return httpc.GetJSON[extern.Weights](ctx, &c.Pool, c.BaseURL+"/v1/weights/"+url.PathEscape(string(version)), c.Credential)
}

// Close closes the idle connections. It always returns nil.
func (c *Client) Close() error { return c.Pool.Close() }
