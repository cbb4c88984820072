package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

// StatusError is an answer of an engine that is not 200.
type StatusError struct {
	Status  int
	Code    string
	Message string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d %s: %s", e.Status, e.Code, e.Message)
}

// FormatError is an answer that the adapter can't read.
type FormatError struct {
	Reason string
}

func (e *FormatError) Error() string { return "unreadable answer: " + e.Reason }

// TruncatedError is a stream that ended before its last event.
type TruncatedError struct{}

func (e *TruncatedError) Error() string { return "the stream ended early" }

func sendFailure(upstream ident.UpstreamID, err error) error {
	var send *httpc.SendError
	notRun := errors.As(err, &send) && send.NotSent
	kind := extern.UpstreamBroken
	switch {
	case isTimeout(err):
		kind = extern.UpstreamTimeout
	case notRun:
		kind = extern.UpstreamUnreachable
	}
	return &extern.UpstreamError{Kind: kind, Upstream: upstream, NotRun: notRun, Err: err}
}

func readFailure(upstream ident.UpstreamID, err error) error {
	kind := extern.UpstreamBroken
	switch {
	case isTimeout(err):
		kind = extern.UpstreamTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		err = &TruncatedError{}
	}
	return &extern.UpstreamError{Kind: kind, Upstream: upstream, Err: err}
}

func isTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}

func statusFailure(upstream ident.UpstreamID, resp *http.Response) error {
	var f Failure
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxFailureBytes))
	if err == nil {
		err = json.Unmarshal(raw, &f)
	}
	if err != nil {
		f = Failure{Error: FailureDetail{Message: "the answer has no readable failure"}}
	}
	return &extern.UpstreamError{
		Kind:       kindOf(resp.StatusCode, f.Error.Code),
		Upstream:   upstream,
		NotRun:     f.Error.Ran == RanNotRun,
		RetryAfter: retryAfter(resp.Header),
		Err:        &StatusError{Status: resp.StatusCode, Code: f.Error.Code, Message: f.Error.Message},
	}
}

func kindOf(status int, code string) extern.UpstreamErrorKind {
	switch {
	case code == CodeFenced:
		return extern.UpstreamFenced
	case code == CodeOverloaded, status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return extern.UpstreamOverloaded
	case status == http.StatusGatewayTimeout, status == http.StatusRequestTimeout:
		return extern.UpstreamTimeout
	case status >= 400 && status < 500:
		return extern.UpstreamRejected
	default:
		return extern.UpstreamBroken
	}
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
