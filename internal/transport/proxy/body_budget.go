package proxy

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// defaultBodyBytes is the memory for request bodies if that of the VM isn't known.
	defaultBodyBytes = 24 << 20
	// largeBodyBytes is the size from which bodies may use the share largeBodyShare, in quarters, of the memory only, so that a few
	// callers with large requests leave room for those of all others.
	largeBodyBytes = 64 << 10
	largeBodyShare = 3
	quarters       = 4
	// firstBodyBytes is the memory that is taken first for a body of unknown length.
	firstBodyBytes = 16 << 10
)

// BodyBudget bounds the memory that the bodies of all requests in progress take together. Each is kept until its request ends, as it
// may have to be sent again.
type BodyBudget struct {
	// MaxBytes is set before the first request; 0 means 24 MiB.
	MaxBytes int64

	used atomic.Int64
}

// errBodyBudget says that there is no memory for a body.
var errBodyBudget = errors.New("no memory for the body") //nolint:revive // compared by identity only

// reserve takes n bytes for a body of the given size so far, and reports whether there were as many.
func (b *BodyBudget) reserve(n, size int64) bool {
	limit := b.MaxBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if size > largeBodyBytes {
		limit = limit / quarters * largeBodyShare
	}
	if b.used.Add(n) > limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// release gives n bytes back.
func (b *BodyBudget) release(n int64) { b.used.Add(-n) }

// read reads a body of up to limit+1 bytes. length is its length, or negative if it isn't known. It returns the number of bytes that were
// reserved, to be released when the body is no longer needed, also after an error.
func (b *BodyBudget) read(r io.Reader, length, limit int64) (body []byte, reserved int64, err error) {
	size := length
	if length < 0 {
		size = firstBodyBytes
	}
	size = min(size, limit+1)
	for {
		if !b.reserve(size-reserved, size) {
			return nil, reserved, errBodyBudget
		}
		reserved = size
		grown := make([]byte, size)
		n := copy(grown, body)
		read, readErr := io.ReadFull(r, grown[n:])
		body = grown[:n+read]
		switch {
		case errors.Is(readErr, io.EOF), errors.Is(readErr, io.ErrUnexpectedEOF):
			if length >= 0 && int64(len(body)) < length {
				return nil, reserved, io.ErrUnexpectedEOF
			}
			return body, reserved, nil
		case readErr != nil:
			return nil, reserved, readErr
		case length >= 0 || size > limit:
			return body, reserved, nil
		}
		size = min(2*size, limit+1)
	}
}
