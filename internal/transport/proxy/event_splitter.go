package proxy

import (
	"bytes"
	"strings"

	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const kindStream = view.KindStream

// eventSplitter splits a stream of server-sent events at event boundaries and remembers the ID of the last complete
// event.
type eventSplitter struct {
	eventPosition
	pending []byte
	lastID  string
}

// add appends bytes of the stream and returns the events that are complete now. It keeps an incomplete event for the
// next call.
func (s *eventSplitter) add(p []byte) []byte {
	s.advance(p)
	s.pending = append(s.pending, p...)
	end := bytes.LastIndex(s.pending, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	out := bytes.Clone(s.pending[:end+2])
	s.pending = append(s.pending[:0], s.pending[end+2:]...)
	s.updateLastID(out)
	return out
}

// updateLastID sets lastID to the last ID among the events, if they have any.
func (s *eventSplitter) updateLastID(events []byte) {
	for line := range strings.SplitSeq(string(events), "\n") {
		if id, ok := strings.CutPrefix(line, "id:"); ok {
			s.lastID = strings.TrimSpace(id)
		}
	}
}

// eventPosition tells where in a stream of server-sent events its last byte lies.
type eventPosition struct {
	// started says that an event has begun, insideEvent that the last one isn't complete.
	started, insideEvent bool
	insideLine           bool
}

// advance moves the position past the next bytes of the stream. An empty line completes an event.
func (p *eventPosition) advance(b []byte) {
	for _, c := range b {
		switch {
		case c == '\r':
		case c != '\n':
			p.started, p.insideEvent, p.insideLine = true, true, true
		case p.insideLine:
			p.insideLine = false
		default:
			p.insideEvent = false
		}
	}
}

// hasPartialEvent reports whether an event has begun that is not complete yet.
func (p *eventPosition) hasPartialEvent() bool { return p.insideEvent }
