package intake

import (
	"net/http"

	"github.com/gooseberryway/gooseberryway/internal/state/memory"
)

// boundHTTP2 bounds what a connection with HTTP/2 may send before it is read.
func boundHTTP2(server *http.Server) {
	if server.HTTP2 == nil {
		server.HTTP2 = &http.HTTP2Config{}
	}
	if server.HTTP2.MaxConcurrentStreams == 0 {
		server.HTTP2.MaxConcurrentStreams = http2Streams
	}
	server.HTTP2.MaxReceiveBufferPerConnection = http2Window
	server.HTTP2.MaxReceiveBufferPerStream = http2Window
	server.HTTP2.MaxReadFrameSize = http2FrameBytes
	server.HTTP2.MaxDecoderHeaderTableSize = http2TableBytes
	server.HTTP2.MaxEncoderHeaderTableSize = http2TableBytes
}

// readRaw reads during a TLS handshake, or what carries HTTP/2. While a write waits for the client, no more is read than a little: each frame may be answered
// with another one, which waits too.
func (c *Conn) readRaw(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	c.client.Received(n)
	if !c.http2 {
		return n, err
	}
	if c.writing.TryLock() {
		c.readAhead = 0
		c.writing.Unlock()
		return n, err
	}
	if c.readAhead += n; c.readAhead > maxReadAhead {
		c.writing.Lock()
		c.readAhead = 0
		c.writing.Unlock()
	}
	return n, err
}

// serveStream serves a request that came with HTTP/2, if there is memory for it.
func (c *Conn) serveStream(w http.ResponseWriter, r *http.Request, next http.Handler) {
	c.changeStreams(1, 0)
	defer c.changeStreams(-1, 0)
	h := newHolds(c)
	defer h.release()
	size := streamBytes + parsedMemory(r)
	if !h.take(memory.Requests, size, size) {
		refuse(w)
		return
	}
	next.ServeHTTP(w, r.WithContext(h.context(r.Context())))
}

// changeStreams changes the number of requests in progress and that of those whose bodies are read.
func (c *Conn) changeStreams(streams, receiving int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams += streams
	c.receiving += receiving
	switch c.streams {
	case 0:
		c.client.SetPhase(memory.Idle)
		c.client.Progress()
	case c.receiving:
		c.client.SetPhase(memory.Receiving)
	default:
		c.client.SetPhase(memory.Busy)
	}
}

// parsedMemory estimates the memory of the head of a request that a server has parsed.
func parsedMemory(r *http.Request) memory.Bytes {
	size, lines := int64(len(r.Method)+len(r.RequestURI)+len(r.Host)), int64(1)
	for name, values := range r.Header {
		lines += int64(len(values))
		for _, value := range values {
			size += int64(len(name) + len(value))
		}
	}
	return headMemory(size, lines)
}
