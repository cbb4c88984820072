package crowd

import (
	"net"
	"sync/atomic"
	"testing"
)

const (
	waves    = 3
	waveSize = 500
)

// mixed returns a form whose connections take those of the list by turns.
func mixed(forms ...form) form {
	var next atomic.Int64
	return form{size: waveSize, send: func(c net.Conn, l listener) error {
		return forms[int(next.Add(1))%len(forms)].sendTo(c, l)
	}}
}

// all returns the forms that fit into one wave.
func all() []form {
	return []form{
		whole(longHead, shortLine), part(longHead, shortLine), whole(legalHead, shortLine), part(legalHead, shortLine), body(legalBody, 1), body(legalBody, 0), body(mebibyte, 1),
		body(pieceSize, 1), {send: piecesWithoutEnd}, {send: chunksWithoutEnd}, {send: byteASecond}, {send: requestThenBytes}, {send: request},
		endless(nothing, "\r\n"), endless(func(l listener) []byte { return start(l) }, "ab: c\r\n"), {first: nothing},
		endless(func(l listener) []byte { return start(l, "Transfer-Encoding: chunked\r\n\r\n0\r\n") }, "ab: c\r\n"),
	}
}

// playWaves lets crowds of all forms connect one after the other; each stays while the next ones come.
func (p *process) playWaves(t *testing.T, l, ordinary listener) {
	t.Helper()
	p.usage.reset()
	f := mixed(all()...)
	for range waves {
		release := gather(l, f)
		defer release()
		p.requireWithinLimits(t)
		p.requireAnswer(t, ordinary)
	}
	p.requireWithinLimits(t)
}

func TestWavesOfAllForms(t *testing.T) {
	t.Run("entry", func(t *testing.T) {
		p := startEntry(t, manyDescriptors)
		l := p.listeners[0]
		l.path = largePath
		p.playWaves(t, l, p.listeners[0])
	})
	t.Run("serve", func(t *testing.T) {
		p := startServing(t, false)
		p.playWaves(t, p.listeners[0], p.listeners[0])
	})
	t.Run("serve without its platform", func(t *testing.T) {
		p := startServe(t, manyDescriptors)
		p.playWaves(t, p.listeners[0], p.listeners[0])
	})
}
