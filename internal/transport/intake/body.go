package intake

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/gooseberryway/gooseberryway/internal/state/memory"
)

// NoMemoryError says that there is no memory for the body of a request.
type NoMemoryError struct{}

func (e *NoMemoryError) Error() string { return "no memory for the body of the request" }

// HoldRequest takes the memory of a request in progress from the account of its client, until its handler returns. It reports whether there was as much.
func HoldRequest(r *http.Request, n memory.Bytes) bool { return HoldResponse(r.Context(), n) }

// HoldResponse does the same for the response to the request with a context.
func HoldResponse(ctx context.Context, n memory.Bytes) bool {
	h := holdsOf(ctx)
	return h == nil || h.take(memory.Requests, n, n)
}

// HoldHandler returns a handler that takes the memory of a request in progress, and refuses the request if there is not as much.
func HoldHandler(n memory.Bytes, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !HoldRequest(r, n) {
			refuse(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// TakeAnswer takes n further bytes for what is read of the answer to a request, and reports whether there were as many.
func TakeAnswer(r *http.Request, n memory.Bytes) bool {
	h := holdsOf(r.Context())
	return h == nil || h.requests.Take(n, n)
}

// ReleaseAnswer gives back n bytes of those that were taken for an answer.
func ReleaseAnswer(r *http.Request, n memory.Bytes) {
	if h := holdsOf(r.Context()); h != nil {
		h.requests.Release(n)
	}
}

// ReadBody reads the body of a request of up to limit+1 bytes, and takes as many times its size from the account of its client as copies says, until its
// handler returns. The error is a *NoMemoryError if there is no memory.
func ReadBody(r *http.Request, limit int64, copies memory.Bytes) ([]byte, error) {
	h := holdsOf(r.Context())
	if h == nil {
		h = &holds{}
	}
	defer h.receive()()
	return h.read(r.Body, r.ContentLength, limit, copies)
}

// read reads a body. length is its length, or negative if it isn't known.
func (h *holds) read(r io.Reader, length, limit int64, copies memory.Bytes) ([]byte, error) {
	size := length
	if length < 0 {
		size = firstBodyBytes
	}
	size = min(size, limit+1)
	var body []byte
	for {
		before := h.bodies.Bytes()
		// While a body grows, both buffers are held.
		if n := memory.Bytes(size) * copies; !h.take(memory.Bodies, n, n) {
			return nil, &NoMemoryError{}
		}
		grown := make([]byte, size)
		n := copy(grown, body)
		h.bodies.Release(before)
		more, ended, err := fill(r, grown[n:])
		body = grown[:n+more]
		switch {
		case err != nil:
			return nil, err
		case ended && int64(len(body)) < length:
			return nil, io.ErrUnexpectedEOF
		case ended, int64(len(body)) == length, size > limit:
			return body, nil
		}
		size = min(2*size, limit+1)
	}
}

// fill reads until p is full or the reader has ended. Unlike io.ReadFull it tells an end from one that came too early.
func fill(r io.Reader, p []byte) (n int, ended bool, err error) {
	for n < len(p) {
		read, err := r.Read(p[n:])
		n += read
		if errors.Is(err, io.EOF) {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}

// CountBody returns a handler that takes the memory of bodies from the account as they are read, for handlers that read them by themselves.
func CountBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h := holdsOf(r.Context()); h != nil && r.Body != nil {
			r.Body = &countedBody{ReadCloser: r.Body, holds: h}
		}
		next.ServeHTTP(w, r)
	})
}

// countedBody takes memory for what is read.
type countedBody struct {
	io.ReadCloser
	holds *holds
}

// Read takes the memory before it reads.
func (b *countedBody) Read(p []byte) (int, error) {
	p = p[:min(len(p), maxCountedRead)]
	n := memory.Bytes(len(p)) * growthCopies
	if !b.holds.take(memory.Bodies, n, b.holds.bodies.Bytes()+n) {
		return 0, &NoMemoryError{}
	}
	defer b.holds.receive()()
	read, err := b.ReadCloser.Read(p)
	b.holds.bodies.Release(n - memory.Bytes(read)*growthCopies)
	return read, err
}
