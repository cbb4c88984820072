package rest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// BodyErrorKind tells what is wrong with a body.
type BodyErrorKind string

// Kinds of faulty bodies.
const (
	BodyTooLarge  BodyErrorKind = "tooLarge"
	BodyTooSlow   BodyErrorKind = "tooSlow"
	BodyTruncated BodyErrorKind = "cutShort"
	BodyBroken    BodyErrorKind = "broken"
)

// BodyError says that the body of a request could not be read.
type BodyError struct {
	Kind BodyErrorKind
	// Limit is the largest body in bytes, for BodyTooLarge.
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
	default:
		return "the body could not be read"
	}
}

func (e *BodyError) Unwrap() error { return e.Err }

// ReadBody reads a body of at most limit bytes within the timeout. The error is a *BodyError.
func ReadBody(ctx context.Context, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &BodyError{Kind: BodyTooLarge, Limit: limit}
	}
	lift := SetReadDeadline(ctx, timeout)
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		// The deadline stays, so that the server does not wait for the rest of the body.
		return nil, &BodyError{Kind: kindOf(err), Err: err}
	}
	lift()
	if int64(len(body)) > limit {
		return nil, &BodyError{Kind: BodyTooLarge, Limit: limit}
	}
	return body, nil
}

func kindOf(err error) BodyErrorKind {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return BodyTooSlow
	case errors.Is(err, io.ErrUnexpectedEOF):
		return BodyTruncated
	default:
		return BodyBroken
	}
}
