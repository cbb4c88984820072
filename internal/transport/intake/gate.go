// Package intake bounds what the connections of clients hold: their number, and the memory of the heads of their requests, which take many times their
// bytes once they are parsed. It counts heads as they arrive, before net/http parses them. If there is no room, the connection that holds most and
// has no request in progress is closed, or the newcomer is refused with 503.
package intake

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

// Gate bounds the connections of all listeners of a process together. Its exported fields are set before the first use.
type Gate struct {
	// MemoryBytes is the memory of the process and Descriptors the number of its file descriptors; 0 if unknown.
	MemoryBytes int64
	Descriptors int

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// headBytes is the memory of all heads, leavingBytes that of further ones whose connections were told to end.
	headBytes, leavingBytes int64
	loggedAt                time.Time
	// unlogged counts what was refused and closed since loggedAt.
	unlogged int
}

// RefusedError says that a connection was refused or closed for want of room.
type RefusedError struct {
	Reason Reason
}

func (e *RefusedError) Error() string { return "connection ended: " + string(e.Reason) }

// Reason tells why a connection was refused or closed.
type Reason string

// Reasons of a RefusedError.
const (
	// ReasonHeads says that there is no memory for the head of a request, which is refused.
	ReasonHeads Reason = "headMemory"
	// ReasonLongHead says that a head is longer than the server allows.
	ReasonLongHead Reason = "longHead"
	// ReasonConnections says that there are too many connections, none of which can be closed.
	ReasonConnections Reason = "connections"
	// ReasonWorst says that the connection held most when another one needed room.
	ReasonWorst Reason = "heldMost"
)

// maxHeadBytes is the memory that all heads may take together.
func (g *Gate) maxHeadBytes() int64 {
	if g.MemoryBytes <= 0 {
		return defaultHeadBytes
	}
	return g.MemoryBytes / headMemoryDivisor
}

// maxConns is the number of connections that may be open.
func (g *Gate) maxConns() int {
	limit := defaultConns
	if g.MemoryBytes > 0 {
		limit = min(limit, int(g.MemoryBytes/connMemoryDivisor/connBytes))
	}
	if g.Descriptors > 0 {
		limit = min(limit, (g.Descriptors-reservedDescriptors)/descriptorsPerConn)
	}
	return max(limit, minConns)
}

// Guard makes a server tell the gate when its connections begin to wait for a request and which heads it has parsed, and returns a listener for it. It
// is called before Serve, after the server's ConnState, ConnContext and Handler are set.
func (g *Gate) Guard(server *http.Server, l net.Listener, name string) net.Listener {
	next := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if conn, ok := c.(*Conn); ok {
			switch state {
			case http.StateIdle:
				conn.awaitHead()
			case http.StateActive:
				conn.parsed = true
			default:
			}
		}
		if next != nil {
			next(c, state)
		}
	}
	g.guardHandler(server)
	limit := int64(server.MaxHeaderBytes)
	if limit <= 0 {
		limit = http.DefaultMaxHeaderBytes
	}
	return &listener{Listener: l, gate: g, name: name, scans: true, maxHeadBytes: limit + slopBytes, headTimeout: server.ReadHeaderTimeout}
}

type connKey struct{}

// guardHandler makes a server refuse requests for whose heads there is no memory, as far as that isn't known before they are parsed.
func (g *Gate) guardHandler(server *http.Server) {
	nextContext, handler := server.ConnContext, server.Handler
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if nextContext != nil {
			ctx = nextContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok && !c.admitParsed(r) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// Limit returns a listener that bounds the number of connections only, for servers with TLS or HTTP/2.
func (g *Gate) Limit(l net.Listener, name string) net.Listener {
	return &listener{Listener: l, gate: g, name: name}
}

type listener struct {
	net.Listener
	gate         *Gate
	name         string
	scans        bool
	maxHeadBytes int64
	headTimeout  time.Duration
}

// Accept returns the next connection that there is room for.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: inner, gate: l.gate, listener: l.name, scans: l.scans, since: time.Now(), maxHeadBytes: l.maxHeadBytes, headTimeout: l.headTimeout}
		if l.gate.admit(c) {
			return c, nil
		}
		if l.scans {
			_ = inner.SetWriteDeadline(time.Now().Add(refusalTimeout))
			_, _ = inner.Write(unavailable)
		}
		_ = inner.Close()
	}
}

// admit counts a connection, in place of another one if need be.
func (g *Gate) admit(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) >= g.maxConns() && !g.closeWorst(c, -1) {
		g.count(c, ReasonConnections)
		return false
	}
	if g.conns == nil {
		g.conns = map[*Conn]struct{}{}
	}
	g.conns[c] = struct{}{}
	return true
}

// charge sets the memory of c's head to size and reports whether there was as much. For a large head no other one is
// closed: what was parsed stays for a while after its connection has been closed.
func (g *Gate) charge(c *Conn, size int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, open := g.conns[c]; !open {
		return false
	}
	grown := size - c.held
	if grown > 0 && size > largeHeadBytes && g.headBytes+g.leavingBytes+grown > g.maxHeadBytes()/2 {
		return false
	}
	for g.headBytes+grown > g.maxHeadBytes() {
		if !g.closeWorst(c, size) {
			return false
		}
	}
	g.headBytes += grown
	c.held = size
	return true
}

// refuse forgets a connection that is refused.
func (g *Gate) refuse(c *Conn, reason Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count(c, reason)
	g.drop(c)
}

// release sets the memory of c's head to 0, as c begins to wait for another one.
func (g *Gate) release(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.headBytes -= c.held
	c.held, c.since = 0, time.Now()
}

// remove forgets a connection that is closed.
func (g *Gate) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drop(c)
	g.leavingBytes -= c.leaving
	c.leaving = 0
}

// drop forgets a connection whose head stays until it is closed.
func (g *Gate) drop(c *Conn) {
	if _, open := g.conns[c]; open {
		delete(g.conns, c)
		g.headBytes -= c.held
		g.leavingBytes += c.held
		c.held, c.leaving = 0, c.held
	}
}

// closeWorst closes the connection that holds most, of several the one whose client has been silent longest, among those that wait for their clients and hold more than least bytes. It
// reports whether there was one.
func (g *Gate) closeWorst(newcomer *Conn, least int64) bool {
	for {
		worst := g.worst(newcomer, least)
		if worst == nil {
			return false
		}
		if worst.expel() {
			g.drop(worst)
			g.count(worst, ReasonWorst)
			return true
		}
	}
}

// worst returns the connection that closeWorst closes if it still waits for its client; nil if there is none.
func (g *Gate) worst(newcomer *Conn, least int64) *Conn {
	var worst *Conn
	for c := range g.conns {
		if c == newcomer || c.held <= least || !c.reading.Load() {
			continue
		}
		if worst == nil || c.held > worst.held || c.held == worst.held && c.since.Before(worst.since) {
			worst = c
		}
	}
	return worst
}

// count counts a connection that is refused or closed.
func (g *Gate) count(c *Conn, reason Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayRefusedConnections{listener=%q,reason=%q}`, c.listener, reason)).Inc()
	g.unlogged++
	now := time.Now()
	if now.Sub(g.loggedAt) < logInterval {
		return
	}
	klog.InfoS("Connections refused or closed for want of room", "listener", c.listener, "reason", reason, "client", c.RemoteAddr().String(),
		"headBytes", c.held, "allHeadBytes", g.headBytes, "connections", len(g.conns), "sinceLastLine", g.unlogged)
	g.loggedAt, g.unlogged = now, 0
}
