package crowd

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	host = "h.example"
	// crowdSize is the number of connections of a crowd, all of which stay open until the limits have been checked.
	crowdSize = 300
	// legalHead is the head in bytes that the platform's published limit allows, longHead what servers accept.
	legalHead = 16_384
	longHead  = 60 << 10
	// endlessBytes is how much a connection sends of what has no end, sendTime how long a connection tries to send, settleTime how long the
	// process has to read what was sent.
	endlessBytes = 512 << 10
	sendTime     = 2 * time.Second
	settleTime   = 500 * time.Millisecond
	// manyDescriptors leave sockets for the whole crowd and fewDescriptors don't.
	manyDescriptors = 4100
	fewDescriptors  = 400
)

// form is what each connection of a crowd sends: first once, then endless again and again. If send is set, it does that instead.
type form struct {
	first, endless func(l listener) []byte
	send           func(c net.Conn, l listener) error
	// descriptors is the number of descriptors of the machine; manyDescriptors if 0.
	descriptors int
	// size is the number of connections; crowdSize if 0.
	size int
}

// play lets a crowd of the form connect to each listener of both programs, one after the other.
func play(t *testing.T, f form) {
	t.Helper()
	if f.descriptors == 0 {
		f.descriptors = manyDescriptors
	}
	t.Run("entry", func(t *testing.T) { startEntry(t, f.descriptors).play(t, f) })
	if f.descriptors == manyDescriptors { // The settings of serve name no descriptors.
		t.Run("serve", func(t *testing.T) { startServe(t, f.descriptors).play(t, f) })
	}
}

func (p *process) play(t *testing.T, f form) {
	t.Helper()
	for _, l := range p.listeners {
		t.Run(l.name, func(t *testing.T) { p.playAt(t, l, f) })
	}
}

// playAt lets a crowd of the form connect to one listener.
func (p *process) playAt(t *testing.T, l listener, f form) {
	t.Helper()
	p.usage.reset()
	release := gather(l, f)
	t.Cleanup(release)
	p.requireWithinLimits(t)
	if l.serves {
		p.requireAnswer(t, l)
	}
	release()
	p.requireAnswer(t, l)
	p.requireWithinLimits(t)
}

// gather connects a crowd and sends. The connections stay open until release is called.
func gather(l listener, f form) (release func()) {
	var wg sync.WaitGroup
	conns := make([]net.Conn, max(f.size, crowdSize))
	for i := range conns {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp4", l.address, sendTime)
			if err != nil {
				return
			}
			conns[i] = c
			_ = c.SetWriteDeadline(time.Now().Add(sendTime))
			_ = f.sendTo(c, l)
		})
	}
	wg.Wait()
	time.Sleep(settleTime)
	return func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close()
			}
		}
	}
}

