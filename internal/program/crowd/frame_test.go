package crowd

import (
	"net"
	"testing"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
)

// Types and flags of HTTP/2 frames.
const (
	frameHeaders, frameReset, frameSettings, framePing = 1, 3, 4, 6

	flagEndHeaders   = 4
	frameHeaderBytes = 9
	errorCancel      = 8
	// streamsEach is how many streams each connection opens, pingsEach how many pings it sends.
	streamsEach, pingsEach = 2000, 30_000
)

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload ...byte) []byte {
	b := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	b[1], b[2], b[3], b[4] = byte(len(payload)>>8), byte(len(payload)), kind, flags
	b[5], b[6], b[7], b[8] = byte(stream>>24), byte(stream>>16), byte(stream>>8), byte(stream)
	return append(b, payload...)
}

// requestFields returns the compressed fields of "POST path".
func requestFields(path string) []byte {
	// Entries 3 and 6 of the static table are the method POST and the scheme http; 4 and 1 are the names of the path and the authority.
	fields := append([]byte{0x83, 0x86, 0x04, byte(len(path))}, path...)
	return append(append(fields, 0x01, byte(len(host))), host...)
}

func preface() []byte {
	return append([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), frame(frameSettings, 0, 0)...)
}

// streamsReset opens streams and resets each at once.
func streamsReset(c net.Conn, _ listener) error {
	out := preface()
	fields := requestFields(wire.PeerServiceHeartbeatProcedure)
	for i := range uint32(streamsEach) {
		out = append(out, frame(frameHeaders, flagEndHeaders, 2*i+1, fields...)...)
		out = append(out, frame(frameReset, 0, 2*i+1, 0, 0, 0, errorCancel)...)
	}
	_, err := c.Write(out)
	return err
}

// streamsOpened opens streams and leaves them without their bodies.
func streamsOpened(c net.Conn, _ listener) error {
	out := preface()
	fields := requestFields(wire.PeerServiceHeartbeatProcedure)
	for i := range uint32(streamsEach) {
		out = append(out, frame(frameHeaders, flagEndHeaders, 2*i+1, fields...)...)
	}
	_, err := c.Write(out)
	return err
}

// pings sends pings and reads no answer.
func pings(c net.Conn, _ listener) error {
	out := preface()
	for range pingsEach {
		out = append(out, frame(framePing, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8)...)
	}
	_, err := c.Write(out)
	return err
}

// playPeers lets a crowd of the form connect to the listeners that speak HTTP/2.
func playPeers(t *testing.T, f form) {
	t.Helper()
	p := startServe(t, manyDescriptors)
	for _, l := range p.listeners {
		if l.http2 {
			p.playAt(t, l, f)
		}
	}
}

func TestCrowdOfStreamsOpenedAndReset(t *testing.T) { playPeers(t, form{send: streamsReset}) }

func TestCrowdOfStreamsLeftOpen(t *testing.T) { playPeers(t, form{send: streamsOpened}) }

func TestCrowdOfPingsWithUnreadAnswers(t *testing.T) { playPeers(t, form{send: pings}) }

func TestLargeCrowdOfStreamsOpenedAndReset(t *testing.T) {
	playPeers(t, form{send: streamsReset, size: largeCrowd})
}

func TestLargeCrowdOfStreamsLeftOpen(t *testing.T) {
	playPeers(t, form{send: streamsOpened, size: largeCrowd})
}
