package intake

import (
	"bytes"
	"strconv"
)

// headScanner finds the end of a request's head and counts its bytes and lines. Empty lines before the request line belong to the head. The zero value is
// ready for use.
type headScanner struct {
	bytes, lines int64
	// inLine says that the current line isn't empty, cr that it has only a CR so far, and started that one of the lines before wasn't empty.
	inLine, cr, started bool
	ended               bool
}

// scan takes the next bytes up to the end of the head and returns their number.
func (s *headScanner) scan(p []byte) int {
	n := 0
	for !s.ended && n < len(p) {
		end := bytes.IndexByte(p[n:], '\n')
		if end < 0 {
			s.text(p[n:])
			n = len(p)
			break
		}
		s.text(p[n : n+end])
		n += end + 1
		s.endLine()
	}
	s.bytes += int64(n)
	return n
}

// text takes bytes of the current line.
func (s *headScanner) text(p []byte) {
	if s.inLine || len(p) == 0 {
		return
	}
	s.inLine = s.cr || len(p) > 1 || p[0] != '\r'
	s.cr = !s.inLine
}

func (s *headScanner) endLine() {
	s.lines++
	s.ended = s.started && !s.inLine
	s.started = s.started || s.inLine
	s.inLine, s.cr = false, false
}

// unknownLength is the length of a body whose end only net/http knows.
const unknownLength = -1

var (
	contentLength    = []byte("content-length")
	transferEncoding = []byte("transfer-encoding")
)

// bodyLength returns the length of the body that follows a whole head, or unknownLength. net/http refuses heads whose framing contradicts itself.
func bodyLength(head []byte) int64 {
	length := int64(0)
	for line := range bytes.Lines(head) {
		name, value, found := bytes.Cut(line, []byte{':'})
		switch {
		case !found:
		case bytes.EqualFold(name, transferEncoding):
			return unknownLength
		case bytes.EqualFold(name, contentLength):
			n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil || n < 0 {
				return unknownLength
			}
			length = n
		}
	}
	return length
}
