package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

// FormatError is an answer that the adapter can't read.
type FormatError struct {
	Reason string
}

func (e *FormatError) Error() string { return "unreadable answer: " + e.Reason }

// TruncatedError is a stream that ended before its last event.
type TruncatedError struct{}

func (e *TruncatedError) Error() string { return "the stream ended early" }

func readFailure(upstream ident.UpstreamID, err error) error {
	kind := extern.UpstreamBroken
	switch {
	case httpc.IsTimeout(err):
		kind = extern.UpstreamTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		err = &TruncatedError{}
	}
	return &extern.UpstreamError{Kind: kind, Upstream: upstream, Err: err}
}

func statusFailure(upstream ident.UpstreamID, resp *http.Response) error {
	var f ErrorBody
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxFailureBytes))
	if err == nil {
		err = json.Unmarshal(raw, &f)
	}
	if err != nil {
		f = ErrorBody{Error: ErrorDetail{Message: "the answer has no readable failure"}}
	}
	return &extern.UpstreamError{
		Kind:       kindOf(resp.StatusCode, f.Error.Code),
		Upstream:   upstream,
		NotRun:     f.Error.RunStatus == RunStatusNotRun,
		RetryAfter: httpc.RetryAfter(resp.Header),
		Err:        &httpc.StatusError{Status: resp.StatusCode, Code: f.Error.Code, Message: f.Error.Message},
	}
}

func kindOf(status int, code string) extern.UpstreamErrorKind {
	switch code {
	case CodeFenced:
		return extern.UpstreamFenced
	case CodeOverloaded:
		return extern.UpstreamOverloaded
	default:
		return httpc.StatusErrorKind(status)
	}
}
