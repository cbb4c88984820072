package plain

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
)

// BodyTooLargeError reports a request body above the limit.
type BodyTooLargeError struct {
	LimitBytes int64
}

func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("the body has more than %d bytes", e.LimitBytes)
}

// body is a request body that can be sent again while it is held in memory or unread.
type body struct {
	held   []byte
	source io.Reader // what follows after held; nil if held is all
	length int64
	limit  int64
	// read is true once a byte of source may have been taken.
	read atomic.Bool
}

// newBody holds up to replay bytes in memory. The error is a *BodyTooLargeError or a *BodyReadError.
func newBody(r io.Reader, length, limit, replay int64) (*body, error) {
	if length > limit {
		return nil, &BodyTooLargeError{LimitBytes: limit}
	}
	b := &body{length: length, limit: limit}
	if r == nil {
		b.length = 0
		return b, nil
	}
	if length > replay {
		b.source = r
		return b, nil
	}
	held, err := io.ReadAll(io.LimitReader(r, replay+1))
	if err != nil {
		return nil, &BodyReadError{Err: err}
	}
	b.held = held
	if int64(len(held)) > replay {
		b.source = r
		return b, nil
	}
	b.length = int64(len(held))
	if b.length > limit {
		return nil, &BodyTooLargeError{LimitBytes: limit}
	}
	return b, nil
}

// replayable reports whether the whole body can be sent once more.
func (b *body) replayable() bool {
	return b.source == nil || !b.read.Load()
}

func (b *body) empty() bool { return b.source == nil && len(b.held) == 0 }

// reader returns the body from its start. It is of a type that net/http does not send again by itself.
func (b *body) reader() io.ReadCloser {
	if b.source == nil {
		return &reader{Reader: bytes.NewReader(b.held)}
	}
	rest := &limited{body: b, left: b.limit - int64(len(b.held))}
	return &reader{Reader: io.MultiReader(bytes.NewReader(b.held), rest)}
}

// BodyReadError reports a caller's body that could not be read.
type BodyReadError struct {
	Err error
}

func (e *BodyReadError) Error() string { return "the caller's body can't be read: " + e.Err.Error() }

func (e *BodyReadError) Unwrap() error { return e.Err }

type reader struct {
	io.Reader
}

func (r *reader) Close() error { return nil }

// limited reads the rest of a body that is not held in memory.
type limited struct {
	body *body
	left int64
}

func (l *limited) Read(p []byte) (int, error) {
	l.body.read.Store(true)
	if int64(len(p)) > l.left+1 {
		p = p[:l.left+1]
	}
	n, err := l.body.source.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, &BodyTooLargeError{LimitBytes: l.body.limit}
	}
	if err != nil && err != io.EOF { //nolint:errorlint // readers return io.EOF itself
		return n, &BodyReadError{Err: err}
	}
	return n, err
}
