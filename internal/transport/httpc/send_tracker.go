package httpc

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
)

// Write states of a connection for its current request.
const (
	connFresh  int32 = iota // no write has started
	connUsed                // a write has started
	connSealed              // no write has started and all further writes fail
)

// conn is a connection that records whether a write has started for its current request, and checks the heads of the responses to it.
type conn struct {
	net.Conn
	state atomic.Int32
	// writeFailed says that a write has failed other than by closing the connection.
	writeFailed atomic.Bool

	mu sync.Mutex
	// user is the tracker of the current request.
	user *sendTracker
	// heads checks what is read since the current request was sent, and headBytes is the length of the heads so far; answered says that
	// something was read.
	heads     headScanner
	headBytes int
	answered  bool
	// keys are what was noted of earlier responses.
	keys []string
}

// Write fails with net.ErrClosed if the connection is sealed.
func (c *conn) Write(b []byte) (int, error) {
	if !c.state.CompareAndSwap(connFresh, connUsed) && c.state.Load() == connSealed {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.writeFailed.Store(true)
	}
	return n, err
}

// Read fails with a *MalformedResponseError in a head that is malformed.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if malformed := c.check(b[:n]); malformed != nil {
			return 0, malformed
		}
	}
	return n, err
}

// check checks bytes that were read. Those that come before the request was sent are no response to it.
func (c *conn) check(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.Load() != connUsed || c.user == nil {
		return nil
	}
	c.answered = true
	n, err := c.heads.scan(p)
	c.headBytes += n
	return err
}

// refusal returns what is malformed if the transport can only have refused the head of the response to the tracker's request: all of it
// arrived, or more than a head may have, and no write has failed. Else it is empty.
func (c *conn) refusal(t *sendTracker) MalformedReason {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.user != t || c.writeFailed.Load():
		return ""
	case c.heads.ended():
		return MalformedFraming
	case c.headBytes >= maxHeaderBytes:
		return MalformedLength
	default:
		return ""
	}
}

// hasAnswered reports whether anything was read since the tracker's request was sent.
func (c *conn) hasAnswered(t *sendTracker) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.user == t && c.answered
}

// abort closes the connection without a last message of TLS, which may block.
func (c *conn) abort() {
	if t, ok := c.Conn.(*tls.Conn); ok {
		_ = t.NetConn().Close()
		return
	}
	_ = c.Close()
}

// seal makes all further writes fail if none of the tracker's request has started. It returns false if one has. A connection serves
// another request only after the response to the one before.
func (c *conn) seal(t *sendTracker) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.user != t {
		return false
	}
	return c.state.CompareAndSwap(connFresh, connSealed) || c.state.Load() == connSealed
}

// take begins a request, whose writes fail if the connection is sealed. It waits while the connection is held for its last response. One
// that is still held when the request ends is sealed and closed.
func (c *conn) take(t *sendTracker) {
	last := c.lastUser()
	last.awaitRelease(t.ended)
	c.mu.Lock()
	defer c.mu.Unlock()
	if last.isHeld() {
		c.state.Store(connSealed)
		c.abort()
	}
	c.user = t
	c.heads, c.headBytes, c.answered = headScanner{}, 0, false
	c.state.CompareAndSwap(connUsed, connFresh)
}

func (c *conn) lastUser() *sendTracker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.user
}

// retire makes all further writes fail and closes the connection, unless it serves another request than the tracker's by now.
func (c *conn) retire(t *sendTracker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.user == t {
		c.state.Store(connSealed)
		c.abort()
	}
}

// trackerKey is the key of a request's sendTracker in its context.
type trackerKey struct{}

func trackerOf(resp *http.Response) *sendTracker {
	t, _ := resp.Request.Context().Value(trackerKey{}).(*sendTracker)
	return t
}

// IsFirst reports whether a response of Pool.Do is to the first request on its connection. Otherwise, what says nothing of the
// request may belong to an earlier one.
func IsFirst(resp *http.Response) bool {
	t := trackerOf(resp)
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current != nil && !t.reused
}

// Release ends the hold of a response of Pool.DoHeld on its connection.
func Release(resp *http.Response) {
	if t := trackerOf(resp); t != nil {
		t.release()
	}
}

// Retire closes the connection of a response of Pool.Do, so that a server that still works on the request notices, and no
// further request gets what is left of the response. The body can't be read any more.
func Retire(resp *http.Response) {
	t := trackerOf(resp)
	if t == nil {
		return
	}
	defer t.release()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil {
		t.current.retire(t)
	}
}

// NoteOnce notes a key of a response of Pool.Do on its connection and reports whether no earlier response had it. A connection with
// many keys serves no further request.
func NoteOnce(resp *http.Response, key string) bool {
	t := trackerOf(resp)
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current == nil || t.current.noteOnce(t, key)
}

func (c *conn) noteOnce(t *sendTracker, key string) bool {
	c.mu.Lock()
	known := slices.Contains(c.keys, key)
	c.keys = append(c.keys, key)
	full := len(c.keys) >= maxNotedKeys
	c.mu.Unlock()
	if full {
		c.retire(t)
	}
	return !known
}

// sendTracker records whether a request was sent on any of the connections that the transport tries for it.
type sendTracker struct {
	// ended is closed when the request's context ends.
	ended <-chan struct{}
	// released is closed once another request may be sent on the connection of the response; nil if it always may.
	released    chan struct{}
	releaseOnce sync.Once

	mu      sync.Mutex
	current *conn
	// reused is true if the current connection has served another request before.
	reused bool
	// unasked is true if the response was read before the request was sent.
	unasked bool
	// maybeSent is true if a byte may have been sent on an earlier connection or on one that is not a *conn.
	maybeSent bool
}

// release lets other requests use the connection.
func (t *sendTracker) release() {
	if t.released != nil {
		t.releaseOnce.Do(func() { close(t.released) })
	}
}

// awaitRelease waits until other requests may use the connection, or until ended is closed.
func (t *sendTracker) awaitRelease(ended <-chan struct{}) {
	if t == nil || t.released == nil {
		return
	}
	select {
	case <-t.released:
	case <-ended:
	}
}

func (t *sendTracker) isHeld() bool {
	if t == nil || t.released == nil {
		return false
	}
	select {
	case <-t.released:
		return false
	default:
		return true
	}
}

// gotConn is called by the transport when it has chosen a connection for the request.
func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil && !t.current.seal(t) {
		t.maybeSent = true
	}
	t.current = trackedConn(info.Conn)
	if t.current == nil {
		t.maybeSent = true
		return
	}
	t.reused = info.Reused
	t.current.take(t)
}

// gotFirstByte is called by the transport when it begins to parse the response. It reads from the connection only if it has nothing left of
// what came before.
func (t *sendTracker) gotFirstByte() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unasked = t.current != nil && !t.current.hasAnswered(t)
}

// refusal returns what is malformed if the transport can only have refused the head of the response, else it is empty.
func (t *sendTracker) refusal() MalformedReason {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil {
		return ""
	}
	return t.current.refusal(t)
}

// isUnasked reports whether the response was read before the request was sent.
func (t *sendTracker) isUnasked() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unasked
}

// isReused reports whether the last connection had served another request before.
func (t *sendTracker) isReused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}

// seal blocks all further writes of the request. It returns false if a byte may have been sent already.
func (t *sendTracker) seal() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.maybeSent {
		return false
	}
	return t.current == nil || t.current.seal(t)
}

// trackedConn returns nc as a *conn, or nil if it is none.
func trackedConn(nc net.Conn) *conn {
	c, _ := nc.(*conn)
	return c
}
