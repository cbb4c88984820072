package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mode is what a proxy does with the bytes of its connections.
type mode int32

const (
	modePass mode = iota
	// modeDelay holds each read back for a while.
	modeDelay
	// modeReset closes connections, also new ones.
	modeReset
	// modeSilent passes nothing on, without closing anything.
	modeSilent
	// modeOneWay passes requests on and no answers.
	modeOneWay
	modes
)

const proxyDelay = 150 * time.Millisecond

// proxy forwards TCP connections to a target.
type proxy struct {
	target string
	l      net.Listener
	mode   atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
	wg    sync.WaitGroup
}

func startProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{target: target, l: l, conns: map[net.Conn]bool{}}
	p.wg.Go(p.accept)
	t.Cleanup(func() {
		_ = l.Close()
		p.set(modeReset)
		p.wg.Wait()
	})
	return p
}

func (p *proxy) address() string { return p.l.Addr().String() }

func (p *proxy) set(m mode) {
	p.mode.Store(int32(m))
	if m != modeReset {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *proxy) track(c net.Conn, add bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if add {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

func (p *proxy) accept() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		if mode(p.mode.Load()) == modeReset {
			_ = c.Close()
			continue
		}
		back, err := net.Dial("tcp4", p.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		p.track(c, true)
		p.track(back, true)
		p.wg.Go(func() { p.copy(back, c, false) })
		p.wg.Go(func() { p.copy(c, back, true) })
	}
}

func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer func() {
		_, _ = to.Close(), from.Close()
		p.track(from, false)
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for {
			m := mode(p.mode.Load())
			if m == modeDelay {
				time.Sleep(proxyDelay)
			}
			if m != modeSilent && (m != modeOneWay || !answers) {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
