package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// proxyMode is how a proxy treats its connections and their data.
type proxyMode int32

const (
	modePass proxyMode = iota
	// modeDelay forwards the data of each read after proxyDelay.
	modeDelay
	// modeReset resets all connections, new ones too.
	modeReset
	// modeSilent forwards nothing and leaves connections open.
	modeSilent
	// modeOneWay forwards data to the target but nothing back.
	modeOneWay
	proxyModeCount
)

const proxyDelay = 150 * time.Millisecond

// proxy forwards TCP connections to a target as its mode says.
type proxy struct {
	target   string
	listener net.Listener
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
	wg    sync.WaitGroup
}

func startProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{target: target, listener: l, conns: map[net.Conn]bool{}}
	p.wg.Go(p.accept)
	t.Cleanup(func() {
		_ = l.Close()
		p.setMode(modeReset)
		p.wg.Wait()
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m proxyMode) {
	p.mode.Store(int32(m))
	if m != modeReset {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection so that its peer doesn't take what it has got for all of it.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
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
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if proxyMode(p.mode.Load()) == modeReset {
			reset(c)
			continue
		}
		targetConn, err := net.Dial("tcp4", p.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		p.track(c, true)
		p.track(targetConn, true)
		p.wg.Go(func() { p.forward(targetConn, c, false) })
		p.wg.Go(func() { p.forward(c, targetConn, true) })
	}
}

func (p *proxy) forward(to, from net.Conn, fromTarget bool) {
	defer func() {
		_, _ = to.Close(), from.Close()
		p.track(from, false)
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for {
			m := proxyMode(p.mode.Load())
			if m == modeDelay {
				time.Sleep(proxyDelay)
			}
			if m != modeSilent && (m != modeOneWay || !fromTarget) {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil && !errors.Is(err, io.EOF) {
			reset(to)
		}
		if err != nil {
			return
		}
	}
}
