package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

// Guards against bytes that are no HTTP/1.1 and count as a result, or as the promise that a request has not run, after which it is sent again.
func TestMalformedAnswerIsNoResult(t *testing.T) {
	const (
		completion = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n"
		refusal    = `{"error":{"code":"draining","ran":"notRun","retryAfterMs":1}}`
	)
	for name, c := range map[string]struct {
		status, body string
		call         func(ctx context.Context, address string) error
	}{
		"completion":    {"200 OK", completion, complete},
		"refusal":       {"503 Busy", refusal, complete},
		"locate":        {"200 OK", `{"addresses":[{"address":"127.0.0.1:1"}],"ttlMs":1000}`, locate},
		"admin read":    {"200 OK", "{}", func(ctx context.Context, a string) error { return admin(ctx, a, http.MethodGet, &Resource{}) }},
		"admin removal": {"200 OK", "{}", func(ctx context.Context, a string) error { return admin(ctx, a, http.MethodDelete, nil) }},
		"admin refusal": {"409 Conflict", `{"error":{"code":"conflict"}}`, func(ctx context.Context, a string) error { return admin(ctx, a, http.MethodPut, nil) }},
	} {
		t.Run(name, func(t *testing.T) {
			sound := fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", c.status, len(c.body), c.body)
			for _, malformed := range []string{
				strings.Replace(sound, "\r\n", "\r\nX Foo: 1\r\n", 1),
				strings.Replace(sound, "\r\nContent", "\r\n Content", 1),
				strings.Replace(sound, "HTTP/1.1", "HTTP/2.0", 1),
			} {
				var requests atomic.Int64
				s := httptest.NewServer(&httpd.Raw{Answer: func(*http.Request, bool) (string, bool) {
					requests.Add(1)
					return malformed, false
				}})
				err := c.call(t.Context(), s.Listener.Addr().String())
				s.Close()
				require.True(t, httpc.IsNoResponse(err), "%q: %v", malformed, err)
				transport, ok := errors.AsType[*TransportError](err)
				require.True(t, ok && transport.MaybeSent, "%q: %v", malformed, err)
				require.EqualValues(t, 1, requests.Load(), "%q", malformed)
			}
		})
	}
}

// Guards against a request that is given up although it reached no daemon.
func TestRequestThatWasNotSentIsRetried(t *testing.T) {
	s := httptest.NewServer(&httpd.Raw{Answer: func(*http.Request, bool) (string, bool) {
		return "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\ndata: [DONE]\n\n", false
	}})
	defer s.Close()
	const closedPort = "127.0.0.1:1"
	c := newClient(s.Listener.Addr().String())
	defer c.Close()
	c.addresses = append(c.addresses, closedPort)
	response, err := c.Complete(t.Context(), &Request{})
	require.NoError(t, err)
	require.Equal(t, 2, response.Attempts)
}

func newClient(address string) *Client {
	return &Client{Seeds: []string{address}, Retries: 3, addresses: []string{address}, addressesExpireAt: time.Now().Add(time.Hour)}
}

func complete(ctx context.Context, address string) error {
	c := newClient(address)
	defer c.Close()
	_, err := c.Complete(ctx, &Request{})
	return err
}

func locate(ctx context.Context, address string) error {
	c := newClient(address)
	defer c.Close()
	c.once.Do(c.init)
	_, err := c.requestLocate(ctx, address)
	return err
}

func admin(ctx context.Context, address, method string, v any) error {
	a := &AdminClient{Server: address}
	return a.Do(ctx, method, "/routes/r", nil, nil, v)
}
