package intake

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/memory"
)

// Responses to heads that aren't parsed. Their requests have not run and never will.
const (
	unavailable = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n"
	tooLarge    = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// unavailableResponse returns the response to a head for which there is no memory.
func unavailableResponse() []byte { return fmt.Appendf(nil, unavailable, retryAfter()) }

// retryAfter returns the seconds after which a refused client may return: no sooner than stalled clients are closed, and not all at once.
func retryAfter() string { return strconv.Itoa(minRetryAfter + rand.IntN(retryAfterSpread)) }

// Conn is the connection of a client. It counts the heads that it reads until they end.
type Conn struct {
	net.Conn
	gate     *Gate
	client   *memory.Client
	listener string
	// scans says that the connection carries HTTP/1.1, secured that it does so over TLS, http2 that it carries HTTP/2. One that carries TLS, or doesn't know
	// yet what, has neither scans nor http2.
	scans, secured, http2 bool
	// upper is the connection that carries HTTP/1.1 over TLS over this one; nil for none.
	upper atomic.Pointer[Conn]
	// holds are those of the request in progress with HTTP/1.1.
	holds holds
	// counted is guarded by the gate's lock.
	counted bool

	// maxHeadBytes is how much the server reads of a head, headTimeout how long a head may take from its first byte on; 0 for no limit.
	maxHeadBytes int64
	headTimeout  time.Duration

	// One goroutine of the server at a time uses the following. scanner is that of the current head. head holds the bytes of a head that hasn't
	// ended, or what of them was not passed on.
	scanner headScanner
	head    []byte
	// bodyLeft is the number of bytes until the next head. blind says that it isn't known where the current head began: until parsed says that
	// the server has parsed it, all is counted that the server may take for a part of it.
	bodyLeft      int64
	blind, parsed bool

	// expelled says that the connection was closed to make room.
	expelled atomic.Bool
	// readAhead is what was read with HTTP/2 while a write waited for the client.
	readAhead int

	// writing is held while a write is in progress.
	writing sync.Mutex
	// mu guards the following, and changes of expelled. reading says that a read waits for the client, other than the one that watches for the end of the
	// connection while a request is served, sending that a write does. readTimed says that the server has set a deadline of reads, stallTimed that it is the
	// connection's own; writeDeadline is the server's one of writes.
	mu               sync.Mutex
	reading, sending bool
	// streams is the number of requests in progress with HTTP/2, receiving that of those whose bodies are being read.
	streams, receiving    int
	readTimed, stallTimed bool
	writeDeadline         time.Time
}

// Read reads from the client. No byte of a head is returned before the head has ended, so that nothing parses what there is no memory for. The error is
// a *RefusedError in a *net.OpError if the connection is closed for want of room.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.scans {
		return c.readRaw(p)
	}
	for {
		if c.scanner.ended && len(c.head) > 0 {
			return c.passOn(p), nil
		}
		n, err := c.readOnce(p)
		if n == 0 {
			return 0, err
		}
		whole, refusal := c.take(p[:n])
		switch {
		case refusal != nil:
			return 0, refusal
		case whole:
			return n, err
		case err != nil && !c.scanner.ended:
			return 0, err
		}
	}
}

// passOn returns bytes of a head that has ended, and what came with it.
func (c *Conn) passOn(p []byte) int {
	n := copy(p, c.head)
	if c.head = c.head[n:]; len(c.head) == 0 {
		c.head = nil
	}
	return n
}

// readOnce reads what has arrived.
func (c *Conn) readOnce(p []byte) (int, error) {
	watches := len(p) == 1
	if err := c.beginRead(watches); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if c.endRead() {
		// The server would wait before it closes the connection.
		_ = c.Conn.Close()
		return 0, opError("read", ReasonNoProgress)
	}
	if n > 0 {
		c.client.Received(n)
	}
	return n, err
}

