package httpc

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/transport/meter"
)

// Pool is a pool of HTTP/1.1 connections to the outside systems of one kind. It follows no redirects and ignores proxies
// set in the environment. The zero value uses the defaults.
type Pool struct {
	// DialTimeout limits the dial and, separately, the TLS handshake of a connection; 0 means 2 seconds.
	DialTimeout time.Duration
	// HeaderTimeout limits the wait for the response header after the request was written; 0 means no limit.
	HeaderTimeout time.Duration
	// TLS is the configuration for https URLs; nil trusts the system's CAs.
	TLS *tls.Config
	// MaxIdleConnsPerHost is the maximum number of idle connections for each host; 0 means 256, less than 0 none, so that each request opens one.
	MaxIdleConnsPerHost int
	// IdleTimeout is how long an idle connection is kept; 0 means 60 seconds.
	IdleTimeout time.Duration
	// Dial opens connections; nil means net.Dialer. Its context ends after DialTimeout.
	Dial meter.DialFunc
	// Control, unless nil, is called with each new socket before it is connected, if Dial is nil. See net.Dialer.
	Control func(network, address string, c syscall.RawConn) error
	// Link is the metric label under which the bytes of the connections are counted; if empty, they are not counted.
	Link meter.Link

	once      sync.Once
	transport *http.Transport
}

// SendError is a request that got no response.
type SendError struct {
	// NotSent is true if no byte of the request was written to a connection and none will be.
	NotSent bool
	// Reused is true if the last connection had served another request before.
	Reused bool
	Err    error
}

func (e *SendError) Error() string {
	if e.NotSent {
		return fmt.Sprintf("request not sent: %v", e.Err)
	}
	return fmt.Sprintf("no response: %v", e.Err)
}

func (e *SendError) Unwrap() error { return e.Err }

// NotFinalError is a response that can't be the final one, such as a switch of protocols, which no request asks for.
type NotFinalError struct {
	Status int
}

func (e *NotFinalError) Error() string {
	return fmt.Sprintf("status %d is not that of a final response", e.Status)
}

// UnaskedError is a response that was read before the request was sent, such as what follows an earlier one.
type UnaskedError struct {
	Status int
}

func (e *UnaskedError) Error() string {
	return fmt.Sprintf("status %d came before the request was sent", e.Status)
}

// IsNoResponse reports whether the error is that of a server that is alive but sent something else than a response to the request.
func IsNoResponse(err error) bool {
	var malformed *MalformedResponseError
	var notFinal *NotFinalError
	var unasked *UnaskedError
	return errors.As(err, &malformed) || errors.As(err, &notFinal) || errors.As(err, &unasked)
}

// Do sends the request and returns the response, whose body must be closed. A user and password in the URL are sent as
// basic authentication if the request has no Authorization header. The error is a *SendError.
func (p *Pool) Do(req *http.Request) (*http.Response, error) { return p.do(req, &sendTracker{}) }

// DoHeld is Do for callers that look at whose answer they got: until Release or Retire no other request is sent on the connection of the
// response, which may be free for the next one before DoHeld returns if the response has no body. A request that gets it waits.
func (p *Pool) DoHeld(req *http.Request) (*http.Response, error) {
	return p.do(req, &sendTracker{released: make(chan struct{})})
}

func (p *Pool) do(req *http.Request, tracker *sendTracker) (*http.Response, error) {
	p.once.Do(p.init)
	tracker.ended = req.Context().Done()
	if user := req.URL.User; user != nil && req.Header.Get("Authorization") == "" {
		password, _ := user.Password()
		req.SetBasicAuth(user.Username(), password)
	}
	ctx := context.WithValue(req.Context(), trackerKey{}, tracker)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: tracker.gotConn, GotFirstResponseByte: tracker.gotFirstByte})
	resp, err := p.transport.RoundTrip(req.WithContext(ctx)) //nolint:bodyclose // the caller closes the body
	if err != nil {
		defer tracker.release()
		if reason := tracker.refusal(); reason != "" && req.Context().Err() == nil && !IsTimeout(err) {
			err = &MalformedResponseError{Reason: reason, Err: err}
		}
		return nil, &SendError{NotSent: tracker.seal(), Reused: tracker.isReused(), Err: err}
	}
	if err := checkResponse(resp, tracker); err != nil {
		Retire(resp)
		_ = resp.Body.Close()
		return nil, &SendError{Reused: tracker.isReused(), Err: err}
	}
	return resp, nil
}

// checkResponse returns an error for a response that can't be that to its request.
func checkResponse(resp *http.Response, tracker *sendTracker) error {
	switch {
	case tracker.isUnasked():
		return &UnaskedError{Status: resp.StatusCode}
	case resp.StatusCode < http.StatusOK:
		return &NotFinalError{Status: resp.StatusCode}
	default:
		return nil
	}
}

// Close closes the idle connections. It always returns nil.
func (p *Pool) Close() error {
	p.once.Do(p.init)
	p.transport.CloseIdleConnections()
	return nil
}

func (p *Pool) init() {
	dialTimeout := orDefault(p.DialTimeout, defaultDialTimeout)
	dial := p.Dial
	if dial == nil {
		dial = (&net.Dialer{Control: p.Control}).DialContext
	}
	if p.Link != "" {
		dial = p.Link.Dial(dial)
	}
	d := &dialer{dial: dial, timeout: dialTimeout, tls: p.TLS}
	p.transport = &http.Transport{
		DialContext:            d.dialPlain,
		DialTLSContext:         d.dialTLS,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    orDefault(p.MaxIdleConnsPerHost, defaultIdleConnsPerHost),
		IdleConnTimeout:        orDefault(p.IdleTimeout, defaultIdleTimeout),
		ResponseHeaderTimeout:  p.HeaderTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         readBufferBytes,
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
