package intake

import (
	"math/bits"
	"net"
	"syscall"
)

// ReceiveBufferBytes returns the size of the kernel's receive buffer of the next connection, of a client or to an upstream. What was received and isn't read
// counts as memory of the process. The more connections there are, the smaller it is, so that the buffers of all together are bounded.
func (g *Gate) ReceiveBufferBytes() int {
	if g.MemoryBytes <= 0 {
		return 0
	}
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	size := g.MemoryBytes / unreadDivisor / int64(bufferDivisor*(open+bufferOffset))
	return min(max(1<<(bits.Len64(uint64(size))-1), minBufferBytes), maxBufferBytes)
}

// ControlDial sets the receive buffer of a connection to an upstream before it is opened.
func (g *Gate) ControlDial(_, _ string, raw syscall.RawConn) error {
	setReceiveBuffer(raw, g.ReceiveBufferBytes())
	return nil
}

// setListenBuffer gives the connections of a listener the smallest receive buffer until they are accepted, as any number of them may wait for that.
func (g *Gate) setListenBuffer(l net.Listener) {
	socket, ok := l.(syscall.Conn)
	if !ok || g.MemoryBytes <= 0 {
		return
	}
	if raw, err := socket.SyscallConn(); err == nil {
		setReceiveBuffer(raw, minBufferBytes)
	}
}

// setConnBuffer gives an accepted connection its receive buffer. It is never made smaller, which would stall what is under way.
func (g *Gate) setConnBuffer(c net.Conn) {
	size := g.ReceiveBufferBytes()
	if socket, ok := c.(interface{ SetReadBuffer(bytes int) error }); ok && size > minBufferBytes {
		_ = socket.SetReadBuffer(size)
	}
}

// setReceiveBuffer sets the size of a receive buffer. A system that doesn't allow it keeps its own.
func setReceiveBuffer(raw syscall.RawConn, size int) {
	if size == 0 {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
	})
}
