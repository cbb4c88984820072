// Package gossip exchanges heartbeats between daemons in UDP datagrams, and serves records that a peer is missing over
// HTTP.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/memory"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
	"github.com/gooseberryway/gooseberryway/internal/transport/intake"
)

const (
	// maxDatagramBytes is the largest heartbeat that fits into one datagram on all links.
	maxDatagramBytes = 60 << 10
	// urgentCoalesceDelay is the longest delay of an urgent round, so that it includes further changes.
	urgentCoalesceDelay = 60 * time.Millisecond
	callTimeout         = 600 * time.Millisecond
	// maxCallBytes is the size of the largest call, which names offsets only.
	maxCallBytes   = 64 << 10
	maxHeaderBytes = 64 << 10
	// clientIdleTimeout is how long the connection to a peer is kept.
	clientIdleTimeout = 2 * time.Second
	// serverIdleTimeout is how long the connection of a peer is kept, longer than peers keep idle ones.
	serverIdleTimeout = 20 * time.Second
	// lastResponseTime bounds how long Run waits at its end until responses are sent, which a handler leaves to the server. It lies within what a
	// planned stop leaves before the process is killed.
	lastResponseTime = 100 * time.Millisecond
)

// Round is the set of heartbeats that a daemon sends at one time.
type Round struct {
	Messages []Message
	// NextAfter is the time until the next round, unless SendSoon is called before.
	NextAfter time.Duration
}

// Message is a heartbeat and the peer addresses (IP:PORT) to send it to.
type Message struct {
	Heartbeat *wire.Beat
	Targets   []string
}

// Node sends and receives heartbeats, and fetches and serves missing records. Its fields must be set before Run.
type Node struct {
	// Address is the IP:PORT to listen on, over UDP for heartbeats and over TCP for calls.
	Address string
	// NextRound returns the heartbeats to send now and the time until the next round.
	NextRound func() Round
	// OnHeartbeat is called for each received heartbeat.
	OnHeartbeat func(*wire.Beat)
	// HandleChanges returns the records that a peer is missing.
	HandleChanges func(*wire.ChangesRequest) *wire.ChangesReply
	// Requests serves the calls of peers of which IsRequest says that they are callers' requests; nil for none.
	Requests  http.Handler
	IsRequest func(*http.Request) bool
	// Guard returns a listener that bounds what the connections of the server hold; nil for none.
	Guard func(*http.Server, net.Listener) net.Listener

	socket        *net.UDPConn
	server        *http.Server
	calls         httpc.Pool
	sequence      atomic.Uint64
	sendRequested chan struct{}
	once          sync.Once
}

func (n *Node) init() {
	n.once.Do(func() {
		n.sendRequested = make(chan struct{}, 1)
		n.calls.DialTimeout, n.calls.MaxIdleConnsPerHost, n.calls.IdleTimeout = callTimeout, 1, clientIdleTimeout
	})
}

// Listen opens the UDP socket and returns the TCP listener for Run.
func (n *Node) Listen(ctx context.Context) (net.Listener, error) {
	n.init()
	address, err := netip.ParseAddrPort(n.Address)
	if err != nil {
		return nil, fmt.Errorf("parse the address for peers: %w", err)
	}
	n.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for heartbeats of peers over UDP: %w", err)
	}
	var listenConfig net.ListenConfig
	l, err := listenConfig.Listen(ctx, "tcp4", n.Address)
	if err != nil {
		_ = n.socket.Close()
		return nil, fmt.Errorf("listen for calls of peers over TCP: %w", err)
	}
	return l, nil
}

