package httpc

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// StatusError is a response with an unexpected status.
type StatusError struct {
	Status  int
	Code    string
	Message string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d %s: %s", e.Status, e.Code, e.Message)
}

// AsUpstreamError converts the error of a request that got no response. NotRun is set if no byte of it was sent.
func AsUpstreamError(upstream ident.UpstreamID, err error) *extern.UpstreamError {
	var send *SendError
	notRun := errors.As(err, &send) && send.NotSent
	kind := extern.UpstreamBroken
	switch {
	case IsTimeout(err):
		kind = extern.UpstreamTimeout
	case notRun:
		kind = extern.UpstreamUnreachable
	}
	return &extern.UpstreamError{Kind: kind, Upstream: upstream, NotRun: notRun, Err: err}
}

// StatusErrorKind classifies the status of a failed response.
func StatusErrorKind(status int) extern.UpstreamErrorKind {
	switch {
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return extern.UpstreamOverloaded
	case status == http.StatusGatewayTimeout, status == http.StatusRequestTimeout:
		return extern.UpstreamTimeout
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return extern.UpstreamRejected
	default:
		return extern.UpstreamBroken
	}
}

// IsTimeout reports whether the error is due to a deadline that has passed.
func IsTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}

// RetryAfter returns the time in the Retry-After header. It is 0 if the header is missing or not a number of seconds.
func RetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// SetBearer sets the credential as the bearer token, unless it is empty.
func SetBearer(h http.Header, credential string) {
	if credential != "" {
		h.Set("Authorization", "Bearer "+credential)
	}
}
