package client

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// locateResponse is the body of a locate response: the addresses of daemons, valid for TTLMs milliseconds.
type locateResponse struct {
	Addresses []struct {
		Address string `json:"address"`
	} `json:"addresses"`
	TTLMs int64 `json:"ttlMs"`
}

// nextAddress returns the next of the daemons' addresses, in rotation. It renews them first if they have expired; if that
// fails, it continues with the expired ones. The error is a *NoAddressError if there are none.
func (c *Client) nextAddress(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 || time.Now().After(c.addressesExpireAt) {
		if err := c.locate(ctx); err != nil && len(c.addresses) == 0 {
			return "", err
		}
	}
	c.addressIndex++
	return c.addresses[c.addressIndex%len(c.addresses)], nil
}

// dropAddress removes an address at which a request failed. The last address is kept as a fallback, but marked as
// expired, so that the next request is preceded by a locate request.
func (c *Client) dropAddress(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) > 1 {
		c.addresses = slices.DeleteFunc(slices.Clone(c.addresses), func(a string) bool { return a == addr })
		return
	}
	c.addressesExpireAt = time.Time{}
}

// locate sends locate requests to the known daemons, then to the seeds, until one returns addresses.
func (c *Client) locate(ctx context.Context) error {
	var lastErr error
	for _, addr := range append(slices.Clone(c.addresses), c.Seeds...) {
		located, err := c.requestLocate(ctx, addr)
		if err != nil {
			lastErr = err
			continue
		}
		c.addresses = c.addresses[:0:0]
		for _, a := range located.Addresses {
			c.addresses = append(c.addresses, a.Address)
		}
		c.addressesExpireAt = time.Now().Add(time.Duration(located.TTLMs) * time.Millisecond)
		if len(c.addresses) > 0 {
			return nil
		}
	}
	return &NoAddressError{Err: lastErr}
}

func (c *Client) requestLocate(ctx context.Context, addr string) (*locateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/locate", http.NoBody)
	if err != nil {
		return nil, &TransportError{Err: err}
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	resp, err := c.pool.Do(r)
	if err != nil {
		return nil, sendError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, readAPIError(resp)
	}
	var located locateResponse
	if err := json.NewDecoder(resp.Body).Decode(&located); err != nil {
		return nil, &TransportError{MaybeSent: true, Err: err}
	}
	return &located, nil
}
