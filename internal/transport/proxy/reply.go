package proxy

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// reply is the response to a caller. It alone ends the response as a complete one; a response that has begun and isn't complete
// when its request ends is cut.
type reply struct {
	w http.ResponseWriter
	// status is that of the header once it is out; 0 before.
	status int
	// isStream says that the body is a stream of events, of which another upstream may send the rest; position is how far the caller
	// has got in it.
	isStream bool
	position streamPosition
	// firstByteAt is when the first byte of the body was ready; zero until then.
	firstByteAt time.Time
	complete    bool
	// isFinal says that no other upstream can go on with the response that has begun. It is read beside the attempt.
	isFinal atomic.Bool
	// isWriting says that the caller is being sent a part, for which it has to read. It is read beside the attempt.
	isWriting atomic.Bool
	// toPeer returns what the peer that passed the request on is told; nil if the caller sent it here.
	toPeer func(refusal Reason) hopOutcome
}

// begun reports whether the header is out, so that no other response can be given.
func (p *reply) begun() bool { return p.status != 0 }

// begin sends the status and the header. length is that of the body, or negative if it isn't known.
func (p *reply) begin(status int, header http.Header, length int64) {
	p.markFirstByte()
	if p.begun() {
		return
	}
	h := p.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps net/http from sniffing the content type.
		h["Content-Type"] = nil
	}
	if _, ok := header["Date"]; !ok {
		h["Date"] = nil
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	h.Del(hopOutcomeHeader)
	if p.toPeer != nil {
		p.toPeer("").setOutcome(h)
	}
	p.w.WriteHeader(status)
	p.status = status
	p.isFinal.Store(true)
}

// markStream records that what was sent is a stream of events, of which another upstream may send the rest if it is known how much of it the
// caller has got. A stream that a peer passed on goes on there.
func (p *reply) markStream() {
	p.isStream = true
	p.isFinal.Store(p.toPeer != nil || p.position.ambiguous)
}

// markFirstByte records that the first byte of the body is ready.
func (p *reply) markFirstByte() {
	if p.firstByteAt.IsZero() {
		p.firstByteAt = time.Now()
	}
}

// Write sends a part of the body after the header.
func (p *reply) Write(b []byte) (int, error) {
	p.isWriting.Store(true)
	defer p.isWriting.Store(false)
	return p.w.Write(b)
}

// flush sends what was written so far.
func (p *reply) flush() error {
	p.isWriting.Store(true)
	defer p.isWriting.Store(false)
	return http.NewResponseController(p.w).Flush()
}

// finish ends the response as a complete one.
func (p *reply) finish() { p.complete = true }

// send sends a whole response.
func (p *reply) send(b *bufferedResponse) {
	p.begin(b.status, b.header, int64(len(b.body)))
	// An error means that the caller has disconnected, so there is nobody to report it to.
	_, _ = p.Write(b.body)
	p.finish()
}

// refuse sends the daemon's own response.
func (p *reply) refuse(e *RefusedError, d Dialect) {
	p.status = e.Status
	if p.toPeer != nil {
		p.toPeer(e.Reason).setOutcome(p.w.Header())
	}
	e.write(p.w, d)
	p.finish()
}
