package httpc

import (
	"fmt"
	"net/http"
)

// MalformedResponseError is a response whose head is no HTTP/1.1. The server is alive and may have run the request.
type MalformedResponseError struct {
	Reason MalformedReason
	// Err is why net/http refused a head that the scanner accepted, else nil.
	Err error
}

func (e *MalformedResponseError) Error() string {
	if e.Err == nil {
		return "malformed response: " + string(e.Reason)
	}
	return fmt.Sprintf("malformed response: %s: %v", e.Reason, e.Err)
}

func (e *MalformedResponseError) Unwrap() error { return e.Err }

// MalformedReason says what is malformed in the head of a response.
type MalformedReason string

// Reasons of a MalformedResponseError.
const (
	MalformedVersion MalformedReason = "the version is neither HTTP/1.1 nor HTTP/1.0"
	MalformedStatus  MalformedReason = "the status isn't one from 100 to 599"
	MalformedLine    MalformedReason = "a control byte or a bare CR"
	MalformedName    MalformedReason = "the name of a field is no token"
	MalformedFold    MalformedReason = "a folded line"
	MalformedCoding  MalformedReason = "HTTP/1.0 with Transfer-Encoding"
	MalformedFraming MalformedReason = "the framing contradicts itself or is unknown"
	MalformedLength  MalformedReason = "the head is too long"
)

const (
	versionPrefix    = "HTTP/1."
	transferEncoding = "transfer-encoding"
	statusDigits     = 3
	minStatus        = 100
	maxStatus        = 599
)

// headState is the part of a head to which the next byte belongs.
type headState uint8

const (
	inVersion headState = iota
	inMinorVersion
	beforeStatus
	inStatus
	afterStatus
	inText
	afterCR
	atLineStart
	inName
	afterLastCR
	headsEnded
)

// headScanner checks the heads of the responses to one request, the interim ones and the final one. net/http joins folded lines and
// accepts names and versions that don't exist, after which what the server sent can't be told. The zero value is ready for use.
type headScanner struct {
	state headState
	// n counts the bytes of the version, the status or the name so far.
	n      int
	status int
	// isOld says that the version is HTTP/1.0, isCoding that the name so far begins Transfer-Encoding.
	isOld, isCoding bool
}

// ended reports whether the final head is complete.
func (s *headScanner) ended() bool { return s.state == headsEnded }

// scan checks the next bytes up to the end of the final head and returns their number. The error is a *MalformedResponseError, after
// which the scanner must not be used.
func (s *headScanner) scan(p []byte) (int, error) {
	for i, b := range p {
		if s.state == headsEnded {
			return i, nil
		}
		if reason := s.step(b); reason != "" {
			return i, &MalformedResponseError{Reason: reason}
		}
	}
	return len(p), nil
}

// step checks one byte.
func (s *headScanner) step(b byte) MalformedReason {
	switch s.state {
	case inText:
		return s.stepText(b)
	case inName:
		return s.stepName(b)
	case atLineStart:
		return s.beginLine(b)
	case afterCR, afterLastCR:
		if b != '\n' {
			return MalformedLine
		}
		s.endLine()
	default:
		return s.stepStatusLine(b)
	}
	return ""
}

// stepStatusLine checks a byte of the version or the status.
func (s *headScanner) stepStatusLine(b byte) MalformedReason {
	switch s.state {
	case inVersion:
		if b != versionPrefix[s.n] {
			return MalformedVersion
		}
		if s.n++; s.n == len(versionPrefix) {
			s.state = inMinorVersion
		}
	case inMinorVersion:
		if b != '0' && b != '1' {
			return MalformedVersion
		}
		s.isOld = b == '0'
		s.state = beforeStatus
	case beforeStatus:
		if b != ' ' {
			return MalformedVersion
		}
		s.state, s.n, s.status = inStatus, 0, 0
	case inStatus:
		if b < '0' || b > '9' {
			return MalformedStatus
		}
		s.status = s.status*10 + int(b-'0')
		if s.n++; s.n == statusDigits {
			s.state = afterStatus
		}
	default:
		if s.status < minStatus || s.status > maxStatus || b != ' ' && b != '\r' && b != '\n' {
			return MalformedStatus
		}
		return s.stepText(b)
	}
	return ""
}

// stepText checks a byte of a reason phrase or of a value.
func (s *headScanner) stepText(b byte) MalformedReason {
	switch {
	case b == '\r':
		s.state = afterCR
	case b == '\n':
		s.endLine()
	case b < ' ' && b != '\t' || b == 0x7f:
		return MalformedLine
	default:
		s.state = inText
	}
	return ""
}

// beginLine checks the first byte after the end of a line.
func (s *headScanner) beginLine(b byte) MalformedReason {
	switch b {
	case '\r':
		s.state = afterLastCR
		return ""
	case '\n':
		s.endHead()
		return ""
	case ' ', '\t':
		return MalformedFold
	case ':':
		return MalformedName
	}
	s.state, s.n, s.isCoding = inName, 0, true
	return s.stepName(b)
}

// stepName checks a byte of the name of a field or the colon after it.
func (s *headScanner) stepName(b byte) MalformedReason {
	if b == ':' {
		s.state = inText
		if s.isOld && s.isCoding && s.n == len(transferEncoding) {
			return MalformedCoding
		}
		return ""
	}
	if !isTokenByte[b] {
		return MalformedName
	}
	s.isCoding = s.isCoding && s.n < len(transferEncoding) && b|0x20 == transferEncoding[s.n]
	s.n++
	return ""
}

// endLine ends a line, or the head if the line is empty.
func (s *headScanner) endLine() {
	if s.state == afterLastCR {
		s.endHead()
		return
	}
	s.state = atLineStart
}

// endHead ends a head. A final one follows those of interim responses.
func (s *headScanner) endHead() {
	if s.status < http.StatusOK && s.status != http.StatusSwitchingProtocols {
		*s = headScanner{}
		return
	}
	s.state = headsEnded
}

// isTokenByte holds the bytes of tokens in RFC 9110.
var isTokenByte = func() (table [256]bool) {
	for b := range table {
		letter := b|0x20 >= 'a' && b|0x20 <= 'z' && b < 0x80
		table[b] = letter || b >= '0' && b <= '9'
	}
	for _, b := range []byte("!#$%&'*+-.^_`|~") {
		table[b] = true
	}
	return table
}()
