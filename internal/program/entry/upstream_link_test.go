package entry

import (
	"bytes"
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// linkState is what happens on a daemon's link to upstreams.
type linkState uint8

const (
	linkUp linkState = iota
	// linkHangs: packets are lost; what was written arrives once the link is up again.
	linkHangs
	// linkResets: open connections are reset, new ones refused.
	linkResets
	// linkRefuses: new connections are refused, open ones live on.
	linkRefuses
	// linkDropsNew: new connections hang, as where the upstream's queue of them is full; open ones live on.
	linkDropsNew
)

// upstreamLink is the network between a daemon and the upstreams.
type upstreamLink struct {
	mu      sync.Mutex
	state   linkState
	isCut   func(address string) bool
	changed chan struct{}
	conns   []*linkConn
	// written is all that was written to upstreams.
	written bytes.Buffer
}

func newUpstreamLink() *upstreamLink { return &upstreamLink{changed: make(chan struct{})} }

// set changes the state of the link to the addresses that isCut names; nil means all of them.
func (l *upstreamLink) set(state linkState, isCut func(address string) bool) {
	l.mu.Lock()
	l.state, l.isCut = state, isCut
	close(l.changed)
	l.changed = make(chan struct{})
	conns := l.conns
	l.mu.Unlock()
	for _, c := range conns {
		c.apply()
	}
}

// stateTo returns the state of the link to an address and a channel that is closed when the state changes.
func (l *upstreamLink) stateTo(address string) (linkState, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != linkUp && l.isCut != nil && !l.isCut(address) {
		return linkUp, l.changed
	}
	return l.state, l.changed
}

// carried reports whether this daemon has written a request with the ID to an upstream.
func (l *upstreamLink) carried(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Contains(l.written.Bytes(), []byte(requestIDKey+": "+id+"\r\n"))
}

func (l *upstreamLink) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch state, _ := l.stateTo(address); state {
	case linkUp:
	case linkHangs, linkDropsNew:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	default:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	out := &linkConn{Conn: c, link: l, address: address, closed: make(chan struct{})}
	l.mu.Lock()
	l.conns = append(l.conns, out)
	l.mu.Unlock()
	return out, nil
}

// linkConn is a connection over an upstreamLink.
type linkConn struct {
	net.Conn
	link      *upstreamLink
	address   string
	wasReset  atomic.Bool
	closed    chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// unsent is what was written while the link hung.
	unsent []byte
}

var errConnReset = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNRESET)}

// Read implements net.Conn. What arrives while the link hangs is delivered when it is up again.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for {
		state, changed := c.link.stateTo(c.address)
		switch {
		case c.wasReset.Load():
			return 0, errConnReset
		case c.isClosed():
			return 0, net.ErrClosed
		case state != linkHangs:
			return n, err
		}
		select {
		case <-changed:
		case <-c.closed:
		}
	}
}

// Write implements net.Conn.
func (c *linkConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wasReset.Load() {
		return 0, errConnReset
	}
	c.link.mu.Lock()
	c.link.written.Write(b)
	c.link.mu.Unlock()
	if state, _ := c.link.stateTo(c.address); state == linkHangs {
		c.unsent = append(c.unsent, b...)
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. The upstream doesn't see it while the link hangs.
func (c *linkConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	if state, _ := c.link.stateTo(c.address); state == linkHangs {
		return c.SetReadDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}

func (c *linkConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// apply brings the connection into the state of its link.
func (c *linkConn) apply() {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, _ := c.link.stateTo(c.address)
	if state == linkHangs {
		return
	}
	if state == linkResets {
		c.wasReset.Store(true)
		_ = c.Conn.Close()
		return
	}
	// A connection that was reset fails to write.
	_, _ = c.Conn.Write(c.unsent)
	c.unsent = nil
	if c.isClosed() {
		_ = c.Conn.Close()
	}
}
