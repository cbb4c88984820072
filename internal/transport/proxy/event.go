package proxy

import (
	"bytes"
	"strings"

	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const kindStream = view.KindStream

// splitter cuts a stream of server-sent events after whole events and remembers the id of the last one.
type splitter struct {
	pending []byte
	lastID  string
}

// whole returns the whole events among what has come so far; the rest is kept for the next call.
func (s *splitter) whole(p []byte) []byte {
	s.pending = append(s.pending, p...)
	end := bytes.LastIndex(s.pending, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	out := bytes.Clone(s.pending[:end+2])
	s.pending = append(s.pending[:0], s.pending[end+2:]...)
	s.noteID(out)
	return out
}

// noteID finds the last id of the events.
func (s *splitter) noteID(events []byte) {
	for line := range strings.SplitSeq(string(events), "\n") {
		if id, ok := strings.CutPrefix(line, "id:"); ok {
			s.lastID = strings.TrimSpace(id)
		}
	}
}

// partial reports whether an event has begun that is not whole.
func (s *splitter) partial() bool { return len(bytes.TrimSpace(s.pending)) > 0 }
