package httpc

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

// ResetError is the end of a connection on which a write has failed, so that what was read before may be only a part.
type ResetError struct {
	// Err is the error of the write.
	Err error
}

func (e *ResetError) Error() string {
	return fmt.Sprintf("the connection broke while it was written: %v", e.Err)
}

func (e *ResetError) Unwrap() error { return e.Err }

// resetConn is a connection whose reads tell a reset from an orderly end. The system reports a reset to one operation only: if that is a
// write, reads see an orderly end, maybe before the write has returned.
type resetConn struct {
	net.Conn

	mu sync.Mutex
	// written is signalled when a write has returned.
	written sync.Cond
	// begun and returned count writes, which come one after the other.
	begun, returned uint64
	// writeErr is the error of the first write that failed.
	writeErr error
}

func newResetConn(c net.Conn) *resetConn {
	r := &resetConn{Conn: c}
	r.written.L = &r.mu
	return r
}

// Write implements net.Conn.
func (c *resetConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.begun++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.returned++
	if c.writeErr == nil {
		c.writeErr = err
	}
	c.written.Broadcast()
	return n, err
}

// Read implements net.Conn. Before it returns io.EOF it waits for the write in progress, and if that or an earlier write has failed, it returns a
// *ResetError instead. Closing the connection ends both.
func (c *resetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for begun := c.begun; c.returned < begun; {
		c.written.Wait()
	}
	if c.writeErr != nil {
		return n, &ResetError{Err: c.writeErr}
	}
	return n, err
}
