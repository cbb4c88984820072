package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
)

const (
	// legalBody is the size of the largest body that the platform's published limit allows.
	legalBody = 4 << 20
	mebibyte  = 1 << 20
	pieceSize = 64 << 10
	// slowTime is how long a client sends a byte a second.
	slowTime = 3 * time.Second
)

// content holds the bodies of all crowds.
var content = bytes.Repeat([]byte("w"), legalBody)

// body returns a form that announces a body of so many bytes and sends all but the last missing ones.
func body(size, missing int) form {
	return form{send: func(c net.Conn, l listener) error {
		if _, err := c.Write(start(l, fmt.Sprintf("Content-Length: %d\r\n\r\n", size))); err != nil {
			return err
		}
		_, err := c.Write(content[:size-missing])
		return err
	}}
}

func sendPieces(c net.Conn, size int) error {
	for sent := 0; sent < size; sent += pieceSize {
		if _, err := c.Write(content[:min(pieceSize, size-sent)]); err != nil {
			return err
		}
	}
	return nil
}

func piecesWithoutEnd(c net.Conn, l listener) error {
	if _, err := c.Write(start(l, fmt.Sprintf("Content-Length: %d\r\n\r\n", legalBody))); err != nil {
		return err
	}
	return sendPieces(c, legalBody-1)
}

func chunksWithoutEnd(c net.Conn, l listener) error {
	if _, err := c.Write(start(l, "Transfer-Encoding: chunked\r\n\r\n")); err != nil {
		return err
	}
	for sent := 0; sent < legalBody-pieceSize; sent += pieceSize {
		chunk := append(fmt.Appendf(nil, "%x\r\n", pieceSize), content[:pieceSize]...)
		if _, err := c.Write(append(chunk, "\r\n"...)); err != nil {
			return err
		}
	}
	return nil
}

func bodyAfterContinue(c net.Conn, l listener) error {
	if _, err := c.Write(start(l, fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n\r\n", legalBody))); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(sendTime))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil) //nolint:bodyclose // it has none
	if err != nil || resp.StatusCode != http.StatusContinue {
		return err
	}
	return sendPieces(c, legalBody-1)
}

// byteASecond sends a part of a body at once, and then a byte a second.
func byteASecond(c net.Conn, l listener) error {
	if _, err := c.Write(start(l, fmt.Sprintf("Content-Length: %d\r\n\r\n", mebibyte))); err != nil {
		return err
	}
	if err := sendPieces(c, mebibyte/2); err != nil {
		return err
	}
	for range slowTime / time.Second {
		time.Sleep(time.Second)
		_ = c.SetWriteDeadline(time.Now().Add(sendTime))
		if _, err := c.Write(content[:1]); err != nil {
			return err
		}
	}
	return nil
}

// bodies returns the forms of bodies that crowds send to callers' listeners.
func bodies() map[string]form {
	small := body(pieceSize, 1)
	small.size = largeCrowd
	return map[string]form{
		"by pieces":           {send: piecesWithoutEnd},
		"in chunks":           {send: chunksWithoutEnd},
		"after 100-continue":  {send: bodyAfterContinue},
		"whole":               body(legalBody, 0),
		"a byte a second":     {send: byteASecond},
		"1 MiB less a byte":   body(mebibyte, 1),
		"4 MiB less a byte":   body(legalBody, 1),
		"many of 64 KiB less": small,
	}
}

func TestCrowdOfBodiesJustShortOfTheirEnd(t *testing.T) { play(t, body(legalBody, 1)) }

func TestCrowdsOfBodiesAtEntry(t *testing.T) {
	for name, f := range bodies() {
		t.Run(name, func(t *testing.T) {
			p := startEntry(t, manyDescriptors)
			p.playAt(t, p.listeners[0], f)
		})
	}
}

func TestCrowdsOfBodiesAtServe(t *testing.T) {
	p := startServing(t, false)
	for name, f := range bodies() {
		t.Run(name, func(t *testing.T) { p.play(t, f) })
	}
}

// Calls of peers, whose bodies are read before anything is known of the caller.
func TestCrowdOfBodiesToPeers(t *testing.T) {
	p := startEntry(t, manyDescriptors)
	ordinary := p.listeners[len(p.listeners)-1]
	calls := ordinary
	calls.path, calls.contentType = wire.FleetServiceChangesProcedure, "application/proto"
	for name, f := range bodies() {
		t.Run(name, func(t *testing.T) {
			p.usage.reset()
			release := gather(calls, f)
			t.Cleanup(release)
			p.requireWithinLimits(t)
			release()
			p.requireAnswer(t, ordinary)
			p.requireWithinLimits(t)
		})
	}
}

// A crowd that nobody knows: without a key, and with one that no organisation has.
func TestCrowdOfBodiesOfStrangers(t *testing.T) {
	p := startServing(t, false)
	for _, path := range []string{plainPath, chatPath, textPath, "/none"} {
		for name, key := range map[string]string{"no key": "", "unknown key": "key-of-nobody"} {
			t.Run(name+" "+path, func(t *testing.T) {
				ordinary := p.listeners[0]
				stranger := ordinary
				stranger.path, stranger.key = path, key
				f := body(legalBody, 1)
				p.usage.reset()
				release := gather(stranger, f)
				t.Cleanup(release)
				p.requireWithinLimits(t)
				release()
				p.requireAnswer(t, ordinary)
				p.requireWithinLimits(t)
			})
		}
	}
}
