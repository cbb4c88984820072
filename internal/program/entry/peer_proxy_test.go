package entry

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// peerProxy is a peer that announces itself as a daemon was when the proxy started, and forwards all calls to that daemon.
type peerProxy struct {
	// onAnswer, if set, gets what was answered on a connection so far. The connection is closed, and the last part of the answer lost,
	// if it returns false. onCall does the same for what was received, which is lost then.
	onAnswer, onCall func([]byte) bool

	address  string
	behind   *testDaemon
	cancel   context.CancelFunc
	listener net.Listener

	// announced says that the heartbeats are those of the daemon behind.
	announced atomic.Bool

	mu       sync.Mutex
	received []byte
	conns    []net.Conn
}

const (
	proxyName = "proxy"
	beatTime  = 100 * time.Millisecond
)

// start announces the proxy to the daemons of the fleet and waits until they know it.
func (p *peerProxy) start(t *testing.T, f *testFleet, behind *testDaemon) {
	t.Helper()
	p.address, p.behind = standin.FreeAddress(), behind
	address, err := net.ResolveUDPAddr("udp4", p.address)
	require.NoError(t, err)
	socket, err := net.ListenUDP("udp4", address)
	require.NoError(t, err)
	p.listener, err = net.Listen("tcp4", p.address)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	p.cancel = cancel
	t.Cleanup(p.kill)
	go p.accept()
	go p.beat(ctx, socket, f.daemons)
	f.eventually(func() bool {
		for _, d := range f.daemons {
			if d.table.AliveCount() != len(f.daemons)+1 {
				return false
			}
		}
		return p.announced.Load()
	}, "the proxy is not known as a peer")
}

// beat sends heartbeats until ctx ends: empty ones until the daemon behind has sent one, then that one.
func (p *peerProxy) beat(ctx context.Context, socket *net.UDPConn, daemons []*testDaemon) {
	defer socket.Close()
	b := &wire.Beat{}
	buf := make([]byte, 64<<10)
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		b.Daemon, b.PeerAddress, b.CallerAddress, b.Incarnation, b.Sequence = proxyName, p.address, p.address, 1, sequence
		b.PeriodMs, b.Ready, b.Serving = uint32(beatTime.Milliseconds()), b.FailureDomain != "", true
		raw, err := proto.Marshal(b)
		if err != nil {
			return
		}
		for _, d := range daemons {
			to, err := net.ResolveUDPAddr("udp4", d.Settings.Listen.Peers)
			if err != nil {
				return
			}
			// A lost datagram is made up for by the next one.
			_, _ = socket.WriteToUDP(raw, to)
		}
		_ = socket.SetReadDeadline(time.Now().Add(beatTime))
		for b.FailureDomain == "" {
			n, _, err := socket.ReadFromUDP(buf)
			if err != nil {
				break
			}
			got := &wire.Beat{}
			if proto.Unmarshal(buf[:n], got) == nil && got.Daemon == string(p.behind.Settings.DaemonID) && !got.Brief {
				// What the daemon behind does itself must not count twice.
				got.Loads, got.Sent, got.Use, got.Moves, got.Peers, got.Term, got.Demand = nil, nil, nil, nil, nil, 0, 0
				b = got
				p.announced.Store(true)
			}
		}
		time.Sleep(beatTime)
	}
}

func (p *peerProxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp4", p.behind.Settings.Listen.Peers)
		if err != nil {
			_ = c.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, c, to)
		p.mu.Unlock()
		go p.copy(to, c, p.onCall, true)
		go p.copy(c, to, p.onAnswer, false)
	}
}

// copy copies until an error, or until goOn returns false, and closes both connections.
func (p *peerProxy) copy(to, from net.Conn, goOn func([]byte) bool, isCall bool) {
	defer to.Close()
	defer from.Close()
	var all []byte
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		all = append(all, buf[:n]...)
		if isCall {
			p.mu.Lock()
			p.received = append(p.received, buf[:n]...)
			p.mu.Unlock()
		}
		if goOn != nil && !goOn(all) {
			return
		}
		if _, writeErr := to.Write(buf[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// arrivals returns how often a caller's request was received.
func (p *peerProxy) arrivals(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return bytes.Count(p.received, []byte(requestIDKey+": "+id+"\r\n"))
}

// kill ends the proxy without a word.
func (p *peerProxy) kill() {
	p.cancel()
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}