// take counts bytes that were read, and reports whether they may be passed on; if not, they are kept.
func (c *Conn) take(p []byte) (whole bool, refusal error) {
	if c.blind {
		if c.parsed {
			return true, nil
		}
		return true, c.takeBlindly(p)
	}
	if c.scanner.ended {
		c.takeBody(p)
		return true, nil
	}
	n := c.scanner.scan(p)
	if c.scanner.bytes > c.maxHeadBytes {
		return false, c.refuse([]byte(tooLarge), ReasonLongHead)
	}
	// A head that hasn't ended is not parsed.
	size := memory.Bytes(c.scanner.bytes)
	if c.scanner.ended {
		size = headMemory(c.scanner.bytes, c.scanner.lines)
	}
	if !c.client.SetHead(size) {
		return false, c.refuse(unavailableResponse(), ReasonHeads)
	}
	if len(c.head) == 0 && c.scanner.ended {
		c.bodyLeft = bodyLength(p[:n])
		c.takeBody(p[n:])
		return true, nil
	}
	if len(c.head) == 0 && c.headTimeout > 0 {
		_ = c.SetReadDeadline(time.Now().Add(c.headTimeout))
	}
	c.head = append(c.head, p...)
	if c.scanner.ended {
		c.bodyLeft = bodyLength(c.head[:len(c.head)-len(p)+n])
		c.takeBody(p[n:])
	}
	return false, nil
}

// takeBody counts bytes that follow a head.
func (c *Conn) takeBody(p []byte) {
	if c.bodyLeft == unknownLength {
		return
	}
	if c.bodyLeft -= int64(len(p)); c.bodyLeft < 0 {
		c.bodyLeft = unknownLength
	}
}

// takeBlindly counts bytes of which it isn't known what they belong to. A response may be in progress, so that there is no refusal to be sent.
func (c *Conn) takeBlindly(p []byte) error {
	p = p[:min(int64(len(p)), max(0, c.maxHeadBytes-c.scanner.bytes))]
	c.scanner.bytes += int64(len(p))
	c.scanner.lines += int64(bytes.Count(p, []byte{'\n'}))
	if !c.client.SetHead(headMemory(c.scanner.bytes, c.scanner.lines)) {
		c.gate.leave(c, ReasonHeads)
		return opError("read", ReasonHeads)
	}
	return nil
}

// endRead reports whether the connection was closed to make room while it waited for the client.
func (c *Conn) endRead() (expelled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.client.SetPhase(memory.Busy)
	return c.expelled.Load()
}

// beginRead sets a deadline of its own unless the server has set one or the read only watches.
func (c *Conn) beginRead(watches bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expelled.Load() {
		return opError("read", ReasonNoProgress)
	}
	if !watches {
		c.reading = true
		c.client.SetPhase(c.readPhase())
	}
	if c.readTimed {
		return nil
	}
	if !watches {
		c.stallTimed = true
		return c.Conn.SetReadDeadline(time.Now().Add(stallTimeout))
	}
	if c.stallTimed {
		c.stallTimed = false
		return c.Conn.SetReadDeadline(time.Time{})
	}
	return nil
}

// readPhase returns what a read waits for.
func (c *Conn) readPhase() memory.Phase {
	if c.scanner.bytes == 0 && (!c.blind || !c.parsed) {
		return memory.Idle
	}
	return memory.Receiving
}

