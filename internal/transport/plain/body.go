package plain

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
)

// BodyTooLargeError reports a request body that exceeds the limit.
type BodyTooLargeError struct {
	LimitBytes int64
}

func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("request body is larger than %d bytes", e.LimitBytes)
}

// body is a request body. It can be sent again if it is buffered as a whole or if nothing of source has been read.
type body struct {
	buffered      []byte
	source        io.Reader // what follows buffered; nil if buffered is the whole body
	contentLength int64
	limitBytes    int64
	// sourceRead is true once a byte of source may have been read.
	sourceRead atomic.Bool
}

// newBody returns the body of a request. See the function newBody.
func (r *Request) newBody(limitBytes, maxReplayBytes int64) (*body, error) {
	if r.Buffered == nil {
		return newBody(r.Body, r.ContentLength, limitBytes, maxReplayBytes)
	}
	length := int64(len(r.Buffered))
	if length > limitBytes {
		return nil, &BodyTooLargeError{LimitBytes: limitBytes}
	}
	return &body{buffered: r.Buffered, contentLength: length, limitBytes: limitBytes}, nil
}

// newBody buffers a body of up to maxReplayBytes, and streams one that is larger. A negative contentLength means that the
// length is unknown. The error is a *BodyTooLargeError or a *BodyReadError.
func newBody(r io.Reader, contentLength, limitBytes, maxReplayBytes int64) (*body, error) {
	if contentLength > limitBytes {
		return nil, &BodyTooLargeError{LimitBytes: limitBytes}
	}
	b := &body{contentLength: contentLength, limitBytes: limitBytes}
	if r == nil {
		b.contentLength = 0
		return b, nil
	}
	if contentLength > maxReplayBytes {
		b.source = r
		return b, nil
	}
	buffered, err := io.ReadAll(io.LimitReader(r, maxReplayBytes+1))
	if err != nil {
		return nil, &BodyReadError{Err: err}
	}
	b.buffered = buffered
	if int64(len(buffered)) > maxReplayBytes {
		b.source = r
		return b, nil
	}
	b.contentLength = int64(len(buffered))
	if b.contentLength > limitBytes {
		return nil, &BodyTooLargeError{LimitBytes: limitBytes}
	}
	return b, nil
}

// replayable reports whether the whole body can be sent again.
func (b *body) replayable() bool {
	return b.source == nil || !b.sourceRead.Load()
}

func (b *body) empty() bool { return b.source == nil && len(b.buffered) == 0 }

// reader returns the body from its start. Its type is unknown to net/http, so that net/http can't rewind it and resend the
// request by itself.
func (b *body) reader() io.ReadCloser {
	if b.source == nil {
		return &nonReplayableReader{Reader: bytes.NewReader(b.buffered)}
	}
	unbuffered := &sourceReader{body: b, remainingBytes: b.limitBytes - int64(len(b.buffered))}
	return &nonReplayableReader{Reader: io.MultiReader(bytes.NewReader(b.buffered), unbuffered)}
}

// BodyReadError reports a failure to read the caller's request body.
type BodyReadError struct {
	Err error
}

func (e *BodyReadError) Error() string { return "read the caller's request body: " + e.Err.Error() }

func (e *BodyReadError) Unwrap() error { return e.Err }

type nonReplayableReader struct {
	io.Reader
}

func (r *nonReplayableReader) Close() error { return nil }

// sourceReader reads the part of a body that is not buffered, and fails with a *BodyTooLargeError beyond the limit.
type sourceReader struct {
	body           *body
	remainingBytes int64
}

func (l *sourceReader) Read(p []byte) (int, error) {
	l.body.sourceRead.Store(true)
	if int64(len(p)) > l.remainingBytes+1 {
		p = p[:l.remainingBytes+1]
	}
	n, err := l.body.source.Read(p)
	l.remainingBytes -= int64(n)
	if l.remainingBytes < 0 {
		return 0, &BodyTooLargeError{LimitBytes: l.body.limitBytes}
	}
	if err != nil && err != io.EOF { //nolint:errorlint // readers return io.EOF unwrapped
		return n, &BodyReadError{Err: err}
	}
	return n, err
}
