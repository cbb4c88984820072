package httpc

import (
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// States of a connection with regard to the request that uses it.
const (
	connFresh  int32 = iota // no byte of the request was written
	connUsed                // a write has started
	connSealed              // no byte was written and none may be
)

// conn is a connection that knows whether the current request has started to write.
type conn struct {
	net.Conn
	state atomic.Int32
}

// Write refuses to write on a sealed connection.
func (c *conn) Write(b []byte) (int, error) {
	if !c.state.CompareAndSwap(connFresh, connUsed) && c.state.Load() == connSealed {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// seal reports whether no byte was written, and then keeps any from being written.
func (c *conn) seal() bool {
	return c.state.CompareAndSwap(connFresh, connSealed)
}

// attempt follows one request over the connections that the transport tries for it.
type attempt struct {
	mu      sync.Mutex
	current *conn
	// sent is true if an earlier or unknown connection may have carried a byte.
	sent bool
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current != nil && !a.current.seal() {
		a.sent = true
	}
	a.current = countedConn(info.Conn)
	if a.current == nil {
		a.sent = true
		return
	}
	a.current.state.Store(connFresh)
}

// seal reports whether no byte of the request has left and none will.
func (a *attempt) seal() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sent {
		return false
	}
	return a.current == nil || a.current.seal()
}

func countedConn(nc net.Conn) *conn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}
