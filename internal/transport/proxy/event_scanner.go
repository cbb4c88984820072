package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

const (
	// maxIDBytes is the length of the longest event ID with which a stream can be resumed.
	maxIDBytes = 256
	// maxHeldEventBytes is the length of the longest event of a resumable stream, which is held in memory until it is complete:
	// an upstream may run hundreds of requests at once. maxEventBytes is the same for other streams.
	maxHeldEventBytes = 64 << 10
	maxEventBytes     = 1 << 20
)

// EventSizeError reports an event that is longer than MaxBytes, such as bytes without end that are no events.
type EventSizeError struct {
	MaxBytes int
}

func (e *EventSizeError) Error() string {
	return fmt.Sprintf("an event of the stream is longer than %d bytes", e.MaxBytes)
}

func isEventSizeError(err error) bool {
	_, ok := errors.AsType[*EventSizeError](err)
	return ok
}

// dataField begins the lines of events with data.
var dataField = []byte("data:")

var byteOrderMark = []byte("\xef\xbb\xbf")

// event is what the lines of a server-sent event say about the position in its stream.
type event struct {
	// hasID says that the event has an ID. id is empty if that can't be sent in a header.
	hasID bool
	id    string
	// hasData says that the event has lines that mean something to the caller: others than IDs, comments and retry times.
	hasData bool
}

// eventScanner finds the ends of the events in one upstream's stream. An empty line ends an event. A line ends with LF, CR LF or CR.
type eventScanner struct {
	// onEvent is called for each event once it is complete. Its error ends the scan.
	onEvent func(e *event) error
	// maxEventBytes is the length of the longest event.
	maxEventBytes int
	// mayHaveMark says that the next line may begin with a byte order mark, as the first one of a stream.
	mayHaveMark bool

	// eventBytes is the length so far of an event that isn't complete.
	eventBytes int
	current    event
	// line holds the first bytes of the current line, lineBytes its length.
	line      []byte
	lineBytes int
	// afterCR says that the last byte was a CR, so that an LF belongs to the same end of line.
	afterCR bool
}

// scan reads the next bytes of the stream. It returns how many of them come before the last event that isn't complete.
func (s *eventScanner) scan(p []byte) (complete int, err error) {
	for i, b := range p {
		switch {
		case b == '\n' && s.afterCR:
			s.afterCR = false
			s.countEventByte()
		case b == '\n', b == '\r':
			s.afterCR = b == '\r'
			s.countEventByte()
			if err := s.endLine(); err != nil {
				return complete, err
			}
		default:
			s.afterCR = false
			s.eventBytes++
			s.addToLine(b)
		}
		switch {
		case s.eventBytes == 0:
			complete = i + 1
		case s.eventBytes > s.maxEventBytes:
			return complete, &EventSizeError{MaxBytes: s.maxEventBytes}
		}
	}
	return complete, nil
}

// countEventByte counts a byte of an end of line, unless it stands between two events.
func (s *eventScanner) countEventByte() {
	if s.eventBytes > 0 {
		s.eventBytes++
	}
}

func (s *eventScanner) addToLine(b byte) {
	s.lineBytes++
	if len(s.line) < len("id: ")+maxIDBytes+len(byteOrderMark) {
		s.line = append(s.line, b)
	}
}

// endLine ends the current line and, if it is empty, the current event.
func (s *eventScanner) endLine() error {
	if s.lineBytes > 0 {
		s.readField()
		s.line, s.lineBytes = s.line[:0], 0
		return nil
	}
	if s.eventBytes == 0 {
		return nil
	}
	e := s.current
	s.current, s.eventBytes = event{}, 0
	return s.onEvent(&e)
}

// readField reads the field of the current line.
func (s *eventScanner) readField() {
	line := s.line
	if s.mayHaveMark {
		line = bytes.TrimPrefix(line, byteOrderMark)
	}
	s.mayHaveMark = false
	name, value, _ := strings.Cut(string(line), ":")
	switch name {
	case "id":
		s.current.hasID, s.current.id = true, ""
		value = strings.TrimPrefix(value, " ")
		if s.lineBytes == len(s.line) && len(value) <= maxIDBytes && isHeaderValue(value) {
			s.current.id = value
		}
	case "", "retry":
	default:
		s.current.hasData = true
	}
}

// isHeaderValue reports whether s can be sent unchanged as the value of a header.
func isHeaderValue(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return s == strings.TrimSpace(s)
}

// hasBegunEvent reports whether an event that isn't complete has an ID or data, also in a line that isn't complete.
func (s *eventScanner) hasBegunEvent() bool {
	return s.current.hasID || s.current.hasData || bytes.HasPrefix(s.line, dataField)
}

// hasPartialEvent reports whether an event has begun that is not complete.
func (s *eventScanner) hasPartialEvent() bool { return s.eventBytes > 0 }
