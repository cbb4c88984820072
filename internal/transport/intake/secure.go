package intake

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/memory"
)

// Protocols of the TLS extension ALPN.
const (
	protocolHTTP1 = "http/1.1"
	protocolHTTP2 = "h2"
)

// plainTextAnswer is sent to clients that speak HTTP without TLS.
var plainTextAnswer = []byte("HTTP/1.0 400 Bad Request\r\n\r\nClient sent an HTTP request to an HTTPS server.\n")

// tlsListener returns connections whose handshake is complete: *Conn for HTTP/1.1 and *tls.Conn for HTTP/2.
type tlsListener struct {
	*listener
	cfg *tls.Config

	once   sync.Once
	start  sync.Once
	wg     sync.WaitGroup
	ctx    context.Context //nolint:containedctx // ends with the listener
	cancel context.CancelFunc
	ready  chan net.Conn
	failed chan error
}

func (l *tlsListener) init() {
	l.once.Do(func() {
		l.ctx, l.cancel = context.WithCancel(context.Background())
		l.ready, l.failed = make(chan net.Conn), make(chan error, 1)
		l.baseBytes = connBytes + tlsBytes
	})
}

// Accept returns the next connection.
func (l *tlsListener) Accept() (net.Conn, error) {
	l.init()
	l.start.Do(func() { l.wg.Go(l.acceptAll) })
	select {
	case c := <-l.ready:
		return c, nil
	case err := <-l.failed:
		l.failed <- err
		return nil, err
	}
}

// Close stops listening and waits for the handshakes, which it ends.
func (l *tlsListener) Close() error {
	l.init()
	err := l.listener.Close()
	l.cancel()
	l.wg.Wait()
	return err
}

func (l *tlsListener) acceptAll() {
	for {
		c, err := l.accept()
		if err != nil {
			l.failed <- err
			return
		}
		l.wg.Go(func() { l.handshake(c) })
	}
}

// handshake completes the handshake of a connection within the time for a head, and hands it over.
func (l *tlsListener) handshake(c *Conn) {
	c.client.SetPhase(memory.Receiving)
	ctx, cancel := context.WithTimeout(l.ctx, l.handshakeTimeout())
	defer cancel()
	secured := tls.Server(c, l.cfg)
	if err := secured.HandshakeContext(ctx); err != nil {
		var header tls.RecordHeaderError
		if errors.As(err, &header) && header.Conn != nil {
			_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
			_, _ = c.Write(plainTextAnswer)
		} else if l.ctx.Err() == nil {
			l.gate.note(c, ReasonHandshake)
		}
		_ = c.Close()
		return
	}
	carrier, ok := l.carrier(c, secured)
	if !ok {
		l.gate.note(c, ReasonMemory)
		_ = c.Close()
		return
	}
	select {
	case l.ready <- carrier:
	case <-l.ctx.Done():
		_ = c.Close()
	}
}

func (l *tlsListener) handshakeTimeout() time.Duration {
	if l.headTimeout > 0 {
		return l.headTimeout
	}
	return stallTimeout
}

// carrier returns the connection that the server gets, and whether there is memory for it.
func (l *tlsListener) carrier(c *Conn, secured *tls.Conn) (carrier net.Conn, ok bool) {
	c.client.SetPhase(memory.Idle)
	c.client.Progress()
	if secured.ConnectionState().NegotiatedProtocol == protocolHTTP2 {
		c.http2 = true
		return secured, c.client.Grow(http2Bytes)
	}
	upper := &Conn{
		Conn: secured, gate: l.gate, client: c.client, listener: l.name, scans: true, secured: true, maxHeadBytes: l.maxHeadBytes, headTimeout: l.headTimeout,
	}
	upper.holds = *newHolds(upper)
	c.upper.Store(upper)
	return upper, true
}
