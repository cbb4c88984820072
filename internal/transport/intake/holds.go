package intake

import (
	"context"

	"github.com/gooseberryway/gooseberryway/internal/state/memory"
)

// holds is what is held for one request beside its head, until its handler returns.
type holds struct {
	conn             *Conn
	bodies, requests memory.Hold
}

type holdsKey struct{}

// newHolds returns the holds of a request on a connection.
func newHolds(c *Conn) *holds {
	return &holds{conn: c, bodies: c.client.NewHold(memory.Bodies), requests: c.client.NewHold(memory.Requests)}
}

// holdsOf returns the holds of the request with a context; nil if its connection has no account. A connection with HTTP/1.1 has one request at a time.
func holdsOf(ctx context.Context) *holds {
	if h, ok := ctx.Value(holdsKey{}).(*holds); ok {
		return h
	}
	if c, ok := ctx.Value(connKey{}).(*Conn); ok && c.scans {
		return &c.holds
	}
	return nil
}

func (h *holds) context(ctx context.Context) context.Context {
	return context.WithValue(ctx, holdsKey{}, h)
}

// take takes n further bytes for a piece of the given size. A refusal is counted.
func (h *holds) take(u memory.Use, n, size memory.Bytes) bool {
	hold := &h.requests
	if u == memory.Bodies {
		hold = &h.bodies
	}
	if hold.Take(n, size) {
		return true
	}
	h.conn.gate.note(h.conn, ReasonMemory)
	return false
}

// receive records that the body is read, until the returned function is called.
func (h *holds) receive() (end func()) {
	if h.conn == nil || h.conn.scans {
		return func() {}
	}
	h.conn.changeStreams(0, 1)
	return func() { h.conn.changeStreams(0, -1) }
}

func (h *holds) release() {
	h.bodies.ReleaseAll()
	h.requests.ReleaseAll()
}
