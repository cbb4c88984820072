// Package intake bounds what the connections of clients hold: their number, and by the account of the process' memory their heads, which take many times their
// bytes once they are parsed, and all else that is held for them. It counts heads as they arrive, before net/http parses them. If there is no room, the
// connection that has made no progress for the longest time is closed, or the newcomer is refused with 503.
package intake

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/memory"
)

// Gate bounds the connections of all listeners of a process together. Its exported fields are set before the first use.
type Gate struct {
	// MemoryBytes is the memory of the process and Descriptors the number of its file descriptors; 0 if unknown.
	MemoryBytes int64
	Descriptors int

	once    sync.Once
	account memory.Account

	mu sync.Mutex
	// open is the number of connections that were not closed, openAt that of each listener.
	open     int
	openAt   map[string]int
	loggedAt time.Time
	// unlogged counts what was refused and closed since loggedAt.
	unlogged int
}

// Account returns the account of the process' memory.
func (g *Gate) Account() *memory.Account {
	g.once.Do(func() {
		g.account.ProcessBytes = memory.Bytes(g.MemoryBytes)
		g.account.OnExpel = func(client *memory.Client) {
			if c, ok := client.Conn.(*Conn); ok {
				g.uncount(c)
				g.note(c, ReasonNoProgress)
			}
		}
	})
	return &g.account
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
	// ReasonNoProgress says that the connection had made no progress for the longest time when another one needed room.
	ReasonNoProgress Reason = "noProgress"
	// ReasonMemory says that there is no memory for a connection or for a request on it.
	ReasonMemory Reason = "memory"
	// ReasonHandshake says that a TLS handshake failed or took too long.
	ReasonHandshake Reason = "handshake"
)

// maxConns is the number of connections that may be open.
func (g *Gate) maxConns() int {
	limit := min(defaultConns, int(g.Account().Budget(memory.Connections)/connBytes))
	if g.Descriptors > 0 {
		limit = min(limit, (g.Descriptors-reservedDescriptors)/descriptorsPerConn)
	}
	return max(limit, minConns)
}

// Guard makes a server tell the gate when its connections begin to wait for a request and which heads it has parsed, and returns a listener for it, for
// HTTP/1.1 without TLS. It is called before Serve, after the server's ConnState, ConnContext and Handler are set.
func (g *Gate) Guard(server *http.Server, l net.Listener, name string) net.Listener {
	guarded := g.guard(server, l, name)
	guarded.scans = true
	return guarded
}

// GuardTLS does the same for a server with TLS, over HTTP/1.1 and HTTP/2. The server serves the listener without TLS of its own.
func (g *Gate) GuardTLS(server *http.Server, cfg *tls.Config, l net.Listener, name string) net.Listener {
	server.TLSConfig = cfg.Clone()
	server.TLSConfig.NextProtos = []string{protocolHTTP2, protocolHTTP1}
	return &tlsListener{listener: g.guard(server, l, name), cfg: server.TLSConfig}
}

// GuardHTTP2 does the same for a server that speaks HTTP/2 without TLS only.
func (g *Gate) GuardHTTP2(server *http.Server, l net.Listener, name string) net.Listener {
	guarded := g.guard(server, l, name)
	guarded.http2, guarded.baseBytes = true, connBytes+http2Bytes
	return guarded
}

func (g *Gate) guard(server *http.Server, l net.Listener, name string) *listener {
	next := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if conn, ok := c.(*Conn); ok && conn.scans {
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
	g.setListenBuffer(l)
	boundHTTP2(server)
	limit := int64(server.MaxHeaderBytes)
	if limit <= 0 {
		limit = http.DefaultMaxHeaderBytes
	}
	return &listener{Listener: l, gate: g, name: name, maxHeadBytes: limit + slopBytes, headTimeout: server.ReadHeaderTimeout, baseBytes: connBytes}
}

type connKey struct{}

// connOf returns the counted connection below one that a server got.
func connOf(c net.Conn) *Conn {
	if secured, ok := c.(*tls.Conn); ok {
		c = secured.NetConn()
	}
	conn, _ := c.(*Conn)
	return conn
}

// guardHandler makes a server refuse requests for whose heads there is no memory, as far as that isn't known before they are parsed.
func (g *Gate) guardHandler(server *http.Server) {
	nextContext, handler := server.ConnContext, server.Handler
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if nextContext != nil {
			ctx = nextContext(ctx, c)
		}
		conn := connOf(c)
		if conn == nil {
			return ctx
		}
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		switch {
		case !ok:
			handler.ServeHTTP(w, r)
		case !c.scans:
			c.serveStream(w, r, handler)
		case c.admitParsed(r):
			defer c.holds.release()
			handler.ServeHTTP(w, r)
		default:
			w.Header().Set("Connection", "close")
			refuse(w)
		}
	})
}

