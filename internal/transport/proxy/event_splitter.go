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
	pending []byte
	lastID  string
}

// add appends bytes of the stream and returns the events that are complete now. It keeps an incomplete event for the
// next call.
func (s *eventSplitter) add(p []byte) []byte {
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

// hasPartialEvent reports whether an event has begun that is not complete yet.
func (s *eventSplitter) hasPartialEvent() bool { return len(bytes.TrimSpace(s.pending)) > 0 }
