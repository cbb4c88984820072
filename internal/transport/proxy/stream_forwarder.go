package proxy

import (
	"io"
	"net/http"
)

// streamForwarder forwards the stream of events of one upstream to the caller. The header goes out with the first events, so that a
// stream that breaks off before them can still be answered otherwise.
type streamForwarder struct {
	reply  *reply
	header http.Header
	// resumable says that another upstream may send the rest of the stream, so that only complete events are forwarded.
	resumable bool
	// onBegin is called when the first bytes of an event come that is more than comments; nil for none.
	onBegin func()

	scanner eventScanner
	// pending are the bytes of an event that isn't complete.
	pending []byte
	// verified says that the stream goes on where the caller's stream ended, hasEvents that it had more than comments.
	verified, hasEvents bool
}

// init prepares the forwarder for the first call of forward.
func (f *streamForwarder) init() {
	f.scanner = eventScanner{onEvent: f.addEvent, mayHaveMark: !f.reply.begun(), maxEventBytes: maxEventBytes}
	if f.resumable {
		f.scanner.maxEventBytes = maxHeldEventBytes
	}
	f.verified = !f.resumable
}

// addEvent advances the caller's position. It returns a *ContinuationError if the first event doesn't follow it.
func (f *streamForwarder) addEvent(e *event) error {
	if !f.verified && (e.hasID || e.hasData) {
		if err := f.reply.position.checkContinuation(e); err != nil {
			return err
		}
		f.verified = true
	}
	f.hasEvents = f.hasEvents || e.hasID || e.hasData
	f.reply.position.advance(e)
	return nil
}

// forward sends what may be sent after the next bytes of the upstream's stream. An error of the scan comes after what was complete
// before it.
func (f *streamForwarder) forward(p []byte) error {
	complete, err := f.scanner.scan(p)
	if f.onBegin != nil && (f.hasEvents || f.scanner.hasBegunEvent()) {
		f.onBegin()
		f.onBegin = nil
	}
	if !f.resumable {
		complete = len(p)
	}
	if complete > 0 {
		if werr := f.write(p[:complete]); werr != nil {
			return werr
		}
		f.pending = f.pending[:0]
	}
	if err != nil {
		return err
	}
	f.pending = append(f.pending, p[complete:]...)
	return nil
}

// write sends the pending bytes and those that follow them.
func (f *streamForwarder) write(p []byte) error {
	f.reply.begin(http.StatusOK, f.header, -1)
	f.reply.markStream()
	for _, b := range [][]byte{f.pending, p} {
		if len(b) == 0 {
			continue
		}
		if _, err := f.reply.Write(b); err != nil {
			return err
		}
	}
	return f.reply.flush()
}

// end ends the upstream's stream. It returns an error if the stream was broken off, though its connection ended like that of a
// complete one. unframed says that the body had neither a length nor chunks: without events, nothing tells that it was not cut short.
func (f *streamForwarder) end(unframed bool) error {
	if f.scanner.hasPartialEvent() || unframed && !f.hasEvents {
		return io.ErrUnexpectedEOF
	}
	f.reply.begin(http.StatusOK, f.header, -1)
	f.reply.finish()
	return nil
}
