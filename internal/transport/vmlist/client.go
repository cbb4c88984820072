// Package vmlist is the adapter of the platform's VM list. It speaks HTTP with JSON: GET /v1/vms.
package vmlist

import (
	"context"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

const defaultTimeout = 2 * time.Second

// Client is the VM list at a base URL.
type Client struct {
	// BaseURL is the address of the VM list.
	BaseURL string
	// Credential is sent as the bearer token; none if empty.
	Credential string
	// Timeout bounds one call; 0 is two seconds.
	Timeout time.Duration
	// Pool holds the connections.
	Pool httpc.Pool
}

var _ extern.VMList = (*Client)(nil)

// Document is the answer of GET /v1/vms.
type Document struct {
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
	doc, err := httpc.GetJSON[Document](ctx, &c.Pool, c.BaseURL+"/v1/vms", c.Credential)
	return doc.VMs, err
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.Pool.Close() }
