// Package wstore is the adapter of the platform's weight store. It speaks HTTP with JSON: GET /v1/weights/{version}.
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

// Client is the weight store at a base URL.
type Client struct {
	// BaseURL is the address of the weight store.
	BaseURL string
	// Credential is sent as the bearer token; none if empty.
	Credential string
	// Timeout bounds one call; 0 is five seconds.
	Timeout time.Duration
	// Pool holds the connections.
	Pool httpc.Pool
}

var _ extern.WeightStore = (*Client)(nil)

// Stat implements extern.WeightStore.
func (c *Client) Stat(ctx context.Context, version ident.VersionID) (extern.Weights, error) {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return httpc.GetJSON[extern.Weights](ctx, &c.Pool, c.BaseURL+"/v1/weights/"+url.PathEscape(string(version)), c.Credential)
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.Pool.Close() }