// refuse refuses a request that no handler has seen.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Retry-After", retryAfter())
	w.WriteHeader(http.StatusServiceUnavailable)
}

type listener struct {
	net.Listener
	gate         *Gate
	name         string
	scans, http2 bool
	maxHeadBytes int64
	headTimeout  time.Duration
	// baseBytes is the memory of a connection without a request.
	baseBytes memory.Bytes
}

// Accept returns the next connection that there is room for.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.accept()
	if err != nil {
		return nil, err
	}
	return c, nil
}

func (l *listener) accept() (*Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: inner, gate: l.gate, listener: l.name, scans: l.scans, http2: l.http2, maxHeadBytes: l.maxHeadBytes, headTimeout: l.headTimeout}
		c.client = &memory.Client{Account: l.gate.Account(), Conn: c}
		c.holds = *newHolds(c)
		if l.gate.admit(c, l.baseBytes) {
			l.gate.setConnBuffer(inner)
			return c, nil
		}
		if l.scans {
			_ = inner.SetWriteDeadline(time.Now().Add(refusalTimeout))
			_, _ = inner.Write(unavailableResponse())
		}
		_ = inner.Close()
	}
}

// admit counts a connection, in place of another one if need be.
func (g *Gate) admit(c *Conn, size memory.Bytes) bool {
	for !g.count(c) {
		if !g.Account().ExpelFor(c.client) {
			g.note(c, ReasonConnections)
			return false
		}
	}
	if !c.client.Open(size) {
		g.uncount(c)
		g.note(c, ReasonMemory)
		return false
	}
	return true
}

// count counts a connection unless there are too many. A few of each listener are always let in, so that crowds of one leave the others open.
func (g *Gate) count(c *Conn) bool {
	limit := g.maxConns()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open >= limit && g.openAt[c.listener] >= minConns/2 {
		return false
	}
	if g.openAt == nil {
		g.openAt = map[string]int{}
	}
	g.open++
	g.openAt[c.listener]++
	c.counted = true
	return true
}

// uncount forgets a connection that is closed.
func (g *Gate) uncount(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.counted {
		c.counted = false
		g.open--
		g.openAt[c.listener]--
	}
}

// leave forgets a connection that is refused. What it holds is free once it is closed.
func (g *Gate) leave(c *Conn, reason Reason) {
	g.uncount(c)
	c.client.Leave()
	g.note(c, reason)
}

// UpdateMetrics sets the gauges of what is held for clients and of the process' own state.
func (g *Gate) UpdateMetrics() {
	a := g.Account()
	for _, u := range memory.Uses() {
		metrics.GetOrCreateGauge(fmt.Sprintf(`gooseberrywayHeldBytes{use=%q}`, u), nil).Set(float64(a.Held(u)))
	}
	metrics.GetOrCreateGauge("gooseberrywayOwnBytes", nil).Set(float64(a.OwnState()))
}

// note counts a connection or a request that is refused, or a connection that is closed.
func (g *Gate) note(c *Conn, reason Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayRefusedConnections{listener=%q,reason=%q}`, c.listener, reason)).Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unlogged++
	now := time.Now()
	if now.Sub(g.loggedAt) < logInterval {
		return
	}
	a := g.Account()
	klog.InfoS("Connections refused or closed for want of room", "listener", c.listener, "reason", reason, "client", c.RemoteAddr().String(),
		"headBytes", a.Held(memory.Heads), "bodyBytes", a.Held(memory.Bodies), "requestBytes", a.Held(memory.Requests), "ownBytes", a.OwnState(),
		"connections", g.open, "sinceLastLine", g.unlogged)
	g.loggedAt, g.unlogged = now, 0
}
