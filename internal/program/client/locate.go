package client

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// location is the answer of locate.
type location struct {
	Addresses []struct {
		Address string `json:"address"`
	} `json:"addresses"`
	TTLMs int64 `json:"ttlMs"`
}

// address returns the next address to use; the addresses take turns.
func (c *Client) address(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.located) == 0 || time.Now().After(c.until) {
		if err := c.locate(ctx); err != nil && len(c.located) == 0 {
			return "", err
		}
	}
	c.next++
	return c.located[c.next%len(c.located)], nil
}

// forget drops an address that did not take a request; the next request asks again once all are dropped.
func (c *Client) forget(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.located) > 1 {
		c.located = slices.DeleteFunc(slices.Clone(c.located), func(a string) bool { return a == addr })
		return
	}
	c.until = time.Time{}
}

// locate asks the known daemons and the seeds in turn which addresses to use.
func (c *Client) locate(ctx context.Context) error {
	var last error
	for _, addr := range append(slices.Clone(c.located), c.Seeds...) {
		loc, err := c.ask(ctx, addr)
		if err != nil {
			last = err
			continue
		}
		c.located = c.located[:0:0]
		for _, a := range loc.Addresses {
			c.located = append(c.located, a.Address)
		}
		c.until = time.Now().Add(time.Duration(loc.TTLMs) * time.Millisecond)
		if len(c.located) > 0 {
			return nil
		}
	}
	return &NoAddressError{Err: last}
}

func (c *Client) ask(ctx context.Context, addr string) (*location, error) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/locate", http.NoBody)
	if err != nil {
		return nil, &TransportError{Err: err}
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, &TransportError{Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, readRefusal(resp)
	}
	var loc location
	if err := json.NewDecoder(resp.Body).Decode(&loc); err != nil {
		return nil, &TransportError{MaybeSent: true, Err: err}
	}
	return &loc, nil
}