func (f form) sendTo(c net.Conn, l listener) error {
	if f.send != nil {
		return f.send(c, l)
	}
	if _, err := c.Write(f.first(l)); err != nil || f.endless == nil {
		return err
	}
	part := f.endless(l)
	for sent := 0; sent < endlessBytes; sent += len(part) {
		if _, err := c.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// start returns the request line and the first fields of an ordinary request.
func start(l listener, fields ...string) []byte {
	path, method := target(l)
	if l.key != "" {
		fields = append([]string{"Authorization: Bearer " + l.key + "\r\n"}, fields...)
	}
	if l.contentType != "" {
		fields = append([]string{"Content-Type: " + l.contentType + "\r\n"}, fields...)
	}
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\n%s", method, path, host, strings.Join(fields, ""))
}

// shortName returns the i-th of the distinct names of fields of at most three bytes.
func shortName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	n := len(letters)
	return string([]byte{letters[i%n], letters[i/n%n], letters[i/n/n%n]})
}

// head returns a head of so many bytes, whose lines are those of line, without its end. A body is announced.
func head(l listener, size int, line func(i int) string) []byte {
	b := start(l, "Content-Length: 100000\r\n")
	for i := 0; ; i++ {
		next := line(i)
		if len(b)+len(next)+len("\r\n") > size {
			return b
		}
		b = append(b, next...)
	}
}

// whole returns a form with a whole head of so many bytes, the body of which never comes.
func whole(size int, line func(i int) string) form {
	return form{first: func(l listener) []byte { return append(head(l, size, line), "\r\n"...) }}
}

// part returns a form with a head of so many bytes that doesn't end.
func part(size int, line func(i int) string) form {
	return form{first: func(l listener) []byte { return head(l, size, line) }}
}

// endless returns a form that sends first and then text again and again.
func endless(first func(l listener) []byte, text string) form {
	return form{first: first, endless: func(listener) []byte { return bytes.Repeat([]byte(text), 1+(4<<10)/len(text)) }}
}

func nothing(listener) []byte { return nil }

func shortLine(i int) string { return shortName(i) + ":\r\n" }

func TestCrowdOfLegalHeadsOfShortNames(t *testing.T) { play(t, whole(legalHead, shortLine)) }

func TestCrowdOfLongHeadsOfShortNames(t *testing.T) { play(t, whole(longHead, shortLine)) }

func TestCrowdOfHeadsThatStop(t *testing.T) { play(t, part(longHead, shortLine)) }

func TestCrowdOfShortestLines(t *testing.T) {
	play(t, whole(longHead, func(i int) string { return shortName(i)[:2] + ":\n" }))
}

func TestCrowdOfOneName(t *testing.T) {
	play(t, whole(longHead, func(int) string { return "a:\r\n" }))
}

func TestCrowdOfShortNamesAndValues(t *testing.T) {
	play(t, whole(longHead, func(i int) string { return shortName(i) + ": " + shortName(i) + "\r\n" }))
}

func TestCrowdOfLongNames(t *testing.T) {
	play(t, whole(longHead, func(i int) string { return shortName(i) + strings.Repeat("n", 1000) + ": v\r\n" }))
}

func TestCrowdOfOddBytes(t *testing.T) {
	play(t, whole(longHead, func(i int) string { return "!#$%&'*+" + shortName(i) + ": \x80\xff\t\xc0\r\n" }))
}

func TestCrowdOfFoldedLines(t *testing.T) {
	play(t, whole(longHead, func(i int) string { return shortName(i) + ": v\r\n v\r\n\tv\r\n" }))
}

func TestCrowdOfHeadsOverLimit(t *testing.T) { play(t, whole(4*longHead, shortLine)) }

func TestCrowdOfEndlessHeads(t *testing.T) {
	play(t, endless(func(l listener) []byte { return start(l) }, "ab: c\r\nde:f\r\n"))
}

func TestCrowdOfEndlessLines(t *testing.T) {
	play(t, endless(func(l listener) []byte { return start(l, "X-Long: ") }, "v"))
}

func TestCrowdOfEmptyLinesFirst(t *testing.T) { play(t, endless(nothing, "\r\n")) }

func TestCrowdOfEmptyLinesBetween(t *testing.T) {
	play(t, endless(func(l listener) []byte { return start(l, "Content-Length: 0\r\n\r\n") }, "\r\n"))
}

func TestCrowdOfSilentConnections(t *testing.T) {
	play(t, form{first: nothing, descriptors: fewDescriptors})
}

func TestCrowdOfUnfinishedRequestsBeyondDescriptors(t *testing.T) {
	play(t, form{first: func(l listener) []byte { return start(l, "Content-Length: 100000\r\n\r\n") }, descriptors: fewDescriptors})
}

func TestCrowdOfPipelinedRequests(t *testing.T) {
	play(t, form{
		first:   func(l listener) []byte { return start(l, "Content-Length: 0\r\n\r\n") },
		endless: func(l listener) []byte { return bytes.Repeat(start(l, "Content-Length: 0\r\n\r\n"), 16) },
	})
}

func TestCrowdOfUnfinishedBodies(t *testing.T) {
	play(t, form{first: func(l listener) []byte {
		return append(start(l, "Content-Length: 1000000\r\n\r\n"), make([]byte, 64<<10)...)
	}})
}

func TestCrowdOfEndlessChunkExtensions(t *testing.T) {
	play(t, endless(func(l listener) []byte { return start(l, "Transfer-Encoding: chunked\r\n\r\n1;") }, "e=v;"))
}

func TestCrowdOfEndlessTrailers(t *testing.T) {
	play(t, endless(func(l listener) []byte { return start(l, "Transfer-Encoding: chunked\r\n\r\n0\r\n") }, "ab: c\r\n"))
}
