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

// FormatError is a response that cannot be decoded, or sampling parameters that cannot be encoded.
type FormatError struct {
	Reason string
}

func (e *FormatError) Error() string { return "malformed message: " + e.Reason }

// TruncatedError is a response stream that ended before its last event.
type TruncatedError struct{}

func (e *TruncatedError) Error() string { return "the stream ended before its last event" }

// readError returns the *extern.UpstreamError of a failed read of a response body.
func readError(upstream ident.UpstreamID, err error) error {
	kind := extern.UpstreamBroken
	switch {
	case httpc.IsTimeout(err):
		kind = extern.UpstreamTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		err = &TruncatedError{}
	}
	return &extern.UpstreamError{Kind: kind, Upstream: upstream, Err: err}
}

// statusError returns the *extern.UpstreamError of a response with a status other than 200.
func statusError(upstream ident.UpstreamID, resp *http.Response) error {
	var f ErrorBody
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if err == nil {
		err = json.Unmarshal(raw, &f)
	}
	if err != nil {
		f = ErrorBody{Error: ErrorDetail{Message: "the error response has no readable JSON body"}}
	}
	return &extern.UpstreamError{
		Kind:       errorKind(resp.StatusCode, f.Error.Code),
		Upstream:   upstream,
		NotRun:     f.Error.RunStatus == RunStatusNotRun,
		RetryAfter: httpc.RetryAfter(resp.Header),
		Err:        &httpc.StatusError{Status: resp.StatusCode, Code: f.Error.Code, Message: f.Error.Message},
	}
}

// errorKind classifies a failed response by its code, or by its status if the code is not a known one.
func errorKind(status int, code string) extern.UpstreamErrorKind {
	switch code {
	case CodeFenced:
		return extern.UpstreamFenced
	case CodeOverloaded:
		return extern.UpstreamOverloaded
	default:
		return httpc.StatusErrorKind(status)
	}
}