// Run exchanges heartbeats and serves calls of peers until ctx is done. It then closes both sockets.
func (n *Node) Run(ctx context.Context, l net.Listener) {
	mux := http.NewServeMux()
	path, calls := wire.NewFleetServiceHandler(service{n}, connect.WithReadMaxBytes(maxCallBytes))
	mux.Handle(path, intake.CountBody(calls))
	n.server = &http.Server{
		// The mux would redirect requests with a path that isn't in its shortest form.
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if n.Requests != nil && n.IsRequest(r) {
				n.Requests.ServeHTTP(w, r)
				return
			}
			mux.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout: callTimeout, IdleTimeout: serverIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: klog.NewStandardLogger("INFO"),
	}
	if n.Guard != nil {
		l = n.Guard(n.server, l)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := n.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "Server for calls of peers failed")
		}
	})
	wg.Go(n.receive)
	wg.Go(func() { n.send(ctx) })
	<-ctx.Done()
	n.closeServer()
	_ = n.socket.Close()
	wg.Wait()
}

// closeServer closes the server and its connections, once the responses in progress are sent or lastResponseTime is over.
func (n *Node) closeServer() {
	ctx, cancel := context.WithTimeout(context.Background(), lastResponseTime)
	defer cancel()
	if n.server.Shutdown(ctx) != nil {
		_ = n.server.Close()
	}
}

// SendSoon starts the next round after a short delay. Several calls before that round are combined into one.
func (n *Node) SendSoon() {
	n.init()
	select {
	case n.sendRequested <- struct{}{}:
	default:
	}
}

func (n *Node) send(ctx context.Context) {
	for ctx.Err() == nil {
		round := n.NextRound()
		for _, m := range round.Messages {
			n.sendMessage(m)
		}
		select {
		case <-ctx.Done():
		case <-n.sendRequested:
			// Changes that follow within the delay are sent in the same heartbeat.
			time.Sleep(min(round.NextAfter/10, urgentCoalesceDelay))
		case <-time.After(round.NextAfter):
		}
	}
}

func (n *Node) sendMessage(m Message) {
	if len(m.Targets) == 0 {
		return
	}
	m.Heartbeat.Sequence = n.sequence.Add(1)
	raw, err := proto.Marshal(m.Heartbeat)
	if err != nil || len(raw) > maxDatagramBytes {
		klog.ErrorS(err, "Heartbeat not sent: it can't be encoded or is too large for a datagram", "bytes", len(raw))
		return
	}
	for _, target := range m.Targets {
		to, err := netip.ParseAddrPort(target)
		if err != nil {
			continue
		}
		// A send error is treated like a lost datagram: the next heartbeat repeats the information.
		_, _ = n.socket.WriteToUDPAddrPort(raw, to)
	}
}

func (n *Node) receive() {
	buf := make([]byte, maxDatagramBytes)
	for {
		size, _, err := n.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		heartbeat := &wire.Beat{}
		if err := proto.Unmarshal(buf[:size], heartbeat); err != nil {
			klog.InfoS("Datagram ignored: it is not a valid heartbeat", "bytes", size, "reason", err.Error())
			continue
		}
		n.OnHeartbeat(heartbeat)
	}
}

// Fetch requests missing records from the peer at an IP:PORT. It gives up after 600 ms.
func (n *Node) Fetch(ctx context.Context, peer string, req *wire.ChangesRequest) (*wire.ChangesReply, error) {
	n.init()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := wire.NewFleetServiceClient(&n.calls, "http://"+peer).Changes(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fmt.Errorf("fetch records from %s: %w", peer, err)
	}
	return resp.Msg, nil
}

// service implements the handler of wire.FleetService.
type service struct {
	node *Node
}

// Changes returns the records that a peer is missing.
func (s service) Changes(
	ctx context.Context, r *connect.Request[wire.ChangesRequest],
) (*connect.Response[wire.ChangesReply], error) {
	reply := s.node.HandleChanges(r.Msg)
	if !intake.HoldResponse(ctx, memory.Bytes(proto.Size(reply))) {
		return nil, connect.NewError(connect.CodeResourceExhausted, &intake.RefusedError{Reason: intake.ReasonMemory})
	}
	return connect.NewResponse(reply), nil
}
