// Package vmlist is the HTTP client of the platform's VM list. It fetches the list as JSON (GET /v1/vms).
package vmlist

import (
	"context"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

const defaultTimeout = 2 * time.Second

// Client reads the VM list. It is safe for concurrent use.
type Client struct {
	// BaseURL is the URL of the VM list, without a slash at its end.
	BaseURL string
	// Credential is the bearer token; if empty, none is sent.
	Credential string
	// Timeout limits one call; 0 means 2 seconds.
	Timeout time.Duration
	// Pool holds the connections.
	Pool httpc.Pool
}

var _ extern.VMList = (*Client)(nil)

// ListResponse is the response body of GET /v1/vms.
type ListResponse struct {
	VMs []extern.VM `json:"vms"`
}

// List implements extern.VMList. The error is an *extern.UpstreamError.
func (c *Client) List(ctx context.Context) ([]extern.VM, error) {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	doc, err := httpc.GetJSON[ListResponse](ctx, &c.Pool, c.BaseURL+"/v1/vms", c.Credential)
	return doc.VMs, err
}

// Close closes the idle connections. It always returns nil.
func (c *Client) Close() error { return c.Pool.Close() }
