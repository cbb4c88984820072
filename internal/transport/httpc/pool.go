package httpc

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/transport/meter"
)

// Pool is a pool of connections to the outside systems of one kind. It speaks HTTP/1.1, follows no redirects and
// uses no proxy from the environment. The zero value works with the defaults.
type Pool struct {
	// DialTimeout bounds the set-up of a connection; 0 is two seconds.
	DialTimeout time.Duration
	// HeaderTimeout bounds the wait for the answer's header after the request was written; 0 is no bound.
	HeaderTimeout time.Duration
	// TLS is used for https addresses; nil trusts the system's certificates.
	TLS *tls.Config
	// IdlePerHost is the number of idle connections kept to one host; 0 is 256.
	IdlePerHost int
	// IdleTimeout is how long a connection is kept without a request; 0 is a minute.
	IdleTimeout time.Duration
	// Link is what the bytes of the connections are counted for; empty for none.
	Link meter.Link

	once      sync.Once
	transport *http.Transport
}

// SendError is a request that got no answer.
type SendError struct {
	// NotSent is true if no byte of the request has left and none will.
	NotSent bool
	Err     error
}

func (e *SendError) Error() string {
	if e.NotSent {
		return fmt.Sprintf("request not sent: %v", e.Err)
	}
	return fmt.Sprintf("no answer: %v", e.Err)
}

func (e *SendError) Unwrap() error { return e.Err }

// Do sends the request and returns the answer, whose body the caller must close. The error is a *SendError.
func (p *Pool) Do(req *http.Request) (*http.Response, error) {
	p.once.Do(p.init)
	if user := req.URL.User; user != nil && req.Header.Get("Authorization") == "" {
		password, _ := user.Password()
		req.SetBasicAuth(user.Username(), password)
	}
	var a attempt
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: a.gotConn})
	resp, err := p.transport.RoundTrip(req.WithContext(ctx)) //nolint:bodyclose // the caller closes the body
	if err != nil {
		return nil, &SendError{NotSent: a.seal(), Err: err}
	}
	return resp, nil
}

// Close closes the idle connections.
func (p *Pool) Close() error {
	p.once.Do(p.init)
	p.transport.CloseIdleConnections()
	return nil
}

func (p *Pool) init() {
	dialer := &net.Dialer{Timeout: orDefault(p.DialTimeout, defaultDialTimeout)}
	dial := meter.DialFunc(dialer.DialContext)
	if p.Link != "" {
		dial = p.Link.Dial(dial)
	}
	p.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		TLSClientConfig:        p.TLS,
		TLSHandshakeTimeout:    orDefault(p.DialTimeout, defaultDialTimeout),
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    orDefault(p.IdlePerHost, defaultIdlePerHost),
		IdleConnTimeout:        orDefault(p.IdleTimeout, defaultIdleTimeout),
		ResponseHeaderTimeout:  p.HeaderTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         defaultResponseHeader,
		DisableCompression:     true,
	}
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
