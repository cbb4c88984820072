package entry

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// lingerTime is how long a connection that is closed during a planned stop waits for its caller to read the response. It is that of net/http for
// responses to requests whose body was not read.
const lingerTime = 500 * time.Millisecond

// lingerer makes connections deliver the last response before they close. Bytes that were not read, as of a pipelined request, would make the system
// reset the connection and drop what the caller hasn't read yet. It does nothing until enabled is set.
type lingerer struct {
	enabled atomic.Bool
	// open counts the connections that wait for their callers.
	open atomic.Int64
}

// listener returns a listener whose connections linger while that is enabled.
func (l *lingerer) listener(inner net.Listener) net.Listener { return &lingerListener{inner, l} }

type lingerListener struct {
	net.Listener
	lingerer *lingerer
}

// SyscallConn returns the listening socket.
func (l *lingerListener) SyscallConn() (syscall.RawConn, error) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// Accept returns the next connection.
func (l *lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok && err == nil {
		return &lingerConn{TCPConn: tcp, lingerer: l.lingerer}, nil
	}
	return c, err
}

// lingerConn is a connection that may linger after Close, which does not wait for it.
type lingerConn struct {
	*net.TCPConn
	lingerer *lingerer
	closed   atomic.Bool
}

// Close closes the connection, after lingerTime at the latest if it lingers. It must not run at the same time as Read while connections linger.
func (c *lingerConn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	if !c.lingerer.enabled.Load() || c.CloseWrite() != nil {
		return c.TCPConn.Close()
	}
	c.lingerer.open.Add(1)
	go func() {
		defer c.lingerer.open.Add(-1)
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, c.TCPConn)
		_ = c.TCPConn.Close()
	}()
	return nil
}
