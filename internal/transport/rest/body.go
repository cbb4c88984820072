package rest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/memory"
	"github.com/gooseberryway/gooseberryway/internal/transport/intake"
)

// BodyErrorKind is the reason why a request body could not be read.
type BodyErrorKind string

// Kinds of body errors.
const (
	// BodyTooLarge: the body is larger than the limit.
	BodyTooLarge BodyErrorKind = "tooLarge"
	// BodyTooSlow: the body did not arrive within the timeout.
	BodyTooSlow BodyErrorKind = "tooSlow"
	// BodyTruncated: the connection ended before the end of the body.
	BodyTruncated BodyErrorKind = "cutShort"
	// BodyNoMemory: the daemon has no memory for the body.
	BodyNoMemory BodyErrorKind = "noMemory"
	// BodyBroken: any other error while reading.
	BodyBroken BodyErrorKind = "broken"
)

// BodyError is the failure to read a request body. Its text becomes part of the error response.
type BodyError struct {
	Kind BodyErrorKind
	// Limit is the size limit in bytes, for BodyTooLarge.
	Limit int64
	Err   error
}

func (e *BodyError) Error() string {
	switch e.Kind {
	case BodyTooLarge:
		return fmt.Sprintf("the body is larger than %d bytes", e.Limit)
	case BodyTooSlow:
		return "the body came too slowly"
	case BodyTruncated:
		return "the body ended early"
	case BodyNoMemory:
		return "this daemon has no memory for the body now"
	default:
		return "the body could not be read"
	}
}

func (e *BodyError) Unwrap() error { return e.Err }

// ReadBody reads a request body of at most limit bytes within the timeout, which is effective only in requests that
// Handler serves. It takes as many times the size of the body from the account of the process' memory as copies says. The error is a *BodyError.
func ReadBody(ctx context.Context, r *http.Request, limit int64, timeout time.Duration, copies memory.Bytes) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &BodyError{Kind: BodyTooLarge, Limit: limit}
	}
	clearDeadline := SetReadDeadline(ctx, timeout)
	body, err := intake.ReadBody(r, limit, copies)
	if err != nil {
		// Keep the deadline: before the response, net/http reads the rest of the body and must not wait for it.
		return nil, &BodyError{Kind: classifyBodyError(err), Err: err}
	}
	clearDeadline()
	if int64(len(body)) > limit {
		return nil, &BodyError{Kind: BodyTooLarge, Limit: limit}
	}
	return body, nil
}

func classifyBodyError(err error) BodyErrorKind {
	var noMemory *intake.NoMemoryError
	switch {
	case errors.As(err, &noMemory):
		return BodyNoMemory
	case errors.Is(err, os.ErrDeadlineExceeded):
		return BodyTooSlow
	case errors.Is(err, io.ErrUnexpectedEOF):
		return BodyTruncated
	default:
		return BodyBroken
	}
}