// Write writes to the client, for as long as the client takes some of it within each stallTimeout unless the server has set a deadline.
func (c *Conn) Write(p []byte) (int, error) {
	if c.secured {
		return c.Conn.Write(p)
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	defer c.endWrite()
	written, progressAt := 0, time.Now()
	for now := progressAt; ; now = time.Now() {
		if err := c.beginWrite(now, progressAt); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		switch {
		case err == nil:
			return written, nil
		case c.expelled.Load():
			return written, opError("write", ReasonNoProgress)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return written, err
		}
		if n > 0 {
			progressAt = time.Now()
		}
		if c.writeEnds(progressAt) {
			return written, err
		}
	}
}

// beginWrite records that the client has to read on since progressAt, and sets a deadline after which the progress is looked at.
func (c *Conn) beginWrite(now, progressAt time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expelled.Load() {
		return opError("write", ReasonNoProgress)
	}
	c.sending = true
	c.client.BeginSending(progressAt)
	return c.Conn.SetWriteDeadline(c.nextWriteCheck(now))
}

// nextWriteCheck returns when a write in progress is looked at.
func (c *Conn) nextWriteCheck(now time.Time) time.Time {
	check := now.Add(writeCheckPeriod)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(check) {
		return c.writeDeadline
	}
	return check
}

// writeEnds reports whether the time for a write is over that has last made progress at progressAt.
func (c *Conn) writeEnds(progressAt time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.writeDeadline.IsZero() {
		return !now.Before(c.writeDeadline)
	}
	return now.Sub(progressAt) >= stallTimeout
}

func (c *Conn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending = false
	c.client.EndSending()
}

// headMemory estimates the memory of so many bytes and lines of a head once they are parsed.
func headMemory(size, lines int64) memory.Bytes {
	return memory.Bytes(size*byteCopies + lines*lineBytes)
}

// awaitHead begins to count the next head. The server calls it between two requests, when nothing reads.
func (c *Conn) awaitHead() {
	c.client.ReleaseHead()
	c.client.Progress()
	// What the server has read of another request is at most its buffer.
	c.blind, c.parsed = c.blind || c.bodyLeft != 0, false
	c.scanner = headScanner{}
	if c.blind {
		c.scanner.ended = true
	}
}

// admitParsed counts the head of a request that the server has parsed, if its bytes could not be counted alone as they arrived, and reports whether
// there is as much memory.
func (c *Conn) admitParsed(r *http.Request) bool {
	if !c.blind {
		return true
	}
	if !c.client.SetHead(parsedMemory(r)) {
		c.gate.leave(c, ReasonHeads)
		return false
	}
	return true
}

// Expel ends the read or the write that waits for the client, after which the server closes the connection. It reports whether there was one: what was
// read may be a request that is being served.
func (c *Conn) Expel() bool {
	if c.expel() {
		return true
	}
	upper := c.upper.Load()
	return upper != nil && upper.expel()
}

func (c *Conn) expel() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waitsForClient() {
		return false
	}
	c.expelled.Store(true)
	if !c.scans {
		// Servers end HTTP/2 and handshakes at once.
		_ = c.Conn.Close()
		return true
	}
	_ = c.Conn.SetReadDeadline(time.Now())
	if c.sending {
		_ = c.Conn.SetWriteDeadline(time.Now())
	}
	return true
}

// waitsForClient reports whether the connection may be closed now.
func (c *Conn) waitsForClient() bool {
	switch {
	case c.sending && c.client.Stalled():
		return true
	case c.scans:
		return c.reading
	case c.upper.Load() != nil:
		return false
	default:
		return c.streams == 0 || c.client.Stalled()
	}
}

// refuse answers with a status and waits a short time for the client to read it: bytes that weren't read would reset the connection.
func (c *Conn) refuse(response []byte, reason Reason) error {
	c.gate.leave(c, reason)
	c.head = nil
	_ = c.SetDeadline(time.Now().Add(refusalTimeout))
	if _, err := c.Write(response); err == nil && c.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	return opError("read", reason)
}

// SetDeadline sets the deadline of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline sets the deadline of reads, unless the connection was closed to make room.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expelled.Load() {
		return nil
	}
	c.readTimed, c.stallTimed = !t.IsZero(), false
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline of writes.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if c.secured {
		return c.Conn.SetWriteDeadline(t)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	if !c.sending || c.expelled.Load() {
		return nil
	}
	return c.Conn.SetWriteDeadline(c.nextWriteCheck(time.Now()))
}

// CloseWrite closes the sending side, if the connection can.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and frees its room.
func (c *Conn) Close() error {
	if !c.secured {
		c.gate.uncount(c)
		c.client.Close()
	}
	return c.Conn.Close()
}

// opError returns the error of a read or write, in a form to which net/http gives no answer of its own.
func opError(op string, reason Reason) error {
	return &net.OpError{Op: op, Net: "tcp", Err: &RefusedError{Reason: reason}}
}
